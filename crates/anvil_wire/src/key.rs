//! Messages to and between the owners of idempotency keys; see `docs/design/at-most-once.md`.

use std::net::SocketAddr;

use anvil_types::{ident, store, verdict};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{call, codec};

/// Identifies a partition of the key space; every key belongs to exactly one slot.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotId(pub u16);

/// Number of changes of a slot's ownership record in the platform's store, from one.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotEpoch(pub u64);

impl SlotEpoch {
    /// The epoch of a slot's first ownership record.
    pub const FIRST: Self = Self(1);

    /// The epoch after the next change.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Ownership of a slot: the content of its record in the platform's store.
///
/// A node may act on a stale copy without harm, because owners refuse messages of other epochs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotView {
    /// The slot.
    pub slot: SlotId,
    /// Incremented with each change.
    pub epoch: SlotEpoch,
    /// The node that grants keys of the slot.
    pub primary: ident::NodeId,
    /// The node that holds a copy of the primary's records; `None` in a fleet of one node.
    pub backup: Option<ident::NodeId>,
    /// The node that made the change; if the store's reply was lost, it reads the record to see
    /// whether its change took effect.
    pub proposer: ident::NodeId,
    /// Whether the records of earlier epochs were lost because both owners failed.
    pub lost: bool,
}

/// State of a recorded key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RecordState {
    /// The call that holds the key may run, or has run.
    Held,
    /// The call was answered completely; the answer is cached as long as space and time permit.
    Answered(Option<Box<call::CallAnswer>>),
    /// The call ended, and it is unknown whether the request ran.
    Uncertain(verdict::UncertaintyReason),
}

/// A recorded key, as sent from the primary to the backup.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The key.
    pub key: ident::RequestKey,
    /// The fingerprint of the request, so that reuse of the key for another request is detected.
    pub fingerprint: ident::RequestFingerprint,
    /// The only call that may ever run under the key.
    pub call: ident::CallId,
    /// Sequence number of the change within the slot, so that a late copy never replaces a newer
    /// one.
    pub order: u64,
    /// Age of the record at sending, in microseconds.
    pub age_micros: u64,
    /// The state of the key.
    pub state: RecordState,
}

/// Outcome of a granted call, as reported by its entry node to the key's primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyOutcome {
    /// The call was answered completely.
    Answered(Option<Box<call::CallAnswer>>),
    /// The request certainly did not run and this call will never run it: the key is free again.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun(verdict::UncertaintyReason),
}

/// Why a key was not granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyRefusal {
    /// An earlier copy of the request was answered with this answer.
    Answered(Box<call::CallAnswer>),
    /// An earlier copy of the request holds the key, or ended with an unknown outcome.
    MayHaveRun(verdict::UncertaintyReason),
    /// The key was used for another request.
    Mismatch,
    /// The owner can't grant keys for longer than a caller waits.
    Unavailable,
    /// The owner temporarily can't grant keys, because a change of owners is in progress.
    Busy,
    /// The receiver is not the primary; the view that it has, if any.
    NotOwner(Option<SlotView>),
}

/// One message between an entry node and the owners of a key, or between owners.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyMessage {
    /// Entry to primary: requests the key for this call.
    Request {
        /// The call, which is the only one that will run under the grant.
        call: ident::CallId,
        /// The key.
        key: ident::RequestKey,
        /// The fingerprint of the request.
        fingerprint: ident::RequestFingerprint,
    },
    /// Primary to entry: this call may run under the key, and no other call ever will.
    Grant {
        /// The call.
        call: ident::CallId,
        /// The key.
        key: ident::RequestKey,
    },
    /// Primary to entry: this call must not run under the key.
    Refuse {
        /// The call.
        call: ident::CallId,
        /// The reason.
        refusal: KeyRefusal,
    },
    /// Entry to primary: the outcome of the call.
    Settle {
        /// The call.
        call: ident::CallId,
        /// The key.
        key: ident::RequestKey,
        /// The outcome.
        outcome: KeyOutcome,
    },
    /// Primary to entry: the outcome is recorded.
    Settled {
        /// The call.
        call: ident::CallId,
    },
    /// Primary to backup: store this record.
    Record {
        /// The slot.
        slot: SlotId,
        /// The primary's epoch.
        epoch: SlotEpoch,
        /// The record.
        record: KeyRecord,
    },
    /// Backup to primary: the record is stored.
    Recorded {
        /// The slot.
        slot: SlotId,
        /// The epoch in which it was stored.
        epoch: SlotEpoch,
        /// The order of the record.
        order: u64,
    },
    /// Primary to backup: the key is free again.
    Erase {
        /// The slot.
        slot: SlotId,
        /// The primary's epoch.
        epoch: SlotEpoch,
        /// The key.
        key: ident::RequestKey,
        /// Records up to and including this order are erased.
        order: u64,
    },
    /// Primary to a new backup: one part of a copy of all records.
    Copy {
        /// The view that names both owners.
        view: SlotView,
        /// Number of the part, from zero.
        part: u32,
        /// Whether it is the last part.
        last: bool,
        /// The records of the part.
        records: Vec<KeyRecord>,
        /// Remaining time, in microseconds, during which unknown keys are answered as may-have-run.
        uncertain_micros: u64,
    },
    /// Backup to primary: the part is stored.
    Copied {
        /// The slot.
        slot: SlotId,
        /// The epoch of the copy.
        epoch: SlotEpoch,
        /// The part.
        part: u32,
    },
    /// A newer view, sent to a node that acts on an older one or that is a new owner.
    View(SlotView),
}

/// A message with its reply address.
///
/// A node that has just started sends requests to owners that don't know it yet and would have no
/// address for their replies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyFrame {
    /// Address at which the sender accepts peer connections.
    pub reply_to: SocketAddr,
    /// The message.
    pub message: KeyMessage,
}

/// Key of a slot's ownership record in the platform's store.
pub fn slot_key(slot: SlotId) -> store::StoreKey {
    store::StoreKey::new(&format!("once/{:04}", slot.0))
}

/// Encodes the ownership record of a slot for the platform's store.
pub fn encode_view(view: &SlotView) -> Result<Vec<u8>, codec::FrameError> {
    postcard::to_stdvec(view).map_err(|error| codec::malformed(&error))
}

/// Decodes the ownership record of a slot from the platform's store.
pub fn decode_view(bytes: &[u8]) -> Result<SlotView, codec::FrameError> {
    postcard::from_bytes(bytes).map_err(|error| codec::malformed(&error))
}
