//! Events: the inputs of the reducer.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_overload::pace;
use anvil_rules::document;
use anvil_types::{account, ident, name, rate, store};
use anvil_wire::{call, frame, gossip};
use bytes::Bytes;
use derive_more::Display;
use serde::Serialize;

/// A caller's connection that waits for one reply; it has a meaning only inside this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerHandle(pub u64);

/// An operator's request that waits for one reply; it has a meaning only inside this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperatorHandle(pub u64);

/// Identity of one run of a request at the local target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// What the caller's headers say about a call, apart from the request itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHints {
    /// The request id, if the caller resends a request under the id of its first copy.
    pub request: Option<ident::RequestId>,
    /// How long the caller still waits.
    pub timeout: Option<Duration>,
    /// The digest of a client account's key.
    pub credential: account::CallerCredential,
    /// The idempotency key, as sent.
    pub key: Option<Bytes>,
    /// The id that the caller gave the request.
    pub label: Option<ident::RequestLabel>,
    /// The id of the parent request, derived from the id of the call. This is only a hint, because
    /// callers are not required to build ids that way.
    pub parent_label: Option<ident::RequestLabel>,
    /// The parent run, if the local target makes the call on behalf of one.
    pub parent: Option<ParentToken>,
    /// Whether the request is pipelined: earlier requests on its connection have no answer yet. If
    /// the connection closes before those are answered, the caller takes the request as not read
    /// and sends it again.
    pub pipelined: bool,
}

/// An opaque token that identifies a run. The target receives it with the request and sends it
/// back on its own outgoing calls, which links them to the context of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ParentToken(pub RunId);

/// The outcome of a run at the local target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The complete answer arrived.
    Answered(call::CallAnswer),
    /// The target refused the request without running it.
    Refused,
    /// Another incarnation of the target answered at the address, without running the request.
    Misdirected {
        /// The incarnation that answered, if it identified itself.
        holder: Option<ident::IncarnationId>,
    },
    /// No connection could be opened, so no byte of the request was sent.
    Unreachable,
    /// The target left before any byte of the request was sent.
    Withdrawn,
    /// The connection broke after the first byte was sent and before the complete answer arrived.
    Broken {
        /// Whether a part of the answer had arrived.
        in_answer: bool,
    },
    /// The deadline passed while the target was working on the request.
    TimedOut,
    /// The node cancelled the run.
    Cancelled,
}

/// The connection on which a run's request was sent to the target, and what was received there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ExchangeTrace {
    /// The number of the connection in this process.
    pub connection: u64,
    /// The number of the request among those of the connection, from one.
    pub position: u32,
    /// Answers to other requests that were received and skipped.
    pub unrelated: u32,
    /// How the answer identifies its request; none if no head of an answer was received.
    pub identity: Option<AnswerIdentity>,
}

/// How an answer of the target identifies the request that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerIdentity {
    /// It names the request.
    Named,
    /// It names no request.
    Unnamed,
    /// It names another request.
    Other,
}

/// What a target answered that was asked whether it accepts requests.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum CheckOutcome {
    /// It accepts them.
    #[display("accepting")]
    Accepting,
    /// It accepts none: it is leaving, or it is not well.
    #[display("rejecting")]
    Rejecting,
    /// It states that it is leaving.
    #[display("leaving")]
    Leaving,
    /// Another incarnation has the address.
    #[display("replaced")]
    Replaced {
        /// That incarnation.
        holder: ident::IncarnationId,
    },
    /// It has nothing at the path, so it can't be asked.
    #[display("unsupported")]
    Unsupported,
    /// There is no answer, or one that says nothing about that.
    #[display("unknown")]
    Unknown,
}

/// What a valid answer of a target states about the target itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetStatement {
    /// The requests that it accepts from all nodes together.
    pub rate: StatedRate,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its load and its pace.
    pub load: LoadStatement,
}

/// The load that a target's answer states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadStatement {
    /// The answer states none.
    #[default]
    Absent,
    /// The target states this load.
    Valid(pace::StatedLoad),
    /// The answer states something that is not a load; it changes nothing.
    Malformed,
}

/// The rate that a target's answer names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedRate {
    /// The answer names none, so the target has no limit.
    #[default]
    Unlimited,
    /// The target accepts this many requests a second.
    Limited(rate::RequestRate),
    /// The answer names something that is not a rate; what the target named before still holds.
    Malformed,
}

/// An announcement in which the local target describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// The service that it offers.
    pub service: name::ServiceName,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Time until the announcement expires unless it is renewed.
    pub lease: Duration,
    /// Whether the target has warmed up and can take its full load immediately.
    pub warm: bool,
    /// The incarnation of the target that sent the announcement, if it identified itself.
    pub incarnation: Option<TargetIncarnation>,
}

impl TargetAnnouncement {
    /// The id of the incarnation that sent the announcement, if it identified itself.
    pub fn incarnation_id(&self) -> Option<&ident::IncarnationId> {
        self.incarnation.as_ref().map(|incarnation| &incarnation.id)
    }

    /// The hash of the incarnation that sent the announcement, if it identified itself.
    pub fn incarnation_digest(&self) -> Option<ident::IncarnationDigest> {
        self.incarnation.as_ref().map(TargetIncarnation::digest)
    }

    /// Whether `next` was sent by the same incarnation.
    pub fn is_same_incarnation(&self, next: &Self) -> bool {
        match (&self.incarnation, &next.incarnation) {
            (Some(own), Some(other)) => own.is_same_incarnation(other),
            (None, None) => true,
            _ => false,
        }
    }

