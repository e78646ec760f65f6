//! Membership and rule distribution messages; see `docs/design/membership.md`.

use std::net::SocketAddr;

use anvil_types::{ident, name};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{bounded, quota, shutdown};

/// Most claims on a datagram.
pub const MAX_DATAGRAM_UPDATES: usize = 128;

/// Most claims in a bulk message, about 80 kB of them.
pub const MAX_BULK_UPDATES: usize = 1_000;

/// Most sums in a digest.
pub const MAX_DIGEST_BUCKETS: usize = 2_048;

/// Most members that a bulk message names in short; four times the largest fleet foreseen.
pub const MAX_MEMBER_HEADERS: usize = 65_536;

/// Most changes in a message.
pub const MAX_CHANGES: usize = 1_024;

/// Most lagging members named in a census.
pub const MAX_LAGGING_MEMBERS: usize = 8;

/// What a node tells about itself; the others keep it as told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFacts {
    /// Where the node accepts peer connections.
    pub tcp: SocketAddr,
    /// Where the node accepts datagrams.
    pub udp: SocketAddr,
    /// The availability zone it stands in.
    pub zone: name::ZoneName,
    /// The region it stands in.
    pub region: name::RegionName,
    /// The service of the local target, where one announced itself.
    pub service: Option<name::ServiceName>,
    /// Requests that the local target runs at once.
    pub slots: u32,
    /// Whether the node or its target is leaving.
    pub leaving: bool,
    /// The contact slot of its zone that it holds in the store, where it holds one.
    pub contact: Option<u8>,
}

/// How a member stands, in the order in which claims of one incarnation override each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStatus {
    /// Alive, with the facts of this incarnation.
    Alive(Box<MemberFacts>),
    /// Did not answer `by`'s probe; it has some seconds to refute.
    Suspect {
        /// The node whose probe failed.
        by: ident::NodeId,
    },
    /// Did not refute a suspicion.
    Dead,
    /// Said that it left.
    Left,
}

/// One claim about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub node: ident::NodeId,
    /// The member's own counter of its claims; only the member raises it.
    pub incarnation: u32,
    /// The claim.
    pub status: MemberStatus,
}

/// One member in short, to find what two nodes know differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHeader {
    /// The member.
    pub node: ident::NodeId,
    /// Its incarnation as known.
    pub incarnation: u32,
}

/// One accepted change of the rules as the store's log holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedChange {
    /// The revision that the change made.
    pub revision: ident::RuleRevision,
    /// The operator's own id of the change.
    pub change: u128,
    /// The encoded change; see `docs/design/rule-distribution.md`.
    pub body: Bytes,
}

/// The start of each datagram and bulk message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipHead {
    /// The sender.
    pub from: ident::NodeId,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// The rule revision that the sender has in force.
    pub revision: ident::RuleRevision,
    /// Whether the sender has compared its rules with others or with the store.
    pub ready: bool,
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipKind {
    /// A newcomer, which knows only the address, asks for a few members.
    Join,
    /// Answers a join with the sender and members drawn at random, so that newcomers spread over
    /// the fleet.
    Welcome,
    /// Asks `to` for an [`GossipKind::Ack`].
    Ping {
        /// Counts the sender's probes.
        probe: u32,
        /// The node that the sender expects at the address.
        to: ident::NodeId,
    },
    /// Answers a ping, directly or through a helper.
    Ack {
        /// The probe answered.
        probe: u32,
        /// The node that answered.
        of: ident::NodeId,
    },
    /// A helper got no answer in time, so the asker's own connection is not at fault.
    Nack {
        /// The probe that failed.
        probe: u32,
    },
    /// Asks a helper to ping `target`.
    PingRequest {
        /// The asker's probe.
        probe: u32,
        /// Whom to ping; the helper knows the address.
        target: ident::NodeId,
    },
    /// Carries updates only, sent at once when something changed.
    Rumour,
    /// The receiver is unknown to the sender and should tell its facts.
    FactsRequest,
    /// Asks for the accepted changes behind `after`.
    PullChanges {
        /// The revision that the asker holds.
        after: ident::RuleRevision,
    },
    /// Accepted changes that fit a datagram, in order.
    Changes {
        /// The changes.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_CHANGES>")]
        changes: Vec<LoggedChange>,
    },
    /// The store's history was cut, as the sender's watch shows; a receiver that holds a contact slot looks
    /// whether its lease still runs.
    CheckContactLease,
    /// A question or reply about who has a revision in force.
    Census(CensusMessage),
    /// Between entry nodes and homes of client accounts; membership takes only the head of it.
    Quota(quota::QuotaMessage),
    /// Between a node that stops and the others; membership takes only the head and the claims of it.
    Shutdown(shutdown::ShutdownMessage),
}

