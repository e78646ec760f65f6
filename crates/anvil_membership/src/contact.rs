//! The few nodes of a zone that stand in the store, for newcomers and as watchers.

use std::time::Duration;

use anvil_types::{backoff, store, time};

/// Contact slots of each zone.
///
/// Three survive the loss of two at once; each costs the store a renewal every five seconds.
pub const CONTACT_SLOTS: u8 = 3;

/// Slots whose holders watch the log of changes; two, so that the loss of one goes unnoticed.
pub const WATCH_SLOTS: u8 = 2;

/// Span of a contact's lease.
pub const CONTACT_LEASE: Duration = Duration::from_secs(15);

/// Time between two lists of a fresh node that has found nobody yet.
pub const ALONE_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two looks at which slots of the own zone are vacant.
pub const VACANCY_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Time that each candidate gives the ones before it.
pub const CANDIDATE_WAIT: Duration = Duration::from_secs(5);

/// Time between two lists of all contacts by a contact, to find parts of the fleet unknown to it.
pub const LIST_INTERVAL: Duration = Duration::from_secs(60);

/// Time over which nodes that start together spread their first list of contacts.
pub const FIRST_LIST_SPREAD: Duration = Duration::from_secs(1);

/// Time over which nodes that found an empty list spread their first try for a slot.
pub const FIRST_CLAIM_SPREAD: Duration = Duration::from_secs(4);

/// The same for a fleet of hundreds of nodes at most: sixteen lists within 200 ms are a tenth of the
/// reads that its store allows, and a node that restarts knows its peers before its target's next
/// heartbeat.
pub const SMALL_FIRST_LIST_SPREAD: Duration = Duration::from_millis(200);

/// The same as [`FIRST_CLAIM_SPREAD`] for such a fleet.
pub const SMALL_FIRST_CLAIM_SPREAD: Duration = Duration::from_millis(800);

/// Age of a list of contacts beyond which a node that met nobody reads it again before it acts.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(1);

/// The same for a fleet of hundreds of nodes at most, whose first tries follow one another within
/// [`SMALL_FIRST_CLAIM_SPREAD`]: a list costs a tenth of a try for a slot that is taken.
pub const SMALL_MAX_LIST_AGE: Duration = Duration::from_millis(100);

/// Doublings after which the time between two lists has its full length.
const LIST_DOUBLINGS: u32 = 5;

/// First and longest pause after the store failed.
const PAUSE_FIRST: Duration = Duration::from_secs(1);
const PAUSE_LIMIT: Duration = Duration::from_secs(30);

/// A slot that this node holds.
#[derive(Clone, Copy, Debug)]
pub struct HeldSlot {
    /// The slot.
    pub slot: u8,
    /// The lease.
    pub lease: store::LeaseId,
    /// The write that took the slot.
    pub version: store::StoreVersion,
    /// When to renew.
    pub renew_at: time::NodeTime,
}

/// What this node has to do with contact entries.
#[derive(Clone, Debug)]
pub struct ContactState {
    /// The slot held, if any.
    pub held: Option<HeldSlot>,
    /// When to list the contacts next.
    pub list_at: time::NodeTime,
    /// When to look for a vacant slot next.
    pub vacancy_check_at: time::NodeTime,
    /// Since when each slot of the zone stands vacant.
    pub vacant_since: [Option<time::NodeTime>; CONTACT_SLOTS as usize],
    /// Pauses after failures of the store.
    pub backoff: backoff::RetryBackoff,
    /// When the store last listed the contacts.
    pub listed_at: Option<time::NodeTime>,
    /// Whether that list held contacts that this node did not know.
    pub has_unknown_contacts: bool,
    /// Lists since this node took its slot; the first ones follow one another faster.
    pub lists: u32,
}

impl ContactState {
    /// Lists the contacts at `find_at` for the first time, and tries for a slot from `look_at` on.
    pub fn new(list_at: time::NodeTime, vacancy_check_at: time::NodeTime) -> Self {
        Self {
            held: None,
            list_at,
            vacancy_check_at,
            vacant_since: [None; CONTACT_SLOTS as usize],
            backoff: backoff::RetryBackoff::new(PAUSE_FIRST, PAUSE_LIMIT),
            listed_at: None,
            has_unknown_contacts: false,
            lists: 0,
        }
    }

    /// Time to the next list.
    ///
    /// When many nodes start on an empty store, each zone first knows only itself; the zones meet
    /// when their contacts list the others, so the first lists follow one another quickly.
    pub fn list_interval(&self) -> Duration {
        let doublings = self.lists.min(LIST_DOUBLINGS);
        (VACANCY_CHECK_INTERVAL / 2 * (1 << doublings)).min(LIST_INTERVAL)
    }

    /// Whether this node watches the log of changes.
    pub fn watches_log(&self) -> bool {
        self.held.is_some_and(|held| held.slot < WATCH_SLOTS)
    }

    /// When something is due next.
    pub fn next_wake(&self) -> time::NodeTime {
        let due = self.list_at.min(self.vacancy_check_at);
        self.held.map_or(due, |held| due.min(held.renew_at))
    }
}
