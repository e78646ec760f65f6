//! The pending requests to the store and their purposes.

use std::time::Duration;

use anvil_types::{store, time};

/// Time after which a request without a reply counts as lost; longer than the longest watch.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a request was sent, which decides how its outcome is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPurpose {
    /// List the contact entries, to find nodes to join through or other parts of the fleet.
    ListContacts,
    /// Obtain a lease for a contact slot.
    GrantLease {
        /// The slot.
        slot: u8,
    },
    /// Write this node's entry into a contact slot.
    ClaimSlot {
        /// The slot.
        slot: u8,
        /// The lease that the entry is attached to.
        lease: store::LeaseId,
    },
    /// Renew the lease of the contact slot.
    RenewLease,
    /// Remove this node's entry from its contact slot.
    ReleaseSlot,
    /// Wait for changes of the rule log or the rule document.
    WatchLog,
    /// Read the changes after those held.
    ReadLog,
    /// Read the newest snapshot's manifest.
    ReadManifest,
    /// Read one chunk of the newest snapshot.
    ReadChunk,
    /// Write an operator's change to the log.
    Propose,
    /// Read the log entry back to find out whether an operator's change was written.
    Resolve,
    /// Write a part of a new snapshot, or remove entries that it replaces.
    Snapshot,
}

impl RequestPurpose {
    /// Number of counters, each for one or more purposes.
    pub const COUNTED: usize = 7;

    /// One purpose for each counter.
    pub const ONE_PER_COUNTER: [Self; Self::COUNTED] = [
        Self::ListContacts,
        Self::ReleaseSlot,
        Self::RenewLease,
        Self::WatchLog,
        Self::ReadLog,
        Self::Snapshot,
        Self::Propose,
    ];

    /// The requester that the outcome is returned to.
    const fn requester(self) -> store::StoreRequester {
        match self {
            Self::WatchLog | Self::ReadLog | Self::ReadManifest | Self::ReadChunk => {
                store::StoreRequester::Rules
            }
            Self::ListContacts
            | Self::GrantLease { .. }
            | Self::ClaimSlot { .. }
            | Self::RenewLease
            | Self::ReleaseSlot
            | Self::Propose
            | Self::Resolve
            | Self::Snapshot => store::StoreRequester::Fleet,
        }
    }

    /// The index of the purpose's counter and the counter's metric name.
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
    times_out_at: time::NodeTime,
}

/// The pending requests, sorted by sequence number.
#[derive(Clone, Debug, Default)]
pub struct PendingRequests {
    sequence: u64,
    open: Vec<PendingRequest>,
}

impl PendingRequests {
    /// Records a new request and returns its id.
    pub fn open(&mut self, purpose: RequestPurpose, now: time::NodeTime) -> store::StoreId {
        self.sequence += 1;
        let sequence = self.sequence;
        self.open.push(PendingRequest {
            sequence,
            purpose,
            times_out_at: now + REQUEST_TIMEOUT,
        });
        store::StoreId {
            requester: purpose.requester(),
            sequence,
        }
    }

    /// Whether a request for `purpose` is pending.
    pub fn is_open(&self, purpose: RequestPurpose) -> bool {
        self.open.iter().any(|request| request.purpose == purpose)
    }

    /// Removes the request that an outcome belongs to and returns its purpose.
    pub fn close(&mut self, id: store::StoreId) -> Option<RequestPurpose> {
        let index = self
            .open
            .binary_search_by_key(&id.sequence, |request| request.sequence);
        index.ok().map(|index| self.open.remove(index).purpose)
    }

    /// Removes the requests that timed out and returns their purposes.
    ///
    /// The store client may have dropped their outcomes.
    pub fn take_timed_out(&mut self, now: time::NodeTime) -> Vec<RequestPurpose> {
        let timed_out = |request: &&PendingRequest| request.times_out_at <= now;
        let purposes = self
            .open
            .iter()
            .filter(timed_out)
            .map(|request| request.purpose);
        let purposes = purposes.collect();
        self.open.retain(|request| request.times_out_at > now);
        purposes
    }

    /// When the next request times out.
    pub fn next_timeout(&self) -> Option<time::NodeTime> {
        self.open.iter().map(|request| request.times_out_at).min()
    }
}
