//! The settings of membership; `docs/design/membership.md` derives their defaults.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::store;

use crate::contact;

/// Interval of pings to departed members in a fleet of at most a few hundred nodes.
///
/// Each node sends one datagram per interval, so a restarted node at a known address is found
/// within about a second.
pub const SMALL_RECONNECT_INTERVAL: Duration = Duration::from_millis(700);

/// Time that such a fleet remembers a departed member; machines that are away for longer find the
/// fleet through the store when they return.
pub const SMALL_TOMBSTONE_SPAN: Duration = Duration::from_secs(60);

/// The membership settings of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Datagram addresses of nodes to join through without a store; may be empty.
    pub seeds: Vec<SocketAddr>,
    /// Whether a store is configured; without one, rules are held in the nodes' memory only.
    pub store: bool,
    /// The key of the rule document, if operators write the complete rules to the store
    /// themselves; otherwise the rules are the log of the changes that nodes accepted.
    pub document: Option<store::StoreKey>,
    /// Interval of probes.
    pub probe_interval: Duration,
    /// Time after which a ping without an ack is sent again.
    pub resend_after: Duration,
    /// Time after which indirect pings are requested from helpers.
    pub indirect_after: Duration,
    /// Number of helpers that are sent a ping request.
    pub helpers: usize,
    /// Time that a suspect has to refute if there are enough independent accusers.
    pub suspicion_floor: Duration,
    /// Time that a suspect has to refute if there is a single accuser.
    pub suspicion_ceiling: Duration,
    /// Interval at which an accuser pings a suspect.
    pub suspect_ping_interval: Duration,
    /// Number of datagrams that carry an update, per doubling of the fleet size.
    pub relay_factor: u8,
    /// Maximum size of the updates on a probe datagram, in bytes.
    pub piggyback_bytes: usize,
    /// Maximum size of the updates on a rumour, in bytes.
    pub rumour_bytes: usize,
    /// Number of members that a rumour is sent to.
    pub fanout: usize,
    /// Time after which the rumour budget gains one token.
    pub rumour_interval: Duration,
    /// Maximum number of tokens in the rumour budget.
    pub rumour_burst: u32,
    /// Interval of digest exchanges.
    pub sync_interval: Duration,
    /// Interval of pings to departed members, which detect that a partition has healed.
    pub reconnect_interval: Duration,
    /// Whether the addresses of members that left are pinged too.
    ///
    /// A node that restarts while the store is unavailable finds no peers, and peers do not contact
    /// it because its previous instance left, so it refuses all requests until the store is back.
    /// With these pings, peers find the new node at the address of the previous one.
    pub ping_left_members: bool,
    /// Maximum age of the contact list by which a node without peers may claim a slot; with an
    /// older one it lists the contacts again first.
    pub max_list_age: Duration,
    /// Time that a departed member is remembered.
    pub tombstone_span: Duration,
    /// Delay of a wake-up that counts as a pause of this process.
    pub pause_margin: Duration,
    /// Whether the local health score and the pause detection are enabled; disabled only in tests
    /// that show what they prevent.
    pub lifeguard: bool,
    /// Maximum number of live members in the table.
    pub member_limit: usize,
    /// Maximum number of departed members in the table.
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
