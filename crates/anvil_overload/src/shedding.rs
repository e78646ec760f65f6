//! The cut line that a target's node draws from its own queue; see `docs/design/shedding.md`.

use std::time::Duration;

use anvil_types::time;
use anvil_wire::call;
use serde::Serialize;

use crate::{demand, policy, rank};

/// Shortest time over which pressure is judged.
pub const MIN_CUT_WINDOW: Duration = Duration::from_millis(100);

/// Longest time over which pressure is judged; in between it is two usual runs, since what a
/// change of the line does is seen only after the runs that were under way.
pub const MAX_CUT_WINDOW: Duration = Duration::from_millis(400);

/// Bounds of the standing wait that counts as pressure; within them it is two usual runs, so that
/// the slots never stand free for want of admitted requests.
pub const MIN_STANDING_BOUND: Duration = Duration::from_millis(20);
/// See [`MIN_STANDING_BOUND`].
pub const MAX_STANDING_BOUND: Duration = Duration::from_millis(200);

/// Least and largest share of the admitted requests that one window cuts.
pub const CUT_SHARE_BOUNDS: (f64, f64) = (0.05, 0.9);

/// Admitted requests for each that the slots can run: some are cancelled or refused elsewhere, and
/// a short queue costs less than a free slot.
pub const OVERBOOKING: f64 = 1.3;

/// Use of the slots from which they count as full.
pub const FULL_UTILIZATION: f64 = 0.99;

/// Use of the slots below which the pressure counts as gone.
pub const IDLE_UTILIZATION: f64 = 0.7;

/// Step, in levels, by which a window that left slots free lowers the line; each further window
/// whose use is below [`IDLE_UTILIZATION`] doubles it.
pub const RELEASE_STEP: u16 = 8;

/// Longest step of release, in levels.
pub const MAX_RELEASE_STEP: u16 = 512;

/// Windows without any event after which the line is gone.
const WINDOWS_TO_FORGET: u128 = 16;

/// What the queue says of itself at a change.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueSnapshot {
    /// Usual time of a run.
    pub service_time: Duration,
    /// Requests that may run at once.
    pub limit: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests in the queue that the line admits.
    pub standing: usize,
}

/// The cut line of one target and the windows that move it.
///
/// The standing queue is the signal, as in CoDel: the least length of the queue within a window,
/// as time. A burst that drains within the window is no pressure, and what waits below the line
/// is none either, since it only fills slots that would stand free. The line is raised at once to
/// the level that leaves as many requests as the slots can run.
#[derive(Clone, Debug, Serialize)]
pub struct CutControl {
    level: u16,
    step: u16,
    strained: bool,
    opened: time::NodeTime,
    counted: time::NodeTime,
    busy_micros: u64,
    admitted: u32,
    overflowed: u32,
    least_standing: usize,
    former_standing: usize,
    #[serde(skip)]
    view: QueueSnapshot,
    #[serde(skip)]
    demand: demand::LevelDemand,
    #[serde(skip)]
    policy: policy::OverloadPolicy,
}

impl CutControl {
    /// No line, and nothing seen.
    pub fn new(now: time::NodeTime, policy: policy::OverloadPolicy) -> Self {
        Self {
            level: 0,
            step: RELEASE_STEP,
            strained: false,
            opened: now,
            counted: now,
            busy_micros: 0,
            admitted: 0,
            overflowed: 0,
            least_standing: 0,
            former_standing: 0,
            view: QueueSnapshot::default(),
            demand: demand::LevelDemand::default(),
            policy,
        }
    }

    /// The line in force; none where all are admitted.
    pub fn cut_line(&self) -> Option<call::CutLine> {
        rank::line_for_level(self.level)
    }

    /// Whether the last window was under pressure.
    pub fn is_under_pressure(&self) -> bool {
        self.strained
    }

    /// Whether the line lies at `rank` or below it.
    pub fn admits(&self, rank: &rank::CallRank) -> bool {
        rank.level() >= self.level
    }

