//! Distribution of rules that operators keep in a document under one key of the store.

use std::time::Duration;

use anvil_membership::{effect, fleet};
use anvil_testkit::test_cases;
use anvil_types::{ident, name, store, time};
use anvil_wire::gossip;

mod harness;

use harness::Net;

const KEY: &str = "rules-of-the-operator";

/// Time within which operators expect a change to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

fn key() -> store::StoreKey {
    store::StoreKey::new(KEY)
}

/// A document of the rules at `revision`; the harness checks that its body grows with the revision.
fn complete_rules(revision: u64) -> gossip::LoggedChange {
    harness::complete_rules(revision)
}

/// Writes the document as an operator, directly to the store.
fn write(net: &mut Net, revision: u64) {
    net.write_rules(&key(), revision);
}

fn add(net: &mut Net, slot: usize, region: usize) -> usize {
    let index = net.add_at(slot, region, &harness::with_store());
    let now = net.now;
    net.nodes[index].state.use_document(now, key());
    index
}

/// Sixteen ready nodes, the last four of them in another region.
fn fleet() -> Net {
    fleet_of(5)
}

fn fleet_of(seed: u64) -> Net {
    let mut net = Net::new(seed);
    write(&mut net, 2);
    for slot in 0..16 {
        add(&mut net, slot, usize::from(slot >= 12));
    }
    let all_joined = |net: &Net| {
        let joined = |n: &harness::Node| n.state.is_ready() && n.state.table().live() == 16;
        net.nodes.iter().all(joined)
    };
    let took = net.run_until(Duration::from_secs(8), all_joined);
    assert!(all_joined(&net), "the fleet did not join within {took:?}");
    net
}

fn holding(net: &Net, revision: u64) -> usize {
    let held = |n: &&harness::Node| n.running && n.state.revision().0 >= revision;
    net.nodes.iter().filter(held).count()
}

#[test]
fn a_change_is_in_force_everywhere_in_time() {
    // Two seconds after a route is changed, no request may take the old route. The revisions of the
    // document have gaps.
    let mut net = fleet();
    write(&mut net, 7);
    let took = net.run_until(Duration::from_secs(10), |net| holding(net, 7) == 16);
    assert!(took <= IN_FORCE_LIMIT, "took {took:?}");
}

#[test]
fn nodes_rejected_by_the_store_receive_changes_from_peers() {
    // The store rejects four nodes, which must not apply old rules for minutes. The store serves
    // the others; their datagrams contain the newer revision, and the four nodes pull the rules.
    let mut net = fleet();
    net.store_cut = vec![1];
    net.run(Duration::from_secs(1));
    write(&mut net, 7);
    let took = net.run_until(Duration::from_secs(10), |net| holding(net, 7) == 16);
    assert!(took <= IN_FORCE_LIMIT, "took {took:?}");
}

