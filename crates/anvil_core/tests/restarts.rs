//! What a planned restart of a node may not cost.

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

// A citizen's lookup reaches a target whose node was started a moment ago and has not compared its
// rules with its peers'. The lookup calls on, through that node, which refuses it; so the citizen
// would read an error. The fresh node must not take the run in the first place.
#[test]
fn fresh_node_takes_no_run_that_it_could_not_carry_on() {
    let mut node = support::with_target(support::fresh_node(), 8);
    let effects = node.step(support::at(1), support::peer_call(1, true));
    assert!(support::started(&effects).is_empty());
    let refusal = verdict::CallVerdict::NotRun(verdict::RefusalReason::RulesUnknown);
    assert_eq!(refusals(&effects), [refusal]);
}

// A claim runs at a target whose node is asked to stop, and after two seconds, when callers are
// refused already, it looks a calendar up. The node waits for the claim; refusing the lookup would
// fail the claim that it waits for.
#[test]
fn leaving_node_carries_the_calls_of_what_it_finishes() {
    let mut node = support::target_node(8);
    support::learn(&mut node, support::PEER);
    let effects = node.step(support::at(1), support::peer_call(1, false));
    let run = support::started(&effects)[0];
    node.step(support::at(2), event::NodeEvent::StopRequested);
    support::run_until(&mut node, support::at(2_000));
    let lookup = support::call_of(run);
    let effects = node.step(support::at(2_001), lookup);
    assert!(support::replies(&effects).is_empty());
    assert_eq!(support::sent_calls(&effects).len(), 1);
    let stranger = node.step(support::at(2_002), support::arrival(2, "GET"));
    let refusal = verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving);
    assert_eq!(support::replies(&stranger), [(2, refusal)]);
}

// Forty citizens ask at once for what a warm target offers, a moment after its node was replaced.
// The target could take them all. A node that takes it for cold starts a few and sheds others,
// though nothing happened to the target.
fn check_start(warm: bool, all: bool) {
    let mut node = support::entry_node();
    let event::NodeEvent::TargetAnnounced(mut announcement) = support::announcement(40) else {
        unreachable!("the function makes an announcement");
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
    assert_eq!(running == 40, all, "{running} of 40 run");
}

test_cases! {
    check_start:
    warm_target_of_a_new_node_takes_a_full_load => (true, true),
    cold_target_takes_a_part_at_first => (false, false),
}
