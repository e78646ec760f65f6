//! Messages about quotas of client accounts; see `docs/design/accounts.md`.
//!
//! Numbers are sums since a session began, so a message that is lost or comes twice does no harm: the
//! next one says the same and more.

use std::net::SocketAddr;

use anvil_types::{account, ident};
use serde::{Deserialize, Serialize};

use crate::bounded;

/// Most accounts in a message; they fit a datagram.
pub const MAX_ACCOUNTS: usize = 32;

/// What an entry node has let in for one account, and what it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The account.
    pub account: account::AccountId,
    /// The entry node's session with the receiver; sums start anew with each.
    pub session: u32,
    /// The term that the receiver told in this session; zero before its first word.
    pub term: u32,
    /// Requests let in ahead of a grant, less those that were given back.
    pub spent: i32,
    /// Requests that waited for a grant.
    pub asked: u32,
    /// Whether nodes that come before the receiver did not answer, so that it has to stand in for them.
    pub failover: bool,
}

/// A node that counts an account, as another one knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeHint {
    /// The node.
    pub node: ident::NodeId,
    /// Where it accepts datagrams.
    pub address: SocketAddr,
    /// Whether the sender has heard from it a moment ago.
    pub alive: bool,
}

/// What an account's home decides for one entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageDecision {
    /// The account.
    pub account: account::AccountId,
    /// The session of the report answered.
    pub session: u32,
    /// Rises whenever the home begins its count anew; a session ends with it.
    pub term: u32,
    /// The report's sum of requests let in.
    pub spent: i32,
    /// The report's sum of requests that waited; all of them are decided.
    pub asked: u32,
    /// How many of these are granted in all; the others are refused.
    pub granted: u32,
    /// Requests that the node may let in ahead, beyond those reported; zero where each has to ask.
    pub ahead: u16,
    /// When a refused caller does well to come back, in milliseconds.
    pub retry_after_millis: u32,
    /// Who counts the account instead; nothing was counted here then.
    pub redirect: Option<HomeHint>,
}

/// Most slices of time in a handover.
pub const MAX_SLICES: usize = 20;

/// What a node let in for an account that another node counts too, or counts now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageHandover {
    /// The account.
    pub account: account::AccountId,
    /// Counts the sender's handovers, so that one which comes twice is taken once.
    pub number: u32,
    /// Requests let in, less those given back, by slices of a quarter of a second, the newest first.
    #[serde(deserialize_with = "bounded::list::<_, _, MAX_SLICES>")]
    pub slices: Vec<i32>,
}

/// One message between an entry node and homes of accounts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// From an entry node.
    Report {
        /// One entry for each account.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_ACCOUNTS>")]
        reports: Vec<UsageReport>,
    },
    /// From a home.
    Decision {
        /// One entry for each account.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_ACCOUNTS>")]
        decisions: Vec<UsageDecision>,
    },
    /// From a node to the next one on its ring, which may not have heard of it yet.
    SuccessorProbe,
    /// The answer, where the receiver of [`QuotaMessage::SuccessorProbe`] knows a node that stands nearer.
    CloserSuccessor(HomeHint),
    /// From a node that counted an account to its home.
    Handover(UsageHandover),
    /// From a home that has taken a handover.
    HandoverAck {
        /// The handover's number.
        number: u32,
    },
}
