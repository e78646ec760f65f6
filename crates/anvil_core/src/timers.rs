//! When the reducer wants to be woken.

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
    /// The node of an open call's attempt should have said what became of it.
    OutcomeQuery(u64),
    /// The deadline of a run at the local target.
    RunDeadline(u64),
    /// A request has waited long enough in the queue of the local target.
    Admission,
    /// The local target's announcement lapses.
    TargetLease,
    /// The node may leave.
    Leave,
    /// A stopping node takes no more runs.
    StopRuns,
    /// A stopping node tells those members once more that have not heard of it.
    StopNotice,
    /// A stopping node gives up what is still out.
    StopLimit,
}

/// Timers in order of their time.
///
/// A timer is never taken back: whoever set it checks, when it fires, whether it still matters.
#[derive(Clone, Debug, Default)]
pub struct TimerQueue {
    heap: BinaryHeap<Reverse<(time::NodeTime, TimerKind)>>,
}

impl TimerQueue {
    /// Asks for `kind` at `when`.
    pub fn set(&mut self, when: time::NodeTime, kind: TimerKind) {
        self.heap.push(Reverse((when, kind)));
    }

    /// The earliest time asked for.
    pub fn next(&self) -> Option<time::NodeTime> {
        self.heap.peek().map(|Reverse((when, _))| *when)
    }

    /// Takes the earliest timer whose time has come.
    pub fn pop(&mut self, now: time::NodeTime) -> Option<TimerKind> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, kind))| kind)
    }
}
