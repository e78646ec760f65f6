//! Refusals by targets that have free slots, and the decision whether a retry is worth its cost;
//! see `docs/design/refused-calls.md`.

use std::time::Duration;

use anvil_types::{name, time};
use serde::Serialize;

/// Answers that the moving share counts, except for a service that has fewer.
///
/// With 64, a share of one half varies by 0.06 between services that behave alike.
const SHARE_ANSWERS: u32 = 64;

/// Answers without a refusal that a new service is assumed to have given, so that one refusal does
/// not look like a share of one. After 20 answers, half of them refusals, the share is 0.42.
const PRIOR_ANSWERS: u32 = 4;

/// Time without an answer after which what is known of a service is dropped.
const SHARE_EXPIRY: Duration = Duration::from_secs(30);

/// Highest share that is reckoned with; one attempt in 50 then succeeds.
const MAX_SHARE: f64 = 0.98;

/// Shares from which on a service counts as refusing calls, and below which it no longer does.
const REFUSING_SHARES: (f64, f64) = (0.2, 0.05);

/// Answers before which the log states nothing, since the share of a few varies widely.
const MIN_STATED_ANSWERS: u32 = 16;

/// Maximum number of services; the one that answered longest ago is evicted.
const MAX_SERVICES: usize = 256;

/// Maximum number of calls of one request that are reckoned with.
const MAX_CALLS_LEFT: u16 = 64;

/// Probability of completing the remaining calls of a request below which no retry is spent on
/// them. Of two requests that compete for the same retries, the one with the better chance should
/// get them; below one quarter, a retry costs more completed requests elsewhere than it brings.
pub const MIN_COMPLETION: f64 = 0.25;

/// Divisor of a rule's first pause for a retry after a refusal by a target with free slots.
///
/// Waiting does not raise the chance of such a retry. The remaining pause with its jitter keeps
/// requests that were refused together from returning together.
pub const PAUSE_DIVISOR: u32 = 4;

/// The end of an attempt that came to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetReply {
    /// The target refused it although it had free slots.
    RefusedFree,
    /// The target ran it.
    Ran,
}

/// What a node knows of the refusals of one service.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceRefusals {
    /// Moving share of refusals by targets with free slots.
    share: f64,
    /// Answers that the share is based on, up to [`SHARE_ANSWERS`].
    answers: u32,
    answered_at: time::NodeTime,
    /// Mean time of an attempt that ran, in microseconds.
    run_micros: f64,
    /// Mean time of a refused attempt, in microseconds.
    refusal_micros: f64,
    /// Whether the log has stated that the service refuses calls.
    refusing: bool,
    /// Refusals by targets with free slots.
    refused: u64,
    /// Expected number of attempts of a call.
    expected_attempts: f64,
    /// Moving share of the calls that fail after refusals, in spite of their retries.
    failed_share: f64,
    /// Calls that such a target refused at least once and that were answered in the end.
    calls_recovered: u64,
    /// Calls that such a target refused and that were not answered.
    calls_failed: u64,
}

/// The end of a call, after all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It was answered, and no target with free slots had refused it.
    Answered,
    /// It was answered after such a refusal.
    Recovered,
    /// It was not answered after such a refusal.
    Failed,
}

/// A refused call that could be retried.
#[derive(Clone, Copy, Debug)]
pub struct RetryCase {
    /// Calls to the service that its request still needs from this node, including this one.
    pub calls_left: u16,
    /// Retries that the chain allows them.
    pub allowance: u16,
    /// Time until the caller stops waiting.
    pub time_left: Duration,
    /// Pause before the retry.
    pub pause: Duration,
}

/// Sums over all services.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RefusalTotals {
    /// Refusals by targets with free slots.
    pub refused: u64,
    /// Refused calls that were answered in the end.
    pub calls_recovered: u64,
    /// Refused calls that failed.
    pub calls_failed: u64,
    /// The highest expected number of attempts of a call.
    pub expected_attempts: f64,
    /// The highest share of calls that fail after refusals.
    pub failed_share: f64,
}

/// Whether a retry is worth its cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryWorth {
    /// The request will probably be completed, with this number of further retries on average.
    Worthwhile {
        /// Expected number of retries, including this one.
        needed: f64,
    },
    /// The time or the allowance of the request probably does not suffice.
    Hopeless,
}

impl ServiceRefusals {
    /// Counts the end of an attempt that took `took`; returns whether the service refuses calls if
    /// that has changed.
    pub fn record(
        &mut self,
        now: time::NodeTime,
        reply: TargetReply,
        took: Duration,
    ) -> Option<bool> {
        if self.is_outdated(now) {
            (self.share, self.answers) = (0.0, 0);
        }
        self.answered_at = now;
        let refused = reply == TargetReply::RefusedFree;
        let weight = f64::from(self.answers + 1 + PRIOR_ANSWERS).recip();
        self.answers = (self.answers + 1).min(SHARE_ANSWERS - PRIOR_ANSWERS - 1);
        self.share += (f64::from(u8::from(refused)) - self.share) * weight;
        let mean = match reply {
            TargetReply::RefusedFree => &mut self.refusal_micros,
            TargetReply::Ran => &mut self.run_micros,
        };
        let micros = took.as_secs_f64() * 1e6;
        // The first sample is taken as the mean.
        let weight = if *mean == 0.0 { 1.0 } else { 1.0 / 8.0 };
        *mean += (micros - *mean) * weight;
        self.refused += u64::from(refused);
        self.expected_attempts = self.expected_attempts(now);
        let (from, until) = REFUSING_SHARES;
        let refusing = match self.refusing {
            true => self.share >= until,
            false => self.share >= from && self.answers >= MIN_STATED_ANSWERS,
        };
        let changed = std::mem::replace(&mut self.refusing, refusing) != refusing;
        changed.then_some(refusing)
    }

