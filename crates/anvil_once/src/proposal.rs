//! Which owners a slot should have, in the view of this node.

use std::cmp;
use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::key;

use crate::{owner, peers, role, slots};

/// Nodes that are asked about a slot with unknown owners before the key is refused.
pub(crate) const MAX_LIKELY_OWNERS: usize = 3;

impl owner::KeyOwner {
    /// The record that should replace `current`, if this node would change it.
    pub(crate) fn proposal(
        &self,
        now: time::NodeTime,
        slot: key::SlotId,
        current: Option<key::SlotView>,
    ) -> Option<key::SlotView> {
        let Some(view) = current else {
            return self.first_record(slot);
        };
        let owned = self.owned(slot).filter(|owned| owned.epoch == view.epoch);
        match owned.map(|owned| &owned.role) {
            Some(role::SlotRole::Primary(role)) => self.primary_proposal(now, &view, role),
            Some(role::SlotRole::Backup(role)) if role.complete => {
                self.takeover_proposal(now, &view)
            }
            _ => self.orphan_proposal(now, &view),
        }
    }

    fn first_record(&self, slot: key::SlotId) -> Option<key::SlotView> {
        let view = key::SlotView {
            slot,
            epoch: key::SlotEpoch::FIRST,
            primary: self.own,
            backup: self.choose_backup(slot, &[]),
            proposer: self.own,
            lost: false,
        };
        (!self.leaving).then_some(view)
    }

    /// A primary replaces a backup that is missing or leaving, and hands over to its backup when it
    /// leaves itself.
    fn primary_proposal(
        &self,
        now: time::NodeTime,
        view: &key::SlotView,
        role: &role::PrimaryRole,
    ) -> Option<key::SlotView> {
        let usable = role.backup.filter(|backup| self.is_usable(now, *backup));
        match usable {
            Some(backup) if self.leaving && role.copy.is_none() => {
                Some(self.successor(view, backup, &[backup]))
            }
            Some(_) => None,
            None => {
                let next = self.successor(view, self.own, &[]);
                let missing = role
                    .backup
                    .is_some_and(|backup| self.is_missing(now, backup, self.policy.orphan_timeout));
                // A primary without a live peer may itself be partitioned. It waits before it goes
                // on without a backup, so that its backup has time to take over.
                (next.backup.is_some() || missing).then_some(next)
            }
        }
    }

    fn takeover_proposal(
        &self,
        now: time::NodeTime,
        view: &key::SlotView,
    ) -> Option<key::SlotView> {
        let missing = self.is_missing(now, view.primary, Duration::ZERO);
        missing.then(|| self.successor(view, self.own, &[view.primary]))
    }

    /// Takes over a slot whose records are lost: both owners are missing, or the remaining one has
    /// no complete copy.
    fn orphan_proposal(&self, now: time::NodeTime, view: &key::SlotView) -> Option<key::SlotView> {
        let wait = self.policy.orphan_timeout;
        let missing = |node: ident::NodeId| node == self.own || self.is_missing(now, node, wait);
        let orphaned = missing(view.primary) && view.backup.is_none_or(missing);
        let next = key::SlotView {
            lost: true,
            ..self.successor(view, self.own, &[view.primary])
        };
        (orphaned && !self.leaving).then_some(next)
    }

    fn successor(
        &self,
        view: &key::SlotView,
        primary: ident::NodeId,
        excluded: &[ident::NodeId],
    ) -> key::SlotView {
        key::SlotView {
            slot: view.slot,
            epoch: view.epoch.next(),
            primary,
            backup: self.choose_backup(view.slot, excluded),
            proposer: self.own,
            lost: false,
        }
    }

    fn choose_backup(
        &self,
        slot: key::SlotId,
        excluded: &[ident::NodeId],
    ) -> Option<ident::NodeId> {
        self.peers.choose(slot, &self.zone, excluded)
    }

    /// The node that should claim a slot without owners, in the view of this node.
    pub(crate) fn preferred_owner(&self, slot: key::SlotId) -> Option<ident::NodeId> {
        let weight = |node: &ident::NodeId| slots::node_weight(slot, *node);
        self.candidates().max_by_key(weight)
    }

    /// The nodes most likely to know a slot's owners, the preferred one first.
    pub(crate) fn likely_owners(&self, slot: key::SlotId) -> Vec<ident::NodeId> {
        let mut nodes: Vec<ident::NodeId> = self.candidates().collect();
        nodes.sort_by_cached_key(|node| cmp::Reverse(slots::node_weight(slot, *node)));
        nodes.truncate(MAX_LIKELY_OWNERS);
        nodes
    }

    fn candidates(&self) -> impl Iterator<Item = ident::NodeId> {
        let alive = |peer: &&peers::KeyPeer| peer.health == peers::PeerHealth::Alive;
        let others = self.peers.list().iter().filter(alive).map(|peer| peer.node);
        let own = (!self.leaving).then_some(self.own);
        others.chain(own)
    }

    fn is_usable(&self, now: time::NodeTime, node: ident::NodeId) -> bool {
        let leaving = self
            .peers
            .get(node)
            .is_some_and(|peer| peer.health == peers::PeerHealth::Leaving);
        !leaving && !self.is_missing(now, node, Duration::ZERO)
    }
}
