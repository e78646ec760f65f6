//! The primary's side: recording how a granted call ended.

use anvil_types::{ident, time};
use anvil_wire::key;

use crate::{owner, slots, table};

impl owner::KeyOwner {
    /// Records how a granted call ended and confirms it to the entry node.
    pub(crate) fn settle(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        holder: (ident::CallId, ident::RequestKey),
        outcome: &key::KeyOutcome,
    ) {
        let (call, key) = holder;
        if call.node != from {
            return;
        }
        let slot = slots::slot_of(key);
        if self.owned_primary(slot).is_none() {
            if let Some(view) = self.views.get(slot) {
                self.send(from, key::KeyMessage::View(view));
            }
            return;
        }
        match table::state_after(outcome, self.policy.max_cached_answer_bytes) {
            None => self.release_key(slot, call, key),
            Some(state) => self.record_outcome(now, slot, holder, state),
        }
        self.send(from, key::KeyMessage::Settled { call });
    }

    /// Releases a key whose call provably did not run and never will.
    fn release_key(&mut self, slot: key::SlotId, call: ident::CallId, key: ident::RequestKey) {
        let checked = self.policy.guards.holder_frees;
        let Some(owned) = self.owned_mut(slot) else {
            return;
        };
        let Some(entry) = owned.table.get(key) else {
            return;
        };
        // A duplicated message of an earlier holder would release the key of the current one, and a
        // third call would run it again. A call releases only its own record.
        let own = entry.call == call && entry.state == key::RecordState::Held;
        if checked && !own {
            return;
        }
        owned.table.remove(key);
        let order = owned.next_order();
        let epoch = owned.epoch;
        let Some(role) = owned.primary_mut() else {
            return;
        };
        role.pending.retain(|grant| grant.key != key);
        let Some(backup) = role.backup else { return };
        let message = key::KeyMessage::Erase {
            slot,
            epoch,
            key,
            order,
        };
        self.send(backup, message);
    }

    fn record_outcome(
        &mut self,
        now: time::NodeTime,
        slot: key::SlotId,
        holder: (ident::CallId, ident::RequestKey),
        state: key::RecordState,
    ) {
        let (call, key) = holder;
        let answer_bytes = self.policy.max_answer_bytes;
        let Some(owned) = self.owned_mut(slot) else {
            return;
        };
        let Some(entry) = owned.table.get(key) else {
            return;
        };
        if entry.call != call || entry.state != key::RecordState::Held {
            return;
        }
        let order = owned.next_order();
        owned.table.set_state(key, order, state);
        owned.table.trim_answers(answer_bytes);
        let epoch = owned.epoch;
        let record = owned.table.get(key).map(|entry| entry.to_record(now));
        let backup = owned.primary().and_then(|role| role.backup);
        if let (Some(record), Some(backup)) = (record, backup) {
            let message = key::KeyMessage::Record {
                slot,
                epoch,
                record,
            };
            self.send(backup, message);
        }
    }
}
