//! The records of one slot.
//!
//! Records are sorted by key within buckets. A single sorted vector would move megabytes at each
//! insertion, since a slot of the largest fleet holds 300,000 records.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{ident, time, verdict};
use anvil_wire::{call, key};

/// Number of leading bits of a key that select its bucket.
const BUCKET_BITS: u32 = 8;

/// One recorded key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyEntry {
    /// The key.
    pub key: ident::RequestKey,
    /// The digest of the request.
    pub fingerprint: ident::RequestFingerprint,
    /// The only call that may ever run the key.
    pub call: ident::CallId,
    /// The sequence number of the last change within the slot.
    pub order: u64,
    /// When the key was recorded, on this node's clock.
    pub recorded_at: time::NodeTime,
    /// What is known about its execution.
    pub state: key::RecordState,
}

impl KeyEntry {
    /// The record as it is sent to the backup.
    pub fn to_record(&self, now: time::NodeTime) -> key::KeyRecord {
        let age = now.since(self.recorded_at).as_micros();
        key::KeyRecord {
            key: self.key,
            fingerprint: self.fingerprint,
            call: self.call,
            order: self.order,
            age_micros: u64::try_from(age).unwrap_or(u64::MAX),
            state: self.state.clone(),
        }
    }

    fn from_record(now: time::NodeTime, record: key::KeyRecord) -> Self {
        Self {
            key: record.key,
            fingerprint: record.fingerprint,
            call: record.call,
            order: record.order,
            recorded_at: time::NodeTime(now.0.saturating_sub(record.age_micros)),
            state: record.state,
        }
    }

