//! Limits a choice to a part of the targets of a large service.

use rand_core::Rng;
use rand_pcg::Pcg32;

/// Targets of the own zone, and of all others, that one choice looks at. A choice among 200 targets
/// would otherwise take longer than 5 µs.
const MAX_TARGETS: u32 = 24;

/// Targets that one choice looks at.
pub(super) const MAX_CANDIDATES: usize = 2 * MAX_TARGETS as usize;

/// A range of consecutive targets from a random one on, with wrap-around. Tables are sorted by node
/// id, which nodes draw at random, so consecutive targets are a random sample.
#[derive(Clone, Copy, Debug)]
struct IndexWindow {
    start: u32,
    count: u32,
}

impl IndexWindow {
    fn draw(count: u32, source: &mut Pcg32) -> Self {
        let start = match count > MAX_TARGETS {
            true => source.next_u32() % count,
            false => 0,
        };
        Self { start, count }
    }

    fn contains(&self, index: u32) -> bool {
        let distance = match index >= self.start {
            true => index - self.start,
            false => index + self.count - self.start,
        };
        distance < MAX_TARGETS
    }

    fn is_partial(&self) -> bool {
        self.count > MAX_TARGETS
    }
}

/// The part of the own zone's targets and of the others that a choice looks at.
///
/// The two are limited apart, so that the only target of the own zone is always looked at.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetWindow {
    own: IndexWindow,
    others: IndexWindow,
    own_seen: u32,
    others_seen: u32,
}

impl TargetWindow {
    /// Draws the part of `own` and `others` targets.
    pub(super) fn draw(own: u32, others: u32, source: &mut Pcg32) -> Self {
        Self {
            own: IndexWindow::draw(own, source),
            others: IndexWindow::draw(others, source),
            own_seen: 0,
            others_seen: 0,
        }
    }

    /// Whether the next target of the table belongs to the part; to be called for each in order.
    pub(super) fn takes_next(&mut self, is_own_zone: bool) -> bool {
        let (window, seen) = match is_own_zone {
            true => (&self.own, &mut self.own_seen),
            false => (&self.others, &mut self.others_seen),
        };
        *seen += 1;
        window.contains(*seen - 1)
    }

    /// Whether targets of the own zone were left out.
    pub(super) fn is_own_partial(&self) -> bool {
        self.own.is_partial()
    }

    /// Whether any targets were left out.
    pub(super) fn is_partial(&self) -> bool {
        self.own.is_partial() || self.others.is_partial()
    }
}
