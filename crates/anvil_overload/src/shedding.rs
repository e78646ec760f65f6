//! Cut line that the node of a target derives from its own queue; see `docs/design/shedding.md`.

use std::time::Duration;

use anvil_types::time;
use anvil_wire::call;
use serde::Serialize;

use crate::{demand, policy, rank};

/// Shortest evaluation window.
pub const MIN_CUT_WINDOW: Duration = Duration::from_millis(100);

/// Longest evaluation window. In between it is two mean service times, because a change of the line
/// shows only after the runs that were in progress.
pub const MAX_CUT_WINDOW: Duration = Duration::from_millis(400);

/// Lower bound of the standing wait that counts as pressure. Between the bounds it is two mean
/// service times, so that slots do not become free for lack of admitted requests.
pub const MIN_STANDING_BOUND: Duration = Duration::from_millis(20);
/// Upper bound, see [`MIN_STANDING_BOUND`].
pub const MAX_STANDING_BOUND: Duration = Duration::from_millis(200);

/// Smallest and largest share of the admitted requests that one window excludes.
pub const CUT_SHARE_BOUNDS: (f64, f64) = (0.05, 0.9);

/// Ratio of admitted requests to those that the slots can run. Some requests are cancelled or
/// refused elsewhere, and a short queue costs less than a free slot.
pub const OVERBOOKING: f64 = 1.3;

/// Utilization from which the slots count as fully used.
pub const FULL_UTILIZATION: f64 = 0.99;

/// Utilization below which the pressure counts as over.
pub const IDLE_UTILIZATION: f64 = 0.7;

/// Smallest step, in levels, by which the line is lowered after a window that left slots free; each
/// further window whose utilization is below [`IDLE_UTILIZATION`] doubles it.
pub const RELEASE_STEP: u16 = 8;

/// Largest release step, in levels.
pub const MAX_RELEASE_STEP: u16 = 512;

/// Windows without any event after which no line is left.
const MAX_IDLE_WINDOWS: u128 = 16;

/// State of the queue after a change.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueSnapshot {
    /// Mean service time.
    pub service_time: Duration,
    /// Concurrency limit.
    pub limit: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests that the line admits.
    pub standing: usize,
}

/// The cut line of one target and the windows that adjust it.
///
/// The signal is the standing queue, as in CoDel: the minimum queue length within a window,
/// expressed as a wait. A burst that drains within the window is not pressure. Neither are requests
/// below the line, which only fill slots that would stay free. The line is raised at once to the
/// level that admits as many requests as the slots can run.
#[derive(Clone, Debug, Serialize)]
pub struct CutControl {
    level: u16,
    step: u16,
    #[serde(rename = "strained")]
    under_pressure: bool,
    opened: time::NodeTime,
    counted: time::NodeTime,
    busy_micros: u64,
    admitted: u32,
    overflowed: u32,
    least_standing: usize,
    #[serde(rename = "former_standing")]
    previous_standing: usize,
    #[serde(skip)]
    snapshot: QueueSnapshot,
    #[serde(skip)]
    demand: demand::LevelDemand,
    #[serde(skip)]
    policy: policy::OverloadPolicy,
}

impl CutControl {
    /// Creates a control without a line.
    pub fn new(now: time::NodeTime, policy: policy::OverloadPolicy) -> Self {
        Self {
            level: 0,
            step: RELEASE_STEP,
            under_pressure: false,
            opened: now,
            counted: now,
            busy_micros: 0,
            admitted: 0,
            overflowed: 0,
            least_standing: 0,
            previous_standing: 0,
            snapshot: QueueSnapshot::default(),
            demand: demand::LevelDemand::default(),
            policy,
        }
    }

    /// The current line; `None` if all requests are admitted.
    pub fn cut_line(&self) -> Option<call::CutLine> {
        rank::line_for_level(self.level)
    }

    /// Whether the last window was under pressure.
    pub fn is_under_pressure(&self) -> bool {
        self.under_pressure
    }

    /// Whether the line admits `rank`.
    pub fn admits(&self, rank: &rank::CallRank) -> bool {
        rank.level() >= self.level
    }

    /// Whether an arriving request of `rank` is refused because of the line.
    pub fn refuses(&self, rank: &rank::CallRank) -> bool {
        rank.admission_level() < self.level
    }

    /// Counts an arriving request, admitted or not.
    pub fn count_arrival(&mut self, rank: &rank::CallRank) {
        let level = rank.level();
        self.demand.count_arrival(level);
        if level >= self.level {
            self.admitted += 1;
        }
    }

