//! Records of actual runs and of replies to callers, kept outside the system under test.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use anvil_types::{context, ident, sorted};
use derive_more::Display;
use tokio::sync::watch;

/// One run at a stand-in target.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The root request that it served, from the request's path.
    pub root: String,
    /// The service and the key of a non-idempotent action.
    pub key: Option<ident::RequestKey>,
    /// The experiment's name of the target that ran it.
    pub target: String,
    /// The parent token that came with it: the run's number at the node that sent it, and a proof
    /// that only that process can create, which distinguishes runs of different processes.
    pub parent: String,
    /// When it started, since the start of the ledger.
    pub started: Duration,
    /// When it ended; none while it is running.
    pub ended: Option<Duration>,
    /// Whether it completed.
    pub completed: bool,
}

impl RunRecord {
    /// How long the run held a slot.
    pub fn slot_time(&self) -> Duration {
        self.ended
            .map_or(Duration::ZERO, |ended| ended.saturating_sub(self.started))
    }
}

/// Identifies one run of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunIndex(usize);

/// The result of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The complete answer to its own request.
    #[display("whole")]
    Complete,
    /// An answer to another request, or an incomplete one.
    #[display("foreign")]
    Foreign,
    /// An answer of the target that reports a failure of a deeper service.
    #[display("failed")]
    Failed,
    /// Refused as not run.
    #[display("not-run")]
    NotRun,
    /// The outcome is unknown.
    #[display("may-have-run")]
    MayHaveRun,
    /// There was no answer in time.
    #[display("silent")]
    Silent,
}

/// One send of a root request, and its result.
#[derive(Clone, Debug)]
pub struct SendRecord {
    /// The entry node that was tried last.
    pub entry: std::net::SocketAddr,
    /// When it was sent, since the start of the ledger.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How it ended.
    pub outcome: CallerOutcome,
    /// Attempts that the entry node reports.
    pub attempts: u32,
    /// Why there was no answer, from the reply or the connection error.
    pub reason: Option<String>,
}

impl SendRecord {
    /// Whether the caller got neither its answer nor a refusal as not run.
    pub fn is_cut(&self) -> bool {
        !matches!(
            self.outcome,
            CallerOutcome::Complete | CallerOutcome::NotRun
        )
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
    /// All sends of the request.
    pub sends: Vec<SendRecord>,
    /// Attempts that the entry node reported for the last send.
    pub attempts: u32,
    /// The index of the rule that decided, from the reply.
    pub rule: Option<String>,
    /// Why there was no answer, from the reply.
    pub reason: Option<String>,
}

/// The resource usage of one node process since its start.
#[derive(Clone, Copy, Debug)]
pub struct UsageRecord {
    /// Processor time, user and system.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Everything recorded in one experiment.
#[derive(Debug)]
pub struct RunLedger {
    start: Instant,
    /// The start as time since the Unix epoch.
    unix_start: Duration,
    /// Prefix of the ids of this experiment's root requests; if it is empty, every id matches.
    tag: String,
    usage: Mutex<Vec<UsageRecord>>,
    runs: Mutex<Vec<RunRecord>>,
    /// Keys that have started to run.
    keys: Mutex<sorted::SortedTable<ident::RequestKey, ()>>,
    foreign_runs: Mutex<Vec<RunRecord>>,
    callers: Mutex<Vec<CallerRecord>>,
    key_ran_twice: watch::Sender<bool>,
}

impl Default for RunLedger {
    /// A ledger that accepts every request as its own.
    fn default() -> Self {
        Self::with_tag(String::new())
    }
}

impl RunLedger {
    /// A ledger of the requests whose ids begin with `tag`; other runs are recorded as foreign.
    pub fn with_tag(tag: String) -> Self {
        Self {
            start: Instant::now(),
            unix_start: SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default(),
            tag,
            usage: Mutex::default(),
            runs: Mutex::default(),
            keys: Mutex::default(),
            foreign_runs: Mutex::default(),
            callers: Mutex::default(),
            key_ran_twice: watch::Sender::new(false),
        }
    }

    /// Converts a time since the start to seconds since the Unix epoch, as in node logs.
    pub fn unix_seconds(&self, since: Duration) -> f64 {
        (self.unix_start + since).as_secs_f64()
    }

    /// Time since the start of the ledger.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records the start of a run.
    ///
    /// A run counts from its start, so that a second run of a key is noticed while both processes
    /// and their logs still exist.
    pub fn begin(&self, record: RunRecord) -> Option<RunIndex> {
        if !record.root.starts_with(&self.tag) {
            lock(&self.foreign_runs).push(record);
            return None;
        }
        if let Some(key) = record.key
            && lock(&self.keys).insert(key, ()).is_some()
        {
            self.key_ran_twice.send_replace(true);
        }
        let mut runs = lock(&self.runs);
        runs.push(record);
        Some(RunIndex(runs.len() - 1))
    }

    /// Records the end of a run.
    pub fn end(&self, run: RunIndex, completed: bool) {
        let now = self.now();
        if let Some(record) = lock(&self.runs).get_mut(run.0) {
            record.ended = Some(now);
            record.completed = completed;
        }
    }

    /// Records the end of a caller's request.
    pub fn record_caller(&self, record: CallerRecord) {
        lock(&self.callers).push(record);
    }

    /// Records a node's resource usage.
    pub fn record_usage(&self, record: UsageRecord) {
        lock(&self.usage).push(record);
    }

    /// The recorded resource usage of all nodes.
    pub fn usage(&self) -> Vec<UsageRecord> {
        lock(&self.usage).clone()
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.runs).clone()
    }

    /// Runs of requests that no caller of this experiment sent.
    pub fn foreign_runs(&self) -> Vec<RunRecord> {
        lock(&self.foreign_runs).clone()
    }

    /// All ended requests so far.
    pub fn callers(&self) -> Vec<CallerRecord> {
        lock(&self.callers).clone()
    }

    /// Becomes true when a key runs for the second time.
    pub fn key_ran_twice(&self) -> watch::Receiver<bool> {
        self.key_ran_twice.subscribe()
    }

    /// The runs of keys that ran more than once, key by key.
    pub fn repeated_key_runs(&self) -> Vec<RunRecord> {
        let mut runs = self.runs();
        runs.retain(|run| run.key.is_some());
        runs.sort_by_key(|run| run.key);
        let groups = runs.chunk_by(|left, right| left.key == right.key);
        let repeated = groups.filter(|group| group.len() > 1);
        repeated.flatten().cloned().collect()
    }

    /// The largest number of runs of any key of a non-idempotent action.
    pub fn max_runs_per_key(&self) -> usize {
        let mut keys: Vec<_> = lock(&self.runs).iter().filter_map(|run| run.key).collect();
        keys.sort_unstable();
        let groups = keys.chunk_by(|left, right| left == right);
        groups.map(<[_]>::len).max().unwrap_or(0)
    }
}

/// Ignores poisoning: records are written as a whole, so they stay readable after a writer's panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
