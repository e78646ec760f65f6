//! Changes of a slot's owners in the platform's store.
//!
//! Every change is a read followed by a compare-and-swap of the version that was read. Until the
//! outcome of the swap is known, the node acts only on records that it has read or received, never
//! on the one that it tried to write.

use anvil_types::time;
use anvil_wire::key;

use crate::{effect, event, owner, policy, role, slots};

/// The progress of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ChangeStage {
    /// The record was requested.
    Reading,
    /// A swap to this record was requested.
    Swapping(key::SlotView),
    /// The store did not reply at `sent_at`; the next request waits for `KeyPolicy::store_retry`.
    BackingOff,
}

/// A change of one slot in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SlotChange {
    slot: key::SlotId,
    id: effect::SlotRequestId,
    sent_at: time::NodeTime,
    stage: ChangeStage,
}

/// Requests of one change: a read and a swap.
const REQUESTS_PER_CHANGE: u32 = 2;

/// A token bucket that limits the requests of a node to the store.
///
/// A crash in a small fleet changes hundreds of slots at once. Sent together, the requests would
/// exceed the node's share of the store's rate limits and be rejected, which callers would see as
/// an outage.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct StoreBudget {
    tokens: u32,
    refilled_at: time::NodeTime,
}

impl StoreBudget {
    pub(crate) const fn new(now: time::NodeTime, burst: u32) -> Self {
        Self {
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Takes the tokens for one change, or returns when they will be available.
    fn take(
        &mut self,
        now: time::NodeTime,
        policy: &policy::KeyPolicy,
    ) -> Result<(), time::NodeTime> {
        let interval = policy.store_request_interval;
        if interval.is_zero() {
            return Ok(());
        }
        let count = now.since(self.refilled_at).as_micros() / interval.as_micros();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.refilled_at = self.refilled_at + interval.saturating_mul(count);
        self.tokens = self
            .tokens
            .saturating_add(count)
            .min(policy.store_request_burst);
        if self.tokens < REQUESTS_PER_CHANGE {
            return Err(self.refilled_at + interval * REQUESTS_PER_CHANGE);
        }
        self.tokens -= REQUESTS_PER_CHANGE;
        Ok(())
    }
}

impl owner::KeyOwner {
    /// Reads a slot's record, to change it if that is still necessary.
    pub(crate) fn begin_change(&mut self, now: time::NodeTime, slot: key::SlotId) {
        let retry_due = |change: &SlotChange| {
            change.stage == ChangeStage::BackingOff
                && now.since(change.sent_at) >= self.policy.store_retry
        };
        match self.change_position(slot) {
            Ok(at) if retry_due(&self.changes[at]) => {
                self.changes.remove(at);
            }
            Ok(_) => return,
            Err(_) => {}
        }
        // The next tick checks every slot whose owners should change again.
        if let Err(refilled_at) = self.store_budget.take(now, &self.policy) {
            self.wake_at(refilled_at);
            return;
        }
        let request = effect::SlotRequest::Read { slot };
        self.request_slot(now, slot, ChangeStage::Reading, request);
    }

    pub(crate) fn handle_store_reply(
        &mut self,
        now: time::NodeTime,
        id: effect::SlotRequestId,
        reply: event::SlotReply,
    ) {
        let Some(at) = self.changes.iter().position(|change| change.id == id) else {
            return;
        };
        let change = self.changes[at];
        if reply == event::SlotReply::Unknown {
            self.back_off(now, at);
            return;
        }
        self.store_unavailable = false;
        self.changes.remove(at);
        let sent_at = Some(change.sent_at);
        match (reply, change.stage) {
            (event::SlotReply::Found(found), _) => {
                if let Some((view, _)) = found {
                    self.learn(now, view, sent_at);
                }
                self.propose(now, change.slot, found);
            }
            (event::SlotReply::Swapped { .. }, ChangeStage::Swapping(view)) => {
                self.learn(now, view, sent_at);
            }
            (event::SlotReply::Conflict(Some((view, _))), _) => {
                self.counters.store_conflict += 1;
                self.learn(now, view, sent_at);
            }
            _ => {}
        }
    }

    /// Sends no request about a slot for a while after the store failed to reply.
    ///
    /// A swap may have taken effect although its reply was lost. Repeating it blindly could undo a
    /// later change, so the next attempt begins with a read.
    fn back_off(&mut self, now: time::NodeTime, at: usize) {
        self.store_unavailable = true;
        self.counters.store_unknown += 1;
        self.changes[at].stage = ChangeStage::BackingOff;
        self.changes[at].sent_at = now;
        self.wake_at(now + self.policy.store_retry);
    }

    /// Whether the store is unavailable and no request about `slot` has been sent since.
    pub(crate) fn is_backing_off(&self, slot: key::SlotId) -> bool {
        let at = self.change_position(slot).ok();
        let requested = at.is_some_and(|at| self.changes[at].stage != ChangeStage::BackingOff);
        self.store_unavailable && !requested
    }

    fn propose(
        &mut self,
        now: time::NodeTime,
        slot: key::SlotId,
        found: Option<(key::SlotView, u64)>,
    ) {
        let current = found.map(|(view, _)| view);
        // A newer record may have arrived from another node while this one was being read.
        if self.views.get(slot) != current {
            return;
        }
        let Some(view) = self.proposal(now, slot, current) else {
            return;
        };
        let expected = found.map(|(_, version)| version);
        let request = effect::SlotRequest::Swap { expected, view };
        self.request_slot(now, slot, ChangeStage::Swapping(view), request);
    }

    /// Begins a change of every owned slot whose owners should change.
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
        let interval = self.policy.confirm_interval;
        let due = |owned: &&role::OwnedSlot| {
            let confirmed_at = owned.primary().map(|role| role.confirmed_at);
            confirmed_at.is_some_and(|at| at.is_none_or(|at| now.since(at) >= interval))
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
            let timed_out = now.since(change.sent_at) >= self.policy.store_timeout;
            if change.stage != ChangeStage::BackingOff && timed_out {
                self.back_off(now, at);
            }
        }
        let retry = self.policy.store_retry;
        let expired = |change: &SlotChange| {
            change.stage == ChangeStage::BackingOff && now.since(change.sent_at) > retry
        };
        self.changes.retain(|change| !expired(change));
    }

    /// Claims slots without a record for which this node is the preferred owner.
    ///
    /// A slot that is claimed only when its first key arrives would refuse that key during a store
    /// outage; a slot that was claimed in advance does not need the store.
    pub(crate) fn claim_unowned_slots(&mut self, now: time::NodeTime) {
        if self.leaving || now.since(self.started_at) < self.policy.claim_delay {
            return;
        }
        for _ in 0..self.policy.claim_scan_slots {
            let slot = key::SlotId(self.next_claim_slot);
            self.next_claim_slot = (self.next_claim_slot + 1) % slots::SLOT_COUNT;
            if self.views.get(slot).is_none() && self.preferred_owner(slot) == Some(self.own) {
                self.begin_change(now, slot);
            }
        }
    }

    fn request_slot(
        &mut self,
        now: time::NodeTime,
        slot: key::SlotId,
        stage: ChangeStage,
        request: effect::SlotRequest,
    ) {
        self.last_request_id += 1;
        self.counters.store_requests += 1;
        let id = effect::SlotRequestId(self.last_request_id);
        let change = SlotChange {
            slot,
            id,
            sent_at: now,
            stage,
        };
        let (Ok(at) | Err(at)) = self.change_position(slot);
        self.changes.insert(at, change);
        self.push(effect::KeyEffect::RequestSlot { id, request });
    }

    fn change_position(&self, slot: key::SlotId) -> Result<usize, usize> {
        self.changes
            .binary_search_by_key(&slot, |change| change.slot)
    }
}
