//! One budget for the bodies that a node holds, wherever they lie.
//!
//! Each body is bounded by itself, but all bodies of all connections exceed the memory of an
//! instance. A body therefore carries a lease on the budget, from its first bytes on until the last
//! part of the node has dropped it: at the edges, in queues, on connections to other nodes, at the
//! target, and while a caller reads its answer. See `docs/design/body-memory.md`.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anvil_types::sorted;
use bytes::Bytes;
use derive_more::{AsRef, Display, Error};
use tokio::sync::Notify;

use crate::counters;

/// The memory of the smallest instances, in bytes.
pub const SMALLEST_INSTANCE_BYTES: u64 = 160_000_000;

/// Bytes of one body that need no lease.
pub const FREE_BYTES: usize = 4 * 1024;

/// Bytes of a request body that does not count as large.
pub const SMALL_REQUEST_BYTES: usize = 16 * 1024;

/// Bytes of an answer that does not count as large.
pub const SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// Share of the instance's memory for bodies, in percent. The rest is for the process itself and the
/// buffers of its connections.
const BODY_PERCENT: u64 = 50;

/// Share of the budget that all large bodies may take, in 32nds. Small ones always find some of it.
const LARGE_PARTS: usize = 31;

/// Share of the budget that large requests may take, in 32nds. Large answers always find some of
/// it, since their requests have run.
const REQUEST_PARTS: usize = 28;

/// Share of the budget that large answers may take while the target sends them, in 32nds.
const ARRIVING_PARTS: usize = 12;

/// Longest wait for memory of a request, which other callers' requests wait behind.
const REQUEST_WAIT: Duration = Duration::from_millis(250);

/// Longest wait for memory of an answer. Answers that wait for each other would otherwise wait until
/// their deadlines.
const ANSWER_WAIT: Duration = Duration::from_millis(1_000);

/// Shortest time without a byte after which a caller's connection gives way to others.
const MIN_STALL_TIME: Duration = Duration::from_millis(750);

/// Time after which a caller's connection gives way to others although it moves. Otherwise a byte now
/// and then would keep the memory.
const MAX_MOVING_TIME: Duration = Duration::from_secs(10);

/// Interval between two log lines about refused bodies.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a body belongs to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BodyKind {
    /// A request.
    #[display("request")]
    Request,
    /// An answer that the target is sending.
    #[display("arriving answer")]
    ArrivingAnswer,
    /// An answer.
    #[display("answer")]
    Answer,
}

impl BodyKind {
    const fn longest_wait(self) -> Duration {
        match self {
            Self::Request => REQUEST_WAIT,
            Self::ArrivingAnswer | Self::Answer => ANSWER_WAIT,
        }
    }

    /// Bytes that need no lease while the body is received. The slots of the target bound the answers
    /// that it sends at the same time.
    const fn free_bytes(self) -> usize {
        match self {
            Self::ArrivingAnswer => SMALL_ANSWER_BYTES,
            Self::Request | Self::Answer => FREE_BYTES,
        }
    }

    /// What a lease of `bytes` takes of the share for large bodies.
    const fn large_bytes(self, bytes: usize) -> usize {
        let small = match self {
            Self::Request => SMALL_REQUEST_BYTES,
            Self::ArrivingAnswer | Self::Answer => SMALL_ANSWER_BYTES,
        };
        if bytes > small { bytes } else { 0 }
    }
}

/// No memory is left for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("no memory is left for the body")]
pub struct MemoryError;

/// One hold of a caller's connection.
#[derive(Clone, Debug)]
struct HoldEntry {
    since: Instant,
    /// When its caller last sent or took a byte, in milliseconds after `since`.
    moved_ms: Arc<AtomicU64>,
    evicted: Arc<Notify>,
}

impl HoldEntry {
    /// How much this hold should give way to others; none if it need not.
    fn eviction_rank(&self) -> Option<Duration> {
        let age = self.since.elapsed();
        let moved = Duration::from_millis(self.moved_ms.load(Ordering::Relaxed));
        let stall = age.saturating_sub(moved);
        match stall >= MIN_STALL_TIME {
            true => Some(stall.max(age.saturating_sub(MAX_MOVING_TIME))),
            false => age.checked_sub(MAX_MOVING_TIME),
        }
    }
}

