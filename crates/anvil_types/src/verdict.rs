//! What is known about whether a request ran.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The outcome of one call.
///
/// Only [`CallVerdict::NotRun`] may be retried for a non-idempotent request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallVerdict {
    /// A whole answer of the target stands behind the verdict.
    #[display("answered")]
    Answered,
    /// Proved not to have run: refused before dispatch, or by the target's own node.
    #[display("not-run")]
    NotRun(RefusalReason),
    /// Nobody can tell whether it ran.
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
    /// Nobody ever announced the service.
    #[display("unknown-service")]
    UnknownService,
    /// The request stood below the cut line of a service under pressure.
    #[display("shed")]
    Shed,
    /// The target itself refused it without running it.
    #[display("target-refused")]
    TargetRefused,
    /// The queue of the target's node was full.
    #[display("queue-full")]
    QueueFull,
    /// The deadline passed, or could no longer be met, before the request was dispatched.
    #[display("deadline")]
    Deadline,
    /// The node or its target is leaving.
    #[display("leaving")]
    Leaving,
    /// The chain's retry allowance is spent.
    #[display("attempts-spent")]
    AttemptsSpent,
    /// The request is suspected of crashing the targets that run it.
    #[display("quarantined")]
    Quarantined,
    /// The body is above the documented limit.
    #[display("body-too-large")]
    BodyTooLarge,
    /// No owner can vouch for the idempotency key at the moment.
    #[display("key-unavailable")]
    KeyUnavailable,
    /// The idempotency key was used for another request.
    #[display("key-mismatch")]
    KeyMismatch,
    /// The caller went away, or the parent request ended.
    #[display("cancelled")]
    Cancelled,
    /// No connection to the chosen node or target could be opened.
    #[display("unreachable")]
    Unreachable,
    /// The node has not yet learned the rules that its peers hold.
    #[display("rules-unknown")]
    RulesUnknown,
    /// A rule says that nothing stands at the request's host and path.
    #[display("not-found")]
    NotFound,
    /// A rule says that such requests are refused.
    #[display("rule")]
    Rule,
    /// The request is malformed.
    #[display("malformed")]
    Malformed,
    /// It must not run twice, and requests in front of it on its connection are not answered yet.
    #[display("out-of-turn")]
    OutOfTurn,
    /// It bears no key of a client account, or one that nobody holds.
    #[display("unauthenticated")]
    Unauthenticated,
    /// Its client account has used up its quota.
    #[display("over-quota")]
    OverQuota,
    /// Nobody knows for which client account the local target calls.
    #[display("account-unknown")]
    AccountUnknown,
}

/// Why nobody can tell whether a request ran.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum UncertaintyReason {
    /// The connection broke after the first byte had left.
    #[display("connection-lost")]
    ConnectionLost,
    /// The deadline passed while the request was out.
    #[display("deadline")]
    Deadline,
    /// The target broke off in the middle of its answer.
    #[display("answer-cut")]
    AnswerCut,
    /// The node that ran the request is gone.
    #[display("node-lost")]
    NodeLost,
    /// The record of the key was lost with its owner.
    #[display("record-lost")]
    RecordLost,
    /// The caller went away, or the parent request ended, while the request was out.
    #[display("cancelled")]
    Cancelled,
    /// The node was stopped by force.
    #[display("stopped")]
    Stopped,
    /// The same key is running at this moment for an earlier copy of the request.
    #[display("in-progress")]
    InProgress,
}
