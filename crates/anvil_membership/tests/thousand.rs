//! One node when a thousand members crash, or a thousand join, at the same time.

use std::time::Duration;

use anvil_membership::{config, effect, fleet};
use anvil_types::{ident, name, time};
use anvil_wire::gossip;

mod harness;

const MEMBERS: usize = 2_000;
const LOST: usize = 1_000;

fn head(from: usize) -> gossip::GossipHead {
    gossip::GossipHead {
        from: harness::id(from),
        incarnation: 0,
        revision: ident::RuleRevision(0),
        ready: true,
        confirmed: gossip::ConfirmationAge::UNKNOWN,
    }
}

fn alive(index: usize) -> gossip::MemberUpdate {
    let zone = if index < MEMBERS - LOST { "a" } else { "b" };
    gossip::MemberUpdate {
        node: harness::id(index),
        incarnation: 0,
        status: gossip::MemberStatus::Alive(Box::new(gossip::MemberFacts {
            tcp: harness::address(index),
            udp: harness::address(index),
            zone: name::ZoneName::new(zone).expect("a name"),
            region: name::RegionName::new("region").expect("a name"),
            service: name::ServiceName::new("audiencias").ok(),
            slots: 40,
            leaving: false,
            contact: None,
        })),
    }
}

fn start() -> fleet::FleetState {
    let local = fleet::LocalNode {
        node: harness::id(0),
        tcp: harness::address(0),
        udp: harness::address(0),
        zone: name::ZoneName::new("a").expect("a name"),
        region: name::RegionName::new("region").expect("a name"),
    };
    let config = config::FleetConfig::default();
    fleet::FleetState::new(config, &local, 1, time::NodeTime::from_millis(1))
}

/// A node that received the claims of all members from another node.
fn with_all_members(now: time::NodeTime) -> fleet::FleetState {
    let mut state = start();
    let members: Vec<_> = (1..MEMBERS).map(alive).collect();
    for part in members.chunks(1_000) {
        let message = gossip::SyncMessage::Members {
            head: head(1),
            updates: part.to_vec(),
            wanted: Vec::new(),
            last: false,
        };
        state.on_sync(now, harness::id(1), &message);
    }
    state
}

fn datagram(
    from: usize,
    kind: gossip::GossipKind,
    updates: Vec<gossip::MemberUpdate>,
) -> gossip::GossipMessage {
    gossip::GossipMessage {
        head: head(from),
        kind,
        updates,
    }
}

#[test]
fn a_thousand_crashed_members_depart_and_no_live_one() {
    // When a zone of a thousand members is lost, all targets of other zones stay. Pings to the lost
    // members are not answered, and other nodes' claims about their departures arrive over some
    // seconds. The node accuses no live member and does not exceed its limit of sent bytes.
    let mut now = time::NodeTime::from_millis(2);
    let mut state = with_all_members(now);
    let mut announced = MEMBERS - LOST;
    let mut bytes = 0;
    for tick in 0..400_usize {
        now = now + Duration::from_millis(50);
        if tick % 10 == 0 && announced < MEMBERS {
            let departures =
                (announced..(announced + 40).min(MEMBERS)).map(|index| gossip::MemberUpdate {
                    status: gossip::MemberStatus::Dead,
                    ..alive(index)
                });
            let message = datagram(1, gossip::GossipKind::Rumour, departures.collect());
            announced += 40;
            state.on_datagram(now, harness::address(1), &message);
        }
        let mut effects = state.on_wake(now);
        while let Some(effect) = effects.pop() {
            let effect::FleetEffect::SendDatagram { to, message } = effect else {
                continue;
            };
            bytes += postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
            let live = (1..MEMBERS - LOST).find(|index| harness::address(*index) == to);
            if let (Some(from), gossip::GossipKind::Ping { probe, to }) = (live, message.kind) {
                let ack = datagram(from, gossip::GossipKind::Ack { probe, of: to }, Vec::new());
                effects.extend(state.on_datagram(now, harness::address(from), &ack));
            }
        }
    }
    assert_eq!(state.table().live(), MEMBERS - LOST);
    let live = (0..MEMBERS - LOST).map(|index| state.table().get(harness::id(index)));
    assert!(live.flatten().all(|record| record.state.is_live()));
    assert!(bytes / 20 < 4_096, "{} bytes a second", bytes / 20);
}

#[test]
fn digests_are_compared_with_few_members_in_an_hour() {
    // A node must not open a connection to each member of a large fleet. Each digest is sent over a
    // connection that stays open; in an hour of a hundred digests, there are only about a dozen
    // peers: the successors on the ring of ids, and the first random ones.
    let mut now = time::NodeTime::from_millis(2);
    let mut state = with_all_members(now);
    let mut peers = Vec::new();
    let mut digests = 0;
    for _ in 0..36_000 {
        now = now + Duration::from_millis(100);
        for effect in state.on_wake(now) {
            match effect {
                effect::FleetEffect::SendSync { peer, .. } => {
                    digests += 1;
                    peers.push(peer);
                }
                effect::FleetEffect::SendDatagram { to, message } => {
                    if let gossip::GossipKind::Ping { probe, to: of } = message.kind {
                        let ack = datagram(1, gossip::GossipKind::Ack { probe, of }, Vec::new());
                        state.on_datagram(now, to, &ack);
                    }
                }
                _ => {}
            }
        }
    }
    peers.sort_unstable();
    peers.dedup();
    assert!(digests > 90, "{digests} digests");
    assert!(peers.len() <= 16, "{} peers", peers.len());
}

#[test]
fn a_thousand_joiners_cost_their_seed_one_small_answer_each() {
    // A seed is not overloaded when a thousand nodes join through it within a second. It answers
    // each join with a few members, from which the node obtains the others. The seed itself sends
    // no bulk messages, and its rumours stay within their budget.
    let mut state = start();
    let mut now = time::NodeTime::from_millis(2);
    let mut answers = 0;
    let mut others = 0;
    let mut largest = 0;
    for index in 1..=1_000 {
        now = now + Duration::from_millis(1);
        let join = datagram(index, gossip::GossipKind::Join, vec![alive(index)]);
        for effect in state.on_datagram(now, harness::address(index), &join) {
            match effect {
                effect::FleetEffect::SendDatagram { message, .. } => {
                    let bytes = postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
                    largest = largest.max(bytes);
                    match message.kind {
                        gossip::GossipKind::Welcome => answers += 1,
                        _ => others += 1,
                    }
                }
                effect::FleetEffect::SendSync { .. } => panic!("the seed sent a bulk message"),
                _ => {}
            }
        }
    }
    assert_eq!(state.table().live(), 1_001);
    assert_eq!(answers, 1_000);
    assert!(others <= 20, "{others} further datagrams");
    assert!(largest <= 1_200, "{largest} bytes");
}
