//! The node's monotonic clock; no other module reads it for the reducer.

use std::time::{Duration, Instant};

use anvil_types::time;
use nix::time as system;

/// Translates between the process's clock and the reducer's injected time.
///
/// The clock includes the time in which the machine was suspended. With a clock that stops
/// meanwhile, a resumed node would pass on requests whose deadlines have already passed.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: Duration,
}

impl NodeClock {
    /// Starts the clock at [`time::NodeTime::START`].
    pub fn start() -> Self {
        let start = read();
        Self { start }
    }

    /// The current time, in microseconds since the start.
    pub fn now(&self) -> time::NodeTime {
        let micros = read().saturating_sub(self.start).as_micros();
        time::NodeTime(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The instant that corresponds to `at`, at most one day from now.
    ///
    /// For a later time the engine wakes up early and then queries the reducer again.
    pub fn instant(&self, at: time::NodeTime) -> Instant {
        const MAX_AHEAD: Duration = Duration::from_secs(86_400);
        let now = self.now();
        let ahead = at.since(now).min(MAX_AHEAD);
        Instant::now() + ahead
    }
}

/// Time since the machine booted, including the time in which it was suspended.
fn read() -> Duration {
    let clock = system::ClockId::CLOCK_BOOTTIME;
    // Every kernel since 2.6.39 has CLOCK_BOOTTIME; if it is refused, CLOCK_MONOTONIC is closest.
    let read = system::clock_gettime(clock)
        .or_else(|_| system::clock_gettime(system::ClockId::CLOCK_MONOTONIC));
    read.map(Duration::from).unwrap_or_default()
}
