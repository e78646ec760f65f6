//! Snapshots of the rules in the store: writing them in chunks, trimming the log, reading them.

use anvil_types::{ident, store, time};
use anvil_wire::gossip;
use bytes::Bytes;

use crate::{effect, fleet, keys, snapshot, spread, store_requests};

/// Maximum number of log entries removed per list request.
const TRIM_LIMIT: u32 = 128;

impl fleet::FleetState {
    /// Starts to write a snapshot if the log has grown enough, and runs the step that is due.
    pub(super) fn snapshot_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if self.snapshot.open.is_none() {
            if !self.contacts.watches_log() || self.revision() < self.snapshot.next_revision {
                return;
            }
            self.snapshot.open = Some(snapshot::SnapshotWrite {
                step: snapshot::SnapshotStep::Check,
                condition: store::SwapCondition::Absent,
                manifest: None,
                body: Bytes::new(),
            });
            self.snapshot.due = Some(now);
        }
        if self.snapshot.due.take_if(|due| *due <= now).is_some() {
            self.snapshot_step(now, out);
        }
    }

    /// Starts to write the chunks of `snapshot`.
    pub(super) fn begin_chunks(
        &mut self,
        now: time::NodeTime,
        snapshot: gossip::LoggedChange,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let local = self.local;
        let Some(open) = &mut self.snapshot.open else {
            return;
        };
        let chunks = snapshot.body.len().div_ceil(spread::CHUNK_BYTES);
        open.manifest = Some(gossip::SnapshotManifest {
            revision: snapshot.revision,
            change: snapshot.change,
            writer: local,
            chunks: u32::try_from(chunks).unwrap_or(u32::MAX),
        });
        open.body = snapshot.body;
        open.step = snapshot::SnapshotStep::Chunk { next: 0 };
        self.snapshot_step(now, out);
    }

    /// Handles the outcome of one step.
    pub(super) fn on_snapshot_outcome(
        &mut self,
        now: time::NodeTime,
        outcome: store::StoreOutcome,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let Some(open) = self.snapshot.open.take() else {
            return;
        };
        let failed = matches!(
            outcome,
            store::StoreOutcome::Unavailable
                | store::StoreOutcome::HistoryTrimmed
                | store::StoreOutcome::Unknown
        );
        if failed {
            let pause = self.snapshot.backoff.next_pause(self.choice.any());
            // If the reply to the manifest's write was lost, the manifest is read first.
            let step = match open.step {
                snapshot::SnapshotStep::Publish => snapshot::SnapshotStep::Check,
                step => step,
            };
            self.snapshot.open = Some(snapshot::SnapshotWrite { step, ..open });
            self.snapshot.due = Some(now + pause);
            return;
        }
        self.snapshot.backoff.reset();
        match self.after_step(open, outcome) {
            Some(next) => {
                self.snapshot.open = Some(next);
                self.snapshot_step(now, out);
            }
            None => self.schedule_snapshot(),
        }
    }

    /// Handles the manifest of a snapshot that is to be read.
    pub(super) fn on_manifest(
        &mut self,
        now: time::NodeTime,
        outcome: store::StoreOutcome,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let found = match outcome {
            store::StoreOutcome::Done(store::StoreReply::Entry(Some(entry))) => {
                gossip::SnapshotManifest::from_value(&entry.value)
            }
            _ => None,
        };
        match found.filter(|manifest| manifest.chunks <= spread::CHUNK_LIMIT) {
            Some(manifest) => {
                self.rules.load = Some(spread::SnapshotLoad {
                    manifest,
                    body: Vec::new(),
                    next: 0,
                });
                self.read_chunk(now, out);
            }
            None => self.load_failed(now),
        }
    }

    /// Handles one chunk of the snapshot that is being read.
    pub(super) fn on_chunk(
        &mut self,
        now: time::NodeTime,
        outcome: store::StoreOutcome,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let (Some(mut load), store::StoreOutcome::Done(store::StoreReply::Entry(Some(entry)))) =
            (self.rules.load.take(), outcome)
        else {
            // The snapshot was replaced by a newer one, or the store failed: start again.
            self.load_failed(now);
            return;
        };
        load.body.extend_from_slice(&entry.value);
        load.next += 1;
        if load.next < load.manifest.chunks {
            self.rules.load = Some(load);
            self.read_chunk(now, out);
            return;
        }
        let snapshot = gossip::LoggedChange {
            revision: load.manifest.revision,
            change: load.manifest.change,
            body: Bytes::from(load.body),
        };
        self.apply_snapshot(now, effect::RulePath::Read, &snapshot, out);
        self.rules.read_at = Some(now);
    }

    fn read_chunk(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let Some(load) = &self.rules.load else {
            return;
        };
        let manifest = load.manifest;
        let key = keys::chunk(manifest.revision, manifest.writer, load.next);
        self.request_store(
            now,
            store_requests::RequestPurpose::ReadChunk,
            store::StoreRequest::Get { key },
            out,
        );
    }

    fn load_failed(&mut self, now: time::NodeTime) {
        self.rules.load = None;
        self.rules.store_failed = true;
        let pause = self.rules.backoff.next_pause(self.choice.any());
        self.rules.read_at = Some(now + pause);
    }

    /// Sets the revision of the next snapshot, with a random offset so that two nodes seldom write
    /// one at the same revision.
    fn schedule_snapshot(&mut self) {
        let jitter = self.choice.below(spread::SNAPSHOT_EVERY as usize / 2) as u64;
        let held = self.revision().0;
        self.snapshot.next_revision =
            ident::RuleRevision(held.saturating_add(spread::SNAPSHOT_EVERY + jitter));
    }

    fn snapshot_step(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let Some(open) = &self.snapshot.open else {
            return;
        };
        let request = match &open.step {
            snapshot::SnapshotStep::Check => store::StoreRequest::Get {
                key: store::StoreKey::new(keys::MANIFEST),
            },
            snapshot::SnapshotStep::Encode => {
                let destination = effect::SnapshotDestination::Store;
                out.push(effect::FleetEffect::EncodeSnapshot { destination });
                return;
            }
            snapshot::SnapshotStep::Chunk { next } => match chunk_request(open, *next) {
                Some(request) => request,
                None => return,
            },
            snapshot::SnapshotStep::Publish => match publish_request(open) {
                Some(request) => request,
                None => return,
            },
            snapshot::SnapshotStep::ListLog => list_request(keys::LOG, None, TRIM_LIMIT),
            // One chunk per request, since the reply contains its value.
            snapshot::SnapshotStep::ListChunks { after } => {
                list_request(keys::SNAPSHOTS, after.clone(), 1)
            }
            snapshot::SnapshotStep::Remove { entry, version, .. } => store::StoreRequest::Remove {
                key: entry.clone(),
                version: *version,
            },
        };
        self.request_store(now, store_requests::RequestPurpose::Snapshot, request, out);
    }

    /// The write with its next step, or none if it is complete or abandoned.
    fn after_step(
        &self,
        mut open: snapshot::SnapshotWrite,
        outcome: store::StoreOutcome,
    ) -> Option<snapshot::SnapshotWrite> {
        open.step = match (open.step.clone(), outcome) {
            (
                snapshot::SnapshotStep::Check,
                store::StoreOutcome::Done(store::StoreReply::Entry(found)),
            ) => self.after_check(&mut open, found)?,
            (snapshot::SnapshotStep::Chunk { next }, _) => {
                // On a conflict, the chunk was written earlier and its reply was lost.
                let last = open.manifest.is_none_or(|m| next + 1 >= m.chunks);
                if last {
                    snapshot::SnapshotStep::Publish
                } else {
                    snapshot::SnapshotStep::Chunk { next: next + 1 }
                }
            }
            (snapshot::SnapshotStep::Publish, store::StoreOutcome::Done(_)) => {
                snapshot::SnapshotStep::ListLog
            }
            (snapshot::SnapshotStep::Publish, _) => snapshot::SnapshotStep::Check,
            (
                snapshot::SnapshotStep::ListLog,
                store::StoreOutcome::Done(store::StoreReply::Listed { entries, .. }),
            ) => trim_step(&open, &entries),
            (
                snapshot::SnapshotStep::ListChunks { .. },
                store::StoreOutcome::Done(store::StoreReply::Listed { entries, .. }),
            ) => sweep_step(&open, entries.first()?),
            (snapshot::SnapshotStep::Remove { rest, then, .. }, _) => remove_step(rest, *then),
            _ => return None,
        };
        Some(open)
    }

    fn after_check(
        &self,
        open: &mut snapshot::SnapshotWrite,
        found: Option<store::StoreEntry>,
    ) -> Option<snapshot::SnapshotStep> {
        let Some(entry) = found else {
            open.condition = store::SwapCondition::Absent;
            return Some(snapshot::SnapshotStep::Encode);
        };
        open.condition = store::SwapCondition::At(entry.version);
        let current = gossip::SnapshotManifest::from_value(&entry.value)?;
        if open.manifest == Some(current) {
            return Some(snapshot::SnapshotStep::ListLog);
        }
        let behind = self.revision().0.saturating_sub(current.revision.0);
        let due = behind >= spread::SNAPSHOT_EVERY;
        due.then_some(snapshot::SnapshotStep::Encode)
    }
}

