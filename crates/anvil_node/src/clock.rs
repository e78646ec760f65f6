//! The one place where the node reads its monotonic clock.

use std::time::{Duration, Instant};

use anvil_types::time;

/// Translates between the process's clock and the reducer's injected time.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: Instant,
}

impl NodeClock {
    /// Starts the clock at [`time::NodeTime::START`].
    pub fn start() -> Self {
        let start = Instant::now();
        Self { start }
    }

    /// The present time, in microseconds since the start.
    pub fn now(&self) -> time::NodeTime {
        let micros = self.start.elapsed().as_micros();
        time::NodeTime(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The instant at which the reducer's clock shows `at`; far times are capped at one day, after
    /// which the reducer is woken for nothing and asked again.
    pub fn instant(&self, at: time::NodeTime) -> Instant {
        const FARTHEST: Duration = Duration::from_secs(86_400);
        let now = self.now();
        let ahead = at.since(now).min(FARTHEST);
        Instant::now() + ahead
    }
}
