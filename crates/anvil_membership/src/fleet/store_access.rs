//! Questions to the store: sending them and handing their outcomes on.

use anvil_types::{store, time};

use crate::{effect, fleet, member, store_requests};

impl fleet::FleetState {
    /// Takes the outcome of a question to the store.
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
        if let Some(purpose) = self.asks.close(id) {
            self.answered(now, purpose, outcome, &mut out);
        }
        self.push_now(now, &mut out);
        out
    }

    /// Asks the store, unless the same is being asked already.
    pub(super) fn ask(
        &mut self,
        now: time::NodeTime,
        purpose: store_requests::RequestPurpose,
        request: store::StoreRequest,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if self.asks.is_open(purpose) {
            return;
        }
        self.counters.count_request(purpose);
        let id = self.asks.open(purpose, now);
        out.push(effect::FleetEffect::SendStoreRequest { id, request });
    }

    /// Gives up the questions whose answers never came.
    pub(super) fn lose_asks(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        for purpose in self.asks.take_timed_out(now) {
            self.answered(now, purpose, store::StoreOutcome::Unknown, out);
        }
    }

    /// Whether this node has told that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        let record = self.table.get(self.local);
        record.is_none_or(|r| r.facts.leaving || r.state != member::MemberState::Alive)
    }

    fn answered(
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
                self.on_contact_answer(now, purpose, outcome, out);
            }
            store_requests::RequestPurpose::WatchLog | store_requests::RequestPurpose::ReadLog => {
                self.on_log_answer(now, purpose, &outcome, out);
            }
            store_requests::RequestPurpose::ReadManifest => self.on_manifest(now, outcome, out),
            store_requests::RequestPurpose::ReadChunk => self.on_chunk(now, outcome, out),
            store_requests::RequestPurpose::Propose | store_requests::RequestPurpose::Resolve => {
                self.on_proposal_answer(now, outcome, out);
            }
            store_requests::RequestPurpose::Snapshot => self.on_snapshot_answer(now, outcome, out),
        }
    }
}
