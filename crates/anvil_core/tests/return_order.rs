//! The return order in the reducer: lanes and pauses of callers that were refused for lack of capacity.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use anvil_core::{effect, event, reducer};
use anvil_overload::policy;
use anvil_rules::parse;
use anvil_types::{context, ident, time, verdict};
use support::variant;

const RULES: &str = "rules: [{name: all, then: {retries: 0, objective: 2s, deadline: 6s}}]";

fn entry_node(return_order: bool) -> reducer::NodeReducer {
    let policy = policy::OverloadPolicy {
        return_order,
        ..variant::POLICY
    };
    let mut node = support::node_with_policy(policy);
    support::add_peer(&mut node, support::PEER);
    let rules = parse::parse_rules("test", RULES).unwrap();
    assert!(node.adopt_rules(ident::RuleRevision(1), rules));
    node
}

/// Sends a request that its target's node answers with `verdict`. Returns its lane and the pause that
/// its caller is told.
fn play(
    node: &mut reducer::NodeReducer,
    now: time::NodeTime,
    verdict: verdict::CallVerdict,
) -> (context::LaneHash, Option<Duration>) {
    let handle = now.0;
    let effects = node.step(now, support::arrival(handle, "GET"));
    let (peer, call) = support::sent_calls(&effects).remove(0);
    let effects = node.step(now, support::answer(peer, &call, verdict));
    let pauses = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::ReplyCaller { reply, .. } => Some(reply.retry_after),
        _ => None,
    });
    let pauses: Vec<_> = pauses.collect();
    assert_eq!(pauses.len(), 1, "{effects:?}");
    (call.context.lane, pauses[0])
}

fn counter(node: &mut reducer::NodeReducer, name: &str) -> u64 {
    let arrived = event::NodeEvent::OperatorRequestArrived {
        handle: event::OperatorHandle(1),
        request: event::OperatorRequest::Counters,
    };
    let effects = node.step(support::at(60_000), arrived);
    let texts = effects.into_iter().filter_map(|effect| match effect {
        effect::NodeEffect::AnswerOperator { answer, .. } => Some(answer.unwrap().text()),
        _ => None,
    });
    let text = texts.last().unwrap();
    let counters: serde_json::Value = serde_json::from_str(&text).unwrap();
    counters[name].as_u64().unwrap()
}

// A caller is refused by a full queue and returns with a new id: too early, then at the time that it was
// told. A target that refuses for reasons of its own makes no appointment.
#[test]
fn a_refused_caller_returns_in_order() {
    let full = verdict::CallVerdict::NotRun(verdict::RefusalReason::QueueFull);
    let refused = verdict::CallVerdict::NotRun(verdict::RefusalReason::TargetRefused);
    let mut node = entry_node(true);
    play(&mut node, support::at(1), refused);
    let (lane, told) = play(&mut node, support::at(1_000), full);
    let told = told.unwrap();
    assert!(
        told >= Duration::from_millis(300) && told <= Duration::from_secs(1),
        "{told:?}"
    );
    let early = play(&mut node, support::at(1_010), full);
    let left = told.checked_sub(Duration::from_millis(10)).unwrap();
    assert_eq!(early, (lane, Some(left)));
    let on_time = play(
        &mut node,
        support::at(1_000) + told,
        verdict::CallVerdict::Answered,
    );
    assert!(on_time.0.0 < 64 && on_time.1.is_none(), "{on_time:?}");
    for (name, count) in [
        ("returns_early", 1),
        ("returns_on_time", 1),
        ("returns_late", 0),
    ] {
        assert_eq!(counter(&mut node, name), count, "{name}");
    }
    let mut node = entry_node(false);
    let (_, told) = play(&mut node, support::at(1_000), full);
    let (lane, _) = play(&mut node, support::at(1_000) + told.unwrap(), full);
    assert_ne!(lane, context::LaneHash(0));
    assert_eq!(counter(&mut node, "appointments_made"), 0);
}
