//! Lines that refuse requests whose downstream calls would be refused; see
//! `docs/design/whole-requests.md`.

use std::time::Duration;

use anvil_types::time;
use anvil_wire::call;
use serde::Serialize;

use crate::{demand, kind, rank};

/// Shortest window, provided that it has [`MIN_WINDOW_RUNS`].
pub const MIN_WINDOW: Duration = Duration::from_millis(200);

/// Longest window.
pub const MAX_WINDOW: Duration = Duration::from_secs(1);

/// Number of runs from which a window may close before [`MAX_WINDOW`].
pub const MIN_WINDOW_RUNS: f64 = 16.0;

/// Share of the runs that may be refused below without a change of the line. A line settles where
/// about this share fails, and less than 5% of the started requests may fail.
pub const TOLERATED_SHARE: f64 = 0.04;

/// Number of refused runs below which a line is not raised, so that a kind with few runs does not
/// react to a single failure.
pub const MIN_REFUSED: f64 = 2.0;

/// Weight of a window with few runs in the next one. Without it, a kind with one run a second would
/// never reach [`MIN_REFUSED`].
const CARRIED_WEIGHT: f64 = 0.75;

/// Smallest number of refused runs that is carried into the next window.
const MIN_CARRIED: f64 = 0.5;

/// Largest share of the admitted requests that one window excludes; the others are the probes.
pub const MAX_EXCLUDED_SHARE: f64 = 0.9;

/// First step, in levels, by which a line is lowered; it doubles with each [`MIN_WINDOW`] in which
/// nothing is refused.
pub const RELEASE_STEP: u16 = 16;

/// Largest step, in levels.
pub const MAX_RELEASE_STEP: u16 = 512;

/// First share by which a step may increase the admitted requests; it doubles like the step.
const RELEASE_GROWTH: f64 = 0.05;

/// Step, in levels, for each [`MIN_WINDOW`] while the service below is short of capacity. What is
/// admitted too much shows only after the run time.
const PRESSED_STEP: u16 = 2;

/// Time for which the service below counts as short of capacity after its line was last seen.
const PRESSURE_HOLD: Duration = Duration::from_millis(600);

/// Time without a refused run after which a line is lowered.
const QUIET_TIME: Duration = Duration::from_millis(600);

/// Largest number of steps at the end of one window.
const MAX_STEPS: u128 = 16;

/// Time without a run after which a line starts to decay.
pub const LINE_FRESH: Duration = Duration::from_secs(1);

/// Time without a run after which no line is left.
pub const LINE_EXPIRY: Duration = Duration::from_secs(2);

/// Time over which the rate of completed runs is averaged.
const COMPLETED_TIME: Duration = Duration::from_secs(2);

/// Smallest part of the share that was refused by which a line rises. In between, it rises to what
/// was completed.
const MIN_EXCLUDED: f64 = 0.8;

/// Time after which a rise must have lowered the share that is refused, unless the needed calls
/// have a line.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// Part of the former share to which a rise must lower it.
const TRIAL_SHARE: f64 = 0.75;

/// Share from which on nearly no run is completed; the line then stays even if it has no effect.
const HOPELESS_SHARE: f64 = 0.9;

/// Time without a line after a rise that had no effect.
const TRIAL_PAUSE: Duration = Duration::from_secs(10);

/// Largest share of the admitted requests that a rise excludes while its effect is unknown.
const TRIAL_EXCLUDED: f64 = 0.3;

/// Capacity of the table of kinds; the least recently used one is evicted.
pub const MAX_KINDS: usize = 64;

/// Number of levels that share a counter of demand, to bound memory to 1.5 KB for each kind.
const LEVELS_PER_COUNTER: u16 = 8;

/// Result of a run of the local target, as far as the line of its kind is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The target answered completely.
    Completed,
    /// The run failed because a call that it made, or one further down, was refused for lack of
    /// capacity.
    RefusedBelow,
    /// The run failed for another reason. Refusing more requests would not help.
    Other,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// The result.
    pub end: RunEnd,
    /// The lowest level that the calls admit which runs of this kind need; zero if they have no
    /// line. With a line, their service is short of capacity even if all runs of a window were
    /// completed.
    pub needed_level: u16,
}

/// A line that has appeared or gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineChange {
    /// The kind has a line now.
    Appeared(call::CutLine),
    /// The kind has no line any more.
    Gone,
}

