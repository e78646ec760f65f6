//! The members that a starting node knows when it becomes ready.

use std::time::Duration;

use anvil_membership::{effect, fleet};
use anvil_testkit::test_cases;
use anvil_types::{ident, store};
use anvil_wire::gossip;

mod harness;

use harness::Net;

/// Number of nodes of the fleet.
const SIZE: usize = 16;

/// Number of restarts of one run.
const RESTARTS: usize = 48;

/// Time within which the fleet knows a new node; members that started later may be missing.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Maximum time from the start of a process to its readiness, if all peers and the store are
/// healthy.
const START_LIMIT: Duration = Duration::from_secs(2);

const KEY: &str = "rules-of-the-operator";

/// How the nodes of a fleet learn their rules.
#[derive(Clone, Copy)]
enum RuleSource {
    /// From the log that the nodes keep in the store.
    Log,
    /// From a document in the store, which the operators write.
    Document,
}

fn add(net: &mut Net, slot: usize, rules: RuleSource) -> usize {
    let index = net.add_at(slot, slot % 4, &harness::with_store());
    if let RuleSource::Document = rules {
        let now = net.now;
        let key = store::StoreKey::new(KEY);
        net.nodes[index].state.use_document(now, key);
    }
    index
}

/// A fleet whose nodes are ready and know each other.
fn fleet(seed: u64, rules: RuleSource) -> Net {
    let mut net = Net::new(seed);
    net.write_rules(&store::StoreKey::new(KEY), 1);
    for slot in 0..SIZE {
        add(&mut net, slot, rules);
    }
    let all_joined = |net: &Net| {
        let joined = |n: &harness::Node| n.state.is_ready() && n.state.table().live() == SIZE;
        net.nodes.iter().all(joined)
    };
    net.run_until(Duration::from_secs(90), all_joined);
    assert!(all_joined(&net), "the fleet did not join");
    net
}

// Guards against a starting node that refuses requests as if their service did not exist. During a
// rolling restart, a node joined through another one that had just started and knew seven of
// sixteen members, and became ready as soon as it had read its rules. A ready node must know all
// members that have been up for a while.
fn knows_the_fleet_before_it_serves(seed: u64, rules: RuleSource) {
    let mut net = fleet(seed, rules);
    let mut current: Vec<usize> = (0..SIZE).collect();
    let mut started_at = vec![net.now; SIZE];
    for restart in 0..RESTARTS {
        let slot = restart * 5 % SIZE;
        let leaving = current[slot];
        net.act(leaving, fleet::FleetState::leave);
        net.crash(leaving);
        net.run(Duration::from_millis(50));
        let index = add(&mut net, slot, rules);
        let started = net.now;
        current[slot] = index;
        started_at.push(started);
        let ready = |net: &Net| net.nodes[index].state.is_ready();
        let took = net.run_until(START_LIMIT, ready);
        assert!(ready(&net), "restart {restart}: not ready after {took:?}");
        let now = net.now;
        let settled = current
            .iter()
            .filter(|node| now.since(started_at[**node]) >= SETTLE_TIME);
        let known = |node: &&usize| {
            let record = net.nodes[index].state.table().get(harness::id(**node));
            record.is_some_and(|record| record.state.is_live())
        };
        let (settled, known): (Vec<_>, Vec<_>) =
            (settled.clone().collect(), settled.filter(known).collect());
        assert_eq!(known, settled, "restart {restart}, ready after {took:?}");
    }
}

test_cases! {
    knows_the_fleet_before_it_serves:
    rules_from_the_log_first => (1, RuleSource::Log),
    rules_from_the_log_second => (2, RuleSource::Log),
    rules_from_the_log_third => (3, RuleSource::Log),
    rules_from_one_key_first => (1, RuleSource::Document),
    rules_from_one_key_second => (2, RuleSource::Document),
    rules_from_one_key_third => (3, RuleSource::Document),
}

// Two nodes start at the same time and know only each other at first, since messages of the others
// are delayed. If they took each other for the whole fleet and became ready, they would refuse
// requests for the services of all other nodes.
#[test]
fn two_newborns_that_know_only_each_other_wait_for_the_fleet() {
    let mut net = fleet(4, RuleSource::Document);
    let region = SIZE;
    net.cut = vec![region];
    let pair: Vec<usize> = (0..2)
        .map(|place| {
            let index = net.add_at(SIZE + place, region, &harness::with_store());
            let now = net.now;
            let key = store::StoreKey::new(KEY);
            net.nodes[index].state.use_document(now, key);
            index
        })
        .collect();
    let other = net.nodes[pair[1]].udp;
    net.act(pair[0], |state, _| state.join(other));
    net.run(Duration::from_secs(1));
    for node in &pair {
        let state = &net.nodes[*node].state;
        assert_eq!(state.table().live(), 2, "they do not know only each other");
        assert!(
            !state.is_ready(),
            "a node is ready that knows only one other"
        );
    }
    net.cut.clear();
    let ready = |net: &Net| pair.iter().all(|node| net.nodes[*node].state.is_ready());
    let took = net.run_until(START_LIMIT, ready);
    assert!(ready(&net), "not ready after {took:?}");
    for node in &pair {
        assert_eq!(net.nodes[*node].state.table().live(), SIZE + 2);
    }
}

// Guards against a start that is delayed by a message to the predecessor at its address.
#[test]
fn a_message_to_the_predecessor_does_not_delay_a_start() {
    for seed in 1..=8 {
        let mut net = fleet(seed, RuleSource::Document);
        net.crash(3);
        net.run(Duration::from_millis(500));
        let index = add(&mut net, 3, RuleSource::Document);
        let started = net.now;
        let message = gossip::GossipMessage {
            head: gossip::GossipHead {
                from: harness::id(5),
                incarnation: 0,
                revision: ident::RuleRevision(1),
                ready: true,
                confirmed: gossip::ConfirmationAge::UNKNOWN,
            },
            kind: gossip::GossipKind::Quarantine {
                requests: Vec::new(),
                served: Vec::new(),
            },
            updates: Vec::new(),
        };
        net.act(index, |state, now| {
            state.on_datagram(now, harness::address(5), &message)
        });
        let ready = |net: &Net| net.nodes[index].state.is_ready();
        net.run_until(START_LIMIT, ready);
        let joined = net.nodes[index]
            .reports
            .iter()
            .find_map(|(at, report)| match report {
                effect::FleetReport::Joined { members } => Some((at.since(started), *members)),
                _ => None,
            });
        let (_, members) = joined.expect("the node joins");
        assert!(members > 1, "seed {seed}: joined with {members} members");
    }
}
