//! A snapshot of the rules on its way into the store, and the removal of what it makes needless.

use std::time::Duration;

use anvil_types::{backoff, ident, store, time};
use anvil_wire::gossip;
use bytes::Bytes;

const PAUSE_FIRST: Duration = Duration::from_secs(1);
const PAUSE_LIMIT: Duration = Duration::from_secs(30);

/// What is done next; each step may be repeated after a lost answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotStep {
    /// Read the present manifest, to see whether another node was faster.
    Check,
    /// The reducer encodes the rules.
    Encode,
    /// Write one chunk.
    Chunk {
        /// Which.
        next: u32,
    },
    /// Put the manifest in place.
    Publish,
    /// Read the log's oldest entries.
    ListLog,
    /// Read the oldest chunk behind a key.
    ListChunks {
        /// The last chunk looked at.
        after: Option<store::StoreKey>,
    },
    /// Remove an entry, then read on.
    Remove {
        /// Which.
        entry: store::StoreKey,
        /// The write that made it.
        version: store::StoreVersion,
        /// Entries to remove behind it.
        rest: Vec<(store::StoreKey, store::StoreVersion)>,
        /// The step behind the last removal.
        then: Box<SnapshotStep>,
    },
}

/// One snapshot being written.
#[derive(Clone, Debug)]
pub struct SnapshotWrite {
    /// What is done next.
    pub step: SnapshotStep,
    /// What must stand at the manifest's key.
    pub base: store::SwapCondition,
    /// The manifest to publish.
    pub manifest: Option<gossip::SnapshotManifest>,
    /// The encoded rules.
    pub body: Bytes,
}

/// Whether and when this node writes snapshots.
#[derive(Clone, Debug)]
pub struct SnapshotState {
    /// The revision at which the next snapshot is tried.
    pub next_revision: ident::RuleRevision,
    /// The snapshot being written, while no question is out.
    pub open: Option<SnapshotWrite>,
    /// When the next step is due.
    pub due: Option<time::NodeTime>,
    /// Pauses after failures.
    pub backoff: backoff::RetryBackoff,
}

impl SnapshotState {
    /// Tries the first snapshot at `wanted_at`.
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
