//! Attempts that must not be started again by a repeated frame.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{ident, sorted, time};

/// How long an attempt is remembered; no frame is under way for longer, since connections that
/// deliver nothing for a minute are closed.
pub const MEMORY: Duration = Duration::from_secs(120);

/// Most attempts remembered, of 48 bytes each; at 61 calls a second, all of them non-idempotent,
/// two minutes fill less than half of it.
pub const MEMORY_LIMIT: usize = 16_384;

/// One attempt of one call.
type AttemptId = (ident::CallId, u16);

/// Non-idempotent attempts accepted within [`MEMORY`].
///
/// Failure: a frame comes twice, the second time after the run has ended, when the table of runs
/// has forgotten it. Symptom: the action runs twice although its caller sent it once. An entry
/// node never uses a call and attempt again, so refusing what was seen within the life of any
/// frame is enough.
#[derive(Clone, Debug, Default)]
pub struct RepeatGuard {
    seen: sorted::SortedTable<AttemptId, ()>,
    order: VecDeque<(time::NodeTime, AttemptId)>,
}

impl RepeatGuard {
    /// Notes an attempt; tells whether it is new.
    pub fn admit(&mut self, now: time::NodeTime, call: ident::CallId, attempt: u16) -> bool {
        self.forget(now);
        let id = (call, attempt);
        if self.seen.get(id).is_some() {
            return false;
        }
        self.seen.insert(id, ());
        self.order.push_back((now + MEMORY, id));
        true
    }

    /// Number of attempts remembered.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn forget(&mut self, now: time::NodeTime) {
        while let Some((until, id)) = self.order.front().copied() {
            if until > now && self.order.len() < MEMORY_LIMIT {
                return;
            }
            self.order.pop_front();
            self.seen.remove(id);
        }
    }
}
