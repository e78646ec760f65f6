//! Membership and rule distribution messages; see `docs/design/membership.md`.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, name};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{bounded, quota, shutdown, suspicion};

/// Maximum number of membership updates in a datagram.
pub const MAX_DATAGRAM_UPDATES: usize = 128;

/// Maximum number of membership updates in a bulk message; they take about 80 kB.
pub const MAX_BULK_UPDATES: usize = 1_000;

/// Maximum number of bucket checksums in a digest.
pub const MAX_DIGEST_BUCKETS: usize = 2_048;

/// Maximum number of member headers or ids in a bulk message; four times the largest expected
/// fleet.
pub const MAX_MEMBER_HEADERS: usize = 65_536;

/// Maximum number of rule changes in a message.
pub const MAX_CHANGES: usize = 1_024;

/// Maximum number of lagging members listed in a census.
pub const MAX_LAGGING_MEMBERS: usize = 8;

/// A node's description of itself; other nodes store it unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFacts {
    /// Address at which the node accepts peer connections.
    pub tcp: SocketAddr,
    /// Address at which the node accepts datagrams.
    pub udp: SocketAddr,
    /// The availability zone of the node.
    pub zone: name::ZoneName,
    /// The region of the node.
    pub region: name::RegionName,
    /// The service of the local target, if a target has announced itself.
    pub service: Option<name::ServiceName>,
    /// Number of requests that the local target runs concurrently.
    pub slots: u32,
    /// Whether the node or its target is shutting down.
    pub leaving: bool,
    /// The contact slot of its zone that the node holds in the store, if any.
    pub contact: Option<u8>,
}

/// Status of a member. Among updates of the same incarnation, a later variant overrides an earlier
/// one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStatus {
    /// The member is alive, with the facts of this incarnation.
    Alive(Box<MemberFacts>),
    /// The member did not answer a probe of `by`; it has a few seconds to refute the suspicion.
    Suspect {
        /// The node whose probe failed.
        by: ident::NodeId,
    },
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member announced that it left.
    Left,
}

/// A claim about the status of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub node: ident::NodeId,
    /// Incarnation of the member that the claim is about; only the member increments it.
    pub incarnation: u32,
    /// The status of the member.
    pub status: MemberStatus,
}

/// Short form of a member, used to find differences between two nodes' member tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHeader {
    /// The member.
    pub node: ident::NodeId,
    /// The incarnation that the sender knows.
    pub incarnation: u32,
}

/// An accepted change of the rules, as stored in the store's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedChange {
    /// The revision that the change created.
    pub revision: ident::RuleRevision,
    /// The operator's own id of the change.
    pub change: u128,
    /// The encoded change; see `docs/design/rule-distribution.md`.
    pub body: Bytes,
}

/// Header of each datagram and bulk message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipHead {
    /// The sender.
    pub from: ident::NodeId,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// The rule revision that the sender has in force.
    pub revision: ident::RuleRevision,
    /// Whether the sender has compared its rules with those of other nodes or of the store.
    pub ready: bool,
    /// How long ago the sender read in the store that there are no newer rules than its own.
    pub confirmed: ConfirmationAge,
}

/// The age of a node's latest read of the rules in the store, in milliseconds.
///
/// See `docs/design/rule-distribution.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfirmationAge(pub u16);

impl ConfirmationAge {
    /// The age of a read that is long ago or unknown.
    pub const UNKNOWN: Self = Self(u16::MAX);

    /// The age of a read `span` ago.
    pub fn of(span: Duration) -> Self {
        Self(u16::try_from(span.as_millis()).unwrap_or(u16::MAX))
    }

    /// The time since the read; none if it is unknown.
    pub fn span(self) -> Option<Duration> {
        (self != Self::UNKNOWN).then(|| Duration::from_millis(u64::from(self.0)))
    }
}

