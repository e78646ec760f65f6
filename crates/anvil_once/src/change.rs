//! Changes of a slot's owners, through the platform's store.
//!
//! Every change is a read followed by a swap of the version read. Whatever comes of the swap, the
//! node acts on records that it has read or heard of, never on what it hoped to write.

use anvil_types::time;
use anvil_wire::key;

use crate::{effect, event, owner, policy, role, slots};

/// Where a change stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ChangeStage {
    /// The record was asked for.
    Reading,
    /// A new record was proposed.
    Swapping(key::SlotView),
    /// The store did not answer; nothing is asked until `sent` lies far enough back.
    Resting,
}

/// A change of one slot under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SlotChange {
    slot: key::SlotId,
    id: effect::SlotRequestId,
    sent: time::NodeTime,
    stage: ChangeStage,
}

/// Questions of a change: a read and a swap.
const CHANGE_COST: u32 = 2;

/// How many questions a node may still ask the store.
///
/// A crash in a small fleet changes hundreds of slots at once. Asked together they would exceed
/// the node's share of the store's rates, be refused, and look like an outage to callers.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct StorePace {
    tokens: u32,
    earned: time::NodeTime,
}

impl StorePace {
    pub(crate) const fn new(now: time::NodeTime, burst: u32) -> Self {
        Self {
            tokens: burst,
            earned: now,
        }
    }

    /// Takes the cost of one change, or tells when it is earned.
    fn take(
        &mut self,
        now: time::NodeTime,
        policy: &policy::KeyPolicy,
    ) -> Result<(), time::NodeTime> {
        let interval = policy.store_request_interval;
        if interval.is_zero() {
            return Ok(());
        }
        let count = now.since(self.earned).as_micros() / interval.as_micros();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.earned = self.earned + interval.saturating_mul(count);
        self.tokens = self
            .tokens
            .saturating_add(count)
            .min(policy.store_request_burst);
        if self.tokens < CHANGE_COST {
            return Err(self.earned + interval * CHANGE_COST);
        }
        self.tokens -= CHANGE_COST;
        Ok(())
    }
}

impl owner::KeyOwner {
    /// Reads a slot's record, to change it where that is still called for.
    pub(crate) fn begin_change(&mut self, now: time::NodeTime, slot: key::SlotId) {
        let rested = |change: &SlotChange| {
            change.stage == ChangeStage::Resting
                && now.since(change.sent) >= self.policy.store_retry
        };
        match self.change_place(slot) {
            Ok(at) if rested(&self.changes[at]) => {
                self.changes.remove(at);
            }
            Ok(_) => return,
            Err(_) => {}
        }
        // The tick looks again at every slot whose owners should change.
        if let Err(earned) = self.pace.take(now, &self.policy) {
            self.wake_at(earned);
            return;
        }
        let request = effect::SlotRequest::Read { slot };
        self.ask_store(now, slot, ChangeStage::Reading, request);
    }

    pub(crate) fn take_reply(
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
            self.rest(now, at);
            return;
        }
        self.store_out = false;
        self.changes.remove(at);
        let sent = Some(change.sent);
        match (reply, change.stage) {
            (event::SlotReply::Found(found), _) => {
                if let Some((view, _)) = found {
                    self.learn(now, view, sent);
                }
                self.propose(now, change.slot, found);
            }
            (event::SlotReply::Swapped { .. }, ChangeStage::Swapping(view)) => {
                self.learn(now, view, sent);
            }
            (event::SlotReply::Conflict(Some((view, _))), _) => {
                self.counters.store_conflict += 1;
                self.learn(now, view, sent);
            }
            _ => {}
        }
    }

    /// Asks nothing about a slot for a while.
    ///
    /// A swap may have taken effect and its answer got lost. Repeating it blindly could undo a
    /// later change; the next read tells what stands there.
    fn rest(&mut self, now: time::NodeTime, at: usize) {
        self.store_out = true;
        self.counters.store_unknown += 1;
        self.changes[at].stage = ChangeStage::Resting;
        self.changes[at].sent = now;
        self.wake_at(now + self.policy.store_retry);
    }

    /// Whether the store is out and nothing was asked about `slot` since.
    pub(crate) fn is_resting(&self, slot: key::SlotId) -> bool {
        let at = self.change_place(slot).ok();
        let asked = at.is_some_and(|at| self.changes[at].stage != ChangeStage::Resting);
        self.store_out && !asked
    }

    fn propose(
        &mut self,
        now: time::NodeTime,
        slot: key::SlotId,
        found: Option<(key::SlotView, u64)>,
    ) {
        let current = found.map(|(view, _)| view);
        // Someone may have told of a newer record than the one read a moment ago.
        if self.views.get(slot) != current {
            return;
        }
        let Some(view) = self.proposal(now, slot, current) else {
            return;
        };
        let expected = found.map(|(_, version)| version);
        let request = effect::SlotRequest::Swap { expected, view };
        self.ask_store(now, slot, ChangeStage::Swapping(view), request);
    }

    /// Asks the store about every owned slot whose owners should change.
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
        let every = self.policy.confirm_interval;
        let due = |owned: &&role::OwnedSlot| {
            let confirmed = owned.primary().map(|role| role.confirmed);
            confirmed.is_some_and(|at| at.is_none_or(|at| now.since(at) >= every))
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
            let late = now.since(change.sent) >= self.policy.store_timeout;
            if change.stage != ChangeStage::Resting && late {
                self.rest(now, at);
            }
        }
        let retry = self.policy.store_retry;
        let over = |change: &SlotChange| {
            change.stage == ChangeStage::Resting && now.since(change.sent) > retry
        };
        self.changes.retain(|change| !over(change));
    }

    /// Claims slots that this node would own and that have no record yet.
    ///
    /// A slot claimed only when its first key comes would refuse that key in an outage of the
    /// store; one claimed ahead needs no store.
    pub(crate) fn claim_ahead(&mut self, now: time::NodeTime) {
        if self.leaving || now.since(self.started) < self.policy.claim_delay {
            return;
        }
        for _ in 0..self.policy.claim_scan_slots {
            let slot = key::SlotId(self.claim_next);
            self.claim_next = (self.claim_next + 1) % slots::SLOT_COUNT;
            if self.views.get(slot).is_none() && self.preferred(slot) == Some(self.own) {
                self.begin_change(now, slot);
            }
        }
    }

    fn ask_store(
        &mut self,
        now: time::NodeTime,
        slot: key::SlotId,
        stage: ChangeStage,
        request: effect::SlotRequest,
    ) {
        self.last_ask += 1;
        self.counters.store_asked += 1;
        let id = effect::SlotRequestId(self.last_ask);
        let change = SlotChange {
            slot,
            id,
            sent: now,
            stage,
        };
        let (Ok(at) | Err(at)) = self.change_place(slot);
        self.changes.insert(at, change);
        self.push(effect::KeyEffect::RequestSlot { id, request });
    }

    fn change_place(&self, slot: key::SlotId) -> Result<usize, usize> {
        self.changes
            .binary_search_by_key(&slot, |change| change.slot)
    }
}
