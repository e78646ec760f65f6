//! Queries about the outcome of attempts whose connection ended while both nodes keep running.
//!
//! See "When a connection ends" in `docs/design/edges.md`.

use std::net::SocketAddr;

use anvil_types::ident;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::bounded;

/// Maximum number of attempts in one message; more are split over several messages.
pub const MAX_ATTEMPTS: usize = 1_024;

/// Identifies one attempt of a call.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{call}/{attempt}")]
pub struct AttemptId {
    /// The call.
    pub call: ident::CallId,
    /// Number of the attempt within the call, from one.
    pub attempt: u16,
}

/// An attempt whose outcome its entry node queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueriedAttempt {
    /// Identifies the attempt.
    pub id: AttemptId,
    /// Time since it was sent, in microseconds. The receiver may report that it never ran only if
    /// its records reach back as far.
    pub age_micros: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// A message between two nodes about the attempts on a connection that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OutcomeMessage {
    /// The entry node queries the outcome of attempts. Each attempt that has ended, or never
    /// arrived, is answered like any other; those that are still queued or running are reported as
    /// pending.
    Query {
        /// Address at which the sender accepts the answers.
        reply_to: SocketAddr,
        /// The attempts.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_ATTEMPTS>")]
        attempts: Vec<QueriedAttempt>,
    },
    /// The sender is about to exit. The receiver immediately queries its unanswered attempts there,
    /// and sends an empty query if it has none.
    Leaving {
        /// Address at which the sender accepts the query.
        reply_to: SocketAddr,
    },
    /// The target's node reports which attempts of the receiver are still queued or running; the
    /// receiver cancels those that it no longer waits for.
    Pending {
        /// Address at which the sender accepts the cancellations.
        reply_to: SocketAddr,
        /// The attempts.
        #[serde(deserialize_with = "bounded::list::<_, _, MAX_ATTEMPTS>")]
        attempts: Vec<AttemptId>,
    },
}
