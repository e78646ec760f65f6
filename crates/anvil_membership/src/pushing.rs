//! The budget of rumours.

use anvil_types::time;

use crate::config;

/// Whether a rumour is wanted, and how many may go.
///
/// A change pushed at once reaches the fleet in a few hops instead of a few periods. The budget
/// keeps a storm of changes, such as a zone's loss, from becoming a storm of datagrams: what finds
/// no budget rides on the next rumour or on the probes.
#[derive(Clone, Debug)]
pub struct PushState {
    wanted: bool,
    tokens: u32,
    earned: time::NodeTime,
    next: time::NodeTime,
}

impl PushState {
    /// Starts with a full budget.
    pub fn new(config: &config::FleetConfig, now: time::NodeTime) -> Self {
        Self {
            wanted: false,
            tokens: config.rumour_burst,
            earned: now,
            next: now,
        }
    }

    /// Wants a rumour.
    pub fn request(&mut self) {
        self.wanted = true;
    }

    /// Whether a rumour goes now.
    pub fn take(&mut self, config: &config::FleetConfig, now: time::NodeTime) -> bool {
        self.earn(config, now);
        if !self.wanted || self.tokens == 0 {
            return false;
        }
        self.wanted = false;
        self.tokens -= 1;
        true
    }

    /// When a wanted rumour may go that found no budget.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        self.wanted.then_some(self.next)
    }

    fn earn(&mut self, config: &config::FleetConfig, now: time::NodeTime) {
        let micros = config.rumour_interval.as_micros().max(1);
        let count = now.since(self.earned).as_micros() / micros;
        let missing = u128::from(config.rumour_burst - self.tokens);
        if count >= missing {
            self.tokens = config.rumour_burst;
            self.earned = now;
        } else {
            self.tokens += u32::try_from(count).unwrap_or(0);
            let step = config.rumour_interval * u32::try_from(count).unwrap_or(0);
            self.earned = self.earned + step;
        }
        self.next = self.earned + config.rumour_interval;
    }
}
