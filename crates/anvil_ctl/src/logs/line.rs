//! The fields of a node's log lines that reconstructing a request needs.

use serde::Deserialize;

/// One parsed line.
#[derive(Clone, Debug, Deserialize)]
pub struct LogLine {
    /// The writer's time of day, in seconds since the Unix epoch.
    pub time: f64,
    /// Its content.
    pub facts: LogFacts,
}

/// The content of a line, by its field `event`.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum LogFacts {
    /// A call ended at its entry node.
    CallEnded(CallEnd),
    /// A run, or the wait for one, ended at the target's node.
    RunEnded(RunEnd),
    /// An attempt of a request that must not run twice reached its next step.
    Attempt(AttemptLine),
    /// Any other event.
    #[serde(other)]
    Other,
}

/// The rule that decided.
#[derive(Clone, Debug, Deserialize)]
pub struct RuleReference {
    /// The revision of the rules.
    pub revision: u64,
    /// The rule's index among them.
    pub index: u64,
}

/// The end of a call at its entry node.
#[derive(Clone, Debug, Deserialize)]
pub struct CallEnd {
    /// The caller's own id. Calls made on behalf of a request have its id, a dot and a suffix.
    pub request: Option<String>,
    /// The root request.
    pub root: String,
    /// The called service.
    pub service: String,
    /// Priority class.
    pub class: String,
    /// Lane.
    pub lane: u16,
    /// The rule that decided.
    pub rule: RuleReference,
    /// The verdict as text.
    pub verdict: String,
    /// The target's status, if it answered.
    pub status: Option<u16>,
    /// Number of attempts sent.
    pub attempts: u16,
    /// Nodes that the attempts were sent to.
    #[serde(default)]
    pub nodes: Vec<String>,
    /// The limit that refused the last attempt.
    #[serde(default)]
    pub refused: serde_json::Value,
    /// The node that the limit belongs to.
    pub refused_by: Option<String>,
    /// Time since the call arrived, in milliseconds.
    pub took_ms: u64,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Retry delay sent to the caller, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// The end of a run at the target's node.
#[derive(Clone, Debug, Deserialize)]
pub struct RunEnd {
    /// The caller's own id.
    pub request: Option<String>,
    /// The root request.
    pub root: String,
    /// The entry node.
    pub entry: String,
    /// The number of the entry node's attempt.
    pub attempt: u16,
    /// The verdict as text.
    pub verdict: String,
    /// The target's status, if it answered.
    pub status: Option<u16>,
    /// Time in the queue, in milliseconds.
    pub queued_ms: u64,
    /// Time at the target, in milliseconds; none if the run never started.
    pub ran_ms: Option<u64>,
    /// Requests running at the target at the end.
    pub running: u32,
    /// Requests in the queue at the end.
    pub queued: u64,
    /// The target's status report on which the node relied, if the run started.
    #[serde(flatten)]
    pub report: Option<StatusReport>,
}

/// The status report of a target on which a run relied.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StatusReport {
    /// The incarnation that sent it.
    pub incarnation: String,
    /// Its position among those of the incarnation.
    #[serde(rename = "report")]
    pub sequence: u64,
    /// How long before the run it was received, in milliseconds.
    #[serde(rename = "report_age_ms")]
    pub age_ms: u64,
}

/// A step of an attempt.
#[derive(Clone, Debug, Deserialize)]
pub struct AttemptLine {
    /// The caller's own id.
    pub request: Option<String>,
    /// The root request.
    pub root: String,
    /// The number of the entry node's attempt.
    pub attempt: u16,
    /// The step.
    #[serde(flatten)]
    pub step: AttemptStep,
}

/// The steps of an attempt.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum AttemptStep {
    /// The entry node sent it.
    Sent {
        /// The node that it was sent to.
        to: String,
    },
    /// It was handed to the target.
    Started {
        /// The run.
        run: u64,
        /// The status report on which the node relied.
        #[serde(flatten)]
        report: Option<StatusReport>,
    },
    /// Its run ended.
    Ended {
        /// The run.
        run: u64,
        /// The verdict as text.
        verdict: String,
        /// The target's status, if it answered.
        status: Option<u16>,
        /// The exchange with the target, if there was one.
        exchange: Option<TargetExchange>,
    },
    /// The entry node took it for ended.
    Settled {
        /// The verdict as text.
        verdict: String,
        /// The target's status, if it answered.
        status: Option<u16>,
    },
}

/// The exchange of a run with the target.
#[derive(Clone, Debug, Deserialize)]
pub struct TargetExchange {
    /// The number of the connection in its process.
    pub connection: u64,
    /// The number of the request among those of the connection.
    pub position: u32,
    /// Answers to other requests that were skipped.
    pub unrelated: u32,
    /// How the answer identifies its request: `named`, `unnamed` or `other`.
    pub identity: Option<String>,
}

impl LogFacts {
    /// The caller's id and the root request, if the line is about one request.
    pub fn ids(&self) -> Option<(Option<&str>, &str)> {
        match self {
            Self::CallEnded(call) => Some((call.request.as_deref(), &call.root)),
            Self::RunEnded(run) => Some((run.request.as_deref(), &run.root)),
            Self::Attempt(attempt) => Some((attempt.request.as_deref(), &attempt.root)),
            Self::Other => None,
        }
    }
}

/// Whether a verdict and a status mean a successful answer.
pub fn is_success(verdict: &str, status: Option<u16>) -> bool {
    verdict == "answered" && status.is_some_and(|status| status < 500)
}
