//! How much is asked for at each level; see `docs/design/shedding.md`.

use std::time::Duration;

use crate::rank;

/// Weight of one window in the smoothed demand.
pub const DEMAND_WEIGHT: f64 = 0.2;

/// Smoothed arrivals a second at each level.
///
/// What lies below the line is mostly refused elsewhere and not seen here; there the last known
/// demand is kept, so that the line comes down by as much as the slots can take.
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
    /// Counts one request.
    pub fn count_arrival(&mut self, level: u16) {
        self.counts[usize::from(level)] += 1;
    }

    /// Takes the counts of a window of `span` into the rates; `line` is the lowest level admitted
    /// in it.
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

    /// The level above `level` that leaves out `share` of what `level` admits.
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

    /// The level below `level` that lets in `room` more requests a second, at most `steps` lower.
    pub fn lowered(&self, level: u16, steps: u16, room: f64) -> u16 {
        let least = level.saturating_sub(steps);
        let mut rest = room;
        let mut lowered = level;
        while lowered > least && rest > 0.0 {
            lowered -= 1;
            rest -= self.rates[usize::from(lowered)];
        }
        lowered
    }
}
