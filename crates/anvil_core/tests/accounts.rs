//! Client accounts in the reducer: authentication, inheritance by a target's own calls, and quotas.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;

use anvil_core::{effect, event, reducer};
use anvil_rules::{account as table, condition, document, outcome};
use anvil_types::{account, context, ident, name, verdict};

const KEY: &[u8] = b"tta828m82thhkmgjqnir";
const UNAUTHENTICATED: verdict::CallVerdict =
    verdict::CallVerdict::NotRun(verdict::RefusalReason::Unauthenticated);

fn rules(
    keys: &[&[u8]],
    quota: Option<account::AccountQuota>,
    retries: u16,
) -> document::RuleDocument {
    let rule = document::NamedRule {
        name: name::RuleName::new("all").unwrap(),
        when: condition::RuleCondition::default(),
        then: outcome::RuleOutcome {
            class: Some(context::PriorityClass::Critical),
            idempotent: Some(true),
            chain_retries: Some(retries),
            ..outcome::RuleOutcome::default()
        },
    };
    let record = table::AccountRecord {
        name: name::AccountName::new("defensa").unwrap(),
        class: Some(context::PriorityClass::High),
        keys: keys.iter().map(|key| account::KeyDigest::of(key)).collect(),
        quota,
    };
    let accounts = table::AccountTable::new(vec![record]).unwrap();
    let document = document::RuleDocument::new(vec![rule]).unwrap();
    document.with_accounts(Some(Arc::new(accounts)))
}

fn with_rules(
    mut node: reducer::NodeReducer,
    quota: Option<account::AccountQuota>,
) -> reducer::NodeReducer {
    // Without retries, a refusal by the quota reaches the caller at once.
    let retries = if quota.is_some() { 0 } else { 3 };
    assert!(node.adopt_rules(ident::RuleRevision(1), rules(&[KEY], quota, retries)));
    node
}

fn arrival(handle: u64, key: Option<&[u8]>, label: &str, parent: Option<&str>) -> event::NodeEvent {
    let credential = key.map_or(account::CallerCredential::None, |key| {
        account::CallerCredential::Key(account::KeyDigest::of(key))
    });
    event::NodeEvent::CallArrived {
        handle: event::CallerHandle(handle),
        request: Box::new(support::request("GET")),
        hints: event::CallerHints {
            credential,
            label: Some(ident::RequestLabel::new(label)),
            parent_label: parent.map(ident::RequestLabel::new),
            ..event::CallerHints::default()
        },
    }
}

fn orders(effects: &[effect::NodeEffect]) -> Vec<&effect::RunOrder> {
    let orders = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::RunTarget(order) => Some(&**order),
        _ => None,
    });
    orders.collect()
}

#[test]
fn a_request_runs_for_the_account_of_its_key_and_its_calls_do_too() {
    let mut node = with_rules(support::target_node(8), None);
    let effects = node.step(support::at(1), arrival(1, Some(KEY), "9c41", None));
    let account = orders(&effects)[0].account.clone().unwrap();
    assert_eq!(account.as_str(), "defensa");
    // The target's own call carries no key; it names the request on whose behalf it is made.
    let effects = node.step(support::at(2), arrival(2, None, "9c41.1", Some("9c41")));
    assert_eq!(orders(&effects)[0].account.as_ref(), Some(&account));
}

// A target keeps working on a request while its node is replaced, so its next call reaches a node
// that does not know the request. The call must be refused as not run, so that it is retried, and
// not as unauthenticated.
#[test]
fn a_call_for_an_unknown_request_is_not_unauthenticated() {
    let mut node = with_rules(support::target_node(8), None);
    let effects = node.step(support::at(1), arrival(1, None, "9c41.1", Some("9c41")));
    let reason = verdict::RefusalReason::AccountUnknown;
    let expected = verdict::CallVerdict::NotRun(reason);
    assert_eq!(support::replies(&effects), [(1, expected)]);
}

#[test]
fn an_unknown_or_missing_key_is_refused() {
    let mut node = with_rules(support::target_node(8), None);
    for (handle, key) in [(1, Some(&b"other"[..])), (2, None)] {
        let effects = node.step(support::at(handle), arrival(handle, key, "9c41", None));
        assert_eq!(support::replies(&effects), [(handle, UNAUTHENTICATED)]);
        assert!(orders(&effects).is_empty());
    }
}

