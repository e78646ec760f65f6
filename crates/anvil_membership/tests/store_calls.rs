//! How often a fleet asks the store where one key holds the rules, and what a change of that key takes.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use anvil_membership::fleet;
use anvil_testkit::test_cases;
use anvil_types::store;

mod harness;

use harness::Net;

const KEY: &str = "rules-of-the-operator";

/// Zones of the fleets.
const ZONES: usize = 6;

/// A calm time.
const CALM: Duration = Duration::from_secs(60);

/// Calls that one zone may cost in the calm time: two waiting watches, begun again every two and a half
/// seconds, three leases renewed every five seconds, and some for what goes on beside.
const CALLS_OF_A_ZONE: u64 = 2 * 24 + 3 * 12 + 10;

/// Calls that looks at the key may cost in the calm time, one a second over the whole fleet.
const LOOKS: u64 = 60 + 20;

/// Calls that a node may cost when it starts: its contacts, and the rules.
const CALLS_OF_A_START: u64 = 3;

/// Within this, operators expect a change to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);

/// The same while the store turns nodes away: the look of a node that it serves comes first.
const IN_FORCE_IN_PART: Duration = Duration::from_secs(7);

fn key() -> store::StoreKey {
    store::StoreKey::new(KEY)
}

fn write(net: &mut Net, revision: u64) {
    net.write_rules(&key(), revision);
}

fn add(net: &mut Net, slot: usize) -> usize {
    let index = net.add_at(slot, slot % ZONES, &harness::with_store());
    let now = net.now;
    net.nodes[index].state.use_document(now, key());
    index
}

fn fleet(size: usize) -> Net {
    let mut net = Net::new(7);
    write(&mut net, 2);
    for slot in 0..size {
        add(&mut net, slot);
    }
    let whole = |net: &Net| {
        let joined = |n: &harness::Node| n.state.is_ready() && n.state.table().live() == size;
        net.nodes.iter().all(joined)
    };
    let took = net.run_until(Duration::from_secs(20), whole);
    assert!(whole(&net), "the fleet met within {took:?}");
    net
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

// The store's users pay for each call. Two hundred nodes that each watch the key cost thousands of calls
// a minute for a change that comes twice a day; now two of each zone watch, the others hear of it.
fn calm_calls_go_with_the_zones(size: usize) {
    let mut net = fleet(size);
    let starts = calls(&net);
    let size = size as u64;
    let zones = ZONES as u64 * CALLS_OF_A_ZONE;
    assert!(
        starts <= size * CALLS_OF_A_START + zones + LOOKS,
        "{starts} calls at the start"
    );
    net.run(Duration::from_secs(20));
    let before = calls(&net);
    net.run(CALM);
    let calm = calls(&net) - before;
    assert!(calm <= zones + LOOKS, "{calm} calls in a calm minute");
}

test_cases! {
    calm_calls_go_with_the_zones:
    of_twenty_four_nodes => (24),
    of_ninety_six_nodes => (96),
    of_a_hundred_and_ninety_two_nodes => (192),
}

/// The nodes of `net` that wait at the store for a change.
fn watchers(net: &Net) -> Vec<usize> {
    let running = net.nodes.iter().enumerate().filter(|(_, n)| n.running);
    let watching = running.filter(|(_, n)| n.state.watches_rules());
    watching.map(|(index, _)| index).collect()
}

// Operators change a route again and again while those that watch the key vanish, a pair at a time. Each
// change is everywhere in time: other pairs see it, and the next of the zone take over.
#[test]
fn changes_arrive_while_watchers_vanish_in_series() {
    let mut net = fleet(48);
    for revision in 3..12 {
        let lost: Vec<usize> = watchers(&net).into_iter().take(2).collect();
        assert_eq!(lost.len(), 2);
        for index in lost {
            net.crash(index);
        }
        net.run(Duration::from_millis(300));
        assert_in_force(&mut net, revision, IN_FORCE);
    }
}

// All that watch vanish at the same moment, and a change comes in that moment. The looks of the others
// find it, or those that took over.
#[test]
fn a_change_arrives_though_all_watchers_vanish() {
    let mut net = fleet(48);
    for index in watchers(&net) {
        net.crash(index);
    }
    assert_in_force(&mut net, 3, IN_FORCE_IN_PART);
}

// The store turns the nodes of four zones away, then those of the other two, then serves all again.
#[test]
fn a_change_arrives_from_the_zones_that_the_store_serves() {
    let mut net = fleet(48);
    net.store_cut = vec![0, 1, 2, 3];
    net.run(Duration::from_secs(5));
    assert_in_force(&mut net, 3, IN_FORCE);
    net.store_cut = vec![4, 5];
    net.run(Duration::from_secs(5));
    assert_in_force(&mut net, 4, IN_FORCE);
    net.store_cut = Vec::new();
    net.run(Duration::from_secs(5));
    assert_in_force(&mut net, 5, IN_FORCE);
}

// The store is down for a while, and an operator's change is the first thing that it does afterwards.
#[test]
fn a_change_right_after_an_outage_arrives() {
    let mut net = fleet(48);
    net.store.faults.down = true;
    net.run(Duration::from_secs(8));
    net.store.faults.down = false;
    assert_in_force(&mut net, 3, IN_FORCE);
}

// Half of the fleet is stopped and comes back with new identities, while changes go on. Nobody serves by
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
        assert_in_force(&mut net, 3 + round as u64, IN_FORCE);
    }
}
