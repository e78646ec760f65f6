//! The target fails in every way it can, and callers learn exactly what is known.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use anvil_node::counters;
use anvil_testkit::test_cases;
use tokio::net::TcpSocket;

fn fails(path: &str, status: u16, outcome: &str, cause: counters::EdgeCause) {
    let pair = common::Pair::start("");
    let response = pair.request("POST", path).text("a bid").send().unwrap();
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(response.headers()["anvil-outcome"], outcome);
    assert_eq!(
        response.headers()["content-type"],
        "application/problem+json"
    );
    pair.await_count(cause, 1);
    pair.assert_lives();
}

test_cases! {
    fails:
    // The caller sees 502 and may-have-run, never a 200 with half a body: the target answers 200,
    // sends the first half and breaks off; the node had not begun its own reply yet.
    dies_in_its_answer => ("/cut", 502, "may-have-run", counters::EdgeCause::TargetAnswerTruncated),
    // The caller sees may-have-run: the target took the whole request and closed without an
    // answer, so it may have stored the bid.
    dies_before_its_answer => ("/drop", 502, "may-have-run", counters::EdgeCause::TargetBroken),
    answer_too_large => ("/bytes/8388609", 502, "may-have-run", counters::EdgeCause::TargetAnswerOversized),
}

/// A target that answers every connection with `bytes` and closes it.
fn scripted(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = [0; 4_096];
            let _ = stream.read(&mut head).unwrap();
            stream.write_all(bytes).unwrap();
        }
    });
    address
}

fn scripted_fails(bytes: &'static [u8], cause: counters::EdgeCause) {
    let pair = common::Pair::start("");
    let target = scripted(bytes);
    common::announce(pair.node.bound().admin, target, common::SERVICE);
    let response = pair.request("POST", "/bids").text("a bid").send().unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!(response.headers()["anvil-outcome"], "may-have-run");
    pair.await_count(cause, 1);
}

test_cases! {
    scripted_fails:
    // A target that dies closes its connection like one that has finished; without a length or
    // chunks the two can't be told apart, and a caller would take half an answer for a whole one.
    unframed_answer => (b"HTTP/1.1 200 OK\r\n\r\nhalf or whole?", counters::EdgeCause::TargetAnswerUnframed),
    short_answer => (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", counters::EdgeCause::TargetAnswerTruncated),
    cut_chunks => (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nthr", counters::EdgeCause::TargetAnswerTruncated),
    no_http => (b"hello\r\n\r\n", counters::EdgeCause::TargetBroken),
}

#[test]
fn a_target_that_refuses_is_retried_as_not_run() {
    let pair = common::Pair::start("");
    let response = pair
        .request("POST", "/refuse")
        .text("a bid")
        .send()
        .unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["anvil-outcome"], "not-run");
    assert!(response.headers().contains_key("retry-after"));
    pair.await_count(counters::EdgeCause::TargetRefused, 1);
}

#[test]
fn a_target_nobody_listens_for_is_not_run() {
    let pair = common::Pair::start("");
    // Bound and never listened on: connections are refused, and no other test is given the port.
    let vacant = TcpSocket::new_v4().unwrap();
    vacant.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = vacant.local_addr().unwrap();
    common::announce(pair.node.bound().admin, address, common::SERVICE);
    let response = pair.request("POST", "/bids").text("a bid").send().unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["anvil-outcome"], "not-run");
    pair.await_count(counters::EdgeCause::TargetUnreachable, 1);
}

// The caller waits 100 ms and gets 504 with may-have-run: the request was out at a target that
// answers after a minute. The node closes the connection at the deadline, which is how a target
// learns that nobody waits any more.
#[test]
fn a_deadline_ends_the_run_at_the_target() {
    let pair = common::Pair::start("");
    let request = pair
        .request("GET", "/slow/60000")
        .header("anvil-timeout-ms", "100");
    let response = request.send().unwrap();
    assert_eq!(response.status(), 504);
    assert_eq!(response.headers()["anvil-outcome"], "may-have-run");
    common::await_true("the target is told", || pair.target.abandoned() == 1);
}

// The caller closes its connection while the target works. The node learns it at once, cancels
// the run by closing the target's connection, and nothing is left open.
#[test]
fn a_caller_that_leaves_ends_the_run_at_the_target() {
    let pair = common::Pair::start("");
    let request = "GET /slow/60000 HTTP/1.1\r\nhost: audiencias\r\n\r\n";
    let stream = common::raw(pair.caller(), request.as_bytes());
    common::await_true("the target has it", || pair.target.seen().len() == 1);
    drop(stream);
    common::await_true("the target is told", || pair.target.abandoned() == 1);
    pair.await_count(counters::EdgeCause::CallerDisconnected, 1);
    pair.assert_lives();
}

// The target closes a kept connection between two requests, as every server does in the end. The
// next request goes over a new connection; the caller sees nothing of it.
#[test]
fn a_kept_connection_that_the_target_closed_is_replaced() {
    let pair = common::Pair::start("");
    let once = scripted(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    common::announce(pair.node.bound().admin, once, common::SERVICE);
    for _ in 0..5 {
        let response = pair.request("POST", "/bids").text("a bid").send().unwrap();
        assert_eq!(response.status(), 200);
        let open = pair.node.counters().target_connections();
        common::await_true("the target closed", || open.get() == 0);
    }
}
