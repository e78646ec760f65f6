//! Obtaining newer rules from members, and sending them to members that lack them.

use std::net::SocketAddr;

use anvil_types::{ident, time};
use anvil_wire::gossip;

use crate::{effect, fleet, member, spread};

/// Maximum size of the changes on a datagram, in bytes; larger ones are sent over TCP.
const MAX_DATAGRAM_CHANGE_BYTES: usize = 900;

impl fleet::FleetState {
    /// Sends the changes after `after` to a member that pulls them.
    pub(super) fn answer_pull(
        &mut self,
        from: SocketAddr,
        peer: ident::NodeId,
        after: ident::RuleRevision,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if after >= self.revision() {
            return;
        }
        let Some(mut changes) = self.rules.log.since(after) else {
            let destination = effect::SnapshotDestination::Peer(peer);
            out.push(effect::FleetEffect::EncodeSnapshot { destination });
            return;
        };
        changes.truncate(gossip::MAX_CHANGES);
        let bytes: usize = changes.iter().map(|change| change.body.len() + 32).sum();
        if bytes <= MAX_DATAGRAM_CHANGE_BYTES {
            self.send(
                from,
                gossip::GossipKind::Changes { changes },
                Vec::new(),
                out,
            );
        } else {
            self.send_changes(peer, None, changes, out);
        }
    }

    pub(super) fn pull(
        &mut self,
        now: time::NodeTime,
        from: SocketAddr,
        revision: ident::RuleRevision,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let after = self.revision();
        self.rules.pull = Some(spread::OpenPull {
            from,
            revision,
            retry_at: now + spread::PULL_RETRY,
        });
        self.counters.rule_pulls += 1;
        self.send(
            from,
            gossip::GossipKind::PullChanges { after },
            Vec::new(),
            out,
        );
    }

    /// Pulls again, from random members, if no answer arrived in time.
    ///
    /// Complete rules go over a connection, which may be silent without a sign, as may those of the
    /// other members. They are read from the store as well, also if it failed before.
    pub(super) fn retry_pull(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let Some(pull) = self.rules.pull.filter(|pull| pull.retry_at <= now) else {
            return;
        };
        if pull.revision <= self.revision() {
            self.rules.pull = None;
            return;
        }
        if self.config.document.is_some() {
            self.rules.read_at.get_or_insert(now);
        }
        let mut members = self.draw_pull_members();
        if members.is_empty() {
            members.push(pull.from);
        }
        for from in members {
            self.pull(now, from, pull.revision, out);
        }
    }

    /// Members to pull from: one that is known to be ahead, and others, of which most are ahead soon
    /// after the first.
    fn draw_pull_members(&mut self) -> Vec<SocketAddr> {
        let held = self.revision();
        let ahead = |m: &member::MemberRecord| m.state.is_live() && m.revision > held;
        let first = self.table.draw(&mut self.choice, ahead);
        let mut drawn = vec![self.local];
        drawn.extend(first.map(|m| m.node));
        while drawn.len() <= spread::PULL_RETRY_MEMBERS {
            let Some(other) = self.table.draw_live(&mut self.choice, &drawn) else {
                break;
            };
            drawn.push(other.node);
        }
        let records = drawn[1..].iter().filter_map(|node| self.table.get(*node));
        records.map(|m| m.facts.udp).collect()
    }

    pub(super) fn send_changes(
        &mut self,
        peer: ident::NodeId,
        snapshot: Option<gossip::LoggedChange>,
        changes: Vec<gossip::LoggedChange>,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let head = self.head();
        let message = gossip::SyncMessage::Changes {
            head,
            snapshot,
            changes,
        };
        self.send_sync(peer, message, out);
    }
}
