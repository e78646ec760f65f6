//! Request rate at each shedding level; see `docs/design/shedding.md`.

use std::time::Duration;

use crate::rank;

/// Weight of one window in the exponential moving average.
pub const DEMAND_WEIGHT: f64 = 0.2;

/// Smoothed arrival rate at each level, in requests a second.
///
/// Callers' nodes refuse most requests below the cut line, so they do not arrive here. For those
/// levels the last known rate is retained, so that the line can be lowered by as much as the slots
/// can take.
#[derive(Clone, Debug)]
pub struct LevelDemand {
    counts: Vec<u32>,
    rates: Vec<f64>,
}

impl Default for LevelDemand {
    fn default() -> Self {
        let levels = usize::from(rank::LEVELS);
        Self {
            counts: vec![0; levels],
            rates: vec![0.0; levels],
        }
    }
}

impl LevelDemand {
    /// Counts an arriving request.
    pub fn count_arrival(&mut self, level: u16) {
        self.counts[usize::from(level)] += 1;
    }

    /// Folds the counts of a window of length `span` into the rates; `line` is the lowest level
    /// that was admitted during the window.
    pub fn close_window(&mut self, line: u16, span: Duration) {
        let seconds = span.as_secs_f64().max(1e-6);
        for (level, count) in self.counts.iter_mut().enumerate() {
            let rate = f64::from(*count) / seconds;
            let known = &mut self.rates[level];
            let smoothed = *known + (rate - *known) * DEMAND_WEIGHT;
            let seen = level >= usize::from(line);
            *known = if seen { smoothed } else { smoothed.max(*known) };
            *count = 0;
        }
    }

    /// The level at or above `level` that excludes `share` of the requests that `level` admits.
    pub fn raised(&self, level: u16, share: f64) -> u16 {
        let from = usize::from(level);
        let counted = self.rates.iter().zip(&self.counts);
        let weights: Vec<f64> = counted
            .map(|(rate, count)| rate + f64::from(*count) * DEMAND_WEIGHT)
            .collect();
        let total: f64 = weights[from..].iter().sum();
        let mut rest = total * share;
        let mut raised = level;
        while rest > 0.0 && raised < rank::LEVELS - 1 {
            rest -= weights[usize::from(raised)];
            raised += 1;
        }
        raised
    }

    /// The level at or below `level` that admits `room` more requests a second, at most `steps`
    /// lower.
    pub fn lowered(&self, level: u16, steps: u16, room: f64) -> u16 {
        let lowest = level.saturating_sub(steps);
        let mut rest = room;
        let mut lowered = level;
        while lowered > lowest && rest > 0.0 {
            lowered -= 1;
            rest -= self.rates[usize::from(lowered)];
        }
        lowered
    }
}
