//! The load and the pace that the local target states, and what its node reports of them.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use anvil_core::{answer, effect, event, reducer};
use anvil_overload::policy;
use anvil_testkit::test_cases;
use anvil_types::ident;
use anvil_wire::{call, frame};
use support::{at, started};

const ON: policy::OverloadPolicy = policy::OverloadPolicy {
    expected_completion: true,
    ..policy::OverloadPolicy::FULL
};

fn announced(id: &str) -> event::NodeEvent {
    let event::NodeEvent::TargetAnnounced(announcement) = support::announcement(48) else {
        unreachable!("announcement() returns an announcement");
    };
    event::NodeEvent::TargetAnnounced(event::TargetAnnouncement {
        lease: Duration::from_secs(60),
        warm: true,
        incarnation: Some(event::TargetIncarnation {
            id: ident::IncarnationId::new(id),
            started_at_ms: None,
            sequence: 1,
        }),
        ..announcement
    })
}

fn node(policy: policy::OverloadPolicy) -> reducer::NodeReducer {
    let mut node = support::node_with_policy(policy);
    node.step(at(1), announced("a"));
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
    let mut node = node(policy);
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
    not_without_the_switch => (policy::OverloadPolicy::FULL, "1,0,48,250", (140, "1,0,48,250"), 0),
}

// Guards against a target that starts with the pace of the one before it.
#[test]
fn the_pace_of_an_earlier_incarnation_is_dropped() {
    let mut node = node(ON);
    let first = start(&mut node, 10, 1);
    let second = start(&mut node, 10, 2);
    end(&mut node, 70, first, "1,0,48,250");
    node.step(at(80), announced("b"));
    let effects = end(&mut node, 90, second, "1,0,48,300");
    assert_eq!(report(&effects).pace_percent, 0);
}

// Guards against a line for each answer of a target that states nonsense or whose pace fluctuates.
fn lines_are_few(loads: &[&str], expected: usize) {
    let mut node = node(ON);
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
    assert_eq!(counter(&mut node, "loads_malformed"), malformed as u64);
}

test_cases! {
    lines_are_few:
    about_nonsense => (&["nonsense", "nonsense", "1,0,48,100", "nonsense"], 1),
    about_a_slow_time => (&["1,0,48,100", "1,0,48,250", "1,0,48,300", "1,0,48,100"], 2),
    about_a_pace_that_fluctuates => (&["1,0,48,210", "1,0,48,190", "1,0,48,210", "1,0,48,150"], 1),
}

fn counter(node: &mut reducer::NodeReducer, name: &str) -> u64 {
    let request = event::NodeEvent::OperatorRequestArrived {
        handle: event::OperatorHandle(0),
        request: event::OperatorRequest::Counters,
    };
    let effects = node.step(at(9_000), request);
    let text = effects.into_iter().find_map(|effect| match effect {
        effect::NodeEffect::AnswerOperator { answer, .. } => {
            answer.ok().map(answer::OperatorAnswer::text)
        }
        _ => None,
    });
    let counters: serde_json::Value = serde_json::from_str(&text.unwrap()).unwrap();
    counters[name].as_u64().unwrap()
}
