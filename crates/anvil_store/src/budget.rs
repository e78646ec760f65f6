//! How many calls one node may make, so that the fleet as a whole stays within the store's rates.

use std::time::Duration;

use anvil_types::time;

/// A node's share of the store's rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Time in which one more call is earned.
    pub interval: Duration,
    /// Calls that may follow one another at once.
    pub burst: u32,
    /// Calls out at the same moment, a waiting watch among them.
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

/// Why a call is not made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetRefusal {
    /// Too many calls are out.
    Busy,
    /// The rate is used up; the next call is earned then.
    Spent {
        /// When.
        until: time::NodeTime,
    },
}

/// The calls of one node.
///
/// Nodes that retry in step after an outage would keep the store down; a node's own bound holds
/// whatever its state modules ask for, and a call refused here is known not to have been made.
#[derive(Clone, Debug)]
pub struct CallBudget {
    limits: BudgetLimits,
    tokens: u32,
    earned: time::NodeTime,
    out: u32,
}

impl CallBudget {
    /// Starts with the whole burst.
    pub fn new(limits: BudgetLimits, now: time::NodeTime) -> Self {
        Self {
            limits,
            tokens: limits.burst,
            earned: now,
            out: 0,
        }
    }

    /// Lets one call begin, or says why not; an admitted call must [`Self::end`].
    pub fn begin(&mut self, now: time::NodeTime) -> Result<(), BudgetRefusal> {
        self.earn(now);
        if self.out >= self.limits.concurrent {
            return Err(BudgetRefusal::Busy);
        }
        if self.tokens == 0 {
            let until = self.earned + self.limits.interval;
            return Err(BudgetRefusal::Spent { until });
        }
        self.tokens -= 1;
        self.out += 1;
        Ok(())
    }

    /// Notes that an admitted call ended.
    pub fn end(&mut self) {
        self.out = self.out.saturating_sub(1);
    }

    fn earn(&mut self, now: time::NodeTime) {
        let micros = self.limits.interval.as_micros().max(1);
        let count = now.since(self.earned).as_micros() / micros;
        let missing = u128::from(self.limits.burst - self.tokens);
        if count >= missing {
            self.tokens = self.limits.burst;
            self.earned = now;
            return;
        }
        let count = u32::try_from(count).unwrap_or(0);
        self.tokens += count;
        self.earned = self.earned + self.limits.interval * count;
    }
}
