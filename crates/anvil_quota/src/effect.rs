//! What the ledger does to its surroundings, as data.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{account, ident};
use anvil_wire::quota;

/// What becomes of a request that asks for a place in its account's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It may go on.
    Granted,
    /// The account's home is asked; [`QuotaEffect::Grant`] or [`QuotaEffect::Refuse`] follows.
    Pending,
    /// It is beyond the quota.
    Refused {
        /// When its caller does well to come back.
        pause: Duration,
    },
}

/// Something to be done for the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaEffect {
    /// Send a message; it may be lost.
    Send {
        /// Where the receiver accepts datagrams.
        to: SocketAddr,
        /// The message.
        message: quota::QuotaMessage,
    },
    /// Let a request go on that waited.
    Grant {
        /// Which.
        call: u64,
    },
    /// Refuse a request that waited.
    Refuse {
        /// Which.
        call: u64,
        /// When its caller does well to come back.
        pause: Duration,
    },
    /// Write a log line.
    Log(HomeChange),
}

/// A change in who counts an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeChange {
    /// This node counted the account and has learned of another home.
    Left {
        /// The account.
        account: account::AccountId,
        /// The other home.
        home: ident::NodeId,
    },
    /// Another node handed over what it let in.
    Taken {
        /// The account.
        account: account::AccountId,
        /// The other node.
        from: ident::NodeId,
        /// Requests that it let in while this node counted the account too, less those given back.
        uses: i32,
    },
}
