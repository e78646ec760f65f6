//! Messages between the owners of idempotency keys; see `docs/design/at-most-once.md`.

use std::net::SocketAddr;

use anvil_types::{ident, store, verdict};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{call, codec};

/// One share of the key space; every key belongs to exactly one slot.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotId(pub u16);

/// Counts the changes of one slot's record in the platform's store, from one.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotEpoch(pub u64);

impl SlotEpoch {
    /// The epoch of a slot's first record.
    pub const FIRST: Self = Self(1);

    /// The epoch that the next change brings.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Who owns a slot: the content of its record in the platform's store.
///
/// Copies of it may be stale anywhere, because owners refuse messages of other epochs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotView {
    /// The slot.
    pub slot: SlotId,
    /// Raised by one with each change.
    pub epoch: SlotEpoch,
    /// The node that grants keys of the slot.
    pub primary: ident::NodeId,
    /// The node that holds a copy of the primary's records; none in a fleet of one node.
    pub backup: Option<ident::NodeId>,
    /// Who made the change, so that a lost answer of the store is resolved by reading.
    pub proposer: ident::NodeId,
    /// Whether the records of earlier epochs were lost with both of their holders.
    pub lost: bool,
}

/// What the owners know about a recorded key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RecordState {
    /// The call that holds the key may run it, or has.
    Held,
    /// The call was answered whole; the answer itself is kept while space and time allow.
    Answered(Option<Box<call::CallAnswer>>),
    /// The call ended and nobody can tell whether it ran.
    Uncertain(verdict::UncertaintyReason),
}

/// One recorded key, as it travels from the primary to the backup.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The key.
    pub key: ident::RequestKey,
    /// The digest of the request, so that a key used for another request is noticed.
    pub fingerprint: ident::RequestFingerprint,
    /// The only call that may ever run the key.
    pub call: ident::CallId,
    /// Counts the changes of the slot's records, so that a late copy never replaces a newer one.
    pub order: u64,
    /// Age of the record at sending, in microseconds.
    pub age_micros: u64,
    /// What is known.
    pub state: RecordState,
}

/// How a granted call ended, told by its entry node to the key's primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyOutcome {
    /// Answered whole.
    Answered(Option<Box<call::CallAnswer>>),
    /// Proved not to have run, and the call will never run it: the key is free again.
    NotRun,
    /// Nobody can tell.
    MayHaveRun(verdict::UncertaintyReason),
}

/// Why a key was not granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyRefusal {
    /// An earlier copy of the request was answered; here is that answer.
    Answered(Box<call::CallAnswer>),
    /// An earlier copy holds the key or ended in doubt.
    MayHaveRun(verdict::UncertaintyReason),
    /// The key was used for another request.
    Mismatch,
    /// The owner can't grant for longer than a caller waits.
    Unavailable,
    /// The owner can't grant for a moment: a change of owners is under way.
    Busy,
    /// The node asked is not the primary; the view it knows.
    NotOwner(Option<SlotView>),
}

/// One message between an entry node and the owners of a key, or between owners.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyMessage {
    /// Entry to primary: may this call run the key?
    Request {
        /// The call, which is the only one that will run under the grant.
        call: ident::CallId,
        /// The key.
        key: ident::RequestKey,
        /// The digest of the request.
        fingerprint: ident::RequestFingerprint,
    },
    /// Primary to entry: this call may run the key, and no other ever will.
    Grant {
        /// The call.
        call: ident::CallId,
        /// The key.
        key: ident::RequestKey,
    },
    /// Primary to entry: this call must not run the key.
    Refuse {
        /// The call.
        call: ident::CallId,
        /// Why.
        refusal: KeyRefusal,
    },
    /// Entry to primary: how the call ended.
    Settle {
        /// The call.
        call: ident::CallId,
        /// The key.
        key: ident::RequestKey,
        /// The end.
        outcome: KeyOutcome,
    },
    /// Primary to entry: the outcome is kept.
    Settled {
        /// The call.
        call: ident::CallId,
    },
    /// Primary to backup: keep this record.
    Record {
        /// The slot.
        slot: SlotId,
        /// The primary's epoch.
        epoch: SlotEpoch,
        /// The record.
        record: KeyRecord,
    },
    /// Backup to primary: the record is kept.
    Recorded {
        /// The slot.
        slot: SlotId,
        /// The epoch in which it was kept.
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
        /// Records of this order and below are erased.
        order: u64,
    },
    /// Primary to a new backup: one part of all records.
    Copy {
        /// The view that names the two.
        view: SlotView,
        /// Counts the parts from zero.
        part: u32,
        /// Whether it is the last part.
        last: bool,
        /// The records of the part.
        records: Vec<KeyRecord>,
        /// Time for which unknown keys are still answered as may-have-run, in microseconds.
        uncertain_micros: u64,
    },
    /// Backup to primary: the part is kept.
    Copied {
        /// The slot.
        slot: SlotId,
        /// The epoch of the copy.
        epoch: SlotEpoch,
        /// The part.
        part: u32,
    },
    /// A newer view, told to a node that acts on an older one or is a new owner.
    View(SlotView),
}

/// A message with the address to answer at.
///
/// A node that has just started asks owners that have not heard of it yet; their answers would have
/// nowhere to go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyFrame {
    /// Where the sender accepts peer connections.
    pub reply_to: SocketAddr,
    /// The message.
    pub message: KeyMessage,
}

/// Where the record of a slot stands in the platform's store.
pub fn slot_key(slot: SlotId) -> store::StoreKey {
    store::StoreKey::new(&format!("once/{:04}", slot.0))
}

/// The record of a slot as the platform's store holds it.
pub fn encode_view(view: &SlotView) -> Result<Vec<u8>, codec::FrameError> {
    postcard::to_stdvec(view).map_err(|error| codec::malformed(&error))
}

/// Reads the record of a slot from the platform's store.
pub fn decode_view(bytes: &[u8]) -> Result<SlotView, codec::FrameError> {
    postcard::from_bytes(bytes).map_err(|error| codec::malformed(&error))
}