/// One datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Who sends it.
    pub head: GossipHead,
    /// What it is for.
    pub kind: GossipKind,
    /// Claims about members, a few at a time.
    #[serde(deserialize_with = "bounded::list::<_, _, MAX_DATAGRAM_UPDATES>")]
    pub updates: Vec<MemberUpdate>,
}

/// Counts who has a revision in force, down and up a tree over the sorted node identities.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CensusMessage {
    /// Asks the receiver to count the members from `first` to `last`, both included.
    Query {
        /// The asker's number of the question.
        census: u32,
        /// The revision asked about.
        revision: ident::RuleRevision,
        /// Lowest identity of the part.
        first: ident::NodeId,
        /// Highest identity of the part.
        last: ident::NodeId,
        /// Time that the asker waits, in milliseconds.
        wait_millis: u32,
    },
    /// What the part answered.
    Reply {
        /// The asker's number of the question.
        census: u32,
        /// The sum over the part.
        count: CensusCount,
    },
}

/// A sum over a part of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CensusCount {
    /// Members that have the revision, or a later one, in force.
    pub holding: u32,
    /// Members that answered with an earlier revision.
    pub behind: u32,
    /// Members that did not answer in time.
    pub silent: u32,
    /// Some of the members behind or silent, a few.
    #[serde(deserialize_with = "bounded::list::<_, _, MAX_LAGGING_MEMBERS>")]
    pub lagging: Vec<ident::NodeId>,
}

/// One bulk message between nodes, over TCP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncMessage {
    /// Sums over the members that the sender knows alive, by bucket of identities; none where a
    /// newcomer wants them all.
    Digest {
        /// The sender.
        head: GossipHead,
        /// One sum for each bucket; their number is a power of two, or zero.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_DIGEST_BUCKETS>")]
        sums: Vec<u32>,
        /// What a sender that has just started says of itself, since the receiver may not have
        /// heard of it; else empty.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_DATAGRAM_UPDATES>")]
        sender: Vec<MemberUpdate>,
    },
    /// The members alive in the buckets whose sums differed.
    Headers {
        /// The sender.
        head: GossipHead,
        /// Number of buckets in all.
        buckets: u32,
        /// The buckets that differed.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_DIGEST_BUCKETS>")]
        differing: Vec<u32>,
        /// The members that the sender knows alive in them.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_MEMBER_HEADERS>")]
        headers: Vec<MemberHeader>,
    },
    /// Claims that the receiver lacks, and identities whose claims the sender lacks.
    Members {
        /// The sender.
        head: GossipHead,
        /// The claims.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_BULK_UPDATES>")]
        updates: Vec<MemberUpdate>,
        /// The identities.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_MEMBER_HEADERS>")]
        wanted: Vec<ident::NodeId>,
        /// Whether the receiver knows with it all members that the sender knows alive.
        last: bool,
    },
    /// Accepted changes too large for a datagram, in order, or a snapshot where the log that the
    /// receiver needs has been trimmed.
    Changes {
        /// The sender.
        head: GossipHead,
        /// The whole rules at a revision, where the changes alone don't suffice.
        snapshot: Option<LoggedChange>,
        /// The changes behind the snapshot or behind the receiver's revision.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_CHANGES>")]
        changes: Vec<LoggedChange>,
    },
}

impl SyncMessage {
    /// Who sends it.
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
    /// The bytes that stand for the change in the store's log; none where it can't be encoded.
    pub fn to_value(&self) -> Option<Bytes> {
        postcard::to_stdvec(self).ok().map(Bytes::from)
    }

    /// Reads a value of the store's log; none where it is none of this version.
    pub fn from_value(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }
}

/// A node that lets newcomers in, as its entry in the store says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactEntry {
    /// The node.
    pub node: ident::NodeId,
    /// Where it accepts datagrams.
    pub udp: SocketAddr,
}

impl ContactEntry {
    /// The bytes that stand for the entry in the store; none where it can't be encoded.
    pub fn to_value(&self) -> Option<Bytes> {
        postcard::to_stdvec(self).ok().map(Bytes::from)
    }

    /// Reads an entry's value; none where it is none of this version, or bytes stand behind it.
    pub fn from_value(value: &[u8]) -> Option<Self> {
        let (entry, rest) = postcard::take_from_bytes(value).ok()?;
        rest.is_empty().then_some(entry)
    }
}

/// Names the newest snapshot of the rules in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotManifest {
    /// The revision of the snapshot.
    pub revision: ident::RuleRevision,
    /// The operator's id of the last change in it.
    pub change: u128,
    /// The node that wrote it; part of the keys of its chunks.
    pub writer: ident::NodeId,
    /// Number of its chunks.
    pub chunks: u32,
}

impl SnapshotManifest {
    /// The bytes that stand for the manifest in the store; none where it can't be encoded.
    pub fn to_value(&self) -> Option<Bytes> {
        postcard::to_stdvec(self).ok().map(Bytes::from)
    }

    /// Reads a manifest's value; none where it is none of this version.
    pub fn from_value(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }
}
