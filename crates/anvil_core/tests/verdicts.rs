//! What callers are told is true, and repeated frames run nothing twice.

#![allow(clippy::unwrap_used)]

mod support;

use anvil_core::event;
use anvil_types::{ident, verdict};

// The caller of a lookup is told "may have run", not "not run". Its first attempt breaks off at
// a target, so it may have run; the retry is refused as not run by the next one, and the
// allowance allows no further attempt in time. "Not run" would be true of the last attempt only.
#[test]
fn doubt_of_an_earlier_attempt_outlasts_a_refusal() {
    let mut node = support::entry_node();
    support::learn(&mut node, support::PEER);
    support::learn(&mut node, ident::NodeId(3));
    let mut effects = node.step(support::at(1), support::arrival(1, "GET"));
    let doubt = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::ConnectionLost);
    let refusal = verdict::CallVerdict::NotRun(verdict::RefusalReason::QueueFull);
    let mut verdicts = [doubt, refusal, refusal, refusal, refusal].into_iter();
    let mut now = 2;
    let told = loop {
        let replies = support::replies(&effects);
        if let Some((_, told)) = replies.first() {
            break *told;
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
    assert_eq!(told, doubt);
}

// The same lookup waits for its retry when its entry node is stopped by force. The attempt before
// the pause broke off, so the caller is told "may have run", though nothing is out at the moment.
#[test]
fn doubt_of_an_earlier_attempt_outlasts_a_forced_stop() {
    let mut node = support::entry_node();
    support::learn(&mut node, support::PEER);
    support::learn(&mut node, ident::NodeId(3));
    let effects = node.step(support::at(1), support::arrival(1, "GET"));
    let (peer, call) = support::sent_calls(&effects).remove(0);
    let lost = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::ConnectionLost);
    let effects = node.step(support::at(2), support::answer(peer, &call, lost));
    assert!(support::replies(&effects).is_empty());
    node.step(support::at(3), event::NodeEvent::StopRequested);
    let effects = node.step(support::at(4), event::NodeEvent::StopRequested);
    assert_eq!(support::replies(&effects), [(1, lost)]);
}

// The clerk files a claim once. The frame that carries it reaches the target's node twice: once
// before and once after the run has ended. The second frame must start nothing.
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
    };
    node.step(support::at(3), ended);
    let after = node.step(support::at(4), support::peer_call(1, false));
    assert!(support::started(&after).is_empty());
}

// Two answers to one attempt arrive, the second one late. The caller has one reply; the second
// answer reaches nobody.
#[test]
fn repeated_answer_reaches_no_caller() {
    let mut node = support::entry_node();
    support::learn(&mut node, support::PEER);
    let effects = node.step(support::at(1), support::arrival(1, "GET"));
    let (peer, call) = support::sent_calls(&effects).remove(0);
    let whole = verdict::CallVerdict::Answered;
    let first = node.step(support::at(2), support::answer(peer, &call, whole));
    assert_eq!(support::replies(&first), [(1, whole)]);
    let other = node.step(support::at(3), support::arrival(2, "GET"));
    assert!(support::replies(&other).is_empty());
    let second = node.step(support::at(4), support::answer(peer, &call, whole));
    assert!(support::replies(&second).is_empty());
}
