//! A fresh node's comparison of its members with peers, before it serves.

use anvil_types::{ident, time};
use anvil_wire::gossip;

use crate::{effect, fleet, roster};

impl fleet::FleetState {
    /// Begins without a comparison where nobody has answered for long enough.
    pub(super) fn compare_when_due(&mut self, now: time::NodeTime) {
        if self.roster.next_wake().is_some_and(|due| due <= now) {
            self.roster.finish();
        }
    }

    /// With whom a fresh node compares its members: any that is not known to be fresh too.
    ///
    /// Those that let it in are asked last: many nodes that start at once would all ask the same.
    pub(super) fn compared_partner(&mut self) -> Option<ident::NodeId> {
        let mut except = self.roster.newcomers().to_vec();
        except.push(self.local);
        except.extend(&self.rules.ready_peers);
        if let Some(drawn) = self.table.draw_live(&mut self.choice, &except) {
            return Some(drawn.node);
        }
        let heard = &self.rules.ready_peers;
        let serves = |m: &crate::member::MemberRecord| m.state.is_live() && heard.contains(&m.node);
        let drawn = self.table.draw(&mut self.choice, serves)?;
        Some(drawn.node)
    }

    /// What a fresh node says of itself beside a digest: a peer that has not heard of it would
    /// have no address to answer to.
    pub(super) fn introduction(&self) -> Vec<gossip::MemberUpdate> {
        if self.roster.is_compared() {
            return Vec::new();
        }
        self.claim(self.local).into_iter().collect()
    }

    /// Takes in that this node knows all that `head`'s sender knows.
    pub(super) fn members_compared(
        &mut self,
        now: time::NodeTime,
        head: gossip::GossipHead,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if self.roster.is_compared() {
            return;
        }
        if head.ready {
            self.roster.finish();
        } else {
            self.compared_with_newcomer(now, head.from);
        }
        self.become_ready(now, out);
    }

    /// Goes on to the next peer, or begins where all that answer are fresh themselves.
    fn compared_with_newcomer(&mut self, now: time::NodeTime, peer: ident::NodeId) {
        self.roster.note_newcomer(peer, self.table.live());
        let others_serve = !self.rules.ready_peers.is_empty();
        if !others_serve && self.roster.newcomers().len() >= roster::NEWCOMERS_COMPARED {
            self.roster.finish();
        } else {
            self.timers.sync = now;
        }
    }
}
