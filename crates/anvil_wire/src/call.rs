//! Requests and answers as they cross nodes, whole.

use anvil_types::{context, ident, name, treatment, verdict};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{bounded, outcome};

/// Most header lines of one request or answer that a node takes from another.
pub const MAX_HEADER_LINES: usize = 1_024;

/// One header line; the name is lower case.
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
    /// The service asked for.
    pub service: name::ServiceName,
    /// HTTP method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub path: String,
    /// End-to-end headers, in order; at most [`MAX_HEADER_LINES`].
    #[serde(deserialize_with = "bounded::list::<_, _, MAX_HEADER_LINES>")]
    pub headers: Vec<HeaderLine>,
    /// The whole body.
    pub body: Bytes,
}

/// A whole answer of a target, without hop-by-hop headers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers, in order; at most [`MAX_HEADER_LINES`].
    #[serde(deserialize_with = "bounded::list::<_, _, MAX_HEADER_LINES>")]
    pub headers: Vec<HeaderLine>,
    /// The whole body.
    pub body: Bytes,
}

/// The lowest request, by class and lane, that a service admits at present.
///
/// See `docs/design/shedding.md`; the entry nodes refuse below it before any work is spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CutLine {
    /// Classes below this one are refused.
    pub class: context::PriorityClass,
    /// Of this class, lanes above this one are refused.
    pub lane: context::LaneHash,
}

/// What the target's node tells about itself on each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running at the target.
    pub running: u32,
    /// Requests queued at its node by class, from the lowest; a request waits only for those of
    /// its own class and above.
    pub queued: [u16; context::PriorityClass::ALL.len()],
    /// Requests that may run at once at present.
    pub limit: u32,
    /// Usual time of a run, in microseconds; zero before the first.
    pub usual_micros: u32,
    /// The cut line in force, where the target is under pressure.
    pub cut: Option<CutLine>,
    /// The highest cut line among the services that requests like the one answered need below.
    pub deep: Option<CutLine>,
    /// Whether the node or its target is leaving.
    pub leaving: bool,
    /// The node's latest announcement to the fleet when it made this report, so that one that arrives
    /// behind a later announcement is known for old.
    pub announced: u32,
}

/// A call from one node to the node beside the chosen target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCall {
    /// Identity of the call; one call may see several attempts.
    pub call: ident::CallId,
    /// Counts the attempts of the call from one.
    pub attempt: u16,
    /// Where the sender accepts the answer.
    pub reply_to: std::net::SocketAddr,
    /// The context, with the time left at sending.
    pub context: context::CallContext,
    /// What the entry node's rules decided.
    pub treatment: treatment::RuleTreatment,
    /// Which rule decided.
    pub rule: treatment::RuleReference,
    /// The client account that the root request is sent for, which the target is told.
    pub account: Option<name::AccountName>,
    /// The caller's own id of the request, where it named one.
    pub label: Option<ident::RequestLabel>,
    /// The request itself.
    pub request: CallRequest,
}

impl PeerCall {
    /// Which attempt it is.
    pub fn attempt_id(&self) -> outcome::AttemptId {
        outcome::AttemptId {
            call: self.call,
            attempt: self.attempt,
        }
    }
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAnswer {
    /// The call answered.
    pub call: ident::CallId,
    /// The attempt answered.
    pub attempt: u16,
    /// Whether the request ran.
    pub verdict: verdict::CallVerdict,
    /// The whole answer where there is one.
    pub answer: Option<CallAnswer>,
    /// Retries spent below this call, so that the root's sum stays exact.
    pub retries_spent: u16,
    /// Whether a call that the target made for this request failed: its own failure is then no sign
    /// that others of its service do better.
    pub failed_below: bool,
    /// Load of the answering node's target.
    pub load: LoadReport,
}

impl PeerAnswer {
    /// The attempt that it answers.
    pub fn attempt_id(&self) -> outcome::AttemptId {
        outcome::AttemptId {
            call: self.call,
            attempt: self.attempt,
        }
    }
}
