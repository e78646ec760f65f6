//! Arbitrary messages that can be decoded, in any order, from a peer that holds the key.

use std::time::Duration;

use anvil_membership::{config, fleet};
use anvil_types::{ident, name, store, time};
use anvil_wire::gossip;
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

mod harness;

const MEMBER_LIMIT: usize = 64;

fn start() -> fleet::FleetState {
    let local = fleet::LocalNode {
        node: ident::NodeId(1),
        tcp: harness::address(1),
        udp: harness::address(1),
        zone: name::ZoneName::new("zone").expect("a name"),
        region: name::RegionName::new("region").expect("a name"),
    };
    let config = config::FleetConfig {
        store: true,
        member_limit: MEMBER_LIMIT,
        tombstone_limit: MEMBER_LIMIT,
        ..config::FleetConfig::default()
    };
    fleet::FleetState::new(config, &local, 1, time::NodeTime::START)
}

/// Bytes that often decode: the start of a datagram or of a bulk message, followed by small
/// numbers, which are valid as tags, lengths and ids.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let byte = prop_oneof![8 => 0..4u8, 1 => 97..100u8, 1 => any::<u8>()];
    let rest = proptest::collection::vec(byte, 1..60);
    let bulk = proptest::option::of(0..4u8);
    (bulk, 0..4u8, 0..4u8, 0..5u8, 0..2u8, 0..12u8, rest).prop_map(
        |(bulk, from, incarnation, revision, ready, kind, rest)| {
            let mut bytes: Vec<u8> = bulk.into_iter().collect();
            bytes.extend([from, incarnation, revision, ready, kind]);
            bytes.extend(rest);
            bytes
        },
    )
}

fn outcome(bytes: &[u8]) -> store::StoreOutcome {
    postcard::from_bytes(bytes).unwrap_or(store::StoreOutcome::Done(store::StoreReply::Entry(
        Some(store::StoreEntry {
            key: store::StoreKey::new("any"),
            version: store::StoreVersion(1),
            value: Bytes::copy_from_slice(bytes),
        }),
    )))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_message_panics_or_fills_the_memory(
        inputs in proptest::collection::vec((bytes(), 0..900u64), 1..60),
    ) {
        // A faulty peer must not harm others: whatever decodes is applied or rejected without a
        // panic, the tables keep their limits, and revisions never decrease.
        let mut state = start();
        let mut now = time::NodeTime::from_millis(1);
        for (sequence, (bytes, millis)) in (1..).zip(&inputs) {
            now = now + Duration::from_millis(*millis);
            let revision = state.revision();
            if let Ok(message) = postcard::from_bytes::<gossip::GossipMessage>(bytes) {
                state.on_datagram(now, harness::address(2), &message);
            }
            if let Ok(message) = postcard::from_bytes::<gossip::SyncMessage>(bytes) {
                state.on_sync(now, message.head().from, &message);
            }
            let part = store::StoreRequester::Fleet;
            state.on_store(now, store::StoreId { requester: part, sequence }, outcome(bytes));
            state.on_wake(now);
            prop_assert!(state.revision() >= revision);
        }
        state.on_wake(now + Duration::from_secs(60));
        prop_assert!(state.table().live() <= MEMBER_LIMIT + 1);
        prop_assert!(state.table().tombstones() <= MEMBER_LIMIT);
        prop_assert!(state.backlog() <= 2 * state.table().all().len() + 64);
    }
}

#[test]
fn the_inputs_above_do_decode() {
    // If the bytes never decoded, the property above would hold trivially.
    use proptest::strategy::ValueTree;
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let mut decoded = [0, 0];
    for _ in 0..2_000 {
        let bytes = bytes().new_tree(&mut runner).expect("bytes").current();
        decoded[0] += usize::from(postcard::from_bytes::<gossip::GossipMessage>(&bytes).is_ok());
        decoded[1] += usize::from(postcard::from_bytes::<gossip::SyncMessage>(&bytes).is_ok());
    }
    assert!(
        decoded.iter().all(|count| *count > 100),
        "{decoded:?} of 2000"
    );
}
