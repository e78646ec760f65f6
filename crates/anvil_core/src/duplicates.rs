//! Attempts that must not be started again by a repeated frame.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{sorted, time};
use anvil_wire::outcome;

/// How long an attempt is remembered; no frame is under way for longer, since connections that
/// deliver nothing for a minute are closed.
pub const NON_IDEMPOTENT_RETENTION: Duration = Duration::from_secs(120);

/// Most attempts remembered, of 48 bytes each; at 61 calls a second, all of them non-idempotent,
/// two minutes fill less than half of it.
pub const MAX_REMEMBERED: usize = 16_384;

/// How long attempts of requests that may run again are remembered. Nothing runs twice for want of it: it
/// tells the entry nodes that ask, three seconds at most after a connection ended, what never came.
pub const IDEMPOTENT_RETENTION: Duration = Duration::from_secs(15);

/// Time without any attempt after which a memory that has just forgotten is not relied on.
///
/// Failure: the process is suspended, wakes, and forgets by its clock what came just before. Symptom: it
/// says of a claim that ran that it never came. Usual pauses between two attempts are far shorter; after
/// a longer one it says "may have run", which is true of anything.
const SUSPENSION_THRESHOLD: Duration = Duration::from_secs(1);

/// What is remembered of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// It came.
    Seen,
    /// It never came.
    New,
    /// It may have come and been forgotten.
    Unknown,
}

/// Attempts accepted within the time that they are remembered.
///
/// Failure: a frame comes twice, the second time after the run has ended, when the table of runs
/// has forgotten it. Symptom: the action runs twice although its caller sent it once. An entry
/// node never uses a call and attempt again, so refusing what was seen within the life of any
/// frame is enough.
#[derive(Clone, Debug)]
pub struct DuplicateFilter {
    retention: Duration,
    seen: sorted::SortedTable<outcome::AttemptId, ()>,
    order: VecDeque<(time::NodeTime, outcome::AttemptId)>,
    /// Whatever came at this time or before it may be forgotten.
    forgotten: Option<time::NodeTime>,
    /// When the guard was last asked.
    last: time::NodeTime,
}

impl DuplicateFilter {
    /// A guard that remembers for `memory`.
    pub fn with_retention(memory: Duration) -> Self {
        Self {
            retention: memory,
            seen: sorted::SortedTable::default(),
            order: VecDeque::new(),
            forgotten: None,
            last: time::NodeTime::START,
        }
    }

    /// Notes an attempt; tells whether it is new.
    pub fn admit(&mut self, now: time::NodeTime, id: outcome::AttemptId) -> bool {
        self.forget(now);
        if self.seen.get(id).is_some() {
            return false;
        }
        self.seen.insert(id, ());
        self.order.push_back((now, id));
        true
    }

    /// Whether an attempt that was sent at `sent` or later has come.
    pub fn status(&self, id: outcome::AttemptId, sent: time::NodeTime) -> AttemptStatus {
        match self.seen.get(id) {
            Some(()) => AttemptStatus::Seen,
            None if self.forgotten.is_some_and(|until| sent <= until) => AttemptStatus::Unknown,
            None => AttemptStatus::New,
        }
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
        let paused = now.since(self.last) > SUSPENSION_THRESHOLD;
        self.last = now;
        while let Some((came, id)) = self.order.front().copied() {
            if now.since(came) < self.retention && self.order.len() < MAX_REMEMBERED {
                return;
            }
            self.order.pop_front();
            self.seen.remove(id);
            self.forgotten = Some(if paused { now } else { came });
        }
    }
}
