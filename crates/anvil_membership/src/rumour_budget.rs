//! The budget of rumours.

use std::time::Duration;

use anvil_types::time;

use crate::config;

/// Shortest time between two rumours of changed rules that go beside the budget.
const CHANGE_GAP: Duration = Duration::from_millis(250);

/// Rumours kept for ends and leavings; a storm of joins may not use them up.
const URGENT_TOKENS: u32 = 2;

/// Whether a rumour is wanted, and how many may go.
///
/// A change pushed at once reaches the fleet in a few hops instead of a few periods. The budget
/// keeps a storm of changes, such as a zone's loss, from becoming a storm of datagrams: what finds
/// no budget rides on the next rumour or on the probes.
#[derive(Clone, Debug)]
pub struct RumourBudget {
    wanted: u8,
    urgent: bool,
    change: bool,
    change_next: time::NodeTime,
    tokens: u32,
    earned: time::NodeTime,
    next: time::NodeTime,
}

impl RumourBudget {
    /// Starts with a full budget.
    pub fn new(config: &config::FleetConfig, now: time::NodeTime) -> Self {
        Self {
            wanted: 0,
            urgent: false,
            change: false,
            change_next: now,
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
    pub fn request_urgent(&mut self) {
        self.wanted = 2;
        self.urgent = true;
    }

    /// Wants two rumours of changed rules, of which the first waits for no budget.
    ///
    /// Failure: members vanish, and the news of it uses the budget up while operators change a rule.
    /// Symptom: requests are treated by the old rules for a second longer at each node on the way.
    pub fn request_change(&mut self) {
        self.change = true;
        self.request();
    }

    /// Whether a rumour goes now.
    pub fn try_take(&mut self, config: &config::FleetConfig, now: time::NodeTime) -> bool {
        self.earn(config, now);
        if self.change && now >= self.change_next {
            self.change = false;
            self.change_next = now + CHANGE_GAP;
            return true;
        }
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
        let change = self.change.then_some(self.change_next);
        let others = (self.wanted > 0).then_some(self.next);
        change.into_iter().chain(others).min()
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