#[derive(Debug, Default)]
struct MemoryUsage {
    total: usize,
    large: usize,
    /// The parts of `large` that are requests, and answers that the target is sending.
    requests: usize,
    arriving: usize,
    holds: sorted::SortedTable<u64, HoldEntry>,
    last_hold: u64,
}

impl MemoryUsage {
    /// What the large bodies of `kind` take of their share; answers have none of their own.
    fn share_mut(&mut self, kind: BodyKind) -> Option<&mut usize> {
        match kind {
            BodyKind::Request => Some(&mut self.requests),
            BodyKind::ArrivingAnswer => Some(&mut self.arriving),
            BodyKind::Answer => None,
        }
    }
}

#[derive(Debug)]
struct MemoryState {
    total_limit: usize,
    request_limit: usize,
    usage: Mutex<MemoryUsage>,
    freed: Notify,
    counters: counters::EdgeCounters,
    started_at: Instant,
    /// When the last line was logged, in milliseconds since `started_at`; zero if none was.
    logged_at: AtomicU64,
    /// Refusals since the last log line.
    unlogged: AtomicU64,
}

/// The memory for bodies of an instance with `instance_bytes` of memory, in bytes.
fn total_bytes(instance_bytes: u64) -> usize {
    usize::try_from(instance_bytes / 100 * BODY_PERCENT).unwrap_or(usize::MAX)
}

/// The longest request body for which an instance with `instance_bytes` of memory has room while it
/// holds nothing else, in bytes.
pub fn largest_request(instance_bytes: u64) -> usize {
    total_bytes(instance_bytes) / 32 * REQUEST_PARTS
}

/// The memory for bodies, shared by all parts of a node.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    state: Arc<MemoryState>,
}

impl MemoryState {
    const fn share_limit(&self, kind: BodyKind) -> usize {
        match kind {
            BodyKind::Request => self.request_limit,
            BodyKind::ArrivingAnswer => self.total_limit / 32 * ARRIVING_PARTS,
            BodyKind::Answer => self.large_limit(),
        }
    }

    const fn large_limit(&self) -> usize {
        self.total_limit / 32 * LARGE_PARTS
    }
}

