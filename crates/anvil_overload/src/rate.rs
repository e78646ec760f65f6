//! The rate that a target names in its answers; see `docs/design/named-rates.md`.

use anvil_types::{rate, time};
use serde::Serialize;

/// How the rate of a target changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateChange {
    /// The rate is the same as before.
    None,
    /// The target named a rate and had none before.
    Named,
    /// The target named another rate.
    Changed,
    /// The target names no rate any more.
    Lifted,
}

/// The rate that one incarnation of a target named.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RateLimit {
    /// The latest rate that it named; none if its latest answer named none.
    named: Option<rate::RequestRate>,
    /// When the target began to name rates without interruption.
    since: time::NodeTime,
    /// Whether it has ever named a rate.
    was_named: bool,
    /// Whether it has ever named something that is not a rate.
    was_malformed: bool,
}

impl RateLimit {
    /// Records the rate that an answer names.
    pub fn record(&mut self, now: time::NodeTime, stated: Option<rate::RequestRate>) -> RateChange {
        let change = match (self.named, stated) {
            (before, after) if before == after => return RateChange::None,
            (None, Some(_)) => RateChange::Named,
            (Some(_), Some(_)) => RateChange::Changed,
            (_, None) => RateChange::Lifted,
        };
        if change == RateChange::Named {
            self.since = now;
            self.was_named = true;
        }
        self.named = stated;
        change
    }

    /// Records that an answer names something that is not a rate; returns whether it is the first.
    pub fn record_malformed(&mut self) -> bool {
        !std::mem::replace(&mut self.was_malformed, true)
    }

    /// The latest rate that the target named.
    pub fn named(&self) -> Option<rate::RequestRate> {
        self.named
    }

    /// When the target began to name rates without interruption.
    pub fn since(&self) -> time::NodeTime {
        self.since
    }

    /// Whether the target has ever named a rate.
    pub fn was_named(&self) -> bool {
        self.was_named
    }
}
