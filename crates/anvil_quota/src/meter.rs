//! Rate of recent events.

use std::time::Duration;

use anvil_types::time;

/// Time constant of the average, unless another one is given.
const DEFAULT_SPAN: Duration = Duration::from_secs(5);

/// An event rate that decays exponentially.
#[derive(Clone, Copy, Debug)]
pub struct EventMeter {
    rate: f64,
    at: time::NodeTime,
    /// In seconds.
    span: f32,
}

impl EventMeter {
    /// A meter without events.
    pub fn new(now: time::NodeTime) -> Self {
        Self::with_span(now, DEFAULT_SPAN)
    }

    /// A meter without events whose average has the time constant `span`.
    pub fn with_span(now: time::NodeTime, span: Duration) -> Self {
        Self {
            rate: 0.0,
            at: now,
            span: span.as_secs_f32(),
        }
    }

    /// Counts one event.
    pub fn count(&mut self, now: time::NodeTime) {
        self.count_many(now, 1);
    }

    /// Counts several events.
    pub fn count_many(&mut self, now: time::NodeTime, events: u32) {
        if events > 0 {
            self.rate = self.rate(now) + f64::from(events) / f64::from(self.span);
            self.at = now;
        }
    }

    /// Events a second.
    pub fn rate(&self, now: time::NodeTime) -> f64 {
        let passed = self.idle_time(now).as_secs_f64();
        self.rate * (-passed / f64::from(self.span)).exp()
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
