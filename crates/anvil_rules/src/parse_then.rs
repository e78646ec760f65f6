//! Parsing of the `then` part of a rule.

use std::time::Duration;

use anvil_types::{context, name, treatment};

use crate::{destination, duration, fault, field, outcome, range};

/// Fields of an outcome, in the order in which they are rendered.
const FIELDS: [&str; 14] = [
    "action",
    "public",
    "send-to",
    "class",
    "idempotent",
    "retries",
    "retry-ratio",
    "backoff",
    "attempts",
    "deadline",
    "objective",
    "queue-wait",
    "crash-limit",
    "quarantine",
];

/// Keywords for [`context::PriorityClass::ALL`], in the same order.
pub(crate) const CLASS_KEYWORDS: [&str; 4] = ["low", "normal", "high", "critical"];

/// Keywords for [`ACTIONS`], in the same order.
const ACTION_KEYWORDS: [&str; 4] = ["serve", "refuse", "not-found", "unreadable"];

/// All actions.
const ACTIONS: [treatment::RuleAction; 4] = [
    treatment::RuleAction::Serve,
    treatment::RuleAction::Refuse,
    treatment::RuleAction::NotFound,
    treatment::RuleAction::Unreadable,
];

/// Fields of one part of a traffic split.
const PART_FIELDS: [&str; 2] = ["service", "weight"];

/// Parses an outcome; an invalid field is left unset.
pub(crate) fn read_outcome(
    field: &field::NodeField<'_>,
    faults: &mut fault::FaultList<'_>,
) -> outcome::RuleOutcome {
    let Some(map) = field::FieldMap::open(field, &FIELDS, faults) else {
        return outcome::RuleOutcome::default();
    };
    let outcome = outcome::RuleOutcome {
        class: map
            .get("class")
            .and_then(|field| field.keyword(&CLASS_KEYWORDS, &context::PriorityClass::ALL, faults)),
        idempotent: map
            .get("idempotent")
            .and_then(|field| field.boolean(faults)),
        chain_retries: map
            .get("retries")
            .and_then(|field| field.integer(&range::CHAIN_RETRIES, faults)),
        retry_ratio_percent: map
            .get("retry-ratio")
            .and_then(|field| field.percent(&range::RETRY_RATIO_PERCENT, faults)),
        backoff: read_duration(&map, "backoff", &range::BACKOFF, faults),
        attempts: map
            .get("attempts")
            .and_then(|field| field.integer(&range::ATTEMPTS, faults)),
        objective: read_duration(&map, "objective", &range::DEADLINE, faults),
        send_to: map
            .get("send-to")
            .and_then(|field| read_destination(&field, faults)),
        deadline: read_duration(&map, "deadline", &range::DEADLINE, faults),
        queue_wait: read_duration(&map, "queue-wait", &range::QUEUE_WAIT, faults),
        crash_limit: map
            .get("crash-limit")
            .and_then(|field| field.integer(&range::CRASH_LIMIT, faults)),
        quarantine: read_duration(&map, "quarantine", &range::QUARANTINE, faults),
        action: map
            .get("action")
            .and_then(|field| field.keyword(&ACTION_KEYWORDS, &ACTIONS, faults)),
        public: map.get("public").and_then(|field| field.boolean(faults)),
    };
    refuse_beyond_deadline(&map, "backoff", outcome.backoff, &outcome, faults);
    refuse_beyond_deadline(&map, "queue-wait", outcome.queue_wait, &outcome, faults);
    outcome
}

/// Parses a service, or a list of services with weights of which at least one is above zero.
fn read_destination(
    field: &field::NodeField<'_>,
    faults: &mut fault::FaultList<'_>,
) -> Option<destination::RuleDestination> {
    if !field.is_list() {
        let service = field.name(name::ServiceName::new, faults)?;
        return Some(destination::RuleDestination::Service(service));
    }
    let items = field.list(destination::MAX_SPLIT_PARTS, faults)?;
    let count = items.len();
    let parts = items.iter().filter_map(|item| read_part(item, faults));
    let parts: Vec<_> = parts.collect();
    if parts.len() < count {
        return None;
    }
    if parts.iter().all(|part| part.weight == 0) {
        field.add_fault(fault::FaultReason::ZeroWeights, faults);
        return None;
    }
    Some(destination::RuleDestination::Split(parts))
}

fn read_part(
    item: &field::NodeField<'_>,
    faults: &mut fault::FaultList<'_>,
) -> Option<destination::WeightedService> {
    let map = field::FieldMap::open(item, &PART_FIELDS, faults)?;
    let service = map.require("service", faults);
    let service = service.and_then(|field| field.name(name::ServiceName::new, faults));
    let weight = map.require("weight", faults);
    let weight = weight.and_then(|field| field.integer(&range::WEIGHT, faults));
    Some(destination::WeightedService {
        service: service?,
        weight: weight?,
    })
}

fn read_duration(
    map: &field::FieldMap<'_>,
    name: &str,
    range: &std::ops::RangeInclusive<Duration>,
    faults: &mut fault::FaultList<'_>,
) -> Option<Duration> {
    map.get(name)?.duration(range, faults)
}

/// Adds a fault if a wait is longer than the deadline. Such a wait can never elapse, so it must be
/// a mistake.
fn refuse_beyond_deadline(
    map: &field::FieldMap<'_>,
    name: &str,
    wait: Option<Duration>,
    outcome: &outcome::RuleOutcome,
    faults: &mut fault::FaultList<'_>,
) {
    let (Some(wait), Some(deadline), Some(field)) = (wait, outcome.deadline, map.get(name)) else {
        return;
    };
    if wait > deadline {
        let reason = fault::FaultReason::Exceeds {
            found: duration::format(wait),
            other: "deadline",
            limit: duration::format(deadline),
        };
        field.add_fault(reason, faults);
    }
}