impl BodyMemory {
    /// The memory for bodies of an instance with `instance_bytes` of memory.
    pub fn new(instance_bytes: u64, counters: counters::EdgeCounters) -> Self {
        let total_limit = total_bytes(instance_bytes);
        let state = MemoryState {
            total_limit,
            request_limit: largest_request(instance_bytes),
            usage: Mutex::default(),
            freed: Notify::new(),
            counters,
            started_at: Instant::now(),
            logged_at: AtomicU64::new(0),
            unlogged: AtomicU64::new(0),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// See [`largest_request`].
    pub fn largest_request(&self) -> usize {
        self.state.request_limit
    }

    /// Bytes that all leases hold.
    pub fn held_bytes(&self) -> usize {
        self.usage().total
    }

    /// A lease of no bytes.
    pub fn lease(&self, kind: BodyKind) -> BodyLease {
        BodyLease {
            memory: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Registers that a caller's connection holds memory, for a request that is not complete or an
    /// answer that is not read. If memory is short, the one that has stopped for longest is evicted,
    /// which notifies `evicted`.
    pub fn hold(&self, evicted: Arc<Notify>) -> BodyHold {
        let (since, moved_ms) = (Instant::now(), Arc::new(AtomicU64::new(0)));
        let mut usage = self.usage();
        usage.last_hold += 1;
        let id = usage.last_hold;
        let entry = HoldEntry {
            since,
            moved_ms: moved_ms.clone(),
            evicted,
        };
        usage.holds.insert(id, entry);
        BodyHold {
            memory: self.clone(),
            id,
            since,
            moved_ms,
        }
    }

    /// Gives a body that was received whole a lease, if it needs one.
    pub fn own(&self, kind: BodyKind, bytes: Bytes) -> Result<Bytes, MemoryError> {
        self.lease(kind).attach(bytes)
    }

    /// Counts and logs a body that was refused or given up. The lines are bounded, as a crowd of
    /// callers would otherwise fill the log.
    pub fn record_refusal(&self, cause: counters::EdgeCause) {
        let state = &self.state;
        state.counters.count(cause);
        let refused = state.unlogged.fetch_add(1, Ordering::Relaxed) + 1;
        let now = u64::try_from(state.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let logged_at = state.logged_at.load(Ordering::Relaxed);
        let interval = u64::try_from(LOG_INTERVAL.as_millis()).unwrap_or(u64::MAX);
        if logged_at != 0 && now.saturating_sub(logged_at) < interval {
            return;
        }
        state.logged_at.store(now.max(1), Ordering::Relaxed);
        state.unlogged.store(0, Ordering::Relaxed);
        let facts = serde_json::json!({
            "event": "body-refused",
            "cause": cause.to_string(),
            "refused": refused,
            "held_bytes": self.held_bytes(),
            "limit_bytes": state.total_limit,
        });
        log::warn!("{facts}");
    }

    /// Evicts the hold that has stopped for longest; false if all move, or began just now.
    fn evict_oldest(&self) -> bool {
        let mut usage = self.usage();
        let evictable = usage.holds.iter().filter_map(|(id, entry)| {
            let rank = entry.eviction_rank()?;
            Some((rank, *id))
        });
        let Some((_, id)) = evictable.max() else {
            return false;
        };
        if let Some(entry) = usage.holds.remove(id) {
            entry.evicted.notify_one();
        }
        true
    }

    fn usage(&self) -> MutexGuard<'_, MemoryUsage> {
        let usage = &self.state.usage;
        usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_usage(&self, usage: &MemoryUsage) {
        let held = i64::try_from(usage.total).unwrap_or(i64::MAX);
        self.state.counters.body_bytes().set(held);
    }
}

/// A hold of a caller's connection, which ends when dropped.
#[derive(Debug)]
pub struct BodyHold {
    memory: BodyMemory,
    id: u64,
    since: Instant,
    moved_ms: Arc<AtomicU64>,
}

impl BodyHold {
    /// Whether it had to give way to others.
    pub fn is_evicted(&self) -> bool {
        self.memory.usage().holds.get(self.id).is_none()
    }

    /// Notes that the caller sent or took a byte at `now`.
    pub fn record_progress(&self, now: Instant) {
        let moved = now.saturating_duration_since(self.since).as_millis();
        let moved = u64::try_from(moved).unwrap_or(u64::MAX);
        self.moved_ms.store(moved, Ordering::Relaxed);
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.memory.usage().holds.remove(self.id);
    }
}

/// The part of a [`BodyMemory`] that one body holds, returned when dropped.
#[derive(Debug)]
pub struct BodyLease {
    memory: BodyMemory,
    kind: BodyKind,
    bytes: usize,
}

impl BodyLease {
    /// Grows to `bytes` in total if the memory is free.
    pub fn try_grow(&mut self, bytes: usize) -> Result<(), MemoryError> {
        let Some(missing) = bytes.checked_sub(self.bytes).filter(|missing| *missing > 0) else {
            return Ok(());
        };
        let state = &self.memory.state;
        let mut usage = self.memory.usage();
        if usage.total + missing > state.total_limit {
            return Err(MemoryError);
        }
        let large = self.kind.large_bytes(bytes) - self.kind.large_bytes(self.bytes);
        if large > 0 {
            let limit = state.share_limit(self.kind);
            let share = usage.share_mut(self.kind).map_or(0, |share| *share);
            if usage.large + large > state.large_limit() || share + large > limit {
                return Err(MemoryError);
            }
            usage.large += large;
            if let Some(share) = usage.share_mut(self.kind) {
                *share += large;
            }
        }
        usage.total += missing;
        self.memory.record_usage(&usage);
        drop(usage);
        self.bytes = bytes;
        Ok(())
    }

    /// Like [`Self::try_grow`], and evicts old holds until the memory is free or a time has passed.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), MemoryError> {
        if self.try_grow(bytes).is_ok() {
            return Ok(());
        }
        let until = tokio::time::Instant::now() + self.kind.longest_wait();
        loop {
            let state = self.memory.state.clone();
            let freed = state.freed.notified();
            if self.try_grow(bytes).is_ok() {
                return Ok(());
            }
            let evicted = self.memory.evict_oldest();
            // A request does not wait for others that are still in time.
            if !evicted && self.kind == BodyKind::Request {
                return Err(MemoryError);
            }
            let waited = tokio::time::timeout_at(until, freed).await;
            waited.map_err(|_| MemoryError)?;
        }
    }

    /// Like [`Self::try_grow`], and evicts an old hold for those that come next.
    pub fn grow_or_evict(&mut self, bytes: usize) -> Result<(), MemoryError> {
        let grown = self.try_grow(bytes);
        if grown.is_err() {
            self.memory.evict_oldest();
        }
        grown
    }

    /// Whether it holds any memory.
    pub fn is_held(&self) -> bool {
        self.bytes > 0
    }

    /// Returns all but `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let Some(returned) = self.bytes.checked_sub(bytes).filter(|bytes| *bytes > 0) else {
            return;
        };
        let mut usage = self.memory.usage();
        let large = self.kind.large_bytes(self.bytes) - self.kind.large_bytes(bytes);
        usage.total -= returned;
        usage.large -= large;
        if let Some(share) = usage.share_mut(self.kind) {
            *share -= large;
        }
        self.memory.record_usage(&usage);
        drop(usage);
        self.bytes = bytes;
        self.memory.state.freed.notify_waiters();
    }

    /// Ends the arrival of an answer.
    fn end_arrival(&mut self) {
        if self.kind == BodyKind::ArrivingAnswer {
            self.memory.usage().arriving -= self.kind.large_bytes(self.bytes);
            self.kind = BodyKind::Answer;
            self.memory.state.freed.notify_waiters();
        }
    }

    /// Ties the lease to a body that is complete, so that it lasts as long as the body.
    pub fn attach(mut self, bytes: Bytes) -> Result<Bytes, MemoryError> {
        self.end_arrival();
        if bytes.len() <= FREE_BYTES {
            return Ok(bytes);
        }
        self.grow_or_evict(bytes.len())?;
        self.shrink(bytes.len());
        Ok(Bytes::from_owner(LeasedBytes {
            bytes,
            _lease: self,
        }))
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

#[derive(AsRef)]
struct LeasedBytes {
    #[as_ref([u8])]
    bytes: Bytes,
    _lease: BodyLease,
}

/// A body that is being received, with its lease.
///
/// The content is copied together: a piece as it was read keeps the whole read buffer, and tiny
/// chunks would take many times their bytes.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    limit: usize,
    lease: BodyLease,
}

impl BodyBuffer {
    /// An empty body, which will have at most `limit` bytes.
    pub fn new(memory: &BodyMemory, kind: BodyKind, limit: usize) -> Self {
        Self {
            bytes: Vec::new(),
            limit,
            lease: memory.lease(kind),
        }
    }

    /// Number of bytes received.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether it holds memory that others may need.
    pub fn is_leased(&self) -> bool {
        self.lease.is_held()
    }

    /// Appends bytes that keep the body within its limit, after a wait for memory if need be.
    pub async fn push(&mut self, bytes: &[u8]) -> Result<(), MemoryError> {
        if let Some(capacity) = self.missing_capacity(bytes) {
            self.lease.grow(capacity).await?;
            self.reserve(capacity);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Like [`Self::push`], without a wait.
    pub fn try_push(&mut self, bytes: &[u8]) -> Result<(), MemoryError> {
        if let Some(capacity) = self.missing_capacity(bytes) {
            self.lease.grow_or_evict(capacity)?;
            self.reserve(capacity);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// The complete body, which keeps its lease.
    pub fn finish(mut self) -> Result<Bytes, MemoryError> {
        self.bytes.shrink_to_fit();
        self.lease.attach(Bytes::from(self.bytes))
    }

    /// The capacity to grow to for `bytes` more; none if they need no larger lease.
    fn missing_capacity(&self, bytes: &[u8]) -> Option<usize> {
        let needed = self.bytes.len() + bytes.len();
        if needed <= self.lease.kind.free_bytes() || needed <= self.lease.bytes {
            return None;
        }
        // Powers of two bound how often a long body is moved.
        Some(needed.next_power_of_two().min(self.limit).max(needed))
    }

    fn reserve(&mut self, capacity: usize) {
        self.bytes.reserve_exact(capacity - self.bytes.len());
    }
}
