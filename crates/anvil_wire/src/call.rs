//! Requests and answers between nodes; bodies are complete, never streamed.

use anvil_types::{context, ident, name, rate, treatment, verdict};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{bounded, outcome};

/// Maximum number of header lines that a node accepts in a request or answer from a peer.
pub const MAX_HEADER_LINES: usize = 1_024;

/// One header line.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeaderLine {
    /// Field name, lower case.
    pub name: String,
    /// Field value, as received.
    pub value: Bytes,
}

/// A request as its caller sent it, without hop-by-hop headers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// The requested service.
    pub service: name::ServiceName,
    /// HTTP method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub path: String,
    /// End-to-end headers, in order; at most [`MAX_HEADER_LINES`].
    #[serde(deserialize_with = "bounded::list::<_, _, MAX_HEADER_LINES>")]
    pub headers: Vec<HeaderLine>,
    /// The complete body.
    pub body: Bytes,
}

/// Statuses of final answers; RFC 9110, section 15, calls those beyond 599 invalid.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// A complete answer of a target, without hop-by-hop headers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallAnswer {
    /// HTTP status; see [`Self::has_final_status`].
    pub status: u16,
    /// End-to-end headers, in order; at most [`MAX_HEADER_LINES`].
    #[serde(deserialize_with = "bounded::list::<_, _, MAX_HEADER_LINES>")]
    pub headers: Vec<HeaderLine>,
    /// The complete body.
    pub body: Bytes,
}

impl CallAnswer {
    /// Whether the status is one that ends a request. An answer with another one is no answer, and nothing
    /// of it may reach a caller.
    pub fn has_final_status(&self) -> bool {
        FINAL_STATUSES.contains(&self.status)
    }
}

/// The lowest priority, by class and lane, that a service currently admits.
///
/// Entry nodes refuse requests below it before any work is done; see `docs/design/shedding.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CutLine {
    /// Classes below this one are refused.
    pub class: context::PriorityClass,
    /// Of this class, lanes above this one are refused.
    pub lane: context::LaneHash,
}

/// What a target's node tells other nodes about an incarnation of its target that is in need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetNotice {
    /// The incarnation.
    pub incarnation: ident::IncarnationDigest,
    /// The requests a second that it accepts from all nodes together; none if it has no limit.
    pub rate: Option<rate::RequestRate>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Load information that a target's node attaches to each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests running at the target.
    pub running: u32,
    /// Number of requests queued at its node, by class from the lowest; a request waits only for
    /// those of its own class and above.
    pub queued: [u16; context::PriorityClass::ALL.len()],
    /// Current concurrency limit.
    pub limit: u32,
    /// Typical duration of a run, in microseconds; zero before the first run.
    pub usual_micros: u32,
    /// The current cut line, if the target is overloaded.
    pub cut: Option<CutLine>,
    /// The highest cut line among the downstream services that requests of this kind call.
    pub deep: Option<CutLine>,
    /// Whether the node or its target is shutting down.
    pub leaving: bool,
    /// Number of the node's latest announcement to the fleet when the report was made, so that a
    /// report that arrives after a later announcement is recognised as stale.
    pub announced: u32,
    /// What the target stated about itself; none if it has never stated anything.
    pub notice: Option<TargetNotice>,
    /// How long the node that gets this should send nothing more to the target, in microseconds, so
    /// that all nodes together keep to the rate that the target names.
    pub pause_micros: u32,
    /// How long work takes at the target now, in percent of its usual time; zero if the target
    /// does not state it or stated it too long ago.
    pub pace_percent: u16,
}

/// A call from one node to the node beside the chosen target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCall {
    /// Identifies the call; one call may have several attempts.
    pub call: ident::CallId,
    /// Number of the attempt within the call, from one.
    pub attempt: u16,
    /// Address at which the sender accepts the answer.
    pub reply_to: std::net::SocketAddr,
    /// The call context, with the remaining time at sending.
    pub context: context::CallContext,
    /// The settings that the entry node's rules gave.
    pub treatment: treatment::RuleTreatment,
    /// The rule that gave them.
    pub rule: treatment::RuleReference,
    /// The client account of the root request; it is passed on to the target.
    pub account: Option<name::AccountName>,
    /// The caller's own id of the request, if it sent one.
    pub label: Option<ident::RequestLabel>,
    /// The request.
    pub request: CallRequest,
    /// What the sender knows about the target from answers that it passed on.
    pub notice: Option<TargetNotice>,
}

impl PeerCall {
    /// Identifies the attempt.
    pub fn attempt_id(&self) -> outcome::AttemptId {
        outcome::AttemptId {
            call: self.call,
            attempt: self.attempt,
        }
    }
}

/// The result of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAnswer {
    /// The call.
    pub call: ident::CallId,
    /// Number of the attempt within the call.
    pub attempt: u16,
    /// Whether the request ran.
    pub verdict: verdict::CallVerdict,
    /// The complete answer, if there is one.
    pub answer: Option<CallAnswer>,
    /// Retries spent by the calls below this one, so that the root's total stays exact.
    pub retries_spent: u16,
    /// Whether a call that the target made for this request failed. The target's own failure then
    /// doesn't suggest that another target of the service would succeed.
    pub failed_below: bool,
    /// Load of the node that ran the attempt and of its target.
    pub load: LoadReport,
}

impl PeerAnswer {
    /// Identifies the attempt.
    pub fn attempt_id(&self) -> outcome::AttemptId {
        outcome::AttemptId {
            call: self.call,
            attempt: self.attempt,
        }
    }
}
