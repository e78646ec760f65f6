//! Membership and rule distribution messages.

use serde::{Deserialize, Serialize};

/// One datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {}

/// One bulk message between nodes, over TCP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncMessage {}
