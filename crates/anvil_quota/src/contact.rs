//! Whether this node reaches the majority of the fleet; see `docs/design/accounts.md`.
//!
//! A home that hears nothing of an account while members are missing may be cut off from the fleet,
//! where another node then admits the whole quota, or its callers may simply not send anything
//! elsewhere. A sample of the other nodes tells the two apart.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::time;

/// Number of nodes that are asked. With 15, the chance that eight of them are on the same side of a
/// partition as this node is 1.7% for a side of a quarter of the fleet, and none for a single node.
pub const SAMPLE: usize = 15;

/// Time within which the nodes that are reached answer.
const TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a majority counts as reached.
const REACHED_TTL: Duration = Duration::from_secs(1);

/// Time after which a node that did not reach the majority asks again.
const MISSED_TTL: Duration = Duration::from_millis(200);

/// What is known about the majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MajorityContact {
    /// Most of the fleet answers.
    Reached,
    /// Too few nodes have answered in time.
    Missed,
    /// Nobody was asked, or the answers are awaited.
    Unknown,
}

/// A question to a sample of the nodes.
#[derive(Clone, Debug)]
struct ContactRound {
    /// The nodes that have not answered.
    awaited: Vec<SocketAddr>,
    /// Number of answers that are still needed for a majority.
    needed: usize,
    deadline: time::NodeTime,
}

/// The rounds of questions and their results.
#[derive(Clone, Debug)]
pub struct ContactCheck {
    /// Number of the latest round; answers to an earlier one do not count.
    number: u32,
    round: Option<ContactRound>,
    /// The last result, and how long it holds.
    result: Option<(MajorityContact, time::NodeTime)>,
}

impl ContactCheck {
    /// Starts without a result; the first round gets the number after `number`.
    pub const fn starting_at(number: u32) -> Self {
        Self {
            number,
            round: None,
            result: None,
        }
    }

    /// What is known about the majority now.
    pub fn state(&self, now: time::NodeTime) -> MajorityContact {
        match self.result {
            Some((result, until)) if now < until => result,
            _ => MajorityContact::Unknown,
        }
    }

    /// Whether answers are awaited.
    pub const fn is_open(&self) -> bool {
        self.round.is_some()
    }

    /// Number of the latest round, which its questions and answers carry.
    pub const fn number(&self) -> u32 {
        self.number
    }

    /// Begins a round in which `needed` of the `asked` nodes have to answer.
    pub fn begin(&mut self, now: time::NodeTime, asked: &[SocketAddr], needed: usize) {
        self.number = self.number.wrapping_add(1);
        self.round = Some(ContactRound {
            awaited: asked.to_vec(),
            needed,
            deadline: now + TIMEOUT,
        });
        self.result = None;
        self.close_if_decided(now);
    }

    /// Records an answer; returns whether it decides the round.
    pub fn on_answer(&mut self, now: time::NodeTime, from: SocketAddr, number: u32) -> bool {
        let Some(round) = self.round.as_mut().filter(|_| number == self.number) else {
            return false;
        };
        let Some(index) = round.awaited.iter().position(|known| *known == from) else {
            return false;
        };
        round.awaited.swap_remove(index);
        round.needed = round.needed.saturating_sub(1);
        self.close_if_decided(now)
    }

    /// Ends a round whose time is over; returns whether it did.
    pub fn expire(&mut self, now: time::NodeTime) -> bool {
        let is_due = |round: &ContactRound| round.deadline <= now;
        if !self.round.as_ref().is_some_and(is_due) {
            return false;
        }
        self.close(now, MajorityContact::Missed, MISSED_TTL);
        true
    }

    /// Time at which [`Self::expire`] must be called.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        self.round.as_ref().map(|round| round.deadline)
    }

    fn close_if_decided(&mut self, now: time::NodeTime) -> bool {
        let Some(round) = &self.round else {
            return false;
        };
        if round.needed == 0 {
            self.close(now, MajorityContact::Reached, REACHED_TTL);
            return true;
        }
        if round.needed > round.awaited.len() {
            self.close(now, MajorityContact::Missed, MISSED_TTL);
            return true;
        }
        false
    }

    fn close(&mut self, now: time::NodeTime, result: MajorityContact, ttl: Duration) {
        self.round = None;
        self.result = Some((result, now + ttl));
    }
}
