//! Operators' rules in the reducer: their effect on calls, and that revisions never go backwards.

#![allow(clippy::unwrap_used)]

mod variant;

use std::time::Duration;

use anvil_core::{config, effect, event, reducer};
use anvil_rules::{document, parse};
use anvil_testkit::test_cases;
use anvil_types::{ident, name, time, treatment, verdict};
use anvil_wire::call;
use bytes::Bytes;
use serde_json::Value;

const RULES: &str = "rules:
  - name: bids
    when: {service: bidding, method: POST, path: /bids}
    then: {class: critical, deadline: 2s}
  - name: nothing-else
    when: {service: bidding}
    then: {action: refuse}
";

fn document(text: &str) -> document::RuleDocument {
    parse::parse_rules("test", text).unwrap()
}

fn node() -> reducer::NodeReducer {
    let address = "127.0.0.1:7000".parse().unwrap();
    let config = config::NodeConfig {
        node: ident::NodeId(1),
        zone: name::ZoneName::new("brest-hall").unwrap(),
        region: name::RegionName::new("bzh-west").unwrap(),
        peer_address: address,
        gossip_address: address,
        seeds: Vec::new(),
    };
    let mut node = reducer::NodeReducer::with_policy(config, 1, variant::POLICY);
    let announcement = event::TargetAnnouncement {
        service: name::ServiceName::new("bidding").unwrap(),
        address: "127.0.0.1:8000".parse().unwrap(),
        slots: 4,
        connections: 350,
        lease: Duration::from_secs(60),
        warm: false,
        incarnation: None,
    };
    node.step(
        time::NodeTime::START,
        event::NodeEvent::TargetAnnounced(announcement),
    );
    assert!(node.adopt_rules(ident::RuleRevision(3), document(RULES)));
    node
}

fn request(method: &str, path: &str) -> call::CallRequest {
    call::CallRequest {
        service: name::ServiceName::new("bidding").unwrap(),
        method: method.to_owned(),
        path: path.to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

fn arrive(node: &mut reducer::NodeReducer, method: &str, path: &str) -> Vec<effect::NodeEffect> {
    let arrived = event::NodeEvent::CallArrived {
        handle: event::CallerHandle(1),
        request: Box::new(request(method, path)),
        hints: event::CallerHints::default(),
    };
    node.step(time::NodeTime::from_millis(1), arrived)
}

fn query(node: &mut reducer::NodeReducer, request: event::OperatorRequest) -> (Value, u64) {
    let handle = event::OperatorHandle(1);
    let arrived = event::NodeEvent::OperatorRequestArrived { handle, request };
    let effects = node.step(time::NodeTime::from_millis(2), arrived);
    let mut answers = effects.into_iter().filter_map(|effect| match effect {
        effect::NodeEffect::AnswerOperator { answer, .. } => answer.ok(),
        _ => None,
    });
    let answer = answers.next().unwrap();
    let revision = answer.revision.0;
    (serde_json::from_str(&answer.text()).unwrap(), revision)
}

#[test]
fn the_rule_sets_the_timeout_of_a_run() {
    let effects = arrive(&mut node(), "POST", "/bids");
    let timeout = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::RunTarget(run) => Some(run.timeout),
        _ => None,
    });
    // Each hop reserves a little of the time for returning the answer.
    let expected = Duration::from_millis(1_900)..=Duration::from_secs(2);
    assert!(
        timeout.is_some_and(|timeout| expected.contains(&timeout)),
        "{timeout:?}"
    );
}

#[test]
fn a_refusing_rule_runs_nothing_and_is_named_in_the_reply() {
    let effects = arrive(&mut node(), "GET", "/bids");
    let ran = |effect: &effect::NodeEffect| matches!(effect, effect::NodeEffect::RunTarget(_));
    assert!(!effects.iter().any(ran));
    let reply = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::ReplyCaller { reply, .. } => Some((reply.verdict, reply.rule)),
        _ => None,
    });
    let rule = treatment::RuleReference {
        revision: ident::RuleRevision(3),
        index: Some(1),
    };
    let refused = verdict::CallVerdict::NotRun(verdict::RefusalReason::Rule);
    assert_eq!(reply, Some((refused, rule)));
}

// A route whose destination can't be read must neither run nor be answered as final.
#[test]
fn an_unreadable_rule_runs_nothing_and_says_when_to_return() {
    let mut node = node();
    let text = "rules: [{name: broken, then: {action: unreadable}}]";
    assert!(node.adopt_rules(ident::RuleRevision(4), document(text)));
    let effects = arrive(&mut node, "GET", "/bids");
    let replies = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::RunTarget(_) => Some(None),
        effect::NodeEffect::ReplyCaller { reply, .. } => Some(Some(reply)),
        _ => None,
    });
    let replies: Vec<_> = replies.flatten().collect();
    let [reply] = replies.as_slice() else {
        unreachable!("{effects:?}");
    };
    let refused = verdict::CallVerdict::NotRun(verdict::RefusalReason::RuleUnreadable);
    assert_eq!(reply.verdict, refused);
    assert!(reply.retry_after.is_some());
    let (dump, _) = query(&mut node, event::OperatorRequest::Dump);
    assert_eq!(dump["unreadable"]["rules"], 1);
    assert_eq!(dump["counters"]["calls_unreadable"], 1);
}

fn check_adoption(revision: u64, adopted: bool) {
    // Rules arrive by gossip, by pull and from the store, late and in any order. An older document
    // that arrives after a newer one must not revert an accepted change.
    let mut node = node();
    let older = document("rules: []");
    assert_eq!(
        node.adopt_rules(ident::RuleRevision(revision), older),
        adopted
    );
    let (status, revision) = query(&mut node, event::OperatorRequest::Status);
    let rules = if adopted { 0 } else { 2 };
    assert_eq!(status["rules"]["rules"], rules);
    assert_eq!(status["rules"]["revision"], revision);
}

test_cases! { check_adoption:
    an_older_document_is_ignored => (2, false),
    the_same_revision_is_ignored => (3, false),
    a_newer_document_is_adopted => (4, true),
}

#[test]
fn explain_names_the_rule_the_revision_and_the_reason() {
    let explain = event::OperatorRequest::Explain(Box::new(request("POST", "/bids?lot=4")));
    let (explanation, revision) = query(&mut node(), explain);
    assert_eq!((revision, &explanation["revision"]), (3, &Value::from(3)));
    assert_eq!(explanation["rule"]["rule"], "bids");
    let reason = "bids is the first rule whose whole condition holds";
    assert_eq!(explanation["rule"]["reason"], reason);
}

#[test]
fn a_single_node_has_its_rules_in_force_everywhere() {
    let (status, _) = query(&mut node(), event::OperatorRequest::Status);
    assert_eq!(status["rules"]["in_force"], 1);
    assert_eq!(status["rules"]["lagging"], Value::Array(Vec::new()));
}
