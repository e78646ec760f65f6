//! Outputs of the state machine.

use anvil_types::{ident, verdict};
use anvil_wire::{call, key};
use derive_more::Display;

/// Identifies a request to the store, so that its reply is matched.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotRequestId(pub u64);

/// A request to the store about the record of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SlotRequest {
    /// Read the record of a slot.
    Read {
        /// The slot.
        slot: key::SlotId,
    },
    /// Replace the record of a slot if it still has the expected version.
    Swap {
        /// The version that was read; `None` if the slot had no record.
        expected: Option<u64>,
        /// The new record.
        view: key::SlotView,
    },
}

/// How a call ends whose key was not granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyVerdict {
    /// An earlier copy of the request was answered; this is its answer.
    Answered(Box<call::CallAnswer>),
    /// This call did not run and will not.
    NotRun(verdict::RefusalReason),
    /// An earlier copy of the request may have run.
    MayHaveRun(verdict::UncertaintyReason),
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyEffect {
    /// Send a message to another node.
    Send {
        /// The receiver.
        to: ident::NodeId,
        /// The message.
        message: key::KeyMessage,
    },
    /// Run the call and report how it ended by [`crate::event::KeyEvent::Ended`].
    Dispatch {
        /// The call.
        call: ident::CallId,
    },
    /// End the call without running it, with this verdict.
    Decide {
        /// The call.
        call: ident::CallId,
        /// The verdict for the caller.
        verdict: KeyVerdict,
    },
    /// Send a request to the store.
    RequestSlot {
        /// The id that the reply carries.
        id: SlotRequestId,
        /// The request.
        request: SlotRequest,
    },
    /// Write a log line about a change of state.
    Report(String),
}