    /// Whether a request of `rank` that comes now is refused for the line's sake.
    pub fn refuses(&self, rank: &rank::CallRank) -> bool {
        rank.admission_level() < self.level
    }

    /// Counts a request that arrived, admitted or not.
    pub fn count_arrival(&mut self, rank: &rank::CallRank) {
        let level = rank.level();
        self.demand.count_arrival(level);
        if level >= self.level {
            self.admitted += 1;
        }
    }

    /// Counts a request that the queue gave up: full, waited too long, or too late. Below the line
    /// that is no pressure.
    pub fn count_overflow(&mut self, rank: &rank::CallRank) {
        if self.admits(rank) {
            self.overflowed += 1;
        }
    }

    /// Follows a change of the queue, and closes the window where it is over.
    pub fn observe(&mut self, now: time::NodeTime, view: QueueSnapshot) {
        self.count_use(now);
        let span = now.since(self.opened);
        if span >= MIN_CUT_WINDOW && self.policy.cut_line {
            self.judge(now, span);
        }
        self.view = view;
        self.least_standing = self.least_standing.min(view.standing);
    }

    fn count_use(&mut self, now: time::NodeTime) {
        let span = u64::try_from(now.since(self.counted).as_micros()).unwrap_or(u64::MAX);
        let running = self.view.running.min(self.view.limit);
        self.busy_micros += span * u64::from(running);
        self.counted = now;
    }

    fn judge(&mut self, now: time::NodeTime, span: Duration) {
        let whole = (self.view.service_time * 2).clamp(MIN_CUT_WINDOW, MAX_CUT_WINDOW);
        let used = self.used(span);
        let standing = standing_wait(self.least_standing, self.view);
        let bound = (self.view.service_time * 2).clamp(MIN_STANDING_BOUND, MAX_STANDING_BOUND);
        let strained = self.overflowed > 0 || standing > bound;
        if used < IDLE_UTILIZATION && !strained {
            let windows = span.as_nanos() / MIN_CUT_WINDOW.as_nanos();
            self.release_fast(windows.min(WINDOWS_TO_FORGET));
        } else if span < whole {
            return;
        } else if strained {
            self.raise(span);
        } else if used < FULL_UTILIZATION {
            let room = (1.0 - used) * self.capacity(span) / span.as_secs_f64();
            self.level = self.demand.lowered(self.level, RELEASE_STEP * 4, room);
        }
        self.strained = strained;
        self.open(now, span);
    }

    fn open(&mut self, now: time::NodeTime, span: Duration) {
        self.demand.close_window(self.level, span);
        self.opened = now;
        self.busy_micros = 0;
        self.admitted = 0;
        self.overflowed = 0;
        self.former_standing = self.least_standing;
        self.least_standing = self.view.standing;
    }

    /// Share of the slots that was in use.
    fn used(&self, span: Duration) -> f64 {
        let slots = span.as_secs_f64() * f64::from(self.view.limit.max(1));
        Duration::from_micros(self.busy_micros).as_secs_f64() / slots
    }

    /// Requests that the slots can run within `span`.
    fn capacity(&self, span: Duration) -> f64 {
        let usual = self.view.service_time.as_secs_f64().max(1e-6);
        span.as_secs_f64() / usual * f64::from(self.view.limit)
    }

    fn raise(&mut self, span: Duration) {
        self.step = RELEASE_STEP;
        let admitted = f64::from(self.admitted.max(1));
        let excess = 1.0 - self.capacity(span) * OVERBOOKING / admitted;
        let drains = self.overflowed == 0 && self.least_standing < self.former_standing;
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

fn standing_wait(queued: usize, view: QueueSnapshot) -> Duration {
    let queued = u32::try_from(queued).unwrap_or(u32::MAX);
    view.service_time.saturating_mul(queued) / view.limit.max(1)
}
