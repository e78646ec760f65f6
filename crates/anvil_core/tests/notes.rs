//! Log lines about single requests, and their rate limit.

#![allow(clippy::unwrap_used)]

mod support;

use anvil_core::{effect, event, request_log};
use anvil_types::{context, ident, time, verdict};
use anvil_wire::gossip;
use serde_json::json;

/// The log lines about single requests among `effects`.
fn lines(effects: &[effect::NodeEffect]) -> Vec<&effect::StateChange> {
    let lines = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::Report(change) => Some(change),
        _ => None,
    });
    lines
        .filter(|change| matches!(change, effect::StateChange::CallEnded(_)))
        .collect()
}

fn labelled(handle: u64, label: &str) -> event::NodeEvent {
    event::NodeEvent::CallArrived {
        handle: event::CallerHandle(handle),
        request: Box::new(support::request("POST")),
        hints: event::CallerHints {
            label: Some(ident::RequestLabel::new(label)),
            ..event::CallerHints::default()
        },
    }
}

#[test]
fn a_refused_request_is_logged_with_its_id_and_cause() {
    // When a refused request is investigated later, only its id is known. The one line with that id
    // must say that nothing ran, why, and which verdict the caller received.
    let mut node = support::entry_node();
    let effects = node.step(support::at(5), labelled(1, "9c41d07be2a35f68"));
    let lines = lines(&effects);
    assert_eq!(lines.len(), 1);
    let text = serde_json::to_value(lines[0]).unwrap();
    assert_eq!(text["event"], "call-ended");
    assert_eq!(text["request"], "9c41d07be2a35f68");
    assert_eq!(text["verdict"], "not-run: unknown-service");
    assert_eq!(text["reached"], 0);
}

// Guards against a request decided by older rules whose log line does not tell that a newer revision
// was known.
#[test]
fn a_request_decided_by_older_rules_names_the_newer_revision() {
    let mut node = support::entry_node();
    let head = gossip::GossipHead {
        from: ident::NodeId(9),
        incarnation: 0,
        revision: ident::RuleRevision(7),
        ready: true,
        confirmed: gossip::ConfirmationAge::UNKNOWN,
    };
    let message = gossip::GossipMessage {
        head,
        kind: gossip::GossipKind::Rumour,
        updates: Vec::new(),
    };
    let from = support::address(7_999);
    let heard = event::NodeEvent::DatagramArrived { from, message };
    node.step(support::at(5), heard);
    let effects = node.step(support::at(6), labelled(1, "9c41d07be2a35f68"));
    let text = serde_json::to_value(lines(&effects)[0]).unwrap();
    assert_eq!(text["rule"]["revision"], 0);
    assert_eq!(text["newer_revision"], 7);
}

#[test]
fn log_lines_about_refusals_are_limited() {
    // A thousand requests arrive within half a second, and all are refused. Unlimited logging would
    // fill the disk: the log must hold a bounded number of lines, and with the next line the number
    // of those suppressed.
    let mut node = support::entry_node();
    let mut written = 0;
    for handle in 0..1_000 {
        let effects = node.step(support::at(handle / 2), labelled(handle, "a"));
        written += lines(&effects).len();
    }
    assert_eq!(written, 200);
    let effects = node.step(support::at(2_000), labelled(1_000, "b"));
    let counts_suppressed = effects.iter().any(|effect| {
        matches!(
            effect,
            effect::NodeEffect::Report(effect::StateChange::LinesSuppressed { count: 800 })
        )
    });
    assert!(counts_suppressed);
}

#[test]
fn successes_are_logged_for_a_sixteenth_of_the_lanes() {
    let is_logged = |lane| {
        let lane = context::LaneHash(lane);
        request_log::is_logged(verdict::CallVerdict::Answered, Some(200), lane)
    };
    assert_eq!((0..=255).filter(|lane| is_logged(*lane)).count(), 16);
    let failed = context::LaneHash(200);
    assert!(request_log::is_logged(
        verdict::CallVerdict::Answered,
        Some(503),
        failed
    ));
    let mut budget = request_log::LogBudget::default();
    let first = budget.take(time::NodeTime::START);
    assert_eq!(first, request_log::LogGrant::Write { suppressed: 0 });
}

