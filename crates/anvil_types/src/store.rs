//! Questions to the platform's key-value service and their outcomes, as data.
//!
//! The reducer names the question in an effect and gets the outcome as an event; the HTTP client
//! in `anvil_store` stands between. See `docs/design/store.md`.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Largest value that the store holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The state module that asked, so that the reducer hands the outcome back without a table.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StoreRequester {
    /// Membership, contact entries and rule changes.
    #[display("fleet")]
    Fleet,
    /// The owners of idempotency keys.
    #[display("keys")]
    Keys,
}

/// One question to the store, unique within a node's run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{requester}-{sequence}")]
pub struct StoreId {
    /// Who asked.
    pub requester: StoreRequester,
    /// Counts the questions of that part from one.
    pub sequence: u64,
}

/// Where an entry stands, as slash-separated text such as `rules/log/00000000000000000007`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreKey(Arc<str>);

impl StoreKey {
    /// Takes `text` as it is; the store knows no other form.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A point in the store's order of writes; it only rises, over all keys.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreVersion(pub u64);

/// A lease; entries attached to it vanish when it lapses.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// One entry as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// Where it stands.
    pub key: StoreKey,
    /// The write that made it.
    pub version: StoreVersion,
    /// What it holds.
    pub value: Bytes,
}

/// What must stand at a key for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SwapCondition {
    /// Nothing.
    Absent,
    /// The entry of exactly this write.
    At(StoreVersion),
}

/// One question to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Read one entry; [`StoreReply::Entry`].
    Get {
        /// Which.
        key: StoreKey,
    },
    /// Write one entry if `base` stands there; [`StoreReply::Swapped`] or
    /// [`StoreOutcome::Conflict`].
    Swap {
        /// Which.
        key: StoreKey,
        /// What must stand there.
        condition: SwapCondition,
        /// What to write, at most [`MAX_VALUE_BYTES`] bytes.
        value: Bytes,
        /// The lease that the entry vanishes with.
        lease: Option<LeaseId>,
    },
    /// Remove one entry if it is still that of `version`; [`StoreReply::Removed`], also where
    /// nothing stands there any more, or [`StoreOutcome::Conflict`].
    Remove {
        /// Which.
        key: StoreKey,
        /// The write that made it.
        version: StoreVersion,
    },
    /// Create a lease; [`StoreReply::Granted`].
    Grant {
        /// Time until it lapses unless renewed.
        lease: Duration,
    },
    /// Renew a lease for its first span; [`StoreReply::Renewed`], or [`StoreReply::Lapsed`] where
    /// it is gone with its entries.
    Renew {
        /// Which.
        lease: LeaseId,
    },
    /// Read the entries whose keys start with `prefix`, in order; [`StoreReply::Listed`].
    List {
        /// The start of the keys.
        prefix: StoreKey,
        /// Only keys behind this one, to read on.
        after: Option<StoreKey>,
        /// Most entries wanted.
        limit: u32,
    },
    /// Wait for a write under `prefix` behind `seen`; [`StoreReply::Listed`] with the entries
    /// written since, empty where `wait` passed without one.
    Watch {
        /// The start of the keys.
        prefix: StoreKey,
        /// The point up to which the asker knows everything.
        seen: StoreVersion,
        /// Longest wait.
        wait: Duration,
    },
}

/// What the store did or found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The entry, where one stands there.
    Entry(Option<StoreEntry>),
    /// The write took effect.
    Swapped {
        /// Its place in the order of writes.
        version: StoreVersion,
    },
    /// Nothing stands there any more.
    Removed,
    /// A lease was created.
    Granted {
        /// Its identity.
        lease: LeaseId,
    },
    /// The lease holds for its whole span again, counted from when the question was sent.
    Renewed,
    /// The lease is gone.
    Lapsed,
    /// Entries in the order of their keys.
    Listed {
        /// The entries.
        entries: Vec<StoreEntry>,
        /// The point in the order of writes up to which the reply is complete.
        seen: StoreVersion,
        /// Whether further entries follow the last one.
        more: bool,
    },
}

/// How one question ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreOutcome {
    /// It was carried out.
    Done(StoreReply),
    /// Something else stands at the key; nothing was written.
    Conflict {
        /// What stands there, where anything does.
        current: Option<StoreEntry>,
    },
    /// A watch asked for writes that the store has forgotten; the entries must be read anew.
    HistoryTrimmed,
    /// Proved not to have been carried out: no connection came about, the store refused, or the
    /// node's own call budget held it back.
    Unavailable,
    /// The answer was lost after the question left, so it may have been carried out.
    Unknown,
}
