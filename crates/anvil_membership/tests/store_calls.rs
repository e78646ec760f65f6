//! The store calls of a fleet that reads its rules from a document, and the time until a change of
//! the document is in force.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_membership::fleet;
use anvil_testkit::test_cases;
use anvil_types::store;

mod harness;

use harness::Net;

const KEY: &str = "rules-of-the-operator";

/// Number of zones of the fleets.
const ZONES: usize = 6;

/// A period without changes.
const QUIET_PERIOD: Duration = Duration::from_secs(60);

/// Maximum number of calls of one zone in the quiet period: two watches, renewed every seven and a
/// half seconds, three leases, renewed every five seconds, and a margin for other calls.
const MAX_CALLS_PER_ZONE: u64 = 2 * 8 + 3 * 12 + 10;

/// Maximum number of polls of the document in the quiet period, ten in three seconds over the whole
/// fleet.
const MAX_POLLS: u64 = 200 + 40;

/// Maximum number of calls of a starting node, for the contacts and the rules.
const MAX_CALLS_PER_START: u64 = 3;

/// Time within which operators expect a change to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

fn key() -> store::StoreKey {
    store::StoreKey::new(KEY)
}

fn write(net: &mut Net, revision: u64) {
    net.write_rules(&key(), revision);
}

fn add(net: &mut Net, slot: usize) -> usize {
    net.add_reader(slot, slot % ZONES, &key())
}

fn fleet(size: usize) -> Net {
    fleet_with_seed(size, 7)
}

fn fleet_with_seed(size: usize, seed: u64) -> Net {
    Net::with_document(size, ZONES, seed, &key())
}

fn calls(net: &Net) -> u64 {
    let counts = net.store.counts();
    counts.reads + counts.writes
}

fn holding(net: &Net, revision: u64) -> bool {
    let held = |n: &harness::Node| !n.running || n.state.revision().0 >= revision;
    net.nodes.iter().all(held)
}

fn assert_in_force(net: &mut Net, revision: u64, bound: Duration) {
    write(net, revision);
    let took = net.run_until(Duration::from_secs(20), |net| holding(net, revision));
    assert!(took <= bound, "revision {revision} took {took:?}");
}

// The store's users pay for each call. If each of two hundred nodes watched the document, that
// would cost thousands of calls a minute for a change that is made twice a day. Two nodes of each
// zone watch, and the others receive the change from them.
fn quiet_calls_depend_on_the_zones(size: usize, loss_percent: usize) {
    let mut net = fleet(size);
    net.loss_percent = loss_percent;
    let starts = calls(&net);
    let size = size as u64;
    let zones = ZONES as u64 * MAX_CALLS_PER_ZONE;
    assert!(
        starts <= size * MAX_CALLS_PER_START + zones + MAX_POLLS,
        "{starts} calls at the start"
    );
    net.run(Duration::from_secs(20));
    let before = calls(&net);
    net.run(QUIET_PERIOD);
    let quiet_calls = calls(&net) - before;
    assert!(
        quiet_calls <= zones + MAX_POLLS,
        "{quiet_calls} calls in a quiet minute"
    );
}

test_cases! {
    quiet_calls_depend_on_the_zones:
    of_twenty_four_nodes => (24, 0),
    of_ninety_six_nodes => (96, 0),
    of_a_hundred_and_ninety_two_nodes => (192, 0),
    of_ninety_six_nodes_that_lose_datagrams => (96, 2),
    of_a_hundred_and_ninety_two_nodes_that_lose_datagrams => (192, 2),
}

// Operators change a route repeatedly while the watchers of the document crash, a pair at a time.
// Each change arrives in time: other pairs receive it, and the next nodes of the zone become
// watchers.
#[test]
fn changes_arrive_while_pairs_of_watchers_crash() {
    let mut net = fleet(48);
    for revision in 3..12 {
        let lost: Vec<usize> = net.watchers().into_iter().take(2).collect();
        assert_eq!(lost.len(), 2);
        for index in lost {
            net.crash(index);
        }
        net.run(Duration::from_millis(300));
        assert_in_force(&mut net, revision, IN_FORCE_LIMIT);
    }
}

// All watchers crash at once, and a change is made at the same moment. A node whose probe is not
// answered finds it.
#[test]
fn a_change_arrives_although_all_watchers_crash() {
    let mut net = fleet(48);
    for index in net.watchers() {
        net.crash(index);
    }
    assert_in_force(&mut net, 3, IN_FORCE_LIMIT);
}

// The store rejects the nodes of four zones, then those of the other two, then serves all again.
#[test]
fn a_change_arrives_from_the_zones_that_the_store_serves() {
    let mut net = fleet(48);
    net.store_cut = vec![0, 1, 2, 3];
    net.run(Duration::from_secs(5));
    assert_in_force(&mut net, 3, IN_FORCE_LIMIT);
    net.store_cut = vec![4, 5];
    net.run(Duration::from_secs(5));
    assert_in_force(&mut net, 4, IN_FORCE_LIMIT);
    net.store_cut = Vec::new();
    net.run(Duration::from_secs(5));
    assert_in_force(&mut net, 5, IN_FORCE_LIMIT);
}

