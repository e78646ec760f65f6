//! The backup's side: it holds a copy of the primary's records.

use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::key;

use crate::{owner, role};

impl owner::KeyOwner {
    /// Keeps one record and acknowledges it.
    pub(crate) fn keep_record(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        at: (key::SlotId, key::SlotEpoch),
        record: key::KeyRecord,
    ) {
        let (slot, epoch) = at;
        let order = record.order;
        let checked = self.policy.guards.epoch_check;
        let held = match self.backup_of(at, from) {
            Some(owned) => owned.table.merge(now, record),
            // A primary that was replaced while it was paused would get the acknowledgement that
            // its new grant needs, though the key is held by another call of the next epoch. The
            // epoch tells that its time is over.
            None if checked => {
                self.refuse_epoch(from, at);
                return;
            }
            None => {
                if let Some(owned) = self.owned_mut(slot) {
                    owned.table.merge(now, record);
                }
                true
            }
        };
        if held {
            let message = key::KeyMessage::Recorded { slot, epoch, order };
            self.send(from, message);
        }
    }

    pub(crate) fn erase_record(
        &mut self,
        at: (key::SlotId, key::SlotEpoch),
        key: ident::RequestKey,
        order: u64,
    ) {
        let (slot, epoch) = at;
        let Some(owned) = self.owned_mut(slot) else {
            return;
        };
        let older = owned
            .table
            .get(key)
            .is_some_and(|entry| entry.order < order);
        if owned.epoch == epoch && owned.primary().is_none() && older {
            owned.table.remove(key);
        }
    }

    /// Keeps one part of a copy and acknowledges it.
    pub(crate) fn keep_part(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        view: &key::SlotView,
        place: (u32, bool),
        records: Vec<key::KeyRecord>,
    ) {
        let (part, last) = place;
        let at = (view.slot, view.epoch);
        let Some(owned) = self.backup_of(at, from) else {
            self.refuse_epoch(from, at);
            return;
        };
        let role::SlotRole::Backup(role) = &mut owned.role else {
            return;
        };
        if part > role.next_part {
            return;
        }
        if part == role.next_part {
            role.next_part += 1;
            role.whole = role.whole || last;
            for record in records {
                owned.table.merge(now, record);
            }
        }
        let message = key::KeyMessage::Copied {
            slot: view.slot,
            epoch: view.epoch,
            part,
        };
        self.send(from, message);
    }

    /// Takes over for how long unknown keys stay in doubt.
    pub(crate) fn keep_doubt(
        &mut self,
        now: time::NodeTime,
        view: &key::SlotView,
        doubt: Duration,
    ) {
        let at = (view.slot, view.epoch);
        if let Some(owned) = self.backup_of(at, view.primary)
            && !doubt.is_zero()
        {
            owned.doubt = Some(now + doubt);
        }
    }

    fn backup_of(
        &mut self,
        at: (key::SlotId, key::SlotEpoch),
        from: ident::NodeId,
    ) -> Option<&mut role::OwnedSlot> {
        let owned = self.owned_mut(at.0)?;
        let role::SlotRole::Backup(role) = &owned.role else {
            return None;
        };
        (role.primary == from && owned.epoch == at.1).then_some(owned)
    }

    /// Tells a primary of an earlier epoch that it was replaced.
    fn refuse_epoch(&mut self, from: ident::NodeId, at: (key::SlotId, key::SlotEpoch)) {
        let (slot, epoch) = at;
        let newer = self.views.get(slot).filter(|view| view.epoch > epoch);
        if let Some(view) = newer {
            self.counters.stale_epoch += 1;
            self.send(from, key::KeyMessage::View(view));
        }
    }
}
