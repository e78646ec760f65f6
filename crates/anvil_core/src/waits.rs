//! The time that a run waits for its own calls; see `docs/design/admission.md`.

use std::time::Duration;

use anvil_overload::dependency;
use anvil_types::{name, time};

/// The calls that the local target made on behalf of one run.
///
/// Concurrent calls overlap: the time in which at least one call is open counts once.
#[derive(Clone, Debug, Default)]
pub struct CallWaits {
    open: u32,
    since: time::NodeTime,
    total: Duration,
    called: Vec<dependency::NeededCall>,
    /// Number of calls to each service, in the order of their first call.
    counts: Vec<(name::ServiceName, u16)>,
    /// The highest number of calls that were open at the same time.
    overlap: u32,
    failed: bool,
}

impl CallWaits {
    /// Records the start of `call`.
    pub fn begin(&mut self, now: time::NodeTime, call: dependency::NeededCall) {
        if self.open == 0 {
            self.since = now;
        }
        self.open += 1;
        self.overlap = self.overlap.max(self.open);
        match self
            .counts
            .iter_mut()
            .find(|(known, _)| *known == call.service)
        {
            Some((_, count)) => *count = count.saturating_add(1),
            None => self.counts.push((call.service.clone(), 1)),
        }
        if !self.called.contains(&call) {
            self.called.push(call);
        }
    }

    /// Records the end of one of the open calls, and whether its failure makes the run fail.
    pub fn end(&mut self, now: time::NodeTime, failed: bool) {
        self.failed |= failed;
        self.open = self.open.saturating_sub(1);
        if self.open == 0 {
            self.total += now.since(self.since);
        }
    }

    /// The time waited until `now`.
    pub fn total(&self, now: time::NodeTime) -> Duration {
        let current = if self.open > 0 {
            now.since(self.since)
        } else {
            Duration::ZERO
        };
        self.total + current
    }

    /// Number of calls that are open.
    pub fn open(&self) -> u16 {
        u16::try_from(self.open).unwrap_or(u16::MAX)
    }

    /// The highest number of calls that were open at the same time.
    pub fn overlap(&self) -> u16 {
        u16::try_from(self.overlap).unwrap_or(u16::MAX)
    }

    /// Number of calls made to each service.
    pub fn counts(&self) -> &[(name::ServiceName, u16)] {
        &self.counts
    }

    /// Whether one of the calls failed.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// The distinct calls made.
    pub fn called(&self) -> &[dependency::NeededCall] {
        &self.called
    }
}
