//! Questions about attempts whose connection ended while both nodes live on.
//!
//! See "When a connection ends" in `docs/design/edges.md`.

use std::net::SocketAddr;

use anvil_types::ident;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::bounded;

/// Most attempts that one message names; more go in several.
pub const MAX_ATTEMPTS: usize = 1_024;

/// One attempt of one call.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{call}/{attempt}")]
pub struct AttemptId {
    /// The call.
    pub call: ident::CallId,
    /// Counts its attempts from one.
    pub attempt: u16,
}

/// An attempt whose fate its entry node wants to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueriedAttempt {
    /// Which attempt.
    pub id: AttemptId,
    /// Time since it was sent, in microseconds; an answer about it must rest on a memory that
    /// reaches as far back.
    pub age_micros: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// What two nodes tell each other of the attempts that were on a connection which ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OutcomeMessage {
    /// The entry node asks what became of attempts. Each that has ended, or never came, is answered
    /// like any attempt; those that the target's node still has are told as held.
    Query {
        /// Where the sender accepts the answers.
        reply_to: SocketAddr,
        /// The attempts.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_ATTEMPTS>")]
        attempts: Vec<QueriedAttempt>,
    },
    /// The sender is about to end. The receiver asks at once for what it has out there, if only to say
    /// that it is nothing.
    Leaving {
        /// Where the sender accepts the question.
        reply_to: SocketAddr,
    },
    /// The target's node tells which attempts of the receiver it still has, queued or running; the
    /// receiver cancels those that it does not wait for.
    Pending {
        /// Where the sender accepts the cancellations.
        reply_to: SocketAddr,
        /// The attempts.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_ATTEMPTS>")]
        attempts: Vec<AttemptId>,
    },
}
