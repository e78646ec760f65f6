//! Malformed, oversized and slow requests are refused with a clear error and counted, and the node
//! keeps serving.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};

use anvil_node::counters;
use anvil_testkit::test_cases;

/// Short timeouts, so that slow callers are detected quickly.
const LIMITS: &str = "  header_wait_ms: 100\n  body_wait_ms: 100\n  header_bytes: 8192\n  \
                      header_count: 20\n  caller_connections: 8\n";

fn refused(request: &str, status: &str, cause: counters::EdgeCause) {
    let pair = common::Pair::start(LIMITS);
    let answer = common::read_to_close(common::raw(pair.caller(), request.as_bytes()));
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer:?}"
    );
    pair.await_count(cause, 1);
    pair.assert_serving();
    assert_eq!(
        pair.target.seen().len(),
        1,
        "only the check of assert_serving ran"
    );
}

const CLOSE: &str = "connection: close\r\n\r\n";

test_cases! {
    refused:
    no_http => ("hello\r\n\r\n", "400", counters::EdgeCause::CallerHeadMalformed),
    bad_header => ("GET / HTTP/1.1\r\nhost audiencias\r\n\r\n", "400", counters::EdgeCause::CallerHeadMalformed),
    long_head => (
        &format!("GET / HTTP/1.1\r\nhost: audiencias\r\nx: {}\r\n\r\n", "x".repeat(9_000)),
        "431", counters::EdgeCause::CallerHeadOversized,
    ),
    many_headers => (
        &format!("GET / HTTP/1.1\r\nhost: audiencias\r\n{}\r\n", "x: 1\r\n".repeat(30)),
        "431", counters::EdgeCause::CallerHeadOversized,
    ),
    no_service => (&format!("GET / HTTP/1.1\r\nhost: 127.0.0.1\r\n{CLOSE}"), "400", counters::EdgeCause::CallerServiceMalformed),
    bad_service => (&format!("GET / HTTP/1.1\r\nhost: a\r\nanvil-service: A_B\r\n{CLOSE}"), "400", counters::EdgeCause::CallerServiceMalformed),
    bad_timeout => (
        &format!("GET / HTTP/1.1\r\nhost: audiencias\r\nanvil-timeout-ms: soon\r\n{CLOSE}"),
        "400", counters::EdgeCause::CallerHintMalformed,
    ),
    zero_timeout => (
        &format!("GET / HTTP/1.1\r\nhost: audiencias\r\nanvil-timeout-ms: 0\r\n{CLOSE}"),
        "400", counters::EdgeCause::CallerHintMalformed,
    ),
    bad_request_id => (
        &format!("GET / HTTP/1.1\r\nhost: audiencias\r\nanvil-request-id: 12\r\n{CLOSE}"),
        "400", counters::EdgeCause::CallerHintMalformed,
    ),
    empty_key => (
        &format!("GET / HTTP/1.1\r\nhost: audiencias\r\nidempotency-key:\r\n{CLOSE}"),
        "400", counters::EdgeCause::CallerHintMalformed,
    ),
    forged_parent => (
        &format!("GET / HTTP/1.1\r\nhost: audiencias\r\nanvil-parent: {}\r\n{CLOSE}", "0".repeat(48)),
        "400", counters::EdgeCause::CallerParentForged,
    ),
    connect => (&format!("CONNECT audiencias:80 HTTP/1.1\r\nhost: audiencias\r\n{CLOSE}"), "501", counters::EdgeCause::CallerMethodRefused),
    stated_length_above_limit => (
        "POST / HTTP/1.1\r\nhost: audiencias\r\ncontent-length: 8388609\r\n\r\n",
        "413", counters::EdgeCause::CallerBodyOversized,
    ),
    bad_chunk => (
        "POST / HTTP/1.1\r\nhost: audiencias\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nx\r\n",
        "400", counters::EdgeCause::CallerBodyMalformed,
    ),
    slow_head => ("GET / HTTP/1.1\r\nhost: audi", "408", counters::EdgeCause::CallerHeadSlow),
    slow_body => (
        "POST / HTTP/1.1\r\nhost: audiencias\r\ncontent-length: 9\r\n\r\nhalf",
        "408", counters::EdgeCause::CallerBodySlow,
    ),
}

