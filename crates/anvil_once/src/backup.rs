//! The backup's side: holding a copy of the primary's records.

use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::key;

use crate::{owner, role};

impl owner::KeyOwner {
    /// Stores one record and acknowledges it.
    pub(crate) fn handle_record(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        slot_epoch: (key::SlotId, key::SlotEpoch),
        record: key::KeyRecord,
    ) {
        let (slot, epoch) = slot_epoch;
        let order = record.order;
        let checked = self.policy.guards.epoch_check;
        let held = match self.backup_of(slot_epoch, from) {
            Some(owned) => owned.table.merge(now, record),
            // A primary that was replaced while its process was paused would receive the
            // acknowledgement that it needs for a grant, although another call may hold the key in
            // the next epoch. The epoch check rejects its record.
            None if checked => {
                self.reject_stale_epoch(from, slot_epoch);
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
        slot_epoch: (key::SlotId, key::SlotEpoch),
        key: ident::RequestKey,
        order: u64,
    ) {
        let (slot, epoch) = slot_epoch;
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

    /// Stores one part of a copy and acknowledges it.
    pub(crate) fn handle_copy_part(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        view: &key::SlotView,
        part_and_last: (u32, bool),
        records: Vec<key::KeyRecord>,
    ) {
        let (part, last) = part_and_last;
        let slot_epoch = (view.slot, view.epoch);
        let Some(owned) = self.backup_of(slot_epoch, from) else {
            self.reject_stale_epoch(from, slot_epoch);
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
            role.complete = role.complete || last;
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

    /// Stores for how long the primary still counts unknown keys as possibly run.
    pub(crate) fn set_uncertainty(
        &mut self,
        now: time::NodeTime,
        view: &key::SlotView,
        uncertainty: Duration,
    ) {
        let slot_epoch = (view.slot, view.epoch);
        if let Some(owned) = self.backup_of(slot_epoch, view.primary)
            && !uncertainty.is_zero()
        {
            owned.uncertain_until = Some(now + uncertainty);
        }
    }

    fn backup_of(
        &mut self,
        slot_epoch: (key::SlotId, key::SlotEpoch),
        from: ident::NodeId,
    ) -> Option<&mut role::OwnedSlot> {
        let owned = self.owned_mut(slot_epoch.0)?;
        let role::SlotRole::Backup(role) = &owned.role else {
            return None;
        };
        (role.primary == from && owned.epoch == slot_epoch.1).then_some(owned)
    }

    /// Sends the current view to a primary of an earlier epoch, which has been replaced.
    fn reject_stale_epoch(
        &mut self,
        from: ident::NodeId,
        slot_epoch: (key::SlotId, key::SlotEpoch),
    ) {
        let (slot, epoch) = slot_epoch;
        let newer = self.views.get(slot).filter(|view| view.epoch > epoch);
        if let Some(view) = newer {
            self.counters.stale_epoch += 1;
            self.send(from, key::KeyMessage::View(view));
        }
    }
}