// The store is down for a while, and an operator's change is the first write after the outage.
#[test]
fn a_change_right_after_an_outage_arrives() {
    let mut net = fleet(48);
    net.store.faults.down = true;
    net.run(Duration::from_secs(8));
    net.store.faults.down = false;
    assert_in_force(&mut net, 3, IN_FORCE_LIMIT);
}

// Half of the nodes are replaced by nodes with new ids while changes are made. No node serves by
// old rules for longer than operators expect.
#[test]
fn changes_arrive_while_half_of_the_fleet_is_replaced() {
    let mut net = fleet(48);
    for round in 0..4 {
        for slot in (0..48).filter(|slot| slot % 8 == 2 * round) {
            net.act(slot, fleet::FleetState::leave);
            net.crash(slot);
            add(&mut net, slot);
        }
        net.run(Duration::from_millis(700));
        assert_in_force(&mut net, 3 + round as u64, IN_FORCE_LIMIT);
    }
}

// Guards against a part of the fleet that reaches only the store and misses a change.
fn a_change_reaches_every_side_of_a_partition(side_size: usize, after: Duration) {
    for seed in 1..=8 {
        let mut net = fleet_with_seed(80, seed);
        let watching = net.watchers();
        let others = (0..net.nodes.len()).filter(|index| !watching.contains(index));
        let cut: Vec<usize> = others.take(12).collect();
        let sides = cut.iter().enumerate();
        net.sides = sides
            .map(|(place, node)| (*node, 1 + place / side_size))
            .collect();
        net.run(after);
        assert_in_force(&mut net, 3, IN_FORCE_LIMIT);
    }
}

test_cases! {
    a_change_reaches_every_side_of_a_partition:
    sides_of_one_node_at_once => (1, Duration::from_millis(10)),
    sides_of_one_node_after_a_second => (1, Duration::from_secs(1)),
    sides_of_one_node_after_three_seconds => (1, Duration::from_secs(3)),
    sides_of_one_node_after_eight_seconds => (1, Duration::from_secs(8)),
    sides_of_four_nodes_after_three_seconds => (4, Duration::from_secs(3)),
    sides_of_twelve_nodes_after_three_seconds => (12, Duration::from_secs(3)),
}

// Guards against nodes that notice the second of two partitions late, as the first one has raised
// their health scores, which stretch their probes.
fn a_change_reaches_every_side_of_a_second_partition(pause: Duration) {
    for seed in 1..=8 {
        let mut net = fleet_with_seed(80, seed);
        let watching = net.watchers();
        let others = (0..net.nodes.len()).filter(|index| !watching.contains(index));
        let sides: BTreeMap<usize, usize> = others.take(12).zip(1..).collect();
        net.sides = sides.clone();
        net.run(Duration::from_secs(8));
        net.sides.clear();
        net.run(pause);
        net.sides = sides;
        net.run(Duration::from_millis(10));
        assert_in_force(&mut net, 3, IN_FORCE_LIMIT);
    }
}

test_cases! {
    a_change_reaches_every_side_of_a_second_partition:
    sides_again_after_two_seconds => (Duration::from_secs(2)),
    sides_again_after_six_seconds => (Duration::from_secs(6)),
    sides_again_after_ten_seconds => (Duration::from_secs(10)),
}

// Guards against a change that goes unnoticed until membership replaces crashed watchers.
fn a_change_is_in_force_in_time_without_watchers(size: usize, after: Duration) {
    for seed in 1..=8 {
        let mut net = fleet_with_seed(size, seed);
        for index in net.watchers() {
            net.crash(index);
        }
        net.run(after);
        assert_in_force(&mut net, 3, IN_FORCE_LIMIT);
    }
}

test_cases! {
    a_change_is_in_force_in_time_without_watchers:
    forty_eight_nodes_without_watchers_at_once => (48, Duration::from_millis(10)),
    eighty_nodes_without_watchers_at_once => (80, Duration::from_millis(10)),
    eighty_nodes_without_watchers_after_a_second => (80, Duration::from_secs(1)),
}

// Guards against newer rules that a peer sends over a silent connection and that never arrive.
fn a_change_is_in_force_in_time_behind_silent_connections(silent_percent: usize) {
    for seed in 1..=8 {
        let mut net = fleet_with_seed(80, seed);
        net.silent_percent = silent_percent;
        for revision in 3..6 {
            assert_in_force(&mut net, revision, IN_FORCE_LIMIT);
            net.run(Duration::from_secs(2));
        }
    }
}

test_cases! {
    a_change_is_in_force_in_time_behind_silent_connections:
    half_of_the_connections_are_silent => (50),
    four_of_five_connections_are_silent => (80),
    all_connections_are_silent => (100),
}
