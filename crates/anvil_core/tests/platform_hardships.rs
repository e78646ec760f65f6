//! Hardships of a platform whose processes restart in turn and whose targets speak for themselves.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use anvil_core::{effect, event, reducer, stopping};
use anvil_rules::parse;
use anvil_testkit::test_cases;
use anvil_types::{ident, verdict};
use support::{at, replies, started};

fn word(id: &str, sequence: u64) -> event::TargetIncarnation {
    event::TargetIncarnation {
        id: ident::IncarnationId::new(id),
        started_at_ms: None,
        sequence,
    }
}

fn announced(id: &str, sequence: u64) -> event::NodeEvent {
    let event::NodeEvent::TargetAnnounced(announcement) = support::announcement(4) else {
        unreachable!("it announces");
    };
    event::NodeEvent::TargetAnnounced(event::TargetAnnouncement {
        incarnation: Some(word(id, sequence)),
        warm: true,
        ..announcement
    })
}

fn withdrawn(id: &str, sequence: u64, terminated: bool) -> event::NodeEvent {
    event::NodeEvent::TargetWithdrawn {
        incarnation: word(id, sequence),
        terminated,
    }
}

/// The starts of the target that runs were ordered at.
fn ordered(effects: &[effect::NodeEffect]) -> Vec<String> {
    let orders = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::RunTarget(order) => order.incarnation.as_ref(),
        _ => None,
    });
    orders.map(ToString::to_string).collect()
}

// A caller's request must never reach a target that said it leaves, nor one that is gone. Words of
// the target arrive late and out of order: none of an older start, and none before a later one,
// counts any more.
fn late_words_change_nothing(words: &[event::NodeEvent], serving: Option<&str>) {
    let mut node = support::entry_node();
    for word in words {
        node.step(at(1), word.clone());
    }
    let effects = node.step(at(2), support::peer_call(7, true));
    let expected: Vec<String> = serving.into_iter().map(str::to_owned).collect();
    assert_eq!(ordered(&effects), expected);
}

test_cases! {
    late_words_change_nothing:
    a_first_word_serves => (&[announced("a", 1)], Some("a")),
    a_leaving_binds => (&[announced("a", 1), withdrawn("a", 2, false)], None),
    a_late_word_revives_nothing => (
        &[announced("a", 1), withdrawn("a", 3, false), announced("a", 2)], None),
    a_word_behind_the_end_revives_nothing => (
        &[announced("a", 1), withdrawn("a", 9, true), announced("a", 10)], None),
    the_end_of_another_start_binds_nobody => (
        &[announced("a", 1), announced("b", 1), withdrawn("a", 9, true)], Some("b")),
    a_late_leaving_of_another_start_binds_nobody => (
        &[announced("a", 1), announced("b", 1), withdrawn("a", 2, false)], Some("b")),
    a_new_start_serves_after_a_leaving => (
        &[announced("a", 1), withdrawn("a", 2, true), announced("b", 1)], Some("b")),
}

#[test]
fn a_refusal_by_the_successor_brings_the_node_back_to_it() {
    // Callers are turned away for a heartbeat's time, or not at all. Start a crashed and b has
    // registered; a word of a comes seconds late, from before the node knew of b. The target at the
    // address answers that it is b, so the node goes back to b and ends a for good.
    let mut node = support::entry_node();
    node.step(at(1), announced("b", 1));
    node.step(at(2), announced("a", 40));
    let effects = node.step(at(3), support::peer_call(7, true));
    assert_eq!(ordered(&effects), ["a"]);
    let run = started(&effects)[0];
    let holder = Some(ident::IncarnationId::new("b"));
    let outcome = event::RunOutcome::Misdirected { holder };
    node.step(at(4), event::NodeEvent::RunEnded { run, outcome });
    node.step(at(5), announced("a", 41));
    let effects = node.step(at(6), support::peer_call(8, true));
    assert_eq!(ordered(&effects), ["b"]);
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
fn the_target_of_a_restarting_node_works_on() {
    // Nodes are restarted in turn while their targets live. Taken out at the request to stop, each
    // target would stand idle for three seconds, and callers elsewhere would find the service full.
    // It takes runs for two seconds and refuses them from then on, as not run.
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
fn a_stopping_node_tells_before_it_is_killed() {
    // A run hangs for longer than the process may take to stop. Whoever stops it kills it then, and
    // its callers would see a broken connection; half a second before, they are told the truth.
    let mut node = stopping_node(PLAN);
    node.step(at(20), support::arrival(1, "POST"));
    let effects = support::run_until(&mut node, at(5_010));
    let told = replies(&effects);
    let stopped = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Stopped);
    assert_eq!(told, [(1, stopped)]);
    let left = effects
        .iter()
        .any(|effect| matches!(effect, effect::NodeEffect::Exit));
    assert!(left);
}

#[test]
fn a_second_request_to_stop_cuts_nothing() {
    // A run is in progress when its node is told to stop, and told again a second later, as the stop of
    // one machine and of its whole zone overlap. Its caller gets the whole answer that the target gives
    // two seconds later; whoever stops the node ends it after five seconds in any case.
    let mut node = stopping_node(PLAN);
    let effects = node.step(at(20), support::arrival(1, "POST"));
    let run = started(&effects)[0];
    let effects = node.step(at(1_000), event::NodeEvent::StopRequested);
    assert_eq!(replies(&effects), []);
    let outcome = support::whole();
    let effects = node.step(at(2_900), event::NodeEvent::RunEnded { run, outcome });
    assert_eq!(replies(&effects), [(1, verdict::CallVerdict::Answered)]);
    let effects = support::run_until(&mut node, at(3_100));
    let left = effects
        .iter()
        .any(|effect| matches!(effect, effect::NodeEffect::Exit));
    assert!(left);
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
    // All processes were killed and are back; their targets' next heartbeats are a moment away.
    // Refused at once, the caller would return when its objective is over. It is served as soon as
    // the target has spoken, well within the objective.
    let mut node = routed_node();
    let effects = node.step(at(10), routed_arrival("portal.example", "/cases/7"));
    assert!(replies(&effects).is_empty());
    support::run_until(&mut node, at(200));
    node.step(at(200), support::announcement(4));
    let effects = support::run_until(&mut node, at(260));
    assert_eq!(started(&effects).len(), 1);
}

#[test]
fn a_request_waits_no_longer_than_its_answer_would_be_of_use() {
    // The service is gone for good. The caller hears so while more than half of its objective is
    // left, and is told when to come back.
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

// The rules match the host, whatever its letter case and port, and the path; where none holds but
// the last, nothing is there.
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
    its_host => ("portal.example", "/cases/7", true),
    its_host_with_a_port => ("Portal.Example:8080", "/cases/7?x=/other", true),
    another_host => ("api.example", "/cases/7", false),
    another_path => ("portal.example", "/claims/7", false),
}

#[test]
fn a_call_takes_over_the_request_that_its_id_names() {
    // A claim's target looks something up under an id built from the claim's. The lookup is as
    // important as the claim and ends with it, though nothing proves whose it is.
    let mut node = support::target_node(4);
    let mut claim = support::peer_call(7, false);
    let event::NodeEvent::FrameArrived {
        frame: anvil_wire::frame::PeerFrame::Call(call),
        ..
    } = &mut claim
    else {
        unreachable!("it is a call");
    };
    call.label = Some(ident::RequestLabel::new("9c41"));
    call.context.class = anvil_types::context::PriorityClass::Critical;
    call.context.repeat = true;
    node.step(at(1), claim);
    support::learn(&mut node, support::PEER);
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
