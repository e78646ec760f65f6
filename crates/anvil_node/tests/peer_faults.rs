//! Other nodes, and strangers, send anything they like to a node's peer port.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::Write;
use std::net::UdpSocket;
use std::time::Duration;

use anvil_node::counters;
use anvil_testkit::test_cases;
use anvil_types::{context, ident, name, treatment, verdict};
use anvil_wire::seal::handshake;
use anvil_wire::{call, codec, frame};
use bytes::Bytes;
use common::impostor;

fn call_of(sequence: u64, path: &str) -> frame::PeerFrame {
    let call = call::PeerCall {
        account: None,
        call: ident::CallId {
            node: impostor::NODE,
            sequence,
        },
        attempt: 1,
        reply_to: "127.0.0.1:9".parse().unwrap(),
        context: context::CallContext {
            request: ident::RequestId(u128::from(sequence)),
            class: context::PriorityClass::Normal,
            rule_class: None,
            lane: context::LaneHash(0),
            remaining_micros: 60_000_000,
            retries_left: 0,
            depth: 0,
            idempotent: true,
            repeat: false,
            key: None,
            fingerprint: ident::RequestFingerprint(sequence),
        },
        treatment: treatment::RuleTreatment::default(),
        rule: treatment::RuleReference::default(),
        label: None,
        request: call::CallRequest {
            service: name::ServiceName::new(common::SERVICE).unwrap(),
            method: "GET".to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        },
    };
    frame::PeerFrame::Call(Box::new(call))
}

#[test]
fn calls_of_a_peer_run_and_are_answered_in_any_order() {
    let pair = common::Pair::start("");
    let mut peer = impostor::Impostor::connect(pair.node.bound().peer);
    peer.send(&call_of(1, "/slow/200"));
    peer.send(&call_of(2, "/fast"));
    let answers = [peer.receive_answer(), peer.receive_answer()];
    let order: Vec<_> = answers.iter().map(|answer| answer.call.sequence).collect();
    assert_eq!(order, [2, 1], "the fast one does not wait for the slow one");
    for answer in answers {
        assert_eq!(answer.verdict, verdict::CallVerdict::Answered);
    }
}

fn sealed_garbage(body: &[u8], cause: counters::EdgeCause) {
    let pair = common::Pair::start("");
    let mut peer = impostor::Impostor::connect(pair.node.bound().peer);
    peer.send_sealed(body);
    peer.assert_closed();
    pair.await_count(cause, 1);
    pair.assert_lives();
}

test_cases! {
    sealed_garbage:
    no_frame => (&[255; 40], counters::EdgeCause::PeerFrameMalformed),
    empty_frame => (&[], counters::EdgeCause::PeerFrameMalformed),
    cut_call => (&[0, 1, 2], counters::EdgeCause::PeerFrameMalformed),
    bytes_behind_a_frame => (&[2, 1, 1, 1, 99], counters::EdgeCause::PeerFrameMalformed),
}

fn bytes_behind_the_handshake(bytes: &[u8], cause: counters::EdgeCause) {
    let pair = common::Pair::start("");
    let mut peer = impostor::Impostor::connect(pair.node.bound().peer);
    peer.socket.write_all(bytes).unwrap();
    peer.socket.shutdown(std::net::Shutdown::Write).unwrap();
    peer.assert_closed();
    pair.await_count(cause, 1);
    pair.assert_lives();
}

test_cases! {
    bytes_behind_the_handshake:
    oversized => (&[255; 4], counters::EdgeCause::PeerFrameOversized),
    cut_length => (&[0; 2], counters::EdgeCause::PeerFrameTruncated),
    cut_body => (&[0, 0, 1, 0, 1, 2, 3], counters::EdgeCause::PeerFrameTruncated),
    unsealed => (&[0; 24], counters::EdgeCause::PeerFrameForged),
}

fn strange_hello(first: &[u8]) {
    let pair = common::Pair::start("");
    let answer = common::read_to_close(common::raw(pair.node.bound().peer, first));
    assert_eq!(answer, "", "a stranger learns nothing");
    pair.await_count(counters::EdgeCause::PeerHandshakeRefused, 1);
    pair.assert_lives();
}

fn first_message(secret: u8, version: u16) -> Vec<u8> {
    let nonce = handshake::HandshakeNonce([7; handshake::NONCE_BYTES]);
    let own = impostor::hello(version, "127.0.0.1:9".parse().unwrap());
    let begun = handshake::InitiatorHandshake::begin(&impostor::key_ring(secret), own, nonce);
    begun.unwrap().1
}