    /// Whether `next` repeats this announcement; only the sequence number may differ.
    pub fn is_renewed_by(&self, next: &Self) -> bool {
        let same = Self {
            incarnation: next.incarnation.clone(),
            ..self.clone()
        };
        self.is_same_incarnation(next) && same == *next
    }
}

/// The incarnation of the target that sent a message, and the position of the message among those
/// of that incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetIncarnation {
    /// The id of the incarnation. A restarted target may reuse the id that it had before.
    pub id: ident::IncarnationId,
    /// When the incarnation started by its own clock, in Unix milliseconds, if it announced that.
    pub started_at_ms: Option<u64>,
    /// Increases with each message of the incarnation, which exposes messages that arrive late.
    pub sequence: u64,
}

impl TargetIncarnation {
    /// Whether `other` was sent by the same incarnation, and not by another one that reuses the id.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.started_at_ms == other.started_at_ms
    }

    /// The hash by which other nodes refer to the incarnation.
    pub fn digest(&self) -> ident::IncarnationDigest {
        ident::IncarnationDigest::of(&self.id, self.started_at_ms)
    }
}

/// A request of an operator to this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// The whole state, as JSON.
    Dump,
    /// A summary of the fleet as this node sees it, as JSON.
    Status,
    /// Counters and gauges, as JSON pairs.
    Counters,
    /// Which rule applies to a request, and why, as JSON.
    Explain(Box<call::CallRequest>),
    /// A change of the rules: the complete new rules and the revision that they are based on. The
    /// edge parses and validates the text, because that may take longer than a request may wait
    /// for the reducer.
    Apply {
        /// The rules, already validated.
        rules: document::RuleDocument,
        /// The id that the operator gave the change.
        change: u128,
        /// Who made the change, as stated by the operator's command.
        author: String,
        /// The revision that the operator edited.
        base: ident::RuleRevision,
    },
    /// The rules in force, as YAML.
    Rules,
    /// The ids, authors and revisions of the retained changes, as JSON.
    History,
}

/// Everything that can happen to a node.
///
/// The reducer has no other inputs besides the time.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// A caller sent a complete request.
    CallArrived {
        /// Where the reply goes.
        handle: CallerHandle,
        /// The request.
        request: Box<call::CallRequest>,
        /// Additional information from the headers.
        hints: CallerHints,
    },
    /// The caller closed its connection before the reply.
    CallerDisconnected {
        /// The handle of the caller.
        handle: CallerHandle,
    },
    /// A frame from another node.
    FrameArrived {
        /// The sender, authenticated in the handshake.
        peer: ident::NodeId,
        /// The frame.
        frame: frame::PeerFrame,
    },
    /// A frame from another node for whose body no memory was left.
    BodyRefused {
        /// The sender, authenticated in the handshake.
        peer: ident::NodeId,
        /// The frame, without its body.
        frame: frame::PeerFrame,
    },
    /// A connection to another node ended, so the outcome of everything in flight on it is unknown.
    /// The other process may still be running.
    ConnectionLost {
        /// The other node.
        peer: ident::NodeId,
    },
    /// No connection to another node could be opened; frames to it were not sent.
    PeerUnreachable {
        /// The other node.
        peer: ident::NodeId,
        /// The frames that were not sent.
        unsent: Vec<frame::PeerFrame>,
    },
    /// An authenticated datagram from another node.
    DatagramArrived {
        /// The address of the sender.
        from: SocketAddr,
        /// The message.
        message: gossip::GossipMessage,
    },
    /// An announced target was asked whether it accepts requests.
    TargetChecked {
        /// The incarnation that was asked.
        digest: ident::IncarnationDigest,
        /// What it answered.
        outcome: CheckOutcome,
        /// What the answer stated about the target; none without one.
        statement: Option<TargetStatement>,
    },
    /// Whether the target at an address accepted a connection, as
    /// [`ProbeTarget`](crate::effect::NodeEffect::ProbeTarget) requested.
    TargetProbed {
        /// The address.
        address: SocketAddr,
        /// Whether it did; otherwise nobody listens there.
        accepted: bool,
    },
    /// A run at the local target ended.
    RunEnded {
        /// The run.
        run: RunId,
        /// Its outcome.
        outcome: RunOutcome,
        /// What the target's answer stated about it, if a valid one came.
        statement: Option<TargetStatement>,
        /// The exchange with the target; none if no byte of the request was sent, or if the run
        /// was cancelled.
        exchange: Option<ExchangeTrace>,
    },
    /// The local target announced itself or renewed its announcement.
    TargetAnnounced(TargetAnnouncement),
    /// The local target announced that it is leaving.
    TargetLeaving,
    /// One incarnation of the local target announced that it is leaving or has terminated.
    TargetWithdrawn {
        /// The incarnation, and the position of this message among its messages.
        incarnation: TargetIncarnation,
        /// Whether the incarnation has terminated and sends nothing more.
        terminated: bool,
    },
    /// An operator sent a request.
    OperatorRequestArrived {
        /// Where the answer goes.
        handle: OperatorHandle,
        /// The request.
        request: OperatorRequest,
    },
    /// A request to the platform's store was answered or failed.
    StoreAnswered {
        /// The request.
        id: store::StoreId,
        /// Its outcome.
        outcome: store::StoreOutcome,
    },
    /// The time returned by the reducer's `next_wake` has come.
    TimerFired,
    /// A stop was requested; a second request forces it.
    StopRequested,
}
