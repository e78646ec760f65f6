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
    /// Adjacent levels that share a counter.
    levels_per_counter: u16,
    counts: Vec<u32>,
    rates: Vec<f64>,
}

impl Default for LevelDemand {
    fn default() -> Self {
        Self::with_levels_per_counter(1)
    }
}

impl LevelDemand {
    /// Creates a table in which `levels_per_counter` adjacent levels share a counter, for owners
    /// that hold many tables.
    pub fn with_levels_per_counter(levels_per_counter: u16) -> Self {
        let counters = usize::from(rank::LEVELS.div_ceil(levels_per_counter));
        Self {
            levels_per_counter,
            counts: vec![0; counters],
            rates: vec![0.0; counters],
        }
    }

    fn counter(&self, level: u16) -> usize {
        usize::from(level / self.levels_per_counter)
    }

    /// Counts an arriving request.
    pub fn count_arrival(&mut self, level: u16) {
        let counter = self.counter(level);
        self.counts[counter] += 1;
    }

    /// Folds the counts of a window of length `span` into the rates; `line` is the lowest level
    /// that was admitted during the window.
    pub fn close_window(&mut self, line: u16, span: Duration) {
        let seconds = span.as_secs_f64().max(1e-6);
        let lowest = self.counter(line);
        for (counter, count) in self.counts.iter_mut().enumerate() {
            let rate = f64::from(*count) / seconds;
            let known = &mut self.rates[counter];
            let smoothed = *known + (rate - *known) * DEMAND_WEIGHT;
            let seen = counter >= lowest;
            *known = if seen { smoothed } else { smoothed.max(*known) };
            *count = 0;
        }
    }

    /// Requests a second at `level` and above.
    pub fn rate_from(&self, level: u16) -> f64 {
        self.rates[self.counter(level)..].iter().sum()
    }

    /// The level at or above `level` that excludes `share` of the requests that `level` admits.
    pub fn raised(&self, level: u16, share: f64) -> u16 {
        let from = self.counter(level);
        let counted = self.rates.iter().zip(&self.counts);
        let weights: Vec<f64> = counted
            .map(|(rate, count)| rate + f64::from(*count) * DEMAND_WEIGHT)
            .collect();
        let total: f64 = weights[from..].iter().sum();
        let mut rest = total * share;
        let mut raised = level;
        while rest > 0.0 && raised < rank::LEVELS - 1 {
            rest -= weights[self.counter(raised)];
            raised = (raised / self.levels_per_counter + 1) * self.levels_per_counter;
        }
        raised.min(rank::LEVELS - 1)
    }

    /// The level at or below `level` that admits `room` more requests a second, at most `steps`
    /// lower.
    pub fn lowered(&self, level: u16, steps: u16, room: f64) -> u16 {
        let lowest = level.saturating_sub(steps);
        let mut rest = room;
        let mut lowered = level;
        while lowered > lowest && rest > 0.0 {
            lowered -= 1;
            rest -= self.rates[self.counter(lowered)] / f64::from(self.levels_per_counter);
        }
        lowered
    }
}
