//! An operator's change on its way into the store's log.

use std::time::Duration;

use anvil_types::{backoff, time};
use anvil_wire::gossip;

/// Time after which a change whose fate can't be read is given up as unknown.
pub const RESOLVE_LIMIT: Duration = Duration::from_secs(20);

/// Attempts at a change that the store proved not to have written.
pub const UNAVAILABLE_LIMIT: u32 = 4;

const PAUSE_FIRST: Duration = Duration::from_millis(200);
const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// What the proposal does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalStep {
    /// Write the change where nothing stands yet.
    Write,
    /// Read what stands at its place.
    Read,
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The change stands in the log.
    Accepted,
    /// Another change stands at its place.
    Conflict {
        /// The other change.
        other: gossip::LoggedChange,
    },
    /// The store could not be reached; the change was not written.
    Unavailable,
    /// The store's answers were lost; the change may have been written.
    Unknown,
}

/// One change being written.
#[derive(Clone, Debug)]
pub struct OpenProposal {
    /// The change, with the revision that it would make.
    pub change: gossip::LoggedChange,
    /// What to do next, and when; none while a question is out.
    pub next: Option<(time::NodeTime, ProposalStep)>,
    /// Whether any write may have taken effect unseen.
    pub uncertain: bool,
    /// When it is given up.
    pub deadline: time::NodeTime,
    /// Pauses between attempts.
    pub backoff: backoff::RetryBackoff,
}

impl OpenProposal {
    /// Begins at once.
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
