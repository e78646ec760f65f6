//! Which target is blamed for a failure: the one that failed, and not those above it.

#![allow(clippy::unwrap_used)]

mod support;

use anvil_core::{directory, effect, event, reducer};
use anvil_testkit::test_cases;
use anvil_types::{ident, name, verdict};
use anvil_wire::{call, frame};
use support::at;

const FAR: ident::NodeId = ident::NodeId(3);

/// An entry node that knows one target in its availability zone and one in another.
fn entry_node() -> reducer::NodeReducer {
    let mut node = support::entry_node();
    support::learn(&mut node, support::PEER);
    let record = directory::PeerRecord {
        address: support::address(7103),
        service: support::service(),
        zone: name::ZoneName::new("ar-centro-b").unwrap(),
        slots: 8,
        leaving: false,
        announced: 0,
    };
    node.add_peer(at(0), FAR, record);
    node
}

fn failure() -> call::CallAnswer {
    call::CallAnswer {
        status: 500,
        headers: Vec::new(),
        body: bytes::Bytes::new(),
    }
}

// A deep service refuses a part of its calls, and the target above answers 500 for it. Requests stay
// in their availability zone, since the other target would fail as often and their bytes cost more;
// they leave it for a failure that is the target's own.
fn a_failure_moves_requests(failed_below: bool, next: ident::NodeId) {
    let mut node = entry_node();
    let effects = node.step(at(5_000), support::arrival(1, "GET"));
    let (peer, sent) = support::sent_calls(&effects).remove(0);
    assert_eq!(peer, support::PEER);
    let event::NodeEvent::FrameArrived {
        peer,
        frame: frame::PeerFrame::Answer(mut answer),
    } = support::answer(peer, &sent, verdict::CallVerdict::Answered)
    else {
        unreachable!("the helper answers");
    };
    answer.answer = Some(failure());
    answer.failed_below = failed_below;
    let frame = frame::PeerFrame::Answer(answer);
    node.step(at(5_050), event::NodeEvent::FrameArrived { peer, frame });
    let effects = node.step(at(5_060), support::arrival(2, "GET"));
    assert_eq!(support::sent_calls(&effects)[0].0, next);
}

test_cases! {
    a_failure_moves_requests:
    of_the_target_itself => (false, FAR),
    of_a_service_below => (true, support::PEER),
}

// The target of a claim makes a call, and the claim fails. The answer tells whether the call had
// failed, so that the claim's caller knows whom to blame.
fn an_answer_tells_whose_failure_it_is(below: verdict::CallVerdict, failed_below: bool) {
    let mut node = support::target_node(8);
    let effects = node.step(at(1), support::peer_call(1, false));
    let run = support::started(&effects)[0];
    support::learn(&mut node, support::PEER);
    node.step(at(2), event::NodeEvent::TargetLeaving);
    let lookup = support::call_of(run);
    let effects = node.step(at(3), lookup);
    let (peer, sent) = support::sent_calls(&effects).remove(0);
    node.step(at(4), support::answer(peer, &sent, below));
    let outcome = event::RunOutcome::Answered(failure());
    let effects = node.step(at(9), event::NodeEvent::RunEnded { run, outcome });
    let told = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::SendFrame {
            frame: frame::PeerFrame::Answer(answer),
            ..
        } => Some(answer.failed_below),
        _ => None,
    });
    assert_eq!(told, Some(failed_below));
}

test_cases! {
    an_answer_tells_whose_failure_it_is:
    the_call_was_answered => (verdict::CallVerdict::Answered, false),
    the_call_may_have_run => (
        verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Deadline), true),
}
