//! Adaptive concurrency limit of the local target; see `docs/design/admission.md`.

use std::time::Duration;

use anvil_types::time;
use serde::Serialize;

use crate::{policy, refusal_trial};

/// Shortest evaluation window.
pub const LIMIT_WINDOW: Duration = Duration::from_millis(100);

/// One slot in this many is left free if `spare_slots` is set.
///
/// Some targets slow down when they are nearly full: the last slot makes every run longer, so under
/// overload the target completes fewer requests. Using 19 slots in 20 stays below that point, and a
/// target that does not behave this way loses a twentieth at most.
const SPARE_DIVISOR: u32 = 20;

/// Bounds of the number of samples that a window needs. Within them it is two for each concurrent
/// run, or one while the limit ramps up, so that a slow target with few slots is not evaluated only
/// every few seconds.
pub const WINDOW_SAMPLE_BOUNDS: (usize, usize) = (2, 16);

/// Maximum number of samples retained in one window.
const MAX_SAMPLES: usize = 64;

/// Own time, as a multiple of the best known, above which the concurrency may be the cause.
pub const SLOW_FACTOR: f64 = 2.0;

/// Own time, as a multiple of the best known, up to which the concurrency of a window counts as
/// normal.
pub const NORMAL_FACTOR: f64 = 1.25;

/// Concurrency, as a multiple of the highest normal one, above which it may be the cause of a
/// slowdown.
pub const SUSPECT_FACTOR: f64 = 1.25;

/// Share of the limit that remains after a trial reduction.
pub const TRIAL_LIMIT_SHARE: f64 = 0.75;

/// Share of the previous own time at or below which a trial reduction counts as successful.
pub const TRIAL_SUCCESS_SHARE: f64 = 0.9;

/// Share of the concurrency in use that remains as the limit after a refusal by the target.
pub const REFUSAL_LIMIT_SHARE: f64 = 0.8;

/// Share of the slots that a newly started target may use.
pub const COLD_START_SHARE: f64 = 0.25;

/// Share of the slots by which a saturated window without a slowdown raises the limit.
pub const INCREASE_SHARE: f64 = 0.05;

/// How a run at the target ended, as far as the limit is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The complete answer was received.
    Completed,
    /// The run failed.
    Failed,
    /// The target refused the run, so its concurrency is at its maximum.
    Refused,
    /// The deadline passed; the latency is a lower bound.
    TimedOut,
    /// The node cancelled it; its latency is not meaningful.
    Cancelled,
}

/// Measurement of one run at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunSample {
    /// From dispatch to end.
    pub latency: Duration,
    /// Part of the latency during which the run waited for at least one call of its own.
    pub downstream: Duration,
    /// How it ended.
    pub end: RunEnd,
}

/// State before a trial reduction, with which its result is compared.
#[derive(Clone, Copy, Debug, Serialize)]
struct LimitTrial {
    limit: f64,
    own: f64,
}

/// The concurrency limit and the windows that adjust it.
///
/// A reduction because of latency is a trial: if the own time does not fall with the concurrency,
/// the cause lies elsewhere and the limit is restored. Otherwise a target that runs at a fifth of
/// its speed for internal reasons would lose its slots as well.
#[derive(Clone, Debug, Serialize)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    ramping: bool,
    best: Option<f64>,
    /// The highest mean concurrency of a window whose own time was near the best.
    #[serde(rename = "harmless")]
    normal_concurrency: f64,
    trial: Option<LimitTrial>,
    /// Whether the previous window was also slow at high concurrency, so that this window saw a
    /// steady concurrency.
    suspected: bool,
    /// Whether a trial began with this window, whose first runs still started under the previous
    /// limit.
    settling: bool,
    opened: time::NodeTime,
    peak: u32,
    running_sum: u64,
    starts: u32,
    refused: u32,
    /// Runs that ended in the current window with an answer or a refusal.
    #[serde(skip)]
    ended: u32,
    refusal_trial: refusal_trial::RefusalTrial,
    #[serde(skip)]
    samples: Vec<u64>,
    #[serde(skip)]
    policy: policy::OverloadPolicy,
}

