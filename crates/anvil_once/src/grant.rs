//! The primary's side: it grants keys and keeps how the granted calls ended.

use std::time::Duration;

use anvil_types::{ident, time, verdict};
use anvil_wire::key;

use crate::{entry, owner, role, slots, table};

/// What becomes of a question.
enum AskJudgement {
    /// The key is recorded for this very call.
    Grant,
    /// The backup has not acknowledged the call's record.
    Wait,
    /// The key is new.
    Record,
    /// The call must not run the key now.
    Refuse(key::KeyRefusal),
}

impl owner::KeyOwner {
    pub(crate) fn answer_ask(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        question: entry::KeyQuestion,
    ) {
        // A grant goes to the node that can run the call; nobody asks for another node's call.
        if question.call.node != from {
            return;
        }
        match self.judge(now, question) {
            AskJudgement::Grant => self.grant(question.call, question.key),
            AskJudgement::Wait => {}
            AskJudgement::Record => self.record(now, question),
            AskJudgement::Refuse(refusal) => self.refuse(question.call, refusal),
        }
    }

    fn judge(&mut self, now: time::NodeTime, question: entry::KeyQuestion) -> AskJudgement {
        let slot = slots::slot_of(question.key);
        let Some((owned, role)) = self.owned_primary(slot) else {
            return AskJudgement::Refuse(self.redirect(now, slot));
        };
        if let Some(entry) = owned.table.get(question.key) {
            return self.judge_known(now, question, entry, &role.pending);
        }
        let copying = role.copy.is_some();
        let full = owned.table.len() >= self.policy.max_records;
        let doubt = owned.doubt.is_some_and(|until| now < until);
        if let Some(refusal) = self.unconfirmed(now, role) {
            self.begin_change(now, slot);
            return AskJudgement::Refuse(refusal);
        }
        // A record sent to a backup that is gone would wait for ever, and its caller with it.
        let lone = role
            .backup
            .is_some_and(|backup| self.is_missing(now, backup, Duration::ZERO));
        if lone {
            return AskJudgement::Refuse(self.change_owners(now, slot));
        }
        if copying {
            return AskJudgement::Refuse(key::KeyRefusal::Busy);
        }
        // The records of this slot were lost with both of their holders. An unknown key may have
        // run under them: granting it would run it twice. It is granted once the longest call and
        // the retention have passed.
        if doubt && self.policy.guards.lost_keys_refused {
            let reason = verdict::UncertaintyReason::RecordLost;
            return AskJudgement::Refuse(key::KeyRefusal::MayHaveRun(reason));
        }
        if full {
            return AskJudgement::Refuse(key::KeyRefusal::Unavailable);
        }
        AskJudgement::Record
    }

    /// A primary that was cut off from the store for long may have been replaced by a third node,
    /// which grants unknown keys once its doubt is over; this one stops well before.
    fn unconfirmed(
        &self,
        now: time::NodeTime,
        role: &role::PrimaryRole,
    ) -> Option<key::KeyRefusal> {
        match role.confirmed {
            None => Some(key::KeyRefusal::Busy),
            Some(at) if now.since(at) > self.policy.max_unconfirmed => {
                Some(key::KeyRefusal::Unavailable)
            }
            Some(_) => None,
        }
    }

    fn judge_known(
        &self,
        now: time::NodeTime,
        question: entry::KeyQuestion,
        entry: &table::KeyEntry,
        pending: &[role::PendingGrant],
    ) -> AskJudgement {
        if entry.fingerprint != question.print {
            return AskJudgement::Refuse(key::KeyRefusal::Mismatch);
        }
        let refusal = match &entry.state {
            key::RecordState::Held if entry.call == question.call => {
                let waits = pending.iter().any(|grant| grant.call == question.call);
                return if waits {
                    AskJudgement::Wait
                } else {
                    AskJudgement::Grant
                };
            }
            // The holder may be running the key at this moment, or may have run it before it
            // vanished. Another call would be the second run, whatever became of the holder.
            key::RecordState::Held if !self.policy.guards.held_keys_refused => {
                return AskJudgement::Record;
            }
            key::RecordState::Held => key::KeyRefusal::MayHaveRun(self.doubt_of(now, entry)),
            key::RecordState::Answered(Some(answer)) => key::KeyRefusal::Answered(answer.clone()),
            key::RecordState::Answered(None) => key::KeyRefusal::MayHaveRun(table::ANSWER_DROPPED),
            key::RecordState::Uncertain(reason) => key::KeyRefusal::MayHaveRun(*reason),
        };
        AskJudgement::Refuse(refusal)
    }

    fn doubt_of(&self, now: time::NodeTime, entry: &table::KeyEntry) -> verdict::UncertaintyReason {
        if self.is_missing(now, entry.call.node, Duration::ZERO) {
            return verdict::UncertaintyReason::NodeLost;
        }
        if now.since(entry.recorded_at) >= self.policy.max_call_duration {
            return verdict::UncertaintyReason::Deadline;
        }
        verdict::UncertaintyReason::InProgress
    }

    /// What a node that is not the primary answers.
    fn redirect(&mut self, now: time::NodeTime, slot: key::SlotId) -> key::KeyRefusal {
        let view = self.views.get(slot);
        if self.proposal(now, slot, view).is_none() {
            return key::KeyRefusal::NotOwner(view);
        }
        match (self.change_owners(now, slot), view) {
            (key::KeyRefusal::Unavailable, None) => key::KeyRefusal::NotOwner(None),
            (refusal, _) => refusal,
        }
    }