/// Purpose and payload of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipKind {
    /// Requests a few members; sent by a joining node, which knows only the receiver's address.
    Join,
    /// Answers a join with the sender itself and randomly selected members, so that joining nodes
    /// spread their requests over the fleet.
    Welcome,
    /// Requests a [`GossipKind::Ack`] from `to`.
    Ping {
        /// Number of the probe at the sender.
        probe: u32,
        /// The node that the sender expects at the receiver's address.
        to: ident::NodeId,
    },
    /// Answers a ping, directly or relayed by a helper.
    Ack {
        /// The probe that is answered.
        probe: u32,
        /// The node that answered.
        of: ident::NodeId,
    },
    /// Reports that a helper got no answer in time either, so that the requester's own connection
    /// is not at fault.
    Nack {
        /// The probe that failed.
        probe: u32,
    },
    /// Requests that a helper pings `target`.
    PingRequest {
        /// The requester's probe.
        probe: u32,
        /// The node to ping; the helper knows its address.
        target: ident::NodeId,
    },
    /// Carries only updates; sent immediately after a change.
    Rumour,
    /// Requests the receiver's facts, because the sender doesn't know the receiver.
    FactsRequest,
    /// Requests the accepted changes after revision `after`.
    PullChanges {
        /// The revision that the requester has.
        after: ident::RuleRevision,
    },
    /// Accepted changes that fit into a datagram, in order.
    Changes {
        /// The changes.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_CHANGES>")]
        changes: Vec<LoggedChange>,
    },
    /// Reports that the store's history was trimmed, as the sender's watch found. A receiver that
    /// holds a contact slot checks that its lease is still valid.
    CheckContactLease,
    /// A query or reply about which members have a revision in force.
    Census(CensusMessage),
    /// A message between entry nodes and homes of client accounts; membership reads only its head.
    Quota(quota::QuotaMessage),
    /// A message of the shutdown handshake; membership reads only its head and updates.
    Shutdown(shutdown::ShutdownMessage),
    /// Requests that the sender refuses because targets crashed while they ran them; membership
    /// reads only its head.
    Quarantine {
        /// The requests.
        #[serde(
            deserialize_with = "bounded::list::<_, _, { suspicion::MAX_QUARANTINED_REQUESTS }>"
        )]
        requests: Vec<suspicion::QuarantinedRequest>,
        /// Requests that the receiver refuses and the sender knows to be harmless.
        #[serde(
            deserialize_with = "bounded::list::<_, _, { suspicion::MAX_QUARANTINED_REQUESTS }>"
        )]
        served: Vec<suspicion::ServedRequest>,
    },
}

/// One datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The header, which identifies the sender.
    pub head: GossipHead,
    /// Purpose and payload.
    pub kind: GossipKind,
    /// A few membership updates, piggybacked on the message.
    #[serde(deserialize_with = "bounded::list::<_, _, MAX_DATAGRAM_UPDATES>")]
    pub updates: Vec<MemberUpdate>,
}

/// A census of the members that have a revision in force.
///
/// Queries go down, and counts go up, a tree over the sorted node ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CensusMessage {
    /// Requests a count over the members from `first` to `last`, both included.
    Query {
        /// Number of the census at the requester.
        census: u32,
        /// The revision in question.
        revision: ident::RuleRevision,
        /// Lowest node id of the range.
        first: ident::NodeId,
        /// Highest node id of the range.
        last: ident::NodeId,
        /// Time for which the requester waits, in milliseconds.
        wait_millis: u32,
    },
    /// The count over a range.
    Reply {
        /// Number of the census at the requester.
        census: u32,
        /// The total over the range.
        count: CensusCount,
    },
}

/// Result of a census over a part of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CensusCount {
    /// Number of members that have the revision, or a later one, in force.
    pub holding: u32,
    /// Number of members that reported an earlier revision.
    pub behind: u32,
    /// Number of members that did not answer in time.
    pub silent: u32,
    /// A sample of the members that are behind or silent.
    #[serde(deserialize_with = "bounded::list::<_, _, MAX_LAGGING_MEMBERS>")]
    pub lagging: Vec<ident::NodeId>,
}

