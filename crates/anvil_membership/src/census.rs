//! Counts on how many members a rule revision is in force, as a tree of requests.
//!
//! The sorted node ids are split into parts, and one member of each part counts that part in the
//! same way. With sixteen parts a request reaches 14,000 members in four steps, and no node
//! handles more than sixteen replies. See `docs/design/rule-distribution.md`.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::gossip;

/// Number of parts that a node splits its own part into.
pub const PARTS: usize = 16;

/// Time that the node at the root of the tree waits for the complete count.
pub const TIMEOUT: Duration = Duration::from_secs(4);

/// Numerator of the share of a node's own timeout that it gives its parts.
///
/// Less than half, so that a part whose counter does not reply can be retried once through another
/// member.
pub const PART_TIMEOUT_SHARE: u32 = 4;

/// Denominator of the share of a node's own timeout that it gives its parts.
pub const PART_TIMEOUT_WHOLE: u32 = 10;

/// Number of counts that may be open at once; further requests are dropped.
pub const OPEN_LIMIT: usize = 32;

/// Who requested a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CensusRequester {
    /// An operator, through this node.
    Operator,
    /// A member that counts a larger part.
    Member {
        /// The address to reply to.
        to: SocketAddr,
        /// The requester's number for this part.
        census: u32,
    },
}

/// A part whose count was requested.
#[derive(Clone, Debug)]
pub struct OpenPart {
    /// The members of the part that this node knows.
    pub members: Vec<ident::NodeId>,
    /// The member that counts the part.
    pub counter: ident::NodeId,
    /// Whether the reply has arrived.
    pub answered: bool,
}

/// A count that waits for replies of its parts.
#[derive(Clone, Debug)]
pub struct OpenCensus {
    /// The number of the first part; the others follow it.
    pub number: u32,
    /// Who requested the count.
    pub requester: CensusRequester,
    /// The revision that is counted.
    pub revision: ident::RuleRevision,
    /// The sum of the replies so far and of this node itself.
    pub count: gossip::CensusCount,
    /// The parts, numbered from `number` on.
    pub parts: Vec<OpenPart>,
    /// When parts without a reply are requested from other members; none once that is done.
    pub retry_at: Option<time::NodeTime>,
    /// Time that a part has to reply.
    pub part_timeout: Duration,
    /// When the members of parts without a reply are counted as silent.
    pub deadline: time::NodeTime,
}

impl OpenCensus {
    /// Whether every part has replied.
    pub fn is_complete(&self) -> bool {
        self.parts.iter().all(|part| part.answered)
    }

    /// Adds the reply of one part.
    pub fn add(&mut self, count: &gossip::CensusCount) {
        let sum = &mut self.count;
        sum.holding = sum.holding.saturating_add(count.holding);
        sum.behind = sum.behind.saturating_add(count.behind);
        sum.silent = sum.silent.saturating_add(count.silent);
        for node in &count.lagging {
            note_lagging(sum, *node);
        }
    }

    /// Counts the members of parts without a reply as silent.
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

/// Adds a lagging member to the list of `count`, unless the list is full.
pub fn note_lagging(count: &mut gossip::CensusCount, node: ident::NodeId) {
    if count.lagging.len() < gossip::MAX_LAGGING_MEMBERS {
        count.lagging.push(node);
    }
}

/// The result of the last complete count that an operator requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CensusResult {
    /// The revision that was counted.
    pub revision: ident::RuleRevision,
    /// The sum over the fleet, including this node.
    pub count: gossip::CensusCount,
    /// When the count ended.
    pub at: time::NodeTime,
}

/// All counts of one node, open and completed.
#[derive(Clone, Debug, Default)]
pub struct CensusState {
    /// Counts that wait for replies, sorted by number.
    pub open: Vec<OpenCensus>,
    /// The last result.
    pub last: Option<CensusResult>,
    /// The number of the next part that is requested.
    pub next_number: u32,
}

impl CensusState {
    /// When the next retry or deadline is due.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        let due = |open: &OpenCensus| open.retry_at.unwrap_or(open.deadline).min(open.deadline);
        self.open.iter().map(due).min()
    }
}
