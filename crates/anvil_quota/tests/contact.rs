//! Homes that hear nothing of an account while members are missing.

use std::net::SocketAddr;

use anvil_quota::{effect, ledger};
use anvil_testkit::test_cases;
use anvil_types::{account, ident, time};
use anvil_wire::quota;

const NODES: u64 = 30;

fn address(node: u64) -> SocketAddr {
    SocketAddr::from((
        [127, 0, 0, 1],
        10_000 + u16::try_from(node).expect("few nodes"),
    ))
}

fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

/// The ledger of a node that is the home of the account and lost one of 30 members at 10 s, with
/// the first request after that.
fn unheard_home() -> (
    ledger::QuotaLedger,
    account::AccountId,
    effect::QuotaDecision,
) {
    let own = ident::NodeId(1);
    let accounts = (0..u64::MAX).step_by(1 << 58).map(account::AccountId);
    for account in accounts {
        let mut ledger = ledger::QuotaLedger::new(own, ledger::TokenMode::Ahead);
        for node in 1..=NODES {
            ledger.member_up(at(0), ident::NodeId(node), address(node));
        }
        let quota = account::AccountQuota::per_second(100, 100);
        ledger.set_quotas(at(0), &[(account, quota)]);
        if ledger.admit(at(5_000), account, 1) == effect::QuotaDecision::Granted {
            ledger.member_removed(at(10_000), ident::NodeId(NODES), true);
            let decision = ledger.admit(at(10_100), account, 2);
            return (ledger, account, decision);
        }
    }
    unreachable!("the node is the home of some account");
}

fn is_probe(effect: &effect::QuotaEffect) -> Option<(SocketAddr, u32)> {
    match effect {
        effect::QuotaEffect::Send {
            to,
            message: quota::QuotaMessage::ContactProbe { number },
        } => Some((*to, *number)),
        _ => None,
    }
}

// Guards against 429 for an account within its quota because some other machine ended, and against
// a whole quota at a node that is cut off: of 15 nodes asked, `answers` answer.
fn loss_of_a_member(answers: usize, is_served: bool) {
    let (mut ledger, account, decision) = unheard_home();
    assert_eq!(decision, effect::QuotaDecision::Pending);
    let probes: Vec<_> = ledger
        .flush(at(10_100))
        .iter()
        .filter_map(is_probe)
        .collect();
    assert_eq!(probes.len(), 15);
    let mut effects = Vec::new();
    for (to, number) in probes.iter().take(answers) {
        let ack = quota::QuotaMessage::ContactAck { number: *number };
        effects.extend(ledger.on_message(at(10_105), ident::NodeId(99), *to, &ack));
    }
    effects.extend(ledger.on_wake(at(10_260)));
    let granted = effect::QuotaEffect::Grant { call: 2 };
    assert_eq!(effects.contains(&granted), is_served, "{effects:?}");
    let next = ledger.admit(at(10_270), account, 3);
    assert_eq!(next == effect::QuotaDecision::Granted, is_served);
}

test_cases! {
    loss_of_a_member:
    beside_most_of_the_fleet => (8, true),
    beside_a_minority => (7, false),
    of_a_node_that_is_cut_off => (0, false),
}

// Guards against a majority of old answers.
#[test]
fn answers_to_an_earlier_round_do_not_count() {
    let (mut ledger, account, _) = unheard_home();
    let probes: Vec<_> = ledger
        .flush(at(10_100))
        .iter()
        .filter_map(is_probe)
        .collect();
    ledger.on_wake(at(10_260));
    let later = ledger.admit(at(10_600), account, 4);
    assert_eq!(later, effect::QuotaDecision::Pending);
    for (to, number) in probes {
        let ack = quota::QuotaMessage::ContactAck { number };
        let effects = ledger.on_message(at(10_605), ident::NodeId(99), to, &ack);
        assert!(effects.is_empty(), "{effects:?}");
    }
}
