//! Timers of the reducer.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use anvil_types::time;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// The deadline of an open call.
    CallDeadline(u64),
    /// The pause before the next attempt of an open call is over.
    CallRetry(u64),
    /// The query for the outcome of an open call's attempt times out.
    OutcomeQuery(u64),
    /// The deadline of a run at the local target.
    RunDeadline(u64),
    /// The admission queue of the local target has something to decide.
    Admission,
    /// The lease of the local target's announcement expires.
    TargetLease,
    /// A stopping node may be ready to exit.
    Leave,
    /// A stopping node stops accepting runs.
    StopRuns,
    /// A stopping node repeats its notice to members that have not acknowledged it.
    StopNotice,
    /// The quarantined requests are sent to another node again.
    Quarantine,
    /// The store is asked about quarantined requests again.
    QuarantineStore,
    /// A stopping node gives up the requests that are still in progress.
    StopLimit,
}

/// Pending timers, ordered by time.
///
/// Timers are never cancelled; the handler of a timer checks whether it is still relevant.
#[derive(Clone, Debug, Default)]
pub struct TimerQueue {
    heap: BinaryHeap<Reverse<(time::NodeTime, TimerKind)>>,
}

impl TimerQueue {
    /// Schedules a timer of `kind` at `when`.
    pub fn set(&mut self, when: time::NodeTime, kind: TimerKind) {
        self.heap.push(Reverse((when, kind)));
    }

    /// The time of the earliest timer.
    pub fn next(&self) -> Option<time::NodeTime> {
        self.heap.peek().map(|Reverse((when, _))| *when)
    }

    /// Removes and returns the earliest timer if it is due.
    pub fn pop(&mut self, now: time::NodeTime) -> Option<TimerKind> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, kind))| kind)
    }
}
