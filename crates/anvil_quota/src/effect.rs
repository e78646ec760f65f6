//! Effects of the quota ledger, as data.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{account, ident};
use anvil_wire::quota;

/// Decision on a request that counts against an account's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request may proceed.
    Granted,
    /// The account's home must decide; [`QuotaEffect::Grant`] or [`QuotaEffect::Refuse`] follows.
    Pending,
    /// The request exceeds the quota.
    Refused {
        /// Time after which its caller should retry.
        pause: Duration,
    },
}

/// An effect that the caller of the ledger carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaEffect {
    /// Send a message; it may be lost.
    Send {
        /// Where the receiver accepts datagrams.
        to: SocketAddr,
        /// The message.
        message: quota::QuotaMessage,
    },
    /// Let a waiting request proceed.
    Grant {
        /// Id of the request.
        call: u64,
    },
    /// Refuse a waiting request.
    Refuse {
        /// Id of the request.
        call: u64,
        /// Time after which its caller should retry.
        pause: Duration,
    },
    /// Write a log line.
    Log(HomeChange),
}

/// A change of the home of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeChange {
    /// This node was the home and learned of another one.
    Left {
        /// The account.
        account: account::AccountId,
        /// The new home.
        home: ident::NodeId,
    },
    /// Another node handed over the requests that it admitted.
    Taken {
        /// The account.
        account: account::AccountId,
        /// The other node.
        from: ident::NodeId,
        /// Requests that it admitted while this node was the home as well, minus those given back.
        uses: i32,
    },
    /// An account began to send more requests than its quota allows, or ceased to.
    Demand {
        /// The account.
        account: account::AccountId,
        /// Its requests in percent of the rate of its quota.
        percent: u16,
        /// Whether they are more than the quota allows.
        is_above: bool,
    },
}
