//! Calls that targets refuse although they have free slots.

#![allow(clippy::unwrap_used)]

mod mesh;
mod support;

use anvil_core::{answer, config, directory, effect, event, reducer};
use anvil_overload::policy;
use anvil_rules::parse;
use anvil_testkit::test_cases;
use anvil_types::{context, ident, name, verdict};
use anvil_wire::{call, frame};
use support::variant;

const RULES: &str = "rules:
  - {name: other, when: {}, then: {class: critical, idempotent: true, retries: 24, deadline: 2s}}
";
const REFUSED: verdict::CallVerdict =
    verdict::CallVerdict::NotRun(verdict::RefusalReason::TargetRefused);
const LOST: verdict::CallVerdict =
    verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::ConnectionLost);

/// A node that knows four targets, with the switch `refusal_retries` as given.
fn caller_node(refusal_retries: bool) -> reducer::NodeReducer {
    let policy = policy::OverloadPolicy {
        refusal_retries,
        ..variant::POLICY
    };
    let config = config::NodeConfig {
        node: support::NODE,
        zone: name::ZoneName::new("ar-centro-a").unwrap(),
        region: name::RegionName::new("ar-centro").unwrap(),
        peer_address: support::address(7000),
        gossip_address: support::address(7000),
        seeds: Vec::new(),
    };
    let mut node = reducer::NodeReducer::with_policy(config, 1, policy);
    let document = parse::parse_rules("rules.yaml", RULES).unwrap();
    node.adopt_rules(ident::RuleRevision(1), document);
    for peer in 2..6 {
        support::add_peer(&mut node, ident::NodeId(peer));
    }
    node
}

/// An answer of a target that has free slots.
fn free_answer(
    peer: ident::NodeId,
    call: &call::PeerCall,
    verdict: verdict::CallVerdict,
) -> event::NodeEvent {
    let mut event = support::answer(peer, call, verdict);
    if let event::NodeEvent::FrameArrived {
        frame: frame::PeerFrame::Answer(answer),
        ..
    } = &mut event
    {
        (answer.load.running, answer.load.limit) = (3, 8);
    }
    event
}

/// Sends a request of an external caller at `millis`, as [`send_call`] does.
fn send_request(
    node: &mut reducer::NodeReducer,
    millis: u64,
    verdicts: &[verdict::CallVerdict],
) -> (Vec<ident::NodeId>, Vec<effect::NodeEffect>, u64) {
    send_call(node, millis, support::arrival(millis, "GET"), verdicts)
}

/// Sends a call whose attempts get `verdicts` in turn, and an answer after these; returns the nodes
/// asked, the effects, and the time that passed in milliseconds.
fn send_call(
    node: &mut reducer::NodeReducer,
    millis: u64,
    arrival: event::NodeEvent,
    verdicts: &[verdict::CallVerdict],
) -> (Vec<ident::NodeId>, Vec<effect::NodeEffect>, u64) {
    let start = support::at(millis);
    let mut now = start;
    let mut effects = node.step(now, arrival);
    let mut asked = Vec::new();
    while support::replies(&effects).is_empty() {
        let mut calls = support::sent_calls(&effects);
        if let Some((peer, call)) = calls.pop() {
            let verdict = verdicts.get(asked.len());
            asked.push(peer);
            let verdict = verdict.copied().unwrap_or(verdict::CallVerdict::Answered);
            effects = node.step(now, free_answer(peer, &call, verdict));
        } else {
            now = node.next_wake().unwrap();
            effects = node.step(now, event::NodeEvent::TimerFired);
        }
    }
    let took = now.since(start).as_millis();
    (asked, effects, u64::try_from(took).unwrap())
}

// Each of four targets refuses half of its requests, whatever its load, so one request in 256 is
// refused eight times. With pauses that double, it runs out of the time that it may wait.
fn refused_call_ends(refusal_retries: bool, refusals: usize, last: verdict::CallVerdict, ms: u64) {
    let mut node = caller_node(refusal_retries);
    let (_, effects, took) = send_request(&mut node, 1_000, &vec![REFUSED; refusals]);
    assert_eq!(support::replies(&effects), [(1_000, last)]);
    assert!(took <= ms, "{took} ms");
}

test_cases! {
    refused_call_ends:
    once_at_each_target => (true, 4, verdict::CallVerdict::Answered, 50),
    twice_at_each_target => (true, 8, verdict::CallVerdict::Answered, 100),
    without_the_switch_it_fails => (false, 8, REFUSED, 2_000),
}

