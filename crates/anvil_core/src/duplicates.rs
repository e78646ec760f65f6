//! Detection of duplicate attempts, which must not start a second run.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{sorted, time};
use anvil_wire::outcome;

/// How long an attempt of a non-idempotent request is remembered. No frame is in transit for
/// longer, because connections that deliver nothing for a minute are closed.
pub const NON_IDEMPOTENT_RETENTION: Duration = Duration::from_secs(120);

/// Maximum number of remembered attempts, of 48 bytes each. At 61 calls per second, all of them
/// non-idempotent, two minutes fill less than half of it.
pub const MAX_REMEMBERED: usize = 16_384;

/// How long an attempt of an idempotent request is remembered. It doesn't prevent a second run, it
/// only serves to answer entry nodes that query, at most three seconds after a connection ended,
/// whether an attempt arrived.
pub const IDEMPOTENT_RETENTION: Duration = Duration::from_secs(15);

/// The time without any attempt after which the process may have been suspended.
///
/// A process that resumes evicts, by its clock, attempts that arrived just before it was suspended,
/// and would then report of a request that ran that it never arrived. After a gap of this length
/// everything that is evicted counts as recent, so the answer is "may have run". Normal gaps
/// between two attempts are far shorter.
const SUSPENSION_THRESHOLD: Duration = Duration::from_secs(1);

/// Whether an attempt arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// It arrived.
    Seen,
    /// It never arrived.
    New,
    /// It may have arrived and been evicted.
    Unknown,
}

/// Remembers the attempts that arrived within the retention time.
///
/// If a frame is delivered twice, and the second time after the run has ended and left the table of
/// runs, the request would run twice although its caller sent it once. An entry node never reuses
/// the id of a call and attempt, so it is sufficient to drop attempts that were seen within the
/// maximum lifetime of a frame.
#[derive(Clone, Debug)]
pub struct DuplicateFilter {
    retention: Duration,
    seen: sorted::SortedTable<outcome::AttemptId, ()>,
    order: VecDeque<(time::NodeTime, outcome::AttemptId)>,
    /// Attempts that arrived at this time or earlier may have been evicted.
    evicted_until: Option<time::NodeTime>,
    /// When the last attempt was checked.
    last_checked: time::NodeTime,
}

impl DuplicateFilter {
    /// A filter that remembers attempts for `retention`.
    pub fn with_retention(retention: Duration) -> Self {
        Self {
            retention,
            seen: sorted::SortedTable::default(),
            order: VecDeque::new(),
            evicted_until: None,
            last_checked: time::NodeTime::START,
        }
    }

    /// Records an attempt and returns whether it is new.
    pub fn admit(&mut self, now: time::NodeTime, id: outcome::AttemptId) -> bool {
        self.evict(now);
        if self.seen.get(id).is_some() {
            return false;
        }
        self.seen.insert(id, ());
        self.order.push_back((now, id));
        true
    }

    /// Whether an attempt that was sent at `sent` or later has arrived.
    pub fn status(&self, id: outcome::AttemptId, sent: time::NodeTime) -> AttemptStatus {
        match self.seen.get(id) {
            Some(()) => AttemptStatus::Seen,
            None if self.evicted_until.is_some_and(|until| sent <= until) => AttemptStatus::Unknown,
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

    fn evict(&mut self, now: time::NodeTime) {
        let suspended = now.since(self.last_checked) > SUSPENSION_THRESHOLD;
        self.last_checked = now;
        while let Some((arrived, id)) = self.order.front().copied() {
            if now.since(arrived) < self.retention && self.order.len() < MAX_REMEMBERED {
                return;
            }
            self.order.pop_front();
            self.seen.remove(id);
            self.evicted_until = Some(if suspended { now } else { arrived });
        }
    }
}
