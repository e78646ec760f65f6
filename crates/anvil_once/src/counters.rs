//! What the key owners of a node count.

use std::hash;

use serde::Serialize;

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct KeyCounters {
    /// Keys granted by this node as a primary.
    pub granted: u64,
    /// Duplicates answered from the kept answer.
    pub answered_again: u64,
    /// Duplicates told that the first copy is running.
    pub in_progress: u64,
    /// Questions answered as may-have-run.
    pub doubtful: u64,
    /// Keys used for another request.
    pub mismatched: u64,
    /// Questions refused because this node could not grant.
    pub unavailable: u64,
    /// Questions asked again at once or later, because owners were changing.
    pub busy: u64,
    /// Questions sent on, because this node is not the primary.
    pub not_owner: u64,
    /// Messages of an earlier epoch refused.
    pub stale_epoch: u64,
    /// Slots taken over from a missing primary.
    pub taken_over: u64,
    /// Slots taken without records, because both owners were missing.
    pub taken_lost: u64,
    /// Slots handed over on a planned stop.
    pub handed_over: u64,
    /// Records dropped because their retention ended.
    pub expired: u64,
    /// Questions to the store.
    pub store_asked: u64,
    /// Questions to the store without an answer.
    pub store_unknown: u64,
    /// Swaps that another node won.
    pub store_conflict: u64,
}

/// Counts decide nothing, so states that differ only in them are the same state.
impl hash::Hash for KeyCounters {
    fn hash<H>(&self, _: &mut H)
    where
        H: hash::Hasher,
    {
    }
}
