//! The handshake between two nodes and the sealed frames that follow it.

use anvil_testkit::test_cases;
use anvil_types::ident;
use anvil_wire::seal::{handshake, ring, stream};
use anvil_wire::{codec, frame, seal};

const INITIATOR: ident::NodeId = ident::NodeId(1);
const RESPONDER: ident::NodeId = ident::NodeId(2);

fn keys(secret: u8) -> ring::KeyRing {
    let key = ring::SealKey::new(ring::KeyId(1), &[secret; 32]).expect("a long secret");
    ring::KeyRing::new(vec![key]).expect("a ring")
}

fn hello(node: ident::NodeId) -> frame::PeerHello {
    frame::PeerHello {
        version: frame::PROTOCOL_VERSION,
        node,
        address: "10.0.0.9:7000".parse().expect("an address"),
    }
}

fn nonce(byte: u8) -> handshake::HandshakeNonce {
    handshake::HandshakeNonce([byte; handshake::NONCE_BYTES])
}

/// Checks and removes the length prefix, as the edges do.
fn unframed(bytes: &[u8]) -> &[u8] {
    let (prefix, rest) = bytes.split_first_chunk().expect("a length");
    assert_eq!(handshake::check_length(*prefix), Ok(rest.len()));
    rest
}

/// Both ends of a connection and an attacker's recording of their handshake.
struct Connection {
    initiator: stream::SealedStream,
    responder: stream::SealedStream,
    recorded: [Vec<u8>; 3],
}

fn connect(initiator_nonce: u8, responder_nonce: u8) -> Connection {
    let begun =
        handshake::InitiatorHandshake::begin(&keys(7), hello(INITIATOR), nonce(initiator_nonce));
    let (initiator, first) = begun.expect("a hello");
    let own = hello(RESPONDER);
    let first = unframed(&first).to_vec();
    let answered =
        handshake::ResponderHandshake::begin(&keys(7), &own, nonce(responder_nonce), &first);
    let (responder, second) = answered.expect("a challenge");
    let second = unframed(&second).to_vec();
    let finished = initiator.finish(&second, Some(RESPONDER));
    let (initiator, third) = finished.expect("the responder is authenticated");
    let third = unframed(&third).to_vec();
    let responder = responder
        .finish(&third)
        .expect("the initiator is authenticated");
    Connection {
        initiator,
        responder,
        recorded: [first, second, third],
    }
}

fn cancel(sequence: u64) -> frame::PeerFrame {
    let node = INITIATOR;
    frame::PeerFrame::Cancel {
        call: ident::CallId { node, sequence },
        attempt: 1,
    }
}

/// A sealed frame without its length prefix.
fn sealed(sealer: &mut stream::FrameSealer, sequence: u64) -> Vec<u8> {
    let mut bytes = codec::encode_frame(&cancel(sequence)).expect("a frame");
    let (prefix, _) = bytes.split_first_chunk().expect("a length");
    let length = codec::check_length(*prefix).expect("a valid length");
    sealer.seal(&mut bytes);
    let rest = bytes.split_off(codec::LENGTH_BYTES);
    assert_eq!(rest.len(), stream::FrameOpener::sealed_length(length));
    rest
}

#[test]
fn both_ends_are_authenticated_and_frames_pass_both_ways() {
    let mut connection = connect(1, 2);
    assert_eq!(connection.initiator.peer.node, RESPONDER);
    assert_eq!(connection.responder.peer.node, INITIATOR);
    for sequence in 0..3 {
        let bytes = sealed(&mut connection.initiator.sealer, sequence);
        let body = connection.responder.opener.open(&bytes).expect("forward");
        assert_eq!(codec::decode_frame(body), Ok(cancel(sequence)));
        let bytes = sealed(&mut connection.responder.sealer, sequence);
        let body = connection.initiator.opener.open(&bytes).expect("backward");
        assert_eq!(codec::decode_frame(body), Ok(cancel(sequence)));
    }
}

