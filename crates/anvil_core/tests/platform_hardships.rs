//! Failures on a platform that restarts processes in turn and whose targets announce themselves.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use anvil_core::{effect, event, reducer, stopping};
use anvil_rules::parse;
use anvil_testkit::test_cases;
use anvil_types::{ident, verdict};
use support::{at, replies, started};

fn incarnation(id: &str, sequence: u64) -> event::TargetIncarnation {
    event::TargetIncarnation {
        id: ident::IncarnationId::new(id),
        started_at_ms: None,
        sequence,
    }
}

fn announced(id: &str, sequence: u64) -> event::NodeEvent {
    let event::NodeEvent::TargetAnnounced(announcement) = support::announcement(4) else {
        unreachable!("announcement() returns an announcement");
    };
    event::NodeEvent::TargetAnnounced(event::TargetAnnouncement {
        incarnation: Some(incarnation(id, sequence)),
        warm: true,
        ..announcement
    })
}

fn withdrawn(id: &str, sequence: u64, terminated: bool) -> event::NodeEvent {
    event::NodeEvent::TargetWithdrawn {
        incarnation: incarnation(id, sequence),
        terminated,
    }
}

/// The incarnation ids to which runs were sent.
fn run_incarnations(effects: &[effect::NodeEffect]) -> Vec<String> {
    let orders = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::RunTarget(order) => order.incarnation.as_ref(),
        _ => None,
    });
    orders.map(ToString::to_string).collect()
}

// A request must never be sent to a target that is draining or has terminated. Announcements arrive
// late and out of order: one of an earlier start, or older than the latest of the same start, must
// be ignored.
fn late_words_change_nothing(announcements: &[event::NodeEvent], serving: Option<&str>) {
    let mut node = support::entry_node();
    for announcement in announcements {
        node.step(at(1), announcement.clone());
    }
    let effects = node.step(at(2), support::peer_call(7, true));
    let expected: Vec<String> = serving.into_iter().map(str::to_owned).collect();
    assert_eq!(run_incarnations(&effects), expected);
}

test_cases! {
    late_words_change_nothing:
    first_announcement_serves => (&[announced("a", 1)], Some("a")),
    drain_takes_effect => (&[announced("a", 1), withdrawn("a", 2, false)], None),
    late_announcement_after_drain_is_ignored => (
        &[announced("a", 1), withdrawn("a", 3, false), announced("a", 2)], None),
    announcement_after_termination_is_ignored => (
        &[announced("a", 1), withdrawn("a", 9, true), announced("a", 10)], None),
    termination_of_another_start_is_ignored => (
        &[announced("a", 1), announced("b", 1), withdrawn("a", 9, true)], Some("b")),
    late_drain_of_another_start_is_ignored => (
        &[announced("a", 1), announced("b", 1), withdrawn("a", 2, false)], Some("b")),
    new_start_serves_after_a_termination => (
        &[announced("a", 1), withdrawn("a", 2, true), announced("b", 1)], Some("b")),
}

#[test]
fn a_refusal_by_the_successor_brings_the_node_back_to_it() {
    // Incarnation a crashed and b has registered; then an announcement of a arrives seconds late.
    // The target at the address refuses a run meant for a and answers that it is b. The node must
    // return to b and ignore a from then on; otherwise callers would be refused until the next
    // heartbeat.
    let mut node = support::entry_node();
    node.step(at(1), announced("b", 1));
    node.step(at(2), announced("a", 40));
    let effects = node.step(at(3), support::peer_call(7, true));
    assert_eq!(run_incarnations(&effects), ["a"]);
    let run = started(&effects)[0];
    let holder = Some(ident::IncarnationId::new("b"));
    let outcome = event::RunOutcome::Misdirected { holder };
    node.step(
        at(4),
        event::NodeEvent::RunEnded {
            run,
            outcome,
            statement: None,
            exchange: None,
        },
    );
    node.step(at(5), announced("a", 41));
    let effects = node.step(at(6), support::peer_call(8, true));
    assert_eq!(run_incarnations(&effects), ["b"]);
}

