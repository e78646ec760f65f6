//! Everything that can happen to the key owners of a node.

use std::time::Duration;

use anvil_types::{ident, verdict};
use anvil_wire::{call, key};

use crate::{effect, peers};

/// What the store answered to a question about a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SlotReply {
    /// The record read, with its version, or none where the slot has no record.
    Found(Option<(key::SlotView, u64)>),
    /// The swap took effect.
    Swapped {
        /// The version of the new record.
        version: u64,
    },
    /// The swap did not take effect, because the record is another one.
    Conflict(Option<(key::SlotView, u64)>),
    /// No answer; a swap may have taken effect.
    Unknown,
}

/// How a granted call ended at its entry node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// Answered whole.
    Answered(Box<call::CallAnswer>),
    /// Proved not to have run; no attempt is out or will follow.
    NotRun,
    /// Nobody can tell.
    MayHaveRun(verdict::UncertaintyReason),
}

/// Everything that can happen to the key owners of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyEvent {
    /// A call of this node wants to run a key.
    Request {
        /// The call; never used for another one.
        call: ident::CallId,
        /// The key.
        key: ident::RequestKey,
        /// The digest of the request.
        fingerprint: ident::RequestFingerprint,
        /// How long an answer is waited for.
        wait: Duration,
    },
    /// The caller went away before the key was granted.
    Abandon {
        /// The call.
        call: ident::CallId,
    },
    /// A granted call ended.
    Ended {
        /// The call.
        call: ident::CallId,
        /// How.
        outcome: CallOutcome,
    },
    /// A message from another node.
    Message {
        /// The sender.
        from: ident::NodeId,
        /// The message.
        message: key::KeyMessage,
    },
    /// Messages to a node may be lost: its connection broke or did not come about.
    Unreachable {
        /// The node.
        node: ident::NodeId,
    },
    /// Membership changed.
    Peer(peers::KeyPeer),
    /// The store answered.
    StoreReplied {
        /// Which question.
        id: effect::SlotRequestId,
        /// The answer.
        reply: SlotReply,
    },
    /// Time has passed.
    Tick,
    /// The node stops; its slots go to others.
    Leave,
}
