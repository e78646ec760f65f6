//! Order in which requests are served and shed; see `docs/design/shedding.md`.

use anvil_types::context;
use anvil_wire::call;
use serde::{Deserialize, Serialize};

/// Number of lanes in a class.
pub const LANES: u16 = 256;

/// Number of levels over all classes; requests at low levels are shed first.
pub const LEVELS: u16 = LANES * 4;

/// Number of lanes by which cut lines favor calls of requests that an entry node has admitted.
///
/// Each target of a downstream service sets its own cut line, and these lines differ by some lanes
/// from moment to moment. Without the bonus, an admitted request that makes eight calls to the
/// service fails at the highest of eight lines, after most of its work is done. Entry nodes follow
/// the line within the next few answers, so few requests are admitted beyond it.
pub const ADMITTED_LANE_BONUS: u16 = 64;

/// Rank of a request among others.
///
/// The derived order is the order of service: the greater rank is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallRank {
    /// Priority class; compared first.
    pub class: context::PriorityClass,
    /// Class that the rules gave the request, if its effective class comes from its client account;
    /// compared second.
    pub by_rule: Option<context::PriorityClass>,
    /// Number of hops above; compared third, because the cost of a deep request is already spent.
    pub depth: u8,
    /// Lane; compared last, low lanes are served first.
    pub lane: std::cmp::Reverse<context::LaneHash>,
}

impl CallRank {
    /// The rank of a call with `context`.
    pub const fn of(context: &context::CallContext) -> Self {
        Self {
            class: context.class,
            by_rule: context.rule_class,
            depth: context.depth,
            lane: std::cmp::Reverse(context.lane),
        }
    }

    /// Shedding level of the request, from zero to [`LEVELS`] less one; requests at high levels are
    /// shed last. It does not depend on the depth, so that every node sheds the same requests.
    pub fn level(&self) -> u16 {
        level(self.class, self.lane.0)
    }

    /// Level that is compared with cut lines: calls of admitted requests are
    /// [`ADMITTED_LANE_BONUS`] lanes higher, within their class.
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

/// The lowest level that `line` admits; zero if there is no line.
pub fn line_level(line: Option<&call::CutLine>) -> u16 {
    line.map_or(0, |line| level(line.class, line.lane))
}

/// The cut line that admits `level` and above, or `None` if that admits everything.
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
