//! Effects: the outputs of the reducer, as data.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_rules::check;
use anvil_types::{ident, name, rate, store, treatment, verdict};
use anvil_wire::{call, frame, gossip, suspicion};
use derive_more::Display;
use serde::Serialize;

use crate::{answer, event, incarnations, reports, request_log};

/// The reply to a caller; each call gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerReply {
    /// Whether the request ran.
    pub verdict: verdict::CallVerdict,
    /// The complete answer, if there is one.
    pub answer: Option<call::CallAnswer>,
    /// The id of the request, which the caller may log and use for resends.
    pub request: ident::RequestId,
    /// Attempts that this node dispatched for the call.
    pub attempts: u16,
    /// The rule that applied.
    pub rule: treatment::RuleReference,
    /// How long the caller should wait before it retries, if a retry may succeed.
    pub retry_after: Option<Duration>,
    /// The id that the caller gave the request.
    pub label: Option<ident::RequestLabel>,
}

impl CallerReply {
    /// The reply to the request with the id `label` that has no open call in the reducer.
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

/// An order to run a request at the local target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// Identity of the run; the target sends it back on its own calls as the parent token.
    pub run: event::RunId,
    /// Where the target listens.
    pub address: SocketAddr,
    /// The incarnation of the target that the request is for, if the target announces incarnations.
    pub incarnation: Option<ident::IncarnationId>,
    /// The client account of the root request, passed on to the target.
    pub account: Option<name::AccountName>,
    /// The id that the caller gave the request.
    pub label: Option<ident::RequestLabel>,
    /// The request.
    pub request: call::CallRequest,
    /// The root request, passed on to the target.
    pub root: ident::RequestId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time left for the run; passed on to the target.
    pub timeout: Duration,
}

/// An order to ask an announced target whether it accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckOrder {
    /// The incarnation that is asked, as in the answer.
    pub digest: ident::IncarnationDigest,
    /// Where it listens.
    pub address: SocketAddr,
    /// The id of the incarnation.
    pub incarnation: ident::IncarnationId,
    /// The path at which it answers.
    pub path: check::CheckPath,
}

