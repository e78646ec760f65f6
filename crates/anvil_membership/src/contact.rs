//! The contacts of a zone: a few nodes that have entries in the store.
//!
//! Starting nodes join through the contacts, and some contacts watch the rule log for the others.

use std::time::Duration;

use anvil_types::{backoff, store, time};

/// Number of contact slots of each zone.
///
/// Three tolerate the loss of two at once; each costs the store a lease renewal every five seconds.
pub const CONTACT_SLOTS: u8 = 3;

/// Number of slots whose holders watch the rule log; two, so that the loss of one has no effect.
pub const WATCH_SLOTS: u8 = 2;

/// Duration of a contact's lease.
pub const CONTACT_LEASE: Duration = Duration::from_secs(15);

/// Interval at which a starting node without peers lists the contacts.
pub const ALONE_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of lease renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(5);

/// Interval of checks for vacant slots in the node's own zone.
pub const VACANCY_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Time that a candidate for a vacant slot waits for each candidate that precedes it.
pub const CANDIDATE_WAIT: Duration = Duration::from_secs(5);

/// Interval at which a contact lists all contacts, to find parts of the fleet that it doesn't know.
pub const LIST_INTERVAL: Duration = Duration::from_secs(60);

/// Time over which nodes that start together spread their first list request.
pub const FIRST_LIST_SPREAD: Duration = Duration::from_secs(1);

/// Time over which nodes that found an empty contact list spread their first claim of a slot.
pub const FIRST_CLAIM_SPREAD: Duration = Duration::from_secs(4);

/// [`FIRST_LIST_SPREAD`] for a fleet of at most a few hundred nodes.
///
/// Sixteen list requests within 200 ms are a tenth of the reads that its store allows, and a
/// restarted node knows its peers before its target's next heartbeat.
pub const SMALL_FIRST_LIST_SPREAD: Duration = Duration::from_millis(200);

/// [`FIRST_CLAIM_SPREAD`] for such a fleet.
pub const SMALL_FIRST_CLAIM_SPREAD: Duration = Duration::from_millis(800);

/// Maximum age of the contact list by which a node without peers may claim a slot.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(1);

/// [`MAX_LIST_AGE`] for a fleet of at most a few hundred nodes, whose first claims are made within
/// [`SMALL_FIRST_CLAIM_SPREAD`].
///
/// A list request costs a tenth of a claim of a slot that is already taken.
pub const SMALL_MAX_LIST_AGE: Duration = Duration::from_millis(100);

/// Number of doublings after which the list interval reaches [`LIST_INTERVAL`].
const LIST_DOUBLINGS: u32 = 5;

/// First and longest pause after a failure of the store.
const PAUSE_FIRST: Duration = Duration::from_secs(1);
const PAUSE_LIMIT: Duration = Duration::from_secs(30);

/// First and longest pause after a failure of the store in a small fleet. Nodes that all started
/// while the store was away serve only once they have listed each other.
const SMALL_PAUSES: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_200));

/// The backoff of lists of the contacts in a small fleet.
pub fn small_backoff() -> backoff::RetryBackoff {
    let (first, longest) = SMALL_PAUSES;
    backoff::RetryBackoff::new(first, longest)
}

/// A slot that this node holds.
#[derive(Clone, Copy, Debug)]
pub struct HeldSlot {
    /// The slot.
    pub slot: u8,
    /// The lease that the entry is attached to.
    pub lease: store::LeaseId,
    /// The version of the entry.
    pub version: store::StoreVersion,
    /// When to renew the lease.
    pub renew_at: time::NodeTime,
}

/// This node's contact slot, and what it knows about the contacts in the store.
#[derive(Clone, Debug)]
pub struct ContactState {
    /// The slot held, if any.
    pub held: Option<HeldSlot>,
    /// When to list the contacts next.
    pub list_at: time::NodeTime,
    /// When to check for a vacant slot next.
    pub vacancy_check_at: time::NodeTime,
    /// Since when each slot of the zone is known to be vacant.
    pub vacant_since: [Option<time::NodeTime>; CONTACT_SLOTS as usize],
    /// Pauses after failures of the store.
    pub backoff: backoff::RetryBackoff,
    /// When the contacts were last listed.
    pub listed_at: Option<time::NodeTime>,
    /// Whether that list contained contacts that this node did not know.
    pub has_unknown_contacts: bool,
    /// Number of lists since this node claimed its slot; the first ones have shorter intervals.
    pub lists: u32,
}

impl ContactState {
    /// Lists the contacts first at `list_at`, and checks for vacant slots from `vacancy_check_at`
    /// on.
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

    /// Time until the next list.
    ///
    /// When many nodes start with an empty store, each zone first knows only its own nodes. The
    /// zones find each other when their contacts list all entries, so the first intervals are
    /// short.
    pub fn list_interval(&self) -> Duration {
        let doublings = self.lists.min(LIST_DOUBLINGS);
        (VACANCY_CHECK_INTERVAL / 2 * (1 << doublings)).min(LIST_INTERVAL)
    }

    /// Whether this node holds a slot whose holder watches the rule log.
    pub fn watches_log(&self) -> bool {
        self.held.is_some_and(|held| held.slot < WATCH_SLOTS)
    }

    /// When something is due next.
    pub fn next_wake(&self) -> time::NodeTime {
        let due = self.list_at.min(self.vacancy_check_at);
        self.held.map_or(due, |held| due.min(held.renew_at))
    }
}
