//! Limits the store calls of one node, so that the whole fleet stays within the store's rate
//! limits.

use std::time::Duration;

use anvil_types::time;

/// A node's share of the store's rate limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Time after which one more call is allowed.
    pub interval: Duration,
    /// Calls that may be made at once.
    pub burst: u32,
    /// Concurrent calls, including a waiting watch.
    pub concurrent: u32,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(250),
            burst: 16,
            concurrent: 4,
        }
    }
}

/// Why a call may not be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetRefusal {
    /// Too many calls are in progress.
    Busy,
    /// The rate limit is reached.
    Spent {
        /// When the next call is allowed.
        until: time::NodeTime,
    },
}

/// The budget of one node's store calls.
///
/// Nodes that retry in step after an outage could keep the store down. The budget limits each node
/// regardless of its state modules' demand, and a call refused here has certainly not been made.
#[derive(Clone, Debug)]
pub struct CallBudget {
    limits: BudgetLimits,
    tokens: u32,
    refilled_at: time::NodeTime,
    in_progress: u32,
}

impl CallBudget {
    /// Creates a budget with the full burst available.
    pub fn new(limits: BudgetLimits, now: time::NodeTime) -> Self {
        Self {
            limits,
            tokens: limits.burst,
            refilled_at: now,
            in_progress: 0,
        }
    }

    /// Admits one call or returns why not. An admitted call must be followed by [`Self::end`].
    pub fn begin(&mut self, now: time::NodeTime) -> Result<(), BudgetRefusal> {
        self.refill(now);
        if self.in_progress >= self.limits.concurrent {
            return Err(BudgetRefusal::Busy);
        }
        if self.tokens == 0 {
            let until = self.refilled_at + self.limits.interval;
            return Err(BudgetRefusal::Spent { until });
        }
        self.tokens -= 1;
        self.in_progress += 1;
        Ok(())
    }

    /// Records the end of an admitted call.
    pub fn end(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    fn refill(&mut self, now: time::NodeTime) {
        let micros = self.limits.interval.as_micros().max(1);
        let count = now.since(self.refilled_at).as_micros() / micros;
        let missing = u128::from(self.limits.burst - self.tokens);
        if count >= missing {
            self.tokens = self.limits.burst;
            self.refilled_at = now;
            return;
        }
        let count = u32::try_from(count).unwrap_or(0);
        self.tokens += count;
        self.refilled_at = self.refilled_at + self.limits.interval * count;
    }
}