/// A change of state that is logged.
///
/// The text is meant for people. The serialized form is what the log holds: one JSON object whose
/// field `event` names the change.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum StateChange {
    /// The local target is serving, for the first time or with changed facts.
    #[display("target serving: service={service} address={address} slots={slots}")]
    TargetServing {
        /// The service that it offers.
        service: String,
        /// Where it accepts requests.
        address: SocketAddr,
        /// Requests that it can run concurrently.
        slots: u32,
    },
    /// The local target left, or its lease expired.
    #[display("target gone: reason={reason}")]
    TargetGone {
        /// Why the target is not used any more.
        reason: String,
    },
    /// An incarnation of the local target stated that it is leaving.
    #[display("target retired")]
    TargetRetired {
        /// The incarnation, if the target announces incarnations.
        incarnation: Option<ident::IncarnationId>,
        /// The node that had passed on such an answer, if this node learned of it from there.
        told_by: Option<String>,
    },
    /// An announced target was asked whether it accepts requests.
    #[display("target checked: outcome={outcome}")]
    TargetChecked {
        /// The incarnation.
        incarnation: Option<ident::IncarnationId>,
        /// Its answer.
        #[serde(flatten)]
        outcome: event::CheckOutcome,
    },
    /// The local target crashed while it ran these requests.
    #[display("target crashed: sequence={sequence} suspects={}", suspects.len())]
    TargetCrashed {
        /// The number of the crash at this node.
        sequence: u64,
        /// The requests that each get a strike.
        suspects: Vec<suspicion::SuspectRequest>,
    },
    /// Another node reported the crash of its target, or the loss of a node.
    #[display("crash heard: node={} suspects={suspects}", crash.node)]
    CrashHeard {
        /// The crash.
        crash: suspicion::CrashId,
        /// Number of requests that each get a strike.
        suspects: usize,
        /// Whether it was already known.
        repeated: bool,
    },
    /// A request is refused from now on because targets crashed while they ran it.
    #[display("request quarantined: crashes={}", request.crashes)]
    RequestQuarantined {
        /// The request.
        #[serde(flatten)]
        request: suspicion::QuarantinedRequest,
    },
    /// A status report of the target was received, and was not ignored.
    #[display("target reported: {report} change={change}")]
    TargetReported {
        /// The report.
        #[serde(flatten)]
        report: reports::ReceivedReport,
        /// What it changed.
        change: reports::ReportChange,
    },
    /// A message of the target was ignored because it was outdated or named an unknown service.
    #[display("announcement ignored: {report} standing={status}")]
    #[serde(rename = "word-ignored")]
    AnnouncementIgnored {
        /// The message.
        #[serde(flatten)]
        report: reports::ReceivedReport,
        /// Why the message was ignored.
        #[serde(rename = "standing")]
        status: incarnations::AnnouncementStatus,
    },
    /// The local target named another rate, or none any more.
    #[display("rate named: {named:?}")]
    RateNamed {
        /// The incarnation of the target.
        incarnation: Option<ident::IncarnationId>,
        /// Requests a second; none if it has no limit any more.
        named: Option<rate::RequestRate>,
        /// The node that knew the rate, if no answer of the target has arrived here yet.
        told_by: Option<String>,
    },
    /// The local target named something that is not a rate, for the first time.
    #[display("rate malformed; still in force: {named:?}")]
    RateMalformed {
        /// The incarnation of the target.
        incarnation: Option<ident::IncarnationId>,
        /// The rate that it named before.
        named: Option<rate::RequestRate>,
    },
    /// The local target became slow by the pace that it states, or usual again.
    #[display("pace changed: slow={slow} percent={percent:?}")]
    PaceChanged {
        /// The incarnation of the target.
        incarnation: Option<ident::IncarnationId>,
        /// Whether it counts as slow now.
        slow: bool,
        /// The pace in percent; none if the answer states none.
        percent: Option<u16>,
    },
    /// Requests to a service began to leave this node's zone because its targets there are full, or
    /// none has left for some seconds.
    #[display("zone overflow: service={service} begins={begins}")]
    ZoneOverflow {
        /// The service.
        service: String,
        /// Whether it begins.
        begins: bool,
    },
    /// The local target stated something that is not a load, for the first time.
    #[display("load malformed")]
    LoadMalformed {
        /// The incarnation of the target.
        incarnation: Option<ident::IncarnationId>,
    },
    /// This node learned from an answer what another node's target states about itself.
    #[display("target noticed: node={node} rate={rate:?} leaving={leaving}")]
    TargetNoticed {
        /// The target's node.
        node: String,
        /// The address of that node.
        address: SocketAddr,
        /// The hash of the target's incarnation.
        incarnation: String,
        /// Requests a second that the target accepts; none if it has no limit.
        rate: Option<rate::RequestRate>,
        /// Whether the target is leaving.
        leaving: bool,
    },
    /// Targets of a service began to refuse calls although they have free slots, or ceased to.
    #[display("service refuses: service={service} share={share_percent}%")]
    ServiceRefuses {
        /// The service.
        service: name::ServiceName,
        /// Share of the attempts that are refused, in percent.
        share_percent: u16,
        /// Whether it is high enough that retries depend on it.
        refusing: bool,
    },
    /// A free-form message of one part of the node.
    #[display("{part}: {text}")]
    Part {
        /// The part, such as `fleet` or `rules`.
        part: &'static str,
        /// The message.
        text: String,
    },
    /// A request ended at its entry node.
    #[display("call ended")]
    CallEnded(Box<request_log::CallSummary>),
    /// A request ended at the target's node.
    #[display("run ended")]
    RunEnded(Box<request_log::RunSummary>),
    /// A call with a guarded idempotency key reached its next step.
    #[display("keyed call")]
    KeyedCall(Box<request_log::KeyedRecord>),
    /// An attempt of a request that must not run twice reached its next step.
    #[display("attempt")]
    Attempt(Box<request_log::AttemptRecord>),
    /// Lines about single requests were suppressed to bound the size of the log.
    #[display("lines suppressed: {count}")]
    #[serde(rename = "held-back")]
    LinesSuppressed {
        /// Number of suppressed lines.
        count: u64,
    },
    /// A stop of the node was requested.
    #[display("stopping: forced={forced} running={running}")]
    Stopping {
        /// Whether a repeated request forces the stop.
        forced: bool,
        /// Open calls and running runs.
        running: usize,
    },
}

/// An action that the process carries out for the reducer.
#[derive(Clone, Debug)]
pub enum NodeEffect {
    /// Reply to a caller.
    ReplyCaller {
        /// The connection of the caller.
        handle: event::CallerHandle,
        /// The reply.
        reply: Box<CallerReply>,
    },
    /// Send a frame to another node, over a new connection if there is none.
    SendFrame {
        /// The receiver; the handshake must authenticate it.
        peer: ident::NodeId,
        /// Where it accepts connections.
        address: SocketAddr,
        /// The frame.
        frame: frame::PeerFrame,
    },
    /// Send a datagram to another node.
    SendDatagram {
        /// The address of the receiver.
        to: SocketAddr,
        /// The message.
        message: gossip::GossipMessage,
    },
    /// Run a request at the local target.
    RunTarget(Box<RunOrder>),
    /// Try whether the target accepts a connection; the result comes back as
    /// [`event::NodeEvent::TargetProbed`].
    ProbeTarget(SocketAddr),
    /// Ask an announced target whether it accepts requests; the answer comes back as
    /// [`event::NodeEvent::TargetChecked`].
    CheckTarget(CheckOrder),
    /// Give up the runs of which no byte was sent, because the target is leaving.
    WithdrawRuns,
    /// Close the connection of a run, which tells the target to stop.
    CancelRun(event::RunId),
    /// Answer an operator.
    AnswerOperator {
        /// The handle of the operator's request.
        handle: event::OperatorHandle,
        /// The answer, or why the request was not carried out.
        answer: Result<answer::OperatorAnswer, answer::OperatorRefusal>,
    },
    /// Send a request to the platform's store; the outcome comes back as
    /// [`event::NodeEvent::StoreAnswered`].
    SendStoreRequest {
        /// Identity of the request.
        id: store::StoreId,
        /// The request.
        request: store::StoreRequest,
    },
    /// Tell callers whether this node is ready for their requests.
    Readiness(bool),
    /// Write a log line.
    Report(StateChange),
    /// End the process; everything has been answered.
    Exit,
}