fn stopping_node(plan: stopping::StopPlan) -> reducer::NodeReducer {
    let node = support::with_target(support::entry_node(), 4).with_stop(plan);
    let mut node = node;
    node.step(at(10), event::NodeEvent::StopRequested);
    node
}

const PLAN: stopping::StopPlan = stopping::StopPlan {
    linger: Duration::from_secs(3),
    run_linger: Duration::from_secs(2),
    limit: Some(Duration::from_secs(5)),
};

#[test]
fn the_target_of_a_stopping_node_accepts_runs_at_first() {
    // Nodes are restarted in turn while their targets keep running. If each target were withdrawn
    // at the stop request, it would be idle for three seconds and the service would lack its
    // capacity. It must accept runs for two seconds and refuse them as not run from then on.
    let mut node = stopping_node(PLAN);
    let early = node.step(at(1_500), support::peer_call(7, true));
    assert_eq!(started(&early).len(), 1);
    support::run_until(&mut node, at(2_200));
    let late = node.step(at(2_200), support::peer_call(8, true));
    assert!(started(&late).is_empty());
    let refused = late.iter().any(|effect| match effect {
        effect::NodeEffect::SendFrame {
            frame: anvil_wire::frame::PeerFrame::Answer(answer),
            ..
        } => answer.verdict == verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving),
        _ => false,
    });
    assert!(refused);
}

#[test]
fn a_stopping_node_replies_before_it_is_killed() {
    // A run hangs for longer than the stop limit, after which the platform kills the process and
    // callers would see a broken connection. They must be told "may have run" half a second before.
    let mut node = stopping_node(PLAN);
    node.step(at(20), support::arrival(1, "POST"));
    let effects = support::run_until(&mut node, at(5_010));
    let verdicts = replies(&effects);
    let stopped = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Stopped);
    assert_eq!(verdicts, [(1, stopped)]);
    let exited = effects
        .iter()
        .any(|effect| matches!(effect, effect::NodeEffect::Exit));
    assert!(exited);
}

#[test]
fn a_second_request_to_stop_cuts_nothing() {
    // A run is in progress when its node gets a stop request, and another one a second later, as
    // happens when the stops of a machine and of its whole zone overlap. The caller must get the
    // full answer that the target gives two seconds later; the platform kills the node after five
    // seconds in any case.
    let mut node = stopping_node(PLAN);
    let effects = node.step(at(20), support::arrival(1, "POST"));
    let run = started(&effects)[0];
    let effects = node.step(at(1_000), event::NodeEvent::StopRequested);
    assert_eq!(replies(&effects), []);
    let outcome = support::answered();
    let effects = node.step(
        at(2_900),
        event::NodeEvent::RunEnded {
            run,
            outcome,
            statement: None,
            exchange: None,
        },
    );
    assert_eq!(replies(&effects), [(1, verdict::CallVerdict::Answered)]);
    let effects = support::run_until(&mut node, at(3_100));
    let exited = effects
        .iter()
        .any(|effect| matches!(effect, effect::NodeEffect::Exit));
    assert!(exited);
}

