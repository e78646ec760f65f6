//! Effects of membership and the store on the callers of one reducer.

#![allow(clippy::unwrap_used)]

mod support;

use anvil_core::{effect, event, reducer};
use anvil_standins::store::fake;
use anvil_types::{ident, name, store, verdict};
use anvil_wire::gossip;

use support::{PEER, address, arrival, at, service};

/// Fires the node's timer every 10 ms of `millis` and lets `store` answer its requests.
fn run(
    node: &mut reducer::NodeReducer,
    store: &mut fake::FakeStore<store::StoreId>,
    millis: std::ops::Range<u64>,
) {
    for now in millis.step_by(10) {
        let mut effects = node.step(at(now), event::NodeEvent::TimerFired);
        while let Some(effect) = effects.pop() {
            let effect::NodeEffect::SendStoreRequest { id, request } = effect else {
                continue;
            };
            if let Some(outcome) = store.carry_out(at(now), id, &request) {
                let answered = event::NodeEvent::StoreAnswered { id, outcome };
                effects.extend(node.step(at(now), answered));
            }
        }
    }
}

fn verdict_of(node: &mut reducer::NodeReducer, millis: u64) -> Option<verdict::CallVerdict> {
    let effects = node.step(at(millis), arrival(millis, "GET"));
    effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::ReplyCaller { reply, .. } => Some(reply.verdict),
        _ => None,
    })
}

fn rumour(status: gossip::MemberStatus) -> event::NodeEvent {
    let head = gossip::GossipHead {
        from: ident::NodeId(9),
        incarnation: 0,
        revision: ident::RuleRevision(0),
        ready: true,
        confirmed: gossip::ConfirmationAge::UNKNOWN,
    };
    let updates = vec![gossip::MemberUpdate {
        node: PEER,
        incarnation: 3,
        status,
    }];
    let kind = gossip::GossipKind::Rumour;
    event::NodeEvent::DatagramArrived {
        from: address(7999),
        message: gossip::GossipMessage {
            head,
            kind,
            updates,
        },
    }
}

fn alive() -> gossip::MemberStatus {
    gossip::MemberStatus::Alive(Box::new(gossip::MemberFacts {
        tcp: address(7102),
        udp: address(7102),
        zone: name::ZoneName::new("ar-centro-a").unwrap(),
        region: name::RegionName::new("ar-centro").unwrap(),
        service: Some(service()),
        slots: 8,
        leaving: false,
        contact: None,
    }))
}

// A node that starts while the store is down can't know whether its rules are current, so it must
// answer "not run". Once the store is back and the rule log has been read, requests are decided by
// the rules.
#[test]
fn a_fresh_node_refuses_until_it_has_compared_its_rules() {
    let mut node = support::target_node(4).with_store();
    let mut store = fake::FakeStore::new(1);
    store.faults.down = true;
    run(&mut node, &mut store, 10..8_000);
    let unknown = verdict::CallVerdict::NotRun(verdict::RefusalReason::RulesUnknown);
    assert_eq!(verdict_of(&mut node, 8_000), Some(unknown));
    store.faults.down = false;
    run(&mut node, &mut store, 8_010..30_000);
    assert_eq!(verdict_of(&mut node, 30_000), None, "the request runs");
}

// The target's instance loses power, so no connection closes. Within a quarter of a second after
// membership declares it dead, if nobody has answered for it, the caller in flight must be told
// that its request may have run, long before its deadline. The next request finds no target and is
// "not run".
#[test]
fn a_request_at_a_member_that_crashed_may_have_run() {
    let mut node = support::entry_node();
    node.step(at(5), rumour(alive()));
    assert_eq!(verdict_of(&mut node, 10), None, "the request is in flight");
    let mut effects = node.step(at(900), rumour(gossip::MemberStatus::Dead));
    let next = verdict_of(&mut node, 910);
    assert!(
        matches!(next, Some(verdict::CallVerdict::NotRun(_))),
        "{next:?}"
    );
    effects.extend(support::run_until(&mut node, at(1_160)));
    let reported = effects.iter().find_map(|effect| match effect {
        effect::NodeEffect::ReplyCaller { reply, .. } => Some(reply.verdict),
        _ => None,
    });
    assert!(
        matches!(reported, Some(verdict::CallVerdict::MayHaveRun(_))),
        "{reported:?}"
    );
}
