//! When a node reads the rule document although nothing tells it that there is a newer one.
//!
//! See "How fresh the rules are" in `docs/design/rule-distribution.md`.

use std::time::Duration;

use anvil_types::time;
use anvil_wire::gossip;

use crate::random;

/// Average interval of polls of the rule document, over the whole fleet.
///
/// Watchers may crash, be rejected by the store, wait on a silent connection or hear nothing, all
/// of them at once. Every node therefore reads the document now and then, at an interval
/// proportional to the fleet size, so that the call rate does not grow with the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum average interval of polls by one node, which limits the calls of small fleets.
const NODE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Least age of the latest confirmation at which a node reads the document itself: operators expect
/// a change to be in force after two seconds, and it spreads within half a second.
const STALE_AGE: Duration = Duration::from_millis(1_000);

/// Maximum random time in addition to [`STALE_AGE`], so that the confirmation of the first node that
/// reads reaches most others before they do.
const STALE_SPREAD: Duration = Duration::from_millis(600);

/// How often the time to the next read doubles as reads fail in a row.
const MAX_DOUBLINGS: u32 = 3;

/// Age up to which a confirmation is not told again: of many nodes that read at the same moment, a
/// few tell.
const TOLD_AGE: Duration = Duration::from_millis(200);

/// The latest confirmation of the rules by the store, and when this node reads them next.
///
/// A watch that waits confirms nothing, since a connection may be silent and a store may miss to
/// notify. Only a read of the document does, by this node or by one that told it.
#[derive(Clone, Copy, Debug)]
pub struct RefreshSchedule {
    /// The latest read that this node knows of, its own or another node's; none before the first.
    confirmed_at: Option<time::NodeTime>,
    /// The latest read of this node.
    own_read_at: Option<time::NodeTime>,
    /// When this node sent its last read.
    read_sent_at: time::NodeTime,
    /// When its last read was answered or failed.
    read_ended_at: time::NodeTime,
    /// Time to the next poll, as a multiple of the average interval of a node's polls.
    poll_factor: f64,
    /// Age of the latest confirmation at which this node reads, unless its reads fail.
    stale_age: Duration,
    /// Failed reads since the store was last known to answer anybody.
    failures: u32,
}

impl RefreshSchedule {
    /// Starts at `now`; the first read is due by other reasons.
    pub fn new(now: time::NodeTime) -> Self {
        Self {
            confirmed_at: None,
            own_read_at: None,
            read_sent_at: now,
            read_ended_at: now,
            poll_factor: 1.0,
            stale_age: STALE_AGE,
            failures: 0,
        }
    }

    /// Records that this node sends a read.
    pub fn read_sent(&mut self, now: time::NodeTime) {
        self.read_sent_at = now;
    }

    /// Records the answer to a read of this node; returns whether to tell the others of it.
    ///
    /// The age of the read begins when it was sent: a change may have been made right after a slow
    /// store had looked at the document.
    pub fn read_succeeded(
        &mut self,
        now: time::NodeTime,
        choice: &mut random::ChoiceSource,
    ) -> bool {
        let previous = self.confirmed_at;
        self.confirmed_at = previous.max(Some(self.read_sent_at));
        self.own_read_at = Some(self.read_sent_at);
        let is_told = previous.is_some_and(|at| now.since(at) <= TOLD_AGE);
        self.store_answered();
        self.draw(now, choice);
        !is_told
    }

    /// Records that the store answers, whatever it was asked; its next silence is a new one.
    pub fn store_answered(&mut self) {
        self.failures = 0;
    }

    /// Records a failed read of this node.
    ///
    /// It is not repeated at once, since the read of any other node does as well. If nobody reaches
    /// the store, the pauses become longer.
    pub fn read_failed(&mut self, now: time::NodeTime, choice: &mut random::ChoiceSource) {
        self.draw(now, choice);
        self.failures = self.failures.saturating_add(1);
    }

    /// Records what another node told.
    ///
    /// If that node read after this one had failed, the store is back for some. Pauses that stayed
    /// long would leave this node without an alarm when the others fall silent.
    pub fn heard(&mut self, now: time::NodeTime, age: gossip::ConfirmationAge) {
        let Some(span) = age.span() else {
            return;
        };
        let read_at = now - span;
        self.confirmed_at = self.confirmed_at.max(Some(read_at));
        if read_at > self.read_ended_at {
            self.store_answered();
        }
    }

    /// The age of this node's own latest read.
    ///
    /// What it heard of other reads it does not tell: the time that a message is under way is not
    /// known, so an age that is passed on would be too low by that time at each hop.
    pub fn own_age(&self, now: time::NodeTime) -> gossip::ConfirmationAge {
        let age = self
            .own_read_at
            .map(|at| gossip::ConfirmationAge::of(now.since(at)));
        age.unwrap_or(gossip::ConfirmationAge::UNKNOWN)
    }

    /// The age of the latest confirmation at which this node reads.
    pub fn stale_age(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        self.stale_age * (1 << doublings)
    }

    /// When this node reads the document next, in a fleet of `members` nodes.
    pub fn next_read_at(&self, members: usize) -> time::NodeTime {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let interval = POLL_INTERVAL
            .saturating_mul(members)
            .max(NODE_POLL_INTERVAL);
        let poll_at = self.read_ended_at + interval.mul_f64(self.poll_factor);
        let known_at = self.confirmed_at.max(Some(self.read_ended_at));
        let stale_at = known_at.unwrap_or(self.read_ended_at) + self.stale_age();
        poll_at.min(stale_at)
    }

    fn draw(&mut self, now: time::NodeTime, choice: &mut random::ChoiceSource) {
        self.read_ended_at = now;
        self.poll_factor = choice.exponential();
        self.stale_age = STALE_AGE + choice.span(STALE_SPREAD);
    }
}
