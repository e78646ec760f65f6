//! Acks that arrive late, at the successor of the process that sent the pings.

use std::time::Duration;

use anvil_membership::{config, effect, fleet};
use anvil_types::{ident, name, time};
use anvil_wire::gossip;

mod harness;

/// The members other than the process itself.
const OTHERS: std::ops::Range<usize> = 2..8;

/// How long each process pings.
const PINGING: Duration = Duration::from_secs(30);

/// A ping as it was sent: its number, and the node that it was for.
type SentPing = (u32, ident::NodeId);

fn facts(index: usize) -> gossip::MemberFacts {
    gossip::MemberFacts {
        tcp: harness::address(index),
        udp: harness::address(index),
        zone: name::ZoneName::new("zone").expect("a name"),
        region: name::RegionName::new("region").expect("a name"),
        service: None,
        slots: 0,
        leaving: false,
        contact: None,
    }
}

fn message(from: usize, kind: gossip::GossipKind) -> gossip::GossipMessage {
    let status = gossip::MemberStatus::Alive(Box::new(facts(from)));
    gossip::GossipMessage {
        head: gossip::GossipHead {
            from: harness::id(from),
            incarnation: 0,
            revision: ident::RuleRevision(0),
            ready: true,
            confirmed: gossip::ConfirmationAge::UNKNOWN,
        },
        kind,
        updates: vec![gossip::MemberUpdate {
            node: harness::id(from),
            incarnation: 0,
            status,
        }],
    }
}

/// A process at the address of node 1 that knows all others.
fn start(node: ident::NodeId) -> fleet::FleetState {
    let local = fleet::LocalNode {
        node,
        tcp: harness::address(1),
        udp: harness::address(1),
        zone: name::ZoneName::new("zone").expect("a name"),
        region: name::RegionName::new("region").expect("a name"),
    };
    let now = time::NodeTime::START;
    let config = config::FleetConfig::default();
    let mut state = fleet::FleetState::new(config, &local, node.0, now);
    for other in OTHERS {
        let rumour = message(other, gossip::GossipKind::Rumour);
        state.on_datagram(now, harness::address(other), &rumour);
    }
    state
}

fn ping_of(effect: &effect::FleetEffect) -> Option<SentPing> {
    match effect {
        effect::FleetEffect::SendDatagram { message, .. } => match message.kind {
            gossip::GossipKind::Ping { probe, to } => Some((probe, to)),
            _ => None,
        },
        _ => None,
    }
}

/// Wakes the process until it has pinged for long; each ping is answered, and `late` acks arrive
/// right after it was sent. Returns the pings, and the members that were taken for departed.
fn run(node: ident::NodeId, late: &[SentPing]) -> (Vec<SentPing>, Vec<ident::NodeId>) {
    let mut state = start(node);
    let (mut pings, mut departed) = (Vec::new(), Vec::new());
    let end = time::NodeTime::START + PINGING;
    while let Some(now) = state.next_wake().filter(|at| *at < end) {
        let sent: Vec<SentPing> = state.on_wake(now).iter().filter_map(ping_of).collect();
        let acks = late.iter().chain(&sent).copied();
        for (probe, of) in acks {
            let from = OTHERS.clone().find(|index| harness::id(*index) == of);
            let from = from.expect("a known member");
            let ack = message(from, gossip::GossipKind::Ack { probe, of });
            let effects = state.on_datagram(now, harness::address(from), &ack);
            departed.extend(effects.iter().filter_map(|effect| match effect {
                effect::FleetEffect::MemberDeparted { node, .. } => Some(*node),
                _ => None,
            }));
        }
        pings.extend(sent);
    }
    (pings, departed)
}

// Guards against a sound member that counts as replaced because of an ack to an earlier process.
#[test]
fn a_late_ack_to_the_predecessor_removes_no_member() {
    let (pings, departed) = run(ident::NodeId(0x1f2e_3d4c_5b6a_7988), &[]);
    assert!(departed.is_empty());
    assert!(pings.len() > 10, "{pings:?}");
    let (_, departed) = run(ident::NodeId(0x8a9b_acbd_cedf_e0f1), &pings);
    assert!(departed.is_empty(), "{departed:?}");
}
