//! Everything that the key owners of a node want done.

use anvil_types::{ident, verdict};
use anvil_wire::{call, key};
use derive_more::Display;

/// One question of the key owners to the store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotRequestId(pub u64);

/// A question of the key owners to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SlotRequest {
    /// Read the record of a slot.
    Read {
        /// The slot.
        slot: key::SlotId,
    },
    /// Replace the record of a slot where it still has the expected version.
    Swap {
        /// The version read; none where the slot had no record.
        expected: Option<u64>,
        /// The new record.
        view: key::SlotView,
    },
}

/// What the owners say about a call's key where they don't grant it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyVerdict {
    /// An earlier copy was answered; this is its answer.
    Answered(Box<call::CallAnswer>),
    /// This call did not run and will not.
    NotRun(verdict::RefusalReason),
    /// An earlier copy may have run.
    MayHaveRun(verdict::UncertaintyReason),
}

/// Everything that the key owners of a node want done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyEffect {
    /// Send a message to another node.
    Send {
        /// The receiver.
        to: ident::NodeId,
        /// The message.
        message: key::KeyMessage,
    },
    /// Run the call; its end is reported by [`crate::event::KeyEvent::Ended`].
    Dispatch {
        /// The call.
        call: ident::CallId,
    },
    /// Tell the caller; the call is over.
    Decide {
        /// The call.
        call: ident::CallId,
        /// What to tell.
        verdict: KeyVerdict,
    },
    /// Ask the store.
    RequestSlot {
        /// Names the question.
        id: SlotRequestId,
        /// The question.
        request: SlotRequest,
    },
    /// A change of state worth a log line.
    Report(String),
}
