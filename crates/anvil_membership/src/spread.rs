//! The state of rule distribution: the rules that a node holds, and how it obtains newer ones.
//!
//! The store holds the rules either as a log of the changes that nodes accepted, with snapshots, or
//! as a document with the complete rules that operators write under one key.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{backoff, ident, store, time};
use anvil_wire::gossip;

use crate::{proposal, refresh, rule_log};

/// Number of ready members whose revisions a starting node compares with its own if the store can't
/// be read.
pub const PEERS_COMPARED: usize = 3;

/// Time after the start before the store is read, so that a node can first obtain the rules from
/// peers.
pub const STORE_READ_DELAY: Duration = Duration::from_millis(1_500);

/// Time after which a node without a store and without ready peers becomes ready on its own.
pub const STANDALONE_DELAY: Duration = Duration::from_secs(2);

/// Time after which a pull request is sent again.
pub const PULL_RETRY: Duration = Duration::from_millis(300);

/// Number of members that a pull request is sent to if the first one did not answer. Connections to
/// several members may be silent, and a silent one is noticed late.
pub const PULL_RETRY_MEMBERS: usize = 3;

/// Maximum duration of a watch of the rule log.
pub const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Maximum number of changes read by one request.
pub const READ_LIMIT: u32 = 64;

/// Number of changes between two snapshots; the log holds at most these, a random extra share of
/// them and the retained ones.
pub const SNAPSHOT_EVERY: u64 = 512;

/// Number of changes up to a snapshot that stay in the log, for readers that lag slightly.
pub const RETAINED_LOG_CHANGES: u64 = 256;

/// Size of a snapshot chunk in bytes, half of the store's limit for a value.
pub const CHUNK_BYTES: usize = store::MAX_VALUE_BYTES / 2;

/// Maximum number of chunks of a snapshot that is read.
pub const CHUNK_LIMIT: u32 = 32;

const PAUSE_FIRST: Duration = Duration::from_secs(1);
const PAUSE_LIMIT: Duration = Duration::from_secs(10);

/// Maximum duration of a watch of the rule document.
///
/// A silent connection is detected one second after it; until then, changes arrive through peers
/// and polls.
pub const DOCUMENT_WATCH_WAIT: Duration = Duration::from_millis(7_500);

/// Number of nodes of each zone that watch the rule document; the others receive changes from them.
///
/// Two, so that the loss of one has no effect; each costs one call every seven and a half seconds.
pub const DOCUMENT_WATCHERS: usize = 2;

/// Maximum number of members that are told of a read of the rule document, which bounds the
/// datagrams that one node sends at once. In a larger fleet, more nodes read for themselves.
pub const CONFIRMATION_RECEIVERS: usize = 256;

/// First and longest pause after a failed read of the rule document; the longest is below the two
/// seconds within which operators expect a change to be in force.
const DOCUMENT_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_200));

/// The backoff of reads of the rule document.
pub fn document_backoff() -> backoff::RetryBackoff {
    let (first, longest) = DOCUMENT_BACKOFF;
    backoff::RetryBackoff::new(first, longest)
}

/// A pull request to a member that holds newer rules.
#[derive(Clone, Copy, Debug)]
pub struct OpenPull {
    /// The address that it was sent to.
    pub from: SocketAddr,
    /// The revision that this member holds.
    pub revision: ident::RuleRevision,
    /// When the request is sent again.
    pub retry_at: time::NodeTime,
}

/// A snapshot that is being read from the store.
#[derive(Clone, Debug)]
pub struct SnapshotLoad {
    /// The manifest of the snapshot.
    pub manifest: gossip::SnapshotManifest,
    /// The concatenated chunks read so far.
    pub body: Vec<u8>,
    /// The index of the next chunk.
    pub next: u32,
}

/// The rules that this node holds, and the state of its reads, watches, pulls and proposals.
#[derive(Clone, Debug)]
pub struct RuleDistribution {
    /// The changes held.
    pub log: rule_log::RuleLog,
    /// Whether the revision held was compared with peers or with the store.
    pub ready: bool,
    /// Ready members that sent a message before this node was ready, at most [`PEERS_COMPARED`].
    pub ready_peers: Vec<ident::NodeId>,
    /// The highest revision in a received message or held by this node.
    pub highest_seen: ident::RuleRevision,
    /// When a message first told of a newer revision than the one held; none if none does.
    pub heard_at: Option<time::NodeTime>,
    /// The pending pull request.
    pub pull: Option<OpenPull>,
    /// When to read the log or the document in the store next.
    pub read_at: Option<time::NodeTime>,
    /// Whether the last read failed.
    pub store_failed: bool,
    /// Whether the log was read to its end, so that the store holds no newer revision.
    pub caught_up: bool,
    /// When a node without a store and without ready peers becomes ready on its own.
    pub standalone_at: time::NodeTime,
    /// When to watch the log or the document next.
    pub watch_at: time::NodeTime,
    /// Whether this node watches the document or the log. Only [`DOCUMENT_WATCHERS`] nodes of each
    /// zone watch the document.
    pub is_watcher: bool,
    /// When a node that has not compared its members decides whether it is a watcher.
    pub watcher_choice_at: time::NodeTime,
    /// When the store last answered a request of this node about the document or the log.
    pub answered_at: time::NodeTime,
    /// Whether the last request about the document or the log failed.
    pub is_unconfirmed: bool,
    /// When to read the document without another reason.
    pub refresh: refresh::RefreshSchedule,
    /// The version of the store up to which the log or the document is known.
    pub seen: store::StoreVersion,
    /// Pauses after failures of the store.
    pub backoff: backoff::RetryBackoff,
    /// The snapshot that is being read.
    pub load: Option<SnapshotLoad>,
    /// The proposal of an operator's change.
    pub proposal: Option<proposal::OpenProposal>,
}

impl RuleDistribution {
    /// Starts at `now` without rules.
    pub fn new(now: time::NodeTime, reads_store: bool, has_seeds: bool) -> Self {
        Self {
            log: rule_log::RuleLog::default(),
            // Without a store and without peers there is nothing to compare with.
            ready: !reads_store && !has_seeds,
            ready_peers: Vec::new(),
            highest_seen: ident::RuleRevision::default(),
            heard_at: None,
            pull: None,
            read_at: reads_store.then_some(now + STORE_READ_DELAY),
            store_failed: false,
            caught_up: false,
            standalone_at: now + STANDALONE_DELAY,
            watch_at: now,
            is_watcher: true,
            watcher_choice_at: now + STORE_READ_DELAY,
            answered_at: now,
            is_unconfirmed: false,
            refresh: refresh::RefreshSchedule::new(now),
            seen: store::StoreVersion::default(),
            backoff: backoff::RetryBackoff::new(PAUSE_FIRST, PAUSE_LIMIT),
            load: None,
            proposal: None,
        }
    }
}
