//! Bounded memory whatever peers send, and departures that only one side knows.

use std::time::Duration;

use anvil_membership::{config, effect, fleet};
use anvil_types::{ident, name, time};
use anvil_wire::gossip;

mod harness;

fn node(config: &config::FleetConfig) -> fleet::FleetState {
    let local = fleet::LocalNode {
        node: ident::NodeId(1),
        tcp: harness::address(1),
        udp: harness::address(1),
        zone: name::ZoneName::new("zone").expect("a name"),
        region: name::RegionName::new("region").expect("a name"),
    };
    fleet::FleetState::new(config.clone(), &local, 1, time::NodeTime::START)
}

fn head(from: u64) -> gossip::GossipHead {
    gossip::GossipHead {
        from: ident::NodeId(from),
        incarnation: 0,
        revision: ident::RuleRevision(0),
        ready: true,
        confirmed: gossip::ConfirmationAge::UNKNOWN,
    }
}

fn alive(node: u64, service: &str) -> gossip::MemberUpdate {
    let facts = gossip::MemberFacts {
        tcp: harness::address(2),
        udp: harness::address(2),
        zone: name::ZoneName::new("zone").expect("a name"),
        region: name::RegionName::new("region").expect("a name"),
        service: name::ServiceName::new(service).ok(),
        slots: 1,
        leaving: false,
        contact: None,
    };
    gossip::MemberUpdate {
        node: ident::NodeId(node),
        incarnation: 0,
        status: gossip::MemberStatus::Alive(Box::new(facts)),
    }
}

fn members(updates: Vec<gossip::MemberUpdate>) -> gossip::SyncMessage {
    gossip::SyncMessage::Members {
        head: head(2),
        updates,
        wanted: Vec::new(),
        last: false,
    }
}

#[test]
fn invented_members_and_names_do_not_exceed_the_limits() {
    // A faulty peer that holds the key invents members and services without end. Once the tables
    // are full, its claims are rejected and counted, and the node continues.
    let config = config::FleetConfig {
        member_limit: 500,
        tombstone_limit: 100,
        ..config::FleetConfig::default()
    };
    let mut state = node(&config);
    let now = time::NodeTime::from_millis(5);
    for round in 0..20 {
        let updates = (0..1_000).map(|n| alive(round * 1_000 + n + 10, &format!("s{round}-{n}")));
        state.on_sync(now, ident::NodeId(2), &members(updates.collect()));
    }
    assert_eq!(state.table().live(), 500);
    assert!(state.counters().claims_refused >= 19_000);
    let departed = (10..510).map(|node| gossip::MemberUpdate {
        node: ident::NodeId(node),
        incarnation: 0,
        status: gossip::MemberStatus::Dead,
    });
    state.on_sync(now, ident::NodeId(2), &members(departed.collect()));
    state.on_wake(now + Duration::from_secs(30));
    assert!(state.table().tombstones() <= 100);
    assert!(state.backlog() <= 2 * state.table().all().len() + 64);
}

#[test]
fn a_claim_about_a_departed_member_is_answered_with_its_departure() {
    // A node that missed a departure would send requests to a dead target. Digests do not include
    // departed members, so the node learns of the departure by an answer to its own claim that the
    // member is alive.
    let mut state = node(&config::FleetConfig::default());
    let now = time::NodeTime::from_millis(5);
    state.on_sync(
        now,
        ident::NodeId(2),
        &members(vec![alive(2, "a"), alive(7, "a")]),
    );
    let left = gossip::MemberUpdate {
        status: gossip::MemberStatus::Left,
        ..alive(7, "a")
    };
    state.on_sync(now, ident::NodeId(2), &members(vec![left.clone()]));
    let effects = state.on_sync(now, ident::NodeId(2), &members(vec![alive(7, "a")]));
    let answered = effects.iter().any(|effect| match effect {
        effect::FleetEffect::SendSync {
            message: gossip::SyncMessage::Members { updates, .. },
            ..
        } => updates.contains(&left),
        _ => false,
    });
    assert!(answered, "{effects:?}");
}

#[test]
fn every_message_fits_a_datagram_with_the_longest_names() {
    // The edge that seals datagrams drops those above the limit, and all their updates with them.
    let mut state = node(&config::FleetConfig::default());
    let long = "n".repeat(name::MAX_NAME_BYTES);
    let now = time::NodeTime::from_millis(5);
    let updates = (10..60).map(|n| {
        let mut update = alive(u64::MAX - n, &long);
        if let gossip::MemberStatus::Alive(facts) = &mut update.status {
            facts.zone = name::ZoneName::new(&long).expect("a name");
            facts.region = name::RegionName::new(&long).expect("a name");
            facts.tcp = "[2001:db8::1:2:3:4]:65535".parse().expect("an address");
        }
        update
    });
    let updates: Vec<_> = updates.collect();
    let mut largest = 0;
    for part in updates.chunks(5) {
        let kinds = [gossip::GossipKind::Rumour, gossip::GossipKind::Join];
        for kind in kinds {
            let message = gossip::GossipMessage {
                head: head(u64::MAX - 10),
                kind,
                updates: part.to_vec(),
            };
            let effects = state.on_datagram(now, harness::address(3), &message);
            for effect in effects {
                if let effect::FleetEffect::SendDatagram { message, .. } = effect {
                    let bytes = postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
                    largest = largest.max(bytes);
                }
            }
        }
    }
    let limit = anvil_wire::seal::datagram::MAX_PAYLOAD_BYTES;
    assert!(largest > 500 && largest <= limit, "{largest} bytes");
}

#[test]
fn an_older_snapshot_and_an_older_change_undo_nothing() {
    // Rules that an operator has replaced must not be applied again. A node that was cut off sends
    // a snapshot of revision 3 to a node that holds revision 5, and then the change that made
    // revision 4; neither is applied.
    let mut state = node(&config::FleetConfig::default());
    let now = time::NodeTime::from_millis(5);
    let logged = |revision: u64| gossip::LoggedChange {
        revision: ident::RuleRevision(revision),
        change: u128::from(revision),
        body: bytes::Bytes::from_static(b"rules"),
    };
    let changes = |snapshot: Option<u64>, changes: &[u64]| gossip::SyncMessage::Changes {
        head: head(2),
        snapshot: snapshot.map(logged),
        changes: changes.iter().copied().map(logged).collect(),
    };
    let peer = ident::NodeId(2);
    let adopted = |effects: &[effect::FleetEffect]| {
        let adopts = |effect: &&effect::FleetEffect| {
            matches!(
                effect,
                effect::FleetEffect::AdoptChange(_) | effect::FleetEffect::AdoptSnapshot(_)
            )
        };
        effects.iter().filter(adopts).count()
    };
    let effects = state.on_sync(now, peer, &changes(Some(5), &[]));
    assert_eq!(adopted(&effects), 1);
    for message in [changes(Some(3), &[]), changes(None, &[4, 5])] {
        let effects = state.on_sync(now, peer, &message);
        assert_eq!(adopted(&effects), 0);
        assert_eq!(state.revision(), ident::RuleRevision(5));
    }
    let effects = state.on_sync(now, peer, &changes(None, &[7]));
    assert_eq!(adopted(&effects), 0, "a change after a gap was applied");
    assert_eq!(
        adopted(&state.on_sync(now, peer, &changes(None, &[7, 6]))),
        2
    );
}
