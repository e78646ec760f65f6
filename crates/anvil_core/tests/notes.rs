//! Log lines about single requests, and their rate limit.

#![allow(clippy::unwrap_used)]

mod support;

use anvil_core::{effect, event, request_log};
use anvil_types::{context, ident, time, verdict};

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
