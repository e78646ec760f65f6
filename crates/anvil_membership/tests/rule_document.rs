//! Rules that operators keep under one key of the store, as nodes learn of them.

use std::time::Duration;

use anvil_membership::{effect, fleet};
use anvil_testkit::test_cases;
use anvil_types::{ident, name, store, time};
use anvil_wire::gossip;

mod harness;

use harness::Net;

const KEY: &str = "rules-of-the-operator";

/// Within this, operators expect a change to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);

fn key() -> store::StoreKey {
    store::StoreKey::new(KEY)
}

/// The whole rules at `revision`; the harness checks that their body grows with it.
fn whole(revision: u64) -> gossip::LoggedChange {
    harness::whole_rules(revision)
}

/// The operator writes to the store, which no node has any part in.
fn write(net: &mut Net, revision: u64) {
    net.write_rules(&key(), revision);
}

fn add(net: &mut Net, slot: usize, region: usize) -> usize {
    let index = net.add_at(slot, region, &harness::with_store());
    let now = net.now;
    net.nodes[index].state.use_document(now, key());
    index
}

/// Sixteen nodes, of which the last four stand in another region, with the first rules in force.
fn fleet() -> Net {
    fleet_of(5)
}

fn fleet_of(seed: u64) -> Net {
    let mut net = Net::new(seed);
    write(&mut net, 2);
    for slot in 0..16 {
        add(&mut net, slot, usize::from(slot >= 12));
    }
    let whole = |net: &Net| {
        let joined = |n: &harness::Node| n.state.is_ready() && n.state.table().live() == 16;
        net.nodes.iter().all(joined)
    };
    let took = net.run_until(Duration::from_secs(8), whole);
    assert!(whole(&net), "the fleet met within {took:?}");
    net
}

fn holding(net: &Net, revision: u64) -> usize {
    let held = |n: &&harness::Node| n.running && n.state.revision().0 >= revision;
    net.nodes.iter().filter(held).count()
}

#[test]
fn a_change_is_in_force_everywhere_in_time() {
    // A route is moved; from two seconds later on no request may go the old way. Each node watches
    // the key; revisions rise in uneven steps.
    let mut net = fleet();
    write(&mut net, 7);
    let took = net.run_until(Duration::from_secs(10), |net| holding(net, 7) == 16);
    assert!(took <= IN_FORCE, "took {took:?}");
}

#[test]
fn nodes_that_the_store_turns_away_hear_of_a_change_from_their_peers() {
    // Callers at four nodes would be treated by rules that were dropped minutes ago. The store
    // serves the others; their datagrams tell of the newer revision, and the rules are asked for.
    let mut net = fleet();
    net.store_cut = vec![1];
    net.run(Duration::from_secs(1));
    write(&mut net, 7);
    let took = net.run_until(Duration::from_secs(10), |net| holding(net, 7) == 16);
    assert!(took <= IN_FORCE, "took {took:?}");
}

#[test]
fn a_node_that_restarts_without_the_store_is_met_by_its_peers() {
    // Its callers would be refused until the store is back. It knows nobody, and it has said
    // good-bye, so nobody looks for it; but its peers ping the addresses of those who left, and
    // whoever answers there gets the rules.
    let mut net = fleet();
    net.store_cut = vec![0, 1];
    net.act(3, fleet::FleetState::leave);
    net.crash(3);
    net.run(Duration::from_millis(500));
    let again = add(&mut net, 3, 0);
    let ready = |net: &Net| net.nodes[again].state.is_ready();
    let took = net.run_until(Duration::from_secs(20), ready);
    assert!(
        ready(&net) && took <= Duration::from_secs(3),
        "took {took:?}"
    );
    assert_eq!(net.nodes[again].state.revision(), ident::RuleRevision(2));
}

#[test]
fn a_node_that_knows_no_rules_serves_nothing() {
    // Nothing stands at the key yet. Ready nodes would answer that no route exists, and callers
    // would take that for the truth.
    let mut net = Net::new(6);
    for slot in 0..4 {
        add(&mut net, slot, 0);
    }
    net.run(Duration::from_secs(6));
    assert!(net.nodes.iter().all(|n| !n.state.is_ready()));
    write(&mut net, 3);
    let ready = |net: &Net| net.nodes.iter().all(|n| n.state.is_ready());
    let took = net.run_until(Duration::from_secs(10), ready);
    assert!(took <= IN_FORCE, "took {took:?}");
}

/// One node on its own, and what it asks the store as time goes on.
struct LoneNode {
    state: fleet::FleetState,
    now: time::NodeTime,
}

impl LoneNode {
    fn new() -> Self {
        let local = fleet::LocalNode {
            node: ident::NodeId(1),
            tcp: harness::address(0),
            udp: harness::address(0),
            zone: name::ZoneName::new("zone").expect("a name"),
            region: name::RegionName::new("region").expect("a name"),
        };
        let now = time::NodeTime::from_millis(1);
        let mut state = fleet::FleetState::new(harness::with_store(), &local, 3, now);
        state.use_document(now, key());
        Self { state, now }
    }

    /// The next question about the rules, and the time until it is asked.
    fn next_ask(&mut self) -> (Duration, store::StoreId, store::StoreRequest) {
        let start = self.now;
        loop {
            self.now = self.state.next_wake().expect("it has something due");
            for effect in self.state.on_wake(self.now) {
                let effect::FleetEffect::SendStoreRequest { id, request } = effect else {
                    continue;
                };
                let about = match &request {
                    store::StoreRequest::List { prefix, .. }
                    | store::StoreRequest::Watch { prefix, .. } => *prefix == key(),
                    _ => false,
                };
                if about {
                    return (self.now.since(start), id, request);
                }
            }
        }
    }

