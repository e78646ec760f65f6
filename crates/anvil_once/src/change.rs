//! Changes of a slot's owners, through the platform's store.
//!
//! Every change is a read followed by a swap of the version read. Whatever comes of the swap, the
//! node acts on records that it has read or heard of, never on what it hoped to write.

use std::cmp;
use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::key;

use crate::{effect, event, owner, peers, primary, slots, table};

/// Nodes asked about a slot whose owners are unknown, before its key is refused.
pub(crate) const LIKELY_NODES: usize = 3;

/// Where a change stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ChangeStage {
    /// The record was asked for.
    Reading,
    /// A new record was proposed.
    Swapping(key::SlotView),
    /// The store did not answer; nothing is asked until `sent` lies far enough back.
    Resting,
}

/// A change of one slot under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SlotChange {
    slot: key::SlotId,
    id: effect::AskId,
    sent: time::NodeTime,
    stage: ChangeStage,
}

impl owner::KeyOwner {
    /// Reads a slot's record, to change it where that is still called for.
    pub(crate) fn begin_change(&mut self, now: time::NodeTime, slot: key::SlotId) {
        let rested = |change: &SlotChange| {
            change.stage == ChangeStage::Resting
                && now.since(change.sent) >= self.policy.store_retry
        };
        match self.change_place(slot) {
            Ok(at) if rested(&self.changes[at]) => {
                self.changes.remove(at);
            }
            Ok(_) => return,
            Err(_) => {}
        }
        let ask = effect::StoreAsk::Read { slot };
        self.ask_store(now, slot, ChangeStage::Reading, ask);
    }

    pub(crate) fn take_reply(
        &mut self,
        now: time::NodeTime,
        id: effect::AskId,
        reply: event::StoreReply,
    ) {
        let Some(at) = self.changes.iter().position(|change| change.id == id) else {
            return;
        };
        let change = self.changes[at];
        if reply == event::StoreReply::Unknown {
            self.rest(now, at);
            return;
        }
        self.changes.remove(at);
        let sent = Some(change.sent);
        match (reply, change.stage) {
            (event::StoreReply::Found(found), _) => {
                if let Some((view, _)) = found {
                    self.learn(now, view, sent);
                }
                self.propose(now, change.slot, found);
            }
            (event::StoreReply::Swapped { .. }, ChangeStage::Swapping(view)) => {
                self.learn(now, view, sent);
            }
            (event::StoreReply::Conflict(Some((view, _))), _) => {
                self.counters.store_conflict += 1;
                self.learn(now, view, sent);
            }
            _ => {}
        }
    }

    /// Asks nothing about a slot for a while.
    ///
    /// A swap may have taken effect and its answer got lost. Repeating it blindly could undo a
    /// later change; the next read tells what stands there.
    fn rest(&mut self, now: time::NodeTime, at: usize) {
        self.counters.store_unknown += 1;
        self.changes[at].stage = ChangeStage::Resting;
        self.changes[at].sent = now;
        self.wake_at(now + self.policy.store_retry);
    }

    /// Whether the store did not answer about `slot` a moment ago.
    pub(crate) fn is_resting(&self, slot: key::SlotId) -> bool {
        let at = self.change_place(slot).ok();
        at.is_some_and(|at| self.changes[at].stage == ChangeStage::Resting)
    }

    fn propose(
        &mut self,
        now: time::NodeTime,
        slot: key::SlotId,
        found: Option<(key::SlotView, u64)>,
    ) {
        let current = found.map(|(view, _)| view);
        // Someone may have told of a newer record than the one read a moment ago.
        if self.views.get(slot) != current {
            return;
        }
        let Some(view) = self.proposal(now, slot, current) else {
            return;
        };
        let expected = found.map(|(_, version)| version);
        let ask = effect::StoreAsk::Swap { expected, view };
        self.ask_store(now, slot, ChangeStage::Swapping(view), ask);
    }

