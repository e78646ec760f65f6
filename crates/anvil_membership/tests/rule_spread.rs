//! Rule changes, compared with a model that is one shared document.

use std::time::Duration;

use anvil_membership::proposal;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

mod harness;

use harness::Net;

#[test]
fn an_accepted_change_is_everywhere_within_two_seconds() {
    // An operator proposes a change through one node; soon after, every node applies it.
    let mut net = Net::with_store(60, 3, 21);
    net.run(Duration::from_secs(20));
    assert!(net.propose(7, 1));
    let spread = |net: &Net| net.nodes.iter().all(|n| n.document == [1]);
    let took = net.run_until(Duration::from_secs(20), spread);
    assert!(took <= Duration::from_secs(2), "took {took:?}");
}

#[test]
fn an_answer_lost_behind_the_effect_is_told_as_accepted() {
    // The operator receives the correct outcome although the store's reply to the write was
    // lost. The write took effect; the entry is read back, and its change id is that of the
    // proposal.
    let mut net = Net::with_store(6, 1, 22);
    net.store.faults.lost_answers = 100;
    assert!(net.propose(2, 9));
    net.run(Duration::from_millis(100));
    net.store.faults.lost_answers = 0;
    net.run(Duration::from_secs(5));
    let ends = &net.nodes[2].proposals;
    assert!(
        matches!(ends[..], [(9, _, proposal::ProposalOutcome::Accepted)]),
        "{ends:?}"
    );
    let logged = net.store.entries();
    let logged = logged.filter(|entry| entry.key.as_str().starts_with("rules/log/"));
    assert_eq!(logged.count(), 1, "the change was written once");
}

#[test]
fn of_two_racing_operators_one_wins_and_the_other_sees_the_change() {
    // Two operators propose a change of the same revision at the same time through two nodes. Only
    // one write creates the log entry of the next revision; the other conflicts with it and is
    // reported with the accepted change.
    let mut net = Net::with_store(6, 2, 23);
    assert!(net.propose(0, 100));
    assert!(net.propose(1, 200));
    net.run(Duration::from_secs(5));
    let mut accepted = Vec::new();
    let mut refused = Vec::new();
    for node in &net.nodes {
        for (change, _, end) in &node.proposals {
            match end {
                proposal::ProposalOutcome::Accepted => accepted.push(*change),
                proposal::ProposalOutcome::Conflict { other } => {
                    refused.push((*change, other.change));
                }
                other => panic!("{other:?}"),
            }
        }
    }
    assert_eq!(accepted.len(), 1);
    assert_eq!(refused, [(300 - accepted[0], accepted[0])]);
}

#[test]
fn a_long_log_is_replaced_by_a_snapshot_that_starting_nodes_read() {
    // Rules that are a thousand changes old must not be lost when all nodes are replaced. Watchers
    // write snapshots and trim the log; a starting node without peers reads the snapshot and the
    // rest of the log, and holds the same document.
    let mut net = Net::with_store(4, 1, 24);
    net.run(Duration::from_secs(30));
    for change in 1..=1_700 {
        assert!(net.propose(change as usize % 4, change));
        net.run(Duration::from_millis(500));
    }
    net.run(Duration::from_secs(60));
    let keys = net.store.entries().map(|entry| entry.key.as_str());
    let logged = keys.filter(|key| key.starts_with("rules/log/")).count();
    assert!(logged < 1_300, "{logged} changes stay in the log");
    let expected = net.nodes[0].document.clone();
    assert_eq!(expected.len(), 1_700);
    for index in 0..4 {
        net.crash(index);
    }
    net.run(Duration::from_secs(20));
    let late = net.add(0, &harness::with_store());
    net.run(Duration::from_secs(20));
    assert!(net.nodes[late].state.is_ready());
    assert_eq!(net.nodes[late].document, expected);
}

/// A proposal or a fault that the test injects.
#[derive(Clone, Debug)]
enum Fault {
    Propose { node: usize },
    LoseAnswers { percent: u32 },
    LoseCalls { percent: u32 },
    StoreDown { down: bool },
    CutStore { region: Option<usize> },
    Cut { region: Option<usize> },
    LoseDatagrams { percent: usize },
    Replace { node: usize },
    Pause { node: usize, millis: u64 },
}

const NODES: usize = 9;
const REGIONS: usize = 3;

