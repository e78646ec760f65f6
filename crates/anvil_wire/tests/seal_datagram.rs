//! Sealed datagrams: authentication, key rotation and replay protection.

use std::net::SocketAddr;
use std::sync::Arc;

use anvil_testkit::test_cases;
use anvil_types::ident;
use anvil_wire::seal::{self, datagram, replay, ring};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SENDER: ident::NodeId = ident::NodeId(11);
const PAYLOAD: &[u8] = b"alive";

fn key(id: u16, secret: u8) -> ring::SealKey {
    ring::SealKey::new(ring::KeyId(id), &[secret; 32]).expect("a long secret")
}

fn keys(ids: &[u16]) -> Arc<ring::KeyRing> {
    let keys = ids.iter().map(|id| key(*id, *id as u8)).collect();
    Arc::new(ring::KeyRing::new(keys).expect("a ring"))
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn receiver() -> SocketAddr {
    address("10.0.0.2:7000")
}

fn sealed(ids: &[u16]) -> Vec<u8> {
    let mut sealer = datagram::DatagramSealer::new(keys(ids), SENDER);
    sealer.seal(receiver(), PAYLOAD).expect("a datagram")
}

fn opener(ids: &[u16]) -> datagram::DatagramOpener {
    datagram::DatagramOpener::new(keys(ids), receiver())
}

#[test]
fn opens_a_datagram_sealed_with_the_key() {
    let bytes = sealed(&[1]);
    assert_eq!(bytes.len(), PAYLOAD.len() + datagram::OVERHEAD_BYTES);
    let mut opener = opener(&[1]);
    let opened = opener.open(&bytes).expect("a valid datagram");
    assert_eq!((opened.sender, opened.payload), (SENDER, PAYLOAD));
}

#[test]
fn refuses_every_changed_byte() {
    let bytes = sealed(&[1]);
    for position in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[position] ^= 1;
        assert!(opener(&[1]).open(&changed).is_err(), "byte {position}");
    }
}

// Guards against messages of the former layout that are read as others during a rolling update.
#[test]
fn a_datagram_of_the_former_layout_is_refused() {
    const FORMER_FORMAT: u8 = 1;
    let mut bytes = sealed(&[1]);
    bytes[0] = FORMER_FORMAT;
    let refused = opener(&[1]).open(&bytes);
    let version = seal::SealError::Version {
        found: u16::from(FORMER_FORMAT),
    };
    assert_eq!(refused, Err(version));
}

#[test]
fn a_datagram_for_another_node_is_refused() {
    // An attacker records a datagram for one node and sends it to another, whose replay window has
    // not seen its sequence. The tag covers the receiver's address, so it doesn't match there.
    let elsewhere = address("10.0.0.3:7000");
    let mut opener = datagram::DatagramOpener::new(keys(&[1]), elsewhere);
    assert_eq!(opener.open(&sealed(&[1])), Err(seal::SealError::Forged));
}

#[test]
fn a_mapped_address_is_the_same_receiver() {
    let mapped = address("[::ffff:10.0.0.2]:7000");
    let mut opener = datagram::DatagramOpener::new(keys(&[1]), mapped);
    assert!(opener.open(&sealed(&[1])).is_ok());
}

#[test]
fn a_repeated_datagram_is_refused() {
    // An attacker records a datagram that shows a node alive and sends it again after the node
    // left. Its sequence was already received, so it is rejected.
    let bytes = sealed(&[1]);
    let mut opener = opener(&[1]);
    opener.open(&bytes).expect("the first time");
    assert_eq!(opener.open(&bytes), Err(seal::SealError::Replayed));
}

#[test]
fn a_sender_without_the_secret_is_refused() {
    // The sender knows the key's id, which is not secret, but uses a secret of its own.
    let guessed = Arc::new(ring::KeyRing::new(vec![key(1, 99)]).expect("a ring"));
    let mut sealer = datagram::DatagramSealer::new(guessed, SENDER);
    let bytes = sealer.seal(receiver(), PAYLOAD).expect("a datagram");
    assert_eq!(opener(&[1]).open(&bytes), Err(seal::SealError::Forged));
}