    /// Counts the end of a call.
    pub fn call_ended(&mut self, end: CallEnd) {
        self.calls_recovered += u64::from(end == CallEnd::Recovered);
        self.calls_failed += u64::from(end == CallEnd::Failed);
        let failed = f64::from(u8::from(end == CallEnd::Failed));
        self.failed_share += (failed - self.failed_share) / f64::from(SHARE_ANSWERS);
    }

    /// Share of the attempts that targets with free slots refuse.
    pub fn share(&self, now: time::NodeTime) -> f64 {
        match self.is_outdated(now) {
            true => 0.0,
            false => self.share.min(MAX_SHARE),
        }
    }

    /// Expected number of attempts until a call is answered.
    pub fn expected_attempts(&self, now: time::NodeTime) -> f64 {
        (1.0 - self.share(now)).recip()
    }

    /// Whether a retry of a refused call is worth its cost.
    ///
    /// A retry is lost if its request fails at a later call. It is therefore judged by the chance of
    /// all calls that the request still needs, within the retries and the time that it has.
    pub fn judge(&self, now: time::NodeTime, case: &RetryCase) -> RetryWorth {
        let share = self.share(now);
        let calls = case.calls_left.clamp(1, MAX_CALLS_LEFT);
        let retries = self.retries_in_time(case, calls).min(case.allowance);
        if completion(share, calls, retries) < MIN_COMPLETION {
            return RetryWorth::Hopeless;
        }
        let needed = 1.0 + f64::from(calls) * share / (1.0 - share);
        RetryWorth::Worthwhile { needed }
    }

    /// Retries for which there is time beside the runs of `calls` calls.
    fn retries_in_time(&self, case: &RetryCase, calls: u16) -> u16 {
        let runs = f64::from(calls) * self.run_micros;
        let spare = case.time_left.as_secs_f64() * 1e6 - runs;
        let each = case.pause.as_secs_f64() * 1e6 + self.refusal_micros;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a negative or large number saturates"
        )]
        let retries = (spare / each.max(1.0)) as u16;
        retries
    }

    fn is_outdated(&self, now: time::NodeTime) -> bool {
        now.since(self.answered_at) >= SHARE_EXPIRY
    }
}

/// Probability that `retries` suffice for `calls` calls, of which the first was just refused, if
/// each attempt is refused with probability `share`.
///
/// The number of refusals before `calls` answers has a negative binomial distribution.
fn completion(share: f64, calls: u16, retries: u16) -> f64 {
    let mut term = (1.0 - share).powi(i32::from(calls));
    let mut sum = 0.0;
    for refusals in 0..retries {
        sum += term;
        term *= share * f64::from(calls + refusals) / f64::from(refusals + 1);
    }
    sum
}

/// The refusals of all services that a node calls.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RefusalShares {
    /// Sorted by service.
    services: Vec<(name::ServiceName, ServiceRefusals)>,
}

impl RefusalShares {
    /// What is known of `service`.
    pub fn get(&self, service: &name::ServiceName) -> Option<&ServiceRefusals> {
        let index = self.search(service).ok()?;
        Some(&self.services[index].1)
    }

    /// What is known of `service`, to be updated.
    pub fn get_mut(&mut self, service: &name::ServiceName) -> Option<&mut ServiceRefusals> {
        let index = self.search(service).ok()?;
        Some(&mut self.services[index].1)
    }

    /// The same, after adding `service` if it is new.
    pub fn get_or_insert(&mut self, service: &name::ServiceName) -> &mut ServiceRefusals {
        if self.search(service).is_err() && self.services.len() == MAX_SERVICES {
            self.evict_oldest();
        }
        let index = self.search(service).unwrap_or_else(|index| {
            let entry = (service.clone(), ServiceRefusals::default());
            self.services.insert(index, entry);
            index
        });
        &mut self.services[index].1
    }

    /// Sums over all services.
    pub fn totals(&self, now: time::NodeTime) -> RefusalTotals {
        let mut totals = RefusalTotals {
            expected_attempts: 1.0,
            ..RefusalTotals::default()
        };
        for (_, known) in &self.services {
            totals.refused += known.refused;
            totals.calls_recovered += known.calls_recovered;
            totals.calls_failed += known.calls_failed;
            let attempts = known.expected_attempts(now);
            totals.failed_share = totals.failed_share.max(known.failed_share);
            totals.expected_attempts = totals.expected_attempts.max(attempts);
        }
        totals
    }

    fn search(&self, service: &name::ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|(known, _)| known.cmp(service))
    }

    fn evict_oldest(&mut self) {
        let ages = self.services.iter().enumerate();
        let oldest = ages.min_by_key(|(_, (_, known))| known.answered_at);
        if let Some((index, _)) = oldest {
            self.services.remove(index);
        }
    }
}