/// One bulk message between nodes, over TCP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncMessage {
    /// Checksums over the members that are alive according to the sender, one per bucket of node
    /// ids; empty if a joining node requests all members.
    Digest {
        /// The header, which identifies the sender.
        head: GossipHead,
        /// One checksum per bucket; their number is a power of two, or zero.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_DIGEST_BUCKETS>")]
        sums: Vec<u32>,
        /// The update of a sender that has just started about itself, since the receiver may not
        /// know it yet; otherwise empty.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_DATAGRAM_UPDATES>")]
        sender: Vec<MemberUpdate>,
    },
    /// The live members in the buckets whose checksums differed.
    Headers {
        /// The header, which identifies the sender.
        head: GossipHead,
        /// Total number of buckets.
        buckets: u32,
        /// Indices of the buckets that differed.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_DIGEST_BUCKETS>")]
        differing: Vec<u32>,
        /// The members in these buckets that are alive according to the sender.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_MEMBER_HEADERS>")]
        headers: Vec<MemberHeader>,
    },
    /// Updates that the receiver lacks, and ids of members whose updates the sender lacks.
    Members {
        /// The header, which identifies the sender.
        head: GossipHead,
        /// The updates.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_BULK_UPDATES>")]
        updates: Vec<MemberUpdate>,
        /// The ids of the members that the sender requests.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_MEMBER_HEADERS>")]
        wanted: Vec<ident::NodeId>,
        /// Whether this message completes the transfer of the sender's live members.
        last: bool,
    },
    /// Accepted changes that are too large for a datagram, in order, or a snapshot if the part of
    /// the log that the receiver needs has been trimmed.
    Changes {
        /// The header, which identifies the sender.
        head: GossipHead,
        /// The complete rules at a revision, if the changes alone are not sufficient.
        snapshot: Option<LoggedChange>,
        /// The changes after the snapshot or after the receiver's revision.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_CHANGES>")]
        changes: Vec<LoggedChange>,
    },
}

impl SyncMessage {
    /// The header, which identifies the sender.
    pub fn head(&self) -> GossipHead {
        match self {
            Self::Digest { head, .. }
            | Self::Headers { head, .. }
            | Self::Members { head, .. }
            | Self::Changes { head, .. } => *head,
        }
    }
}

impl LoggedChange {
    /// Encodes the change for the store's log; returns `None` if it can't be encoded.
    pub fn to_value(&self) -> Option<Bytes> {
        postcard::to_stdvec(self).ok().map(Bytes::from)
    }

    /// Decodes a value of the store's log; returns `None` if it is not a change of this version.
    pub fn from_value(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }
}

/// A node that accepts joining nodes, as its entry in the store describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactEntry {
    /// The node.
    pub node: ident::NodeId,
    /// Address at which it accepts datagrams.
    pub udp: SocketAddr,
}

impl ContactEntry {
    /// Encodes the entry for the store; returns `None` if it can't be encoded.
    pub fn to_value(&self) -> Option<Bytes> {
        postcard::to_stdvec(self).ok().map(Bytes::from)
    }

    /// Decodes an entry's value; returns `None` if it is not an entry of this version or has
    /// trailing bytes.
    pub fn from_value(value: &[u8]) -> Option<Self> {
        let (entry, rest) = postcard::take_from_bytes(value).ok()?;
        rest.is_empty().then_some(entry)
    }
}

/// Describes the newest snapshot of the rules in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotManifest {
    /// The revision of the snapshot.
    pub revision: ident::RuleRevision,
    /// The operator's id of the last change that it contains.
    pub change: u128,
    /// The node that wrote it; the keys of its chunks contain the id.
    pub writer: ident::NodeId,
    /// Number of chunks.
    pub chunks: u32,
}

impl SnapshotManifest {
    /// Encodes the manifest for the store; returns `None` if it can't be encoded.
    pub fn to_value(&self) -> Option<Bytes> {
        postcard::to_stdvec(self).ok().map(Bytes::from)
    }

    /// Decodes a manifest's value; returns `None` if it is not a manifest of this version.
    pub fn from_value(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }
}
