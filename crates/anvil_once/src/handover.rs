//! Copying a slot's records to a new backup, and the planned stop of a node.

use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::key;

use crate::{owner, role};

impl owner::KeyOwner {
    /// Starts a planned stop: primaries hand over to their backups, and backups are replaced.
    ///
    /// A primary hands over only once its backup holds all records, so that a stop loses none.
    pub(crate) fn leave(&mut self, now: time::NodeTime) {
        self.leaving = true;
        self.check_slots(now);
    }

    /// Starts to send all records of a slot to its new backup; no new key is granted meanwhile.
    pub(crate) fn start_copy(&mut self, now: time::NodeTime, slot: key::SlotId) {
        let backup = self.owned(slot).and_then(|owned| owned.primary()?.backup);
        match backup {
            Some(_) => self.begin_part(now, slot, 0, None),
            None => self.grant_pending(slot),
        }
    }

    pub(crate) fn continue_copy(
        &mut self,
        now: time::NodeTime,
        slot_epoch: (key::SlotId, key::SlotEpoch),
        part: u32,
    ) {
        let (slot, epoch) = slot_epoch;
        let Some(owned) = self.owned_mut(slot).filter(|owned| owned.epoch == epoch) else {
            return;
        };
        let Some(role) = owned.primary_mut() else {
            return;
        };
        let Some(copy) = role.copy.filter(|copy| copy.part == part) else {
            return;
        };
        if !copy.last {
            self.begin_part(now, slot, part + 1, copy.end);
            return;
        }
        role.copy = None;
        self.grant_pending(slot);
        // A leaving primary hands over once this copy is complete.
        self.check_slots(now);
    }

    /// Resends the part that the backup has not acknowledged in time.
    pub(crate) fn resend_part(&mut self, now: time::NodeTime, position: usize) {
        let retry = self.policy.send_retry;
        let slot = self.slots[position].slot;
        let Some(role) = self.slots[position].primary_mut() else {
            return;
        };
        let Some(copy) = &mut role.copy else { return };
        if now.since(copy.sent_at) >= retry {
            copy.sent_at = now;
            let part = *copy;
            self.send_part(now, slot, part);
        }
        self.wake_at(now + retry);
    }

    pub(crate) fn tick_slots(&mut self, now: time::NodeTime) {
        for position in 0..self.slots.len() {
            let table = &mut self.slots[position].table;
            self.counters.expired += table.expire(now, self.policy.retention);
            self.resend_records(now, position);
            self.resend_part(now, position);
        }
    }

    fn begin_part(
        &mut self,
        now: time::NodeTime,
        slot: key::SlotId,
        part: u32,
        after: Option<ident::RequestKey>,
    ) {
        let limit = self.policy.copy_part_records;
        let retry = now + self.policy.send_retry;
        let Some(owned) = self.owned_mut(slot) else {
            return;
        };
        let entries = owned.table.part(after, limit);
        let copy = role::CopyPart {
            part,
            after,
            end: entries.last().map(|entry| entry.key),
            last: entries.len() < limit,
            sent_at: now,
        };
        if let Some(role) = owned.primary_mut() {
            role.copy = Some(copy);
        }
        self.send_part(now, slot, copy);
        self.wake_at(retry);
    }

    fn send_part(&mut self, now: time::NodeTime, slot: key::SlotId, copy: role::CopyPart) {
        let Some(view) = self.views.get(slot) else {
            return;
        };
        let Some(owned) = self.owned(slot) else {
            return;
        };
        let Some(backup) = owned.primary().and_then(|role| role.backup) else {
            return;
        };
        // A backup without the earlier records would treat their keys as new after a takeover and
        // grant them again. It counts as complete only once it has the last part.
        let guarded = self.policy.guards.copy_records;
        let entries = owned.table.part(copy.after, self.policy.copy_part_records);
        let within = |key: ident::RequestKey| guarded && copy.end.is_some_and(|end| key <= end);
        let entries = entries.into_iter().filter(|entry| within(entry.key));
        let uncertainty = owned
            .uncertain_until
            .map_or(Duration::ZERO, |until| until.since(now));
        let message = key::KeyMessage::Copy {
            view,
            part: copy.part,
            last: copy.last,
            records: entries.map(|entry| entry.to_record(now)).collect(),
            uncertain_micros: u64::try_from(uncertainty.as_micros()).unwrap_or(u64::MAX),
        };
        self.send(backup, message);
    }

    /// Grants all keys that wait for an acknowledgement: the backup has received their records with
    /// the completed copy, or there is no backup.
    fn grant_pending(&mut self, slot: key::SlotId) {
        let Some(owned) = self.owned_mut(slot) else {
            return;
        };
        let Some(role) = owned.primary_mut() else {
            return;
        };
        let pending = std::mem::take(&mut role.pending);
        for grant in pending {
            self.grant(grant.call, grant.key);
        }
    }
}
