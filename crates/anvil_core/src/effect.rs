//! Everything that a node does to its surroundings, as data.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, name, store, treatment, verdict};
use anvil_wire::{call, frame, gossip};
use derive_more::Display;
use serde::Serialize;

use crate::{answer, event, incarnations, request_log};

/// The one reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerReply {
    /// Whether the request ran.
    pub verdict: verdict::CallVerdict,
    /// The whole answer where there is one.
    pub answer: Option<call::CallAnswer>,
    /// The request's id, for the caller's own records and resends.
    pub request: ident::RequestId,
    /// Attempts dispatched by this node for the call.
    pub attempts: u16,
    /// The rule that decided.
    pub rule: treatment::RuleReference,
    /// When to come back, where the request was refused for want of capacity.
    pub retry_after: Option<Duration>,
    /// The caller's own id of the request.
    pub label: Option<ident::RequestLabel>,
}

impl CallerReply {
    /// The reply to the request called `label` that never reached the reducer, or that it forgot.
    pub fn without_answer(
        label: Option<ident::RequestLabel>,
        verdict: verdict::CallVerdict,
        retry_after: Option<Duration>,
    ) -> Self {
        Self {
            verdict,
            answer: None,
            request: ident::RequestId(0),
            attempts: 0,
            rule: treatment::RuleReference::default(),
            retry_after,
            label,
        }
    }
}

/// A run at the local target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// Identity of the run, and the token the target sends back on its own calls.
    pub run: event::RunId,
    /// Where the target listens.
    pub address: SocketAddr,
    /// The start of the target that the request is for, where the target names its starts.
    pub incarnation: Option<ident::IncarnationId>,
    /// The client account that the root request is sent for, told to the target.
    pub account: Option<name::AccountName>,
    /// The caller's own id of the request.
    pub label: Option<ident::RequestLabel>,
    /// The request.
    pub request: call::CallRequest,
    /// The root request, told to the target.
    pub root: ident::RequestId,
    /// Whether a run may be repeated.
    pub idempotent: bool,
    /// Time left; also told to the target.
    pub timeout: Duration,
}

/// A change of state worth a log line.
///
/// The text is for people, the serialized form for the log: one JSON object, whose field `event`
/// names the change.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum StateChange {
    /// The local target came.
    #[display("target serving: service={service} address={address} slots={slots}")]
    TargetServing {
        /// Its service.
        service: String,
        /// Its address.
        address: SocketAddr,
        /// Its slots.
        slots: u32,
    },
    /// The local target's lease lapsed or it left.
    #[display("target gone: reason={reason}")]
    TargetGone {
        /// Why.
        reason: String,
    },
    /// A word of the target came too late to count.
    #[display("word ignored: incarnation={incarnation} sequence={sequence} standing={status}")]
    #[serde(rename = "word-ignored")]
    AnnouncementIgnored {
        /// The start that it is of.
        incarnation: ident::IncarnationId,
        /// When that started by its own clock, in Unix milliseconds, where the word says so.
        #[serde(rename = "born")]
        started_at_ms: Option<u64>,
        /// Its place among the words of that start.
        sequence: u64,
        /// Why it doesn't count.
        #[serde(rename = "standing")]
        status: incarnations::AnnouncementStatus,
    },
    /// Anything a state module reports in its own words.
    #[display("{part}: {text}")]
    Part {
        /// The state module.
        part: &'static str,
        /// What changed.
        text: String,
    },
    /// A request came to its end at its entry node.
    #[display("call ended")]
    CallEnded(Box<request_log::CallSummary>),
    /// A request came to its end at the target's node.
    #[display("run ended")]
    RunEnded(Box<request_log::RunSummary>),
    /// A call whose idempotency key is guarded went a step on.
    #[display("keyed call")]
    KeyedCall(Box<request_log::KeyedRecord>),
    /// Lines about single requests were held back, to bound the log.
    #[display("lines held back: {count}")]
    #[serde(rename = "held-back")]
    LinesSuppressed {
        /// How many.
        count: u64,
    },
    /// The node stops.
    #[display("stopping: forced={forced} running={running}")]
    Stopping {
        /// Whether a second signal or the deadline forced it.
        forced: bool,
        /// Requests still out.
        running: usize,
    },
}

/// Everything that a node does to its surroundings.
#[derive(Clone, Debug)]
pub enum NodeEffect {
    /// Reply to a caller.
    ReplyCaller {
        /// Whose connection.
        handle: event::CallerHandle,
        /// The reply.
        reply: Box<CallerReply>,
    },
    /// Send a frame to another node, opening a connection where there is none.
    SendFrame {
        /// The receiver; the handshake must prove it.
        peer: ident::NodeId,
        /// Where it accepts connections.
        address: SocketAddr,
        /// The frame.
        frame: frame::PeerFrame,
    },
    /// Send a datagram to another node.
    SendDatagram {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: gossip::GossipMessage,
    },
    /// Run a request at the local target.
    RunTarget(Box<RunOrder>),
    /// Close the connection of a run, which tells the target to stop.
    CancelRun(event::RunId),
    /// Answer an operator.
    AnswerOperator {
        /// Whose question.
        handle: event::OperatorHandle,
        /// The answer, or why there is none.
        answer: Result<answer::OperatorAnswer, answer::OperatorRefusal>,
    },
    /// Ask the platform's store; the outcome comes back as
    /// [`event::NodeEvent::StoreAnswered`].
    SendStoreRequest {
        /// Identity of the question.
        id: store::StoreId,
        /// The question.
        request: store::StoreRequest,
    },
    /// Callers should send this node work from now on, or should stop to.
    Readiness(bool),
    /// Write a log line.
    Report(StateChange),
    /// Leave the process with everything answered.
    Exit,
}
