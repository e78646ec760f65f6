//! Failures of the target, and the exact outcomes that callers get.

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
    pair.assert_serving();
}

test_cases! {
    fails:
    // The target answers 200, sends half of the body and closes the connection. The node must not
    // have begun its own response by then: the caller gets 502 and may-have-run, never a 200 with
    // half a body.
    closes_in_its_answer => ("/cut", 502, "may-have-run", counters::EdgeCause::TargetAnswerTruncated),
    // The target reads the whole request and closes the connection without an answer. It may have
    // stored the bid, so the caller gets may-have-run.
    closes_before_its_answer => ("/drop", 502, "may-have-run", counters::EdgeCause::TargetBroken),
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
    // A target that crashes closes its connection like one that has finished. Without a length or
    // chunks the two can't be distinguished, and a caller could take half an answer for a complete
    // one.
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
fn a_request_to_a_closed_port_is_not_run() {
    let pair = common::Pair::start("");
    // Bound but not listening: connections are refused, and no other test can get the port.
    let bound = TcpSocket::new_v4().unwrap();
    bound.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = bound.local_addr().unwrap();
    common::announce(pair.node.bound().admin, address, common::SERVICE);
    let response = pair.request("POST", "/bids").text("a bid").send().unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["anvil-outcome"], "not-run");
    pair.await_count(counters::EdgeCause::TargetUnreachable, 1);
}

// The caller waits 100 ms for a target that answers after a minute, and gets 504 with may-have-run.
// The node must close the connection at the deadline, so that the target can cancel the run.
#[test]
fn a_deadline_cancels_the_run_at_the_target() {
    let pair = common::Pair::start("");
    let request = pair
        .request("GET", "/slow/60000")
        .header("anvil-timeout-ms", "100");
    let response = request.send().unwrap();
    assert_eq!(response.status(), 504);
    assert_eq!(response.headers()["anvil-outcome"], "may-have-run");
    common::await_true("the run is cancelled at the target", || {
        pair.target.abandoned() == 1
    });
}

// The caller closes its connection while the target works. The node must notice that at once and
// cancel the run by closing the connection to the target.
#[test]
fn a_disconnect_cancels_the_run_at_the_target() {
    let pair = common::Pair::start("");
    let request = "GET /slow/60000 HTTP/1.1\r\nhost: audiencias\r\n\r\n";
    let stream = common::raw(pair.caller(), request.as_bytes());
    common::await_true("the target has the request", || {
        pair.target.seen().len() == 1
    });
    drop(stream);
    common::await_true("the run is cancelled at the target", || {
        pair.target.abandoned() == 1
    });
    pair.await_count(counters::EdgeCause::CallerDisconnected, 1);
    pair.assert_serving();
}

// The target closes an idle connection between two requests, as every server does eventually. The
// next request must use a new connection, and its caller must not notice.
#[test]
fn a_pooled_connection_that_the_target_closed_is_replaced() {
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
