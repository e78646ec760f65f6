//! Statuses and problem bodies (RFC 9457) for requests without an answer of a target.

use std::time::Duration;

use anvil_types::verdict;
use http::StatusCode;
use serde::Serialize;

/// Media type of a problem body.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// The body of an error, as in RFC 9457.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ProblemBody {
    /// Identifies the kind of problem; a URN, so that no web page has to exist for it.
    #[serde(rename = "type")]
    pub kind: String,
    /// The kind of problem in words.
    pub title: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// Details of this request, if there are any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Whether the request ran: `not-run` or `may-have-run`.
    pub outcome: &'static str,
    /// The reason, as in the rules, the metrics and the dump.
    pub reason: String,
    /// Delay after which the caller should retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ProblemBody {
    /// Builds the body for a request without an answer.
    pub fn new(kind: &ProblemKind, retry_after: Option<Duration>) -> Self {
        let retry_after = retry_after.map(|delay| delay.as_millis());
        Self {
            kind: format!("urn:anvil:problem:{}", kind.reason),
            title: kind.title,
            status: kind.status.as_u16(),
            detail: None,
            outcome: kind.outcome,
            reason: kind.reason.clone(),
            retry_after_ms: retry_after.and_then(|millis| u64::try_from(millis).ok()),
        }
    }
}

/// The status and the texts that report a verdict to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProblemKind {
    /// The HTTP status.
    pub status: StatusCode,
    /// The kind in words.
    pub title: &'static str,
    /// The value of the outcome header.
    pub outcome: &'static str,
    /// The reason.
    pub reason: String,
}

/// The problem for a refusal: the request did not run.
pub fn refusal(reason: verdict::RefusalReason) -> ProblemKind {
    let (status, title) = refusal_status(reason);
    ProblemKind {
        status,
        title,
        outcome: "not-run",
        reason: reason.to_string(),
    }
}

/// The problem for an uncertain outcome: it is unknown whether the request ran.
pub fn uncertainty(reason: verdict::UncertaintyReason) -> ProblemKind {
    let (status, title) = uncertainty_status(reason);
    ProblemKind {
        status,
        title,
        outcome: "may-have-run",
        reason: reason.to_string(),
    }
}

fn refusal_status(reason: verdict::RefusalReason) -> (StatusCode, &'static str) {
    use verdict::RefusalReason as Reason;
    match reason {
        Reason::NoTarget => (busy(), "no target of the service is serving"),
        Reason::UnknownService => (StatusCode::NOT_FOUND, "nobody ever announced the service"),
        Reason::Shed => (busy(), "the service is under pressure"),
        Reason::TargetRefused => (busy(), "the target refused the request"),
        Reason::QueueFull => (busy(), "the queue of the target is full"),
        Reason::RateLimited => (busy(), "the target accepts no more requests at present"),
        Reason::Deadline => (late(), "the deadline passed before the request was sent"),
        Reason::Leaving => (busy(), "the node or its target is leaving"),
        Reason::AttemptsSpent => (busy(), "the retries of the whole chain are spent"),
        Reason::Quarantined => (busy(), "the request is suspected of crashing targets"),
        Reason::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        Reason::KeyUnavailable => (busy(), "no node can vouch for the idempotency key"),
        Reason::KeyMismatch => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "the idempotency key was used for another request",
        ),
        Reason::Cancelled => (busy(), "the parent request ended"),
        Reason::Unreachable => (busy(), "no connection to a target came about"),
        Reason::RulesUnknown => (busy(), "the node has not learned the rules yet"),
        Reason::NotFound => (StatusCode::NOT_FOUND, "a rule says that nothing is here"),
        Reason::Rule => (StatusCode::FORBIDDEN, "a rule refuses the request"),
        Reason::Malformed => (StatusCode::BAD_REQUEST, "the request is malformed"),
        Reason::Unauthenticated => (StatusCode::UNAUTHORIZED, "no client account holds the key"),
        Reason::OverQuota => (
            StatusCode::TOO_MANY_REQUESTS,
            "the quota of the client account is used up",
        ),
        Reason::AccountUnknown => (busy(), "nobody knows for which account the target calls"),
        Reason::RuleUnreadable => (busy(), "the rules for the request can't be read"),
        Reason::AccountsUnreadable => (busy(), "some client accounts can't be read"),
        Reason::NoMemory => (busy(), "no memory is left for the body"),
        Reason::OutOfTurn => (busy(), "requests in front of it are not answered yet"),
    }
}

fn uncertainty_status(reason: verdict::UncertaintyReason) -> (StatusCode, &'static str) {
    use verdict::UncertaintyReason as Reason;
    match reason {
        Reason::ConnectionLost => (broken(), "the connection to the target broke"),
        Reason::Deadline => (late(), "the deadline passed while the request was out"),
        Reason::AnswerCut => (broken(), "the target broke off in its answer"),
        Reason::NodeLost => (broken(), "the node that ran the request is gone"),
        Reason::RecordLost => (broken(), "the record of the idempotency key is lost"),
        Reason::Cancelled => (broken(), "the parent request ended"),
        Reason::Stopped => (broken(), "the node was stopped by force"),
        Reason::InProgress => (StatusCode::CONFLICT, "the same key is running now"),
    }
}

const fn busy() -> StatusCode {
    StatusCode::SERVICE_UNAVAILABLE
}

const fn late() -> StatusCode {
    StatusCode::GATEWAY_TIMEOUT
}

const fn broken() -> StatusCode {
    StatusCode::BAD_GATEWAY
}
