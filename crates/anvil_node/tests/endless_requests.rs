//! Requests that never end, at each port of a node that speaks HTTP.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anvil_standins::endless::{self, SendPace};
use anvil_testkit::test_cases;

/// Short timeouts, so that slow senders are detected quickly.
const LIMITS: &str = "  header_wait_ms: 500\n  body_wait_ms: 500\n  header_bytes: 8192\n";

/// The most bytes that a node may take from one sender: twice the largest body, which it discards
/// so that the sender reads the refusal, and what the sockets hold.
const MAX_TAKEN_BYTES: u64 = 32 << 20;

/// Within this time a node must get rid of a sender. Its admin edge allows ten seconds for a head and
/// for a body.
const MAX_TIME: Duration = Duration::from_secs(15);

const SLOW: SendPace = SendPace::Slow(Duration::from_millis(20));

/// The ports at which a node reads requests over HTTP.
#[derive(Clone, Copy, Debug)]
enum NodePort {
    Caller,
    Admin,
}

/// Sends bytes until the node closes the connection, and returns how many it took and how long.
fn send(address: SocketAddr, start: &str, part: &str, pace: SendPace) -> (u64, Duration) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_write_timeout(Some(MAX_TIME)).unwrap();
    let (started_at, sent) = (Instant::now(), AtomicU64::new(0));
    stream.write_all(start.as_bytes()).unwrap();
    let end = endless::send_endlessly(&mut stream, part, pace, &sent);
    assert!(end.is_err(), "the node took everything");
    (sent.load(Ordering::Relaxed), started_at.elapsed())
}

// Guards against a sender that fills the memory of a node, or holds its port, without end.
fn bytes_without_end_close_the_connection(
    port: NodePort,
    start: &'static str,
    part: &'static str,
    pace: SendPace,
) {
    let pair = common::Pair::start(LIMITS);
    let address = match port {
        NodePort::Caller => pair.caller(),
        NodePort::Admin => pair.node.bound().admin,
    };
    let (taken, elapsed) = send(address, start, part, pace);
    assert!(taken < MAX_TAKEN_BYTES, "{taken} bytes");
    assert!(elapsed < MAX_TIME, "{elapsed:?}");
    pair.assert_serving();
}

const CALLER_CHUNKS: &str =
    "POST /x HTTP/1.1\r\nhost: audiencias\r\ntransfer-encoding: chunked\r\n\r\n";
const CALLER_LENGTH: &str =
    "POST /x HTTP/1.1\r\nhost: audiencias\r\ncontent-length: 1000000000000\r\n\r\n";
const ADMIN_CHUNKS: &str = "POST /rules HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
const ADMIN_LENGTH: &str =
    "POST /rules HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000000000\r\n\r\n";

test_cases! {
    bytes_without_end_close_the_connection:
    caller_fast_request_line => (NodePort::Caller, "", "x", SendPace::Fast),
    caller_fast_empty_lines => (NodePort::Caller, "", "\r\n", SendPace::Fast),
    caller_fast_header_lines => (NodePort::Caller, "GET /x HTTP/1.1\r\n", "a: b\r\n", SendPace::Fast),
    caller_fast_header_line => (NodePort::Caller, "GET /x HTTP/1.1\r\na: ", "x", SendPace::Fast),
    caller_fast_body => (NodePort::Caller, CALLER_LENGTH, "x", SendPace::Fast),
    caller_fast_chunks => (NodePort::Caller, CALLER_CHUNKS, "10\r\n0123456789abcdef\r\n", SendPace::Fast),
    caller_fast_tiny_chunks => (NodePort::Caller, CALLER_CHUNKS, "1\r\nx\r\n", SendPace::Fast),
    caller_fast_chunk_size => (NodePort::Caller, CALLER_CHUNKS, "1", SendPace::Fast),
    caller_fast_chunk_extension => (NodePort::Caller, CALLER_CHUNKS, "1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\nx\r\n", SendPace::Fast),
    caller_slow_header_line => (NodePort::Caller, "GET /x HTTP/1.1\r\na: ", "x", SLOW),
    caller_slow_body => (NodePort::Caller, CALLER_LENGTH, "x", SLOW),
    caller_slow_chunks => (NodePort::Caller, CALLER_CHUNKS, "1\r\nx\r\n", SLOW),
    admin_fast_request_line => (NodePort::Admin, "", "x", SendPace::Fast),
    admin_fast_header_lines => (NodePort::Admin, "GET /status HTTP/1.1\r\n", "a: b\r\n", SendPace::Fast),
    admin_fast_header_line => (NodePort::Admin, "GET /status HTTP/1.1\r\na: ", "x", SendPace::Fast),
    admin_fast_body => (NodePort::Admin, ADMIN_LENGTH, "x", SendPace::Fast),
    admin_fast_chunks => (NodePort::Admin, ADMIN_CHUNKS, "10\r\n0123456789abcdef\r\n", SendPace::Fast),
    admin_slow_header_line => (NodePort::Admin, "GET /status HTTP/1.1\r\na: ", "x", SLOW),
    admin_slow_body => (NodePort::Admin, ADMIN_LENGTH, "x", SLOW),
}
