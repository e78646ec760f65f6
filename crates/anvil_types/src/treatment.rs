//! How a rule says that a request is to be treated.
//!
//! See `docs/RULES.md` for the language; the fields here are its checked outcome.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{context, ident};

/// What the first matching rule decides for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleTreatment {
    /// Importance under overload.
    pub class: context::PriorityClass,
    /// Whether a run may be repeated without harm.
    pub idempotent: bool,
    /// Retries that the whole chain below a root request may spend, beyond first attempts.
    pub chain_retries: u16,
    /// Share of a node's first attempts that it may add as retries, in percent.
    pub retry_ratio_percent: u8,
    /// First pause before a retry; later ones double, with jitter.
    pub backoff: Duration,
    /// Time a root request may take where the caller states none; also the upper bound.
    pub deadline: Duration,
    /// Longest wait in the queue of a target's node.
    pub queue_wait: Duration,
    /// Targets that one call may be sent to, the first one included.
    pub attempts: u16,
    /// Time within which an answer is worth most; later ones count less until the deadline.
    pub objective: Option<Duration>,
    /// Targets that one request may crash before it is quarantined.
    pub crash_limit: u8,
    /// How long a quarantined request stays refused.
    pub quarantine: Duration,
    /// What happens to a matching request apart from its limits.
    pub action: RuleAction,
    /// Whether a request needs no key of a client account.
    pub public: bool,
}

/// Whether a matching request is served at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RuleAction {
    /// Serve it as the limits allow.
    #[default]
    Serve,
    /// Refuse it as not run.
    Refuse,
    /// Answer that there is nothing at its host and path.
    #[serde(rename = "not-found")]
    NotFound,
}

impl Default for RuleTreatment {
    fn default() -> Self {
        Self {
            class: context::PriorityClass::Normal,
            // Nothing is known about the request, so a second run is assumed to do harm.
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

/// Names the rule that decided, so that every decision can be explained.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleReference {
    /// The revision of the rules in force when the request was matched.
    pub revision: ident::RuleRevision,
    /// The place of the rule in the list, from zero; none where the built-in default decided.
    pub index: Option<u32>,
}
