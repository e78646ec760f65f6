//! Nodes that make themselves known to the next one on the ring of accounts.

use std::net::SocketAddr;

use anvil_quota::{effect, ledger};
use anvil_types::{account, ident, time};
use anvil_wire::quota;

const ACCOUNT: account::AccountId = account::AccountId(0);

fn address(node: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + node))
}

fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

fn named(node: u16, alive: bool) -> quota::HomeHint {
    quota::HomeHint {
        node: ident::NodeId(u64::from(node)),
        address: address(node),
        alive,
    }
}

/// A node that knows no other one.
fn alone() -> ledger::QuotaLedger {
    let own = ident::NodeId(1);
    let mut ledger = ledger::QuotaLedger::new(own, ledger::TokenMode::Ahead);
    ledger.member_up(at(0), own, address(1));
    let quota = account::AccountQuota::per_second(100, 20);
    ledger.set_quotas(at(0), &[(ACCOUNT, quota)]);
    ledger
}

/// Whether any of the nodes 2 to 60 is the home of the account once `told` has told of it.
fn is_moved<Tell>(tell: Tell) -> bool
where
    Tell: Fn(&mut ledger::QuotaLedger, u16),
{
    (2..60).any(|node| {
        let mut ledger = alone();
        tell(&mut ledger, node);
        ledger.admit(at(20), ACCOUNT, 7) == effect::QuotaDecision::Pending
    })
}

// Guards against requests that wait for homes which have ended: a node that is only named may be gone, and
// stays unasked until it has said something itself.
#[test]
fn a_node_that_is_only_named_is_no_home() {
    let moved = is_moved(|ledger, node| {
        let between = quota::QuotaMessage::CloserSuccessor(named(node, false));
        let effects = ledger.on_message(at(10), ident::NodeId(99), address(99), &between);
        let told = effects.iter().any(|effect| {
            matches!(effect, effect::QuotaEffect::Send { to, message: quota::QuotaMessage::SuccessorProbe }
                if *to == address(node))
        });
        assert!(told, "it is told of this one");
    });
    assert!(!moved);
}

// Guards against two processes at one address that name each other for ever.
#[test]
fn answers_that_name_nodes_again_and_again_come_to_an_end() {
    let mut ledger = alone();
    let between = quota::QuotaMessage::CloserSuccessor(named(2, false));
    let told = (0..100).map(|_| {
        ledger
            .on_message(at(10), ident::NodeId(99), address(99), &between)
            .len()
    });
    assert_eq!(told.sum::<usize>(), 2);
}

#[test]
fn a_node_that_makes_itself_known_is_a_home() {
    let moved = is_moved(|ledger, node| {
        let from = ident::NodeId(u64::from(node));
        let behind = quota::QuotaMessage::SuccessorProbe;
        ledger.on_message(at(10), from, address(node), &behind);
    });
    assert!(moved);
}

/// A home of the account since 10 ms, which lets in `own` requests a second, and hears after two seconds that
/// another node let in 75 a second meanwhile; tells what becomes of the next request.
fn after_a_handover(own: u64) -> effect::QuotaDecision {
    let mut ledger = alone();
    for turn in 0..own * 2 {
        ledger.admit(at(10 + turn * 2_000 / (own * 2)), ACCOUNT, turn);
    }
    let told = quota::UsageHandover {
        account: ACCOUNT,
        number: 1,
        slices: vec![19; 8],
    };
    let from = ident::NodeId(99);
    let handover = quota::QuotaMessage::Handover(told);
    ledger.on_message(at(2_010), from, address(99), &handover);
    ledger.admit(at(2_015), ACCOUNT, 1_000)
}

// Guards against refusals of an account within its quota of 100 a second, whose requests came to two homes.
#[test]
fn a_handover_of_modest_use_costs_nothing() {
    assert_eq!(after_a_handover(20), effect::QuotaDecision::Granted);
}

#[test]
fn a_handover_of_use_beyond_the_quota_is_paid_for() {
    let refused = matches!(after_a_handover(100), effect::QuotaDecision::Refused { .. });
    assert!(refused);
}

// Guards against refusals after all processes were killed, of requests that the burst would have borne: a
// fresh home withholds most of it, for what others may have let in, and then hears what they did.
#[test]
fn withheld_tokens_pay_for_a_handover() {
    let mut ledger = alone();
    ledger.admit(at(10), ACCOUNT, 1);
    let told = quota::UsageHandover {
        account: ACCOUNT,
        number: 1,
        slices: vec![40],
    };
    let handover = quota::QuotaMessage::Handover(told);
    ledger.on_message(at(260), ident::NodeId(99), address(99), &handover);
    let decided = ledger.admit(at(265), ACCOUNT, 2);
    assert_eq!(decided, effect::QuotaDecision::Granted);
}
