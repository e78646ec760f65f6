//! The accepted rule changes that a node holds, in order and without gaps.

use std::collections::VecDeque;

use anvil_types::ident;
use anvil_wire::gossip;

/// Maximum number of changes retained for peers that missed them: 47 minutes at 31,000 a day.
const MAX_TAIL_CHANGES: usize = 1_024;

/// Maximum size of the retained changes, in bytes.
const MAX_TAIL_BYTES: usize = 1_048_576;

/// The position of an offered change relative to the changes held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferPosition {
    /// It is the next one.
    Next,
    /// It is held already.
    Old,
    /// Changes before it are missing.
    Gap,
}

/// The revision held, and the last changes up to it.
#[derive(Clone, Debug, Default)]
pub struct RuleLog {
    held: ident::RuleRevision,
    last: u128,
    tail: VecDeque<gossip::LoggedChange>,
    bytes: usize,
}

impl RuleLog {
    /// The revision held; it never decreases.
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

    /// The position of a change that makes `revision` relative to the changes held.
    pub fn position(&self, revision: ident::RuleRevision) -> OfferPosition {
        let next = self.held.0.saturating_add(1);
        match revision.0 {
            offered if offered == next => OfferPosition::Next,
            offered if offered < next => OfferPosition::Old,
            _ => OfferPosition::Gap,
        }
    }

    /// Appends a change and returns true, if it is the next one.
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

    /// Replaces the changes by a snapshot and returns true, if it is newer than the revision held.
    ///
    /// An older snapshot would undo accepted changes, so it is rejected.
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

    /// The changes after `after`, or none if some of them are no longer retained.
    pub fn since(&self, after: ident::RuleRevision) -> Option<Vec<gossip::LoggedChange>> {
        let missing = usize::try_from(self.held.0.saturating_sub(after.0)).ok()?;
        let start = self.tail.len().checked_sub(missing)?;
        Some(self.tail.iter().skip(start).cloned().collect())
    }
}
