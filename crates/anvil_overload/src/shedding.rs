//! The cut line that a target's node draws from its own queue; see `docs/design/shedding.md`.

use std::time::Duration;

use anvil_types::time;
use anvil_wire::call;
use serde::Serialize;

use crate::{policy, rank};

/// Time over which pressure is judged.
pub const CUT_WINDOW: Duration = Duration::from_millis(100);

/// Bounds of the standing wait that counts as pressure; within them it is half the usual time of
/// a run.
pub const STANDING_LOW: Duration = Duration::from_millis(5);
/// See [`STANDING_LOW`].
pub const STANDING_HIGH: Duration = Duration::from_millis(50);

/// Least and largest share of the admitted requests that one window cuts.
pub const CUT_SHARE: (f64, f64) = (0.05, 0.5);

/// First step, in levels, by which an idle window lowers the line; each further one doubles it.
pub const RELEASE_STEP: u16 = 8;

/// Longest step of release, in levels.
pub const RELEASE_LIMIT: u16 = 512;

/// Windows without any event after which the line is gone.
const WINDOWS_TO_FORGET: u128 = 16;

/// What the queue says when a window closes.
#[derive(Clone, Copy, Debug)]
pub struct QueueView {
    /// Usual time of a run.
    pub usual: Duration,
    /// Requests that may run at once.
    pub limit: u32,
}

/// The cut line of one target and the windows that move it.
///
/// The standing queue is the signal, as in CoDel: the least length of the queue within a window,
/// as time. A burst that drains within the window is no pressure. The line is raised at once to
/// the level that leaves as many requests as ended within the window.
#[derive(Clone, Debug, Serialize)]
pub struct CutControl {
    level: u16,
    step: u16,
    strained: bool,
    opened: time::NodeTime,
    admitted: u32,
    ended: u32,
    overflowed: u32,
    least_queued: usize,
    idle: bool,
    #[serde(skip)]
    arrivals: Vec<u32>,
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
            admitted: 0,
            ended: 0,
            overflowed: 0,
            least_queued: 0,
            idle: true,
            arrivals: vec![0; usize::from(rank::LEVELS)],
            policy,
        }
    }

    /// The line in force; none where all are admitted.
    pub fn line(&self) -> Option<call::CutLine> {
        rank::line_at(self.level)
    }

    /// Whether the last window was under pressure.
    pub fn strained(&self) -> bool {
        self.strained
    }

    /// Whether the line admits `rank`.
    pub fn admits(&self, rank: &rank::CallRank) -> bool {
        rank.level() >= self.level
    }

    /// Counts a request that arrived, admitted or not.
    pub fn arrived(&mut self, rank: &rank::CallRank) {
        let level = rank.level();
        self.arrivals[usize::from(level)] += 1;
        if level >= self.level {
            self.admitted += 1;
        }
    }

    /// Counts a run that ended.
    pub fn ended(&mut self) {
        self.ended += 1;
    }

    /// Counts a request that the queue gave up: full, waited too long, or too late.
    pub fn overflowed(&mut self) {
        self.overflowed += 1;
    }

    /// Notes the length of the queue and the free slots after a change.
    pub fn queue_changed(&mut self, queued: usize, free: bool) {
        self.least_queued = self.least_queued.min(queued);
        self.idle |= free;
    }

    /// Closes the window where it is over; `queued` opens the next one.
    pub fn roll(&mut self, now: time::NodeTime, view: QueueView, queued: usize, free: bool) {
        let windows = now.since(self.opened).as_nanos() / CUT_WINDOW.as_nanos();
        if windows == 0 {
            return;
        }
        if self.policy.cut_line {
            self.judge(view);
            self.pass_quiet(windows.min(WINDOWS_TO_FORGET) - 1);
        }
        self.opened = now;
        self.admitted = 0;
        self.ended = 0;
        self.overflowed = 0;
        self.least_queued = queued;
        self.idle = free;
        for count in &mut self.arrivals {
            *count /= 2;
        }
    }

    fn judge(&mut self, view: QueueView) {
        let standing = standing_wait(self.least_queued, view);
        let bound = (view.usual / 2).clamp(STANDING_LOW, STANDING_HIGH);
        self.strained = self.overflowed > 0 || standing > bound;
        if self.strained {
            self.raise();
        } else if self.idle {
            self.release(self.step);
            self.step = (self.step * 2).min(RELEASE_LIMIT);
        } else {
            self.release(1);
        }
    }

    /// Windows in which no event came at all were idle.
    fn pass_quiet(&mut self, windows: u128) {
        for _ in 0..windows {
            if self.level == 0 {
                return;
            }
            self.release(self.step);
            self.step = (self.step * 2).min(RELEASE_LIMIT);
        }
    }

    fn raise(&mut self) {
        self.step = RELEASE_STEP;
        let admitted = f64::from(self.admitted.max(1));
        let excess = 1.0 - f64::from(self.ended) / admitted;
        let share = excess.clamp(CUT_SHARE.0, CUT_SHARE.1);
        let from = usize::from(self.level);
        let total: u32 = self.arrivals[from..].iter().sum();
        let mut rest = f64::from(total) * share;
        let mut level = self.level;
        while rest > 0.0 && level < rank::LEVELS - 1 {
            rest -= f64::from(self.arrivals[usize::from(level)]);
            level += 1;
        }
        self.level = level;
    }

    fn release(&mut self, step: u16) {
        self.level = self.level.saturating_sub(step);
        if self.level == 0 {
            self.step = RELEASE_STEP;
        }
    }
}

fn standing_wait(queued: usize, view: QueueView) -> Duration {
    let queued = u32::try_from(queued).unwrap_or(u32::MAX);
    view.usual.saturating_mul(queued) / view.limit.max(1)
}