/// Line and windows of one kind of request.
#[derive(Clone, Debug, Serialize)]
struct KindLine {
    #[serde(serialize_with = "serialize_kind")]
    kind: kind::CallKind,
    level: u16,
    step: u16,
    growth: f64,
    /// When the latest run ended.
    at: time::NodeTime,
    /// When the line was last lowered or checked for it.
    released: time::NodeTime,
    /// When a run was last refused below.
    refused_at: time::NodeTime,
    /// The highest line of the needed calls within [`PRESSURE_HOLD`], and when it was seen.
    needed_level: u16,
    needed_at: time::NodeTime,
    /// When the line last rose, and the share that was refused before.
    raised_at: time::NodeTime,
    raised_share: f64,
    /// Until when the line stays away because it had no effect.
    paused_until: time::NodeTime,
    opened: time::NodeTime,
    /// Runs of the window that the line admits, and those of them that were refused below.
    runs: f64,
    refused: f64,
    /// Runs of the window that were completed, whether or not the line admits them.
    completed: f64,
    /// Completed runs a second.
    completed_rate: f64,
    #[serde(skip)]
    demand: demand::LevelDemand,
}

impl KindLine {
    fn new(now: time::NodeTime, kind: kind::CallKind) -> Self {
        Self {
            kind,
            level: 0,
            step: RELEASE_STEP,
            growth: RELEASE_GROWTH,
            at: now,
            released: now,
            refused_at: time::NodeTime::START,
            needed_level: 0,
            needed_at: now,
            raised_at: now,
            raised_share: 0.0,
            paused_until: time::NodeTime::START,
            opened: now,
            runs: 0.0,
            refused: 0.0,
            completed: 0.0,
            completed_rate: 0.0,
            demand: demand::LevelDemand::with_levels_per_counter(LEVELS_PER_COUNTER),
        }
    }

    /// The lowest level that is admitted now.
    fn level_at(&self, now: time::NodeTime) -> u16 {
        let age = now.since(self.at);
        if age <= LINE_FRESH {
            return self.level;
        }
        let left = LINE_EXPIRY.saturating_sub(age).as_micros();
        let span = (LINE_EXPIRY - LINE_FRESH).as_micros();
        u16::try_from(u128::from(self.level) * left / span).unwrap_or(self.level)
    }

    fn run_ended(&mut self, now: time::NodeTime, rank: &rank::CallRank, report: RunReport) {
        // A target that is broken must not keep a line in force.
        if report.end == RunEnd::Other {
            return;
        }
        self.level = self.level_at(now);
        self.at = now;
        if report.needed_level >= self.needed_level || now.since(self.needed_at) > PRESSURE_HOLD {
            self.needed_level = report.needed_level;
            self.needed_at = now;
        }
        let level = rank.level();
        self.demand.count_arrival(level);
        self.completed += f64::from(u8::from(report.end == RunEnd::Completed));
        // A request below the line was started before the line rose. Its failure says nothing about
        // the requests that the line admits.
        if level >= self.level {
            self.runs += 1.0;
            if report.end == RunEnd::RefusedBelow {
                self.refused += 1.0;
                self.refused_at = now;
                self.reset_release();
            }
        }
        let span = now.since(self.opened);
        if span >= MAX_WINDOW || span >= MIN_WINDOW && self.runs >= MIN_WINDOW_RUNS {
            self.close_window(now, span);
        }
        let idle = now.since(self.released);
        if idle >= MIN_WINDOW {
            self.released = now;
            if now.since(self.refused_at) >= QUIET_TIME {
                for _ in 0..min_windows(idle) {
                    self.release();
                }
            }
        }
    }

    fn close_window(&mut self, now: time::NodeTime, span: Duration) {
        let seconds = span.as_secs_f64();
        let weight = (seconds / COMPLETED_TIME.as_secs_f64()).min(1.0);
        self.completed_rate += (self.completed / seconds - self.completed_rate) * weight;
        self.demand.close_window(self.level, span);
        let share = self.refused / self.runs.max(1.0);
        let (runs, refused) = (self.runs, self.refused);
        (self.runs, self.refused, self.completed) = (0.0, 0.0, 0.0);
        self.opened = now;
        if share > TOLERATED_SHARE && refused >= MIN_REFUSED {
            self.adjust(now, share);
        } else if refused >= MIN_CARRIED {
            self.runs = runs * CARRIED_WEIGHT;
            self.refused = refused * CARRIED_WEIGHT;
        } else if self.needed_level > self.level / 2 {
            self.level = self.level.saturating_sub(PRESSED_STEP);
        }
    }

