//! The shutdown handshake between a stopping node and the members of its fleet, in datagrams.
//!
//! See "When a connection ends" in `docs/design/edges.md`.

use serde::{Deserialize, Serialize};

/// A message of the shutdown handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShutdownMessage {
    /// The sender accepts no more runs and is about to exit; the receiver acknowledges this.
    Stopping,
    /// The sender knows that the receiver is stopping and sends it no more calls.
    Acknowledged {
        /// Whether the sender has unanswered calls at the receiver; these may not have arrived.
        calls_out: bool,
    },
}
