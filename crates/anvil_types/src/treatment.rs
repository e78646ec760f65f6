//! The settings that a rule applies to a request.
//!
//! See `docs/RULES.md` for the rule language; the fields here hold its validated values.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{context, ident};

/// The settings that the first matching rule applies to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleTreatment {
    /// Priority class under overload.
    pub class: context::PriorityClass,
    /// Whether the request may run more than once without harm.
    pub idempotent: bool,
    /// Retry allowance of the whole call chain below a root request, not counting first attempts.
    pub chain_retries: u16,
    /// Retries that a node may send, in percent of its first attempts.
    pub retry_ratio_percent: u8,
    /// Pause before the first retry; later pauses double, with jitter.
    pub backoff: Duration,
    /// Timeout of a root request if the caller sets none; also the maximum that a caller can set.
    pub deadline: Duration,
    /// Maximum wait in the queue of a target's node.
    pub queue_wait: Duration,
    /// Maximum number of targets that one call may be sent to, including the first one.
    pub attempts: u16,
    /// Latency objective: an answer within it has full value, a later one less until the deadline.
    pub objective: Option<Duration>,
    /// Number of targets that a request may crash before it is quarantined.
    pub crash_limit: u8,
    /// How long a quarantined request is refused.
    pub quarantine: Duration,
    /// What to do with a matching request.
    pub action: RuleAction,
    /// Whether a request is accepted without the key of a client account.
    pub public: bool,
}

/// What to do with a matching request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RuleAction {
    /// Serve it within the limits.
    #[default]
    Serve,
    /// Refuse it as not run.
    Refuse,
    /// Answer that nothing exists at its host and path.
    #[serde(rename = "not-found")]
    NotFound,
    /// Answer that the configuration of the matching requests could not be read, as not run.
    Unreadable,
}

impl Default for RuleTreatment {
    fn default() -> Self {
        Self {
            class: context::PriorityClass::Normal,
            // Nothing is known about the request, so a second run must be assumed to do harm.
            idempotent: false,
            chain_retries: 3,
            retry_ratio_percent: 10,
            backoff: Duration::from_millis(20),
            deadline: Duration::from_secs(10),
            queue_wait: Duration::from_millis(500),
            attempts: 33,
            objective: None,
            crash_limit: 2,
            quarantine: Duration::from_secs(600),
            action: RuleAction::Serve,
            public: false,
        }
    }
}

/// Identifies the rule that applied to a request, so that every decision can be explained.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleReference {
    /// The revision of the rules in force when the request was matched.
    pub revision: ident::RuleRevision,
    /// Index of the rule in the list, from zero; none if the built-in default applied.
    pub index: Option<u32>,
}
