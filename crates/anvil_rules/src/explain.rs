//! Explanations of how a request is treated.

use anvil_types::{name, treatment};
use derive_more::Display;
use serde::Serialize;

use crate::{condition, duration, matcher, outcome, view};

/// Maximum number of skipped rules that are listed; the others are only counted.
const MAX_SKIPPED_RULES: usize = 20;

/// Which rule decides a request, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RuleExplanation {
    /// The deciding rule; `None` if no rule matches and the defaults apply.
    pub rule: Option<name::RuleName>,
    /// Its index in the list, from zero.
    pub index: Option<u32>,
    /// Why it decides, as one sentence.
    pub reason: String,
    /// Earlier rules that fail to match for another reason than the service, in order.
    pub passed_over: Vec<SkippedRule>,
    /// The number of earlier rules that are not listed, most of them for other services.
    pub others_passed_over: usize,
    /// The resulting value of each field, as written in a rule file.
    pub decision: Vec<DecidedField>,
}

/// An earlier rule that doesn't match.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{name}: the {differs} differs")]
pub struct SkippedRule {
    /// Its name.
    pub name: name::RuleName,
    /// The first part of its condition that doesn't match.
    pub differs: condition::ConditionPart,
}

/// One decided field.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{field}: {value} ({from})")]
pub struct DecidedField {
    /// The field's name in a rule file.
    pub field: &'static str,
    /// Its value as a rule file would write it.
    pub value: String,
    /// Where the value comes from.
    pub from: FieldSource,
}

/// Where the value of a field comes from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FieldSource {
    /// The rule sets it.
    #[display("rule")]
    Rule,
    /// The rule doesn't set it, so the default applies.
    #[display("default")]
    Default,
    /// The rule doesn't set it, so RFC 9110's definition of the method applies.
    #[display("method")]
    Method,
}

/// Explains the decision of [`matcher::RuleMatcher::decide`].
pub fn explain(matcher: &matcher::RuleMatcher, request: &view::RequestView<'_>) -> RuleExplanation {
    let decision = matcher.decide(request);
    let rules = matcher.rules();
    let end = decision.index.map_or(rules.len(), |index| index as usize);
    let mismatches = rules[..end].iter().filter_map(|rule| {
        let differs = rule.when.first_mismatch(request)?;
        let name = rule.name.clone();
        (differs != condition::ConditionPart::Service).then_some(SkippedRule { name, differs })
    });
    let passed_over: Vec<SkippedRule> = mismatches.take(MAX_SKIPPED_RULES).collect();
    let defaults = outcome::RuleOutcome::default();
    let rule = decision.index.map(|index| &rules[index as usize]);
    let then = rule.map_or(&defaults, |rule| &rule.then);
    RuleExplanation {
        rule: decision.name.cloned(),
        index: decision.index,
        reason: reason(decision.name),
        others_passed_over: end - passed_over.len(),
        passed_over,
        decision: decided_fields(then, request.method),
    }
}

fn reason(name: Option<&name::RuleName>) -> String {
    match name {
        Some(name) => format!("{name} is the first rule whose whole condition holds"),
        None => "no rule's condition holds, so the defaults decide".to_owned(),
    }
}

fn decided_fields(then: &outcome::RuleOutcome, method: &str) -> Vec<DecidedField> {
    let decided = then.treatment(method);
    let idempotent = match then.idempotent {
        Some(_) => FieldSource::Rule,
        None => FieldSource::Method,
    };
    let idempotent = DecidedField {
        field: "idempotent",
        value: decided.idempotent.to_string(),
        from: idempotent,
    };
    let action = match decided.action {
        treatment::RuleAction::Serve => "serve",
        treatment::RuleAction::Refuse => "refuse",
        treatment::RuleAction::NotFound => "not-found",
        treatment::RuleAction::Unreadable => "unreadable",
    };
    let ratio = format!("{}%", decided.retry_ratio_percent);
    let retries = decided.chain_retries.to_string();
    let attempts = decided.attempts.to_string();
    let objective = decided.objective.map(duration::format);
    let objective = objective.unwrap_or_else(|| "none".to_owned());
    let send_to = then.send_to.as_ref().map(ToString::to_string);
    let send_to = send_to.unwrap_or_else(|| "the service that the caller names".to_owned());
    let crashes = decided.crash_limit.to_string();
    vec![
        field("action", action.to_owned(), then.action.as_ref()),
        field("public", decided.public.to_string(), then.public.as_ref()),
        field("send-to", send_to, then.send_to.as_ref()),
        field("class", decided.class.to_string(), then.class.as_ref()),
        idempotent,
        field("retries", retries, then.chain_retries.as_ref()),
        field("retry-ratio", ratio, then.retry_ratio_percent.as_ref()),
        field(
            "backoff",
            duration::format(decided.backoff),
            then.backoff.as_ref(),
        ),
        field("attempts", attempts, then.attempts.as_ref()),
        field("objective", objective, then.objective.as_ref()),
        field(
            "deadline",
            duration::format(decided.deadline),
            then.deadline.as_ref(),
        ),
        field(
            "queue-wait",
            duration::format(decided.queue_wait),
            then.queue_wait.as_ref(),
        ),
        field("crash-limit", crashes, then.crash_limit.as_ref()),
        field(
            "quarantine",
            duration::format(decided.quarantine),
            then.quarantine.as_ref(),
        ),
    ]
}

fn field<T>(name: &'static str, value: String, explicit: Option<&T>) -> DecidedField {
    let from = match explicit {
        Some(_) => FieldSource::Rule,
        None => FieldSource::Default,
    };
    DecidedField {
        field: name,
        value,
        from,
    }
}
