//! What a node that stops and the members of its fleet tell each other, in datagrams.
//!
//! See "When a connection ends" in `docs/design/edges.md`.

use serde::{Deserialize, Serialize};

/// One word of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShutdownMessage {
    /// The sender takes no more runs and is about to end; the receiver says that it has heard so.
    Stopping,
    /// The sender has heard of the receiver's stop and sends it no more calls.
    Acknowledged {
        /// Whether calls of the sender are out at the receiver, which may not have come there.
        calls_out: bool,
    },
}
