//! Lanes of root requests by the demand of their accounts, and what operators see of them.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;

use anvil_core::{answer, effect, event, reducer};
use anvil_overload::{fairness, policy};
use anvil_rules::{account as table, condition, document, outcome};
use anvil_testkit::test_cases;
use anvil_types::{account, context, ident, name, verdict};
use serde_json::Value;
use support::variant;

const KEY: &[u8] = b"tta828m82thhkmgjqnir";

/// Quota of the account, in requests a second.
const QUOTA: u64 = 10;

/// A node that is the home of the account, and a peer with a target.
fn node(fair_lanes: bool) -> reducer::NodeReducer {
    let policy = policy::OverloadPolicy {
        fair_lanes,
        ..variant::POLICY
    };
    let mut node = support::node_with_policy(policy);
    let rule = document::NamedRule {
        name: name::RuleName::new("all").unwrap(),
        when: condition::RuleCondition::default(),
        then: outcome::RuleOutcome {
            class: Some(context::PriorityClass::Critical),
            idempotent: Some(true),
            chain_retries: Some(0),
            ..outcome::RuleOutcome::default()
        },
    };
    let record = table::AccountRecord {
        name: name::AccountName::new("defensa").unwrap(),
        class: Some(context::PriorityClass::High),
        keys: vec![account::KeyDigest::of(KEY)],
        quota: Some(account::AccountQuota::per_second(
            QUOTA as u32,
            QUOTA as u32,
        )),
    };
    let accounts = table::AccountTable::new(vec![record]).unwrap();
    let document = document::RuleDocument::new(vec![rule]).unwrap();
    let document = document.with_accounts(Some(Arc::new(accounts)));
    assert!(node.adopt_rules(ident::RuleRevision(1), document));
    support::add_peer(&mut node, support::PEER);
    node
}

fn json(node: &mut reducer::NodeReducer, request: event::OperatorRequest) -> Value {
    let handle = event::OperatorHandle(0);
    let effects = node.step(
        support::at(0),
        event::NodeEvent::OperatorRequestArrived { handle, request },
    );
    let text = effects.into_iter().find_map(|effect| match effect {
        effect::NodeEffect::AnswerOperator { answer, .. } => {
            answer.ok().map(answer::OperatorAnswer::text)
        }
        _ => None,
    });
    serde_json::from_str(&text.unwrap()).unwrap()
}

/// Sends `rate` requests a second for 12 s, all refused by the target, and returns the contexts of
/// those of the last 6 s.
fn send(node: &mut reducer::NodeReducer, rate: u64) -> Vec<context::CallContext> {
    let mut contexts = Vec::new();
    for index in 0..12 * rate {
        let millis = 1 + index * 1_000 / rate;
        let hints = event::CallerHints {
            credential: account::CallerCredential::Key(account::KeyDigest::of(KEY)),
            request: Some(ident::RequestId(u128::from(index))),
            ..event::CallerHints::default()
        };
        let arrival = event::NodeEvent::CallArrived {
            handle: event::CallerHandle(index),
            request: Box::new(support::request("GET")),
            hints,
        };
        let effects = node.step(support::at(millis), arrival);
        for (peer, call) in support::sent_calls(&effects) {
            if millis > 6_000 {
                contexts.push(call.context);
            }
            // Returns the token, so that the quota does not refuse the next request.
            let refused = verdict::CallVerdict::NotRun(verdict::RefusalReason::TargetRefused);
            node.step(support::at(millis), support::answer(peer, &call, refused));
        }
    }
    contexts
}

// Guards against a demand that does not reach the lanes of an account's requests. The class band of
// the rule has the lanes 0 to 63; with uniform lanes the mean is 31.5.
fn lanes_follow_demand(rate: u64, lowest: f64, highest: f64) {
    let lanes = send(&mut node(true), rate).into_iter();
    let lanes: Vec<_> = lanes.map(|context| f64::from(context.lane.0)).collect();
    let mean = lanes.iter().sum::<f64>() / lanes.len() as f64;
    assert!((lowest..highest).contains(&mean), "mean lane {mean}");
}

test_cases! {
    lanes_follow_demand:
    modest_account => (QUOTA / 2, 10.0, 28.0),
    hot_account => (QUOTA * 9, 45.0, 63.0),
}

// Without the switch, lanes are uniform whatever the demand.
#[test]
fn lanes_are_uniform_while_switched_off() {
    for context in send(&mut node(false), QUOTA * 9) {
        assert_eq!(context.lane, fairness::uniform_lane_of(&context));
    }
}

// Operators see which account surges, and whose requests are refused.
#[test]
fn metrics_and_dump_show_the_demand() {
    let mut node = node(true);
    send(&mut node, QUOTA * 9);
    let gauges = json(&mut node, event::OperatorRequest::Counters)["account"].clone();
    let percent = gauges["demand"][0]["percent"].as_u64().unwrap();
    assert_eq!(gauges["demand"][0]["account"], "defensa");
    assert!((800..1_000).contains(&percent), "{gauges}");
    assert!(gauges["refused"][0]["not_run"].as_u64().unwrap() > 1_000);
    let dump = json(&mut node, event::OperatorRequest::Dump)["accounts"][0].clone();
    assert_eq!(dump["demand"]["source"], "home");
    assert!(dump["demand"]["ratio"]["requested"].as_f64().unwrap() > 8.0);
}

#[test]
fn nothing_is_shown_while_switched_off() {
    let mut node = node(false);
    send(&mut node, QUOTA * 9);
    let gauges = json(&mut node, event::OperatorRequest::Counters);
    assert!(gauges["account"].is_null());
    let dump = json(&mut node, event::OperatorRequest::Dump)["accounts"][0].clone();
    assert!(dump["demand"].is_null());
}
