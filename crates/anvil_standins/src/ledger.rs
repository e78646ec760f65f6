//! What really ran and what callers were told, kept outside the system under test.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use anvil_types::{context, ident, sorted};
use derive_more::Display;
use tokio::sync::watch;

/// One run at a stand-in target.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The root request that it served, as told by the node.
    pub root: String,
    /// The service and the key of a non-idempotent action.
    pub key: Option<ident::RequestKey>,
    /// The target that ran it, as the experiment names its place.
    pub target: String,
    /// The parent token that came with it: the run's number at the node that sent it, and a proof that
    /// only that process could give, so that two runs of two processes are told apart.
    pub parent: String,
    /// When it began, since the start of the ledger.
    pub began: Duration,
    /// When it ended; none while it runs.
    pub ended: Option<Duration>,
    /// Whether it ran to its end.
    pub whole: bool,
}

impl RunRecord {
    /// Time the run held a slot.
    pub fn held(&self) -> Duration {
        self.ended
            .map_or(Duration::ZERO, |ended| ended.saturating_sub(self.began))
    }
}

/// Names one run of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunPlace(usize);

/// How a caller's request ended in its own eyes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A whole answer of its own.
    #[display("whole")]
    Whole,
    /// An answer that belongs to another request or is incomplete.
    #[display("foreign")]
    Foreign,
    /// An answer of the target that reports a failure further down.
    #[display("failed")]
    Failed,
    /// Refused as not run.
    #[display("not-run")]
    NotRun,
    /// Of unknown outcome.
    #[display("may-have-run")]
    MayHaveRun,
    /// No answer in time.
    #[display("silent")]
    Silent,
}

/// One send of a root request, and what its caller was told.
#[derive(Clone, Debug)]
pub struct SendRecord {
    /// The entry node that was asked last.
    pub entry: std::net::SocketAddr,
    /// When it was sent, since the start of the ledger.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How it ended.
    pub outcome: CallerOutcome,
    /// Attempts that the entry node says it dispatched.
    pub attempts: u32,
    /// Why there was no answer, as told in the reply or seen on the connection.
    pub reason: Option<String>,
}

impl SendRecord {
    /// Whether the caller got neither its answer nor a proof that nothing ran.
    pub fn is_cut(&self) -> bool {
        !matches!(self.outcome, CallerOutcome::Whole | CallerOutcome::NotRun)
    }
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
    /// Each time the caller sent it.
    pub sends: Vec<SendRecord>,
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
#[derive(Debug)]
pub struct RunLedger {
    start: Instant,
    /// The same moment, since the Unix epoch.
    started: Duration,
    /// What the ids of this experiment's root requests begin with; empty takes any.
    tag: String,
    usage: Mutex<Vec<UsageRecord>>,
    runs: Mutex<Vec<RunRecord>>,
    /// The keys that have begun to run.
    keys: Mutex<sorted::SortedTable<ident::RequestKey, ()>>,
    strangers: Mutex<Vec<RunRecord>>,
    callers: Mutex<Vec<CallerRecord>>,
    doubled: watch::Sender<bool>,
}

impl Default for RunLedger {
    /// A ledger that takes every request for its own.
    fn default() -> Self {
        Self::tagged(String::new())
    }
}

impl RunLedger {
    /// A ledger of the requests whose ids begin with `tag`; runs of others count as strangers.
    pub fn tagged(tag: String) -> Self {
        Self {
            start: Instant::now(),
            started: SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default(),
            tag,
            usage: Mutex::default(),
            runs: Mutex::default(),
            keys: Mutex::default(),
            strangers: Mutex::default(),
            callers: Mutex::default(),
            doubled: watch::Sender::new(false),
        }
    }

    /// The time of day at a time since the start, as node logs tell it: seconds of the Unix clock.
    pub fn clock(&self, since: Duration) -> f64 {
        (self.started + since).as_secs_f64()
    }

    /// Time since the start of the ledger.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records that a run begins.
    ///
    /// It counts from its beginning, so that a second run of a key shows while both processes and
    /// their logs are still there.
    pub fn begin(&self, record: RunRecord) -> Option<RunPlace> {
        if !record.root.starts_with(&self.tag) {
            lock(&self.strangers).push(record);
            return None;
        }
        if let Some(key) = record.key
            && lock(&self.keys).insert(key, ()).is_some()
        {
            self.doubled.send_replace(true);
        }
        let mut runs = lock(&self.runs);
        runs.push(record);
        Some(RunPlace(runs.len() - 1))
    }

    /// Records the end of a run.
    pub fn end(&self, run: RunPlace, whole: bool) {
        let now = self.now();
        if let Some(record) = lock(&self.runs).get_mut(run.0) {
            record.ended = Some(now);
            record.whole = whole;
        }
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

    /// Runs of requests that no caller of this experiment sent.
    pub fn strangers(&self) -> Vec<RunRecord> {
        lock(&self.strangers).clone()
    }

    /// All ended requests so far.
    pub fn callers(&self) -> Vec<CallerRecord> {
        lock(&self.callers).clone()
    }

    /// Turns true with the first second run of a key.
    pub fn doubled(&self) -> watch::Receiver<bool> {
        self.doubled.subscribe()
    }

    /// The runs of keys that ran more than once, key by key.
    pub fn doubled_runs(&self) -> Vec<RunRecord> {
        let mut runs = self.runs();
        runs.retain(|run| run.key.is_some());
        runs.sort_by_key(|run| run.key);
        let groups = runs.chunk_by(|left, right| left.key == right.key);
        let doubled = groups.filter(|group| group.len() > 1);
        doubled.flatten().cloned().collect()
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