// An operator removes a key while a request with it waits for a retry. The retry must not be sent.
#[test]
fn a_removed_key_stops_a_pending_retry() {
    let mut node = with_rules(support::entry_node(), None);
    support::add_peer(&mut node, support::PEER);
    support::add_peer(&mut node, ident::NodeId(3));
    let effects = node.step(support::at(1), arrival(1, Some(KEY), "9c41", None));
    let (peer, call) = support::sent_calls(&effects).remove(0);
    let full = verdict::CallVerdict::NotRun(verdict::RefusalReason::QueueFull);
    node.step(support::at(2), support::answer(peer, &call, full));
    assert!(node.adopt_rules(ident::RuleRevision(2), rules(&[b"new"], None, 3)));
    let effects = support::run_until(&mut node, support::at(500));
    assert!(support::sent_calls(&effects).is_empty());
    assert_eq!(support::replies(&effects), [(1, UNAUTHENTICATED)]);
}

// A new version has a row that can't be read, and the account of a waiting request is missing. Its key
// may be in that row, so its caller must not be told that the key is unknown, which is final.
#[test]
fn a_key_of_a_left_out_account_is_not_unauthenticated() {
    let mut node = with_rules(support::entry_node(), None);
    support::add_peer(&mut node, support::PEER);
    let effects = node.step(support::at(1), arrival(1, Some(KEY), "9c41", None));
    let (peer, call) = support::sent_calls(&effects).remove(0);
    let full = verdict::CallVerdict::NotRun(verdict::RefusalReason::QueueFull);
    node.step(support::at(2), support::answer(peer, &call, full));
    let partial = rules(&[b"new"], None, 3);
    let accounts = table::AccountTable::clone(partial.accounts().unwrap()).with_partial(true);
    let partial = partial.with_accounts(Some(Arc::new(accounts)));
    assert!(node.adopt_rules(ident::RuleRevision(2), partial));
    let mut effects = support::run_until(&mut node, support::at(500));
    assert!(support::sent_calls(&effects).is_empty());
    effects.extend(node.step(support::at(501), arrival(2, Some(KEY), "9c42", None)));
    effects.extend(node.step(support::at(502), arrival(3, None, "9c43", None)));
    let reason = verdict::RefusalReason::AccountsUnreadable;
    let unreadable = verdict::CallVerdict::NotRun(reason);
    let expected = [(1, unreadable), (2, unreadable), (3, UNAUTHENTICATED)];
    assert_eq!(support::replies(&effects), expected);
}

// The account's class takes precedence; the rule's class orders requests within it.
#[test]
fn the_account_sets_the_class_and_the_rule_sets_the_lane_band() {
    let mut node = with_rules(support::entry_node(), None);
    support::add_peer(&mut node, support::PEER);
    let effects = node.step(support::at(1), arrival(1, Some(KEY), "9c41", None));
    let (_, call) = support::sent_calls(&effects).remove(0);
    assert_eq!(call.context.class, context::PriorityClass::High);
    assert_eq!(
        call.context.rule_class,
        Some(context::PriorityClass::Critical)
    );
    assert!(call.context.lane.0 < 64);
}

// The quota is two requests a second with a burst of two. A third request at once is refused with a
// retry delay. A request that the target refuses returns its token.
#[test]
fn a_quota_refuses_excess_requests_and_refunds_those_not_run() {
    let quota = account::AccountQuota::per_second(2, 2);
    let mut node = with_rules(support::target_node(8), Some(quota));
    let over = verdict::CallVerdict::NotRun(verdict::RefusalReason::OverQuota);
    let first_reply = |effects: &[effect::NodeEffect]| {
        let replies = effects.iter().find_map(|effect| match effect {
            effect::NodeEffect::ReplyCaller { reply, .. } => Some(reply.clone()),
            _ => None,
        });
        replies.unwrap()
    };
    // No rules were in force before, so the bucket starts with the full burst.
    for handle in 1..=2 {
        let label = format!("{handle}");
        let effects = node.step(support::at(1), arrival(handle, Some(KEY), &label, None));
        assert_eq!(orders(&effects).len(), 1);
    }
    let effects = node.step(support::at(1), arrival(3, Some(KEY), "3", None));
    let reply = first_reply(&effects);
    assert_eq!(reply.verdict, over);
    assert!(reply.retry_after.unwrap().as_millis() >= 400);

    let refused = event::NodeEvent::RunEnded {
        run: event::RunId(1),
        outcome: event::RunOutcome::Refused,
        statement: None,
        exchange: None,
    };
    let effects = node.step(support::at(2), refused);
    assert_eq!(support::replies(&effects).len(), 1);
    let effects = node.step(support::at(3), arrival(4, Some(KEY), "4", None));
    assert_eq!(orders(&effects).len(), 1);
}
