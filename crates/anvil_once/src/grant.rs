//! The primary's side: granting keys.

use std::time::Duration;

use anvil_types::{ident, time, verdict};
use anvil_wire::key;

use crate::{entry, owner, role, slots, table};

/// The primary's decision on a request for a key.
enum GrantDecision {
    /// The key is already recorded for this call, which may run it.
    Grant,
    /// The key is granted once the backup has acknowledged the call's record.
    Wait,
    /// The key is new and has to be recorded first.
    Record,
    /// The call must not run the key now.
    Refuse(key::KeyRefusal),
}

impl owner::KeyOwner {
    pub(crate) fn handle_request(
        &mut self,
        now: time::NodeTime,
        from: ident::NodeId,
        request: entry::KeyRequest,
    ) {
        // A grant is sent to the node of the call, so only that node may request it.
        if request.call.node != from {
            return;
        }
        match self.decide_grant(now, request) {
            GrantDecision::Grant => self.grant(request.call, request.key),
            GrantDecision::Wait => {}
            GrantDecision::Record => self.record(now, request),
            GrantDecision::Refuse(refusal) => self.refuse(request.call, refusal),
        }
    }

    fn decide_grant(&mut self, now: time::NodeTime, request: entry::KeyRequest) -> GrantDecision {
        let slot = slots::slot_of(request.key);
        let Some((owned, role)) = self.owned_primary(slot) else {
            return GrantDecision::Refuse(self.redirect(now, slot));
        };
        if let Some(entry) = owned.table.get(request.key) {
            return self.decide_known_key(now, request, entry, &role.pending);
        }
        let copying = role.copy.is_some();
        let full = owned.table.len() >= self.policy.max_records;
        let uncertain = owned.uncertain_until.is_some_and(|until| now < until);
        if let Some(refusal) = self.check_confirmation(now, role) {
            self.begin_change(now, slot);
            return GrantDecision::Refuse(refusal);
        }
        // A record sent to a dead backup would never be acknowledged, and its caller would wait
        // until its deadline. The backup is replaced first.
        let backup_missing = role
            .backup
            .is_some_and(|backup| self.is_missing(now, backup, Duration::ZERO));
        if backup_missing {
            return GrantDecision::Refuse(self.change_owners(now, slot));
        }
        if copying {
            return GrantDecision::Refuse(key::KeyRefusal::Busy);
        }
        // The records of this slot were lost with both owners, so an unknown key may have run
        // already, and granting it could run it twice. New keys are granted again once the
        // retention, which exceeds the longest call, has passed.
        if uncertain && self.policy.guards.lost_keys_refused {
            let reason = verdict::UncertaintyReason::RecordLost;
            return GrantDecision::Refuse(key::KeyRefusal::MayHaveRun(reason));
        }
        if full {
            return GrantDecision::Refuse(key::KeyRefusal::Unavailable);
        }
        GrantDecision::Record
    }

    /// Why a primary must not grant new keys, if the store has not confirmed its role recently.
    ///
    /// A primary that has not reached the store for long may have been replaced by a third node,
    /// which grants unknown keys once its uncertainty period is over. This one stops well before.
    fn check_confirmation(
        &self,
        now: time::NodeTime,
        role: &role::PrimaryRole,
    ) -> Option<key::KeyRefusal> {
        match role.confirmed_at {
            None => Some(key::KeyRefusal::Busy),
            Some(at) if now.since(at) > self.policy.max_unconfirmed => {
                Some(key::KeyRefusal::Unavailable)
            }
            Some(_) => None,
        }
    }

    fn decide_known_key(
        &self,
        now: time::NodeTime,
        request: entry::KeyRequest,
        entry: &table::KeyEntry,
        pending: &[role::PendingGrant],
    ) -> GrantDecision {
        if entry.fingerprint != request.fingerprint {
            return GrantDecision::Refuse(key::KeyRefusal::Mismatch);
        }
        let refusal = match &entry.state {
            key::RecordState::Held if entry.call == request.call => {
                let waiting = pending.iter().any(|grant| grant.call == request.call);
                return if waiting {
                    GrantDecision::Wait
                } else {
                    GrantDecision::Grant
                };
            }
            // The holder may be running the key now, or may have run it before it crashed. A grant
            // to another call could be the second run.
            key::RecordState::Held if !self.policy.guards.held_keys_refused => {
                return GrantDecision::Record;
            }
            key::RecordState::Held => {
                key::KeyRefusal::MayHaveRun(self.uncertainty_reason(now, entry))
            }
            key::RecordState::Answered(Some(answer)) => key::KeyRefusal::Answered(answer.clone()),
            key::RecordState::Answered(None) => key::KeyRefusal::MayHaveRun(table::ANSWER_DROPPED),
            key::RecordState::Uncertain(reason) => key::KeyRefusal::MayHaveRun(*reason),
        };
        GrantDecision::Refuse(refusal)
    }

