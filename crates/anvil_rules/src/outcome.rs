//! The `then` part of a rule.

use std::time::Duration;

use anvil_types::{context, treatment};
use serde::{Deserialize, Serialize};

use crate::{destination, method};

/// How a rule treats matching requests; an unset field has its safe default.
///
/// [`treatment::RuleTreatment`] defines the defaults and [`crate::range`] the accepted ranges;
/// `docs/RULES.md` gives the reasons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleOutcome {
    /// Priority class under overload.
    pub class: Option<context::PriorityClass>,
    /// Whether the request may run more than once; if unset, the method decides.
    pub idempotent: Option<bool>,
    /// Retries that the whole call chain may use beyond first attempts.
    pub chain_retries: Option<u16>,
    /// Retries that a node may send, in percent of its first attempts.
    pub retry_ratio_percent: Option<u8>,
    /// First delay before a retry.
    pub backoff: Option<Duration>,
    /// Deadline of a root request.
    pub deadline: Option<Duration>,
    /// Longest wait in the queue of a target's node.
    pub queue_wait: Option<Duration>,
    /// Targets that one request may crash before it is quarantined.
    pub crash_limit: Option<u8>,
    /// How long a quarantined request is refused.
    pub quarantine: Option<Duration>,
    /// Targets that one call may be sent to, including the first attempt.
    pub attempts: Option<u16>,
    /// The latency objective: answers within this time have their full value.
    pub objective: Option<Duration>,
    /// The services that matching requests are sent to; if unset, the caller names the service.
    pub send_to: Option<destination::RuleDestination>,
    /// Whether matching requests are served, refused, or answered as not found or not readable.
    pub action: Option<treatment::RuleAction>,
    /// Whether matching requests are served without the key of a client account.
    pub public: Option<bool>,
}

impl RuleOutcome {
    /// The treatment of a matching request with this method.
    ///
    /// If the rule doesn't set `idempotent`, RFC 9110's definition of the method decides, so that
    /// an operator who forgets the field doesn't make a submission repeatable.
    pub fn treatment(&self, method: &str) -> treatment::RuleTreatment {
        let idempotent = self
            .idempotent
            .unwrap_or_else(|| method::is_idempotent(method));
        let base = treatment::RuleTreatment::default();
        treatment::RuleTreatment {
            class: self.class.unwrap_or(base.class),
            idempotent,
            chain_retries: self.chain_retries.unwrap_or(base.chain_retries),
            retry_ratio_percent: self.retry_ratio_percent.unwrap_or(base.retry_ratio_percent),
            backoff: self.backoff.unwrap_or(base.backoff),
            deadline: self.deadline.unwrap_or(base.deadline),
            queue_wait: self.queue_wait.unwrap_or(base.queue_wait),
            attempts: self.attempts.unwrap_or(base.attempts),
            objective: self.objective.or(base.objective),
            crash_limit: self.crash_limit.unwrap_or(base.crash_limit),
            quarantine: self.quarantine.unwrap_or(base.quarantine),
            action: self.action.unwrap_or(base.action),
            public: self.public.unwrap_or(base.public),
        }
    }
}
