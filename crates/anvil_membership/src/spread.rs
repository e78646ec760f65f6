//! What a node knows about the rules in force, and how it learns more.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{backoff, ident, store, time};
use anvil_wire::gossip;

use crate::{proposal, rule_log};

/// Ready members whose revisions a newcomer compares with when the store can't be read.
pub const PEERS_COMPARED: usize = 3;

/// Time in which a newcomer first learns from peers before it reads the store.
pub const STORE_READ_DELAY: Duration = Duration::from_millis(1_500);

/// Time after which a node without a store and without ready peers begins on its own.
pub const STANDALONE_DELAY: Duration = Duration::from_secs(2);

/// Time after which a pull is sent again.
pub const PULL_RETRY: Duration = Duration::from_millis(300);

/// Longest wait of one watch.
pub const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Changes read at once.
pub const READ_LIMIT: u32 = 64;

/// Changes between two snapshots: the log stays below this, a random part and the kept ones.
pub const SNAPSHOT_EVERY: u64 = 512;

/// Changes that stay in the log behind a snapshot, for readers that are just behind.
pub const RETAINED_LOG_CHANGES: u64 = 256;

/// Bytes of one chunk of a snapshot, half of what the store holds in a value.
pub const CHUNK_BYTES: usize = store::MAX_VALUE_BYTES / 2;

/// Most chunks of a snapshot that a reader takes.
pub const CHUNK_LIMIT: u32 = 32;

const PAUSE_FIRST: Duration = Duration::from_secs(1);
const PAUSE_LIMIT: Duration = Duration::from_secs(10);

/// Longest wait of one watch of a key that holds the whole rules. A connection that went silent is
/// noticed after it and one more second, and until then a change comes from the peers.
pub const DOCUMENT_WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// Nodes of each zone that watch such a key; the others hear of a change from them. Two, so that the
/// loss of one goes unnoticed; each costs a call in two and a half seconds.
pub const DOCUMENT_WATCHERS: usize = 2;

/// Time between two looks at the key by nodes that do not watch it, over the whole fleet.
///
/// Failure: all that watch vanish at once, or the store turns just these away. Symptom: a change waits
/// until membership has found them gone, some seconds later. The others look now and then, the more
/// seldom the more they are, so the calls do not grow with the fleet.
pub const DOCUMENT_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The wait of such a look: it only asks whether something is newer.
pub const DOCUMENT_POLL_WAIT: Duration = Duration::from_millis(1);

/// First and longest pause after a failed read of such a key; the longest is below the two seconds
/// within which operators expect a change to be in force.
const DOCUMENT_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_200));

/// Pauses after failures of the store where one key holds the whole rules.
pub fn document_backoff() -> backoff::RetryBackoff {
    let (first, longest) = DOCUMENT_BACKOFF;
    backoff::RetryBackoff::new(first, longest)
}

/// A pull from a member that holds more.
#[derive(Clone, Copy, Debug)]
pub struct OpenPull {
    /// Whom it was sent to.
    pub from: SocketAddr,
    /// The revision that member holds.
    pub revision: ident::RuleRevision,
    /// When it is sent again.
    pub retry_at: time::NodeTime,
}

/// A snapshot being read from the store.
#[derive(Clone, Debug)]
pub struct SnapshotLoad {
    /// What is being read.
    pub manifest: gossip::SnapshotManifest,
    /// The chunks so far, one behind another.
    pub body: Vec<u8>,
    /// The next chunk.
    pub next: u32,
}

/// The rules as far as this node holds them, and the ways to more.
#[derive(Clone, Debug)]
pub struct RuleSpread {
    /// The changes held.
    pub log: rule_log::RuleLog,
    /// Whether the revision held was compared with peers or with the store.
    pub ready: bool,
    /// Ready members heard, at most [`PEERS_COMPARED`].
    pub ready_peers: Vec<ident::NodeId>,
    /// The highest revision heard of.
    pub highest_seen: ident::RuleRevision,
    /// The pull that is out.
    pub pull: Option<OpenPull>,
    /// When to read the log in the store next.
    pub read_at: Option<time::NodeTime>,
    /// Whether the last read failed.
    pub store_failed: bool,
    /// Whether the log was read to its end, with nothing behind the revision held.
    pub caught_up: bool,
    /// When a node without any source begins on its own.
    pub standalone_at: time::NodeTime,
    /// When to watch the log next.
    pub watch_at: time::NodeTime,
    /// Whether this node watches rather than looks now and then. Where one key holds the whole rules,
    /// two nodes of each zone do; the log is watched by all that may.
    pub is_watcher: bool,
    /// When a node that has not compared its members decides whether it watches.
    pub watcher_choice_at: time::NodeTime,
    /// When this node last had an answer about the key.
    pub polled_at: time::NodeTime,
    /// Time for each member after which a node that does not watch the key looks at it.
    pub poll_interval: Duration,
    /// The point in the store's order up to which the log is known.
    pub seen: store::StoreVersion,
    /// Pauses after failures of the store.
    pub backoff: backoff::RetryBackoff,
    /// A snapshot being read.
    pub load: Option<SnapshotLoad>,
    /// The operator's change being written.
    pub proposal: Option<proposal::OpenProposal>,
}

impl RuleSpread {
    /// Holds nothing at `now`.
    pub fn new(now: time::NodeTime, reads_store: bool, has_seeds: bool) -> Self {
        Self {
            log: rule_log::RuleLog::default(),
            // Without a store and without peers there is nothing to compare with.
            ready: !reads_store && !has_seeds,
            ready_peers: Vec::new(),
            highest_seen: ident::RuleRevision::default(),
            pull: None,
            read_at: reads_store.then_some(now + STORE_READ_DELAY),
            store_failed: false,
            caught_up: false,
            standalone_at: now + STANDALONE_DELAY,
            watch_at: now,
            is_watcher: true,
            watcher_choice_at: now + STORE_READ_DELAY,
            polled_at: now,
            poll_interval: DOCUMENT_POLL_INTERVAL,
            seen: store::StoreVersion::default(),
            backoff: backoff::RetryBackoff::new(PAUSE_FIRST, PAUSE_LIMIT),
            load: None,
            proposal: None,
        }
    }
}