    /// The record that this node would like in place of `current`, if any.
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
            Some(primary::SlotRole::Primary(role)) => self.primary_proposal(now, &view, role),
            Some(primary::SlotRole::Backup(role)) if role.whole => {
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

    /// A primary replaces a backup that is missing or leaves, and hands over when it leaves itself.
    fn primary_proposal(
        &self,
        now: time::NodeTime,
        view: &key::SlotView,
        role: &primary::PrimaryRole,
    ) -> Option<key::SlotView> {
        let usable = role.backup.filter(|backup| self.is_usable(now, *backup));
        match usable {
            Some(backup) if self.leaving && role.copy.is_none() => {
                Some(self.successor(view, backup, &[backup]))
            }
            Some(_) => None,
            None => {
                let next = self.successor(view, self.own, &[]);
                let gone = role
                    .backup
                    .is_some_and(|backup| self.is_missing(now, backup, self.policy.orphan_wait));
                // A primary that hears nobody may itself be the one cut off: its backup gets the
                // time to take over before the primary goes on alone.
                (next.backup.is_some() || gone).then_some(next)
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

    /// Both owners are missing, or the one left has no whole copy: the records are lost.
    fn orphan_proposal(&self, now: time::NodeTime, view: &key::SlotView) -> Option<key::SlotView> {
        let wait = self.policy.orphan_wait;
        let gone = |node: ident::NodeId| node == self.own || self.is_missing(now, node, wait);
        let orphaned = gone(view.primary) && view.backup.is_none_or(gone);
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
        taken: &[ident::NodeId],
    ) -> key::SlotView {
        key::SlotView {
            slot: view.slot,
            epoch: view.epoch.next(),
            primary,
            backup: self.choose_backup(view.slot, taken),
            proposer: self.own,
            lost: false,
        }
    }

    fn choose_backup(&self, slot: key::SlotId, taken: &[ident::NodeId]) -> Option<ident::NodeId> {
        self.peers.choose(slot, &self.zone, taken)
    }

    /// The node that would take a slot without owners, as far as this node knows.
    pub(crate) fn preferred(&self, slot: key::SlotId) -> Option<ident::NodeId> {
        let weight = |node: &ident::NodeId| slots::node_weight(slot, *node);
        self.candidates().max_by_key(weight)
    }

    /// The nodes most likely to know a slot's owners, the preferred one first.
    pub(crate) fn likely(&self, slot: key::SlotId) -> Vec<ident::NodeId> {
        let mut nodes: Vec<ident::NodeId> = self.candidates().collect();
        nodes.sort_by_cached_key(|node| cmp::Reverse(slots::node_weight(slot, *node)));
        nodes.truncate(LIKELY_NODES);
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

    /// Takes in a record of the store, read by this node at `confirmed` or by another one;
    /// returns whether it is news.
    pub(crate) fn learn(
        &mut self,
        now: time::NodeTime,
        view: key::SlotView,
        confirmed: Option<time::NodeTime>,
    ) -> bool {
        let news = self.views.learn(view);
        if news {
            self.adopt(now, view);
        }
        self.confirm(now, view, confirmed);
        news
    }

    /// Notes when the store last named this node as the primary.
    fn confirm(
        &mut self,
        now: time::NodeTime,
        view: key::SlotView,
        confirmed: Option<time::NodeTime>,
    ) {
        let Some(owned) = self.owned_mut(view.slot) else {
            return;
        };
        let current = owned.epoch == view.epoch;
        let Some(role) = owned.primary_mut().filter(|_| current) else {
            return;
        };
        role.confirmed = role.confirmed.max(confirmed);
        // A primary told of its role by another node reads the record before it grants.
        if role.confirmed.is_none() {
            self.begin_change(now, view.slot);
        }
    }

    /// Makes this node's part in a slot follow a new record.
    fn adopt(&mut self, now: time::NodeTime, view: key::SlotView) {
        let before = match self.place(view.slot) {
            Ok(at) => Some(self.slots.remove(at)),
            Err(_) => None,
        };
        let other = before.as_ref().and_then(primary::OwnedSlot::other);
        let was_primary = before
            .as_ref()
            .is_some_and(|owned| owned.primary().is_some());
        if was_primary && view.primary != self.own && view.proposer == self.own {
            self.counters.handed_over += 1;
        }
        if view.primary == self.own {
            self.adopt_primary(now, view, before);
        } else if view.backup == Some(self.own) {
            self.adopt_backup(view);
        }
        // The other owner of the last epoch may live: it grants as soon as it knows that it
        // succeeds, and leaves as soon as it knows that it is replaced.
        if let Some(other) = other.filter(|_| view.proposer == self.own) {
            self.send(other, key::KeyMessage::View(view));
        }
    }

    fn adopt_primary(
        &mut self,
        now: time::NodeTime,
        view: key::SlotView,
        before: Option<primary::OwnedSlot>,
    ) {
        let follows = |owned: &&primary::OwnedSlot| {
            owned.is_whole() && owned.epoch.next() == view.epoch && !view.lost
        };
        let whole = view.epoch == key::SlotEpoch::FIRST
            || before.as_ref().is_some_and(|owned| follows(&owned));
        let takes_over = before
            .as_ref()
            .is_none_or(|owned| owned.primary().is_none());
        let (table, order, doubt, pending) = match before {
            Some(owned) => split(owned),
            None => (table::KeyTable::default(), 0, None, Vec::new()),
        };
        let doubt = if whole {
            doubt
        } else {
            Some(now + self.policy.retention)
        };
        let role = primary::PrimaryRole {
            backup: view.backup,
            copy: None,
            pending,
            confirmed: None,
        };
        let order = order.max(table.highest_order());
        let role = primary::SlotRole::Primary(role);
        self.install(view, table, (order, doubt), role);
        self.count_takeover(&view, whole, takes_over);
        self.start_copy(now, view.slot);
    }

    fn adopt_backup(&mut self, view: key::SlotView) {
        let role = primary::BackupRole {
            primary: view.primary,
            next_part: 0,
            // The first record of a slot has nothing to copy, but the primary sends an empty copy
            // all the same, so that there is one way only.
            whole: false,
        };
        let role = primary::SlotRole::Backup(role);
        self.install(view, table::KeyTable::default(), (0, None), role);
    }

    fn install(
        &mut self,
        view: key::SlotView,
        table: table::KeyTable,
        past: (u64, Option<time::NodeTime>),
        role: primary::SlotRole,
    ) {
        let (order, doubt) = past;
        let owned = primary::OwnedSlot {
            slot: view.slot,
            epoch: view.epoch,
            table,
            order,
            doubt,
            role,
        };
        let (Ok(at) | Err(at)) = self.place(view.slot);
        self.slots.insert(at, owned);
    }

    fn count_takeover(&mut self, view: &key::SlotView, whole: bool, takes_over: bool) {
        let (slot, epoch) = (view.slot, view.epoch);
        if !whole {
            self.counters.taken_lost += 1;
            let text = format!("slot taken without its records: slot={slot} epoch={epoch}");
            self.push(effect::KeyEffect::Report(text));
        } else if takes_over && epoch != key::SlotEpoch::FIRST {
            self.counters.taken_over += 1;
            let text = format!("slot taken over: slot={slot} epoch={epoch}");
            self.push(effect::KeyEffect::Report(text));
        }
    }

    /// Asks the store about every owned slot whose owners should change.
    pub(crate) fn check_slots(&mut self, now: time::NodeTime) {
        let slots: Vec<_> = self.slots.iter().map(|owned| owned.slot).collect();
        for slot in slots {
            if self.proposal(now, slot, self.views.get(slot)).is_some() {
                self.begin_change(now, slot);
            }
        }
    }

    pub(crate) fn tick_changes(&mut self, now: time::NodeTime) {
        self.check_slots(now);
        let every = self.policy.confirm_every;
        let due = |owned: &&primary::OwnedSlot| {
            let confirmed = owned.primary().map(|role| role.confirmed);
            confirmed.is_some_and(|at| at.is_none_or(|at| now.since(at) >= every))
        };
        let slots: Vec<_> = self
            .slots
            .iter()
            .filter(due)
            .map(|owned| owned.slot)
            .collect();
        for slot in slots {
            self.begin_change(now, slot);
        }
        for at in 0..self.changes.len() {
            let change = &self.changes[at];
            let late = now.since(change.sent) >= self.policy.store_timeout;
            if change.stage != ChangeStage::Resting && late {
                self.rest(now, at);
            }
        }
        let retry = self.policy.store_retry;
        let over = |change: &SlotChange| {
            change.stage == ChangeStage::Resting && now.since(change.sent) > retry
        };
        self.changes.retain(|change| !over(change));
    }

    /// Claims slots that this node would own and that have no record yet.
    ///
    /// A slot claimed only when its first key comes would refuse that key in an outage of the
    /// store; one claimed ahead needs no store.
    pub(crate) fn claim_ahead(&mut self, now: time::NodeTime) {
        if self.leaving || now.since(self.started) < self.policy.claim_delay {
            return;
        }
        for _ in 0..self.policy.claim_slots {
            let slot = key::SlotId(self.claim_next);
            self.claim_next = (self.claim_next + 1) % slots::SLOT_COUNT;
            if self.views.get(slot).is_none() && self.preferred(slot) == Some(self.own) {
                self.begin_change(now, slot);
            }
        }
    }

    fn ask_store(
        &mut self,
        now: time::NodeTime,
        slot: key::SlotId,
        stage: ChangeStage,
        ask: effect::StoreAsk,
    ) {
        self.last_ask += 1;
        self.counters.store_asked += 1;
        let id = effect::AskId(self.last_ask);
        let change = SlotChange {
            slot,
            id,
            sent: now,
            stage,
        };
        let (Ok(at) | Err(at)) = self.change_place(slot);
        self.changes.insert(at, change);
        self.push(effect::KeyEffect::AskStore { id, ask });
    }

    fn change_place(&self, slot: key::SlotId) -> Result<usize, usize> {
        self.changes
            .binary_search_by_key(&slot, |change| change.slot)
    }
}

type SlotPast = (
    table::KeyTable,
    u64,
    Option<time::NodeTime>,
    Vec<primary::PendingGrant>,
);

fn split(owned: primary::OwnedSlot) -> SlotPast {
    let pending = match owned.role {
        primary::SlotRole::Primary(role) => role.pending,
        primary::SlotRole::Backup(_) => Vec::new(),
    };
    (owned.table, owned.order, owned.doubt, pending)
}
