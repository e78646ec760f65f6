//! Attribution of failures: a failure counts against the target that failed, not against its
//! callers.

#![allow(clippy::unwrap_used)]

mod support;

use anvil_core::{directory, effect, event, reducer};
use anvil_testkit::test_cases;
use anvil_types::{ident, name, verdict};
use anvil_wire::{call, frame};
use support::at;

const OTHER_ZONE_PEER: ident::NodeId = ident::NodeId(3);

/// An entry node with one known target in its availability zone and one in another.
fn entry_node() -> reducer::NodeReducer {
    let mut node = support::entry_node();
    support::add_peer(&mut node, support::PEER);
    let record = directory::PeerRecord {
        address: support::address(7103),
        service: support::service(),
        zone: name::ZoneName::new("ar-centro-b").unwrap(),
        slots: 8,
        leaving: false,
        announced: 0,
    };
    node.add_peer(at(0), OTHER_ZONE_PEER, record);
    node
}

fn failure() -> call::CallAnswer {
    call::CallAnswer {
        status: 500,
        headers: Vec::new(),
        body: bytes::Bytes::new(),
    }
}

// A deep service refuses part of its calls, so the target that calls it answers 500. Requests must
// stay in their availability zone, since the target in the other zone would fail as often and bytes
// across zones cost more. They move to the other zone only if the target itself failed.
fn a_failure_changes_the_zone(failed_below: bool, next: ident::NodeId) {
    let mut node = entry_node();
    let effects = node.step(at(5_000), support::arrival(1, "GET"));
    let (peer, sent) = support::sent_calls(&effects).remove(0);
    assert_eq!(peer, support::PEER);
    let event::NodeEvent::FrameArrived {
        peer,
        frame: frame::PeerFrame::Answer(mut answer),
    } = support::answer(peer, &sent, verdict::CallVerdict::Answered)
    else {
        unreachable!("the helper returns an answer");
    };
    answer.answer = Some(failure());
    answer.failed_below = failed_below;
    let frame = frame::PeerFrame::Answer(answer);
    node.step(at(5_050), event::NodeEvent::FrameArrived { peer, frame });
    let effects = node.step(at(5_060), support::arrival(2, "GET"));
    assert_eq!(support::sent_calls(&effects)[0].0, next);
}

test_cases! {
    a_failure_changes_the_zone:
    failure_of_the_target_itself => (false, OTHER_ZONE_PEER),
    failure_of_a_deeper_service => (true, support::PEER),
}

// The target of a claim makes a call, and the claim fails. The answer must say whether that call
// had failed, so that the claim's caller attributes the failure to the right service.
fn an_answer_attributes_the_failure(below: verdict::CallVerdict, failed_below: bool) {
    let mut node = support::target_node(8);
    let effects = node.step(at(1), support::peer_call(1, false));
    let run = support::started(&effects)[0];
    support::add_peer(&mut node, support::PEER);
    node.step(at(2), event::NodeEvent::TargetLeaving);
    let lookup = support::child_call(run);
    let effects = node.step(at(3), lookup);
    let (peer, sent) = support::sent_calls(&effects).remove(0);
    node.step(at(4), support::answer(peer, &sent, below));
    let outcome = event::RunOutcome::Answered(failure());
    let effects = node.step(
        at(9),
        event::NodeEvent::RunEnded {
            run,
            outcome,
            statement: None,
            exchange: None,
        },
    );
    let reported = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::SendFrame {
            frame: frame::PeerFrame::Answer(answer),
            ..
        } => Some(answer.failed_below),
        _ => None,
    });
    assert_eq!(reported, Some(failed_below));
}

test_cases! {
    an_answer_attributes_the_failure:
    the_call_was_answered => (verdict::CallVerdict::Answered, false),
    the_call_may_have_run => (
        verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Deadline), true),
}
