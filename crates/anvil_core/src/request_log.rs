//! Log records of single requests, and the budget that bounds them.
//!
//! Logs are the only source for the analysis of a failed request, so every request that doesn't
//! succeed is logged together with what decided its outcome. Successes are logged for one uniform
//! lane in sixteen: it is the same at every hop, so a sampled request is logged at all of its nodes.
//! A budget bounds both under load; the number of suppressed lines is logged.

use std::time::Duration;

use anvil_overload::refusal;
use anvil_types::{context, ident, name, rate, time, treatment, verdict};
use serde::{Serialize, Serializer};

use crate::{event, reports};

/// Number of lanes, out of 256, whose successes are logged.
const LOGGED_LANES: u8 = 16;

/// Maximum number of lines about the ends of requests per second. A line takes about 300 bytes, so
/// a node writes at most 60 kB/s.
const MAX_LINES_PER_SECOND: u32 = 200;

/// Maximum number of lines about attempts per second, in addition.
const MAX_ATTEMPT_LINES_PER_SECOND: u32 = 200;

/// Lines about attempts per second that only unusual attempts may use: repeated ones, and those
/// that did not end with a complete answer.
const RESERVED_ATTEMPT_LINES: u32 = 100;

/// How a request ended at its entry node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CallSummary {
    /// The id that the caller gave the request.
    pub request: Option<ident::RequestLabel>,
    /// The root request of the chain.
    pub root: ident::RequestId,
    /// The requested service.
    pub service: name::ServiceName,
    /// The client account of the request.
    pub account: Option<name::AccountName>,
    /// The priority class.
    pub class: context::PriorityClass,
    /// The lane.
    pub lane: context::LaneHash,
    /// The rule that applied and its revision.
    pub rule: treatment::RuleReference,
    /// The newest revision that the node had heard of when the request arrived, if it was not in
    /// force yet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub newer_revision: Option<ident::RuleRevision>,
    /// Whether the request ran, as reported to the caller.
    #[serde(serialize_with = "in_words")]
    pub verdict: verdict::CallVerdict,
    /// The status of the target's answer, if there is one.
    pub status: Option<u16>,
    /// Attempts that were dispatched.
    pub attempts: u16,
    /// Attempts that may have reached a target.
    pub reached: u16,
    /// The nodes that the attempts were sent to.
    #[serde(serialize_with = "as_texts")]
    pub nodes: Vec<ident::NodeId>,
    /// The limit that refused the last attempt.
    pub refused: Option<refusal::RefusalLimit>,
    /// The node whose limit that was.
    #[serde(serialize_with = "as_text")]
    pub refused_by: Option<ident::NodeId>,
    /// Time since the request arrived, in milliseconds.
    pub took_ms: u64,
    /// Time left until the deadline set by the caller and the rule, in milliseconds.
    pub left_ms: u64,
    /// The time after which the caller should retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// How a request ended at the target's node, running or still queued.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunSummary {
    /// The id that the caller gave the request.
    pub request: Option<ident::RequestLabel>,
    /// The root request of the chain.
    pub root: ident::RequestId,
    /// The entry node.
    #[serde(serialize_with = "in_hex")]
    pub entry: ident::NodeId,
    /// The number of the attempt at the entry node.
    pub attempt: u16,
    /// The status report of the target on which the node relied when it handed the request over;
    /// none if the run never started, or if the target announces no incarnations.
    #[serde(flatten)]
    pub report: Option<reports::ReportReference>,
    /// Whether the request ran.
    #[serde(serialize_with = "in_words")]
    pub verdict: verdict::CallVerdict,
    /// The status of the target's answer, if there is one.
    pub status: Option<u16>,
    /// Time in the queue, in milliseconds; the whole time if the run never started.
    pub queued_ms: u64,
    /// Time at the target, in milliseconds; none if the run never started.
    pub ran_ms: Option<u64>,
    /// Requests that were running at the target when this one ended.
    pub running: u32,
    /// Requests that were queued when this one ended.
    pub queued: usize,
    /// The rate, in requests a second, that the target named when the run was handed to it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub named_rate: Option<rate::RequestRate>,
    /// The rate, in requests a second, that the entry node knew from earlier answers of the target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub entry_rate: Option<rate::RequestRate>,
}

/// A step of a call whose idempotency key is guarded.
///
/// If a key ever runs twice, only these records show which grant, call, attempt and process each
/// run belonged to. They are therefore written for every such call instead of being sampled.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KeyedRecord {
    /// The root request of the chain.
    pub root: ident::RequestId,
    /// The idempotency key.
    #[serde(serialize_with = "in_hex")]
    pub key: ident::RequestKey,
    /// The call that holds or requests the key.
    #[serde(serialize_with = "in_hex")]
    pub call: ident::CallId,
    /// The step.
    #[serde(flatten)]
    pub step: KeyedStep,
}

/// The steps of a call with a guarded idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum KeyedStep {
    /// The entry node requested the key from its owner.
    Asked,
    /// The owner granted the key to this call.
    Granted,
    /// The entry node sent an attempt.
    Sent {
        /// The number of the attempt.
        attempt: u16,
        /// The node that it was sent to.
        #[serde(serialize_with = "in_hex")]
        to: ident::NodeId,
    },
    /// The target's node handed the request to the target.
    Started {
        /// The number of the attempt.
        attempt: u16,
        /// The id of the run, as in the parent token.
        run: u64,
    },
    /// The call ended at its entry node, which reported that to the owner.
    Settled {
        /// Whether the call ran.
        #[serde(serialize_with = "in_words")]
        verdict: verdict::CallVerdict,
    },
}

