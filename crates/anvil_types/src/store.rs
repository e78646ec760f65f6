//! Requests to the platform's key-value service and their outcomes, as data.
//!
//! The reducer emits a request as an effect and receives the outcome as an event; the HTTP client
//! in `anvil_store` executes it. See `docs/design/store.md`.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Maximum size of a value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The state module that sent a request, so that the reducer can return the outcome to it without a
/// lookup table.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StoreRequester {
    /// Contact entries, operators' changes and snapshots.
    #[display("fleet")]
    Fleet,
    /// The owners of idempotency keys.
    #[display("keys")]
    Keys,
    /// The quarantine of requests that crash their targets.
    #[display("quarantine")]
    Quarantine,
    /// Reads and watches of the rules in force.
    #[display("rules")]
    Rules,
}

/// Identifies a request to the store, unique within one run of a node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{requester}-{sequence}")]
pub struct StoreId {
    /// The module that sent the request.
    pub requester: StoreRequester,
    /// Number of the request among those of the module, from one.
    pub sequence: u64,
}

/// Key of an entry, as slash-separated text such as `rules/log/00000000000000000007`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreKey(Arc<str>);

impl StoreKey {
    /// Wraps `text` without a check; the store accepts any text as a key.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Position in the store's order of writes over all keys; it only increases.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreVersion(pub u64);

/// Identifies a lease; the store deletes the entries attached to a lease when it expires.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// An entry as read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The key of the entry.
    pub key: StoreKey,
    /// The version of the write that created it.
    pub version: StoreVersion,
    /// The content of the entry.
    pub value: Bytes,
}

/// Precondition of a compare-and-swap write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SwapCondition {
    /// There is no entry at the key.
    Absent,
    /// The entry at the key has exactly this version.
    At(StoreVersion),
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Reads one entry; answered by [`StoreReply::Entry`].
    Get {
        /// The key of the entry.
        key: StoreKey,
    },
    /// Writes one entry if `condition` holds; answered by [`StoreReply::Swapped`] or
    /// [`StoreOutcome::Conflict`].
    Swap {
        /// The key of the entry.
        key: StoreKey,
        /// The precondition.
        condition: SwapCondition,
        /// The value to write, at most [`MAX_VALUE_BYTES`] bytes.
        value: Bytes,
        /// The lease that the entry is attached to.
        lease: Option<LeaseId>,
    },
    /// Removes one entry if it still has `version`; answered by [`StoreReply::Removed`], also if
    /// there is no entry any more, or by [`StoreOutcome::Conflict`].
    Remove {
        /// The key of the entry.
        key: StoreKey,
        /// The expected version.
        version: StoreVersion,
    },
    /// Creates a lease; answered by [`StoreReply::Granted`].
    Grant {
        /// Time to live, unless renewed.
        lease: Duration,
    },
    /// Renews a lease for its original time to live; answered by [`StoreReply::Renewed`], or by
    /// [`StoreReply::Lapsed`] if it has expired and its entries are deleted.
    Renew {
        /// The lease to renew.
        lease: LeaseId,
    },
    /// Reads the entries whose keys start with `prefix`, in order; answered by
    /// [`StoreReply::Listed`].
    List {
        /// The key prefix.
        prefix: StoreKey,
        /// Only keys after this one, to continue an earlier list.
        after: Option<StoreKey>,
        /// Maximum number of entries to return.
        limit: u32,
    },
    /// Waits for a write under `prefix` after `seen`; answered by [`StoreReply::Listed`] with the
    /// entries written since, or with none if `wait` passes without a write.
    Watch {
        /// The key prefix.
        prefix: StoreKey,
        /// The position up to which the requester has seen all writes.
        seen: StoreVersion,
        /// Maximum time to wait.
        wait: Duration,
    },
}

/// The store's reply to a request that it carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The entry at the key, if any.
    Entry(Option<StoreEntry>),
    /// The write took effect.
    Swapped {
        /// The version of the write.
        version: StoreVersion,
    },
    /// There is no entry at the key any more.
    Removed,
    /// A lease was created.
    Granted {
        /// The new lease.
        lease: LeaseId,
    },
    /// The lease was renewed; its time to live counts from when the request was sent.
    Renewed,
    /// The lease has expired.
    Lapsed,
    /// Entries in the order of their keys.
    Listed {
        /// The entries.
        entries: Vec<StoreEntry>,
        /// The position in the order of writes up to which the reply is complete.
        seen: StoreVersion,
        /// Whether further entries follow the last one.
        more: bool,
    },
}

/// The outcome of a request to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreOutcome {
    /// The store carried out the request.
    Done(StoreReply),
    /// The precondition did not hold; nothing was written.
    Conflict {
        /// The current entry at the key, if any.
        current: Option<StoreEntry>,
    },
    /// The store no longer has the writes that a watch requested; the entries must be listed again.
    HistoryTrimmed,
    /// The request was certainly not carried out: the connection could not be opened, the store
    /// refused it, or the node's own call budget did not allow it.
    Unavailable,
    /// The reply was lost after the request was sent, so the request may have been carried out.
    Unknown,
}
