//! Whose statements about the local target count, and for which of its incarnations.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use anvil_core::{answer, effect, event, reducer};
use anvil_overload::policy;
use anvil_rules::{check, document};
use anvil_testkit::test_cases;
use anvil_types::{ident, verdict};
use anvil_wire::{call, frame};
use support::{at, started, variant};

fn announced(id: &str, sequence: u64) -> event::NodeEvent {
    let event::NodeEvent::TargetAnnounced(announcement) = support::announcement(48) else {
        unreachable!("announcement() returns an announcement");
    };
    event::NodeEvent::TargetAnnounced(event::TargetAnnouncement {
        lease: Duration::from_secs(1),
        warm: true,
        incarnation: Some(event::TargetIncarnation {
            id: ident::IncarnationId::new(id),
            started_at_ms: None,
            sequence,
        }),
        ..announcement
    })
}

fn digest(id: &str) -> ident::IncarnationDigest {
    ident::IncarnationDigest::of(&ident::IncarnationId::new(id), None)
}

/// A call of the peer, which knows this about the target.
fn call_with(sequence: u64, notice: Option<call::TargetNotice>) -> event::NodeEvent {
    let event::NodeEvent::FrameArrived {
        peer,
        frame: frame::PeerFrame::Call(mut call),
    } = support::peer_call(sequence, true)
    else {
        unreachable!("peer_call() returns a call");
    };
    call.notice = notice;
    let frame = frame::PeerFrame::Call(call);
    event::NodeEvent::FrameArrived { peer, frame }
}

fn known(id: &str, rate: Option<&str>, leaving: bool) -> call::TargetNotice {
    call::TargetNotice {
        incarnation: digest(id),
        rate: rate.map(|rate| rate.parse().unwrap()),
        leaving,
    }
}

fn answered(run: event::RunId, rate: event::StatedRate, leaving: bool) -> event::NodeEvent {
    event::NodeEvent::RunEnded {
        run,
        outcome: support::answered(),
        statement: Some(event::TargetStatement {
            rate,
            leaving,
            ..event::TargetStatement::default()
        }),
        exchange: None,
    }
}

fn limited(rate: &str) -> event::StatedRate {
    event::StatedRate::Limited(rate.parse().unwrap())
}

/// The counters of the node, as the metrics export them.
fn counters(node: &mut reducer::NodeReducer, millis: u64) -> serde_json::Value {
    let request = event::NodeEvent::OperatorRequestArrived {
        handle: event::OperatorHandle(0),
        request: event::OperatorRequest::Counters,
    };
    let effects = node.step(at(millis), request);
    let text = effects.into_iter().find_map(|effect| match effect {
        effect::NodeEffect::AnswerOperator { answer, .. } => {
            answer.ok().map(answer::OperatorAnswer::text)
        }
        _ => None,
    });
    serde_json::from_str(&text.unwrap()).unwrap()
}

/// The rate that the node knows of its target, in requests a second; zero if it knows none.
fn named_rate(node: &mut reducer::NodeReducer, millis: u64) -> f64 {
    counters(node, millis)["named_rate"]["per_second"]
        .as_f64()
        .unwrap()
}

/// A node whose target has answered one request with `rate`.
fn limited_node(rate: event::StatedRate) -> reducer::NodeReducer {
    let mut node = support::entry_node();
    node.step(at(1), announced("a", 1));
    let run = started(&node.step(at(2), support::peer_call(1, true)))[0];
    node.step(at(10), answered(run, rate, false));
    node
}

// Guards against a rate that is forgotten, or held against another incarnation.
fn a_rate_belongs_to_one_incarnation(events: &[(u64, event::NodeEvent)], expected: f64) {
    let mut node = limited_node(limited("7.9"));
    for (millis, event) in events {
        support::run_until(&mut node, at(*millis));
        node.step(at(*millis), event.clone());
    }
    assert_eq!(named_rate(&mut node, 9_000), expected);
}

test_cases! {
    a_rate_belongs_to_one_incarnation:
    it_outlives_a_renewal => (&[(500, announced("a", 2))], 7.9),
    it_outlives_a_lapsed_lease => (&[(3_000, announced("a", 2))], 7.9),
    it_ends_with_its_incarnation => (&[(500, announced("b", 1))], 0.0),
    it_returns_with_its_incarnation => (&[(500, announced("b", 1)), (600, announced("a", 2))], 7.9),
}

