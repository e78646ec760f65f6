//! Outcomes of calls: whether a request ran, and why not.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The outcome of one call.
///
/// Only [`CallVerdict::NotRun`] may be retried for a non-idempotent request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallVerdict {
    /// The target's complete answer was received.
    #[display("answered")]
    Answered,
    /// The request certainly did not run: it was refused before dispatch, or by the target's node.
    #[display("not-run")]
    NotRun(RefusalReason),
    /// It is unknown whether the request ran.
    #[display("may-have-run")]
    MayHaveRun(UncertaintyReason),
}

/// Why a request was refused before it ran.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum RefusalReason {
    /// No live target offers the service.
    #[display("no-target")]
    NoTarget,
    /// No target has ever announced the service.
    #[display("unknown-service")]
    UnknownService,
    /// The request was below the cut line of an overloaded service.
    #[display("shed")]
    Shed,
    /// The target refused the request without running it.
    #[display("target-refused")]
    TargetRefused,
    /// The queue of the target's node was full.
    #[display("queue-full")]
    QueueFull,
    /// The deadline passed, or could no longer be met, before dispatch.
    #[display("deadline")]
    Deadline,
    /// The node or its target is shutting down.
    #[display("leaving")]
    Leaving,
    /// The chain's retry allowance is spent.
    #[display("attempts-spent")]
    AttemptsSpent,
    /// The request is suspected of crashing the targets that run it.
    #[display("quarantined")]
    Quarantined,
    /// The body exceeds the documented size limit.
    #[display("body-too-large")]
    BodyTooLarge,
    /// No owner can grant the idempotency key at the moment.
    #[display("key-unavailable")]
    KeyUnavailable,
    /// The idempotency key was used for another request.
    #[display("key-mismatch")]
    KeyMismatch,
    /// The caller disconnected, or the parent request ended.
    #[display("cancelled")]
    Cancelled,
    /// No connection to the chosen node or target could be opened.
    #[display("unreachable")]
    Unreachable,
    /// The node has not yet received the rules that its peers have.
    #[display("rules-unknown")]
    RulesUnknown,
    /// A rule says that nothing exists at the request's host and path.
    #[display("not-found")]
    NotFound,
    /// A rule refuses such requests.
    #[display("rule")]
    Rule,
    /// The request is malformed.
    #[display("malformed")]
    Malformed,
    /// The request is not idempotent, and earlier requests on its connection are not answered yet.
    #[display("out-of-turn")]
    OutOfTurn,
    /// The request carries no key of a client account, or an unknown one.
    #[display("unauthenticated")]
    Unauthenticated,
    /// The client account has used up its quota.
    #[display("over-quota")]
    OverQuota,
    /// The client account that the local target calls for is unknown.
    #[display("account-unknown")]
    AccountUnknown,
    /// The target would get more than the rate that it named.
    #[display("rate-limited")]
    RateLimited,
    /// The configuration of the request's route could not be read.
    #[display("rule-unreadable")]
    RuleUnreadable,
    /// No readable client account holds the request's key, but some account could not be read.
    #[display("accounts-unreadable")]
    AccountsUnreadable,
    /// The node has no memory left for the body.
    #[display("no-memory")]
    NoMemory,
}

/// Why it is unknown whether a request ran.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum UncertaintyReason {
    /// The connection broke after the first byte was sent.
    #[display("connection-lost")]
    ConnectionLost,
    /// The deadline passed after the request was dispatched.
    #[display("deadline")]
    Deadline,
    /// The target closed the connection in the middle of its answer.
    #[display("answer-cut")]
    AnswerCut,
    /// The node that ran the request failed or left.
    #[display("node-lost")]
    NodeLost,
    /// The record of the idempotency key was lost with its owners.
    #[display("record-lost")]
    RecordLost,
    /// The caller disconnected, or the parent request ended, after the request was dispatched.
    #[display("cancelled")]
    Cancelled,
    /// The node was forced to stop before the call ended.
    #[display("stopped")]
    Stopped,
    /// An earlier copy of the request holds the idempotency key and is still running.
    #[display("in-progress")]
    InProgress,
}