    /// Raises the line, or removes it if its last rise had no effect.
    fn adjust(&mut self, now: time::NodeTime, share: f64) {
        let is_trial = self.needed_level == 0 && share < HOPELESS_SHARE;
        if is_trial {
            if now < self.paused_until {
                return;
            }
            if self.level > 0 {
                if now.since(self.raised_at) < TRIAL_TIME {
                    return;
                }
                if share > self.raised_share * TRIAL_SHARE {
                    self.level = 0;
                    self.paused_until = now + TRIAL_PAUSE;
                    return;
                }
            }
        }
        let excess = 1.0 - self.completed_rate / self.demand.rate_from(self.level);
        let excluded = excess.clamp(share * MIN_EXCLUDED, share);
        let most = if is_trial {
            TRIAL_EXCLUDED
        } else {
            MAX_EXCLUDED_SHARE
        };
        self.level = self.demand.raised(self.level, excluded.min(most));
        self.raised_at = now;
        self.raised_share = share;
    }

    fn reset_release(&mut self) {
        self.step = RELEASE_STEP;
        self.growth = RELEASE_GROWTH;
    }

    fn release(&mut self) {
        if self.needed_level > self.level / 2 {
            self.reset_release();
            return;
        }
        let admitted = self.demand.rate_from(self.level);
        let room = admitted * self.growth;
        self.level = self.demand.lowered(self.level, self.step, room);
        self.step = (self.step * 2).min(MAX_RELEASE_STEP);
        self.growth *= 2.0;
        if self.level == 0 {
            self.reset_release();
        }
    }
}

/// Writes the kind to the dump as log lines and `explain` show it.
fn serialize_kind<Writer>(
    kind: &kind::CallKind,
    writer: Writer,
) -> Result<Writer::Ok, Writer::Error>
where
    Writer: serde::Serializer,
{
    writer.collect_str(kind)
}

/// How many times [`MIN_WINDOW`] passed within `span`.
fn min_windows(span: Duration) -> u16 {
    let windows = span.as_millis() / MIN_WINDOW.as_millis();
    u16::try_from(windows.clamp(1, MAX_STEPS)).unwrap_or(1)
}

/// The lines of the local target by kind of request, derived from the share of its runs that fail
/// because a call further down is refused.
///
/// The line of a kind rises at once by the share that was refused, and not beyond what was
/// completed. It applies to requests of that kind only.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CompletionControl {
    /// Sorted by kind.
    kinds: Vec<KindLine>,
}

impl CompletionControl {
    /// Creates a control without lines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the end of a run, and returns whether a line appeared or went.
    pub fn run_ended(
        &mut self,
        now: time::NodeTime,
        kind: kind::CallKind,
        rank: &rank::CallRank,
        report: RunReport,
    ) -> Option<LineChange> {
        let index = self.find_or_insert(now, kind);
        let entry = &mut self.kinds[index];
        let before = rank::line_for_level(entry.level);
        entry.run_ended(now, rank, report);
        match (before, rank::line_for_level(entry.level)) {
            (None, Some(line)) => Some(LineChange::Appeared(line)),
            (Some(_), None) => Some(LineChange::Gone),
            (None, None) | (Some(_), Some(_)) => None,
        }
    }

    /// The line of `kind`; `None` if all its requests are admitted.
    pub fn line(&self, now: time::NodeTime, kind: kind::CallKind) -> Option<call::CutLine> {
        let index = self.search(kind).ok()?;
        rank::line_for_level(self.kinds[index].level_at(now))
    }

    /// Whether a request of `kind` and `rank` is refused because of the line.
    pub fn refuses(
        &self,
        now: time::NodeTime,
        kind: kind::CallKind,
        rank: &rank::CallRank,
    ) -> bool {
        !rank::admits(self.line(now, kind).as_ref(), rank)
    }

    /// The kinds that have a line, with the lowest level that it admits.
    pub fn levels(
        &self,
        now: time::NodeTime,
    ) -> impl Iterator<Item = (kind::CallKind, u16)> + use<'_> {
        let levels = self
            .kinds
            .iter()
            .map(move |line| (line.kind, line.level_at(now)));
        levels.filter(|(_, level)| *level > 0)
    }

    fn search(&self, kind: kind::CallKind) -> Result<usize, usize> {
        self.kinds.binary_search_by_key(&kind, |line| line.kind)
    }

    fn find_or_insert(&mut self, now: time::NodeTime, kind: kind::CallKind) -> usize {
        if let Ok(index) = self.search(kind) {
            return index;
        }
        if self.kinds.len() >= MAX_KINDS {
            let oldest = (0..self.kinds.len()).min_by_key(|index| self.kinds[*index].at);
            oldest.map(|index| self.kinds.remove(index));
        }
        let index = self.search(kind).unwrap_or_else(|index| index);
        self.kinds.insert(index, KindLine::new(now, kind));
        index
    }
}