    fn answer_bytes(&self) -> usize {
        match &self.state {
            key::RecordState::Answered(Some(answer)) => answer_size(answer),
            _ => 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KeyBucket {
    prefix: u8,
    entries: Vec<KeyEntry>,
}

/// The records of one slot, sorted by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyTable {
    buckets: Vec<KeyBucket>,
    /// When each key was recorded, oldest first.
    ages: VecDeque<(time::NodeTime, ident::RequestKey)>,
    count: usize,
    bytes: usize,
}

impl KeyTable {
    /// Records held.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Whether no record is held.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Bytes of the cached answers.
    pub const fn answer_bytes(&self) -> usize {
        self.bytes
    }

    /// The highest sequence number of all records, or zero.
    pub fn highest_order(&self) -> u64 {
        self.iter().map(|entry| entry.order).max().unwrap_or(0)
    }

    /// All records in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &KeyEntry> {
        self.buckets.iter().flat_map(|bucket| bucket.entries.iter())
    }

    /// The record of `key`.
    pub fn get(&self, key: ident::RequestKey) -> Option<&KeyEntry> {
        let bucket = &self.buckets[self.bucket(key).ok()?];
        let at = find(&bucket.entries, key).ok()?;
        Some(&bucket.entries[at])
    }

    /// Up to `limit` records that follow `after` in the order of keys.
    pub fn part(&self, after: Option<ident::RequestKey>, limit: usize) -> Vec<KeyEntry> {
        let first = after.map_or(0, |key| match self.bucket(key) {
            Ok(at) | Err(at) => at,
        });
        let entries = self.buckets[first..]
            .iter()
            .flat_map(|bucket| bucket.entries.iter());
        let following = entries.filter(|entry| after.is_none_or(|key| entry.key > key));
        following.take(limit).cloned().collect()
    }

    /// Inserts a record, replacing an existing one of the same key.
    pub fn put(&mut self, entry: KeyEntry) {
        self.remove(entry.key);
        self.count += 1;
        self.bytes += entry.answer_bytes();
        let age = (entry.recorded_at, entry.key);
        let at = self.ages.partition_point(|other| *other < age);
        self.ages.insert(at, age);
        let at = self.bucket_or_insert(entry.key);
        let entries = &mut self.buckets[at].entries;
        let (Ok(at) | Err(at)) = find(entries, entry.key);
        entries.insert(at, entry);
    }

    /// Inserts a record that another owner sent, unless a newer one is known; returns whether the
    /// table now holds exactly that record.
    pub fn merge(&mut self, now: time::NodeTime, record: key::KeyRecord) -> bool {
        // A delayed duplicate of an older record would restore the previous holder of a key, and
        // the record of the new holder would be lost at a takeover. The sequence number detects it.
        match self.get(record.key) {
            Some(known) if known.order > record.order => false,
            Some(known) if known.order == record.order => true,
            _ => {
                self.put(KeyEntry::from_record(now, record));
                true
            }
        }
    }

    /// Changes the state of a recorded key.
    pub fn set_state(&mut self, key: ident::RequestKey, order: u64, state: key::RecordState) {
        let Ok(at) = self.bucket(key) else { return };
        let entries = &mut self.buckets[at].entries;
        let Ok(at) = find(entries, key) else { return };
        self.bytes -= entries[at].answer_bytes();
        entries[at].state = state;
        entries[at].order = order;
        self.bytes += entries[at].answer_bytes();
    }

    /// Removes the record of a key.
    pub fn remove(&mut self, key: ident::RequestKey) {
        let Ok(bucket) = self.bucket(key) else { return };
        let entries = &mut self.buckets[bucket].entries;
        let Ok(at) = find(entries, key) else { return };
        let entry = entries.remove(at);
        if entries.is_empty() {
            self.buckets.remove(bucket);
        }
        self.bytes -= entry.answer_bytes();
        self.count -= 1;
        let age = (entry.recorded_at, key);
        if let Ok(at) = self.ages.binary_search(&age) {
            self.ages.remove(at);
        }
    }

    /// Removes the records whose retention ended; returns how many.
    pub fn expire(&mut self, now: time::NodeTime, retention: Duration) -> u64 {
        let mut removed = 0;
        while let Some((recorded, key)) = self.ages.front().copied() {
            if now.since(recorded) < retention {
                break;
            }
            self.remove(key);
            removed += 1;
        }
        removed
    }

    /// Drops the oldest cached answers until at most `limit` bytes remain.
    pub fn trim_answers(&mut self, limit: usize) {
        let mut at = 0;
        while self.bytes > limit && at < self.ages.len() {
            let key = self.ages[at].1;
            at += 1;
            if let Some(entry) = self.get(key).filter(|entry| entry.answer_bytes() > 0) {
                let order = entry.order;
                self.set_state(key, order, key::RecordState::Answered(None));
            }
        }
    }

    fn bucket(&self, key: ident::RequestKey) -> Result<usize, usize> {
        let prefix = prefix_of(key);
        self.buckets
            .binary_search_by_key(&prefix, |bucket| bucket.prefix)
    }

    fn bucket_or_insert(&mut self, key: ident::RequestKey) -> usize {
        match self.bucket(key) {
            Ok(at) => at,
            Err(at) => {
                let bucket = KeyBucket {
                    prefix: prefix_of(key),
                    entries: Vec::new(),
                };
                self.buckets.insert(at, bucket);
                at
            }
        }
    }
}

/// The state of a key after an outcome; `None` if the key is released.
pub fn state_after(outcome: &key::KeyOutcome, answer_limit: usize) -> Option<key::RecordState> {
    match outcome {
        key::KeyOutcome::NotRun => None,
        key::KeyOutcome::MayHaveRun(reason) => Some(key::RecordState::Uncertain(*reason)),
        key::KeyOutcome::Answered(answer) => {
            let cached = answer
                .as_deref()
                .filter(|answer| answer_size(answer) <= answer_limit);
            Some(key::RecordState::Answered(cached.cloned().map(Box::new)))
        }
    }
}

/// The reason given to a duplicate of an answered request whose answer is no longer cached.
pub const ANSWER_DROPPED: verdict::UncertaintyReason = verdict::UncertaintyReason::RecordLost;

fn answer_size(answer: &call::CallAnswer) -> usize {
    let line = |line: &call::HeaderLine| line.name.len() + line.value.len();
    answer.body.len() + answer.headers.iter().map(line).sum::<usize>()
}

fn find(entries: &[KeyEntry], key: ident::RequestKey) -> Result<usize, usize> {
    entries.binary_search_by_key(&key, |entry| entry.key)
}

fn prefix_of(key: ident::RequestKey) -> u8 {
    (key.0 >> (u128::BITS - BUCKET_BITS)) as u8
}
