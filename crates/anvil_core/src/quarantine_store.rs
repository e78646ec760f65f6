//! Quarantined requests in the platform's store, which outlast the end of all nodes; see
//! `docs/design/quarantine.md`.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_types::{backoff, ident, store, time};
use anvil_wire::suspicion;

use crate::{effect, reducer, timers};

/// The name of this part in log lines.
const PART: &str = "quarantine";

/// Prefix of the keys of all quarantined requests.
const KEY_PREFIX: &str = "quarantine/";

/// Maximum number of quarantined requests read from the store.
const READ_LIMIT: u32 = 256;

/// Maximum number of quarantined requests that wait to be written.
const MAX_UNWRITTEN: usize = 64;

/// The longest lease that stores grant.
const MAX_LEASE: Duration = Duration::from_secs(600);

/// The time after which a quarantined request is written. Until then, other nodes may know it to be
/// harmless.
const WRITE_DELAY: Duration = Duration::from_secs(2);

/// The time after the first read at which the entries are read again.
///
/// The first read may be seconds old, and a write whose answer is lost with its node may be carried out
/// after it. If all nodes have restarted, nobody else knows of these entries.
const REREAD_DELAY: Duration = Duration::from_secs(6);

/// First and longest pause after a failed request.
const PAUSES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(10));

/// A pending request to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreStep {
    /// Read what was quarantined before this node started.
    Read,
    /// Obtain a lease for the next unwritten request.
    Grant,
    /// Write the next unwritten request.
    Write,
}

/// The next read of what was quarantined before this node started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingRead {
    /// The first one, due at once.
    First,
    /// The second one, and when it is due.
    Second(time::NodeTime),
    /// None; both are done.
    None,
}

impl PendingRead {
    fn is_due(self, now: time::NodeTime) -> bool {
        match self {
            Self::First => true,
            Self::Second(at) => now >= at,
            Self::None => false,
        }
    }

    /// The read after this one, which is done now.
    fn next(self, now: time::NodeTime) -> Self {
        match self {
            Self::First => Self::Second(now + REREAD_DELAY),
            Self::Second(_) | Self::None => Self::None,
        }
    }
}

/// A quarantined request that this node has to write.
#[derive(Clone, Copy, Debug)]
struct UnwrittenRequest {
    request: suspicion::QuarantinedRequest,
    recorded_at: time::NodeTime,
}

/// The requests to the store about the quarantine, one at a time.
#[derive(Clone, Debug)]
pub(crate) struct QuarantineStore {
    /// Whether there is a store.
    enabled: bool,
    sequence: u64,
    open: Option<StoreStep>,
    pending_read: PendingRead,
    unwritten: VecDeque<UnwrittenRequest>,
    retry_at: time::NodeTime,
    backoff: backoff::RetryBackoff,
}

impl Default for QuarantineStore {
    fn default() -> Self {
        let (first, longest) = PAUSES;
        Self {
            enabled: false,
            sequence: 0,
            open: None,
            pending_read: PendingRead::First,
            unwritten: VecDeque::new(),
            retry_at: time::NodeTime::START,
            backoff: backoff::RetryBackoff::new(first, longest),
        }
    }
}

impl QuarantineStore {
    /// Drops what is written, or whose quarantine is over.
    fn next_unwritten(&mut self, now: time::NodeTime) -> Option<UnwrittenRequest> {
        while let Some(next) = self.unwritten.front() {
            if !next.left(now).is_zero() {
                return Some(*next);
            }
            self.unwritten.pop_front();
        }
        None
    }
}

impl UnwrittenRequest {
    fn left(&self, now: time::NodeTime) -> Duration {
        let quarantine = Duration::from_secs(u64::from(self.request.quarantine_seconds));
        quarantine.saturating_sub(now.since(self.recorded_at))
    }
}

fn key_of(fingerprint: ident::RequestFingerprint) -> store::StoreKey {
    store::StoreKey::new(&format!("{KEY_PREFIX}{:016x}", fingerprint.0))
}

impl reducer::NodeReducer {
    /// Reads and writes quarantined requests in the platform's store from now on.
    pub(crate) fn store_quarantine(&mut self) {
        self.quarantine_store.enabled = self.overload.policy.quarantine;
        self.timers
            .set(self.now, timers::TimerKind::QuarantineStore);
    }

