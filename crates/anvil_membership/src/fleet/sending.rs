//! Sending datagrams: rumours, piggybacked claims, and the head of every message.

use std::net::SocketAddr;

use anvil_types::{ident, time};
use anvil_wire::gossip;

use crate::{effect, fleet, member};

impl fleet::FleetState {
    /// Inserts the local node's facts into the table with its current incarnation, and relays them.
    pub(super) fn announce(&mut self, facts: gossip::MemberFacts, now: time::NodeTime) {
        let record = member::MemberRecord {
            node: self.local,
            incarnation: self.incarnation,
            facts_incarnation: self.incarnation,
            state: member::MemberState::Alive,
            relays: 0,
            relay_serial: 0,
            since: now,
            revision: self.revision(),
            facts,
        };
        self.table.put(record);
        self.relay(self.local);
    }

    /// Queues the current claim about `node` for piggybacking, and requests a rumour.
    pub(super) fn relay(&mut self, node: ident::NodeId) {
        let is_urgent = |r: &member::MemberRecord| !r.state.is_live() || r.facts.leaving;
        let urgent = self.table.get(node).is_some_and(is_urgent);
        self.relay_claim(node, urgent);
    }

    /// Like [`Self::relay`], but ahead of other claims if `urgent`: for departures, leaving members
    /// and refutations.
    pub(super) fn relay_claim(&mut self, node: ident::NodeId, urgent: bool) {
        if !self.relaying && node != self.local {
            return;
        }
        let doublings = self.table.live().max(1).ilog2() + 1;
        let relays = u32::from(self.config.relay_factor) * doublings;
        let relays = u8::try_from(relays).unwrap_or(u8::MAX);
        self.relays.push(&mut self.table, node, relays, urgent);
        if urgent {
            self.rumours.request_urgent();
        } else {
            self.rumours.request();
        }
    }

    /// Sends a rumour if one is requested and within the budget.
    pub(super) fn send_rumour_if_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if self.rumours.try_take(&self.config, now) {
            self.send_rumour(out);
        }
    }

    pub(super) fn send_rumour(&mut self, out: &mut Vec<effect::FleetEffect>) {
        let updates = self.take_updates(self.config.rumour_bytes);
        let mut chosen = vec![self.local];
        for _ in 0..self.config.fanout {
            let Some(peer) = self.table.draw_live(&mut self.choice, &chosen) else {
                break;
            };
            chosen.push(peer.node);
            let to = peer.facts.udp;
            let kind = gossip::GossipKind::Rumour;
            self.send(to, kind, updates.clone(), out);
            self.counters.rumours_sent += 1;
        }
    }

    pub(super) fn take_updates(&mut self, bytes: usize) -> Vec<gossip::MemberUpdate> {
        let nodes = self.relays.take(&mut self.table, bytes);
        let claims = nodes.into_iter().filter_map(|node| self.claim(node));
        claims.collect()
    }

    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        kind: gossip::GossipKind,
        updates: Vec<gossip::MemberUpdate>,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        out.push(self.datagram(to, kind, updates));
    }

    /// A datagram for another part of the node, with the head of this node.
    pub fn message(&mut self, to: SocketAddr, kind: gossip::GossipKind) -> effect::FleetEffect {
        self.datagram(to, kind, Vec::new())
    }

    /// The datagram address of a random live member other than this node.
    pub fn random_peer(&mut self) -> Option<SocketAddr> {
        let drawn = self.table.draw_live(&mut self.choice, &[self.local])?;
        Some(drawn.facts.udp)
    }

    /// Like [`Self::message`], with the claim about this node, for a receiver that may not know it.
    pub fn message_with_claim(
        &mut self,
        to: SocketAddr,
        kind: gossip::GossipKind,
    ) -> effect::FleetEffect {
        let updates = self.claim(self.local).into_iter().collect();
        self.datagram(to, kind, updates)
    }

    fn datagram(
        &mut self,
        to: SocketAddr,
        kind: gossip::GossipKind,
        updates: Vec<gossip::MemberUpdate>,
    ) -> effect::FleetEffect {
        self.counters.datagrams_sent += 1;
        let message = gossip::GossipMessage {
            head: self.head(),
            kind,
            updates,
        };
        effect::FleetEffect::SendDatagram { to, message }
    }

    pub(super) fn head(&self) -> gossip::GossipHead {
        gossip::GossipHead {
            from: self.local,
            incarnation: self.incarnation,
            revision: self.revision(),
            ready: self.rules.ready,
            confirmed: self.rules.refresh.own_age(self.event_at),
        }
    }
}
