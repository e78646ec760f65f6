//! Rate of recent events.

use std::time::Duration;

use anvil_types::time;

/// Time constant of the average.
const SPAN_SECONDS: f64 = 5.0;

/// An event rate that decays exponentially.
#[derive(Clone, Copy, Debug)]
pub struct EventMeter {
    rate: f64,
    at: time::NodeTime,
}

impl EventMeter {
    /// A meter without events.
    pub fn new(now: time::NodeTime) -> Self {
        Self { rate: 0.0, at: now }
    }

    /// Counts one event.
    pub fn count(&mut self, now: time::NodeTime) {
        self.rate = self.rate(now) + 1.0 / SPAN_SECONDS;
        self.at = now;
    }

    /// Events a second.
    pub fn rate(&self, now: time::NodeTime) -> f64 {
        let passed = self.idle_time(now).as_secs_f64();
        self.rate * (-passed / SPAN_SECONDS).exp()
    }

    /// Time since the last event.
    pub fn idle_time(&self, now: time::NodeTime) -> Duration {
        now.since(self.at)
    }

    /// Number of events that were expected since the last one.
    pub fn missed_events(&self, now: time::NodeTime) -> f64 {
        self.rate * self.idle_time(now).as_secs_f64()
    }
}
