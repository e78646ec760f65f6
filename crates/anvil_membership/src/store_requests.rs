//! The questions to the store that are out, and what each is for.

use std::time::Duration;

use anvil_types::{store, time};

/// Time after which an unanswered question counts as lost; longer than the longest watch.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);

/// What a question is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPurpose {
    /// Find nodes to join through, or other parts of the fleet.
    ListContacts,
    /// Get a lease for a contact slot.
    GrantLease {
        /// The slot.
        slot: u8,
    },
    /// Take a contact slot.
    ClaimSlot {
        /// The slot.
        slot: u8,
        /// The lease that the entry hangs on.
        lease: store::LeaseId,
    },
    /// Keep the contact slot.
    RenewLease,
    /// Give the contact slot back.
    ReleaseSlot,
    /// Wait for changes.
    WatchLog,
    /// Read the changes behind those held.
    ReadLog,
    /// Read the newest snapshot's manifest.
    ReadManifest,
    /// Read one chunk of the newest snapshot.
    ReadChunk,
    /// Write the operator's change.
    Propose,
    /// Read back whether the operator's change was written.
    Resolve,
    /// Write a part of a new snapshot, or remove what it makes needless.
    Snapshot,
}

impl RequestPurpose {
    /// Purposes that are counted apart.
    pub const COUNTED: usize = 7;

    /// One for each counter.
    pub const ONE_PER_COUNTER: [Self; Self::COUNTED] = [
        Self::ListContacts,
        Self::ReleaseSlot,
        Self::RenewLease,
        Self::WatchLog,
        Self::ReadLog,
        Self::Snapshot,
        Self::Propose,
    ];

    /// Where the purpose is counted, and the name of its counter.
    pub const fn counter(self) -> (usize, &'static str) {
        match self {
            Self::ListContacts => (0, "fleet_store_asked_contacts"),
            Self::GrantLease { .. } | Self::ClaimSlot { .. } | Self::ReleaseSlot => {
                (1, "fleet_store_asked_slots")
            }
            Self::RenewLease => (2, "fleet_store_asked_renewals"),
            Self::WatchLog => (3, "fleet_store_asked_watches"),
            Self::ReadLog => (4, "fleet_store_asked_rules"),
            Self::ReadManifest | Self::ReadChunk | Self::Snapshot => {
                (5, "fleet_store_asked_snapshots")
            }
            Self::Propose | Self::Resolve => (6, "fleet_store_asked_changes"),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    sequence: u64,
    purpose: RequestPurpose,
    lost_at: time::NodeTime,
}

/// The questions that are out, sorted by number.
#[derive(Clone, Debug, Default)]
pub struct PendingRequests {
    sequence: u64,
    open: Vec<PendingRequest>,
}

impl PendingRequests {
    /// Notes a question and gives its identity.
    pub fn open(&mut self, purpose: RequestPurpose, now: time::NodeTime) -> store::StoreId {
        self.sequence += 1;
        let sequence = self.sequence;
        self.open.push(PendingRequest {
            sequence,
            purpose,
            lost_at: now + ANSWER_LIMIT,
        });
        store::StoreId {
            requester: store::StoreRequester::Fleet,
            sequence,
        }
    }

    /// Whether a question for `purpose` is out.
    pub fn is_open(&self, purpose: RequestPurpose) -> bool {
        self.open.iter().any(|ask| ask.purpose == purpose)
    }

    /// Takes the question that an answer belongs to.
    pub fn close(&mut self, id: store::StoreId) -> Option<RequestPurpose> {
        let place = self
            .open
            .binary_search_by_key(&id.sequence, |ask| ask.sequence);
        place.ok().map(|place| self.open.remove(place).purpose)
    }

    /// Takes the questions whose answers are overdue; the edge may have dropped them.
    pub fn take_timed_out(&mut self, now: time::NodeTime) -> Vec<RequestPurpose> {
        let lost = |ask: &&PendingRequest| ask.lost_at <= now;
        let purposes = self.open.iter().filter(lost).map(|ask| ask.purpose);
        let purposes = purposes.collect();
        self.open.retain(|ask| ask.lost_at > now);
        purposes
    }

    /// When the next answer is overdue.
    pub fn next_timeout(&self) -> Option<time::NodeTime> {
        self.open.iter().map(|ask| ask.lost_at).min()
    }
}
