//! Answers of a node, or of something else at its address, that never end.

#![allow(clippy::unwrap_used)]

#[allow(dead_code, reason = "other test files use the scripted node")]
mod common;

use std::time::{Duration, Instant};

use anvil_standins::endless::{EndlessServer, SendPace};
use anvil_testkit::test_cases;

/// The most bytes that the command may read, with what the sockets hold.
const MAX_READ_BYTES: u64 = 100 << 20;

const SLOW: SendPace = SendPace::Slow(Duration::from_millis(20));

// Guards against a command that fills the operator's memory, or that does not end.
fn bytes_without_end_end_the_command(start: &'static str, part: &'static str, pace: SendPace) {
    let server = EndlessServer::start(start, part, pace).unwrap();
    let started_at = Instant::now();
    let command = format!("status --node http://{} --timeout 2s", server.address());
    let report = common::run(&command);
    assert!(report.err.contains("was lost"), "{}", report.err);
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(6), "{elapsed:?}");
    let sent = server.sent_bytes();
    assert!(sent < MAX_READ_BYTES, "{sent} bytes");
}

test_cases! {
    bytes_without_end_end_the_command:
    fast_bytes_that_are_no_head => ("", "x", SendPace::Fast),
    a_fast_body => ("HTTP/1.1 200 OK\r\n\r\n", "x", SendPace::Fast),
    a_slow_header_line => ("HTTP/1.1 200 OK\r\na: ", "x", SLOW),
    a_slow_body => ("HTTP/1.1 200 OK\r\n\r\n", "x", SLOW),
}