impl ConcurrencyLimit {
    /// The initial limit of a target that has announced `slots`.
    pub fn new(now: time::NodeTime, slots: u32, policy: policy::OverloadPolicy) -> Self {
        let ramping = policy.cold_ramp && policy.adaptive_limit;
        let share = if ramping { COLD_START_SHARE } else { 1.0 };
        Self {
            slots,
            limit: (f64::from(slots) * share).max(1.0),
            ramping,
            best: None,
            normal_concurrency: 0.0,
            running_sum: 0,
            starts: 0,
            trial: None,
            suspected: false,
            settling: false,
            opened: now,
            peak: 0,
            refused: 0,
            ended: 0,
            refusal_trial: refusal_trial::RefusalTrial::default(),
            samples: Vec::new(),
            policy,
        }
    }

    /// Number of requests that may run concurrently: at least one, at most the slots.
    pub fn current(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the limit lies between one and the slots"
        )]
        let limit = self.limit as u32;
        limit.clamp(1, self.usable())
    }

    /// Slots without those that stay free.
    fn usable(&self) -> u32 {
        let usable = match self.policy.spare_slots {
            true => self.slots - self.slots.div_ceil(SPARE_DIVISOR),
            false => self.slots,
        };
        usable.max(1)
    }

    /// Applies the slots of a renewed announcement.
    pub fn set_slots(&mut self, slots: u32) {
        let increased = slots > self.slots;
        self.slots = slots;
        if !self.policy.adaptive_limit {
            self.limit = f64::from(slots);
        } else if increased {
            self.ramping = true;
        }
        self.limit = self.limit.min(f64::from(slots)).max(1.0);
    }

    /// Records the number of running requests after a start.
    pub fn run_started(&mut self, running: u32) {
        self.peak = self.peak.max(running);
        self.running_sum += u64::from(running);
        self.starts += 1;
    }

    /// Records the end of a run.
    pub fn observe(&mut self, now: time::NodeTime, sample: RunSample) {
        if !self.policy.adaptive_limit {
            return;
        }
        self.ended += u32::from(sample.end != RunEnd::Cancelled);
        match sample.end {
            RunEnd::Refused => self.refused += 1,
            RunEnd::Completed | RunEnd::TimedOut => self.record_sample(now, sample),
            RunEnd::Failed | RunEnd::Cancelled => {}
        }
        self.close_window(now);
    }

    fn record_sample(&mut self, now: time::NodeTime, sample: RunSample) {
        // Runs that started before the window ran under the previous limit.
        if sample.latency > now.since(self.opened) || self.samples.len() >= MAX_SAMPLES {
            return;
        }
        // If a service further down the call chain is slow, latency rises at every service above it
        // that waits for it. Own time leaves those waits out, so only the slow service is limited.
        let own = if self.policy.attribution {
            sample.latency.saturating_sub(sample.downstream)
        } else {
            sample.latency
        };
        let micros = u64::try_from(own.as_micros()).unwrap_or(u64::MAX);
        self.samples.push(micros);
    }

    fn close_window(&mut self, now: time::NodeTime) {
        if now.since(self.opened) < LIMIT_WINDOW {
            return;
        }
        let window = refusal_trial::RefusalWindow {
            refused: self.refused,
            ended: self.ended,
            saturated: f64::from(self.peak) >= self.limit.floor(),
        };
        let (finding, limit) = (self.judge_refusals(window), self.limit);
        if finding == refusal_trial::RefusalFinding::Unclear {
            return;
        }
        if let refusal_trial::RefusalFinding::Reduce(part) = finding {
            self.cut_for_refusals(part);
        } else if let refusal_trial::RefusalFinding::Restore(limit) = finding {
            self.limit = limit.min(f64::from(self.slots)).max(self.limit);
        } else if finding == refusal_trial::RefusalFinding::Settling {
            // Runs from before the reduction say nothing about it.
        } else if self.samples.len() < self.needed_samples() {
            return;
        } else if self.settling {
            self.settling = false;
        } else {
            self.evaluate();
        }
        self.refusal_trial.close(window, finding, limit);
        self.opened = now;
        self.peak = 0;
        self.running_sum = 0;
        self.starts = 0;
        self.refused = 0;
        self.ended = 0;
        self.samples.clear();
    }

    /// What the refusals of the window mean for the limit.
    fn judge_refusals(
        &self,
        window: refusal_trial::RefusalWindow,
    ) -> refusal_trial::RefusalFinding {
        match (self.policy.refusal_retries, self.refused) {
            (true, _) => self.refusal_trial.judge(window),
            (false, 0) => refusal_trial::RefusalFinding::Independent,
            (false, _) => refusal_trial::RefusalFinding::Reduce(REFUSAL_LIMIT_SHARE),
        }
    }

    fn needed_samples(&self) -> usize {
        let (min, max) = WINDOW_SAMPLE_BOUNDS;
        let rounds = if self.ramping { 1 } else { 2 };
        (rounds * self.current() as usize).clamp(min, max)
    }

    fn cut_for_refusals(&mut self, part: f64) {
        let used = f64::from(self.peak).min(self.limit);
        self.limit = (used * part).max(1.0);
        self.ramping = false;
        self.trial = None;
    }

    fn evaluate(&mut self) {
        let own = median(&mut self.samples);
        if let Some(trial) = self.trial.take() {
            self.end_trial(trial, own);
            return;
        }
        let best = self.best.map_or(own, |best| best.min(own));
        self.best = Some(best);
        let saturated = f64::from(self.peak) >= self.limit.floor();
        let concurrency = self.concurrency();
        if own <= best * NORMAL_FACTOR {
            self.normal_concurrency = self.normal_concurrency.max(concurrency);
        }
        if own > best * SLOW_FACTOR && self.limit > 1.0 {
            self.handle_slowdown(own, concurrency, saturated);
            return;
        }
        self.suspected = false;
        if saturated {
            self.raise();
        }
    }

    /// Handles a window whose own time is far above the best known.
    ///
    /// A target that slows down for internal reasons must not lose slots as well: at a fifth of its
    /// speed it would then complete only a tenth of the requests. If no more requests run than ran
    /// before at full speed, concurrency is not the cause, and the new time becomes the baseline.
    fn handle_slowdown(&mut self, own: f64, concurrency: f64, saturated: bool) {
        self.ramping = false;
        if concurrency <= self.normal_concurrency * SUSPECT_FACTOR {
            self.best = Some(own);
        } else if saturated && std::mem::replace(&mut self.suspected, true) {
            self.begin_trial(own);
        }
    }

    fn begin_trial(&mut self, own: f64) {
        let limit = self.limit;
        self.trial = Some(LimitTrial { limit, own });
        self.limit = (limit * TRIAL_LIMIT_SHARE).max(1.0);
        self.settling = true;
    }

    fn end_trial(&mut self, trial: LimitTrial, own: f64) {
        if own > trial.own * TRIAL_SUCCESS_SHARE {
            self.limit = trial.limit.min(f64::from(self.slots));
            self.best = Some(own);
        }
    }

    fn concurrency(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a sum over one window")]
        let sum = self.running_sum as f64;
        sum / f64::from(self.starts.max(1))
    }

    fn raise(&mut self) {
        let slots = f64::from(self.slots);
        let step = (slots * INCREASE_SHARE).max(1.0);
        let raised = if self.ramping {
            self.limit * 2.0
        } else {
            self.limit + step
        };
        self.limit = raised.min(slots).max(1.0);
        self.ramping = self.ramping && self.limit < slots;
    }
}

fn median(samples: &mut [u64]) -> f64 {
    samples.sort_unstable();
    let middle = samples.get(samples.len() / 2).copied().unwrap_or(0);
    #[expect(clippy::cast_precision_loss, reason = "microseconds of one run")]
    let middle = middle as f64;
    middle.max(1.0)
}
