//! Messages about quotas of client accounts; see `docs/design/accounts.md`.
//!
//! Counts are totals since the start of a session, so a lost or duplicated message does no harm:
//! the next one contains everything that it did.

use std::net::SocketAddr;

use anvil_types::{account, ident};
use serde::{Deserialize, Serialize};

use crate::bounded;

/// Maximum number of accounts in a message, so that it fits into a datagram.
pub const MAX_ACCOUNTS: usize = 32;

/// An entry node's report on the requests of one account that it admitted or that wait for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The account.
    pub account: account::AccountId,
    /// The entry node's session with the receiver; totals start at zero with each session.
    pub session: u32,
    /// The term that the receiver sent in this session; zero before its first message.
    pub term: u32,
    /// Number of requests admitted ahead of a grant, minus those whose token was returned.
    pub spent: i32,
    /// Number of requests that waited for a grant.
    pub asked: u32,
    /// Number of requests that arrived in this session, including those whose token was returned;
    /// wraps.
    pub arrived: u32,
    /// Whether nodes before the receiver on the ring did not answer, so that it has to take over.
    pub failover: bool,
}

/// A node that another node believes to be the home of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeHint {
    /// The node.
    pub node: ident::NodeId,
    /// Address at which it accepts datagrams.
    pub address: SocketAddr,
    /// Whether the sender received a message from it recently.
    pub alive: bool,
}

/// The decision of an account's home for one entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageDecision {
    /// The account.
    pub account: account::AccountId,
    /// The session of the report that is answered.
    pub session: u32,
    /// Incremented whenever the home restarts its count; this ends the session.
    pub term: u32,
    /// The total of admitted requests from the report.
    pub spent: i32,
    /// The total of waiting requests from the report; all of them are decided.
    pub asked: u32,
    /// How many of these are granted in total; the others are refused.
    pub granted: u32,
    /// Number of requests that the node may admit ahead of a grant, beyond those reported; zero if
    /// each request needs a grant.
    pub ahead: u16,
    /// Suggested delay before a refused caller retries, in milliseconds.
    pub retry_after_millis: u32,
    /// Requests of the account at all nodes together in recent seconds, admitted or not, in percent
    /// of its quota's rate; zero if the home does not know it.
    pub demand_percent: u16,
    /// The part of `demand_percent` that the quota granted, whether or not the requests ran; zero
    /// if `demand_percent` is zero.
    pub granted_percent: u16,
    /// The home that the entry node should use instead; the report was then not counted here.
    pub redirect: Option<HomeHint>,
}

/// Maximum number of time slices in a handover.
pub const MAX_SLICES: usize = 20;

/// The requests of an account that the sender admitted as its home, for another home of the
/// account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageHandover {
    /// The account.
    pub account: account::AccountId,
    /// Number of the handover at the sender, so that a duplicate is applied only once.
    pub number: u32,
    /// Number of requests admitted, minus those whose token was returned, per slice of 250 ms,
    /// newest first.
    #[serde(deserialize_with = "bounded::list::<_, _, MAX_SLICES>")]
    pub slices: Vec<i32>,
}

/// A message between entry nodes and homes of accounts, or between homes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Reports of an entry node.
    Report {
        /// One entry per account.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_ACCOUNTS>")]
        reports: Vec<UsageReport>,
    },
    /// Decisions of a home.
    Decision {
        /// One entry per account.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_ACCOUNTS>")]
        decisions: Vec<UsageDecision>,
    },
    /// Sent to the next node on the sender's ring, which may not know the sender yet.
    SuccessorProbe,
    /// Answers a [`QuotaMessage::SuccessorProbe`] if the receiver knows a node that lies between
    /// the two on the ring.
    CloserSuccessor(HomeHint),
    /// Sent by a node that counted an account to the account's home.
    Handover(UsageHandover),
    /// Acknowledges that a home has applied a handover.
    HandoverAck {
        /// The handover's number.
        number: u32,
    },
    /// Sent by a node that wants to know whether it reaches the majority of the fleet.
    ContactProbe {
        /// Number of the sender's round of probes.
        number: u32,
    },
    /// Answers a [`QuotaMessage::ContactProbe`].
    ContactAck {
        /// The number of the probe.
        number: u32,
    },
    /// Answers reports to a node that has no rules yet and therefore can't decide.
    Unready,
}
