//! One line of a node's log, as far as the story of a request needs it.

use serde::Deserialize;

/// One line, read.
#[derive(Clone, Debug, Deserialize)]
pub struct LogLine {
    /// The writer's time of day, in seconds since the Unix epoch.
    pub time: f64,
    /// What it tells.
    pub facts: LogFacts,
}

/// What a line tells, by its field `event`.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum LogFacts {
    /// A call ended at its entry node.
    CallEnded(CallEnd),
    /// A run, or the wait for one, ended at the target's node.
    RunEnded(RunEnd),
    /// Anything else.
    #[serde(other)]
    Other,
}

/// The rule that decided.
#[derive(Clone, Debug, Deserialize)]
pub struct RuleMark {
    /// The revision of the rules.
    pub revision: u64,
    /// The rule's place among them.
    pub index: u64,
}

/// The end of a call at its entry node.
#[derive(Clone, Debug, Deserialize)]
pub struct CallEnd {
    /// The caller's own id; calls made for a request carry its id, a dot and more.
    pub request: Option<String>,
    /// The root request.
    pub root: String,
    /// The service asked for.
    pub service: String,
    /// Importance.
    pub class: String,
    /// Lane.
    pub lane: u16,
    /// The rule that decided.
    pub rule: RuleMark,
    /// Whether it ran, in words.
    pub verdict: String,
    /// The target's status, where it answered.
    pub status: Option<u16>,
    /// Attempts dispatched.
    pub attempts: u16,
    /// Nodes that the attempts went to.
    #[serde(default)]
    pub nodes: Vec<String>,
    /// The limit that refused the last attempt.
    #[serde(default)]
    pub refused: serde_json::Value,
    /// The node that the limit belongs to.
    pub refused_by: Option<String>,
    /// Time since the call came, in milliseconds.
    pub took_ms: u64,
    /// Time that was left, in milliseconds.
    pub left_ms: u64,
    /// When the caller was told to come back, in milliseconds.
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
    /// The attempt of the entry node.
    pub attempt: u16,
    /// Whether it ran, in words.
    pub verdict: String,
    /// The target's status, where it answered.
    pub status: Option<u16>,
    /// Time in the queue, in milliseconds.
    pub queued_ms: u64,
    /// Time at the target, in milliseconds; none where it never started.
    pub ran_ms: Option<u64>,
    /// Requests running at the target at the end.
    pub running: u32,
    /// Requests that waited at the end.
    pub queued: u64,
}

impl LogFacts {
    /// The caller's id and the root request, of a line about one request.
    pub fn ids(&self) -> Option<(Option<&str>, &str)> {
        match self {
            Self::CallEnded(call) => Some((call.request.as_deref(), &call.root)),
            Self::RunEnded(run) => Some((run.request.as_deref(), &run.root)),
            Self::Other => None,
        }
    }
}

/// Whether a verdict and a status stand for a whole answer.
pub fn is_fine(verdict: &str, status: Option<u16>) -> bool {
    verdict == "answered" && status.is_some_and(|status| status < 500)
}
