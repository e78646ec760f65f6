//! Answers of the store that end early.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use anvil_store::http::HttpStore;
use anvil_store::platform::PlatformStore;
use anvil_testkit::test_cases;
use anvil_types::store::{self, StoreOutcome, StoreRequest};
use bytes::Bytes;

fn key() -> store::StoreKey {
    store::StoreKey::new("contacts/a/0")
}

fn get() -> StoreRequest {
    StoreRequest::Get { key: key() }
}

fn list() -> StoreRequest {
    StoreRequest::List {
        prefix: key(),
        after: None,
        limit: 9,
    }
}

fn watch() -> StoreRequest {
    StoreRequest::Watch {
        prefix: key(),
        seen: store::StoreVersion(411),
        wait: Duration::from_millis(50),
    }
}

fn swap() -> StoreRequest {
    StoreRequest::Swap {
        key: key(),
        condition: store::SwapCondition::Absent,
        value: Bytes::from_static(b"node-0"),
        lease: None,
    }
}

fn grant() -> StoreRequest {
    StoreRequest::Grant {
        lease: Duration::from_secs(15),
    }
}

/// Answers the first request with no byte of `answer`, each further one with one byte more, and
/// closes each connection regularly.
fn start_store(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for length in 0..=answer.len() {
            let (mut stream, _) = listener.accept().unwrap();
            read_request(&mut stream);
            stream.write_all(&answer.as_bytes()[..length]).unwrap();
        }
    });
    address
}

/// Reads a whole request, since a socket that is closed with unread bytes resets its connection.
fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    loop {
        let mut part = [0; 1_024];
        let read = stream.read(&mut part).unwrap();
        assert!(read > 0, "the client closed in its request");
        request.extend_from_slice(&part[..read]);
        let text = String::from_utf8_lossy(&request);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let head = head.to_ascii_lowercase();
        let stated = head.split_once("content-length:").map(|(_, rest)| {
            let digits = rest.lines().next().unwrap().trim();
            digits.parse::<usize>().unwrap()
        });
        if body.len() >= stated.unwrap_or(0) {
            return;
        }
    }
}

// Guards against a shortened answer that is taken for what the store holds.
fn check_cuts(request: &StoreRequest, head: &str, body: &str) {
    let answer = format!(
        "HTTP/1.1 200 OK\r\n{head}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let store = HttpStore::new(vec![start_store(answer.clone())]);
    for length in 0..answer.len() {
        let outcome = store.carry_out(request);
        let received = &answer[..length];
        assert_eq!(outcome, StoreOutcome::Unknown, "{received:?}");
    }
    let outcome = store.carry_out(request);
    assert!(matches!(outcome, StoreOutcome::Done(_)), "{outcome:?}");
}

test_cases! {
    check_cuts:
    value => (&get(), "x-version: 412\r\n", "node-0 and the rest of its value"),
    page => (&list(), "", r#"{"entries":[],"seen":9,"more":false}"#),
    watched_page => (&watch(), "", r#"{"entries":[],"seen":9,"more":false}"#),
    written => (&swap(), "x-version: 412\r\n", "{}"),
    lease => (&grant(), "", "1234567"),
}