    /// Begins the change that a slot needs before its keys are granted; tells whether the caller
    /// does well to wait for it.
    fn change_owners(&mut self, now: time::NodeTime, slot: key::SlotId) -> key::KeyRefusal {
        if self.proposal(now, slot, self.views.get(slot)).is_some() {
            self.begin_change(now, slot);
        }
        // The store is out, so the wait has no end that a caller could wait for.
        if self.is_resting(slot) {
            key::KeyRefusal::Unavailable
        } else {
            key::KeyRefusal::Busy
        }
    }

    /// Records a new key for its call, and grants it once the backup has recorded it too.
    fn record(&mut self, now: time::NodeTime, question: entry::KeyQuestion) {
        let slot = slots::slot_of(question.key);
        let guards = self.policy.guards;
        let retry = now + self.policy.send_retry;
        let Some(owned) = self.owned_mut(slot) else {
            return;
        };
        let entry::KeyQuestion { call, key, print } = question;
        let order = owned.next_order();
        let entry = table::KeyEntry {
            key,
            fingerprint: print,
            call,
            order,
            recorded_at: now,
            state: key::RecordState::Held,
        };
        let record = entry.to_record(now);
        owned.table.put(entry);
        let epoch = owned.epoch;
        let Some(role) = owned.primary_mut() else {
            return;
        };
        let Some(backup) = role.backup else {
            self.grant(call, key);
            return;
        };
        // A primary that granted first and then vanished would leave a backup that takes the key
        // for new and grants it again: two case numbers for one claim. With the record at the
        // backup before the grant, whoever survives knows the holder.
        if guards.ack_before_grant {
            let sent = now;
            role.pending.push(role::PendingGrant {
                order,
                key,
                call,
                sent,
            });
        }
        let message = key::KeyMessage::Record {
            slot,
            epoch,
            record,
        };
        self.send(backup, message);
        self.wake_at(retry);
        if !guards.ack_before_grant {
            self.grant(call, key);
        }
    }

    pub(crate) fn take_ack(
        &mut self,
        now: time::NodeTime,
        at: (key::SlotId, key::SlotEpoch),
        order: u64,
    ) {
        let (slot, epoch) = at;
        let checked = self.policy.guards.epoch_check;
        let Some(owned) = self.owned_mut(slot) else {
            return;
        };
        // A backup of an earlier epoch holds a record that the present one may not have; its
        // acknowledgement proves nothing about who would take over now.
        if checked && owned.epoch != epoch {
            self.counters.stale_epoch += 1;
            return;
        }
        let Some(role) = owned.primary_mut() else {
            return;
        };
        let Ok(place) = role
            .pending
            .binary_search_by_key(&order, |grant| grant.order)
        else {
            return;
        };
        let grant = role.pending.remove(place);
        self.grant(grant.call, grant.key);
        self.wake_at(now + self.policy.send_retry);
    }

    pub(crate) fn grant(&mut self, call: ident::CallId, key: ident::RequestKey) {
        self.counters.granted += 1;
        self.send(call.node, key::KeyMessage::Grant { call, key });
    }

    fn refuse(&mut self, call: ident::CallId, refusal: key::KeyRefusal) {
        let counter = match &refusal {
            key::KeyRefusal::Answered(_) => &mut self.counters.answered_again,
            key::KeyRefusal::MayHaveRun(verdict::UncertaintyReason::InProgress) => {
                &mut self.counters.in_progress
            }
            key::KeyRefusal::MayHaveRun(_) => &mut self.counters.doubtful,
            key::KeyRefusal::Mismatch => &mut self.counters.mismatched,
            key::KeyRefusal::Unavailable => &mut self.counters.unavailable,
            key::KeyRefusal::Busy => &mut self.counters.busy,
            key::KeyRefusal::NotOwner(_) => &mut self.counters.not_owner,
        };
        *counter += 1;
        self.send(call.node, key::KeyMessage::Refuse { call, refusal });
    }

    /// Repeats what a backup has not acknowledged.
    pub(crate) fn repeat_records(&mut self, now: time::NodeTime, place: usize) {
        let retry = self.policy.send_retry;
        let owned = &mut self.slots[place];
        let (slot, epoch) = (owned.slot, owned.epoch);
        let role::SlotRole::Primary(role) = &mut owned.role else {
            return;
        };
        let Some(backup) = role.backup.filter(|_| role.copy.is_none()) else {
            return;
        };
        let mut due = Vec::new();
        for grant in &mut role.pending {
            if now.since(grant.sent) >= retry {
                grant.sent = now;
                due.push(grant.key);
            }
        }
        let waits = !role.pending.is_empty();
        let table = &owned.table;
        let entries = due.into_iter().filter_map(|key| table.get(key));
        let records: Vec<_> = entries.map(|entry| entry.to_record(now)).collect();
        for record in records {
            let message = key::KeyMessage::Record {
                slot,
                epoch,
                record,
            };
            self.send(backup, message);
        }
        if waits {
            self.wake_at(now + retry);
        }
    }

    pub(crate) fn owned_primary(
        &self,
        slot: key::SlotId,
    ) -> Option<(&role::OwnedSlot, &role::PrimaryRole)> {
        let owned = self.owned(slot)?;
        let role = owned.primary()?;
        Some((owned, role))
    }
}
