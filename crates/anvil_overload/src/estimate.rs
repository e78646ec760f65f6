//! Estimate of the service time: how long a request holds a slot.

use std::time::Duration;

use serde::Serialize;

/// Weight of a new sample in the mean, as its divisor; eight samples roughly halve an old error, as
/// in the round-trip time estimate of TCP (RFC 6298).
const MEAN_DIVISOR: u64 = 8;

/// Weight of a new sample in the deviation, as its divisor (RFC 6298).
const DEVIATION_DIVISOR: u64 = 4;

/// Mean and deviation of the service time, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ServiceEstimate {
    mean: u64,
    deviation: u64,
    seen: bool,
}

impl ServiceEstimate {
    /// Records the service time of one request.
    pub fn observe(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX / 16);
        if !self.seen {
            self.seen = true;
            self.mean = micros;
            self.deviation = micros / 2;
            return;
        }
        let error = micros.abs_diff(self.mean);
        self.deviation = weighted(self.deviation, error, DEVIATION_DIVISOR);
        self.mean = weighted(self.mean, micros, MEAN_DIVISOR);
    }

    /// Mean service time; zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean)
    }

    /// Service time that few requests stay below; zero before the first sample.
    pub fn lower_bound(&self) -> Duration {
        let low = self.mean.saturating_sub(2 * self.deviation);
        Duration::from_micros(low.max(self.mean / 2))
    }
}

fn weighted(old: u64, new: u64, divisor: u64) -> u64 {
    (old * (divisor - 1) + new) / divisor
}
