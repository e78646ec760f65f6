//! The accepted changes that a node holds, in order and without a gap.

use std::collections::VecDeque;

use anvil_types::ident;
use anvil_wire::gossip;

/// Most changes kept to hand on to peers that missed them: 47 minutes of 31,000 a day.
const MAX_TAIL_CHANGES: usize = 1_024;

/// Most bytes of changes kept.
const MAX_TAIL_BYTES: usize = 1_048_576;

/// How an offered change stands to those held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferPosition {
    /// It is the next one.
    Next,
    /// It is held already.
    Old,
    /// Others are missing before it.
    Gap,
}

/// The revision held and the last changes up to it.
#[derive(Clone, Debug, Default)]
pub struct RuleLog {
    held: ident::RuleRevision,
    last: u128,
    tail: VecDeque<gossip::LoggedChange>,
    bytes: usize,
}

impl RuleLog {
    /// The revision held; it only rises.
    pub fn held(&self) -> ident::RuleRevision {
        self.held
    }

    /// The operator's id of the change that made the revision held.
    pub fn last_change(&self) -> u128 {
        self.last
    }

    /// The last changes, oldest first.
    pub fn tail(&self) -> impl DoubleEndedIterator<Item = &gossip::LoggedChange> {
        self.tail.iter()
    }

    /// How a change of `revision` stands to those held.
    pub fn position(&self, revision: ident::RuleRevision) -> OfferPosition {
        let next = self.held.0.saturating_add(1);
        match revision.0 {
            offered if offered == next => OfferPosition::Next,
            offered if offered < next => OfferPosition::Old,
            _ => OfferPosition::Gap,
        }
    }

    /// Takes the next change; tells whether it was the next one.
    pub fn push(&mut self, change: &gossip::LoggedChange) -> bool {
        if self.position(change.revision) != OfferPosition::Next {
            return false;
        }
        self.held = change.revision;
        self.last = change.change;
        self.bytes += change.body.len();
        self.tail.push_back(change.clone());
        while self.tail.len() > MAX_TAIL_CHANGES || self.bytes > MAX_TAIL_BYTES {
            let Some(oldest) = self.tail.pop_front() else {
                break;
            };
            self.bytes -= oldest.body.len();
        }
        true
    }

    /// Takes a snapshot in place of the changes up to it; tells whether it was newer.
    ///
    /// An older one would undo accepted changes, so it is refused, whoever sends it.
    pub fn install_snapshot(&mut self, snapshot: &gossip::LoggedChange) -> bool {
        if snapshot.revision <= self.held {
            return false;
        }
        self.held = snapshot.revision;
        self.last = snapshot.change;
        self.tail.clear();
        self.bytes = 0;
        true
    }

    /// The changes behind `after`; none where the tail doesn't reach back that far.
    pub fn since(&self, after: ident::RuleRevision) -> Option<Vec<gossip::LoggedChange>> {
        let missing = usize::try_from(self.held.0.saturating_sub(after.0)).ok()?;
        let start = self.tail.len().checked_sub(missing)?;
        Some(self.tail.iter().skip(start).cloned().collect())
    }
}