/// The steps of attempts among the log lines, as JSON without what identifies the request.
fn attempt_steps(effects: &[effect::NodeEffect]) -> Vec<serde_json::Value> {
    let steps = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::Report(effect::StateChange::Attempt(record)) => {
            assert!(record.call.sequence > 0);
            let step = serde_json::to_value(&record.step).unwrap();
            Some(json!({ "attempt": record.attempt, "step": step }))
        }
        _ => None,
    });
    steps.collect()
}

// Guards against a request that ran twice and whose attempts no log shows.
#[test]
fn each_attempt_of_a_request_that_must_not_run_twice_is_logged_at_its_entry_node() {
    let mut node = support::entry_node();
    support::add_peer(&mut node, support::PEER);
    support::add_peer(&mut node, ident::NodeId(3));
    let mut effects = node.step(support::at(5), support::arrival(1, "POST"));
    let (peer, call) = support::sent_calls(&effects).remove(0);
    let refused = verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving);
    effects.extend(node.step(support::at(6), support::answer(peer, &call, refused)));
    let (other, call) = support::sent_calls(&effects).remove(1);
    let answered = verdict::CallVerdict::Answered;
    effects.extend(node.step(support::at(7), support::answer(other, &call, answered)));
    let sent = |to: ident::NodeId| json!({ "step": "sent", "to": to.to_string() });
    let settled = |verdict: &str, status: Option<u16>| json!({ "step": "settled", "verdict": verdict, "status": status });
    assert_eq!(
        attempt_steps(&effects),
        [
            json!({ "attempt": 1, "step": sent(peer) }),
            json!({ "attempt": 1, "step": settled("not-run: leaving", None) }),
            json!({ "attempt": 2, "step": sent(other) }),
            json!({ "attempt": 2, "step": settled("answered", Some(200)) }),
        ]
    );
}

// Guards against a run that no log of its target's node ties to a connection and an answer.
#[test]
fn each_run_of_a_request_that_must_not_run_twice_is_logged_with_its_connection() {
    let mut node = support::target_node(8);
    let mut effects = node.step(support::at(5), support::peer_call(1, false));
    let exchange = event::ExchangeTrace {
        connection: 4,
        position: 2,
        unrelated: 1,
        identity: Some(event::AnswerIdentity::Named),
    };
    let ended = event::NodeEvent::RunEnded {
        run: support::started(&effects)[0],
        outcome: event::RunOutcome::Refused,
        statement: None,
        exchange: Some(exchange),
    };
    effects.extend(node.step(support::at(6), ended));
    let exchange = json!({ "connection": 4, "position": 2, "unrelated": 1, "identity": "named" });
    let ended = json!({
        "step": "ended", "run": 1, "verdict": "not-run: target-refused", "status": null,
        "exchange": exchange,
    });
    assert_eq!(
        attempt_steps(&effects),
        [
            json!({ "attempt": 1, "step": { "step": "started", "run": 1 } }),
            json!({ "attempt": 1, "step": ended }),
        ]
    );
}

// Guards against a log that grows with the load, or in which first attempts crowd out refused ones.
#[test]
fn lines_about_attempts_are_limited_and_unusual_ones_have_a_reserve() {
    let mut node = support::target_node(10_000);
    let (mut started, mut refused) = (0, 0);
    for sequence in 1..=1_000 {
        let effects = node.step(support::at(1_000), support::peer_call(sequence, false));
        started += attempt_steps(&effects).len();
        let runs = support::started(&effects);
        let ended = runs.iter().map(|run| event::NodeEvent::RunEnded {
            run: *run,
            outcome: event::RunOutcome::Refused,
            statement: None,
            exchange: None,
        });
        for ended in ended {
            refused += attempt_steps(&node.step(support::at(1_000), ended)).len();
        }
    }
    assert!(started < refused, "{started} started, {refused} refused");
    assert_eq!(started + refused, 200);
}

// Guards against a log of every attempt of requests that may run again.
#[test]
fn attempts_of_idempotent_requests_are_not_logged() {
    let mut node = support::target_node(8);
    let effects = node.step(support::at(5), support::peer_call(1, true));
    assert_eq!(attempt_steps(&effects), Vec::<serde_json::Value>::new());
}
