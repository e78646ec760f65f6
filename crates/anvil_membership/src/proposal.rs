//! The proposal of an operator's change: writing it to the rule log in the store.

use std::time::Duration;

use anvil_types::{backoff, time};
use anvil_wire::gossip;

/// Time after which a proposal ends, with an unknown outcome if the change may have been written.
pub const RESOLVE_LIMIT: Duration = Duration::from_secs(20);

/// Number of attempts to write a change that the store is known not to have written.
pub const UNAVAILABLE_LIMIT: u32 = 4;

const PAUSE_FIRST: Duration = Duration::from_millis(200);
const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// The next step of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalStep {
    /// Write the change, if there is no entry for its revision yet.
    Write,
    /// Read the entry of its revision.
    Read,
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The change is in the log.
    Accepted,
    /// Another change made the same revision.
    Conflict {
        /// The other change.
        other: gossip::LoggedChange,
    },
    /// The store was unavailable; the change was not written.
    Unavailable,
    /// The store's replies were lost; the change may have been written.
    Unknown,
}

/// A change that is being written.
#[derive(Clone, Debug)]
pub struct OpenProposal {
    /// The change, with the revision that it would make.
    pub change: gossip::LoggedChange,
    /// The next step and when it is due; none while a request is pending.
    pub next: Option<(time::NodeTime, ProposalStep)>,
    /// Whether a write may have taken effect although its reply was lost.
    pub uncertain: bool,
    /// When the proposal is abandoned.
    pub deadline: time::NodeTime,
    /// Pauses between attempts.
    pub backoff: backoff::RetryBackoff,
}

impl OpenProposal {
    /// Starts a proposal whose first write is due at `now`.
    pub fn new(change: gossip::LoggedChange, now: time::NodeTime) -> Self {
        Self {
            change,
            next: Some((now, ProposalStep::Write)),
            uncertain: false,
            deadline: now + RESOLVE_LIMIT,
            backoff: backoff::RetryBackoff::new(PAUSE_FIRST, PAUSE_LIMIT),
        }
    }
}
