//! How many requests may run at the target at once; see `docs/design/admission.md`.

use std::time::Duration;

use anvil_types::time;
use serde::Serialize;

use crate::policy;

/// Shortest time over which latency is judged.
pub const LIMIT_WINDOW: Duration = Duration::from_millis(100);

/// Of this many slots, one stays free.
///
/// Failure: a target slows down when it is nearly full. Symptom: the last slot makes every run
/// longer, so under more demand than it can bear the target answers less, not more. With 19 slots
/// in 20 used it stays below that point; a target without one loses a twentieth at most.
const SPARE_DIVISOR: u32 = 20;

/// Samples by which latency is judged: two for each run at once, and one while the limit is ramped
/// up, within these bounds, so that a narrow and slow target is not judged only after seconds.
pub const WINDOW_SAMPLE_BOUNDS: (usize, usize) = (2, 16);

/// Most samples kept of one window.
const SAMPLE_CAP: usize = 64;

/// Own time, as a multiple of the best known, from which concurrency is suspected as its cause.
pub const SLOW_FACTOR: f64 = 2.0;

/// Own time, as a multiple of the best known, up to which the concurrency of a window counts as
/// harmless.
pub const NORMAL_FACTOR: f64 = 1.25;

/// Concurrency, as a multiple of the highest known to be harmless, from which it is suspected.
pub const SUSPECT_FACTOR: f64 = 1.25;

/// What a trial cut leaves of the limit.
pub const TRIAL_LIMIT_SHARE: f64 = 0.75;

/// Share of the former own time below which a trial cut has proved itself.
pub const TRIAL_SUCCESS_SHARE: f64 = 0.9;

/// What a refusal by the target leaves of the limit.
pub const REFUSAL_LIMIT_SHARE: f64 = 0.8;

/// Share of the slots that a target which just came may use.
pub const COLD_START_SHARE: f64 = 0.25;

/// Share of the slots that one window without trouble adds.
pub const INCREASE_SHARE: f64 = 0.05;

/// How a run at the target ended, as far as the limit is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer came.
    Completed,
    /// The run broke.
    Failed,
    /// The target refused it, so it runs as many as it can.
    Refused,
    /// The deadline passed; the latency is a lower bound.
    TimedOut,
    /// The node cancelled it; its latency says nothing.
    Cancelled,
}

/// What one run at the target showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunSample {
    /// From dispatch to end.
    pub latency: Duration,
    /// Of that, the time in which it waited for at least one call of its own.
    pub downstream: Duration,
    /// How it ended.
    pub end: RunEnd,
}

/// What a trial cut is compared with.
#[derive(Clone, Copy, Debug, Serialize)]
struct LimitTrial {
    limit: f64,
    own: f64,
}

/// The limit and the windows that move it.
///
/// A cut by latency is a trial: if own time does not fall with concurrency, the cause lies
/// elsewhere, and the limit is restored. A target that runs at a fifth of its speed for reasons of
/// its own would otherwise lose its slots as well.
#[derive(Clone, Debug, Serialize)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    ramping: bool,
    best: Option<f64>,
    /// The highest mean concurrency of a window whose own time was near the best.
    harmless: f64,
    trial: Option<LimitTrial>,
    /// Whether the former window was crowded, too, so that this one saw a steady concurrency.
    suspected: bool,
    /// Whether a trial began with this window, whose first runs still saw the former limit.
    settling: bool,
    opened: time::NodeTime,
    peak: u32,
    running_sum: u64,
    starts: u32,
    refused: u32,
    #[serde(skip)]
    samples: Vec<u64>,
    #[serde(skip)]
    policy: policy::OverloadPolicy,
}

impl ConcurrencyLimit {
    /// The limit of a target that just announced `slots`.
    pub fn new(now: time::NodeTime, slots: u32, policy: policy::OverloadPolicy) -> Self {
        let ramping = policy.cold_ramp && policy.adaptive_limit;
        let share = if ramping { COLD_START_SHARE } else { 1.0 };
        Self {
            slots,
            limit: (f64::from(slots) * share).max(1.0),
            ramping,
            best: None,
            harmless: 0.0,
            running_sum: 0,
            starts: 0,
            trial: None,
            suspected: false,
            settling: false,
            opened: now,
            peak: 0,
            refused: 0,
            samples: Vec::new(),
            policy,
        }
    }