fn fault() -> impl Strategy<Value = Fault> {
    let region = || proptest::option::of(0..REGIONS);
    prop_oneof![
        6 => (0..NODES).prop_map(|node| Fault::Propose { node }),
        1 => (0..80u32).prop_map(|percent| Fault::LoseAnswers { percent }),
        1 => (0..50u32).prop_map(|percent| Fault::LoseCalls { percent }),
        1 => any::<bool>().prop_map(|down| Fault::StoreDown { down }),
        1 => region().prop_map(|region| Fault::CutStore { region }),
        1 => region().prop_map(|region| Fault::Cut { region }),
        1 => (0..40usize).prop_map(|percent| Fault::LoseDatagrams { percent }),
        1 => (0..NODES).prop_map(|node| Fault::Replace { node }),
        1 => (0..NODES, 500..8_000u64).prop_map(|(node, millis)| Fault::Pause { node, millis }),
    ]
}

fn inject(net: &mut Net, fault: &Fault, next: &mut u128) {
    match *fault {
        Fault::Propose { node } => {
            let index = running(net, node);
            *next += u128::from(net.propose(index, *next));
        }
        Fault::LoseAnswers { percent } => net.store.faults.lost_answers = percent,
        Fault::LoseCalls { percent } => net.store.faults.lost_calls = percent,
        Fault::StoreDown { down } => net.store.faults.down = down,
        Fault::CutStore { region } => net.store_cut = region.into_iter().collect(),
        Fault::Cut { region } => net.cut = region.into_iter().collect(),
        Fault::LoseDatagrams { percent } => net.loss_percent = percent,
        Fault::Replace { node } => {
            let index = running(net, node);
            net.crash(index);
            net.add_at(node, node % REGIONS, &harness::with_store());
        }
        Fault::Pause { node, millis } => {
            let index = running(net, node);
            net.nodes[index].paused_until = net.now + Duration::from_millis(millis);
        }
    }
}

/// The node that runs at the address of `slot`.
fn running(net: &Net, slot: usize) -> usize {
    let at = harness::address(slot);
    let found = net.nodes.iter().rposition(|n| n.running && n.udp == at);
    found.expect("one node runs at each address")
}

/// Compares the nodes with the model: one shared document that accepted changes are appended to.
fn check_against_model(net: &Net) {
    let document = &net.nodes[running(net, 0)].document;
    for node in &net.nodes {
        if node.running {
            assert_eq!(
                &node.document, document,
                "the documents of two nodes differ"
            );
        }
        assert!(document.starts_with(&node.document), "a change was undone");
        for (change, revision, end) in &node.proposals {
            let place = document.iter().position(|id| id == change);
            match end {
                proposal::ProposalOutcome::Accepted => {
                    assert_eq!(place, Some(revision.0 as usize - 1));
                }
                proposal::ProposalOutcome::Conflict { .. }
                | proposal::ProposalOutcome::Unavailable => {
                    assert_eq!(
                        place, None,
                        "a change is in force that was reported as not accepted"
                    );
                }
                proposal::ProposalOutcome::Unknown => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_accepted_change_is_in_force_everywhere_once_the_network_heals(
        faults in proptest::collection::vec((fault(), 50..3_000u64), 5..40),
    ) {
        // The outcomes that operators receive agree with the rules on every node, whatever was
        // lost, cut, replaced or paused. Forty-five seconds after the last fault cover the longest
        // pause after failed reads, a watch, the healing of a partition and the dissemination.
        let mut net = Net::with_store(NODES, REGIONS, 31);
        net.run(Duration::from_secs(10));
        let mut next = 1;
        for (fault, millis) in &faults {
            inject(&mut net, fault, &mut next);
            net.run(Duration::from_millis(*millis));
        }
        net.store.faults = anvil_standins::store::fake::StoreFaults::default();
        net.store_cut.clear();
        net.cut.clear();
        net.loss_percent = 0;
        net.run(Duration::from_secs(45));
        check_against_model(&net);
    }
}

#[test]
fn a_census_counts_every_node_and_lists_the_silent_one() {
    // An operator can see on how many nodes a change is in force, and which nodes lag. One of 300
    // nodes is paused; the count reports it as silent, and no node handles 300 replies.
    let mut net = Net::joined(300, 3, 25);
    net.run(Duration::from_secs(5));
    net.nodes[123].paused_until = net.now + Duration::from_secs(5);
    let sent = |net: &Net| {
        let sent = net.nodes.iter().map(|n| n.state.counters().datagrams_sent);
        sent.collect::<Vec<_>>()
    };
    let before = sent(&net);
    net.act(0, |state, now| state.count_revision(now));
    net.run(Duration::from_millis(4_200));
    let result = net.nodes[0].state.census().expect("a result");
    let count = &result.count;
    assert_eq!((count.holding, count.behind, count.silent), (299, 0, 1));
    assert_eq!(count.lagging, [harness::id(123)]);
    let busiest = sent(&net).iter().zip(before).map(|(a, b)| a - b).max();
    assert!(busiest < Some(60), "{busiest:?} datagrams");
}