// The caller exceeds the limit while it sends, and reads the response only after it has sent
// everything. If the node closed the socket right after its 413, the unread bytes would reset the
// connection, and the caller would see a broken connection instead of the 413.
#[test]
fn unstated_length_above_limit_is_refused() {
    let pair = common::Pair::start("");
    let head = "POST / HTTP/1.1\r\nhost: audiencias\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut stream = common::raw(pair.caller(), head.as_bytes());
    let chunk = format!("100000\r\n{}\r\n", "x".repeat(0x10_0000));
    for _ in 0..20 {
        stream.write_all(chunk.as_bytes()).unwrap();
    }
    stream.write_all(b"0\r\n\r\n").unwrap();
    let answer = common::read_to_close(stream);
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer:?}");
    pair.await_count(counters::EdgeCause::CallerBodyOversized, 1);
    pair.assert_serving();
}

#[test]
fn unknown_service_is_named_in_a_problem_body() {
    let pair = common::Pair::start("");
    let url = format!("http://{}/", pair.caller());
    let request = attohttpc::get(url).header("anvil-service", "nowhere");
    let response = request.send().unwrap();
    assert_eq!(response.status(), 404);
    assert_eq!(response.headers()["anvil-outcome"], "not-run");
    assert_eq!(
        response.headers()["content-type"],
        "application/problem+json"
    );
    let body: serde_json::Value = serde_json::from_str(&response.text().unwrap()).unwrap();
    assert_eq!(body["reason"], "unknown-service");
    assert_eq!(body["outcome"], "not-run");
    assert_eq!(body["status"], 404);
}

#[test]
fn callers_above_the_limit_are_closed_and_the_others_served() {
    let pair = common::Pair::start("  caller_connections: 2\n");
    let open: Vec<_> = (0..2).map(|_| common::raw(pair.caller(), b"GET")).collect();
    pair.await_count(counters::EdgeCause::CallerAccepted, 2);
    let surplus = common::read_to_close(common::raw(pair.caller(), b""));
    assert_eq!(surplus, "");
    pair.await_count(counters::EdgeCause::CallerOverLimit, 1);
    drop(open);
    let gauge = pair.node.counters().caller_connections();
    common::await_true("the open connections end", || gauge.get() == 0);
    pair.assert_serving();
}

// A caller that stalls in the middle of a later head gets a 408 and is closed, like one that stalls
// in its first head.
#[test]
fn a_stalled_later_head_is_refused() {
    let pair = common::Pair::start(LIMITS);
    let request = "GET / HTTP/1.1\r\nhost: audiencias\r\n\r\n";
    let mut stream = common::raw(pair.caller(), request.as_bytes());
    common::await_true("the first request is served", || {
        pair.target.seen().len() == 1
    });
    stream.write_all(b"GET / HTTP/1.1\r\nhost: audi").unwrap();
    let answer = common::read_to_close(stream);
    assert!(answer.contains("HTTP/1.1 408 "), "{answer}");
    pair.await_count(counters::EdgeCause::CallerHeadSlow, 1);
}

// The next head begins while the first request is still being served, and stalls. The node has read
// these bytes early, to notice the end of the connection; the head timeout must still apply once
// the first request is answered.
#[test]
fn a_stalled_pipelined_head_is_refused() {
    let pair = common::Pair::start(LIMITS);
    let request = "GET /slow/100 HTTP/1.1\r\nhost: audiencias\r\n\r\n";
    let mut stream = common::raw(pair.caller(), request.as_bytes());
    common::await_true("the first request is served", || {
        pair.target.seen().len() == 1
    });
    stream.write_all(b"GET / HTTP/1.1\r\nhost: audi").unwrap();
    let answer = common::read_to_close(stream);
    assert!(answer.contains("HTTP/1.1 200 OK"), "{answer}");
    assert!(answer.contains("HTTP/1.1 408 "), "{answer}");
}

// A connection is idle between two requests for several times the head timeout. If it were closed,
// each request of a caller that sends few requests would need a new connection.
#[test]
fn an_idle_connection_stays_open() {
    let pair = common::Pair::start("  header_wait_ms: 20\n");
    let request = "GET / HTTP/1.1\r\nhost: audiencias\r\n\r\n";
    let mut stream = common::raw(pair.caller(), request.as_bytes());
    common::await_true("the first request is served", || {
        pair.target.seen().len() == 1
    });
    std::thread::sleep(std::time::Duration::from_millis(200));
    let last = "GET / HTTP/1.1\r\nhost: audiencias\r\nconnection: close\r\n\r\n";
    stream.write_all(last.as_bytes()).unwrap();
    let answer = common::read_to_close(stream);
    assert_eq!(answer.matches("HTTP/1.1 200 OK").count(), 2, "{answer}");
    assert_eq!(
        pair.node
            .counters()
            .total(counters::EdgeCause::CallerHeadSlow),
        0
    );
}

