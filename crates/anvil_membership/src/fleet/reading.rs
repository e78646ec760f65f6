//! Reads of the rules in the store: the log behind a gap, and the rule document now and then.

use anvil_types::{store, time};
use anvil_wire::gossip;

use crate::{effect, fleet, keys, spread, store_requests};

impl fleet::FleetState {
    /// Schedules a read of the log in the store, unless reads are failing.
    pub(super) fn read_log_soon(&mut self, now: time::NodeTime) {
        // After the first read of a rule document, newer versions arrive by watches and polls.
        if self.config.document.is_some() && self.rules.caught_up {
            return;
        }
        if self.config.store && (!self.rules.store_failed || self.rules.read_at.is_none()) {
            self.rules.read_at = Some(now);
        }
    }

    /// Whether a read of the log or of a snapshot is pending.
    pub(super) fn is_reading_rules(&self) -> bool {
        let purposes = [
            store_requests::RequestPurpose::ReadLog,
            store_requests::RequestPurpose::ReadManifest,
            store_requests::RequestPurpose::ReadChunk,
        ];
        purposes
            .iter()
            .any(|purpose| self.requests.is_open(*purpose))
    }

    /// When the next read or poll is due, unless a read is pending.
    pub(super) fn next_read_at(&self) -> Option<time::NodeTime> {
        let rules = &self.rules;
        let refreshes = self.config.document.is_some() && rules.caught_up;
        let refresh_at = refreshes.then(|| rules.refresh.next_read_at(self.table.live()));
        let due = [rules.read_at, refresh_at].into_iter().flatten().min();
        due.filter(|_| !self.is_reading_rules())
    }

    /// Records a read of the rule document, and tells other nodes of it if it brought newer rules
    /// or the last confirmation is some time ago.
    pub(super) fn confirm_document(
        &mut self,
        now: time::NodeTime,
        is_newer: bool,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let is_due = self.rules.refresh.read_succeeded(now, &mut self.choice);
        if !is_due && !is_newer {
            return;
        }
        let members = self.table.all();
        let start = self.choice.below(members.len());
        let members = members[start..].iter().chain(&members[..start]);
        let others = members.filter(|m| m.node != self.local && m.state.is_live());
        let told = others.take(spread::CONFIRMATION_RECEIVERS);
        let addresses: Vec<_> = told.map(|m| m.facts.udp).collect();
        for to in addresses {
            self.send(to, gossip::GossipKind::Rumour, Vec::new(), out);
        }
    }

    pub(super) fn read_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if self.next_read_at().is_none_or(|due| due > now) {
            return;
        }
        self.rules.read_at = None;
        self.rules.refresh.read_sent(now);
        let held = self.revision();
        if let Some(key) = self.config.document.clone() {
            let request = store::StoreRequest::List {
                prefix: key,
                after: None,
                limit: 1,
            };
            self.request_store(now, store_requests::RequestPurpose::ReadLog, request, out);
            return;
        }
        let request = store::StoreRequest::List {
            prefix: store::StoreKey::new(keys::LOG),
            after: (held.0 > 0).then(|| keys::log_entry(held)),
            limit: spread::READ_LIMIT,
        };
        self.request_store(now, store_requests::RequestPurpose::ReadLog, request, out);
    }
}
