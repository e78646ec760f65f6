//! Requests are started only if a scarce service at the end of their call chains can complete them.

#![allow(clippy::unwrap_used)]

mod mesh;
mod support;

use anvil_core::{effect, event};
use anvil_overload::policy;
use anvil_testkit::test_cases;
use anvil_types::verdict;
use anvil_wire::{call, frame};
use support::at;

fn run(lines: bool, change: impl Fn(&mut mesh::Plan), factor: f64) -> mesh::Mesh {
    let mut policy = policy::OverloadPolicy::FULL;
    policy.completion_lines = lines;
    let mut plan = mesh::Plan::scarce(policy, factor);
    change(&mut plan);
    mesh::Mesh::new(plan, mesh::scarce_mesh()).run()
}

// The demand exceeds the capacity of the scarce service from second 2 to 8. A read makes eight
// calls to it and fails by the highest of eight lines. Without completion lines, more than one of
// twenty started requests fails after most of its work is done.
fn started_requests_complete(factor: f64, restart_at: Option<f64>, seed: u64) {
    let change = |plan: &mut mesh::Plan| {
        plan.seed = seed;
        plan.restart_at = restart_at;
    };
    let from = restart_at.map_or(4.5, |at| at + 2.0);
    let full = run(true, change, factor);
    let reduced = run(false, change, factor);
    let (with, without) = (
        full.scarce_shares(from, 8.0),
        reduced.scarce_shares(from, 8.0),
    );
    assert!(with.completed >= 0.95, "{with:?}");
    assert!(with.wasted < 0.05, "{with:?}");
    assert!(without.completed < 0.95, "{without:?}");
    // The line must not refuse much more than what can't be completed.
    assert!(with.served >= 0.85 * without.served, "{with:?} {without:?}");
    assert!(full.shares("certify", from, 8.0).served >= 0.99);
    assert!(full.shares("search", from, 8.0).served >= 0.99);
}

test_cases! {
    started_requests_complete:
    at_one_and_a_half_times_the_capacity => (1.5, None, 1),
    at_one_and_a_half_times_the_capacity_with_another_seed => (1.5, None, 2),
    at_two_and_a_half_times_the_capacity => (2.5, None, 1),
    at_two_and_a_half_times_the_capacity_with_another_seed => (2.5, None, 2),
    after_a_restart_of_all_nodes => (2.5, Some(4.0), 1),
    after_a_restart_of_all_nodes_with_another_seed => (2.5, Some(4.0), 2),
}

// After the overload the queues of the scarce service must drain with and without completion lines.
// The lines must be gone two seconds later, at all three services above it.
fn lines_go_after_the_overload(factor: f64, seed: u64) {
    let full = run(true, |plan| plan.seed = seed, factor);
    let reduced = run(false, |plan| plan.seed = seed, factor);
    let (with, without) = (full.recovery(8.0), reduced.recovery(8.0));
    assert!(
        with.unwrap() <= without.unwrap() + 2.0,
        "{with:?} {without:?}"
    );
}

test_cases! {
    lines_go_after_the_overload:
    lines_go_after_one_and_a_half_times_the_capacity => (1.5, 1),
    lines_go_after_one_and_a_half_times_the_capacity_with_another_seed => (1.5, 2),
    lines_go_after_two_and_a_half_times_the_capacity => (2.5, 1),
    lines_go_after_two_and_a_half_times_the_capacity_with_another_seed => (2.5, 2),
}

// Operators must see a line in the log, in the dump and in the metrics while it is in force, and
// nothing of it with the switch off.
fn lines_are_shown(switch: bool) {
    let mut mesh = run(switch, |plan| plan.until = 7.0, 2.5);
    let appeared = mesh.reports.iter().any(|change| {
        matches!(
            change,
            effect::StateChange::CompletionLine { line: Some(_), .. }
        )
    });
    assert_eq!(appeared, switch);
    let mut shown = (false, false, false);
    for dump in mesh.dumps() {
        let dump: serde_json::Value = serde_json::from_str(&dump).unwrap();
        let kinds = dump["overload"]["completion"]["kinds"].as_array().unwrap();
        let gauges = dump["counters"]["completion_line"].as_object().unwrap();
        shown.0 |= kinds.iter().any(|kind| kind["level"] != 0);
        shown.1 |= !gauges.is_empty();
        shown.2 |= dump["counters"]["runs_refused_below"] != 0;
    }
    assert_eq!(shown, (switch, switch, switch));
}

test_cases! {
    lines_are_shown:
    shown_with_the_switch => (true),
    nothing_without_the_switch => (false),
}

fn answered(status: u16) -> call::CallAnswer {
    call::CallAnswer {
        status,
        headers: Vec::new(),
        body: bytes::Bytes::new(),
    }
}

fn not_run(reason: verdict::RefusalReason) -> verdict::CallVerdict {
    verdict::CallVerdict::NotRun(reason)
}

// A run makes a call and fails with it. The answer must tell the upstream node whether that was for
// lack of capacity. Without the flag, a broken target would make it refuse requests.
fn answer_tells_of_refusals(below: verdict::CallVerdict, status: u16, flag: bool, expected: bool) {
    let mut node = support::target_node(8);
    let effects = node.step(at(1), support::peer_call(1, false));
    let run = support::started(&effects)[0];
    support::add_peer(&mut node, support::PEER);
    node.step(at(2), event::NodeEvent::TargetLeaving);
    let effects = node.step(at(3), support::child_call(run));
    let (peer, sent) = support::sent_calls(&effects).remove(0);
    let event::NodeEvent::FrameArrived {
        frame: frame::PeerFrame::Answer(mut answer),
        ..
    } = support::answer(peer, &sent, below)
    else {
        unreachable!("the helper returns an answer");
    };
    if below == verdict::CallVerdict::Answered {
        answer.answer = Some(answered(status));
    }
    answer.refused_below = flag;
    let frame = frame::PeerFrame::Answer(answer);
    node.step(at(4), event::NodeEvent::FrameArrived { peer, frame });
    let ended = event::NodeEvent::RunEnded {
        run,
        outcome: event::RunOutcome::Answered(answered(500)),
        statement: None,
    };
    let effects = node.step(at(9), ended);
    let flags = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::SendFrame {
            frame: frame::PeerFrame::Answer(answer),
            ..
        } => Some(answer.refused_below),
        _ => None,
    });
    assert_eq!(flags.collect::<Vec<_>>(), [expected]);
}

test_cases! {
    answer_tells_of_refusals:
    queue_full => (not_run(verdict::RefusalReason::QueueFull), 0, false, true),
    below_a_line => (not_run(verdict::RefusalReason::Shed), 0, false, true),
    refused_by_the_target => (not_run(verdict::RefusalReason::TargetRefused), 0, false, true),
    refused_further_down => (verdict::CallVerdict::Answered, 503, true, true),
    refused_further_down_but_answered => (verdict::CallVerdict::Answered, 200, true, false),
    error_of_the_target => (verdict::CallVerdict::Answered, 500, false, false),
    lost_answer => (
        verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::AnswerCut), 0, false, false
    ),
    quarantined => (not_run(verdict::RefusalReason::Quarantined), 0, false, false),
}
