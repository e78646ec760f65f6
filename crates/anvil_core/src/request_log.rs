//! What is told of single requests, and how much of it.
//!
//! Whoever looks into a failed request has logs and no more, so each end that is no success is
//! told with what decided it. Successes are told for one lane in sixteen: the lane is the same at
//! every hop, so a request that is told is told at all its nodes. A budget bounds both under load;
//! what it holds back is counted and told.

use std::time::Duration;

use anvil_overload::refusal;
use anvil_types::{context, ident, name, time, treatment, verdict};
use serde::{Serialize, Serializer};

/// Lanes of 256 whose successes are told.
const LOGGED_LANES: u8 = 16;

/// Lines about single requests that a node writes each second; a line is some 300 bytes, so a node
/// writes 60 kB/s at most.
const MAX_LINES_PER_SECOND: u32 = 200;

/// The end of a request at its entry node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CallSummary {
    /// The caller's own id of the request.
    pub request: Option<ident::RequestLabel>,
    /// The root request that it serves.
    pub root: ident::RequestId,
    /// The service asked for.
    pub service: name::ServiceName,
    /// The client account that it is sent for.
    pub account: Option<name::AccountName>,
    /// Importance.
    pub class: context::PriorityClass,
    /// Lane.
    pub lane: context::LaneHash,
    /// The rule that decided and its revision.
    pub rule: treatment::RuleReference,
    /// Whether it ran, as the caller is told.
    #[serde(serialize_with = "in_words")]
    pub verdict: verdict::CallVerdict,
    /// Status of the target's answer, where there is one.
    pub status: Option<u16>,
    /// Attempts dispatched.
    pub attempts: u16,
    /// Attempts that may have come to a target.
    pub reached: u16,
    /// Nodes that the attempts went to.
    #[serde(serialize_with = "as_texts")]
    pub nodes: Vec<ident::NodeId>,
    /// The limit that refused the last attempt.
    pub refused: Option<refusal::RefusalLimit>,
    /// The node that the limit belongs to.
    #[serde(serialize_with = "as_text")]
    pub refused_by: Option<ident::NodeId>,
    /// Time since the request came, in milliseconds.
    pub took_ms: u64,
    /// Time left of what the caller and the rule allow, in milliseconds.
    pub left_ms: u64,
    /// When the caller is told to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// The end of a run, or of the wait for one, at the target's node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunSummary {
    /// The caller's own id of the request.
    pub request: Option<ident::RequestLabel>,
    /// The root request that it serves.
    pub root: ident::RequestId,
    /// The entry node.
    #[serde(serialize_with = "in_hex")]
    pub entry: ident::NodeId,
    /// The attempt of the entry node.
    pub attempt: u16,
    /// The start of the target, where it names its starts.
    pub incarnation: Option<ident::IncarnationId>,
    /// Whether it ran.
    #[serde(serialize_with = "in_words")]
    pub verdict: verdict::CallVerdict,
    /// Status of the target's answer, where there is one.
    pub status: Option<u16>,
    /// Time in the queue, in milliseconds; all of it where the request was never started.
    pub queued_ms: u64,
    /// Time at the target, in milliseconds; none where it never started.
    pub ran_ms: Option<u64>,
    /// Requests running at the target at the end.
    pub running: u32,
    /// Requests that waited at the end.
    pub queued: usize,
}

/// A step of a call whose idempotency key is guarded.
///
/// Nothing else tells, after a key has run twice, which grant, call, attempt and process each run had;
/// so these are written for every such call, and not for one lane in sixteen.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KeyedRecord {
    /// The root request that it serves.
    pub root: ident::RequestId,
    /// The key.
    #[serde(serialize_with = "in_hex")]
    pub key: ident::RequestKey,
    /// The call that wants to run it.
    #[serde(serialize_with = "in_hex")]
    pub call: ident::CallId,
    /// The step.
    #[serde(flatten)]
    pub step: KeyedStep,
}

/// What happened to a keyed call.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum KeyedStep {
    /// Its entry node asked the owner of the key.
    Asked,
    /// The owner granted the key to this call.
    Granted,
    /// An attempt went out.
    Sent {
        /// Which attempt.
        attempt: u16,
        /// The node that it went to.
        #[serde(serialize_with = "in_hex")]
        to: ident::NodeId,
    },
    /// The target's node handed it to the target.
    Started {
        /// Which attempt.
        attempt: u16,
        /// The run, as the parent token names it.
        run: u64,
    },
    /// It ended at its entry node, which told the owner so.
    Settled {
        /// Whether it ran.
        #[serde(serialize_with = "in_words")]
        verdict: verdict::CallVerdict,
    },
}

/// Identities of nodes as text: they are wider than the numbers that readers of JSON keep whole.
fn in_hex<T, S>(id: &T, serializer: S) -> Result<S::Ok, S::Error>
where
    T: std::fmt::Display,
    S: Serializer,
{
    serializer.collect_str(id)
}

fn as_text<S>(node: &Option<ident::NodeId>, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    match node {
        Some(node) => serializer.collect_str(node),
        None => serializer.serialize_none(),
    }
}

fn as_texts<S>(nodes: &[ident::NodeId], serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.collect_seq(nodes.iter().map(ToString::to_string))
}

fn in_words<S>(verdict: &verdict::CallVerdict, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    match verdict {
        verdict::CallVerdict::Answered => serializer.collect_str(verdict),
        verdict::CallVerdict::NotRun(reason) => {
            serializer.collect_str(&format_args!("{verdict}: {reason}"))
        }
        verdict::CallVerdict::MayHaveRun(reason) => {
            serializer.collect_str(&format_args!("{verdict}: {reason}"))
        }
    }
}

/// Whether the end of a request is worth a line, by how it ended and by its lane.
pub fn is_logged(
    verdict: verdict::CallVerdict,
    status: Option<u16>,
    lane: context::LaneHash,
) -> bool {
    let fine = status.is_some_and(|status| status < 500);
    let success = verdict == verdict::CallVerdict::Answered && fine;
    !success || lane.0 < LOGGED_LANES
}

/// Whole milliseconds of a span.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Bounds the lines about single requests, second by second.
#[derive(Clone, Debug, Default)]
pub struct LogBudget {
    second: u64,
    written: u32,
    suppressed: u64,
}

/// What becomes of one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogGrant {
    /// Write it, after a line that tells how many were held back before, where any were.
    Write {
        /// Lines held back since the last one written.
        suppressed: u64,
    },
    /// Hold it back.
    Suppress,
}

impl LogBudget {
    /// Asks for one line.
    pub fn take(&mut self, now: time::NodeTime) -> LogGrant {
        let second = now.0 / 1_000_000;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
        if self.written >= MAX_LINES_PER_SECOND {
            self.suppressed += 1;
            return LogGrant::Suppress;
        }
        self.written += 1;
        let suppressed = std::mem::take(&mut self.suppressed);
        LogGrant::Write { suppressed }
    }
}
