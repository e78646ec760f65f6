//! The rate limit of rumours.

use std::time::Duration;

use anvil_types::time;

use crate::config;

/// Minimum time between two rumours of changed rules that bypass the token budget.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Tokens reserved for urgent rumours, so that a mass join cannot use up the budget.
const RESERVED_TOKENS: u32 = 2;

/// The rumours that are requested, and a token bucket that limits them.
///
/// A rumour that is sent immediately reaches the fleet in a few hops instead of a few probe
/// intervals. The budget keeps many simultaneous changes, such as the loss of a zone, from causing
/// a flood of datagrams; updates without a token are piggybacked on the next rumour or on probes.
#[derive(Clone, Debug)]
pub struct RumourBudget {
    requested: u8,
    urgent: bool,
    change_requested: bool,
    next_change_at: time::NodeTime,
    tokens: u32,
    refilled_at: time::NodeTime,
    next_refill_at: time::NodeTime,
}

impl RumourBudget {
    /// Starts with a full budget.
    pub fn new(config: &config::FleetConfig, now: time::NodeTime) -> Self {
        Self {
            requested: 0,
            urgent: false,
            change_requested: false,
            next_change_at: now,
            tokens: config.rumour_burst,
            refilled_at: now,
            next_refill_at: now,
        }
    }

    /// Requests a rumour.
    pub fn request(&mut self) {
        self.requested = self.requested.max(1);
    }

    /// Requests two consecutive rumours, which may use the reserved tokens.
    ///
    /// If each node sends one rumour to four others, one member in fifty is missed and receives the
    /// update with a probe seconds later. For a departure or a refutation that is too late:
    /// requests would be sent to a target that refuses them. Two rumours miss one member in three
    /// thousand.
    pub fn request_urgent(&mut self) {
        self.requested = 2;
        self.urgent = true;
    }

    /// Requests two rumours of changed rules, the first of which bypasses the token budget.
    ///
    /// If the departures of many members use up the budget while an operator changes a rule, each
    /// hop of the change would otherwise take up to a second longer.
    pub fn request_change(&mut self) {
        self.change_requested = true;
        self.request();
    }

    /// Takes one requested rumour, if it may be sent now.
    pub fn try_take(&mut self, config: &config::FleetConfig, now: time::NodeTime) -> bool {
        self.refill(config, now);
        if self.change_requested && now >= self.next_change_at {
            self.change_requested = false;
            self.next_change_at = now + CHANGE_INTERVAL;
            return true;
        }
        let reserved = if self.urgent { 0 } else { RESERVED_TOKENS };
        if self.requested == 0 || self.tokens <= reserved {
            return false;
        }
        self.requested -= 1;
        self.urgent &= self.requested > 0;
        self.tokens -= 1;
        true
    }

    /// When a requested rumour may be sent.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        let change = self.change_requested.then_some(self.next_change_at);
        let others = (self.requested > 0).then_some(self.next_refill_at);
        change.into_iter().chain(others).min()
    }

    fn refill(&mut self, config: &config::FleetConfig, now: time::NodeTime) {
        let micros = config.rumour_interval.as_micros().max(1);
        let count = now.since(self.refilled_at).as_micros() / micros;
        let missing = u128::from(config.rumour_burst - self.tokens);
        if count >= missing {
            self.tokens = config.rumour_burst;
            self.refilled_at = now;
        } else {
            self.tokens += u32::try_from(count).unwrap_or(0);
            let step = config.rumour_interval * u32::try_from(count).unwrap_or(0);
            self.refilled_at = self.refilled_at + step;
        }
        self.next_refill_at = self.refilled_at + config.rumour_interval;
    }
}
