//! Probes: sending them, answering them and evaluating their results.

use std::net::SocketAddr;

use anvil_types::{ident, time};
use anvil_wire::gossip;

use crate::{effect, fleet, member, probe, relay};

/// Number of members that a joining node is sent in addition to the answering node.
const WELCOME_MEMBERS: usize = 8;

impl fleet::FleetState {
    /// Runs the probe actions that are due.
    pub(super) fn probe_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        for action in self.probes.on_wake(now, &self.config, self.health) {
            match action {
                probe::ProbeAction::Ping { target, number } => self.ping(target, number, out),
                probe::ProbeAction::PingIndirectly { target, number } => {
                    self.reach.record_silence();
                    self.ping_indirectly(target, number, out);
                }
                probe::ProbeAction::Failed {
                    target,
                    helpers_silent,
                } => {
                    self.probe_failed(now, target, helpers_silent, out);
                }
                probe::ProbeAction::Nack { requester, probe } => {
                    self.send_to_member(requester, gossip::GossipKind::Nack { probe }, out);
                }
                probe::ProbeAction::NextPeriod => self.probe_next(now, out),
            }
        }
    }

    /// Periodically pings a random departed member, to detect that a partition has healed.
    ///
    /// Each side has declared the other dead and would otherwise never contact it again.
    pub(super) fn reconnect_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if now < self.timers.reconnect {
            return;
        }
        let jitter = self.choice.span(self.config.reconnect_interval / 4);
        self.timers.reconnect = now + self.config.reconnect_interval + jitter;
        if self.table.tombstones() == 0 {
            return;
        }
        let ping_left = self.config.ping_left_members;
        let departed = |m: &crate::member::MemberRecord| match m.state {
            member::MemberState::Gone => true,
            member::MemberState::Left => ping_left,
            member::MemberState::Alive | member::MemberState::Suspect => false,
        };
        let Some(record) = self.table.draw(&mut self.choice, departed) else {
            return;
        };
        let target = record.node;
        let number = self.probes.next_number();
        self.ping(target, number, out);
    }

    /// Records the sender's revision, and that this node has joined once it knows another member.
    ///
    /// A starting node may get messages that are meant for its predecessor at the same address. With
    /// nobody to compare its members with, it would try again only after an interval.
    pub(super) fn note_sender(
        &mut self,
        now: time::NodeTime,
        head: gossip::GossipHead,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if let Some(record) = self.table.get_mut(head.from) {
            record.revision = record.revision.max(head.revision);
        }
        if !self.joined && self.table.live() > 1 {
            self.joined = true;
            self.timers.sync = now;
            self.roster.expect_others(now);
            let members = self.table.live();
            let report = crate::effect::FleetReport::Joined { members };
            out.push(effect::FleetEffect::Report(report));
        }
    }

    /// Handles the payload of a datagram.
    pub(super) fn on_payload(
        &mut self,
        now: time::NodeTime,
        from: SocketAddr,
        message: &gossip::GossipMessage,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let sender = message.head.from;
        match &message.kind {
            gossip::GossipKind::Join => self.welcome(from, out),
            gossip::GossipKind::Ping { probe, .. } => self.answer_ping(from, sender, *probe, out),
            gossip::GossipKind::Ack { probe, of } => self.on_ack(now, *probe, *of, out),
            gossip::GossipKind::Nack { probe } => self.probes.on_nack(*probe),
            gossip::GossipKind::PingRequest { probe, target } => {
                self.relay_ping(now, sender, *probe, *target, out);
            }
            gossip::GossipKind::FactsRequest => {
                let updates = self.claim(self.local).into_iter().collect();
                self.send(from, gossip::GossipKind::Rumour, updates, out);
            }
            gossip::GossipKind::PullChanges { after } => {
                self.answer_pull(from, sender, *after, out);
            }
            gossip::GossipKind::Changes { changes } => {
                self.apply_changes(now, effect::RulePath::Peer(sender), changes, out);
            }
            gossip::GossipKind::CheckContactLease => self.renew_lease_soon(now),
            gossip::GossipKind::Census(message) => self.on_census(now, from, message, out),
            gossip::GossipKind::Welcome
            | gossip::GossipKind::Rumour
            | gossip::GossipKind::Quota(_)
            | gossip::GossipKind::Shutdown(_)
            | gossip::GossipKind::Quarantine { .. } => {}
        }
        self.request_facts(from, message, out);
    }

    /// Requests the facts of a sender that is not in the table.
    fn request_facts(
        &mut self,
        from: SocketAddr,
        message: &gossip::GossipMessage,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let known = self.table.get(message.head.from).is_some();
        if !known && message.kind != gossip::GossipKind::FactsRequest {
            self.send(from, gossip::GossipKind::FactsRequest, Vec::new(), out);
        }
    }

    fn welcome(&mut self, from: SocketAddr, out: &mut Vec<effect::FleetEffect>) {
        let mut chosen = vec![self.local];
        let mut bytes = 0;
        while chosen.len() <= WELCOME_MEMBERS && bytes < self.config.piggyback_bytes {
            let Some(peer) = self.table.draw_live(&mut self.choice, &chosen) else {
                break;
            };
            bytes += relay::claim_bytes(peer);
            chosen.push(peer.node);
        }
        let updates = chosen.into_iter().filter_map(|node| self.full_claim(node));
        let updates = updates.collect();
        self.send(from, gossip::GossipKind::Welcome, updates, out);
    }

    fn answer_ping(
        &mut self,
        from: SocketAddr,
        sender: ident::NodeId,
        probe: u32,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let of = self.local;
        let updates = self.updates_for(sender);
        self.send(from, gossip::GossipKind::Ack { probe, of }, updates, out);
    }

    fn on_ack(
        &mut self,
        now: time::NodeTime,
        probe: u32,
        of: ident::NodeId,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        match self.probes.on_ack(probe, of) {
            probe::ProbeAnswer::Alive => {
                self.health.improve();
                self.reach.record_answer();
            }
            probe::ProbeAnswer::Replaced { target } => {
                self.mark_departed(now, target, effect::DepartureReason::Replaced, out);
            }
            probe::ProbeAnswer::Relay { requester, probe } => {
                self.send_to_member(requester, gossip::GossipKind::Ack { probe, of }, out);
            }
            probe::ProbeAnswer::Unmatched => {}
        }
    }

    /// Pings `target` for `requester`, if both are known.
    fn relay_ping(
        &mut self,
        now: time::NodeTime,
        requester: ident::NodeId,
        requester_probe: u32,
        target: ident::NodeId,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        // A nack has to reach the requester before its probe interval ends.
        let nack_after = (self.config.probe_interval - self.config.indirect_after) * 3 / 5;
        let nack_at = now + nack_after;
        if self.table.get(target).is_none() || self.table.get(requester).is_none() {
            return;
        }
        if let Some(number) = self.probes.relay(requester, requester_probe, nack_at) {
            self.ping(target, number, out);
        }
    }

    fn probe_next(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let local = self.local;
        let table = &self.table;
        let target = loop {
            let refill = || {
                let others = table.all().iter();
                let others = others.filter(|m| m.node != local && m.state.is_live());
                others.map(|m| m.node).collect()
            };
            let Some(node) = self.probes.next_target(&mut self.choice, refill) else {
                return;
            };
            if table.get(node).is_some_and(|m| m.state.is_live()) {
                break node;
            }
        };
        let number = self.probes.open(target, now);
        self.ping(target, number, out);
    }

    pub(super) fn ping(
        &mut self,
        target: ident::NodeId,
        number: u32,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let kind = gossip::GossipKind::Ping {
            probe: number,
            to: target,
        };
        self.send_to_member(target, kind, out);
    }

    /// Sends `kind` to a known member, with the claims for it.
    fn send_to_member(
        &mut self,
        node: ident::NodeId,
        kind: gossip::GossipKind,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let Some(to) = self.table.get(node).map(|m| m.facts.udp) else {
            return;
        };
        let updates = self.updates_for(node);
        self.send(to, kind, updates, out);
    }

    /// The claims to piggyback for `receiver`; if it is not considered alive, they include the
    /// claim about itself, so that it can refute immediately.
    fn updates_for(&mut self, receiver: ident::NodeId) -> Vec<gossip::MemberUpdate> {
        let mut updates = self.take_updates(self.config.piggyback_bytes);
        let not_alive = |r: &&crate::member::MemberRecord| r.state != member::MemberState::Alive;
        if self.table.get(receiver).filter(not_alive).is_some() {
            updates.extend(self.claim(receiver));
        }
        updates
    }

    fn ping_indirectly(
        &mut self,
        target: ident::NodeId,
        number: u32,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let mut excluded = vec![self.local, target];
        for _ in 0..self.config.helpers {
            let Some(helper) = self.table.draw_live(&mut self.choice, &excluded) else {
                break;
            };
            let node = helper.node;
            excluded.push(node);
            let kind = gossip::GossipKind::PingRequest {
                probe: number,
                target,
            };
            self.send_to_member(node, kind, out);
        }
        self.probes.set_helpers(excluded.len() - 2);
    }

    fn probe_failed(
        &mut self,
        now: time::NodeTime,
        target: ident::NodeId,
        helpers_silent: bool,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.counters.probes_failed += 1;
        if self.config.lifeguard && helpers_silent {
            self.health.worsen();
        }
        self.accuse(now, target, out);
    }
}
