//! Answers whose status is no final status of HTTP, at the node beside the target and at the entry node.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use anvil_testkit::test_cases;
use anvil_types::verdict;
use anvil_wire::{call, frame};
use bytes::Bytes;

/// A target that answers each connection with this status line and a body of seven bytes, and the number
/// of requests that it got.
fn target_with_status(status_line: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let counted = requests.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4_096]).unwrap();
            counted.fetch_add(1, Ordering::Relaxed);
            let answer =
                format!("{status_line}\r\ncontent-length: 7\r\nx-target: 1\r\n\r\npayload");
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    (address, requests)
}

/// The caller learns that its request may have run, and gets nothing of the answer.
fn assert_uncertain(response: attohttpc::Response) {
    assert_eq!(response.status(), 502);
    assert_eq!(response.headers()["anvil-outcome"], "may-have-run");
    assert!(!response.headers().contains_key("x-target"));
    let body = response.text().unwrap();
    assert!(!body.contains("payload"), "{body}");
}

// Guards against an answer without a final status that the node beside the target passes on.
fn an_invalid_status_line_is_no_answer(status_line: &'static str) {
    let pair = common::Pair::start("");
    let (target, requests) = target_with_status(status_line);
    common::announce(pair.node.bound().admin, target, common::SERVICE);
    let response = pair.request("POST", "/bids").text("a bid").send().unwrap();
    assert_uncertain(response);
    assert_eq!(requests.load(Ordering::Relaxed), 1);
}

test_cases! {
    an_invalid_status_line_is_no_answer:
    status_000 => ("HTTP/1.1 000 Trouble"),
    status_000_without_a_reason => ("HTTP/1.1 000"),
    status_001 => ("HTTP/1.1 001 Trouble"),
    status_099 => ("HTTP/1.1 099 Trouble"),
    status_600 => ("HTTP/1.1 600 Trouble"),
    status_999 => ("HTTP/1.1 999 Trouble"),
    status_of_two_digits => ("HTTP/1.1 20 OK"),
    status_of_four_digits => ("HTTP/1.1 2000 OK"),
    status_with_a_sign => ("HTTP/1.1 +20 OK"),
    status_in_words => ("HTTP/1.1 abc OK"),
    no_status => ("HTTP/1.1"),
    other_version => ("HTTP/2.0 200 OK"),
}

fn a_final_status_is_passed_on(status_line: &'static str, status: u16) {
    let pair = common::Pair::start("");
    let (target, _) = target_with_status(status_line);
    common::announce(pair.node.bound().admin, target, common::SERVICE);
    let response = pair.request("POST", "/bids").text("a bid").send().unwrap();
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(response.text().unwrap(), "payload");
}

test_cases! {
    a_final_status_is_passed_on:
    lowest_status => ("HTTP/1.1 200 OK", 200),
    status_without_a_reason => ("HTTP/1.1 299", 299),
    unregistered_status => ("HTTP/1.1 432 Odd", 432),
    highest_status => ("HTTP/1.1 599 Odd", 599),
    status_of_an_older_version => ("HTTP/1.0 200 OK", 200),
}

// Guards against an answer without a final status that a caller gets through another node, under
// whichever status.
fn an_invalid_status_of_a_peer_is_no_answer(status: u16) {
    let (entry, mut peer) = common::entry_with_fake_peer("");
    let caller = entry.bound().caller;
    let request = thread::spawn(move || {
        let request = common::request(caller, "POST", "/bids").text("a bid");
        assert_uncertain(request.send().unwrap());
    });
    let received = peer.receive_call();
    let answer = call::PeerAnswer {
        call: received.call,
        attempt: received.attempt,
        verdict: verdict::CallVerdict::Answered,
        answer: Some(call::CallAnswer {
            status,
            headers: vec![call::HeaderLine {
                name: "x-target".to_owned(),
                value: Bytes::from_static(b"1"),
            }],
            body: Bytes::from_static(b"payload"),
        }),
        retries_spent: 0,
        failed_below: false,
        load: call::LoadReport::default(),
    };
    peer.send(&frame::PeerFrame::Answer(Box::new(answer)));
    request.join().unwrap();
    entry.stop();
    entry.stop();
    entry.wait().unwrap();
}

test_cases! {
    an_invalid_status_of_a_peer_is_no_answer:
    peer_status_0 => (0),
    peer_status_99 => (99),
    peer_status_of_an_interim_answer => (103),
    peer_status_600 => (600),
    peer_status_999 => (999),
    peer_status_1000 => (1_000),
    peer_status_65535 => (65_535),
}