// A connection that exceeds the idle timeout is closed without a 408, which the caller could read
// as the response to its next request. The timeout is long enough for the first request to arrive
// on a busy machine.
#[test]
fn an_expired_idle_connection_is_closed_without_a_response() {
    let pair = common::Pair::start("  idle_wait_ms: 1500\n");
    let request = "GET / HTTP/1.1\r\nhost: audiencias\r\n\r\n";
    let answer = common::read_to_close(common::raw(pair.caller(), request.as_bytes()));
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    // The answer's random request id may contain any digits, so the status lines are counted.
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    assert_eq!(
        pair.node
            .counters()
            .total(counters::EdgeCause::CallerHeadSlow),
        0
    );
}

// Guards against a request that is run with the part of its body that came before its caller left.
fn check_cut_request(framing: &str, body: &str) {
    let pair = common::Pair::start("");
    let request = format!("POST /bids HTTP/1.1\r\nhost: audiencias\r\n{framing}\r\n\r\n{body}");
    let stream = common::raw(pair.caller(), request.as_bytes());
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let answer = common::read_to_close(stream);
    assert!(!answer.starts_with("HTTP/1.1 2"), "{answer:?}");
    pair.assert_serving();
    assert_eq!(
        pair.target.seen().len(),
        1,
        "only the check of assert_serving ran"
    );
}

test_cases! {
    check_cut_request:
    cut_length => ("content-length: 9", "a bid"),
    cut_before_the_body => ("content-length: 9", ""),
    cut_chunk => ("transfer-encoding: chunked", "9\r\na bid"),
    cut_between_chunks => ("transfer-encoding: chunked", "5\r\na bid\r\n"),
    cut_before_the_last_line => ("transfer-encoding: chunked", "5\r\na bid\r\n0\r\n"),
}

/// Reads a response whose body is `x` throughout; returns its head and body and what follows them.
fn split_response(bytes: &[u8]) -> (String, &[u8], &[u8]) {
    let head_end = bytes.windows(4).position(|part| part == b"\r\n\r\n");
    let (head, rest) = bytes.split_at(head_end.unwrap() + 4);
    let head = String::from_utf8(head.to_vec()).unwrap();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.unwrap().parse().unwrap();
    let (body, rest) = rest.split_at(length.min(rest.len()));
    (head, body, rest)
}

// Guards against a refusal of the next head that is written into the body of an answer.
fn an_answer_that_is_read_slowly_stays_whole(next: &str) {
    const BODY_BYTES: usize = 8_000_000;
    let pair = common::Pair::start(LIMITS);
    let first = format!("GET /bytes/{BODY_BYTES} HTTP/1.1\r\nhost: audiencias\r\n\r\n");
    let mut stream = common::raw(pair.caller(), format!("{first}{next}").as_bytes());
    // The answer exceeds what the sockets hold, so the node is writing it all this time.
    std::thread::sleep(std::time::Duration::from_millis(600));
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let (head, body, _) = split_response(&bytes);
    assert!(head.starts_with("HTTP/1.1 200 OK"), "{head}");
    let foreign = body.iter().position(|byte| *byte != b'x');
    let seen = foreign.map(|at| {
        String::from_utf8_lossy(&body[at..])
            .chars()
            .take(80)
            .collect::<String>()
    });
    assert_eq!(seen, None, "foreign bytes in the body");
    assert_eq!(body.len(), BODY_BYTES);
}

test_cases! {
    an_answer_that_is_read_slowly_stays_whole:
    before_a_stalled_head => ("GET / HTTP/1.1\r\nhost: audi"),
    before_a_whole_request => ("GET / HTTP/1.1\r\nhost: audiencias\r\nconnection: close\r\n\r\n"),
    before_a_submission => ("POST /bids HTTP/1.1\r\nhost: audiencias\r\ncontent-length: 1\r\nconnection: close\r\n\r\n1"),
}