    fn uncertainty_reason(
        &self,
        now: time::NodeTime,
        entry: &table::KeyEntry,
    ) -> verdict::UncertaintyReason {
        if self.is_missing(now, entry.call.node, Duration::ZERO) {
            return verdict::UncertaintyReason::NodeLost;
        }
        if now.since(entry.recorded_at) >= self.policy.max_call_duration {
            return verdict::UncertaintyReason::Deadline;
        }
        verdict::UncertaintyReason::InProgress
    }

    /// The refusal of a node that is not the primary.
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

    /// Begins the change of owners that a slot needs before its keys can be granted; the refusal
    /// says whether the caller should retry.
    fn change_owners(&mut self, now: time::NodeTime, slot: key::SlotId) -> key::KeyRefusal {
        if self.proposal(now, slot, self.views.get(slot)).is_some() {
            self.begin_change(now, slot);
        }
        // With the store unavailable, the change may take longer than a caller waits.
        if self.is_backing_off(slot) {
            key::KeyRefusal::Unavailable
        } else {
            key::KeyRefusal::Busy
        }
    }

    /// Records a new key for its call; it is granted once the backup has recorded it too.
    fn record(&mut self, now: time::NodeTime, request: entry::KeyRequest) {
        let slot = slots::slot_of(request.key);
        let guards = self.policy.guards;
        let retry = now + self.policy.send_retry;
        let Some(owned) = self.owned_mut(slot) else {
            return;
        };
        let entry::KeyRequest {
            call,
            key,
            fingerprint,
        } = request;
        let order = owned.next_order();
        let entry = table::KeyEntry {
            key,
            fingerprint,
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
        // If a primary granted the key before the backup has the record and then crashed, the
        // backup would treat the key as new and grant it again: two case numbers for one claim.
        // With the record at the backup first, every surviving owner knows the holder.
        if guards.ack_before_grant {
            let sent_at = now;
            role.pending.push(role::PendingGrant {
                order,
                key,
                call,
                sent_at,
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

    pub(crate) fn handle_ack(
        &mut self,
        now: time::NodeTime,
        slot_epoch: (key::SlotId, key::SlotEpoch),
        order: u64,
    ) {
        let (slot, epoch) = slot_epoch;
        let checked = self.policy.guards.epoch_check;
        let Some(owned) = self.owned_mut(slot) else {
            return;
        };
        // The acknowledgement of a backup of an earlier epoch does not prove that the current
        // backup, which would take over now, has the record.
        if checked && owned.epoch != epoch {
            self.counters.stale_epoch += 1;
            return;
        }
        let Some(role) = owned.primary_mut() else {
            return;
        };
        let Ok(position) = role
            .pending
            .binary_search_by_key(&order, |grant| grant.order)
        else {
            return;
        };
        let grant = role.pending.remove(position);
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
            key::KeyRefusal::MayHaveRun(_) => &mut self.counters.uncertain,
            key::KeyRefusal::Mismatch => &mut self.counters.mismatched,
            key::KeyRefusal::Unavailable => &mut self.counters.unavailable,
            key::KeyRefusal::Busy => &mut self.counters.busy,
            key::KeyRefusal::NotOwner(_) => &mut self.counters.not_owner,
        };
        *counter += 1;
        self.send(call.node, key::KeyMessage::Refuse { call, refusal });
    }

    /// Resends the records that the backup has not acknowledged in time.
    pub(crate) fn resend_records(&mut self, now: time::NodeTime, position: usize) {
        let retry = self.policy.send_retry;
        let owned = &mut self.slots[position];
        let (slot, epoch) = (owned.slot, owned.epoch);
        let role::SlotRole::Primary(role) = &mut owned.role else {
            return;
        };
        let Some(backup) = role.backup.filter(|_| role.copy.is_none()) else {
            return;
        };
        let mut due = Vec::new();
        for grant in &mut role.pending {
            if now.since(grant.sent_at) >= retry {
                grant.sent_at = now;
                due.push(grant.key);
            }
        }
        let waiting = !role.pending.is_empty();
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
        if waiting {
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