    fn answer(&mut self, id: store::StoreId, outcome: store::StoreOutcome) {
        self.now = self.now + Duration::from_millis(4);
        self.state.on_store(self.now, id, outcome);
    }
}

fn listed(revision: u64, seen: u64) -> store::StoreOutcome {
    let entry = store::StoreEntry {
        key: key(),
        version: store::StoreVersion(seen),
        value: whole(revision).to_value().unwrap_or_default(),
    };
    store::StoreOutcome::Done(store::StoreReply::Listed {
        entries: vec![entry],
        seen: store::StoreVersion(seen),
        more: false,
    })
}

// A watch fails: its history is lost, its answer is lost, or the store is down. A change made in the
// gap must not stay unheard, and a store that is away must not be asked without a pause.
fn a_failed_watch_is_followed_by(
    outcome: &store::StoreOutcome,
    reads_anew: bool,
    least: Duration,
    most: Duration,
) {
    let mut node = LoneNode::new();
    let (_, id, ask) = node.next_ask();
    assert!(matches!(ask, store::StoreRequest::List { .. }));
    node.answer(id, listed(2, 40));
    let (_, id, ask) = node.next_ask();
    assert!(matches!(ask, store::StoreRequest::Watch { .. }));
    node.answer(id, outcome.clone());
    let (pause, id, ask) = node.next_ask();
    assert_eq!(matches!(ask, store::StoreRequest::List { .. }), reads_anew);
    assert!(least <= pause && pause <= most, "{pause:?}");
    node.answer(id, listed(9, 90));
    assert_eq!(node.state.revision(), ident::RuleRevision(9));
    // A stale answer takes nothing back.
    let (_, id, _) = node.next_ask();
    node.answer(id, listed(4, 60));
    assert_eq!(node.state.revision(), ident::RuleRevision(9));
}

test_cases! {
    a_failed_watch_is_followed_by:
    a_read_where_history_is_lost => (
        &store::StoreOutcome::HistoryTrimmed, true, Duration::ZERO, Duration::from_millis(20)),
    a_pause_where_the_answer_is_lost => (
        &store::StoreOutcome::Unknown, false, Duration::from_millis(100), Duration::from_millis(1_500)),
    a_pause_where_the_store_is_down => (
        &store::StoreOutcome::Unavailable, false, Duration::from_millis(100),
        Duration::from_millis(1_500)),
}

// The store is away for a moment and comes back from a copy of some seconds ago: the newest rules and all
// leases are gone, and its order of writes begins anew. No node goes back, and the operator's next rules
// are in force everywhere in time, also where their place in that order is below what watchers had seen.
#[test]
fn a_store_that_comes_back_older_takes_nothing_back() {
    let mut net = fleet();
    let copy = net.store.clone();
    write(&mut net, 7);
    net.run_until(Duration::from_secs(10), |net| holding(net, 7) == 16);
    net.run(Duration::from_secs(5));
    for newer in [9, 12] {
        net.store.faults.down = true;
        net.run(Duration::from_millis(500));
        net.store.put_back(&copy);
        net.store.faults.down = false;
        net.run(Duration::from_secs(3));
        assert_eq!(holding(&net, 7), 16);
        let reads = net.store.counts().reads;
        net.run(Duration::from_secs(5));
        let reads = net.store.counts().reads - reads;
        assert!(reads < 40, "{reads} reads in five seconds");
        write(&mut net, newer);
        let took = net.run_until(Duration::from_secs(10), |net| holding(net, newer) == 16);
        assert!(took <= IN_FORCE, "took {took:?}");
    }
}

// A node starts while the store holds the older rules only. It learns the newer ones of its peers, and
// serves nothing before.
#[test]
fn a_newborn_beside_an_older_copy_learns_of_its_peers() {
    let mut net = fleet();
    let copy = net.store.clone();
    write(&mut net, 7);
    net.run_until(Duration::from_secs(10), |net| holding(net, 7) == 16);
    net.store.put_back(&copy);
    let newborn = add(&mut net, 16, 0);
    let ready = |net: &Net| net.nodes[newborn].state.is_ready();
    net.run_until(Duration::from_secs(8), ready);
    assert!(ready(&net));
    assert_eq!(net.nodes[newborn].state.revision().0, 7);
}

// Guards against newborns that serve by rules which the fleet has left behind, at any moment before or
// after the store came back from an older copy.
fn newborns_beside_an_older_copy(born_before: Duration, born_after: Duration) {
    for seed in 0..20 {
        let mut net = fleet_of(seed);
        let copy = net.store.clone();
        write(&mut net, 7);
        net.run_until(Duration::from_secs(10), |net| holding(net, 7) == 16);
        net.store.faults.down = true;
        net.run(Duration::from_millis(500) - born_before);
        let early = (!born_before.is_zero()).then(|| add(&mut net, 16, 0));
        net.run(born_before);
        net.store.put_back(&copy);
        net.store.faults.down = false;
        net.run(born_after);
        let newborn = early.unwrap_or_else(|| add(&mut net, 16, 0));
        let ready = |net: &Net| net.nodes[newborn].state.is_ready();
        let took = net.run_until(Duration::from_secs(8), ready);
        assert!(ready(&net), "seed {seed}");
        let revision = net.nodes[newborn].state.revision().0;
        assert_eq!(revision, 7, "seed {seed}, ready after {took:?}");
    }
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

test_cases! {
    newborns_beside_an_older_copy:
    born_while_the_store_is_away => (millis(250), millis(0)),
    born_as_the_store_is_back => (millis(0), millis(0)),
    born_a_moment_later => (millis(0), millis(300)),
    born_a_second_later => (millis(0), millis(1_000)),
    born_seconds_later => (millis(0), millis(3_000)),
}