/// What an attacker does with two sealed frames before the receiver gets them.
type Attack = fn(first: Vec<u8>, second: Vec<u8>) -> Vec<Vec<u8>>;

fn check_attack(attack: Attack, accepted: usize) {
    // A caller must not receive the answer of another call. An attacker on the network repeats,
    // drops, swaps or changes frames; the first frame out of place is refused, and the edge then
    // closes the connection.
    let mut connection = connect(1, 2);
    let first = sealed(&mut connection.initiator.sealer, 1);
    let second = sealed(&mut connection.initiator.sealer, 2);
    let opener = &mut connection.responder.opener;
    let arriving = attack(first, second);
    let opened = arriving
        .iter()
        .take_while(|bytes| opener.open(bytes).is_ok());
    assert_eq!(opened.count(), accepted);
}

test_cases! { check_attack:
    no_attack => (|first, second| vec![first, second], 2),
    a_repeated_frame => (|first, _| vec![first.clone(), first], 1),
    swapped_frames => (|first, second| vec![second, first], 0),
    a_dropped_frame => (|_, second| vec![second], 0),
    a_changed_byte => (|mut first, second| { first[0] ^= 1; vec![first, second] }, 0),
    a_cut_frame => (|mut first, second| { first.pop(); vec![first, second] }, 0),
    an_empty_frame => (|_, second| vec![Vec::new(), second], 0),
}

#[test]
fn a_frame_of_another_connection_is_refused() {
    let mut old = connect(1, 2);
    let mut new = connect(3, 4);
    let bytes = sealed(&mut old.initiator.sealer, 1);
    assert_eq!(
        new.responder.opener.open(&bytes),
        Err(seal::SealError::Forged)
    );
}

#[test]
fn a_frame_sent_back_to_its_sender_is_refused() {
    let mut connection = connect(1, 2);
    let bytes = sealed(&mut connection.initiator.sealer, 1);
    assert_eq!(
        connection.initiator.opener.open(&bytes),
        Err(seal::SealError::Forged)
    );
}

#[test]
fn a_recorded_connection_cannot_be_replayed() {
    // An attacker recorded a complete handshake and opens a connection with its messages. The
    // responder's nonce differs this time, so the recorded proof doesn't match.
    let [first, _, third] = connect(1, 2).recorded;
    let own = hello(RESPONDER);
    let answered = handshake::ResponderHandshake::begin(&keys(7), &own, nonce(5), &first);
    let (responder, _) = answered.expect("a challenge for any initiator");
    assert!(matches!(
        responder.finish(&third),
        Err(seal::SealError::Forged)
    ));
}

#[test]
fn a_recorded_responder_cannot_be_replayed() {
    let [_, second, _] = connect(1, 2).recorded;
    let begun = handshake::InitiatorHandshake::begin(&keys(7), hello(INITIATOR), nonce(5));
    let (initiator, _) = begun.expect("a hello");
    let finished = initiator.finish(&second, None);
    assert!(matches!(finished, Err(seal::SealError::Forged)));
}

#[test]
fn a_node_without_the_secret_is_not_authenticated() {
    let begun = handshake::InitiatorHandshake::begin(&keys(99), hello(INITIATOR), nonce(1));
    let (initiator, first) = begun.expect("a hello");
    let own = hello(RESPONDER);
    let answered = handshake::ResponderHandshake::begin(&keys(7), &own, nonce(2), unframed(&first));
    let (_, second) = answered.expect("a challenge for any initiator");
    let finished = initiator.finish(unframed(&second), None);
    assert!(matches!(finished, Err(seal::SealError::Forged)));
}

#[test]
fn a_reflected_challenge_is_refused() {
    // An attacker that opens a connection returns the responder's own tag as its proof. Tags cover
    // the role of their sender, so the two never match.
    let begun = handshake::InitiatorHandshake::begin(&keys(99), hello(INITIATOR), nonce(1));
    let (_, first) = begun.expect("a hello");
    let own = hello(RESPONDER);
    let answered = handshake::ResponderHandshake::begin(&keys(7), &own, nonce(2), unframed(&first));
    let (responder, second) = answered.expect("a challenge for any initiator");
    let tag_start = second.len() - anvil_wire::seal::TAG_BYTES;
    assert!(matches!(
        responder.finish(&second[tag_start..]),
        Err(seal::SealError::Forged)
    ));
}

