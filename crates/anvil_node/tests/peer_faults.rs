//! Invalid input at a node's peer port, from other nodes and from unknown peers.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::Write;
use std::net::UdpSocket;
use std::time::Duration;

use anvil_node::counters;
use anvil_testkit::test_cases;
use anvil_types::{ident, verdict};
use anvil_wire::seal::handshake;
use anvil_wire::{codec, frame};
use common::fake_peer;

#[test]
fn calls_of_a_peer_run_and_are_answered_in_any_order() {
    let pair = common::Pair::start("");
    let mut peer = fake_peer::FakePeer::connect(pair.node.bound().peer);
    peer.send(&fake_peer::call_of(1, "/slow/200"));
    peer.send(&fake_peer::call_of(2, "/fast"));
    let answers = [peer.receive_answer(), peer.receive_answer()];
    let order: Vec<_> = answers.iter().map(|answer| answer.call.sequence).collect();
    assert_eq!(order, [2, 1], "the fast one does not wait for the slow one");
    for answer in answers {
        assert_eq!(answer.verdict, verdict::CallVerdict::Answered);
    }
}

fn sealed_body_refused(body: &[u8], cause: counters::EdgeCause) {
    let pair = common::Pair::start("");
    let mut peer = fake_peer::FakePeer::connect(pair.node.bound().peer);
    peer.send_sealed(body);
    peer.assert_closed();
    pair.await_count(cause, 1);
    pair.assert_serving();
}

test_cases! {
    sealed_body_refused:
    no_frame => (&[255; 40], counters::EdgeCause::PeerFrameMalformed),
    empty_frame => (&[], counters::EdgeCause::PeerFrameMalformed),
    cut_call => (&[0, 1, 2], counters::EdgeCause::PeerFrameMalformed),
    bytes_after_a_frame => (&[2, 1, 1, 1, 99], counters::EdgeCause::PeerFrameMalformed),
}

fn bytes_after_the_handshake_refused(bytes: &[u8], cause: counters::EdgeCause) {
    let pair = common::Pair::start("");
    let mut peer = fake_peer::FakePeer::connect(pair.node.bound().peer);
    peer.socket.write_all(bytes).unwrap();
    peer.socket.shutdown(std::net::Shutdown::Write).unwrap();
    peer.assert_closed();
    pair.await_count(cause, 1);
    pair.assert_serving();
}

test_cases! {
    bytes_after_the_handshake_refused:
    oversized => (&[255; 4], counters::EdgeCause::PeerFrameOversized),
    cut_length => (&[0; 2], counters::EdgeCause::PeerFrameTruncated),
    cut_body => (&[0, 0, 1, 0, 1, 2, 3], counters::EdgeCause::PeerFrameTruncated),
    unsealed => (&[0; 24], counters::EdgeCause::PeerFrameForged),
}

fn hello_refused(first: &[u8]) {
    let pair = common::Pair::start("");
    let answer = common::read_to_close(common::raw(pair.node.bound().peer, first));
    assert_eq!(answer, "", "an unauthenticated peer gets no response");
    pair.await_count(counters::EdgeCause::PeerHandshakeRefused, 1);
    pair.assert_serving();
}

fn first_message(secret: u8, version: u16) -> Vec<u8> {
    let nonce = handshake::HandshakeNonce([7; handshake::NONCE_BYTES]);
    let own = fake_peer::hello(version, "127.0.0.1:9".parse().unwrap());
    let begun = handshake::InitiatorHandshake::begin(&fake_peer::key_ring(secret), own, nonce);
    begun.unwrap().1
}

test_cases! {
    hello_refused:
    http => (b"GET / HTTP/1.1\r\nhost: audiencias\r\n\r\n"),
    oversized_hello => (&[0, 1, 0, 0]),
    silent => (&[]),
    other_version => (&first_message(0, frame::PROTOCOL_VERSION + 1)),
}