test_cases! {
    strange_hello:
    http => (b"GET / HTTP/1.1\r\nhost: audiencias\r\n\r\n"),
    oversized_hello => (&[0, 1, 0, 0]),
    silent => (&[]),
    other_version => (&first_message(0, frame::PROTOCOL_VERSION + 1)),
}

// Somebody without the key opens a connection and sends a call. The proof fails, the connection
// is closed before the call is read, and the target sees nothing of it.
#[test]
fn without_the_key_no_call_runs() {
    let pair = common::Pair::start("");
    let first = first_message(1, frame::PROTOCOL_VERSION);
    let mut socket = common::raw(pair.node.bound().peer, &first);
    impostor::read_message(&mut socket).unwrap();
    socket.write_all(&[0, 0, 0, 16]).unwrap();
    socket.write_all(&[0; 16]).unwrap();
    let call = codec::encode_frame(&call_of(1, "/stolen")).unwrap();
    // The node may have closed already.
    let _ = socket.write_all(&call);
    assert_eq!(common::read_to_close(socket), "");
    pair.await_count(counters::EdgeCause::PeerHandshakeRefused, 1);
    assert!(pair.target.seen().is_empty());
}

// The node that asked dies while its call runs here. Nobody can take the answer any more, so the
// run's connection is closed and the target can stop.
#[test]
fn a_lost_peer_ends_its_runs() {
    let pair = common::Pair::start("");
    let mut peer = impostor::Impostor::connect(pair.node.bound().peer);
    peer.send(&call_of(1, "/slow/60000"));
    common::await_true("the target has it", || pair.target.seen().len() == 1);
    drop(peer);
    common::await_true("the target is told", || pair.target.abandoned() == 1);
    pair.await_count(counters::EdgeCause::PeerLost, 1);
    pair.assert_lives();
}

#[test]
fn a_cancel_ends_the_run() {
    let pair = common::Pair::start("");
    let mut peer = impostor::Impostor::connect(pair.node.bound().peer);
    peer.send(&call_of(1, "/slow/60000"));
    common::await_true("the target has it", || pair.target.seen().len() == 1);
    let call = ident::CallId {
        node: impostor::NODE,
        sequence: 1,
    };
    peer.send(&frame::PeerFrame::Cancel { call, attempt: 1 });
    common::await_true("the target is told", || pair.target.abandoned() == 1);
}

fn strange_datagram(bytes: &[u8]) {
    let pair = common::Pair::start("");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let gossip = pair.node.bound().gossip;
    socket.send_to(bytes, gossip).unwrap();
    pair.await_count(counters::EdgeCause::DatagramRefused, 1);
    socket
        .set_read_timeout(Some(Duration::from_millis(20)))
        .unwrap();
    assert!(socket.recv_from(&mut [0; 2_000]).is_err(), "no echo");
    pair.assert_lives();
}

test_cases! {
    strange_datagram:
    empty_datagram => (&[]),
    short_datagram => (&[1, 0, 1]),
    unsealed_datagram => (&[1; 200]),
    large_datagram => (&[1; 1_401]),
}

#[test]
fn answers_go_back_on_a_connection_that_lives() {
    // Both nodes dialled at the same moment, and the network has dropped one of the two connections
    // without a sign. An answer sent on that one would never arrive; its caller would wait for its
    // deadline. So it goes back on the connection that was last heard from.
    let pair = common::Pair::start("");
    let _dropped = impostor::Impostor::connect(pair.node.bound().peer);
    let mut living = impostor::Impostor::connect(pair.node.bound().peer);
    for sequence in 1..4 {
        living.send(&call_of(sequence, "/fast"));
        assert_eq!(living.receive_answer().call.sequence, sequence);
    }
}

#[test]
fn the_end_of_an_idle_connection_costs_no_call() {
    // One of two connections ends at last, long after it was of use. A call is out on the other
    // one; given up with it, its caller would be told "may have run" for nothing.
    let pair = common::Pair::start("");
    let idle = impostor::Impostor::connect(pair.node.bound().peer);
    let mut living = impostor::Impostor::connect(pair.node.bound().peer);
    living.send(&call_of(1, "/fast"));
    living.receive_answer();
    living.send(&call_of(2, "/slow/300"));
    drop(idle);
    pair.await_count(counters::EdgeCause::PeerLost, 1);
    let answer = living.receive_answer();
    assert_eq!(answer.call.sequence, 2);
    assert_eq!(answer.verdict, verdict::CallVerdict::Answered);
}
