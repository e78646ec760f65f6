//! The budget of rumours.

use anvil_types::time;

use crate::config;

/// Rumours kept for ends and leavings; a storm of joins may not use them up.
const URGENT_TOKENS: u32 = 2;

/// Whether a rumour is wanted, and how many may go.
///
/// A change pushed at once reaches the fleet in a few hops instead of a few periods. The budget
/// keeps a storm of changes, such as a zone's loss, from becoming a storm of datagrams: what finds
/// no budget rides on the next rumour or on the probes.
#[derive(Clone, Debug)]
pub struct PushState {
    wanted: u8,
    urgent: bool,
    tokens: u32,
    earned: time::NodeTime,
    next: time::NodeTime,
}

impl PushState {
    /// Starts with a full budget.
    pub fn new(config: &config::FleetConfig, now: time::NodeTime) -> Self {
        Self {
            wanted: 0,
            urgent: false,
            tokens: config.rumour_burst,
            earned: now,
            next: now,
        }
    }

    /// Wants a rumour.
    pub fn request(&mut self) {
        self.wanted = self.wanted.max(1);
    }

    /// Wants two rumours, one behind the other.
    ///
    /// One rumour of each node to four others misses one member in fifty, which then hears with
    /// the probes, seconds later. An end or a leaving must not wait for that: work would go to a
    /// target that refuses it. Two rumours miss one in three thousand.
    pub fn request_twice(&mut self) {
        self.wanted = 2;
        self.urgent = true;
    }

    /// Whether a rumour goes now.
    pub fn take(&mut self, config: &config::FleetConfig, now: time::NodeTime) -> bool {
        self.earn(config, now);
        let kept = if self.urgent { 0 } else { URGENT_TOKENS };
        if self.wanted == 0 || self.tokens <= kept {
            return false;
        }
        self.wanted -= 1;
        self.urgent &= self.wanted > 0;
        self.tokens -= 1;
        true
    }

    /// When a wanted rumour may go that found no budget.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        (self.wanted > 0).then_some(self.next)
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
