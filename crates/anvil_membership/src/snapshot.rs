//! Writing a snapshot of the rules to the store, and removing the entries that it replaces.

use std::time::Duration;

use anvil_types::{backoff, ident, store, time};
use anvil_wire::gossip;
use bytes::Bytes;

const PAUSE_FIRST: Duration = Duration::from_secs(1);
const PAUSE_LIMIT: Duration = Duration::from_secs(30);

/// A step of writing a snapshot; each may be repeated after a lost reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotStep {
    /// Read the current manifest, to check whether another node has already written a snapshot.
    Check,
    /// Wait for the reducer to encode the rules.
    Encode,
    /// Write one chunk.
    Chunk {
        /// The index of the chunk.
        next: u32,
    },
    /// Write the manifest.
    Publish,
    /// List the oldest entries of the log.
    ListLog,
    /// List the oldest chunk after a key.
    ListChunks {
        /// The key of the last chunk that was checked.
        after: Option<store::StoreKey>,
    },
    /// Remove an entry, then continue with the next one.
    Remove {
        /// The key of the entry.
        entry: store::StoreKey,
        /// The version of the entry.
        version: store::StoreVersion,
        /// The entries to remove after it.
        rest: Vec<(store::StoreKey, store::StoreVersion)>,
        /// The step after the last removal.
        then: Box<SnapshotStep>,
    },
}

/// A snapshot that is being written.
#[derive(Clone, Debug)]
pub struct SnapshotWrite {
    /// The current step.
    pub step: SnapshotStep,
    /// The condition on the current manifest under which the new one is written.
    pub condition: store::SwapCondition,
    /// The manifest to publish.
    pub manifest: Option<gossip::SnapshotManifest>,
    /// The encoded rules.
    pub body: Bytes,
}

/// When this node writes its next snapshot, and the one being written.
#[derive(Clone, Debug)]
pub struct SnapshotState {
    /// The revision at which the next snapshot is started.
    pub next_revision: ident::RuleRevision,
    /// The snapshot being written, if any.
    pub open: Option<SnapshotWrite>,
    /// When the next step is due.
    pub due: Option<time::NodeTime>,
    /// Pauses after failures.
    pub backoff: backoff::RetryBackoff,
}

impl SnapshotState {
    /// Starts the first snapshot at `next_revision`.
    pub fn new(next_revision: ident::RuleRevision) -> Self {
        Self {
            next_revision,
            open: None,
            due: None,
            backoff: backoff::RetryBackoff::new(PAUSE_FIRST, PAUSE_LIMIT),
        }
    }

    /// When the next step is due.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        self.due
    }
}
