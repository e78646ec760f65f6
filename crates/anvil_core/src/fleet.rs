//! Connects membership with the rest of the reducer: changes of members update the directory, and
//! announcements of the target and changes by operators are sent to the fleet.

use std::net::SocketAddr;

use anvil_membership::effect::{DepartureReason, FleetEffect, FleetReport};
use anvil_membership::{config, fleet, member};
use anvil_types::{ident, store, time};
use anvil_wire::{frame, gossip};
use serde_json::json;

use crate::config::NodeConfig;
use crate::{directory, effect, keys, reducer};

/// Maximum number of members that are listed in the dump; beyond that only their number is
/// reported.
const MAX_DUMP_MEMBERS: usize = 1_000;

/// The name of this part in log lines.
const PART: &str = "fleet";

/// The membership state of a node with these settings; `seed` initializes its random choices.
pub(crate) fn membership(node: &NodeConfig, seed: u64) -> fleet::FleetState {
    let config = config::FleetConfig {
        seeds: node.seeds.clone(),
        ..config::FleetConfig::default()
    };
    let local = fleet::LocalNode {
        node: node.node,
        tcp: node.peer_address,
        udp: node.gossip_address,
        zone: node.zone.clone(),
        region: node.region.clone(),
    };
    fleet::FleetState::new(config, &local, seed, time::NodeTime::START)
}

impl reducer::NodeReducer {
    pub(crate) fn datagram_arrived(&mut self, from: SocketAddr, message: &gossip::GossipMessage) {
        let effects = self.fleet.on_datagram(self.now, from, message);
        self.apply_fleet_effects(effects);
        let sender = message.head.from;
        match &message.kind {
            gossip::GossipKind::Quota(quota) => self.quota_arrived(from, message.head, quota),
            gossip::GossipKind::Shutdown(message) => {
                self.shutdown_message_arrived(from, sender, *message);
            }
            gossip::GossipKind::Quarantine { requests, served } => {
                self.quarantine_message_arrived(from, requests, served);
            }
            gossip::GossipKind::Join => self.tell_quarantine(from),
            _ => {}
        }
    }

    pub(crate) fn sync_arrived(&mut self, peer: ident::NodeId, message: &gossip::SyncMessage) {
        let effects = self.fleet.on_sync(self.now, peer, message);
        self.apply_fleet_effects(effects);
    }

    pub(crate) fn wake_fleet(&mut self) {
        if self.fleet.next_wake().is_some_and(|due| due <= self.now) {
            let effects = self.fleet.on_wake(self.now);
            self.apply_fleet_effects(effects);
        }
    }

    /// Announces to the fleet what the local target offers, and whether it or the node is leaving.
    pub(crate) fn announce_local(&mut self) {
        let leaving = self.refuses_runs();
        if leaving {
            self.quota.member_removed(self.now, self.config.node, false);
        }
        let local = match &self.target {
            Some(target) => fleet::LocalTarget {
                service: Some(target.announcement.service.clone()),
                slots: target.announcement.slots,
                leaving: leaving || target.leaving,
            },
            None => fleet::LocalTarget {
                leaving,
                ..fleet::LocalTarget::default()
            },
        };
        let effects = self.fleet.set_local_target(self.now, &local);
        self.apply_fleet_effects(effects);
    }

    /// Announces to the fleet that this node has left.
    pub(crate) fn leave_fleet(&mut self) {
        let effects = self.fleet.leave(self.now);
        self.apply_fleet_effects(effects);
    }

    pub(crate) fn store_answered(&mut self, id: store::StoreId, outcome: store::StoreOutcome) {
        match id.requester {
            store::StoreRequester::Fleet | store::StoreRequester::Rules => {
                let effects = self.fleet.on_store(self.now, id, outcome);
                self.apply_fleet_effects(effects);
            }
            store::StoreRequester::Keys => self.key_store_answered(id, outcome),
            store::StoreRequester::Quarantine => self.quarantine_store_answered(id, &outcome),
        }
    }

    pub(crate) fn apply_fleet_effects(&mut self, effects: Vec<FleetEffect>) {
        for effect in effects {
            self.apply_fleet_effect(effect);
        }
    }