/// A step of one attempt of a request that must not run twice.
///
/// If such a request runs twice, or runs after a refusal, these records show which attempts were
/// sent, which of them reached the target, and on what evidence each was taken for run or not run.
/// See `docs/OPERATIONS-platform.md`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AttemptRecord {
    /// The id that the caller gave the request.
    pub request: Option<ident::RequestLabel>,
    /// The root request of the chain.
    pub root: ident::RequestId,
    /// The call; its first part is the entry node.
    #[serde(serialize_with = "in_hex")]
    pub call: ident::CallId,
    /// The number of the attempt.
    pub attempt: u16,
    /// The step.
    #[serde(flatten)]
    pub step: AttemptStep,
}

/// The steps of an attempt, in order; the first and the last are logged by the entry node, the
/// others by the node beside the target.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum AttemptStep {
    /// The entry node sent it.
    Sent {
        /// The node that it was sent to.
        #[serde(serialize_with = "in_hex")]
        to: ident::NodeId,
    },
    /// The request was handed to the target.
    Started {
        /// The run.
        run: u64,
        /// The status report of the target on which the node relied.
        #[serde(flatten)]
        report: Option<reports::ReportReference>,
    },
    /// The run ended, or was refused before it started.
    Ended {
        /// The run.
        run: u64,
        /// Whether the request ran.
        #[serde(serialize_with = "in_words")]
        verdict: verdict::CallVerdict,
        /// The status of the target's answer, if there is one.
        status: Option<u16>,
        /// The exchange with the target, if there was one.
        exchange: Option<event::ExchangeTrace>,
    },
    /// The entry node took it for ended.
    Settled {
        /// Whether the request ran.
        #[serde(serialize_with = "in_words")]
        verdict: verdict::CallVerdict,
        /// The status of the target's answer, if there is one.
        status: Option<u16>,
    },
}

impl AttemptRecord {
    /// Whether nearly every attempt has such a step, so that its line may be suppressed first.
    fn is_routine(&self) -> bool {
        let is_answered = match &self.step {
            AttemptStep::Sent { .. } | AttemptStep::Started { .. } => true,
            AttemptStep::Ended { verdict, .. } | AttemptStep::Settled { verdict, .. } => {
                *verdict == verdict::CallVerdict::Answered
            }
        };
        self.attempt == 1 && is_answered
    }
}

/// Serializes an id as text, because JSON readers lose precision on integers of this width.
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

/// Whether the end of a request is logged: always unless it succeeded, otherwise by `lane`, which is
/// uniformly distributed.
pub fn is_logged(
    verdict: verdict::CallVerdict,
    status: Option<u16>,
    lane: context::LaneHash,
) -> bool {
    let fine = status.is_some_and(|status| status < 500);
    let success = verdict == verdict::CallVerdict::Answered && fine;
    !success || lane.0 < LOGGED_LANES
}

/// A duration in whole milliseconds.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Limits the lines of one kind in each second.
#[derive(Clone, Debug)]
pub struct LogBudget {
    limit: u32,
    second: u64,
    written: u32,
    suppressed: u64,
}

/// Whether one line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogGrant {
    /// The line may be written, after a line with the number of suppressed ones if there are any.
    Write {
        /// Lines suppressed since the last written one.
        suppressed: u64,
    },
    /// The line is suppressed and counted.
    Suppress,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self::with_limit(MAX_LINES_PER_SECOND)
    }
}

impl LogBudget {
    /// A budget of `limit` lines per second.
    pub fn with_limit(limit: u32) -> Self {
        Self {
            limit,
            second: 0,
            written: 0,
            suppressed: 0,
        }
    }

    /// Takes one line out of the budget of the current second.
    pub fn take(&mut self, now: time::NodeTime) -> LogGrant {
        self.take_above(now, 0)
    }

    /// The same, but leaves `reserve` lines of each second for others.
    fn take_above(&mut self, now: time::NodeTime, reserve: u32) -> LogGrant {
        let second = now.0 / 1_000_000;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
        if self.written >= self.limit - reserve {
            self.suppressed += 1;
            return LogGrant::Suppress;
        }
        self.written += 1;
        let suppressed = std::mem::take(&mut self.suppressed);
        LogGrant::Write { suppressed }
    }
}

/// The budget for lines about the attempts of requests that must not run twice.
#[derive(Clone, Debug)]
pub struct AttemptLogBudget(LogBudget);

impl Default for AttemptLogBudget {
    fn default() -> Self {
        Self(LogBudget::with_limit(MAX_ATTEMPT_LINES_PER_SECOND))
    }
}

impl AttemptLogBudget {
    /// Takes the line of `record` out of the budget of the current second.
    pub fn take(&mut self, now: time::NodeTime, record: &AttemptRecord) -> LogGrant {
        let reserve = match record.is_routine() {
            true => RESERVED_ATTEMPT_LINES,
            false => 0,
        };
        self.0.take_above(now, reserve)
    }
}