    /// Requests that may run at once; never above the slots, never below one.
    pub fn current(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the limit lies between one and the slots"
        )]
        let limit = self.limit as u32;
        limit.clamp(1, self.usable())
    }

    /// The slots less those that stay free.
    fn usable(&self) -> u32 {
        let usable = match self.policy.spare_slots {
            true => self.slots - self.slots.div_ceil(SPARE_DIVISOR),
            false => self.slots,
        };
        usable.max(1)
    }

    /// Follows a renewed announcement.
    pub fn set_slots(&mut self, slots: u32) {
        let grown = slots > self.slots;
        self.slots = slots;
        if !self.policy.adaptive_limit {
            self.limit = f64::from(slots);
        } else if grown {
            self.ramping = true;
        }
        self.limit = self.limit.min(f64::from(slots)).max(1.0);
    }

    /// Notes how many requests run after one was started.
    pub fn run_started(&mut self, running: u32) {
        self.peak = self.peak.max(running);
        self.running_sum += u64::from(running);
        self.starts += 1;
    }

    /// Takes in the end of a run.
    pub fn observe(&mut self, now: time::NodeTime, sample: RunSample) {
        if !self.policy.adaptive_limit {
            return;
        }
        match sample.end {
            RunEnd::Refused => self.refused += 1,
            RunEnd::Completed | RunEnd::TimedOut => self.keep(now, sample),
            RunEnd::Failed | RunEnd::Cancelled => {}
        }
        self.close(now);
    }

    fn keep(&mut self, now: time::NodeTime, sample: RunSample) {
        // Runs from before the window began show the former limit.
        if sample.latency > now.since(self.opened) || self.samples.len() >= SAMPLE_CAP {
            return;
        }
        // Failure: a service deep below is sick and a healthy one waits for it. Symptom: latency
        // rises at every service above. Own time leaves those waits out, so only the sick is cut.
        let own = if self.policy.attribution {
            sample.latency.saturating_sub(sample.downstream)
        } else {
            sample.latency
        };
        let micros = u64::try_from(own.as_micros()).unwrap_or(u64::MAX);
        self.samples.push(micros);
    }

    fn close(&mut self, now: time::NodeTime) {
        if now.since(self.opened) < LIMIT_WINDOW {
            return;
        }
        if self.refused > 0 {
            self.cut_for_refusals();
        } else if self.samples.len() < self.needed() {
            return;
        } else if self.settling {
            self.settling = false;
        } else {
            self.judge();
        }
        self.opened = now;
        self.peak = 0;
        self.running_sum = 0;
        self.starts = 0;
        self.refused = 0;
        self.samples.clear();
    }

    fn needed(&self) -> usize {
        let (least, most) = WINDOW_SAMPLE_BOUNDS;
        let rounds = if self.ramping { 1 } else { 2 };
        (rounds * self.current() as usize).clamp(least, most)
    }

    fn cut_for_refusals(&mut self) {
        let used = f64::from(self.peak).min(self.limit);
        self.limit = (used * REFUSAL_LIMIT_SHARE).max(1.0);
        self.ramping = false;
        self.trial = None;
    }

    fn judge(&mut self) {
        let own = median(&mut self.samples);
        if let Some(trial) = self.trial.take() {
            self.end_trial(trial, own);
            return;
        }
        let best = self.best.map_or(own, |best| best.min(own));
        self.best = Some(best);
        let busy = f64::from(self.peak) >= self.limit.floor();
        let concurrency = self.concurrency();
        if own <= best * NORMAL_FACTOR {
            self.harmless = self.harmless.max(concurrency);
        }
        if own > best * SLOW_FACTOR && self.limit > 1.0 {
            self.suspect(own, concurrency, busy);
            return;
        }
        self.suspected = false;
        if busy {
            self.raise();
        }
    }

    /// Failure: a target slows for reasons of its own and loses slots as well. Symptom: a fifth of
    /// the speed becomes a tenth of the answers. Where no more run than did before at full speed,
    /// concurrency is not the cause, and the new time is the one to compare with.
    fn suspect(&mut self, own: f64, concurrency: f64, busy: bool) {
        self.ramping = false;
        if concurrency <= self.harmless * SUSPECT_FACTOR {
            self.best = Some(own);
        } else if busy && std::mem::replace(&mut self.suspected, true) {
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
