//! Why targets were chosen by expected completion, for operators.

use std::time::Duration;

use anvil_types::time;
use serde::Serialize;

/// Time without an overflow after which a service counts as having room in the own zone again. It is
/// longer than the pauses between requests that leave, so that a state lasts for some lines.
pub const OVERFLOW_END: Duration = Duration::from_secs(5);

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlacementReason {
    /// It stands in the own zone, and a slot is free or its queue is short.
    OwnZone,
    /// The own zone is full, and this target has a free slot.
    Overflow,
    /// It stands in another zone and is faster by more than the bytes cost.
    Faster,
    /// No target has a free slot.
    Saturated,
}

/// Number of choices by their reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PlacementCounts {
    /// Requests that stayed in the own zone.
    pub own_zone: u64,
    /// Requests that left because the own zone was full.
    pub overflow: u64,
    /// Requests that left for a faster target although the own zone was not full.
    pub faster: u64,
    /// Requests for which no target had a free slot.
    pub saturated: u64,
}

impl PlacementCounts {
    /// Adds the counts of another service.
    pub fn add(&mut self, other: &Self) {
        self.own_zone += other.own_zone;
        self.overflow += other.overflow;
        self.faster += other.faster;
        self.saturated += other.saturated;
    }
}

/// The choices for one service, and whether requests leave the own zone at present.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct PlacementRecord {
    pub(super) counts: PlacementCounts,
    last_overflow: Option<time::NodeTime>,
    overflows: bool,
    /// The last state that was logged.
    #[serde(skip)]
    reported: bool,
}

impl PlacementRecord {
    pub(super) fn count(&mut self, now: time::NodeTime, reason: PlacementReason) {
        match reason {
            PlacementReason::OwnZone => self.counts.own_zone += 1,
            PlacementReason::Overflow => self.counts.overflow += 1,
            PlacementReason::Faster => self.counts.faster += 1,
            PlacementReason::Saturated => self.counts.saturated += 1,
        }
        if reason == PlacementReason::Overflow {
            self.last_overflow = Some(now);
        }
        let last = self.last_overflow;
        self.overflows = last.is_some_and(|last| now.since(last) < OVERFLOW_END);
    }

    /// Whether requests leave the own zone, if that has changed since the last call.
    pub(super) fn take_change(&mut self) -> Option<bool> {
        let changed = std::mem::replace(&mut self.reported, self.overflows) != self.overflows;
        changed.then_some(self.overflows)
    }
}
