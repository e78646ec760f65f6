//! Inputs of the state machine.

use std::time::Duration;

use anvil_types::{ident, verdict};
use anvil_wire::{call, key};

use crate::{effect, peers};

/// What the store replied to a [`effect::SlotRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SlotReply {
    /// The record that was read, with its version; `None` if the slot has no record.
    Found(Option<(key::SlotView, u64)>),
    /// The swap took effect.
    Swapped {
        /// The version of the new record.
        version: u64,
    },
    /// The swap did not take effect because the record has changed; the current one.
    Conflict(Option<(key::SlotView, u64)>),
    /// No reply arrived; a swap may have taken effect.
    Unknown,
}

/// How a granted call ended at its entry node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// It was answered completely.
    Answered(Box<call::CallAnswer>),
    /// It provably did not run; no attempt is in flight or will follow.
    NotRun,
    /// Whether it ran is unknown.
    MayHaveRun(verdict::UncertaintyReason),
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyEvent {
    /// A call of this node requests its key.
    Request {
        /// The call; its id is never reused.
        call: ident::CallId,
        /// The key.
        key: ident::RequestKey,
        /// The digest of the request, which distinguishes a duplicate from a reused key.
        fingerprint: ident::RequestFingerprint,
        /// How long to wait for a grant.
        wait: Duration,
    },
    /// The caller disconnected before the key was granted.
    Abandon {
        /// The call.
        call: ident::CallId,
    },
    /// A granted call ended.
    Ended {
        /// The call.
        call: ident::CallId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// A message from another node.
    Message {
        /// The sender.
        from: ident::NodeId,
        /// The message.
        message: key::KeyMessage,
    },
    /// Messages to a node may be lost: its connection broke or could not be established.
    Unreachable {
        /// The node.
        node: ident::NodeId,
    },
    /// Membership reported a node's state.
    Peer(peers::KeyPeer),
    /// The store replied, or failed to.
    StoreReplied {
        /// The request.
        id: effect::SlotRequestId,
        /// The reply.
        reply: SlotReply,
    },
    /// Time has passed; see [`crate::owner::KeyOwner::next_wake`].
    Tick,
    /// The node begins a planned stop and hands its slots over.
    Leave,
}