fn chunk_request(open: &snapshot::SnapshotWrite, next: u32) -> Option<store::StoreRequest> {
    let manifest = open.manifest?;
    let start = next as usize * spread::CHUNK_BYTES;
    let end = (start + spread::CHUNK_BYTES).min(open.body.len());
    Some(store::StoreRequest::Swap {
        key: keys::chunk(manifest.revision, manifest.writer, next),
        condition: store::SwapCondition::Absent,
        value: open.body.slice(start.min(end)..end),
        lease: None,
    })
}

fn publish_request(open: &snapshot::SnapshotWrite) -> Option<store::StoreRequest> {
    Some(store::StoreRequest::Swap {
        key: store::StoreKey::new(keys::MANIFEST),
        condition: open.condition,
        value: open.manifest?.to_value()?,
        lease: None,
    })
}

fn list_request(prefix: &str, after: Option<store::StoreKey>, limit: u32) -> store::StoreRequest {
    store::StoreRequest::List {
        prefix: store::StoreKey::new(prefix),
        after,
        limit,
    }
}

/// Removes the log entries that are older than the retained ones, then lists the chunks.
fn trim_step(
    open: &snapshot::SnapshotWrite,
    entries: &[store::StoreEntry],
) -> snapshot::SnapshotStep {
    let list_chunks = snapshot::SnapshotStep::ListChunks { after: None };
    let Some(manifest) = open.manifest else {
        return list_chunks;
    };
    let retained_from = manifest
        .revision
        .0
        .saturating_sub(spread::RETAINED_LOG_CHANGES);
    let limit = keys::log_entry(ident::RuleRevision(retained_from));
    let old = entries.iter().filter(|entry| entry.key < limit);
    let old: Vec<_> = old.map(|e| (e.key.clone(), e.version)).collect();
    let then = if old.len() < TRIM_LIMIT as usize {
        list_chunks
    } else {
        snapshot::SnapshotStep::ListLog
    };
    remove_step(old, then)
}

/// Removes a chunk of an older snapshot, then lists the next chunk.
fn sweep_step(open: &snapshot::SnapshotWrite, entry: &store::StoreEntry) -> snapshot::SnapshotStep {
    let after = Some(entry.key.clone());
    let then = snapshot::SnapshotStep::ListChunks { after };
    let own = open.manifest.map(|m| keys::chunk(m.revision, m.writer, 0));
    // Keys sort by revision; chunks of a newer snapshot that is still being written are kept.
    let older = own.is_some_and(|own| entry.key < own);
    if older {
        return remove_step(vec![(entry.key.clone(), entry.version)], then);
    }
    then
}

fn remove_step(
    mut rest: Vec<(store::StoreKey, store::StoreVersion)>,
    then: snapshot::SnapshotStep,
) -> snapshot::SnapshotStep {
    match rest.pop() {
        Some((entry, version)) => snapshot::SnapshotStep::Remove {
            entry,
            version,
            rest,
            then: Box::new(then),
        },
        None => then,
    }
}
