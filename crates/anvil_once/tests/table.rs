//! Compares the bucketed table of records with a naive map.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_once::table;
use anvil_types::{ident, time};
use anvil_wire::key;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RETENTION: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
enum TableStep {
    Merge { key: u8, order: u64 },
    Remove { key: u8 },
    Expire,
}

fn steps() -> impl Strategy<Value = Vec<TableStep>> {
    let step = prop_oneof![
        4 => (any::<u8>(), 0..40_u64).prop_map(|(key, order)| TableStep::Merge { key, order }),
        1 => any::<u8>().prop_map(|key| TableStep::Remove { key }),
        1 => Just(TableStep::Expire),
    ];
    proptest::collection::vec(step, 1..200)
}

/// Spreads the keys over four buckets, so that a bucket holds several keys.
fn spread_key(key: u8) -> ident::RequestKey {
    let bucket = u128::from(key % 4) << 120;
    ident::RequestKey(bucket | u128::from(key))
}

fn record(key: u8, order: u64) -> key::KeyRecord {
    key::KeyRecord {
        key: spread_key(key),
        fingerprint: ident::RequestFingerprint(1),
        call: ident::CallId {
            node: ident::NodeId(1),
            sequence: order,
        },
        order,
        age_micros: 0,
        state: key::RecordState::Held,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn table_agrees_with_a_naive_map(steps in steps()) {
        let mut table = table::KeyTable::default();
        let mut naive: BTreeMap<ident::RequestKey, (u64, time::NodeTime)> = BTreeMap::new();
        for (at, step) in steps.into_iter().enumerate() {
            let now = time::NodeTime::from_millis(at as u64);
            match step {
                TableStep::Merge { key, order } => {
                    let known = naive.get(&spread_key(key)).map(|entry| entry.0);
                    prop_assert_eq!(
                        table.merge(now, record(key, order)),
                        known.is_none_or(|known| known <= order)
                    );
                    if known.is_none_or(|known| known < order) {
                        naive.insert(spread_key(key), (order, now));
                    }
                }
                TableStep::Remove { key } => {
                    table.remove(spread_key(key));
                    naive.remove(&spread_key(key));
                }
                TableStep::Expire => {
                    table.expire(now, RETENTION);
                    naive.retain(|_, entry| now.since(entry.1) < RETENTION);
                }
            }
            let held: Vec<_> = table.iter().map(|entry| (entry.key, entry.order)).collect();
            let expected: Vec<_> = naive.iter().map(|(key, entry)| (*key, entry.0)).collect();
            prop_assert_eq!(table.len(), naive.len());
            prop_assert_eq!(held, expected);
        }
    }
}

#[test]
fn parts_hold_every_record_once() {
    let mut table = table::KeyTable::default();
    for key in 0..=255 {
        table.merge(time::NodeTime::START, record(key, u64::from(key)));
    }
    let mut keys = Vec::new();
    let mut after = None;
    loop {
        let part = table.part(after, 7);
        after = part.last().map(|entry| entry.key);
        keys.extend(part.iter().map(|entry| entry.key));
        if part.len() < 7 {
            break;
        }
    }
    let all: Vec<_> = table.iter().map(|entry| entry.key).collect();
    assert_eq!(keys, all);
}
