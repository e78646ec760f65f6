//! Times, bounds and safeguards of the key owners.

use std::time::Duration;

/// Times, bounds and safeguards of the key owners.
///
/// The default is the one in force; others exist for tests. `docs/design/at-most-once.md` shows
/// the figures behind each value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyPolicy {
    /// How long a key is remembered.
    pub retention: Duration,
    /// Longest time from a caller's question to the use of a grant; also the longest deadline.
    pub max_call_duration: Duration,
    /// How long a primary grants without having read its own record in the store.
    pub max_unconfirmed: Duration,
    /// How often a primary reads its own record in the store.
    pub confirm_interval: Duration,
    /// Pause before a question is repeated.
    pub request_retry: Duration,
    /// Pause before an unacknowledged record, copy or outcome is repeated.
    pub send_retry: Duration,
    /// Pause before the store is asked again about a slot.
    pub store_retry: Duration,
    /// Time in which a node earns one more question to the store; zero for no bound.
    pub store_request_interval: Duration,
    /// Questions to the store that may follow one another at once.
    pub store_request_burst: u32,
    /// How long an answer of the store is waited for.
    pub store_timeout: Duration,
    /// How long both owners of a slot are missing before a third node takes it without records.
    pub orphan_timeout: Duration,
    /// How long an entry node remembers a question that it gave up.
    pub abandoned_retention: Duration,
    /// Slots looked at in each tick for one that nobody owns yet; zero claims on demand only.
    pub claim_scan_slots: u16,
    /// How long a node waits for membership to settle before it claims ahead.
    pub claim_delay: Duration,
    /// Questions and outcomes that an entry node holds at once.
    pub max_requests: usize,
    /// Records that a node holds in one slot.
    pub max_records: usize,
    /// Bytes of answers that a node keeps in one slot.
    pub max_answer_bytes: usize,
    /// Largest answer kept, in bytes of its body.
    pub max_cached_answer_bytes: usize,
    /// Records in one part of a copy.
    pub copy_part_records: usize,
    /// Safeguards; all on but in the experiments that show what each is for.
    pub guards: KeyGuards,
}

/// Safeguards of the key owners, each of which prevents a second run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyGuards {
    /// A key is granted only after the backup has recorded it.
    pub ack_before_grant: bool,
    /// Records and their acknowledgements count only in the receiver's own epoch.
    pub epoch_check: bool,
    /// A new backup gets the earlier records before anything new is granted.
    pub copy_records: bool,
    /// A key that an earlier primary may have granted is granted to no other call.
    pub held_keys_refused: bool,
    /// Where the records were lost, unknown keys are answered as may-have-run.
    pub lost_keys_refused: bool,
    /// A call runs under its first grant only, and not after it was given up.
    pub one_run_per_call: bool,
    /// Only the call that holds a key can free it.
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