// Guards against statements of others that are taken for those of the target.
fn a_rate_is_learned_from(notices: &[call::TargetNotice], expected: f64) {
    let mut node = support::entry_node();
    node.step(at(1), announced("a", 1));
    for (sequence, notice) in (10..).zip(notices) {
        node.step(at(2), call_with(sequence, Some(*notice)));
    }
    assert_eq!(named_rate(&mut node, 1_001), expected);
}

test_cases! {
    a_rate_is_learned_from:
    nobody => (&[], 0.0),
    a_node_that_passed_it_on => (&[known("a", Some("5"), false)], 5.0),
    the_node_with_the_lowest => (&[known("a", Some("5"), false), known("a", Some("3"), false), known("a", Some("9"), false)], 3.0),
    no_node_that_knew_another_incarnation => (&[known("b", Some("5"), false)], 0.0),
}

// Guards against a target that gets more than the rate which it names from a node that has restarted,
// together with all others.
#[test]
fn a_rate_is_learned_from_the_check_of_the_target() {
    let path = check::CheckPath::new("/health").unwrap();
    let checks = check::CheckTable::new(vec![(support::service(), path)]);
    let rules = document::RuleDocument::default().with_checks(checks);
    let mut node = support::entry_node().with_target_checks();
    node.adopt_rules(ident::RuleRevision(1), rules);
    node.step(at(1), announced("a", 1));
    let checked = event::NodeEvent::TargetChecked {
        digest: digest("a"),
        outcome: event::CheckOutcome::Accepting,
        statement: Some(event::TargetStatement {
            rate: limited("7.9"),
            ..event::TargetStatement::default()
        }),
    };
    node.step(at(2), checked);
    assert_eq!(named_rate(&mut node, 3), 7.9);
}

#[test]
fn the_first_answer_goes_before_what_other_nodes_know() {
    let mut node = limited_node(limited("7.9"));
    node.step(at(20), call_with(20, Some(known("a", Some("3"), false))));
    assert_eq!(named_rate(&mut node, 21), 7.9);
}

#[test]
fn a_malformed_rate_leaves_the_last_one_in_force() {
    let mut node = limited_node(limited("7.9"));
    let run = started(&node.step(at(1_000), support::peer_call(2, true)))[0];
    node.step(
        at(1_100),
        answered(run, event::StatedRate::Malformed, false),
    );
    assert_eq!(named_rate(&mut node, 1_101), 7.9);
}

#[test]
fn an_answer_of_the_earlier_incarnation_states_nothing() {
    let mut node = support::entry_node();
    node.step(at(1), announced("a", 1));
    let run = started(&node.step(at(2), support::peer_call(1, true)))[0];
    node.step(at(3), announced("b", 1));
    node.step(at(4), answered(run, limited("7.9"), false));
    assert_eq!(named_rate(&mut node, 5), 0.0);
}

// Guards against a target that is used again although it has stated that it is leaving, and against
// one that is not used for what another incarnation stated.
fn leaving_holds_for_one_incarnation(events: &[event::NodeEvent], serving: Option<&str>) {
    let mut node = support::entry_node();
    node.step(at(1), announced("a", 1));
    let run = started(&node.step(at(2), support::peer_call(1, true)))[0];
    for event in events {
        let event = match event {
            event::NodeEvent::RunEnded {
                outcome, statement, ..
            } => event::NodeEvent::RunEnded {
                run,
                outcome: outcome.clone(),
                statement: *statement,
                exchange: None,
            },
            event => event.clone(),
        };
        node.step(at(3), event);
    }
    let effects = node.step(at(4), support::peer_call(2, true));
    let used = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::RunTarget(order) => order.incarnation.clone(),
        _ => None,
    });
    assert_eq!(used.as_ref().map(ident::IncarnationId::as_str), serving);
}

fn states_leaving() -> event::NodeEvent {
    answered(event::RunId(1), event::StatedRate::Unlimited, true)
}

