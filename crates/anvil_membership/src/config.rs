//! The constants of membership, in one place, with the figures behind them in
//! `docs/design/membership.md`.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::store;

use crate::contact;

/// Time between two pings of members believed gone in a fleet of hundreds of nodes at most: each
/// node sends one datagram, so an address that came back is met within a second or so.
pub const SMALL_RECONNECT_INTERVAL: Duration = Duration::from_millis(700);

/// How long such a fleet remembers a member that is gone; machines that are away longer find the
/// fleet by the store when they return.
pub const SMALL_TOMBSTONE_SPAN: Duration = Duration::from_secs(60);

/// Settings of one node's membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Datagram addresses of nodes to join through without the store; may be empty.
    pub seeds: Vec<SocketAddr>,
    /// Whether the settings name a store; without one, rules live in the nodes' memory only.
    pub store: bool,
    /// The key at which operators keep the whole rules, where they write them there themselves;
    /// otherwise the rules are the log of the changes that nodes accepted.
    pub document: Option<store::StoreKey>,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time after which an unanswered ping is sent once more.
    pub resend_after: Duration,
    /// Time after which helpers are asked to ping.
    pub indirect_after: Duration,
    /// Helpers asked.
    pub helpers: usize,
    /// Shortest time that a suspect has to refute, with enough independent accusers.
    pub suspicion_floor: Duration,
    /// Time that a suspect has to refute a single accuser.
    pub suspicion_ceiling: Duration,
    /// Time between two pings of an accuser to the accused.
    pub suspect_ping_interval: Duration,
    /// Datagrams that carry an update, for each doubling of the fleet.
    pub relay_factor: u8,
    /// Bytes of updates on a probe's datagram.
    pub piggyback_bytes: usize,
    /// Bytes of updates on a rumour.
    pub rumour_bytes: usize,
    /// Members that get a rumour.
    pub fanout: usize,
    /// Time in which one more rumour is earned.
    pub rumour_interval: Duration,
    /// Rumours that may follow one another at once.
    pub rumour_burst: u32,
    /// Time between two exchanges of digests.
    pub sync_interval: Duration,
    /// Time between two pings of members believed gone, to find a healed partition.
    pub reconnect_interval: Duration,
    /// Whether the addresses of members that left are pinged too.
    ///
    /// Failure: a node restarts while the store is away. Symptom: it finds nobody, and nobody looks
    /// for it, since the node that it was has left; it refuses everything until the store is back.
    /// Its peers know the address, and whoever answers there is met.
    pub ping_left_members: bool,
    /// Age of a list of contacts beyond which a node that met nobody reads it again before it tries
    /// for a slot.
    pub max_list_age: Duration,
    /// How long a member that is gone is remembered.
    pub tombstone_span: Duration,
    /// Lateness of a wake that counts as a pause of this process.
    pub pause_margin: Duration,
    /// Whether the local health counter and the pause check are in force; off only in tests that
    /// show what they prevent.
    pub lifeguard: bool,
    /// Most members kept alive in the table.
    pub member_limit: usize,
    /// Most members kept as gone in the table.
    pub tombstone_limit: usize,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            store: false,
            document: None,
            probe_interval: Duration::from_secs(1),
            resend_after: Duration::from_millis(250),
            indirect_after: Duration::from_millis(500),
            helpers: 3,
            suspicion_floor: Duration::from_secs(4),
            suspicion_ceiling: Duration::from_secs(6),
            suspect_ping_interval: Duration::from_millis(250),
            relay_factor: 2,
            piggyback_bytes: 500,
            rumour_bytes: 1_000,
            fanout: 4,
            rumour_interval: Duration::from_secs(1),
            rumour_burst: 4,
            sync_interval: Duration::from_secs(30),
            reconnect_interval: Duration::from_secs(10),
            ping_left_members: false,
            max_list_age: contact::MAX_LIST_AGE,
            tombstone_span: Duration::from_secs(3_600),
            pause_margin: Duration::from_millis(500),
            lifeguard: true,
            member_limit: 65_536,
            tombstone_limit: 16_384,
        }
    }
}
