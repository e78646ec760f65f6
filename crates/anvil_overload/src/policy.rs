//! Switches for the overload safeguards.
//!
//! Operators leave all of them on. The experiment and the tests turn them off one at a time, to
//! find and remove safeguards that have no effect; see `docs/design/shedding.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Retries at each hop without [`OverloadPolicy::chain_allowance`], independent of the other hops.
pub const NAIVE_HOP_RETRIES: u16 = 2;

/// Timeout that targets are given without [`OverloadPolicy::cancellation`]: they keep working for
/// callers that have long given up, as targets without deadlines do.
pub const NAIVE_TIMEOUT: Duration = Duration::from_secs(60);

/// One switch for each safeguard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverloadPolicy {
    /// The concurrency limit follows latency and refusals of the target; without it, the limit is
    /// the number of slots.
    pub adaptive_limit: bool,
    /// Some slots stay free, for targets that slow down when they are nearly full.
    pub spare_slots: bool,
    /// A newly started target may use only a part of its slots at first.
    pub cold_ramp: bool,
    /// The time that a target waits for other services is not attributed to it.
    pub attribution: bool,
    /// The queue is ordered by class, depth and lane; without it, in order of arrival.
    pub ranked_queue: bool,
    /// The length and the waiting time of the queue are bounded; without it, every request is
    /// queued.
    pub bounded_queue: bool,
    /// Requests that cannot be completed before their deadline are refused without being run.
    pub deadline_drop: bool,
    /// The target's node refuses requests below its cut line.
    pub cut_line: bool,
    /// Callers' nodes refuse requests below the cut lines that answers reported.
    pub early_refusal: bool,
    /// Cut lines of downstream services are passed on to callers.
    pub deep_refusal: bool,
    /// Retries are paid from the allowance of the whole chain; without it, each hop has
    /// [`NAIVE_HOP_RETRIES`] of its own, and also retries server errors of idempotent requests.
    pub chain_allowance: bool,
    /// The retries of a node are bounded to a share of its first attempts.
    pub retry_ratio: bool,
    /// Retries are delayed by an exponential backoff with jitter.
    pub backoff: bool,
    /// The better of two random targets is chosen; without it, targets are used in turn.
    pub better_of_two: bool,
    /// Targets in the same availability zone are preferred.
    pub zone_preference: bool,
    /// Targets in the same availability zone are preferred strongly, for deployments where traffic
    /// between zones is expensive.
    pub stay_in_zone: bool,
    /// A newly known target gets a gradually growing share of the requests.
    pub slow_start: bool,
    /// Failing targets are ejected for a while.
    pub ejection: bool,
    /// Downstream calls of a request that has ended are cancelled, and the remaining time is
    /// reduced at each hop.
    pub cancellation: bool,
    /// A target gets no more than the rate that it names.
    pub named_rate: bool,
    /// A target that states in an answer that it is leaving gets no more requests.
    pub stated_leaving: bool,
    /// A restarted node adopts what other nodes know of its target.
    pub told_notices: bool,
    /// The nodes of callers share the rate of a target among them.
    pub rate_pacing: bool,
    /// Requests that crash their targets are quarantined.
    pub quarantine: bool,
    /// Entry nodes admit requests ahead of the home's count while an account is far below its
    /// quota; without it, each request waits for the decision of the account's home.
    pub tokens_ahead: bool,
    /// Targets are chosen by when they are expected to complete a request, from their queue and
    /// from the pace that they state; see `docs/design/placement.md`.
    pub expected_completion: bool,
    /// A call that a target refused is sent to that target again once all others were tried; see
    /// `docs/design/refused-calls.md`.
    pub refusal_retries: bool,
    /// Lanes follow the use of an account's quota, so that accounts share a scarce service fairly;
    /// see `docs/design/fair-lanes.md`.
    pub fair_lanes: bool,
    /// A refused caller that returns at the time it was told goes before new ones of its class; see
    /// `docs/design/return-order.md`.
    pub return_order: bool,
}

impl OverloadPolicy {
    /// All safeguards that help every fleet. Those for scarce services are switched on by settings.
    /// `spare_slots` costs a twentieth of the capacity of
    /// targets that can run at full load, and `stay_in_zone` sends more requests to a slow target
    /// in the same zone.
    pub const FULL: Self = Self {
        adaptive_limit: true,
        spare_slots: false,
        cold_ramp: true,
        attribution: true,
        ranked_queue: true,
        bounded_queue: true,
        deadline_drop: true,
        cut_line: true,
        early_refusal: true,
        deep_refusal: true,
        chain_allowance: true,
        retry_ratio: true,
        backoff: true,
        better_of_two: true,
        zone_preference: true,
        stay_in_zone: false,
        slow_start: true,
        ejection: true,
        cancellation: true,
        named_rate: true,
        rate_pacing: true,
        stated_leaving: true,
        told_notices: true,
        quarantine: true,
        tokens_ahead: true,
        expected_completion: false,
        refusal_retries: false,
        fair_lanes: false,
        return_order: false,
    };

    /// All safeguards, and those for scarce services that the settings in `deploy/` switch on.
    pub const SCARCE_SERVICES: Self = Self {
        expected_completion: true,
        refusal_retries: true,
        fair_lanes: true,
        ..Self::FULL
    };

    /// No safeguards: targets in turn, fixed retries at each hop, no shedding by class.
    pub const NAIVE: Self = Self {
        adaptive_limit: false,
        spare_slots: false,
        cold_ramp: false,
        attribution: false,
        ranked_queue: false,
        bounded_queue: false,
        deadline_drop: false,
        cut_line: false,
        early_refusal: false,
        deep_refusal: false,
        chain_allowance: false,
        retry_ratio: false,
        backoff: false,
        better_of_two: false,
        zone_preference: false,
        stay_in_zone: false,
        slow_start: false,
        ejection: false,
        cancellation: false,
        named_rate: false,
        rate_pacing: false,
        stated_leaving: false,
        told_notices: false,
        quarantine: false,
        tokens_ahead: false,
        expected_completion: false,
        refusal_retries: false,
        fair_lanes: false,
        return_order: false,
    };
}

impl Default for OverloadPolicy {
    fn default() -> Self {
        Self::FULL
    }
}