    /// Counts a request that the queue refused or dropped because it was full, waited too long or
    /// could not meet its deadline. Requests below the line do not count as pressure.
    pub fn count_overflow(&mut self, rank: &rank::CallRank) {
        if self.admits(rank) {
            self.overflowed += 1;
        }
    }

    /// Records a change of the queue, and closes the window if it is over.
    pub fn observe(&mut self, now: time::NodeTime, snapshot: QueueSnapshot) {
        self.count_busy_time(now);
        let span = now.since(self.opened);
        if span >= MIN_CUT_WINDOW && self.policy.cut_line {
            self.evaluate(now, span);
        }
        self.snapshot = snapshot;
        self.least_standing = self.least_standing.min(snapshot.standing);
    }

    fn count_busy_time(&mut self, now: time::NodeTime) {
        let span = u64::try_from(now.since(self.counted).as_micros()).unwrap_or(u64::MAX);
        let running = self.snapshot.running.min(self.snapshot.limit);
        self.busy_micros += span * u64::from(running);
        self.counted = now;
    }

    fn evaluate(&mut self, now: time::NodeTime, span: Duration) {
        let window = (self.snapshot.service_time * 2).clamp(MIN_CUT_WINDOW, MAX_CUT_WINDOW);
        let utilization = self.utilization(span);
        let standing = standing_wait(self.least_standing, self.snapshot);
        let bound = (self.snapshot.service_time * 2).clamp(MIN_STANDING_BOUND, MAX_STANDING_BOUND);
        let under_pressure = self.overflowed > 0 || standing > bound;
        if utilization < IDLE_UTILIZATION && !under_pressure {
            let windows = span.as_nanos() / MIN_CUT_WINDOW.as_nanos();
            let room = (1.0 - utilization) * self.capacity(span) / span.as_secs_f64();
            let level = self.demand.lowered(self.level, rank::LEVELS, room);
            self.release_fast(windows.min(MAX_IDLE_WINDOWS));
            self.level = self.level.min(level);
        } else if span < window {
            return;
        } else if under_pressure {
            self.raise(span);
        } else if utilization < FULL_UTILIZATION {
            let room = (1.0 - utilization) * self.capacity(span) / span.as_secs_f64();
            self.level = self.demand.lowered(self.level, RELEASE_STEP * 4, room);
        }
        self.under_pressure = under_pressure;
        self.open(now, span);
    }

    fn open(&mut self, now: time::NodeTime, span: Duration) {
        self.demand.close_window(self.level, span);
        self.opened = now;
        self.busy_micros = 0;
        self.admitted = 0;
        self.overflowed = 0;
        self.previous_standing = self.least_standing;
        self.least_standing = self.snapshot.standing;
    }

    /// Share of the slot time of the window that was in use.
    fn utilization(&self, span: Duration) -> f64 {
        let slots = span.as_secs_f64() * f64::from(self.snapshot.limit.max(1));
        Duration::from_micros(self.busy_micros).as_secs_f64() / slots
    }

    /// Number of requests that the slots can run within `span`.
    fn capacity(&self, span: Duration) -> f64 {
        let service_time = self.snapshot.service_time.as_secs_f64().max(1e-6);
        span.as_secs_f64() / service_time * f64::from(self.snapshot.limit)
    }

    fn raise(&mut self, span: Duration) {
        self.step = RELEASE_STEP;
        let admitted = f64::from(self.admitted.max(1));
        let excess = 1.0 - self.capacity(span) * OVERBOOKING / admitted;
        let drains = self.overflowed == 0 && self.least_standing < self.previous_standing;
        if excess <= 0.0 && drains {
            return;
        }
        let share = excess.clamp(CUT_SHARE_BOUNDS.0, CUT_SHARE_BOUNDS.1);
        self.level = self.demand.raised(self.level, share);
    }

    fn release_fast(&mut self, windows: u128) {
        for _ in 0..windows {
            if self.level == 0 {
                return;
            }
            self.release(self.step);
            self.step = (self.step * 2).min(MAX_RELEASE_STEP);
        }
    }

    fn release(&mut self, step: u16) {
        self.level = self.level.saturating_sub(step);
        if self.level == 0 {
            self.step = RELEASE_STEP;
        }
    }
}

fn standing_wait(queued: usize, snapshot: QueueSnapshot) -> Duration {
    let queued = u32::try_from(queued).unwrap_or(u32::MAX);
    snapshot.service_time.saturating_mul(queued) / snapshot.limit.max(1)
}
