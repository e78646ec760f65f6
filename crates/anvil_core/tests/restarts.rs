//! Planned restarts of nodes must not fail requests.

#![allow(clippy::unwrap_used)]

mod support;

use anvil_core::{effect, event};
use anvil_testkit::test_cases;
use anvil_types::verdict;
use anvil_wire::frame;

fn refusals(effects: &[effect::NodeEffect]) -> Vec<verdict::CallVerdict> {
    let answers = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::SendFrame {
            frame: frame::PeerFrame::Answer(answer),
            ..
        } => Some(answer.verdict),
        _ => None,
    });
    answers.collect()
}

// A node that has just started has not compared its rules with its peers' and refuses calls from
// its target. If it accepted a run whose target makes such a call, the run would fail, so it must
// refuse the run in the first place.
#[test]
fn fresh_node_refuses_runs_whose_calls_it_would_refuse() {
    let mut node = support::with_target(support::fresh_node(), 8);
    let effects = node.step(support::at(1), support::peer_call(1, true));
    assert!(support::started(&effects).is_empty());
    let refusal = verdict::CallVerdict::NotRun(verdict::RefusalReason::RulesUnknown);
    assert_eq!(refusals(&effects), [refusal]);
}

// A claim is running at a target whose node is stopped. Two seconds later, when the node already
// refuses callers, the claim makes a lookup. Refusing it would fail the claim that the node waits
// for.
#[test]
fn stopping_node_sends_the_calls_of_its_remaining_runs() {
    let mut node = support::target_node(8);
    support::add_peer(&mut node, support::PEER);
    let effects = node.step(support::at(1), support::peer_call(1, false));
    let run = support::started(&effects)[0];
    node.step(support::at(2), event::NodeEvent::StopRequested);
    support::run_until(&mut node, support::at(2_000));
    let lookup = support::child_call(run);
    let effects = node.step(support::at(2_001), lookup);
    assert!(support::replies(&effects).is_empty());
    assert_eq!(support::sent_calls(&effects).len(), 1);
    let unrelated = node.step(support::at(2_002), support::arrival(2, "GET"));
    let refusal = verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving);
    assert_eq!(support::replies(&unrelated), [(2, refusal)]);
}

// Forty requests arrive at once for a warm target whose node was just replaced. The target has
// capacity for all of them; a node that treated it as cold would shed most although the target
// never restarted.
fn check_start(warm: bool, all: bool) {
    let mut node = support::entry_node();
    let event::NodeEvent::TargetAnnounced(mut announcement) = support::announcement(40) else {
        unreachable!("announcement() returns an announcement");
    };
    announcement.warm = warm;
    node.step(
        support::at(0),
        event::NodeEvent::TargetAnnounced(announcement),
    );
    let mut running = 0;
    for sequence in 1..=40 {
        let effects = node.step(support::at(1), support::peer_call(sequence, true));
        running += support::started(&effects).len();
    }
    assert_eq!(running == 40, all, "{running} of 40 requests run");
}

test_cases! {
    check_start:
    warm_target_of_a_new_node_gets_its_full_load => (true, true),
    cold_target_gets_a_part_at_first => (false, false),
}
