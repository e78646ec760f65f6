//! Timeouts, limits and safeguards of the key owners.

use std::time::Duration;

/// Timeouts, limits and safeguards of the key owners.
///
/// Production uses the default; tests use other values. `docs/design/at-most-once.md` gives the
/// reason for each value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyPolicy {
    /// How long the record of a key is retained.
    pub retention: Duration,
    /// Longest time from a caller's request to the use of a grant; also the longest deadline.
    pub max_call_duration: Duration,
    /// How long a primary grants new keys without having read its own record in the store.
    pub max_unconfirmed: Duration,
    /// How often a primary reads its own record in the store.
    pub confirm_interval: Duration,
    /// Delay before a request for a key is repeated after a reply that did not decide it.
    pub request_retry: Duration,
    /// Delay before an unanswered request, record, copy or outcome is repeated.
    pub send_retry: Duration,
    /// Delay before the next request about a slot after the store failed to reply.
    pub store_retry: Duration,
    /// Interval at which a node may send one more request to the store; zero for no limit.
    pub store_request_interval: Duration,
    /// Requests to the store that may be sent without that interval between them.
    pub store_request_burst: u32,
    /// How long to wait for a reply of the store.
    pub store_timeout: Duration,
    /// How long both owners of a slot are missing before a third node takes it over without its
    /// records.
    pub orphan_timeout: Duration,
    /// How long an entry node retains an abandoned request, to return a late grant.
    pub abandoned_retention: Duration,
    /// Slots scanned in each tick for unowned ones to claim; zero claims slots on demand only.
    pub claim_scan_slots: u16,
    /// How long after its start a node begins to claim unowned slots, so that membership can
    /// settle.
    pub claim_delay: Duration,
    /// Requests and outcomes that an entry node tracks at once.
    pub max_requests: usize,
    /// Records that a node holds in one slot.
    pub max_records: usize,
    /// Bytes of answers that a node caches in one slot.
    pub max_answer_bytes: usize,
    /// Largest answer that is cached, in bytes of its headers and body.
    pub max_cached_answer_bytes: usize,
    /// Records in one part of a copy.
    pub copy_part_records: usize,
    /// Safeguards; all on, except in tests that show which failure each one prevents.
    pub guards: KeyGuards,
}

/// Safeguards of the key owners, each of which prevents a second run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyGuards {
    /// A key is granted only after the backup has recorded it.
    pub ack_before_grant: bool,
    /// Records and their acknowledgements are accepted only in the receiver's own epoch.
    pub epoch_check: bool,
    /// A new backup receives the existing records before a new key is granted.
    pub copy_records: bool,
    /// A key that an earlier primary may have granted is granted to no other call.
    pub held_keys_refused: bool,
    /// If the records were lost, unknown keys are answered as may-have-run.
    pub lost_keys_refused: bool,
    /// A call runs under its first grant only, and not after it was abandoned.
    pub one_run_per_call: bool,
    /// Only the call that holds a key can release it.
    pub holder_frees: bool,
}

impl KeyGuards {
    /// Every safeguard on.
    pub const ALL: Self = Self {
        ack_before_grant: true,
        epoch_check: true,
        copy_records: true,
        held_keys_refused: true,
        lost_keys_refused: true,
        one_run_per_call: true,
        holder_frees: true,
    };
}

impl Default for KeyPolicy {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(3_600),
            max_call_duration: Duration::from_secs(600),
            max_unconfirmed: Duration::from_secs(1_800),
            confirm_interval: Duration::from_secs(300),
            request_retry: Duration::from_millis(25),
            send_retry: Duration::from_millis(250),
            store_retry: Duration::from_secs(1),
            store_request_interval: Duration::from_millis(20),
            store_request_burst: 128,
            store_timeout: Duration::from_secs(3),
            orphan_timeout: Duration::from_secs(30),
            abandoned_retention: Duration::from_secs(60),
            claim_scan_slots: 32,
            claim_delay: Duration::from_secs(5),
            max_requests: 4_096,
            max_records: 320_000,
            max_answer_bytes: 256 * 1024,
            max_cached_answer_bytes: 16 * 1024,
            copy_part_records: 512,
            guards: KeyGuards::ALL,
        }
    }
}