#[test]
fn a_node_that_restarts_without_the_store_is_met_by_its_peers() {
    // A node that restarts during an outage of the store knows no peers, and its previous instance
    // announced that it left. Its peers ping the addresses of members that left, and the node that
    // answers obtains the rules from them. Otherwise it would refuse requests until the store is
    // back.
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
fn a_node_without_rules_serves_no_requests() {
    // While there is no document, nodes must not become ready: they would answer that no route
    // exists, and callers would rely on that.
    let mut net = Net::new(6);
    for slot in 0..4 {
        add(&mut net, slot, 0);
    }
    net.run(Duration::from_secs(6));
    assert!(net.nodes.iter().all(|n| !n.state.is_ready()));
    write(&mut net, 3);
    let ready = |net: &Net| net.nodes.iter().all(|n| n.state.is_ready());
    let took = net.run_until(Duration::from_secs(10), ready);
    assert!(took <= IN_FORCE_LIMIT, "took {took:?}");
}

/// A single node whose store requests are answered by the test.
struct LoneNode {
    state: fleet::FleetState,
    now: time::NodeTime,
}

impl LoneNode {
    fn new() -> Self {
        Self::with_seed(3)
    }

    fn with_seed(seed: u64) -> Self {
        let local = fleet::LocalNode {
            node: ident::NodeId(1),
            tcp: harness::address(0),
            udp: harness::address(0),
            zone: name::ZoneName::new("zone").expect("a name"),
            region: name::RegionName::new("region").expect("a name"),
        };
        let now = time::NodeTime::from_millis(1);
        let mut state = fleet::FleetState::new(harness::with_store(), &local, seed, now);
        state.use_document(now, key());
        Self { state, now }
    }

    /// The next request about the rules, and the time until it is sent.
    fn next_request(&mut self) -> (Duration, store::StoreId, store::StoreRequest) {
        let start = self.now;
        loop {
            self.now = self.state.next_wake().expect("it has something due");
            for effect in self.state.on_wake(self.now) {
                let effect::FleetEffect::SendStoreRequest { id, request } = effect else {
                    continue;
                };
                let is_about_rules = match &request {
                    store::StoreRequest::List { prefix, .. }
                    | store::StoreRequest::Watch { prefix, .. } => *prefix == key(),
                    _ => false,
                };
                if is_about_rules {
                    return (self.now.since(start), id, request);
                }
            }
        }
    }

    /// The next watch of the rules, and the time until it is sent; a poll before it stays pending.
    fn next_watch(&mut self) -> (Duration, store::StoreId) {
        let start = self.now;
        loop {
            let (_, id, request) = self.next_request();
            if matches!(request, store::StoreRequest::Watch { .. }) {
                return (self.now.since(start), id);
            }
        }
    }

    fn answer(&mut self, id: store::StoreId, outcome: store::StoreOutcome) {
        self.now = self.now + Duration::from_millis(4);
        self.state.on_store(self.now, id, outcome);
    }
}

// Guards against a node that knows no member and wakes all the time to pull what it has heard of.
#[test]
fn a_pull_without_members_is_repeated_at_intervals() {
    let mut node = LoneNode::new();
    let head = gossip::GossipHead {
        from: ident::NodeId(9),
        incarnation: 0,
        revision: ident::RuleRevision(9),
        ready: true,
        confirmed: gossip::ConfirmationAge::UNKNOWN,
    };
    let message = gossip::GossipMessage {
        head,
        kind: gossip::GossipKind::Rumour,
        updates: Vec::new(),
    };
    node.state
        .on_datagram(node.now, harness::address(9), &message);
    let end = node.now + Duration::from_secs(2);
    let mut wakes = 0;
    while let Some(due) = node.state.next_wake().filter(|due| *due < end) {
        node.now = node.now.max(due);
        node.state.on_wake(node.now);
        wakes += 1;
    }
    assert!(wakes < 50, "{wakes} wake-ups in two seconds");
}

// Guards against a read that a slow store answers late and that is told as a read of this moment.
#[test]
fn the_age_of_a_read_begins_when_it_is_sent() {
    let mut node = LoneNode::new();
    let (_, id, _) = node.next_request();
    let slow = Duration::from_millis(900);
    node.now = node.now + slow;
    node.state.on_store(node.now, id, listed(2, 40));
    let sent = node
        .state
        .message(harness::address(9), gossip::GossipKind::Rumour);
    let effect::FleetEffect::SendDatagram { message, .. } = sent else {
        panic!("a datagram was expected");
    };
    assert_eq!(message.head.confirmed.span(), Some(slow));
}

fn listed(revision: u64, seen: u64) -> store::StoreOutcome {
    let entry = store::StoreEntry {
        key: key(),
        version: store::StoreVersion(seen),
        value: complete_rules(revision).to_value().unwrap_or_default(),
    };
    store::StoreOutcome::Done(store::StoreReply::Listed {
        entries: vec![entry],
        seen: store::StoreVersion(seen),
        more: false,
    })
}

// A watch fails: the store lost its history, the reply is lost, or the store is down. A change
// that is made in the gap must not be missed, and a store that is down must not be called without a
// pause.
fn a_failed_watch_is_followed_by(
    outcome: &store::StoreOutcome,
    reads_again: bool,
    min_pause: Duration,
    max_pause: Duration,
) {
    for seed in 0..20 {
        let mut node = LoneNode::with_seed(seed);
        let (_, id, request) = node.next_request();
        assert!(matches!(request, store::StoreRequest::List { .. }));
        node.answer(id, listed(2, 40));
        let id = loop {
            let (_, id, request) = node.next_request();
            if matches!(request, store::StoreRequest::Watch { .. }) {
                break id;
            }
            node.answer(id, listed(2, 40));
        };
        node.answer(id, outcome.clone());
        let (pause, id) = if reads_again {
            let (pause, id, request) = node.next_request();
            assert!(matches!(request, store::StoreRequest::List { .. }));
            (pause, id)
        } else {
            node.next_watch()
        };
        assert!(min_pause <= pause && pause <= max_pause, "{pause:?}");
        node.answer(id, listed(9, 90));
        assert_eq!(node.state.revision(), ident::RuleRevision(9));
        // A stale reply does not restore older rules.
        let (_, id, _) = node.next_request();
        node.answer(id, listed(4, 60));
        assert_eq!(node.state.revision(), ident::RuleRevision(9));
    }
}

test_cases! {
    a_failed_watch_is_followed_by:
    a_read_if_history_is_lost => (
        &store::StoreOutcome::HistoryTrimmed, true, Duration::ZERO, Duration::from_millis(20)),
    a_pause_if_the_response_is_lost => (
        &store::StoreOutcome::Unknown, false, Duration::from_millis(100), Duration::from_millis(1_500)),
    a_pause_if_the_store_is_down => (
        &store::StoreOutcome::Unavailable, false, Duration::from_millis(100),
        Duration::from_millis(1_500)),
}

// The store is restored from a copy that is some seconds old: the newest rules and all leases are
// lost, and its versions start again. No node returns to older rules, and the operator's next rules
// are in force everywhere in time, even if their version is below the one that watchers have seen.
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
        net.store.restore_copy(&copy);
        net.store.faults.down = false;
        net.run(Duration::from_secs(3));
        assert_eq!(holding(&net, 7), 16);
        let reads = net.store.counts().reads;
        net.run(Duration::from_secs(5));
        let reads = net.store.counts().reads - reads;
        assert!(reads < 40, "{reads} reads in five seconds");
        write(&mut net, newer);
        let took = net.run_until(Duration::from_secs(10), |net| holding(net, newer) == 16);
        assert!(took <= IN_FORCE_LIMIT, "took {took:?}");
    }
}