fn check_rotation(sending: &[u16], receiving: &[u16], accepted: bool) {
    // Keys are rotated while nodes run, so in every round some nodes have the new settings and some
    // the old ones; each must accept what the other sends.
    assert_eq!(opener(receiving).open(&sealed(sending)).is_ok(), accepted);
    assert_eq!(opener(sending).open(&sealed(receiving)).is_ok(), accepted);
}

test_cases! { check_rotation:
    the_new_key_is_added_at_the_end => (&[1, 2], &[1], true),
    the_new_key_moves_to_the_front => (&[2, 1], &[1, 2], true),
    the_old_key_is_removed => (&[2], &[2, 1], true),
    a_node_that_missed_all_rounds => (&[2], &[1], false),
}

#[test]
fn refuses_payloads_and_datagrams_above_the_limit() {
    let mut sealer = datagram::DatagramSealer::new(keys(&[1]), SENDER);
    let fits = vec![0; datagram::MAX_PAYLOAD_BYTES];
    let bytes = sealer.seal(receiver(), &fits).expect("fits");
    assert_eq!(bytes.len(), datagram::MAX_DATAGRAM_BYTES);
    let above = vec![0; datagram::MAX_PAYLOAD_BYTES + 1];
    assert!(sealer.seal(receiver(), &above).is_err());
    assert!(
        opener(&[1])
            .open(&[0; datagram::MAX_DATAGRAM_BYTES + 1])
            .is_err()
    );
}

#[test]
fn accepts_each_sequence_once_in_any_order_within_the_window() {
    let mut guard = replay::ReplayGuard::default();
    let top = 100;
    assert!(guard.accept(SENDER, top));
    let lowest = top - replay::WINDOW_DATAGRAMS + 1;
    for sequence in (lowest..top).rev() {
        assert!(guard.accept(SENDER, sequence), "{sequence}");
        assert!(!guard.accept(SENDER, sequence), "{sequence}");
    }
    assert!(!guard.accept(SENDER, lowest - 1), "too old to tell");
    assert!(guard.accept(SENDER, top + 1_000));
    assert!(!guard.accept(SENDER, top));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_window_accepts_like_a_set_of_all_received_sequences(
        sequences in prop::collection::vec(0..200_u64, 0..200),
    ) {
        let mut guard = replay::ReplayGuard::default();
        let mut seen: Vec<u64> = Vec::new();
        for sequence in sequences {
            let highest = seen.iter().max().copied().unwrap_or_default();
            let fresh = !seen.contains(&sequence) && sequence + replay::WINDOW_DATAGRAMS > highest;
            prop_assert_eq!(guard.accept(SENDER, sequence), fresh);
            if fresh {
                seen.push(sequence);
            }
        }
    }
}

#[test]
fn the_sender_silent_for_longest_is_evicted() {
    // Nodes restart for days until the table of senders is full. Live nodes must stay protected
    // against replays, regardless of their ids.
    let limit = replay::MAX_SENDERS as u64;
    let mut guard = replay::ReplayGuard::default();
    for sender in 0..limit {
        assert!(guard.accept(ident::NodeId(sender), 1));
    }
    assert!(guard.accept(ident::NodeId(0), 2));
    assert!(guard.accept(ident::NodeId(limit), 1));
    assert_eq!(guard.len(), replay::MAX_SENDERS);
    assert!(!guard.accept(ident::NodeId(0), 2), "used recently");
    assert!(guard.accept(ident::NodeId(1), 1), "evicted");
}

fn check_ring(keys: Vec<ring::SealKey>, expected: &str) {
    let error = ring::KeyRing::new(keys).expect_err("an invalid ring");
    assert_eq!(error.to_string(), expected);
}

test_cases! { check_ring:
    no_key => (Vec::new(), "at least one key is needed"),
    one_id_twice => (vec![key(1, 1), key(1, 2)], "two keys have the id 1"),
    too_many_keys => ((0..9).map(|id| key(id, 1)).collect(), "at most 8 keys are accepted"),
}

#[test]
fn a_short_secret_is_refused_and_no_secret_is_printed() {
    let error = ring::SealKey::new(ring::KeyId(3), &[7; 31]).expect_err("too short");
    assert_eq!(
        error.to_string(),
        "the secret of key 3 is shorter than 32 bytes"
    );
    assert_eq!(format!("{:?}", key(3, 7)), "SealKey(KeyId(3))");
}
