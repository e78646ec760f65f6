//! The order in which requests are served and shed; see `docs/design/shedding.md`.

use anvil_types::context;
use anvil_wire::call;
use serde::{Deserialize, Serialize};

/// Lanes of one class.
pub const LANES: u16 = 256;

/// Levels of all classes together; the level of a request says how late it is shed.
pub const LEVELS: u16 = LANES * 4;

/// Lanes by which a line gives way to calls of requests that have begun.
///
/// Failure: each target of a deep service draws its own line, and these differ by some lanes from moment to
/// moment. Symptom: a request that its entry node let in makes eight calls there and fails by the highest of
/// eight lines, after most of its work is done. An entry node that follows the line refuses what lies below
/// it within the next answers, so what is let in beyond it stays short.
pub const ADMITTED_LANE_BONUS: u16 = 64;

/// Where a request stands among others.
///
/// The derived order is the order of service: a later one is served earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallRank {
    /// Importance; decides first.
    pub class: context::PriorityClass,
    /// What the rules said of it, where the class is that of its client account; decides next.
    pub by_rule: Option<context::PriorityClass>,
    /// Hops above; decides next, since the cost of a deep request is already spent.
    pub depth: u8,
    /// Lane, the low ones served first; decides last.
    pub lane: std::cmp::Reverse<context::LaneHash>,
}

impl CallRank {
    /// The rank that a call's context gives it.
    pub const fn of(context: &context::CallContext) -> Self {
        Self {
            class: context.class,
            by_rule: context.rule_class,
            depth: context.depth,
            lane: std::cmp::Reverse(context.lane),
        }
    }

    /// How late the request is shed, from zero to [`LEVELS`] less one; depth has no part in it,
    /// so that every node sheds the same requests.
    pub fn level(&self) -> u16 {
        level(self.class, self.lane.0)
    }

    /// The level at which lines are asked whether they admit the request: the calls of requests that have
    /// begun stand [`ADMITTED_LANE_BONUS`] higher, within their class.
    pub fn admission_level(&self) -> u16 {
        if self.depth == 0 {
            return self.level();
        }
        let top = level(self.class, context::LaneHash(0));
        (self.level() + ADMITTED_LANE_BONUS).min(top)
    }
}

fn level(class: context::PriorityClass, lane: context::LaneHash) -> u16 {
    class as u16 * LANES + (LANES - 1 - u16::from(lane.0))
}

/// The lowest level that `line` admits; zero admits all.
pub fn line_level(line: Option<&call::CutLine>) -> u16 {
    line.map_or(0, |line| level(line.class, line.lane))
}

/// The cut line that admits `level` and above; none where that is everything.
pub fn line_for_level(level: u16) -> Option<call::CutLine> {
    if level == 0 {
        return None;
    }
    let level = level.min(LEVELS - 1);
    let class = context::PriorityClass::ALL[usize::from(level / LANES)];
    let lane = u8::try_from(LANES - 1 - level % LANES).unwrap_or(u8::MAX);
    Some(call::CutLine {
        class,
        lane: context::LaneHash(lane),
    })
}

/// Whether `line` admits a request of `rank`.
pub fn admits(line: Option<&call::CutLine>, rank: &CallRank) -> bool {
    rank.admission_level() >= line_level(line)
}
