//! How a node's part in a slot follows the records that it reads or hears of.

use anvil_types::{ident, time};
use anvil_wire::key;

use crate::{effect, owner, role, table};

impl owner::KeyOwner {
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

    /// When a view told by its own proposer was confirmed at the latest.
    ///
    /// The proposer tells as soon as it knows, and no connection delivers a message minutes later,
    /// so a successor grants at once and reads the record in its turn. A view passed on by another
    /// node may be of any age and confirms nothing.
    pub(crate) fn told_by_proposer(
        &self,
        now: time::NodeTime,
        from: ident::NodeId,
        view: &key::SlotView,
    ) -> Option<time::NodeTime> {
        let span = u64::try_from(self.policy.confirm_interval.as_micros()).unwrap_or(u64::MAX);
        (from == view.proposer).then(|| time::NodeTime(now.0.saturating_sub(span)))
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
        let other = before.as_ref().and_then(role::OwnedSlot::other);
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
        before: Option<role::OwnedSlot>,
    ) {
        let follows = |owned: &&role::OwnedSlot| {
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
        let role = role::PrimaryRole {
            backup: view.backup,
            copy: None,
            pending,
            confirmed: None,
        };
        let order = order.max(table.highest_order());
        let role = role::SlotRole::Primary(role);
        self.install(view, table, (order, doubt), role);
        self.count_takeover(&view, whole, takes_over);
        self.start_copy(now, view.slot);
    }

    fn adopt_backup(&mut self, view: key::SlotView) {
        let role = role::BackupRole {
            primary: view.primary,
            next_part: 0,
            // The first record of a slot has nothing to copy, but the primary sends an empty copy
            // all the same, so that there is one way only.
            whole: false,
        };
        let role = role::SlotRole::Backup(role);
        self.install(view, table::KeyTable::default(), (0, None), role);
    }

    fn install(
        &mut self,
        view: key::SlotView,
        table: table::KeyTable,
        past: (u64, Option<time::NodeTime>),
        role: role::SlotRole,
    ) {
        let (order, doubt) = past;
        let owned = role::OwnedSlot {
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
}

type SlotPast = (
    table::KeyTable,
    u64,
    Option<time::NodeTime>,
    Vec<role::PendingGrant>,
);

fn split(owned: role::OwnedSlot) -> SlotPast {
    let pending = match owned.role {
        role::SlotRole::Primary(role) => role.pending,
        role::SlotRole::Backup(_) => Vec::new(),
    };
    (owned.table, owned.order, owned.doubt, pending)
}
