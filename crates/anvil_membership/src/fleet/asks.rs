//! Questions to the store: sending them and handing their outcomes on.

use anvil_types::{store, time};

use crate::asking::AskPurpose;
use crate::effect::FleetEffect;
use crate::fleet::FleetState;
use crate::member::MemberState;

impl FleetState {
    /// Takes the outcome of a question to the store.
    pub fn on_store(
        &mut self,
        now: time::NodeTime,
        id: store::StoreId,
        outcome: store::StoreOutcome,
    ) -> Vec<FleetEffect> {
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
        purpose: AskPurpose,
        ask: store::StoreAsk,
        out: &mut Vec<FleetEffect>,
    ) {
        if self.asks.is_open(purpose) {
            return;
        }
        self.counters.store_asked += 1;
        let id = self.asks.open(purpose, now);
        out.push(FleetEffect::AskStore { id, ask });
    }

    /// Gives up the questions whose answers never came.
    pub(super) fn lose_asks(&mut self, now: time::NodeTime, out: &mut Vec<FleetEffect>) {
        for purpose in self.asks.take_lost(now) {
            self.answered(now, purpose, store::StoreOutcome::Unknown, out);
        }
    }

    /// Whether this node has told that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        let record = self.table.get(self.local);
        record.is_none_or(|r| r.facts.leaving || r.state != MemberState::Alive)
    }

    fn answered(
        &mut self,
        now: time::NodeTime,
        purpose: AskPurpose,
        outcome: store::StoreOutcome,
        out: &mut Vec<FleetEffect>,
    ) {
        let failed = matches!(
            outcome,
            store::StoreOutcome::Unavailable | store::StoreOutcome::Unknown
        );
        self.counters.store_failed += u64::from(failed);
        match purpose {
            AskPurpose::FindContacts
            | AskPurpose::GrantContact { .. }
            | AskPurpose::TakeContact { .. }
            | AskPurpose::RenewContact
            | AskPurpose::ReleaseContact => self.on_contact_answer(now, purpose, outcome, out),
            AskPurpose::WatchLog | AskPurpose::ReadLog => {
                self.on_log_answer(now, purpose, outcome, out);
            }
            AskPurpose::ReadManifest => self.on_manifest(now, outcome, out),
            AskPurpose::ReadChunk => self.on_chunk(now, outcome, out),
            AskPurpose::Propose | AskPurpose::Resolve => {
                self.on_proposal_answer(now, outcome, out);
            }
            AskPurpose::Snapshot => self.on_snapshot_answer(now, outcome, out),
        }
    }
}
