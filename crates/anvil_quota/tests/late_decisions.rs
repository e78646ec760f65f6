//! Messages that arrive late, at the successor of the process that they are for.

use std::net::SocketAddr;

use anvil_quota::{effect, ledger};
use anvil_types::{account, ident, time};
use anvil_wire::quota;

const ACCOUNT: account::AccountId = account::AccountId(0);

/// Two processes that follow one another at one address.
const PREDECESSOR: ident::NodeId = ident::NodeId(0x1f2e_3d4c_5b6a_7988);
const SUCCESSOR: ident::NodeId = ident::NodeId(0x8a9b_acbd_cedf_e0f1);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

/// The ledger of `own`, which knows the process at the first address and the home at the second.
fn ledger_of(
    own: ident::NodeId,
    process: ident::NodeId,
    home: ident::NodeId,
) -> ledger::QuotaLedger {
    let mut ledger = ledger::QuotaLedger::new(own, ledger::TokenMode::PerRequest);
    ledger.member_up(at(0), process, address(1));
    ledger.member_up(at(0), home, address(2));
    let quota = account::AccountQuota::per_second(10, 10);
    ledger.set_quotas(at(0), &[(ACCOUNT, quota)]);
    ledger
}

/// The ledger of a process beside a home, with a request of the account.
fn ledger_beside(
    process: ident::NodeId,
    home: ident::NodeId,
) -> (ledger::QuotaLedger, effect::QuotaDecision) {
    let mut ledger = ledger_of(process, process, home);
    let decision = ledger.admit(at(1), ACCOUNT, 7);
    (ledger, decision)
}

/// A node that is the home of the account for both processes.
fn common_home() -> ident::NodeId {
    let is_home = |home: &ident::NodeId| {
        let pending = effect::QuotaDecision::Pending;
        ledger_beside(PREDECESSOR, *home).1 == pending
            && ledger_beside(SUCCESSOR, *home).1 == pending
    };
    let mut homes = (1..1_000_u64).map(|number| ident::NodeId(number << 52));
    homes.find(is_home).expect("some node is the home for both")
}

/// The first report or decision that is sent.
fn message_of(effects: &[effect::QuotaEffect]) -> Option<quota::QuotaMessage> {
    effects.iter().find_map(|effect| match effect {
        effect::QuotaEffect::Send { message, .. } => match message {
            quota::QuotaMessage::Report { .. } | quota::QuotaMessage::Decision { .. } => {
                Some(message.clone())
            }
            _ => None,
        },
        _ => None,
    })
}

// Guards against requests beyond the quota that a decision for an earlier process admits.
#[test]
fn a_late_decision_for_the_predecessor_grants_nothing() {
    let home = common_home();
    let (mut predecessor, _) = ledger_beside(PREDECESSOR, home);
    let report = message_of(&predecessor.flush(at(2))).expect("a report");
    let mut home_ledger = ledger_of(home, PREDECESSOR, home);
    let mut effects = home_ledger.on_message(at(5_000), PREDECESSOR, address(1), &report);
    effects.extend(home_ledger.flush(at(5_000)));
    let decision = message_of(&effects).expect("a decision");
    let granted = effect::QuotaEffect::Grant { call: 7 };
    let own = predecessor.on_message(at(4), home, address(2), &decision);
    assert_eq!(own, std::slice::from_ref(&granted));

    let (mut successor, _) = ledger_beside(SUCCESSOR, home);
    successor.flush(at(2));
    let late = successor.on_message(at(4), home, address(2), &decision);
    assert!(!late.contains(&granted), "{late:?}");
}