fn check_hello(change: fn(&mut frame::PeerHello), expected: &seal::SealError) {
    let mut peer = hello(INITIATOR);
    change(&mut peer);
    let begun = handshake::InitiatorHandshake::begin(&keys(7), peer, nonce(1));
    let (_, first) = begun.expect("a hello");
    let own = hello(RESPONDER);
    let answered = handshake::ResponderHandshake::begin(&keys(7), &own, nonce(2), unframed(&first));
    assert_eq!(&answered.expect_err("refused"), expected);
}

test_cases! { check_hello:
    another_version => (
        |hello| hello.version = frame::PROTOCOL_VERSION + 1,
        &seal::SealError::Version { found: frame::PROTOCOL_VERSION + 1 },
    ),
    this_node_itself => (|hello| hello.node = RESPONDER, &seal::SealError::OwnIdentity),
}

#[test]
fn another_node_at_the_expected_address_is_refused() {
    // A node was replaced by a new one at the same address. Calls are bound to the previous
    // process, so the initiator must not send them to the new one.
    let begun = handshake::InitiatorHandshake::begin(&keys(7), hello(INITIATOR), nonce(1));
    let (initiator, first) = begun.expect("a hello");
    let own = hello(ident::NodeId(3));
    let answered = handshake::ResponderHandshake::begin(&keys(7), &own, nonce(2), unframed(&first));
    let (_, second) = answered.expect("a challenge");
    let finished = initiator.finish(unframed(&second), Some(RESPONDER));
    let error = finished.expect_err("another node");
    let found = ident::NodeId(3);
    assert_eq!(
        error,
        seal::SealError::UnexpectedPeer {
            expected: RESPONDER,
            found
        }
    );
}

#[test]
fn every_changed_byte_of_the_handshake_is_refused() {
    let [first, second, third] = connect(1, 2).recorded;
    for position in 0..first.len() {
        let mut changed = first.clone();
        changed[position] ^= 1;
        assert!(
            !handshake_passes(&changed, None, None),
            "hello, byte {position}"
        );
    }
    for position in 0..second.len() {
        let mut changed = second.clone();
        changed[position] ^= 1;
        assert!(
            !handshake_passes(&first, Some(&changed), None),
            "challenge, byte {position}"
        );
    }
    for position in 0..third.len() {
        let mut changed = third.clone();
        changed[position] ^= 1;
        assert!(
            !handshake_passes(&first, None, Some(&changed)),
            "proof, byte {position}"
        );
    }
    assert!(handshake_passes(&first, None, None));
}

/// Runs a handshake in which an attacker replaces messages with those given.
fn handshake_passes(first: &[u8], second: Option<&[u8]>, third: Option<&[u8]>) -> bool {
    let begun = handshake::InitiatorHandshake::begin(&keys(7), hello(INITIATOR), nonce(1));
    let (initiator, _) = begun.expect("a hello");
    let own = hello(RESPONDER);
    let answered = handshake::ResponderHandshake::begin(&keys(7), &own, nonce(2), first);
    let Ok((responder, challenge)) = answered else {
        return false;
    };
    let arriving = second.unwrap_or_else(|| unframed(&challenge));
    let Ok((_, proof)) = initiator.finish(arriving, Some(RESPONDER)) else {
        return false;
    };
    responder
        .finish(third.unwrap_or_else(|| unframed(&proof)))
        .is_ok()
}

#[test]
fn an_unauthenticated_peer_cannot_announce_a_long_message() {
    let prefix = u32::try_from(handshake::MAX_MESSAGE_BYTES + 1).expect("small");
    assert!(handshake::check_length(prefix.to_be_bytes()).is_err());
}