    /// Writes a request whose quarantine this node has decided.
    ///
    /// Each node that hears of the last crash decides the same; the node beside the crashed target
    /// writes.
    pub(crate) fn write_quarantined(&mut self, request: suspicion::QuarantinedRequest) {
        let store = &mut self.quarantine_store;
        let decided_here = request.last.node == self.config.node;
        if !store.enabled || !decided_here || store.unwritten.len() == MAX_UNWRITTEN {
            return;
        }
        store.unwritten.push_back(UnwrittenRequest {
            request,
            recorded_at: self.now,
        });
        let write_at = self.now + WRITE_DELAY;
        self.timers
            .set(write_at, timers::TimerKind::QuarantineStore);
    }

    /// Sends the next request to the store, unless one is pending or has just failed.
    pub(crate) fn advance_quarantine_store(&mut self) {
        let now = self.now;
        let store = &self.quarantine_store;
        if !store.enabled || store.open.is_some() || now < store.retry_at {
            return;
        }
        if store.pending_read.is_due(now) {
            let request = store::StoreRequest::List {
                prefix: store::StoreKey::new(KEY_PREFIX),
                after: None,
                limit: READ_LIMIT,
            };
            self.ask_quarantine_store(StoreStep::Read, request);
            return;
        }
        self.drop_harmless();
        let next = self.quarantine_store.next_unwritten(now);
        if let Some(next) = next.filter(|next| now >= next.recorded_at + WRITE_DELAY) {
            let lease = next.left(now).min(MAX_LEASE);
            self.ask_quarantine_store(StoreStep::Grant, store::StoreRequest::Grant { lease });
        }
    }

    /// Drops requests whose quarantine has ended before they were written.
    fn drop_harmless(&mut self) {
        let (now, poison) = (self.now, &self.overload.poison);
        let store = &mut self.quarantine_store;
        store
            .unwritten
            .retain(|next| poison.is_quarantined(now, next.request.fingerprint));
    }

    /// Handles the outcome of a request to the store.
    pub(crate) fn quarantine_store_answered(
        &mut self,
        id: store::StoreId,
        outcome: &store::StoreOutcome,
    ) {
        let store = &mut self.quarantine_store;
        if id.sequence != store.sequence {
            return;
        }
        let Some(step) = store.open.take() else {
            return;
        };
        match (step, outcome) {
            (
                StoreStep::Read,
                store::StoreOutcome::Done(store::StoreReply::Listed { entries, .. }),
            ) => {
                store.pending_read = store.pending_read.next(self.now);
                if let PendingRead::Second(at) = store.pending_read {
                    self.timers.set(at, timers::TimerKind::QuarantineStore);
                }
                let values = entries.iter().map(|entry| &entry.value);
                let requests: Vec<_> = values
                    .filter_map(|value| suspicion::QuarantinedRequest::from_value(value))
                    .collect();
                self.report_unreadable(entries.len() - requests.len());
                self.quarantine_heard(&requests);
            }
            (StoreStep::Grant, store::StoreOutcome::Done(store::StoreReply::Granted { lease })) => {
                self.write_next_quarantined(*lease);
                return;
            }
            // A conflict means that it is written already.
            (
                StoreStep::Write,
                store::StoreOutcome::Done(_) | store::StoreOutcome::Conflict { .. },
            ) => {
                store.unwritten.pop_front();
            }
            _ => {
                let random = self.random();
                let store = &mut self.quarantine_store;
                store.retry_at = self.now + store.backoff.next_pause(random);
                let retry_at = store.retry_at;
                self.timers
                    .set(retry_at, timers::TimerKind::QuarantineStore);
                return;
            }
        }
        self.quarantine_store.backoff.reset();
        self.advance_quarantine_store();
    }

    fn report_unreadable(&mut self, count: usize) {
        if count > 0 {
            self.report(effect::StateChange::Part {
                part: PART,
                text: format!("entries of the store skipped: unreadable={count}"),
            });
        }
    }

    fn write_next_quarantined(&mut self, lease: store::LeaseId) {
        let next = self.quarantine_store.next_unwritten(self.now);
        let value =
            next.and_then(|next| Some((next.request.fingerprint, next.request.to_value()?)));
        if let Some((fingerprint, value)) = value {
            let request = store::StoreRequest::Swap {
                key: key_of(fingerprint),
                condition: store::SwapCondition::Absent,
                value,
                lease: Some(lease),
            };
            self.ask_quarantine_store(StoreStep::Write, request);
        }
    }

    fn ask_quarantine_store(&mut self, step: StoreStep, request: store::StoreRequest) {
        self.counters.store_asked_quarantine += 1;
        let store = &mut self.quarantine_store;
        store.sequence += 1;
        store.open = Some(step);
        let id = store::StoreId {
            requester: store::StoreRequester::Quarantine,
            sequence: store.sequence,
        };
        self.effects
            .push(effect::NodeEffect::SendStoreRequest { id, request });
    }
}
