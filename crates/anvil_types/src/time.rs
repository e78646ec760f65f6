//! Time in the reducer: passed in with each event, monotonic, never read from a clock.

use std::ops;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds on one node's monotonic clock.
///
/// Values of two nodes can't be compared, which is why messages carry deadlines as remaining time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeTime(pub u64);

impl NodeTime {
    /// The start of the node's clock.
    pub const START: Self = Self(0);

    /// Builds a time from whole milliseconds since the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Time since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Sub<Duration> for NodeTime {
    type Output = Self;

    /// Earlier by `span`, but not before the start.
    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl ops::Add<Duration> for NodeTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
