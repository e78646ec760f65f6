//! Updating a node's role in a slot to the records that it reads or receives.

use anvil_types::{ident, time};
use anvil_wire::key;

use crate::{effect, owner, role, table};

impl owner::KeyOwner {
    /// Applies a record of the store; returns whether it is newer than the known one.
    ///
    /// `confirmed_at` is the time at which the store is known to have held it, or `None` if only
    /// another node said so.
    pub(crate) fn learn(
        &mut self,
        now: time::NodeTime,
        view: key::SlotView,
        confirmed_at: Option<time::NodeTime>,
    ) -> bool {
        let is_newer = self.views.learn(view);
        if is_newer {
            self.adopt(now, view);
        }
        self.confirm(now, view, confirmed_at);
        is_newer
    }

    /// A time by which the store has confirmed a view that was received from its proposer.
    ///
    /// The proposer sends the view as soon as the swap has taken effect, and no connection delivers
    /// a message minutes late. So a new primary can grant keys at once and read the record at the
    /// next tick. A view that another node forwards may be of any age and confirms nothing.
    pub(crate) fn confirmed_by_proposer(
        &self,
        now: time::NodeTime,
        from: ident::NodeId,
        view: &key::SlotView,
    ) -> Option<time::NodeTime> {
        let span = u64::try_from(self.policy.confirm_interval.as_micros()).unwrap_or(u64::MAX);
        (from == view.proposer).then(|| time::NodeTime(now.0.saturating_sub(span)))
    }

    /// Updates when the store last confirmed this node as the primary.
    fn confirm(
        &mut self,
        now: time::NodeTime,
        view: key::SlotView,
        confirmed_at: Option<time::NodeTime>,
    ) {
        let Some(owned) = self.owned_mut(view.slot) else {
            return;
        };
        let current = owned.epoch == view.epoch;
        let Some(role) = owned.primary_mut().filter(|_| current) else {
            return;
        };
        role.confirmed_at = role.confirmed_at.max(confirmed_at);
        // A primary that learnt of its role from another node reads the record before it grants.
        if role.confirmed_at.is_none() {
            self.begin_change(now, view.slot);
        }
    }

    /// Changes this node's role in a slot according to a new record.
    fn adopt(&mut self, now: time::NodeTime, view: key::SlotView) {
        let previous = match self.slot_position(view.slot) {
            Ok(at) => Some(self.slots.remove(at)),
            Err(_) => None,
        };
        let other = previous.as_ref().and_then(role::OwnedSlot::other);
        let was_primary = previous
            .as_ref()
            .is_some_and(|owned| owned.primary().is_some());
        if was_primary && view.primary != self.own && view.proposer == self.own {
            self.counters.handed_over += 1;
        }
        if view.primary == self.own {
            self.adopt_primary(now, view, previous);
        } else if view.backup == Some(self.own) {
            self.adopt_backup(view);
        }
        // The other owner of the previous epoch may be alive. A successor can grant keys as soon as
        // it knows its role, and a replaced owner can stop as soon as it knows that it is one.
        if let Some(other) = other.filter(|_| view.proposer == self.own) {
            self.send(other, key::KeyMessage::View(view));
        }
    }

    fn adopt_primary(
        &mut self,
        now: time::NodeTime,
        view: key::SlotView,
        previous: Option<role::OwnedSlot>,
    ) {
        let follows = |owned: &&role::OwnedSlot| {
            owned.is_complete() && owned.epoch.next() == view.epoch && !view.lost
        };
        let complete = view.epoch == key::SlotEpoch::FIRST
            || previous.as_ref().is_some_and(|owned| follows(&owned));
        let takes_over = previous
            .as_ref()
            .is_none_or(|owned| owned.primary().is_none());
        let (table, order, uncertain_until, pending) = match previous {
            Some(owned) => into_history(owned),
            None => (table::KeyTable::default(), 0, None, Vec::new()),
        };
        let uncertain_until = if complete {
            uncertain_until
        } else {
            Some(now + self.policy.retention)
        };
        let role = role::PrimaryRole {
            backup: view.backup,
            copy: None,
            pending,
            confirmed_at: None,
        };
        let order = order.max(table.highest_order());
        let role = role::SlotRole::Primary(role);
        self.install(view, table, (order, uncertain_until), role);
        self.count_takeover(&view, complete, takes_over);
        self.start_copy(now, view.slot);
    }

    fn adopt_backup(&mut self, view: key::SlotView) {
        let role = role::BackupRole {
            primary: view.primary,
            next_part: 0,
            // The primary of a new slot has nothing to copy but sends an empty copy all the same,
            // so that there is only one path to a complete backup.
            complete: false,
        };
        let role = role::SlotRole::Backup(role);
        self.install(view, table::KeyTable::default(), (0, None), role);
    }

    fn install(
        &mut self,
        view: key::SlotView,
        table: table::KeyTable,
        history: (u64, Option<time::NodeTime>),
        role: role::SlotRole,
    ) {
        let (order, uncertain_until) = history;
        let owned = role::OwnedSlot {
            slot: view.slot,
            epoch: view.epoch,
            table,
            order,
            uncertain_until,
            role,
        };
        let (Ok(at) | Err(at)) = self.slot_position(view.slot);
        self.slots.insert(at, owned);
    }

    fn count_takeover(&mut self, view: &key::SlotView, complete: bool, takes_over: bool) {
        let (slot, epoch) = (view.slot, view.epoch);
        if !complete {
            self.counters.taken_lost += 1;
            let text = format!("slot taken over without its records: slot={slot} epoch={epoch}");
            self.push(effect::KeyEffect::Report(text));
        } else if takes_over && epoch != key::SlotEpoch::FIRST {
            self.counters.taken_over += 1;
            let text = format!("slot taken over: slot={slot} epoch={epoch}");
            self.push(effect::KeyEffect::Report(text));
        }
    }
}

type SlotHistory = (
    table::KeyTable,
    u64,
    Option<time::NodeTime>,
    Vec<role::PendingGrant>,
);

fn into_history(owned: role::OwnedSlot) -> SlotHistory {
    let pending = match owned.role {
        role::SlotRole::Primary(role) => role.pending,
        role::SlotRole::Backup(_) => Vec::new(),
    };
    (owned.table, owned.order, owned.uncertain_until, pending)
}