// A node starts while the store, restored from an older copy, holds older rules. It obtains the
// newer ones from its peers, and is not ready before.
#[test]
fn a_newborn_beside_an_older_copy_learns_of_its_peers() {
    let mut net = fleet();
    let copy = net.store.clone();
    write(&mut net, 7);
    net.run_until(Duration::from_secs(10), |net| holding(net, 7) == 16);
    net.store.restore_copy(&copy);
    let starting = add(&mut net, 16, 0);
    let ready = |net: &Net| net.nodes[starting].state.is_ready();
    net.run_until(Duration::from_secs(8), ready);
    assert!(ready(&net));
    assert_eq!(net.nodes[starting].state.revision().0, 7);
}

// Guards against starting nodes that serve by older rules than the fleet, whether they start before
// or after the store is restored from an older copy.
fn newborns_beside_an_older_copy(started_before: Duration, started_after: Duration) {
    for seed in 0..20 {
        let mut net = fleet_of(seed);
        let copy = net.store.clone();
        write(&mut net, 7);
        net.run_until(Duration::from_secs(10), |net| holding(net, 7) == 16);
        net.store.faults.down = true;
        net.run(Duration::from_millis(500) - started_before);
        let early = (!started_before.is_zero()).then(|| add(&mut net, 16, 0));
        net.run(started_before);
        net.store.restore_copy(&copy);
        net.store.faults.down = false;
        net.run(started_after);
        let starting = early.unwrap_or_else(|| add(&mut net, 16, 0));
        let ready = |net: &Net| net.nodes[starting].state.is_ready();
        let took = net.run_until(Duration::from_secs(8), ready);
        assert!(ready(&net), "seed {seed}");
        let revision = net.nodes[starting].state.revision().0;
        assert_eq!(revision, 7, "seed {seed}, ready after {took:?}");
    }
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

test_cases! {
    newborns_beside_an_older_copy:
    started_while_the_store_is_down => (millis(250), millis(0)),
    started_as_the_store_is_back => (millis(0), millis(0)),
    started_a_moment_later => (millis(0), millis(300)),
    started_a_second_later => (millis(0), millis(1_000)),
    started_seconds_later => (millis(0), millis(3_000)),
}