// The first target fails, and the others refuse. The request returns to those that refused, not to
// the one that failed, and not to the one just asked while another is known.
#[test]
fn refused_call_returns_to_targets_that_refused() {
    let mut node = caller_node(true);
    let verdicts = [LOST, REFUSED, REFUSED, REFUSED, REFUSED, REFUSED, REFUSED];
    let (asked, effects, _) = send_request(&mut node, 1_000, &verdicts);
    assert_eq!(support::replies(&effects).len(), 1);
    assert_eq!(asked.len(), verdicts.len() + 1);
    assert!(!asked[1..].contains(&asked[0]), "{asked:?}");
    assert!(asked.windows(2).all(|pair| pair[0] != pair[1]), "{asked:?}");
}

// Targets refuse five attempts, and the sixth reaches a target that is full. The pause after that one
// is the first of its kind; doubled for each attempt, it would be up to 640 ms.
#[test]
fn free_refusals_do_not_lengthen_other_pauses() {
    let mut node = caller_node(true);
    let queue_full = verdict::CallVerdict::NotRun(verdict::RefusalReason::QueueFull);
    let mut verdicts = [REFUSED; 6];
    verdicts[5] = queue_full;
    let (_, effects, took) = send_request(&mut node, 1_000, &verdicts);
    let answered = [(1_000, verdict::CallVerdict::Answered)];
    assert_eq!(support::replies(&effects), answered);
    assert!(took <= 50, "{took} ms");
}

// Operators must see that targets refuse calls and how many of these fail nevertheless.
#[test]
fn refused_calls_are_counted() {
    let mut node = caller_node(true);
    for request in 1..=12 {
        send_request(&mut node, request * 1_000, &[REFUSED, REFUSED]);
    }
    let request = event::OperatorRequest::Counters;
    let handle = event::OperatorHandle(0);
    let event = event::NodeEvent::OperatorRequestArrived { handle, request };
    let effects = node.step(support::at(13_000), event);
    let text = effects.into_iter().find_map(|effect| match effect {
        effect::NodeEffect::AnswerOperator { answer, .. } => {
            answer.ok().map(answer::OperatorAnswer::text)
        }
        _ => None,
    });
    let counters: serde_json::Value = serde_json::from_str(&text.unwrap()).unwrap();
    let refused = &counters["refused_calls"];
    assert_eq!(refused["refusals"], 24);
    assert_eq!(refused["recovered"], 12);
    assert_eq!(refused["failed"], 0);
    let attempts = refused["expected_attempts_percent"].as_u64().unwrap();
    assert!((200..=320).contains(&attempts), "{attempts}");
}

/// The service that the local target calls.
fn archive() -> name::ServiceName {
    name::ServiceName::new("archive").unwrap()
}

/// A call of `run` to the archive.
fn archive_call(run: event::RunId) -> event::NodeEvent {
    let mut call = support::child_call(run);
    if let event::NodeEvent::CallArrived { request, .. } = &mut call {
        request.service = archive();
    }
    call
}

/// Starts a run at the local target that came with `retries`.
fn start_run(node: &mut reducer::NodeReducer, millis: u64, retries: u16) -> event::RunId {
    let mut call = support::peer_call(millis, true);
    if let event::NodeEvent::FrameArrived {
        frame: frame::PeerFrame::Call(call),
        ..
    } = &mut call
    {
        call.context.retries_left = retries;
        call.context.class = context::PriorityClass::Critical;
    }
    let effects = node.step(support::at(millis), call);
    support::started(&effects)[0]
}

// A run makes four calls. With a single retry left, a refused call can hardly lead to a complete
// run, so the retry is left to others; with twelve it is made.
fn first_refused_call_of_a_run(retries: u16, is_retried: bool) {
    let mut node = support::with_target(caller_node(true), 8);
    for peer in 12..16 {
        let record = directory::PeerRecord {
            address: support::address(7_200 + peer),
            service: archive(),
            zone: name::ZoneName::new("ar-centro-a").unwrap(),
            slots: 8,
            leaving: false,
            announced: 0,
        };
        node.add_peer(support::at(0), ident::NodeId(u64::from(peer)), record);
    }
    let mut millis = 0;
    for _ in 0..3 {
        millis += 1_000;
        let run = start_run(&mut node, millis, 24);
        for _ in 0..4 {
            millis += 100;
            let (_, effects, _) = send_call(&mut node, millis, archive_call(run), &[REFUSED]);
            assert_eq!(
                support::replies(&effects)[0].1,
                verdict::CallVerdict::Answered
            );
        }
        let outcome = support::answered();
        let statement = None;
        let ended = event::NodeEvent::RunEnded {
            run,
            outcome,
            statement,
            exchange: None,
        };
        node.step(support::at(millis + 50), ended);
    }
    let run = start_run(&mut node, millis + 1_000, retries);
    let call = archive_call(run);
    let (asked, _, _) = send_call(&mut node, millis + 1_000, call, &[REFUSED]);
    assert_eq!(asked.len() > 1, is_retried);
}