fn refused_while_leaving() -> event::NodeEvent {
    event::NodeEvent::RunEnded {
        run: event::RunId(1),
        outcome: event::RunOutcome::Refused,
        statement: Some(event::TargetStatement {
            leaving: true,
            ..event::TargetStatement::default()
        }),
        exchange: None,
    }
}

fn draining(id: &str, sequence: u64) -> event::NodeEvent {
    event::NodeEvent::TargetWithdrawn {
        incarnation: event::TargetIncarnation {
            id: ident::IncarnationId::new(id),
            started_at_ms: None,
            sequence,
        },
        terminated: false,
    }
}

test_cases! {
    leaving_holds_for_one_incarnation:
    stated_in_an_answer => (&[states_leaving()], None),
    stated_in_a_refusal => (&[refused_while_leaving()], None),
    stated_before_it_announces_itself_again => (&[states_leaving(), announced("a", 2)], None),
    stated_before_its_successor_comes => (&[states_leaving(), announced("b", 1)], Some("b")),
    stated_after_its_successor_came => (&[announced("b", 1), states_leaving()], Some("b")),
    stated_after_its_successor_came_and_announced_late => (
        &[announced("b", 1), states_leaving(), announced("a", 2)], Some("b")),
    reported_before_it_announces_itself_again => (&[draining("a", 2), announced("a", 3)], None),
    known_to_another_node => (&[call_with(9, Some(known("a", None, true)))], None),
    known_to_another_node_before_it_announces_itself_again => (
        &[call_with(9, Some(known("a", None, true))), announced("a", 2)], None),
    known_of_another_incarnation => (&[call_with(9, Some(known("b", None, true)))], Some("a")),
}

#[test]
fn what_waits_at_a_target_that_leaves_is_refused_as_not_run() {
    let mut node = support::entry_node();
    node.step(at(1), announced("a", 1));
    let mut runs = Vec::new();
    for sequence in 1..=60 {
        runs.extend(started(
            &node.step(at(2), support::peer_call(sequence, true)),
        ));
    }
    let effects = node.step(at(3), answered(runs[0], event::StatedRate::Unlimited, true));
    let refused = effects.iter().filter(|effect| match effect {
        effect::NodeEffect::SendFrame {
            frame: frame::PeerFrame::Answer(answer),
            ..
        } => answer.verdict == verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving),
        _ => false,
    });
    assert!(runs.len() < 60);
    assert_eq!(refused.count(), 60 - runs.len());
}

// Guards against a flood at a target with a named rate after all nodes have restarted, when nobody
// can tell its node the rate: until the first answer it gets no more than its 48 slots, and with that
// answer the rate applies to all that wait.
#[test]
fn a_rate_that_nobody_knows_applies_with_the_first_answer() {
    let mut node = support::entry_node();
    node.step(at(1), announced("a", 1));
    let mut runs = Vec::new();
    for sequence in 0..100 {
        runs.extend(started(&node.step(at(2), call_with(sequence, None))));
    }
    assert!(runs.len() <= 48, "{} runs", runs.len());
    let mut limited_runs = 0;
    for (run, millis) in runs.into_iter().zip((100..900).step_by(50)) {
        let ended = answered(run, limited("2.0"), false);
        limited_runs += started(&node.step(at(millis), ended)).len();
        let woken = node.step(at(millis + 25), event::NodeEvent::TimerFired);
        limited_runs += started(&woken).len();
    }
    assert!(limited_runs <= 2, "{limited_runs} runs in 0.8 s");
}

const ON: policy::OverloadPolicy = policy::OverloadPolicy {
    expected_completion: true,
    ..variant::POLICY
};

const OFF: policy::OverloadPolicy = policy::OverloadPolicy {
    expected_completion: false,
    ..variant::POLICY
};

/// A node with these switches and a target.
fn paced_node(policy: policy::OverloadPolicy) -> reducer::NodeReducer {
    let mut node = support::node_with_policy(policy);
    node.step(at(1), announced("a", 1));
    node
}

/// The load that an answer states; none if the text is empty.
fn stated(text: &str) -> event::LoadStatement {
    match text {
        "" => event::LoadStatement::Absent,
        text => text
            .parse()
            .map_or(event::LoadStatement::Malformed, event::LoadStatement::Valid),
    }
}

