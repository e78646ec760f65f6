//! Announcements of nodes to their successor on the ring of accounts.

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

/// A node that knows no other node.
fn single_node() -> ledger::QuotaLedger {
    let own = ident::NodeId(1);
    let mut ledger = ledger::QuotaLedger::new(own, ledger::TokenMode::Ahead);
    ledger.member_up(at(0), own, address(1));
    let quota = account::AccountQuota::per_second(100, 20);
    ledger.set_quotas(at(0), &[(ACCOUNT, quota)]);
    ledger
}

/// Whether one of the nodes 2 to 60 becomes the home of the account after `notify` has notified the
/// ledger of it.
fn is_moved<Notify>(notify: Notify) -> bool
where
    Notify: Fn(&mut ledger::QuotaLedger, u16),
{
    (2..60).any(|node| {
        let mut ledger = single_node();
        notify(&mut ledger, node);
        ledger.admit(at(20), ACCOUNT, 7) == effect::QuotaDecision::Pending
    })
}

// Guards against requests that wait for homes that have ended: a node that was only named may have
// ended, and is not used as a home before it has sent a message itself.
#[test]
fn a_node_that_is_only_named_is_no_home() {
    let moved = is_moved(|ledger, node| {
        let between = quota::QuotaMessage::CloserSuccessor(named(node, false));
        let effects = ledger.on_message(at(10), ident::NodeId(99), address(99), &between);
        let announced = effects.iter().any(|effect| {
            matches!(effect, effect::QuotaEffect::Send { to, message: quota::QuotaMessage::SuccessorProbe }
                if *to == address(node))
        });
        assert!(announced, "this node announces itself to the named one");
    });
    assert!(!moved);
}

// Guards against two processes at one address that name each other endlessly.
#[test]
fn answers_that_name_nodes_again_and_again_come_to_an_end() {
    let mut ledger = single_node();
    let between = quota::QuotaMessage::CloserSuccessor(named(2, false));
    let announcements = (0..100).map(|_| {
        ledger
            .on_message(at(10), ident::NodeId(99), address(99), &between)
            .len()
    });
    assert_eq!(announcements.sum::<usize>(), 2);
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

/// Decision on a request at a node that has been the home of the account since 10 ms and has
/// admitted `own` requests a second, after a handover at two seconds reports 75 requests a second
/// that another node admitted meanwhile.
fn after_a_handover(own: u64) -> effect::QuotaDecision {
    let mut ledger = single_node();
    for request in 0..own * 2 {
        ledger.admit(at(10 + request * 2_000 / (own * 2)), ACCOUNT, request);
    }
    let uses = quota::UsageHandover {
        account: ACCOUNT,
        number: 1,
        slices: vec![19; 8],
    };
    let from = ident::NodeId(99);
    let handover = quota::QuotaMessage::Handover(uses);
    ledger.on_message(at(2_010), from, address(99), &handover);
    ledger.admit(at(2_015), ACCOUNT, 1_000)
}

// Guards against refusals for an account within its quota of 100 a second whose requests were
// counted at two homes.
#[test]
fn a_handover_of_modest_use_costs_nothing() {
    assert_eq!(after_a_handover(20), effect::QuotaDecision::Granted);
}

#[test]
fn a_handover_of_use_beyond_the_quota_is_paid_for() {
    let refused = matches!(after_a_handover(100), effect::QuotaDecision::Refused { .. });
    assert!(refused);
}

// Guards against refusals of requests within the burst after all processes were killed: a new home
// withholds most of the burst for requests that others may have admitted, and then receives their
// handover.
#[test]
fn withheld_tokens_pay_for_a_handover() {
    let mut ledger = single_node();
    ledger.admit(at(10), ACCOUNT, 1);
    let uses = quota::UsageHandover {
        account: ACCOUNT,
        number: 1,
        slices: vec![40],
    };
    let handover = quota::QuotaMessage::Handover(uses);
    ledger.on_message(at(260), ident::NodeId(99), address(99), &handover);
    let decision = ledger.admit(at(265), ACCOUNT, 2);
    assert_eq!(decision, effect::QuotaDecision::Granted);
}

/// The ledger of a node, and an older and a newer process at one address, of which the older one is
/// the home of the account.
fn node_beside_a_replaced_home() -> (ledger::QuotaLedger, ident::NodeId, ident::NodeId) {
    let old = (2..60).find(|node| {
        let mut ledger = single_node();
        ledger.member_up(at(0), ident::NodeId(*node), address(2));
        ledger.admit(at(1), ACCOUNT, 7) == effect::QuotaDecision::Pending
    });
    let new = (60..200).find(|node| {
        let mut ledger = single_node();
        ledger.member_up(at(0), ident::NodeId(*node), address(2));
        ledger.admit(at(1), ACCOUNT, 7) == effect::QuotaDecision::Granted
    });
    let old = ident::NodeId(old.expect("a home"));
    let mut ledger = single_node();
    ledger.admit(at(1), ACCOUNT, 1);
    ledger.member_up(at(10), old, address(2));
    (ledger, old, ident::NodeId(new.expect("another node")))
}

// Guards against requests that two nodes hand to each other and charge each time, until the account
// has no tokens left: one of them takes the process that the other replaced for the home.
#[test]
fn a_handover_does_not_return_to_its_sender() {
    let (mut ledger, _, new) = node_beside_a_replaced_home();
    let sent = ledger.flush(at(11));
    let handover = sent.iter().find_map(|effect| match effect {
        effect::QuotaEffect::Send {
            to,
            message: quota::QuotaMessage::Handover(uses),
        } if *to == address(2) => Some(uses.clone()),
        _ => None,
    });
    let number = handover.expect("a handover").number;
    let ack = quota::QuotaMessage::HandoverAck { number };
    ledger.on_message(at(12), new, address(2), &ack);
    let returned = quota::UsageHandover {
        account: ACCOUNT,
        number: 1,
        slices: vec![1],
    };
    let returned = quota::QuotaMessage::Handover(returned);
    let effects = ledger.on_message(at(60), new, address(2), &returned);
    let decision = ledger.admit(at(70), ACCOUNT, 2);
    assert_eq!(decision, effect::QuotaDecision::Granted);
    let later = ledger.flush(at(200));
    let is_handover = |effect: &&effect::QuotaEffect| {
        matches!(
            effect,
            effect::QuotaEffect::Send {
                message: quota::QuotaMessage::Handover(_),
                ..
            }
        )
    };
    assert_eq!(effects.iter().chain(&later).filter(is_handover).count(), 0);
}

// Guards against requests that wait for a process that has been replaced at its address.
#[test]
fn a_replaced_process_is_no_home() {
    let (mut ledger, old, new) = node_beside_a_replaced_home();
    let probe = quota::QuotaMessage::SuccessorProbe;
    ledger.on_message(at(20), new, address(2), &probe);
    let decision = ledger.admit(at(30), ACCOUNT, 2);
    assert_eq!(decision, effect::QuotaDecision::Granted);
    // Other nodes name it until they detect its end.
    ledger.on_message(at(40), old, address(2), &probe);
    let decision = ledger.admit(at(50), ACCOUNT, 3);
    assert_eq!(decision, effect::QuotaDecision::Granted);
}