const ROUTE: &str = "rules:
  - name: status
    when: {host: portal.example, path: /cases/**}
    then: {send-to: expediente, idempotent: true, deadline: 5s, objective: 1200ms}
  - name: nothing-else
    then: {action: not-found}
";

fn routed_node() -> reducer::NodeReducer {
    let mut node = support::entry_node();
    let rules = parse::parse_rules("test", ROUTE).unwrap();
    assert!(node.adopt_rules(ident::RuleRevision(3), rules));
    node
}

fn routed_arrival(host: &str, path: &str) -> event::NodeEvent {
    let mut request = support::request("GET");
    request.service = anvil_types::name::ServiceName::default();
    request.path = path.to_owned();
    request.headers.push(anvil_wire::call::HeaderLine {
        name: "host".to_owned(),
        value: host.to_owned().into(),
    });
    event::NodeEvent::CallArrived {
        handle: event::CallerHandle(1),
        request: Box::new(request),
        hints: event::CallerHints::default(),
    }
}

#[test]
fn a_request_waits_for_a_target_that_is_about_to_come() {
    // All processes were killed and have restarted, and their targets' next heartbeats are about to
    // arrive. If the request were refused at once, its retry would miss the objective. It must be
    // served as soon as the target announces itself, well within the objective.
    let mut node = routed_node();
    let effects = node.step(at(10), routed_arrival("portal.example", "/cases/7"));
    assert!(replies(&effects).is_empty());
    support::run_until(&mut node, at(200));
    node.step(at(200), support::announcement(4));
    let effects = support::run_until(&mut node, at(260));
    assert_eq!(started(&effects).len(), 1);
}

#[test]
fn a_request_is_refused_while_a_retry_can_still_meet_its_objective() {
    // The service has no target any more. The caller must be refused while at least half of
    // its objective is left, with a time after which to retry.
    let mut node = routed_node();
    node.step(at(10), routed_arrival("portal.example", "/cases/7"));
    let effects = support::run_until(&mut node, at(600));
    let refused = verdict::CallVerdict::NotRun(verdict::RefusalReason::UnknownService);
    assert_eq!(replies(&effects), [(1, refused)]);
    let pause = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::ReplyCaller { reply, .. } => reply.retry_after,
        _ => None,
    });
    assert!(pause.is_some());
}

// Rules match the path and the host, regardless of its letter case and port. If only the last rule
// matches, the request is answered as not found.
fn rules_choose_by_host_and_path(host: &str, path: &str, found: bool) {
    let mut node = routed_node();
    node.step(at(1), support::announcement(4));
    let effects = node.step(at(2), routed_arrival(host, path));
    let missing = verdict::CallVerdict::NotRun(verdict::RefusalReason::NotFound);
    assert_eq!(started(&effects).len(), usize::from(found));
    assert_eq!(replies(&effects) == [(1, missing)], !found);
}

test_cases! {
    rules_choose_by_host_and_path:
    matching_host => ("portal.example", "/cases/7", true),
    matching_host_with_a_port => ("Portal.Example:8080", "/cases/7?x=/other", true),
    another_host => ("api.example", "/cases/7", false),
    another_path => ("portal.example", "/claims/7", false),
}

#[test]
fn a_call_inherits_from_the_request_that_its_id_names() {
    // A claim's target makes a lookup under an id derived from the claim's. The lookup must belong
    // to the claim's root request, so that it has the claim's class and ends with it, although it
    // carries no parent token.
    let mut node = support::target_node(4);
    let mut claim = support::peer_call(7, false);
    let event::NodeEvent::FrameArrived {
        frame: anvil_wire::frame::PeerFrame::Call(call),
        ..
    } = &mut claim
    else {
        unreachable!("peer_call() returns a call");
    };
    call.label = Some(ident::RequestLabel::new("9c41"));
    call.context.class = anvil_types::context::PriorityClass::Critical;
    call.context.repeat = true;
    node.step(at(1), claim);
    support::add_peer(&mut node, support::PEER);
    let hints = event::CallerHints {
        label: Some(ident::RequestLabel::new("9c41.1")),
        parent_label: Some(ident::RequestLabel::new("9c41")),
        ..event::CallerHints::default()
    };
    let arrival = event::NodeEvent::CallArrived {
        handle: event::CallerHandle(1),
        request: Box::new(support::request("GET")),
        hints,
    };
    let effects = node.step(at(2), arrival);
    let order = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::RunTarget(order) => Some(order.root),
        _ => None,
    });
    let sent = support::sent_calls(&effects);
    let root = order.or(sent.first().map(|(_, call)| call.context.request));
    assert_eq!(root, Some(ident::RequestId(7)));
}
