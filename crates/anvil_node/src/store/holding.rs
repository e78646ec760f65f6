//! What the node itself keeps from the store: requests that its budget or its queue refuses, or that wait
//! for a thread.
//!
//! Without it, a request that the node held back looks like one that the store did not answer; see
//! `docs/OPERATIONS-fleet.md`.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use anvil_store::budget;
use anvil_types::{sorted, store};
use derive_more::Display;

use crate::counters;

/// Wait for a thread from which on requests count as held back. A store that is in order answers
/// within a few milliseconds.
const LONG_WAIT: Duration = Duration::from_millis(250);

/// Why the node did not send a request to the store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalReason {
    /// Too many requests wait for a thread.
    #[display("queue")]
    QueueFull,
    /// Too many calls are in progress.
    #[display("concurrency")]
    Concurrency,
    /// The rate limit of the node's calls is reached.
    #[display("rate")]
    Rate,
}

impl From<budget::BudgetRefusal> for RefusalReason {
    fn from(refusal: budget::BudgetRefusal) -> Self {
        match refusal {
            budget::BudgetRefusal::Busy => Self::Concurrency,
            budget::BudgetRefusal::Spent { .. } => Self::Rate,
        }
    }
}

/// The requests of one requester that were held back since one was last sent at once.
#[derive(Clone, Copy, Debug, Default, Display)]
#[display("refused={refused} delayed={delayed} longest_wait_ms={}", longest_wait.as_millis())]
struct HeldRequests {
    refused: u64,
    delayed: u64,
    longest_wait: Duration,
}

impl HeldRequests {
    fn is_empty(&self) -> bool {
        self.refused == 0 && self.delayed == 0
    }
}

/// Counts and logs the requests that the node holds back.
#[derive(Debug)]
pub struct HoldingRecord {
    counters: counters::EdgeCounters,
    held: Mutex<sorted::SortedTable<store::StoreRequester, HeldRequests>>,
}

impl HoldingRecord {
    /// Starts without held requests.
    pub fn new(counters: counters::EdgeCounters) -> Self {
        Self {
            counters,
            held: Mutex::default(),
        }
    }

    /// Records a request that was not sent; the first one in a row is logged.
    pub fn refused(&self, requester: store::StoreRequester, reason: RefusalReason) {
        self.counters.count_store_refusal(requester, reason);
        self.with_held(requester, |held| {
            if held.is_empty() {
                log::warn!("store requests held back: requester={requester} refused_by={reason}");
            }
            held.refused += 1;
        });
    }

    /// Records a request that is sent after a `wait` for a thread. A long wait is logged like a
    /// refusal; the first request that is sent at once again ends the row.
    pub fn sent(&self, requester: store::StoreRequester, wait: Duration) {
        self.counters.observe_store_wait(requester, wait);
        self.with_held(requester, |held| {
            if wait < LONG_WAIT {
                if !held.is_empty() {
                    log::info!("store requests sent again: requester={requester} {held}");
                }
                *held = HeldRequests::default();
                return;
            }
            if held.is_empty() {
                let millis = wait.as_millis();
                log::warn!("store requests held back: requester={requester} wait_ms={millis}");
            }
            held.delayed += 1;
            held.longest_wait = held.longest_wait.max(wait);
        });
    }

    fn with_held<Change>(&self, requester: store::StoreRequester, change: Change)
    where
        Change: FnOnce(&mut HeldRequests),
    {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        change(held.get_or_insert_with(requester, HeldRequests::default));
    }
}
