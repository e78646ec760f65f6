//! Requests to the store: sending them and dispatching their outcomes.

use anvil_types::{store, time};

use crate::{effect, fleet, member, store_requests};

impl fleet::FleetState {
    /// Handles the outcome of a request to the store.
    pub fn on_store(
        &mut self,
        now: time::NodeTime,
        id: store::StoreId,
        outcome: store::StoreOutcome,
    ) -> Vec<effect::FleetEffect> {
        let mut out = Vec::new();
        if self.left {
            return out;
        }
        self.note_pause(now, &mut out);
        if let Some(purpose) = self.requests.close(id) {
            self.on_request_outcome(now, purpose, outcome, &mut out);
        }
        self.send_rumour_if_due(now, &mut out);
        out
    }

    /// Sends a request to the store, unless one for the same purpose is pending.
    pub(super) fn request_store(
        &mut self,
        now: time::NodeTime,
        purpose: store_requests::RequestPurpose,
        request: store::StoreRequest,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if self.requests.is_open(purpose) {
            return;
        }
        self.counters.count_request(purpose);
        let id = self.requests.open(purpose, now);
        out.push(effect::FleetEffect::SendStoreRequest { id, request });
    }

    /// Handles requests that timed out as requests with an unknown outcome.
    pub(super) fn expire_requests(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        for purpose in self.requests.take_timed_out(now) {
            self.on_request_outcome(now, purpose, store::StoreOutcome::Unknown, out);
        }
    }

    /// Whether this node has announced that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        let record = self.table.get(self.local);
        record.is_none_or(|r| r.facts.leaving || r.state != member::MemberState::Alive)
    }

    fn on_request_outcome(
        &mut self,
        now: time::NodeTime,
        purpose: store_requests::RequestPurpose,
        outcome: store::StoreOutcome,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let failed = matches!(
            outcome,
            store::StoreOutcome::Unavailable
                | store::StoreOutcome::HistoryTrimmed
                | store::StoreOutcome::Unknown
        );
        self.counters.store_failed += u64::from(failed);
        match purpose {
            store_requests::RequestPurpose::ListContacts
            | store_requests::RequestPurpose::GrantLease { .. }
            | store_requests::RequestPurpose::ClaimSlot { .. }
            | store_requests::RequestPurpose::RenewLease
            | store_requests::RequestPurpose::ReleaseSlot => {
                self.on_contact_outcome(now, purpose, outcome, out);
            }
            store_requests::RequestPurpose::WatchLog | store_requests::RequestPurpose::ReadLog => {
                self.on_log_outcome(now, purpose, &outcome, out);
            }
            store_requests::RequestPurpose::ReadManifest => self.on_manifest(now, outcome, out),
            store_requests::RequestPurpose::ReadChunk => self.on_chunk(now, outcome, out),
            store_requests::RequestPurpose::Propose | store_requests::RequestPurpose::Resolve => {
                self.on_proposal_outcome(now, outcome, out);
            }
            store_requests::RequestPurpose::Snapshot => self.on_snapshot_outcome(now, outcome, out),
        }
    }
}
