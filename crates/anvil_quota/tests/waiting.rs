//! Requests that wait for the decision of a home that becomes unavailable.

use std::net::SocketAddr;

use anvil_quota::{effect, ledger};
use anvil_types::{account, ident, time};
use anvil_wire::quota;

const ACCOUNT: account::AccountId = account::AccountId(0);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The ledger of a node, and another node that is the home of [`ACCOUNT`].
fn ledger_and_home() -> (ledger::QuotaLedger, ident::NodeId) {
    let nodes = (1..100).map(ident::NodeId);
    for home in nodes.skip(1) {
        let own = ident::NodeId(1);
        let mut ledger = ledger::QuotaLedger::new(own, ledger::TokenMode::PerRequest);
        ledger.member_up(time::NodeTime::START, own, address(1));
        ledger.member_up(time::NodeTime::START, home, address(2));
        let quota = account::AccountQuota::per_second(10, 10);
        ledger.set_quotas(time::NodeTime::START, &[(ACCOUNT, quota)]);
        let now = time::NodeTime::from_millis(1);
        if ledger.admit(now, ACCOUNT, 7) == effect::QuotaDecision::Pending {
            return (ledger, home);
        }
    }
    unreachable!("some node is the home");
}

/// Runs the ledger's timers for two seconds and collects its effects.
fn run(ledger: &mut ledger::QuotaLedger) -> Vec<effect::QuotaEffect> {
    let mut now = time::NodeTime::from_millis(1);
    let mut effects = ledger.flush(now);
    while let Some(wake) = ledger.next_wake().filter(|wake| wake.0 < 2_000_000) {
        now = wake.max(now);
        effects.extend(ledger.on_wake(now));
        effects.extend(ledger.flush(now));
    }
    effects.retain(|effect| !matches!(effect, effect::QuotaEffect::Send { .. }));
    effects
}

// Guards against callers that wait until their deadline and get a 503: the home that was queried
// has left, this node has become the home, and the waiting requests were never decided.
#[test]
fn requests_waiting_for_a_departed_home_are_decided() {
    let (mut ledger, home) = ledger_and_home();
    assert!(!ledger.flush(time::NodeTime::from_millis(1)).is_empty());
    ledger.member_removed(time::NodeTime::from_millis(2), home, false);
    let expected = [effect::QuotaEffect::Grant { call: 7 }];
    assert_eq!(run(&mut ledger), expected);
}

// The home does not answer, so the node decides by its own share.
#[test]
fn requests_waiting_for_a_silent_home_are_decided() {
    let (mut ledger, _) = ledger_and_home();
    assert_eq!(run(&mut ledger).len(), 1);
}

// Guards against requests that wait until their deadline while one home after the other is a process
// that has just started and has no rules.
#[test]
fn a_home_without_rules_is_passed_over_at_once() {
    let (mut ledger, home) = ledger_and_home();
    let now = time::NodeTime::from_millis(2);
    let sent = ledger.flush(now);
    let report = sent.iter().find_map(|effect| match effect {
        effect::QuotaEffect::Send { message, .. } => {
            matches!(message, quota::QuotaMessage::Report { .. }).then_some(message.clone())
        }
        _ => None,
    });
    let mut unready = ledger::QuotaLedger::new(home, ledger::TokenMode::PerRequest);
    let from = ident::NodeId(1);
    let answers = unready.on_message(now, from, address(1), &report.expect("a report"));
    let [effect::QuotaEffect::Send { message, .. }] = &answers[..] else {
        unreachable!("one answer: {answers:?}");
    };
    ledger.on_message(now, home, address(2), message);
    let asked = ledger.flush(now);
    let number = asked.iter().find_map(|effect| match effect {
        effect::QuotaEffect::Send {
            message: quota::QuotaMessage::ContactProbe { number },
            ..
        } => Some(*number),
        _ => None,
    });
    let number = number.expect("the next home is this node, which asks for a majority");
    let ack = quota::QuotaMessage::ContactAck { number };
    let effects = ledger.on_message(now, home, address(2), &ack);
    assert_eq!(effects, [effect::QuotaEffect::Grant { call: 7 }]);
}