// A peer without the key opens a connection and sends a call. The handshake must fail and the
// connection be closed before the call is read, so that nothing reaches the target.
#[test]
fn without_the_key_no_call_runs() {
    let pair = common::Pair::start("");
    let first = first_message(1, frame::PROTOCOL_VERSION);
    let mut socket = common::raw(pair.node.bound().peer, &first);
    fake_peer::read_message(&mut socket).unwrap();
    socket.write_all(&[0, 0, 0, 16]).unwrap();
    socket.write_all(&[0; 16]).unwrap();
    let call = codec::encode_frame(&fake_peer::call_of(1, "/stolen")).unwrap();
    // The node may already have closed the connection.
    let _ = socket.write_all(&call);
    assert_eq!(common::read_to_close(socket), "");
    pair.await_count(counters::EdgeCause::PeerHandshakeRefused, 1);
    assert!(pair.target.seen().is_empty());
}

// The calling node stops while its call runs here. Nobody can receive the answer, so the connection
// of the run must be closed, which lets the target cancel it.
#[test]
fn a_lost_peer_cancels_its_runs() {
    let pair = common::Pair::start("");
    let mut peer = fake_peer::FakePeer::connect(pair.node.bound().peer);
    peer.send(&fake_peer::call_of(1, "/slow/60000"));
    common::await_true("the target has the request", || {
        pair.target.seen().len() == 1
    });
    drop(peer);
    common::await_true("the run is cancelled at the target", || {
        pair.target.abandoned() == 1
    });
    pair.await_count(counters::EdgeCause::PeerConnectionLost, 1);
    pair.assert_serving();
}

#[test]
fn a_cancel_frame_cancels_the_run() {
    let pair = common::Pair::start("");
    let mut peer = fake_peer::FakePeer::connect(pair.node.bound().peer);
    peer.send(&fake_peer::call_of(1, "/slow/60000"));
    common::await_true("the target has the request", || {
        pair.target.seen().len() == 1
    });
    let call = ident::CallId {
        node: fake_peer::NODE,
        sequence: 1,
    };
    peer.send(&frame::PeerFrame::Cancel { call, attempt: 1 });
    common::await_true("the run is cancelled at the target", || {
        pair.target.abandoned() == 1
    });
}

fn datagram_refused(bytes: &[u8]) {
    let pair = common::Pair::start("");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let gossip = pair.node.bound().gossip;
    socket.send_to(bytes, gossip).unwrap();
    pair.await_count(counters::EdgeCause::DatagramRefused, 1);
    socket
        .set_read_timeout(Some(Duration::from_millis(20)))
        .unwrap();
    assert!(socket.recv_from(&mut [0; 2_000]).is_err(), "no echo");
    pair.assert_serving();
}

test_cases! {
    datagram_refused:
    empty_datagram => (&[]),
    short_datagram => (&[1, 0, 1]),
    unsealed_datagram => (&[1; 200]),
    large_datagram => (&[1; 1_401]),
}

#[test]
fn answers_are_sent_on_the_live_connection() {
    // Both nodes have connected at the same time, and the network has silently dropped one of the
    // two connections. An answer sent on that one would be lost, and its caller would wait for the
    // deadline. So answers are sent on the connection that received a frame last.
    let pair = common::Pair::start("");
    let _dropped = fake_peer::FakePeer::connect(pair.node.bound().peer);
    let mut live = fake_peer::FakePeer::connect(pair.node.bound().peer);
    for sequence in 1..4 {
        live.send(&fake_peer::call_of(sequence, "/fast"));
        assert_eq!(live.receive_answer().call.sequence, sequence);
    }
}

#[test]
fn the_end_of_an_idle_connection_fails_no_call() {
    // One of two connections ends after it was idle, while a call is in flight on the other one. If
    // the call were failed with it, its caller would get "may have run" for no reason.
    let pair = common::Pair::start("");
    let idle = fake_peer::FakePeer::connect(pair.node.bound().peer);
    let mut live = fake_peer::FakePeer::connect(pair.node.bound().peer);
    live.send(&fake_peer::call_of(1, "/fast"));
    live.receive_answer();
    live.send(&fake_peer::call_of(2, "/slow/300"));
    drop(idle);
    pair.await_count(counters::EdgeCause::PeerConnectionLost, 1);
    let answer = live.receive_answer();
    assert_eq!(answer.call.sequence, 2);
    assert_eq!(answer.verdict, verdict::CallVerdict::Answered);
}