test_cases! {
    first_refused_call_of_a_run:
    with_one_retry_is_final => (1, false),
    with_twelve_retries_is_retried => (12, true),
}

// The targets of a scarce service refuse half of their requests. A certification needs four answers
// in a row; retries spent in order of arrival go to reads, which need eight and rarely get them.
// Nodes with the switch complete more certifications, and their targets keep their slots, so that
// the nodes refuse nothing for load that is not there.
#[test]
fn certifications_get_the_retries_of_a_refusing_service() {
    let served = |refusal_retries| {
        let policy = policy::OverloadPolicy {
            refusal_retries,
            ..variant::POLICY
        };
        let mut plan = mesh::Plan::scarce(policy, 0.6);
        plan.until = 8.0;
        plan.fault = (mesh::Fault::HalfRefusing, 2.0, 8.0);
        let mesh = mesh::Mesh::new(plan, mesh::scarce_mesh()).run();
        mesh.shares("certify", 3.0, 7.5).served
    };
    let (with, without) = (served(true), served(false));
    assert!(with > 1.2 * without, "{with} and {without}");
}

const CALLED: &str = "padron";

/// A node whose target makes `calls` calls to another service in each run.
fn node_of_calling_target(calls: u64) -> reducer::NodeReducer {
    let policy = policy::OverloadPolicy {
        refusal_retries: true,
        ..variant::POLICY
    };
    let mut node = support::with_target(support::node_with_policy(policy), 1_000);
    let record = directory::PeerRecord {
        address: support::address(7105),
        service: name::ServiceName::new(CALLED).unwrap(),
        zone: name::ZoneName::new("ar-centro-a").unwrap(),
        slots: 1_000,
        leaving: false,
        announced: 0,
    };
    node.add_peer(support::at(0), ident::NodeId(5), record);
    let effects = node.step(support::at(1), support::peer_call(1, true));
    let run = support::started(&effects)[0];
    for handle in 0..calls {
        let mut request = support::request("GET");
        request.service = name::ServiceName::new(CALLED).unwrap();
        let arrival = event::NodeEvent::CallArrived {
            handle: event::CallerHandle(handle),
            request: Box::new(request),
            hints: event::CallerHints {
                parent: Some(event::ParentToken(run)),
                ..event::CallerHints::default()
            },
        };
        let effects = node.step(support::at(2), arrival);
        let (peer, call) = support::sent_calls(&effects).remove(0);
        let answer = support::answer(peer, &call, verdict::CallVerdict::Answered);
        node.step(support::at(3), answer);
    }
    node.step(support::at(4), run_end(run, support::answered()));
    node
}

fn run_end(run: event::RunId, outcome: event::RunOutcome) -> event::NodeEvent {
    event::NodeEvent::RunEnded {
        run,
        outcome,
        statement: None,
        exchange: None,
    }
}

/// A second attempt, whose first one a target has refused.
fn repeated_call(sequence: u64) -> event::NodeEvent {
    let mut event = support::peer_call(sequence, true);
    if let event::NodeEvent::FrameArrived {
        frame: frame::PeerFrame::Call(call),
        ..
    } = &mut event
    {
        (call.attempt, call.context.repeat) = (2, true);
    }
    event
}

// Guards against repeats at a service that are the calls of repeated runs, beyond its retry budget.
fn repeated_runs_stay_within_the_budgets_below(calls: u64, most: usize) {
    let mut node = node_of_calling_target(calls);
    let started = (2..102)
        .map(|sequence| node.step(support::at(5), repeated_call(sequence)))
        .map(|effects| support::started(&effects).len())
        .sum::<usize>();
    assert!(started <= most, "{started} of 100 repeated runs");
    assert!(started > 0);
}

// The budget of a node is 20 repeats, and a few more for the first attempts so far.
test_cases! {
    repeated_runs_stay_within_the_budgets_below:
    of_a_target_that_makes_one_call => (1, 21),
    of_a_target_that_makes_four_calls => (4, 5),
}

// Guards against repeats that are charged although their run was refused.
#[test]
fn refused_repeats_are_given_back_to_the_budgets_below() {
    let mut node = node_of_calling_target(4);
    for sequence in 2..102 {
        let effects = node.step(support::at(5), repeated_call(sequence));
        let run = support::started(&effects)[0];
        node.step(support::at(5), run_end(run, event::RunOutcome::Refused));
    }
}

// Guards against first attempts that are refused for the budgets of repeats.
#[test]
fn first_attempts_need_no_budget_below() {
    let mut node = node_of_calling_target(4);
    for sequence in 2..102 {
        let effects = node.step(support::at(5), support::peer_call(sequence, true));
        assert_eq!(support::started(&effects).len(), 1);
    }
}
