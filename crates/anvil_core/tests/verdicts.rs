//! Verdicts are accurate, and duplicated frames start no second run or reply.

#![allow(clippy::unwrap_used)]

mod support;

use anvil_core::event;
use anvil_types::{ident, verdict};

// The first attempt of a lookup breaks at its target and may have run; the retries are refused as
// not run until the retry allowance is exhausted. The caller must be told "may have run", since
// "not run" is true of the retries only.
#[test]
fn doubt_of_an_earlier_attempt_outlasts_a_refusal() {
    let mut node = support::entry_node();
    support::add_peer(&mut node, support::PEER);
    support::add_peer(&mut node, ident::NodeId(3));
    let mut effects = node.step(support::at(1), support::arrival(1, "GET"));
    let may_have_run = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::ConnectionLost);
    let refusal = verdict::CallVerdict::NotRun(verdict::RefusalReason::QueueFull);
    let mut verdicts = [may_have_run, refusal, refusal, refusal, refusal].into_iter();
    let mut now = 2;
    let reported = loop {
        let replies = support::replies(&effects);
        if let Some((_, reported)) = replies.first() {
            break *reported;
        }
        effects = match support::sent_calls(&effects).first() {
            Some((peer, call)) => {
                let answer = support::answer(*peer, call, verdicts.next().unwrap());
                node.step(support::at(now), answer)
            }
            None => support::run_until(&mut node, support::at(now)),
        };
        now += 50;
    };
    assert_eq!(reported, may_have_run);
}

// The same lookup is waiting for its retry when its entry node is forced to stop. Its first attempt
// broke, so the caller must be told "may have run" although no attempt is in flight.
#[test]
fn doubt_of_an_earlier_attempt_outlasts_a_forced_stop() {
    let mut node = support::entry_node();
    support::add_peer(&mut node, support::PEER);
    support::add_peer(&mut node, ident::NodeId(3));
    let effects = node.step(support::at(1), support::arrival(1, "GET"));
    let (peer, call) = support::sent_calls(&effects).remove(0);
    let lost = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::ConnectionLost);
    let effects = node.step(support::at(2), support::answer(peer, &call, lost));
    assert!(support::replies(&effects).is_empty());
    node.step(support::at(3), event::NodeEvent::StopRequested);
    let effects = node.step(support::at(4), event::NodeEvent::StopRequested);
    assert_eq!(support::replies(&effects), [(1, lost)]);
}

// The frame of a claim is duplicated on its way to the target's node. Neither a duplicate that
// arrives during the run nor one that arrives after it may start a second run.
#[test]
fn repeated_frame_starts_no_second_run() {
    let mut node = support::target_node(8);
    let first = node.step(support::at(1), support::peer_call(1, false));
    let runs = support::started(&first);
    assert_eq!(runs.len(), 1);
    let during = node.step(support::at(2), support::peer_call(1, false));
    assert!(support::started(&during).is_empty());
    let ended = event::NodeEvent::RunEnded {
        run: runs[0],
        outcome: event::RunOutcome::TimedOut,
        statement: None,
        exchange: None,
    };
    node.step(support::at(3), ended);
    let after = node.step(support::at(4), support::peer_call(1, false));
    assert!(support::started(&after).is_empty());
}

// Two answers to one attempt arrive. The caller gets one reply, and the late answer must not be
// delivered to it or to another caller.
#[test]
fn repeated_answer_reaches_no_caller() {
    let mut node = support::entry_node();
    support::add_peer(&mut node, support::PEER);
    let effects = node.step(support::at(1), support::arrival(1, "GET"));
    let (peer, call) = support::sent_calls(&effects).remove(0);
    let answered = verdict::CallVerdict::Answered;
    let first = node.step(support::at(2), support::answer(peer, &call, answered));
    assert_eq!(support::replies(&first), [(1, answered)]);
    let other = node.step(support::at(3), support::arrival(2, "GET"));
    assert!(support::replies(&other).is_empty());
    let second = node.step(support::at(4), support::answer(peer, &call, answered));
    assert!(support::replies(&second).is_empty());
}
