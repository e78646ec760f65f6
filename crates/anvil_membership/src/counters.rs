//! Counters of membership events.

use crate::store_requests;

/// Counters since the start of the node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetCounters {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Datagrams sent that were rumours.
    pub rumours_sent: u64,
    /// Bulk messages sent.
    pub syncs_sent: u64,
    /// Bulk messages received.
    pub syncs_received: u64,
    /// Probes that failed.
    pub probes_failed: u64,
    /// Members that became suspect, whoever accused them.
    pub suspicions: u64,
    /// Claims about this node that it refuted.
    pub refutations: u64,
    /// Members that became known alive.
    pub members_up: u64,
    /// Members that did not refute a suspicion in time.
    pub members_crashed: u64,
    /// Members that announced that they left.
    pub members_left: u64,
    /// Members at whose address another node answered.
    pub members_replaced: u64,
    /// Claims rejected because a table was full.
    pub claims_refused: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Rule changes and snapshots that were applied.
    pub rules_adopted: u64,
    /// Requests to peers for rule changes that this node lacks.
    pub rule_pulls: u64,
    /// Requests to the store.
    pub store_requests: u64,
    /// Requests to the store, by purpose.
    pub requests_by_purpose: [u64; store_requests::RequestPurpose::COUNTED],
    /// Requests to the store that failed or whose outcome is unknown.
    pub store_failed: u64,
}

impl FleetCounters {
    /// Counts a request to the store.
    pub fn count_request(&mut self, purpose: store_requests::RequestPurpose) {
        self.store_requests += 1;
        self.requests_by_purpose[purpose.counter().0] += 1;
    }

    /// Metric names and values, for the metrics and the dump.
    pub fn pairs(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let counted = store_requests::RequestPurpose::ONE_PER_COUNTER
            .map(store_requests::RequestPurpose::counter);
        let requests = counted.map(|(index, name)| (name, self.requests_by_purpose[index]));
        self.totals().into_iter().chain(requests)
    }

    fn totals(&self) -> [(&'static str, u64); 18] {
        [
            ("fleet_datagrams_sent", self.datagrams_sent),
            ("fleet_datagrams_received", self.datagrams_received),
            ("fleet_rumours_sent", self.rumours_sent),
            ("fleet_syncs_sent", self.syncs_sent),
            ("fleet_syncs_received", self.syncs_received),
            ("fleet_probes_failed", self.probes_failed),
            ("fleet_suspicions", self.suspicions),
            ("fleet_refutations", self.refutations),
            ("fleet_members_up", self.members_up),
            ("fleet_members_crashed", self.members_crashed),
            ("fleet_members_left", self.members_left),
            ("fleet_members_replaced", self.members_replaced),
            ("fleet_claims_refused", self.claims_refused),
            ("fleet_pauses", self.pauses),
            ("fleet_rules_adopted", self.rules_adopted),
            ("fleet_rule_pulls", self.rule_pulls),
            ("fleet_store_asked", self.store_requests),
            ("fleet_store_failed", self.store_failed),
        ]
    }
}
