//! The load and the pace that the local target states in its answers; see
//! `docs/design/placement.md`.

use std::str::FromStr;
use std::time::Duration;

use anvil_types::{number, time};
use derive_more::{Display, Error};
use serde::Serialize;

/// Age up to which a stated pace is used. It changes many times a second, so an older one says
/// nothing about the next run.
pub const PACE_EXPIRY: Duration = Duration::from_secs(1);

/// The usual pace, in percent.
pub const USUAL_PERCENT: u16 = 100;

/// Pace that stands for all higher ones, in percent.
pub const MAX_PERCENT: u16 = 10_000;

/// Pace from which a target counts as slow, in percent.
pub const SLOW_PERCENT: u16 = 200;

/// Pace below which a slow target counts as usual again, in percent. The distance to
/// [`SLOW_PERCENT`] keeps a pace that fluctuates from logging a line with each answer.
pub const RECOVERED_PERCENT: u16 = 140;

/// What a target states about its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct StatedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the target itself.
    pub waiting: u32,
    /// Requests that it can run concurrently; at least one.
    pub slots: u32,
    /// Time that work takes at present, in percent of the usual time; none if it is not stated.
    pub pace_percent: Option<u16>,
}

/// The text is not a load.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a load: expected running,waiting,slots and optionally the pace in percent")]
pub struct MalformedLoad;

impl FromStr for StatedLoad {
    type Err = MalformedLoad;

    /// Parses `running,waiting,slots` or `running,waiting,slots,pace`.
    fn from_str(text: &str) -> Result<Self, MalformedLoad> {
        let mut fields = text.split(',');
        let mut next = || fields.next().map(integer).transpose();
        let counts = (next()?, next()?, next()?);
        let pace = fields.next().map(percent).transpose()?;
        let ((Some(running), Some(waiting), Some(slots)), None) = (counts, fields.next()) else {
            return Err(MalformedLoad);
        };
        if slots == 0 {
            return Err(MalformedLoad);
        }
        Ok(Self {
            running,
            waiting,
            slots,
            pace_percent: pace,
        })
    }
}

/// Parses decimal digits; unlike [`u32::from_str`] it accepts no sign.
fn integer(field: &str) -> Result<u32, MalformedLoad> {
    let field = field.trim_matches([' ', '\t']);
    match field.bytes().all(|byte| byte.is_ascii_digit()) {
        true => field.parse().map_err(|_| MalformedLoad),
        false => Err(MalformedLoad),
    }
}

/// Parses a pace, rounded to a whole one from 1 to [`MAX_PERCENT`].
fn percent(field: &str) -> Result<u16, MalformedLoad> {
    let field = field.trim_matches([' ', '\t']);
    let pace: number::StatedNumber = field.parse().map_err(|_| MalformedLoad)?;
    if pace.get() == 0.0 {
        return Err(MalformedLoad);
    }
    let rounded = number::StatedNumber::try_from(pace.get().round());
    let rounded = rounded.map_err(|_| MalformedLoad)?.floor_u16();
    Ok(rounded.clamp(1, MAX_PERCENT))
}

/// How the pace of a target changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceChange {
    /// It counts as before.
    None,
    /// The target counts as slow from now on.
    Slowed,
    /// The target counts as usual again.
    Recovered,
}

/// The latest load that one incarnation of a target stated.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TargetPace {
    load: Option<StatedLoad>,
    stated_at: time::NodeTime,
    is_slow: bool,
    was_malformed: bool,
    /// The pace in percent at the latest event; none if it is not stated or outdated.
    current: Option<u16>,
}

impl TargetPace {
    /// Records the load that an answer states.
    pub fn record(&mut self, now: time::NodeTime, load: StatedLoad) -> PaceChange {
        self.load = Some(load);
        self.stated_at = now;
        self.age(now);
        let percent = load.pace_percent.unwrap_or(USUAL_PERCENT);
        let is_slow = match self.is_slow {
            true => percent >= RECOVERED_PERCENT,
            false => percent >= SLOW_PERCENT,
        };
        match (std::mem::replace(&mut self.is_slow, is_slow), is_slow) {
            (false, true) => PaceChange::Slowed,
            (true, false) => PaceChange::Recovered,
            _ => PaceChange::None,
        }
    }

    /// Records that an answer states something that is not a load; returns whether it is the first.
    /// What was stated before still counts until it is outdated.
    pub fn record_malformed(&mut self) -> bool {
        !std::mem::replace(&mut self.was_malformed, true)
    }

    /// Drops the pace once it is outdated; to be called before the pace is used.
    pub fn age(&mut self, now: time::NodeTime) {
        self.current = self.percent_at(now);
    }

    /// The pace in percent; none if it is not stated or outdated.
    pub fn percent_at(&self, now: time::NodeTime) -> Option<u16> {
        let load = self
            .load
            .filter(|_| now.since(self.stated_at) <= PACE_EXPIRY);
        load.and_then(|load| load.pace_percent)
    }

    /// The load that the latest valid statement contains, whatever its age.
    pub fn load(&self) -> Option<StatedLoad> {
        self.load
    }

    /// The pace as of the last [`Self::age`], in percent; zero if it is not stated or outdated.
    pub fn percent(&self) -> u16 {
        self.current.unwrap_or_default()
    }

    /// Time that a run takes at the present pace if it usually takes `usual`.
    pub fn present_time(&self, usual: Duration) -> Duration {
        usual.saturating_mul(self.divisor()) / u32::from(USUAL_PERCENT)
    }

    /// Time that a run usually takes if it took `present` at the present pace.
    pub fn usual_time(&self, present: Duration) -> Duration {
        present.saturating_mul(u32::from(USUAL_PERCENT)) / self.divisor()
    }

    fn divisor(&self) -> u32 {
        u32::from(self.current.unwrap_or(USUAL_PERCENT))
    }
}
