//! What goes out: claims on rumours and probes, and the head of every message.

use std::net::SocketAddr;

use anvil_types::{ident, time};
use anvil_wire::gossip;

use crate::{effect, fleet, member};

impl fleet::FleetState {
    /// Puts the local node's facts into the table under its present incarnation.
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

    /// Lets the present claim about `node` ride on datagrams and on the next rumour.
    pub(super) fn relay(&mut self, node: ident::NodeId) {
        let ends = |r: &member::MemberRecord| !r.state.is_live() || r.facts.leaving;
        let urgent = self.table.get(node).is_some_and(ends);
        self.relay_claim(node, urgent);
    }

    /// The same, ahead of others where it is `urgent`: ends, leavings and refutations.
    pub(super) fn relay_claim(&mut self, node: ident::NodeId, urgent: bool) {
        if !self.repeating && node != self.local {
            return;
        }
        let doublings = self.table.live().max(1).ilog2() + 1;
        let relays = u32::from(self.config.relay_factor) * doublings;
        let relays = u8::try_from(relays).unwrap_or(u8::MAX);
        self.relays.push(&mut self.table, node, relays, urgent);
        if urgent {
            self.pushing.request_urgent();
        } else {
            self.pushing.request();
        }
    }

    /// Sends a rumour where something changed and the budget allows one.
    pub(super) fn push_now(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        if self.pushing.try_take(&self.config, now) {
            self.push_rumour(out);
        }
    }

    pub(super) fn push_rumour(&mut self, out: &mut Vec<effect::FleetEffect>) {
        let updates = self.take_updates(self.config.rumour_bytes);
        let mut told = vec![self.local];
        for _ in 0..self.config.fanout {
            let Some(peer) = self.table.draw_live(&mut self.choice, &told) else {
                break;
            };
            told.push(peer.node);
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

    /// A datagram of another state module, which tells of this node like any other.
    pub fn message(&mut self, to: SocketAddr, kind: gossip::GossipKind) -> effect::FleetEffect {
        self.datagram(to, kind, Vec::new())
    }

    /// The same with what this node says of itself, for a receiver that may not have heard it.
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
        }
    }
}
