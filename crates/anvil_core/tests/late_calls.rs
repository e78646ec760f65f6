//! Calls that the local target makes while its node stops.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use anvil_core::{directory, effect, event, reducer, stopping};
use anvil_testkit::test_cases;
use anvil_types::{name, verdict};
use anvil_wire::frame;
use support::at;

const PLAN: stopping::StopPlan = stopping::StopPlan {
    linger: Duration::from_secs(3),
    run_linger: Duration::from_secs(2),
    limit: Some(Duration::from_millis(5_500)),
};

/// When the stop is requested, in milliseconds.
const STOP_AT: u64 = 10;

/// Longest time from the end of a target's time until its own answer is there.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// The service that the local target calls; only a peer offers it.
fn called_service() -> name::ServiceName {
    name::ServiceName::new("audiencias").unwrap()
}

/// A node that is asked to stop while its target runs a request.
fn stopping_node() -> (reducer::NodeReducer, event::RunId) {
    let mut node = support::target_node(8).with_stop(PLAN);
    let record = directory::PeerRecord {
        address: support::address(7_102),
        service: called_service(),
        zone: name::ZoneName::new("ar-centro-a").unwrap(),
        slots: 8,
        leaving: false,
        announced: 0,
    };
    node.add_peer(at(0), support::PEER, record);
    let mut call = support::peer_call(7, true);
    if let event::NodeEvent::FrameArrived {
        frame: frame::PeerFrame::Call(call),
        ..
    } = &mut call
    {
        call.context.remaining_micros = 20_000_000;
    }
    let run = support::started(&node.step(at(1), call))[0];
    node.step(at(STOP_AT), event::NodeEvent::StopRequested);
    (node, run)
}

/// The arrival of a call that the local target makes on behalf of `run`.
fn call_of(run: event::RunId) -> event::NodeEvent {
    let mut call = support::child_call(run);
    if let event::NodeEvent::CallArrived { request, .. } = &mut call {
        request.service = called_service();
    }
    call
}

// Guards against a call that a stopping node passes on and gives up while its target is at work.
fn a_late_call_gets_the_answer_of_its_target(sent_at: u64) {
    let (mut node, run) = stopping_node();
    support::run_until(&mut node, at(sent_at));
    let effects = node.step(at(sent_at), call_of(run));
    let (peer, call) = support::sent_calls(&effects)[0].clone();
    // The target works until its time is up, and answers then.
    let time_left = Duration::from_micros(call.context.remaining_micros);
    let answered_at = at(sent_at) + time_left + ANSWER_TIME;
    let before = support::run_until(&mut node, answered_at);
    assert_eq!(support::replies(&before), []);
    let answer = support::answer(peer, &call, verdict::CallVerdict::Answered);
    let effects = node.step(answered_at, answer);
    let answered = [(1, verdict::CallVerdict::Answered)];
    assert_eq!(support::replies(&effects), answered);
}

test_cases! {
    a_late_call_gets_the_answer_of_its_target:
    a_call_soon_after_the_stop => (1_000),
    a_call_while_callers_are_served => (2_000),
    a_call_after_callers_are_refused => (3_410),
    a_call_shortly_before_the_limit => (5_000),
}

// Guards against work for which no time is left.
#[test]
fn a_call_at_the_limit_is_refused_as_not_run() {
    let (mut node, run) = stopping_node();
    let sent_at = STOP_AT + 5_490;
    support::run_until(&mut node, at(sent_at));
    let effects = node.step(at(sent_at), call_of(run));
    assert!(support::sent_calls(&effects).is_empty());
    let leaving = verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving);
    assert_eq!(support::replies(&effects), [(1, leaving)]);
}

// Guards against a run that is cancelled at the moment at which its target answers that time is up.
#[test]
fn a_target_answers_at_its_deadline() {
    let mut node = support::target_node(8);
    let effects = node.step(at(1), support::peer_call(7, true));
    let order = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::RunTarget(order) => Some(order.clone()),
        _ => None,
    });
    let order = order.unwrap();
    let answered_at = at(1) + order.timeout + ANSWER_TIME;
    let before = support::run_until(&mut node, answered_at);
    let cancelled =
        |effect: &effect::NodeEffect| matches!(effect, effect::NodeEffect::CancelRun(_));
    assert!(!before.iter().any(cancelled));
}
