//! Everything that can happen to a node.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_rules::document;
use anvil_types::{account, ident, name, store};
use anvil_wire::{call, frame, gossip};
use bytes::Bytes;

/// A caller's connection that waits for one reply; local to the edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerHandle(pub u64);

/// An operator's request that waits for one reply; local to the edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperatorHandle(pub u64);

/// One run of a request at the local target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// What the caller's headers say about the call, apart from the request itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHints {
    /// The request id, where the caller resends under its own.
    pub request: Option<ident::RequestId>,
    /// Time the caller still waits.
    pub timeout: Option<Duration>,
    /// The key of a client account, as a digest.
    pub credential: account::CallerCredential,
    /// The idempotency key, as sent.
    pub key: Option<Bytes>,
    /// The caller's own id of the request.
    pub label: Option<ident::RequestLabel>,
    /// The id of the request on whose behalf the local target may be calling, as far as the call's
    /// own id tells; a hint only, since nobody promises that ids are built so.
    pub parent_label: Option<ident::RequestLabel>,
    /// The context of the parent call, where the local target calls on behalf of it.
    pub parent: Option<ParentToken>,
    /// Whether it stands behind requests of its connection that are not answered yet. If the
    /// connection closes before its turn, it counts as not read and the caller sends it again.
    pub pipelined: bool,
}

/// Names a running call of the local target, handed to the target with the request and sent back
/// on its own outgoing calls, so that the context follows without the target's understanding it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ParentToken(pub RunId);

/// How a run at the local target ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The whole answer arrived.
    Answered(call::CallAnswer),
    /// The target said that it refused the request without running it.
    Refused,
    /// Another start of a target answered at the address, without running the request.
    Misdirected {
        /// The one that answered, where it said so.
        holder: Option<ident::IncarnationId>,
    },
    /// No connection came about, so no byte of the request left.
    Unreachable,
    /// The connection broke after the first byte had left and before the whole answer arrived.
    Broken {
        /// Whether the answer had begun.
        in_answer: bool,
    },
    /// The deadline passed while the request was out.
    TimedOut,
    /// The run was cancelled by the node.
    Cancelled,
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// The service it offers.
    pub service: name::ServiceName,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Requests it can run at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Time until the announcement lapses unless renewed.
    pub lease: Duration,
    /// Whether it has served for long enough to take a full load at once.
    pub warm: bool,
    /// Which start of the target speaks, where it says so.
    pub incarnation: Option<TargetIncarnation>,
}

impl TargetAnnouncement {
    /// Which start speaks, where it says so.
    pub fn incarnation_id(&self) -> Option<&ident::IncarnationId> {
        self.incarnation.as_ref().map(|incarnation| &incarnation.id)
    }

    /// Whether `next` is a word of the same start.
    pub fn is_same_incarnation(&self, next: &Self) -> bool {
        match (&self.incarnation, &next.incarnation) {
            (Some(own), Some(other)) => own.is_same_incarnation(other),
            (None, None) => true,
            _ => false,
        }
    }

    /// Whether `next` says the same as this one, but for its place among the words of its start.
    pub fn is_renewed_by(&self, next: &Self) -> bool {
        let same = Self {
            incarnation: next.incarnation.clone(),
            ..self.clone()
        };
        self.is_same_incarnation(next) && same == *next
    }
}

/// One start of the target and the place of its word among its others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetIncarnation {
    /// The name that the start goes by; a target may start again under the one that it had.
    pub id: ident::IncarnationId,
    /// When it started by its own clock, in Unix milliseconds, where it says so.
    pub started_at_ms: Option<u64>,
    /// Rises with each word of that start, so that one which comes late can be told.
    pub sequence: u64,
}

impl TargetIncarnation {
    /// Whether `other` is a word of the same start, and not of another one under the same id.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.started_at_ms == other.started_at_ms
    }
}

/// A question of an operator to this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// The whole state, as JSON.
    Dump,
    /// A summary of the fleet as this node sees it, as JSON.
    Status,
    /// Counters and gauges, as JSON pairs.
    Counters,
    /// Which rule decides a request, and why, as JSON.
    Explain(Box<call::CallRequest>),
    /// A change of the rules: the whole rules as they shall be, and the revision they were made
    /// from. The edge reads and checks the text, which may take longer than a request may wait.
    Apply {
        /// The rules, checked.
        rules: document::RuleDocument,
        /// The operator's own id of the change.
        change: u128,
        /// Who made it, as the operators' command tells.
        author: String,
        /// The revision the operator saw.
        base: ident::RuleRevision,
    },
    /// The rules in force, as YAML.
    Rules,
    /// The change ids, authors and revisions kept, as JSON.
    History,
}

/// Everything that can happen to a node.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// A caller sent a whole request.
    CallArrived {
        /// Where the reply goes.
        handle: CallerHandle,
        /// The request.
        request: Box<call::CallRequest>,
        /// What the headers say beside it.
        hints: CallerHints,
    },
    /// The caller closed its connection before the reply.
    CallerDisconnected {
        /// Whose.
        handle: CallerHandle,
    },
    /// A frame from another node.
    FrameArrived {
        /// The sender, as proved in the handshake.
        peer: ident::NodeId,
        /// The frame.
        frame: frame::PeerFrame,
    },
    /// A connection to another node ended, and what was out on it is of unknown fate. The other process
    /// may live on.
    ConnectionLost {
        /// The other node.
        peer: ident::NodeId,
    },
    /// No connection to another node came about; frames to it were not sent.
    PeerUnreachable {
        /// The other node.
        peer: ident::NodeId,
        /// The frames that never left.
        unsent: Vec<frame::PeerFrame>,
    },
    /// An authenticated datagram from another node.
    DatagramArrived {
        /// Where it came from.
        from: SocketAddr,
        /// What it says.
        message: gossip::GossipMessage,
    },
    /// A run at the local target ended.
    RunEnded {
        /// Which.
        run: RunId,
        /// How.
        outcome: RunOutcome,
    },
    /// The local target announced itself or renewed.
    TargetAnnounced(TargetAnnouncement),
    /// The local target says that it leaves.
    TargetLeaving,
    /// One start of the local target says that it leaves, or is gone for good.
    TargetWithdrawn {
        /// Which, and the place of its word among its others.
        incarnation: TargetIncarnation,
        /// Whether nothing more will come from it.
        terminated: bool,
    },
    /// An operator asked something.
    OperatorRequestArrived {
        /// Where the answer goes.
        handle: OperatorHandle,
        /// What.
        request: OperatorRequest,
    },
    /// A question to the platform's store ended.
    StoreAnswered {
        /// Which.
        id: store::StoreId,
        /// How.
        outcome: store::StoreOutcome,
    },
    /// The time that `next_wake` of the reducer named has come, or a little later.
    TimerFired,
    /// A stop was asked for; a second one forces it.
    StopRequested,
}