    fn apply_fleet_effect(&mut self, effect: FleetEffect) {
        match effect {
            FleetEffect::SendDatagram { to, message } => {
                let datagram = effect::NodeEffect::SendDatagram { to, message };
                self.effects.push(datagram);
            }
            FleetEffect::SendSync {
                peer,
                address,
                message,
            } => {
                let frame = frame::PeerFrame::Sync(Box::new(message));
                self.send_frame(peer, address, frame);
            }
            FleetEffect::SendStoreRequest { id, request } => {
                self.effects
                    .push(effect::NodeEffect::SendStoreRequest { id, request });
            }
            FleetEffect::MemberUp(view) | FleetEffect::MemberChanged(view) => {
                self.member_updated(view);
            }
            FleetEffect::MemberDeparted { node, reason } => self.member_departed(node, reason),
            FleetEffect::AdoptChange(change) => self.adopt_logged_change(&change),
            FleetEffect::AdoptSnapshot(snapshot) => self.adopt_snapshot(&snapshot),
            FleetEffect::EncodeSnapshot { destination } => self.encode_rules(destination),
            FleetEffect::ProposalEnded {
                change,
                revision,
                outcome,
            } => self.change_ended(change, revision, &outcome),
            // The entry side checks readiness for each request; only the target is published here.
            FleetEffect::Ready => self.publish_target(),
            FleetEffect::Report(report) => {
                if matches!(report, FleetReport::Paused { .. }) {
                    self.quota.on_pause();
                }
                self.report(effect::StateChange::Part {
                    part: PART,
                    text: report.to_string(),
                });
            }
        }
    }

    fn member_updated(&mut self, view: member::MemberView) {
        match view.facts.leaving {
            true => self.quota.member_removed(self.now, view.node, false),
            false => self.quota.member_up(self.now, view.node, view.facts.udp),
        }
        let peer = keys::KeyPeer {
            address: view.facts.tcp,
            zone: view.facts.zone.clone(),
            leaving: view.facts.leaving,
            suspected: view.suspected,
            connection_broken: false,
        };
        self.upsert_key_peer(view.node, peer);
        match view.facts.service {
            Some(service) => {
                let record = directory::PeerRecord {
                    address: view.facts.tcp,
                    service,
                    zone: view.facts.zone,
                    slots: view.facts.slots,
                    leaving: view.facts.leaving,
                    announced: view.facts_incarnation,
                };
                self.directory.upsert(self.now, view.node, record);
            }
            None => self.directory.remove(view.node),
        }
    }

    /// Removes a member, and queries the outcome of the calls in flight at one that is presumed to
    /// have crashed.
    fn member_departed(&mut self, node: ident::NodeId, reason: DepartureReason) {
        self.directory.remove(node);
        self.remove_key_peer(node);
        let crashed = reason == DepartureReason::Crashed;
        self.quota.member_removed(self.now, node, crashed);
        match reason {
            DepartureReason::Crashed => self.peer_presumed_crashed(node),
            DepartureReason::Replaced => {
                self.shutdown.member_departed(node);
                self.peer_lost(node);
            }
            DepartureReason::Left => self.shutdown.member_departed(node),
        }
    }

    /// A summary of the fleet as observed by this node.
    pub(crate) fn fleet_status(&self) -> serde_json::Value {
        let suspects = self.fleet.suspicions().iter().map(|s| {
            let accusers: Vec<_> = s.accusers.iter().map(ident::NodeId::to_string).collect();
            json!({
                "node": s.node.to_string(),
                "accusers": accusers,
                "since_micros": s.since,
                "gone_at_micros": self.fleet.suspicion_deadline(s),
            })
        });
        let suspects: Vec<_> = suspects.collect();
        json!({
            "joined": self.fleet.joined(),
            "rules_compared": self.fleet.is_ready(),
            "watches_rules": self.fleet.watches_rules(),
            "rules_confirmed_micros": self.fleet.rules_confirmed_at(),
            "rules_stale_after_micros": u64::try_from(self.fleet.rules_stale_age().as_micros()).unwrap_or(u64::MAX),
            "members": self.fleet.table().live(),
            "remembered_gone": self.fleet.table().tombstones(),
            "suspects": suspects,
            "health_score": self.fleet.health_score(),
            "claims_waiting": self.fleet.backlog(),
            "next_wake_micros": self.fleet.next_wake(),
        })
    }

    /// The other live members with their datagram addresses.
    pub(crate) fn fleet_peers(&self) -> Vec<(ident::NodeId, SocketAddr)> {
        let members = self.fleet.table().all().iter();
        let live = members.filter(|m| m.state.is_live() && m.node != self.config.node);
        live.map(|m| (m.node, m.facts.udp)).collect()
    }

    /// The known members, up to a limit.
    pub(crate) fn fleet_members(&self) -> Vec<serde_json::Value> {
        let members = self.fleet.table().all().iter().take(MAX_DUMP_MEMBERS);
        let members = members.map(|m| {
            json!({
                "node": m.node.to_string(),
                "state": format!("{:?}", m.state),
                "incarnation": m.incarnation,
                "since_micros": m.since,
                "address": m.facts.tcp,
                "zone": m.facts.zone,
                "region": m.facts.region,
                "service": m.facts.service,
                "slots": m.facts.slots,
                "leaving": m.facts.leaving,
                "revision_heard": m.revision,
            })
        });
        members.collect()
    }
}
