//! The one place where the node reads its monotonic clock.

use std::time::{Duration, Instant};

use anvil_types::time;
use nix::time as system;

/// Translates between the process's clock and the reducer's injected time.
///
/// The clock counts the time in which the machine was suspended. One that stands still meanwhile
/// would let a node that wakes up pass requests on with time that is gone.
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

    /// The present time, in microseconds since the start.
    pub fn now(&self) -> time::NodeTime {
        let micros = read().saturating_sub(self.start).as_micros();
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

/// Time since the machine started, with the time in which it was suspended.
fn read() -> Duration {
    let clock = system::ClockId::CLOCK_BOOTTIME;
    // Every kernel since 2.6.39 has the clock; the steady one is the nearest where it is refused.
    let read = system::clock_gettime(clock)
        .or_else(|_| system::clock_gettime(system::ClockId::CLOCK_MONOTONIC));
    read.map(Duration::from).unwrap_or_default()
}
