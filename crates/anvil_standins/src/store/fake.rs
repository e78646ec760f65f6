//! A fake store without sockets and clock, with entries, leases, watches and injected faults.

use std::time::Duration;

use anvil_types::{store, time};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Every call is refused without effect.
    pub down: bool,
    /// Share of calls that take effect but whose answer is lost, in percent.
    pub lost_answers: u32,
    /// Share of calls that are lost before they take effect, in percent.
    pub lost_calls: u32,
    /// Watches hear of nothing that is written.
    pub deaf_watches: bool,
}

/// Counts of calls by kind; a waiting watch counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Gets, lists and watches.
    pub reads: u64,
    /// Swaps, removals and lease operations.
    pub writes: u64,
    /// Watches among the reads.
    pub watches: u64,
    /// Calls refused while the store was down.
    pub refused: u64,
    /// Largest value ever written, in bytes.
    pub largest_value: usize,
}

#[derive(Clone, Debug)]
struct FakeEntry {
    entry: store::StoreEntry,
    lease: Option<store::LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct FakeLease {
    id: store::LeaseId,
    duration: Duration,
    until: time::NodeTime,
}

#[derive(Clone, Debug)]
struct FakeWatch<Caller> {
    caller: Caller,
    prefix: store::StoreKey,
    seen: store::StoreVersion,
    until: time::NodeTime,
}

/// The store; `Caller` identifies the caller of a waiting watch.
#[derive(Clone, Debug)]
pub struct FakeStore<Caller> {
    /// The injected faults.
    pub faults: StoreFaults,
    counts: CallCounts,
    entries: Vec<FakeEntry>,
    leases: Vec<FakeLease>,
    watches: Vec<FakeWatch<Caller>>,
    version: store::StoreVersion,
    /// The version from which on watches can be continued.
    history_from: store::StoreVersion,
    last_lease: u64,
    rng: Pcg64Mcg,
}

impl<Caller> FakeStore<Caller>
where
    Caller: Clone,
{
    /// An empty store; `seed` determines which calls and answers are lost.
    pub fn new(seed: u64) -> Self {
        Self {
            faults: StoreFaults::default(),
            counts: CallCounts::default(),
            entries: Vec::new(),
            leases: Vec::new(),
            watches: Vec::new(),
            version: store::StoreVersion(0),
            history_from: store::StoreVersion(0),
            last_lease: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Calls so far.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Number of waiting watches.
    pub fn waiting(&self) -> usize {
        self.watches.len()
    }

    /// All entries, sorted by key.
    pub fn entries<'store>(
        &'store self,
    ) -> impl Iterator<Item = &'store store::StoreEntry> + use<'store, Caller> {
        self.entries.iter().map(|item| &item.entry)
    }

    /// Carries out one call. Returns nothing if it is a watch that has to wait.
    pub fn carry_out(
        &mut self,
        now: time::NodeTime,
        caller: Caller,
        request: &store::StoreRequest,
    ) -> Option<store::StoreOutcome> {
        if let Some(refusal) = self.admit(now, request) {
            return Some(refusal);
        }
        let outcome = match request {
            store::StoreRequest::Watch { prefix, seen, wait } => {
                self.watch(now, caller, prefix, *seen, *wait)?
            }
            _ => self.answer(now, request),
        };
        if self.draws_fault(self.faults.lost_answers) {
            return Some(store::StoreOutcome::Unknown);
        }
        Some(outcome)
    }

    /// Counts one call. Returns its outcome if a fault prevents it from taking effect.
    pub fn admit(
        &mut self,
        now: time::NodeTime,
        request: &store::StoreRequest,
    ) -> Option<store::StoreOutcome> {
        self.expire_leases(now);
        self.count(request);
        if self.faults.down {
            self.counts.refused += 1;
            return Some(store::StoreOutcome::Unavailable);
        }
        let lost = self.draws_fault(self.faults.lost_calls);
        lost.then_some(store::StoreOutcome::Unknown)
    }

    /// Ends the watches that have new entries or whose time is over.
    pub fn due_watches(&mut self, now: time::NodeTime) -> Vec<(Caller, store::StoreOutcome)> {
        self.expire_leases(now);
        let mut ended = Vec::new();
        let waiting = std::mem::take(&mut self.watches);
        for watch in waiting {
            if self.cannot_continue(watch.seen) {
                ended.push((watch.caller, store::StoreOutcome::HistoryTrimmed));
                continue;
            }
            let found = self.heard_since(&watch.prefix, watch.seen);
            if found.is_empty() && watch.until > now && !self.faults.down {
                self.watches.push(watch);
                continue;
            }
            let outcome = if self.faults.down {
                store::StoreOutcome::Unknown
            } else {
                self.listed(found, false)
            };
            ended.push((watch.caller, outcome));
        }
        ended
    }

    /// The present outcome of a watch of `prefix`; none if it has no new entries and its time is
    /// not `over`.
    pub fn peek(
        &mut self,
        prefix: &store::StoreKey,
        seen: store::StoreVersion,
        over: bool,
    ) -> Option<store::StoreOutcome> {
        let found = self.written_since(prefix, seen);
        (over || !found.is_empty()).then(|| self.listed(found, false))
    }

    /// Restores an older copy of the store, which loses later writes and all leases.
    pub fn restore_copy(&mut self, copy: &Self) {
        let unleased = copy.entries.iter().filter(|item| item.lease.is_none());
        self.entries = unleased.cloned().collect();
        self.leases.clear();
        self.version = copy.version;
    }

    /// Drops every watch, like a restart of the platform.
    pub fn drop_watches(&mut self) -> Vec<(Caller, store::StoreOutcome)> {
        self.drop_watches_of(|_| true)
    }

    /// Drops the watches of the callers that `drops` selects.
    pub fn drop_watches_of<Drops>(&mut self, drops: Drops) -> Vec<(Caller, store::StoreOutcome)>
    where
        Drops: Fn(&Caller) -> bool,
    {
        let waiting = std::mem::take(&mut self.watches).into_iter();
        let (dropped, kept) = waiting.partition(|watch| drops(&watch.caller));
        self.watches = kept;
        let dropped: Vec<FakeWatch<Caller>> = dropped;
        let ended = dropped.into_iter();
        ended
            .map(|watch| (watch.caller, store::StoreOutcome::Unknown))
            .collect()
    }

    /// Drops the history: watches from an earlier version can't be continued.
    pub fn drop_history(&mut self) {
        self.history_from = self.version;
    }

    /// Removes expired leases and their entries.
    fn expire_leases(&mut self, now: time::NodeTime) {
        let leases = &mut self.leases;
        leases.retain(|lease| lease.until > now);
        let alive = |id: store::LeaseId| leases.iter().any(|lease| lease.id == id);
        let before = self.entries.len();
        self.entries.retain(|item| item.lease.is_none_or(alive));
        if self.entries.len() < before {
            self.version.0 += 1;
        }
    }

    fn count(&mut self, request: &store::StoreRequest) {
        match request {
            store::StoreRequest::Get { .. } | store::StoreRequest::List { .. } => {
                self.counts.reads += 1;
            }
            store::StoreRequest::Watch { .. } => {
                self.counts.reads += 1;
                self.counts.watches += 1;
            }
            store::StoreRequest::Swap { value, .. } => {
                self.counts.writes += 1;
                self.counts.largest_value = self.counts.largest_value.max(value.len());
            }
            store::StoreRequest::Remove { .. }
            | store::StoreRequest::Grant { .. }
            | store::StoreRequest::Renew { .. } => self.counts.writes += 1,
        }
    }

    fn draws_fault(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.next_u32() % 100 < percent
    }

    fn answer(
        &mut self,
        now: time::NodeTime,
        request: &store::StoreRequest,
    ) -> store::StoreOutcome {
        match request {
            store::StoreRequest::Get { key } => {
                let entry = self.current(key);
                store::StoreOutcome::Done(store::StoreReply::Entry(entry))
            }
            store::StoreRequest::Swap {
                key,
                condition,
                value,
                lease,
            } => self.swap(key, *condition, value, *lease),
            store::StoreRequest::Remove { key, version } => self.remove(key, *version),
            store::StoreRequest::Grant { lease } => self.grant(now, *lease),
            store::StoreRequest::Renew { lease } => self.renew(now, *lease),
            store::StoreRequest::List {
                prefix,
                after,
                limit,
            } => self.list(prefix, after.as_ref(), *limit),
            store::StoreRequest::Watch { prefix, seen, .. } => {
                let found = self.written_since(prefix, *seen);
                self.listed(found, false)
            }
        }
    }

    fn watch(
        &mut self,
        now: time::NodeTime,
        caller: Caller,
        prefix: &store::StoreKey,
        seen: store::StoreVersion,
        wait: Duration,
    ) -> Option<store::StoreOutcome> {
        if self.cannot_continue(seen) {
            return Some(store::StoreOutcome::HistoryTrimmed);
        }
        let found = self.heard_since(prefix, seen);
        if !found.is_empty() {
            return Some(self.listed(found, false));
        }
        self.watches.push(FakeWatch {
            caller,
            prefix: prefix.clone(),
            seen,
            until: now + wait,
        });
        None
    }

    fn swap(
        &mut self,
        key: &store::StoreKey,
        condition: store::SwapCondition,
        value: &bytes::Bytes,
        lease: Option<store::LeaseId>,
    ) -> store::StoreOutcome {
        let unknown_lease = lease.is_some_and(|id| self.leases.iter().all(|l| l.id != id));
        if value.len() > store::MAX_VALUE_BYTES || unknown_lease {
            return store::StoreOutcome::Unavailable;
        }
        let position = self.position(key);
        let matches = match (condition, position) {
            (store::SwapCondition::Absent, Err(_)) => true,
            (store::SwapCondition::At(version), Ok(position)) => {
                self.entries[position].entry.version == version
            }
            _ => false,
        };
        if !matches {
            let current = self.current(key);
            return store::StoreOutcome::Conflict { current };
        }
        self.version.0 += 1;
        let entry = store::StoreEntry {
            key: key.clone(),
            version: self.version,
            value: value.clone(),
        };
        let item = FakeEntry { entry, lease };
        match position {
            Ok(position) => self.entries[position] = item,
            Err(position) => self.entries.insert(position, item),
        }
        let version = self.version;
        store::StoreOutcome::Done(store::StoreReply::Swapped { version })
    }

    fn remove(
        &mut self,
        key: &store::StoreKey,
        version: store::StoreVersion,
    ) -> store::StoreOutcome {
        match self.position(key) {
            Ok(position) if self.entries[position].entry.version == version => {
                self.entries.remove(position);
                self.version.0 += 1;
                store::StoreOutcome::Done(store::StoreReply::Removed)
            }
            Ok(_) => {
                let current = self.current(key);
                store::StoreOutcome::Conflict { current }
            }
            Err(_) => store::StoreOutcome::Done(store::StoreReply::Removed),
        }
    }

    fn grant(&mut self, now: time::NodeTime, duration: Duration) -> store::StoreOutcome {
        self.last_lease += 1;
        let lease = store::LeaseId(self.last_lease);
        self.leases.push(FakeLease {
            id: lease,
            duration,
            until: now + duration,
        });
        store::StoreOutcome::Done(store::StoreReply::Granted { lease })
    }

    fn renew(&mut self, now: time::NodeTime, id: store::LeaseId) -> store::StoreOutcome {
        let reply = match self.leases.iter_mut().find(|lease| lease.id == id) {
            Some(lease) => {
                lease.until = now + lease.duration;
                store::StoreReply::Renewed
            }
            None => store::StoreReply::Lapsed,
        };
        store::StoreOutcome::Done(reply)
    }

    fn list(
        &self,
        prefix: &store::StoreKey,
        after: Option<&store::StoreKey>,
        limit: u32,
    ) -> store::StoreOutcome {
        let matching = self.entries.iter().map(|item| &item.entry);
        let matching = matching.filter(|entry| has_prefix(entry, prefix));
        let matching = matching.filter(|entry| after.is_none_or(|after| entry.key > *after));
        let mut found: Vec<_> = matching.cloned().collect();
        let more = found.len() > limit as usize;
        found.truncate(limit as usize);
        self.listed(found, more)
    }

    fn listed(&self, entries: Vec<store::StoreEntry>, more: bool) -> store::StoreOutcome {
        let seen = self.version;
        store::StoreOutcome::Done(store::StoreReply::Listed {
            entries,
            seen,
            more,
        })
    }

    /// Whether a watch from `seen` would miss writes: the store was restored from an older copy, or
    /// its history was dropped.
    fn cannot_continue(&self, seen: store::StoreVersion) -> bool {
        seen > self.version || seen < self.history_from
    }

    /// What a watch hears of the entries that were written after `seen`.
    fn heard_since(
        &self,
        prefix: &store::StoreKey,
        seen: store::StoreVersion,
    ) -> Vec<store::StoreEntry> {
        match self.faults.deaf_watches {
            true => Vec::new(),
            false => self.written_since(prefix, seen),
        }
    }

    fn written_since(
        &self,
        prefix: &store::StoreKey,
        seen: store::StoreVersion,
    ) -> Vec<store::StoreEntry> {
        let entries = self.entries.iter().map(|item| &item.entry);
        let found = entries.filter(|entry| has_prefix(entry, prefix) && entry.version > seen);
        found.cloned().collect()
    }

    fn current(&self, key: &store::StoreKey) -> Option<store::StoreEntry> {
        let position = self.position(key).ok()?;
        Some(self.entries[position].entry.clone())
    }

    fn position(&self, key: &store::StoreKey) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|item| item.entry.key.cmp(key))
    }
}

fn has_prefix(entry: &store::StoreEntry, prefix: &store::StoreKey) -> bool {
    entry.key.as_str().starts_with(prefix.as_str())
}
