//! Counting on how many members a revision is in force, without asking each from one node.
//!
//! The sorted identities are cut into parts; one member of each part counts it the same way. With
//! sixteen parts a question reaches 14,000 members in four steps, and no node handles more than
//! sixteen replies. See `docs/design/rule-distribution.md`.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::gossip;

/// Parts that a node cuts its own part into.
pub const PARTS: usize = 16;

/// Time that the asking node waits for the whole count.
pub const TIMEOUT: Duration = Duration::from_secs(4);

/// Share of the asker's time that its parts get, so that a part whose counter is silent can be
/// given to another member once.
pub const PART_TIMEOUT_SHARE: u32 = 4;

/// Out of this many.
pub const PART_TIMEOUT_WHOLE: u32 = 10;

/// Counts that are open at once; further questions are not taken.
pub const OPEN_LIMIT: usize = 32;

/// Who asked for a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CensusRequester {
    /// An operator of this node.
    Operator,
    /// A member that counts a larger part.
    Member {
        /// Where the reply goes.
        to: SocketAddr,
        /// The asker's number of the question.
        census: u32,
    },
}

/// A part that was asked for.
#[derive(Clone, Debug)]
pub struct OpenPart {
    /// The members in it, as this node knows them.
    pub members: Vec<ident::NodeId>,
    /// The one that counts it.
    pub counter: ident::NodeId,
    /// Whether the reply has come.
    pub answered: bool,
}

/// One count that waits for its parts.
#[derive(Clone, Debug)]
pub struct OpenCensus {
    /// This node's number of the question.
    pub number: u32,
    /// Who asked.
    pub requester: CensusRequester,
    /// The revision asked about.
    pub revision: ident::RuleRevision,
    /// What has been counted.
    pub count: gossip::CensusCount,
    /// The parts, numbered from `number` on.
    pub parts: Vec<OpenPart>,
    /// When missing parts are given to other members; none once that is done.
    pub retry_at: Option<time::NodeTime>,
    /// Time that a part gets.
    pub part_timeout: Duration,
    /// When parts that are missing count as silent.
    pub deadline: time::NodeTime,
}

impl OpenCensus {
    /// Whether every part has replied.
    pub fn is_complete(&self) -> bool {
        self.parts.iter().all(|part| part.answered)
    }

    /// Adds what one part counted.
    pub fn add(&mut self, count: &gossip::CensusCount) {
        let sum = &mut self.count;
        sum.holding = sum.holding.saturating_add(count.holding);
        sum.behind = sum.behind.saturating_add(count.behind);
        sum.silent = sum.silent.saturating_add(count.silent);
        for node in &count.lagging {
            note_lagging(sum, *node);
        }
    }

    /// Counts the parts that never replied as silent.
    pub fn count_missing_as_silent(&mut self) {
        let parts = std::mem::take(&mut self.parts);
        for node in parts
            .iter()
            .filter(|p| !p.answered)
            .flat_map(|p| &p.members)
        {
            self.count.silent += 1;
            note_lagging(&mut self.count, *node);
        }
    }
}

/// Names a lagging member where there is room.
pub fn note_lagging(count: &mut gossip::CensusCount, node: ident::NodeId) {
    if count.lagging.len() < gossip::MAX_LAGGING_MEMBERS {
        count.lagging.push(node);
    }
}

/// The last whole count that an operator asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CensusResult {
    /// The revision asked about.
    pub revision: ident::RuleRevision,
    /// The sum over the fleet, this node included.
    pub count: gossip::CensusCount,
    /// When it ended.
    pub at: time::NodeTime,
}

/// All counts of one node.
#[derive(Clone, Debug, Default)]
pub struct CensusState {
    /// Counts that wait for parts, sorted by number.
    pub open: Vec<OpenCensus>,
    /// The last result.
    pub last: Option<CensusResult>,
    /// Numbers used so far.
    pub next_number: u32,
}

impl CensusState {
    /// When the next count gives up.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        let due = |open: &OpenCensus| open.retry_at.unwrap_or(open.deadline).min(open.deadline);
        self.open.iter().map(due).min()
    }
}
