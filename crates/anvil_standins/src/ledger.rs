//! What really ran and what callers were told, kept outside the system under test.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_types::{context, ident};

/// One run at a stand-in target.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The root request that it served, as told by the node.
    pub root: String,
    /// The service and the key of a non-idempotent action.
    pub key: Option<ident::RequestKey>,
    /// Time the run held a slot.
    pub held: Duration,
    /// Whether it ran to its end.
    pub whole: bool,
}

/// How a caller's request ended in its own eyes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A whole answer of its own.
    Whole,
    /// An answer that belongs to another request or is incomplete.
    Foreign,
    /// An answer of the target that reports a failure further down.
    Failed,
    /// Refused as not run.
    NotRun,
    /// Of unknown outcome.
    MayHaveRun,
    /// No answer in time.
    Silent,
}

/// One root request of a stand-in caller, with its resends.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// The root request's id.
    pub root: String,
    /// Its kind, as the index in the mesh's requests.
    pub kind: usize,
    /// Its class.
    pub class: context::PriorityClass,
    /// When it was first sent, since the start of the experiment.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How it ended.
    pub outcome: CallerOutcome,
    /// Times the caller sent it.
    pub sends: u32,
    /// Sends of it that ended without a whole answer and not as not run.
    pub cut: u32,
    /// Attempts that the entry node dispatched for the last send.
    pub attempts: u32,
    /// The place of the rule that decided, as told in the reply.
    pub rule: Option<String>,
    /// Why there was no answer, as told in the reply.
    pub reason: Option<String>,
}

/// What one node process has used, from its start.
#[derive(Clone, Copy, Debug)]
pub struct UsageRecord {
    /// Processor time, of the user and of the system.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Everything recorded in one experiment.
#[derive(Debug, Default)]
pub struct RunLedger {
    usage: Mutex<Vec<UsageRecord>>,
    runs: Mutex<Vec<RunRecord>>,
    callers: Mutex<Vec<CallerRecord>>,
}

impl RunLedger {
    /// Records a run.
    pub fn run(&self, record: RunRecord) {
        lock(&self.runs).push(record);
    }

    /// Records the end of a caller's request.
    pub fn caller(&self, record: CallerRecord) {
        lock(&self.callers).push(record);
    }

    /// Records what a node has used.
    pub fn used(&self, record: UsageRecord) {
        lock(&self.usage).push(record);
    }

    /// What each node has used, as far as recorded.
    pub fn usage(&self) -> Vec<UsageRecord> {
        lock(&self.usage).clone()
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.runs).clone()
    }

    /// All ended requests so far.
    pub fn callers(&self) -> Vec<CallerRecord> {
        lock(&self.callers).clone()
    }

    /// The most runs that any key of a non-idempotent action has seen.
    pub fn most_runs_per_key(&self) -> usize {
        let mut keys: Vec<_> = lock(&self.runs).iter().filter_map(|run| run.key).collect();
        keys.sort_unstable();
        let groups = keys.chunk_by(|left, right| left == right);
        groups.map(<[_]>::len).max().unwrap_or(0)
    }
}

/// A panicked writer leaves whole records behind, so a poisoned lock is still readable.
fn lock<Kept>(mutex: &Mutex<Kept>) -> MutexGuard<'_, Kept> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
