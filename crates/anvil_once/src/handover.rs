//! Copies of a slot's records to a new backup, and the planned stop.

use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::key;

use crate::{owner, role};

impl owner::KeyOwner {
    /// Starts a planned stop: primaries hand over to their backups, backups are replaced.
    ///
    /// A primary leaves only once its backup holds everything, so that a stop costs no record.
    pub(crate) fn leave(&mut self, now: time::NodeTime) {
        self.leaving = true;
        self.check_slots(now);
    }

    /// Sends all records of a slot to its new backup; nothing new is granted meanwhile.
    pub(crate) fn start_copy(&mut self, now: time::NodeTime, slot: key::SlotId) {
        let backup = self.owned(slot).and_then(|owned| owned.primary()?.backup);
        match backup {
            Some(_) => self.send_part(now, slot, 0, None),
            None => self.grant_pending(slot),
        }
    }

    pub(crate) fn continue_copy(
        &mut self,
        now: time::NodeTime,
        at: (key::SlotId, key::SlotEpoch),
        part: u32,
    ) {
        let (slot, epoch) = at;
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
            self.send_part(now, slot, part + 1, copy.end);
            return;
        }
        role.copy = None;
        self.grant_pending(slot);
        // A leaving primary waited for this copy.
        self.check_slots(now);
    }

    /// Repeats the part that a backup has not acknowledged.
    pub(crate) fn repeat_part(&mut self, now: time::NodeTime, place: usize) {
        let retry = self.policy.send_retry;
        let slot = self.slots[place].slot;
        let Some(role) = self.slots[place].primary_mut() else {
            return;
        };
        let Some(copy) = &mut role.copy else { return };
        if now.since(copy.sent) >= retry {
            copy.sent = now;
            let part = *copy;
            self.transmit(now, slot, part);
        }
        self.wake_at(now + retry);
    }

    pub(crate) fn tick_slots(&mut self, now: time::NodeTime) {
        for place in 0..self.slots.len() {
            let table = &mut self.slots[place].table;
            self.counters.expired += table.expire(now, self.policy.retention);
            self.repeat_records(now, place);
            self.repeat_part(now, place);
        }
    }

    fn send_part(
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
        let keys = owned.table.part(after, limit);
        let copy = role::CopyPart {
            part,
            after,
            end: keys.last().map(|entry| entry.key),
            last: keys.len() < limit,
            sent: now,
        };
        if let Some(role) = owned.primary_mut() {
            role.copy = Some(copy);
        }
        self.transmit(now, slot, copy);
        self.wake_at(retry);
    }

    fn transmit(&mut self, now: time::NodeTime, slot: key::SlotId, copy: role::CopyPart) {
        let Some(view) = self.views.get(slot) else {
            return;
        };
        let Some(owned) = self.owned(slot) else {
            return;
        };
        let Some(backup) = owned.primary().and_then(|role| role.backup) else {
            return;
        };
        // A backup without the earlier records would take their keys for new once it takes over,
        // and grant them again. It counts as whole only with the last part.
        let guarded = self.policy.guards.copy_records;
        let entries = owned.table.part(copy.after, self.policy.copy_part_records);
        let within = |key: ident::RequestKey| guarded && copy.end.is_some_and(|end| key <= end);
        let entries = entries.into_iter().filter(|entry| within(entry.key));
        let doubt = owned.doubt.map_or(Duration::ZERO, |until| until.since(now));
        let message = key::KeyMessage::Copy {
            view,
            part: copy.part,
            last: copy.last,
            records: entries.map(|entry| entry.to_record(now)).collect(),
            uncertain_micros: u64::try_from(doubt.as_micros()).unwrap_or(u64::MAX),
        };
        self.send(backup, message);
    }

    /// Grants what waited for an acknowledgement: a whole copy acknowledges it all.
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