/// Ends a run at `millis` with an answer that states `load`.
fn end(
    node: &mut reducer::NodeReducer,
    millis: u64,
    run: event::RunId,
    load: &str,
) -> Vec<effect::NodeEffect> {
    let event = event::NodeEvent::RunEnded {
        run,
        outcome: support::answered(),
        statement: Some(event::TargetStatement {
            load: stated(load),
            ..event::TargetStatement::default()
        }),
        exchange: None,
    };
    node.step(at(millis), event)
}

fn start(node: &mut reducer::NodeReducer, millis: u64, sequence: u64) -> event::RunId {
    started(&node.step(at(millis), support::peer_call(sequence, true)))[0]
}

/// The load report of the answer that `effects` send.
fn report(effects: &[effect::NodeEffect]) -> call::LoadReport {
    let report = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::SendFrame {
            frame: frame::PeerFrame::Answer(answer),
            ..
        } => Some(answer.load),
        _ => None,
    });
    report.unwrap()
}

// The first answer comes 60 ms after its call, and the second states another load at another time.
// Guards against a pace that counts for another incarnation, after its time, or without the switch.
fn the_report_carries_the_pace(
    policy: policy::OverloadPolicy,
    first: &str,
    (millis, second): (u64, &str),
    expected: u16,
) {
    let mut node = paced_node(policy);
    let run = start(&mut node, 10, 1);
    end(&mut node, 70, run, first);
    let run = start(&mut node, 80, 2);
    let effects = end(&mut node, millis, run, second);
    assert_eq!(report(&effects).pace_percent, expected);
}

test_cases! {
    the_report_carries_the_pace:
    of_the_latest_answer => (ON, "1,0,48,250", (140, "1,0,48,120"), 120),
    until_it_is_outdated => (ON, "1,0,48,250", (1_070, ""), 250),
    not_longer => (ON, "1,0,48,250", (1_071, ""), 0),
    not_if_it_is_no_longer_part_of_the_load => (ON, "1,0,48,250", (140, "1,0,48"), 0),
    through_a_malformed_answer => (ON, "1,0,48,250", (140, "1,0,48,0"), 250),
    not_without_the_switch => (OFF, "1,0,48,250", (140, "1,0,48,250"), 0),
}

// Guards against a target that starts with the pace of the one before it.
#[test]
fn the_pace_of_an_earlier_incarnation_is_dropped() {
    let mut node = paced_node(ON);
    let first = start(&mut node, 10, 1);
    let second = start(&mut node, 10, 2);
    end(&mut node, 70, first, "1,0,48,250");
    node.step(at(80), announced("b", 1));
    let effects = end(&mut node, 90, second, "1,0,48,300");
    assert_eq!(report(&effects).pace_percent, 0);
}

// Guards against a line for each answer of a target that states nonsense or whose pace fluctuates.
fn lines_are_few(loads: &[&str], expected: usize) {
    let mut node = paced_node(ON);
    let mut lines = 0;
    for (sequence, load) in (1..).zip(loads) {
        let run = start(&mut node, sequence * 10, sequence);
        let effects = end(&mut node, sequence * 10 + 5, run, load);
        let is_line = |effect: &&effect::NodeEffect| {
            matches!(
                effect,
                effect::NodeEffect::Report(
                    effect::StateChange::LoadMalformed { .. }
                        | effect::StateChange::PaceChanged { .. }
                )
            )
        };
        lines += effects.iter().filter(is_line).count();
    }
    assert_eq!(lines, expected);
    let malformed = loads.iter().filter(|load| **load == "nonsense").count();
    assert_eq!(counters(&mut node, 9_000)["loads_malformed"], malformed);
}

test_cases! {
    lines_are_few:
    about_nonsense => (&["nonsense", "nonsense", "1,0,48,100", "nonsense"], 1),
    about_a_slow_time => (&["1,0,48,100", "1,0,48,250", "1,0,48,300", "1,0,48,100"], 2),
    about_a_pace_that_fluctuates => (&["1,0,48,210", "1,0,48,190", "1,0,48,210", "1,0,48,150"], 1),
}
