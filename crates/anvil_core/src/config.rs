//! What a node knows of itself from its settings.

use std::net::SocketAddr;

use anvil_types::{ident, name};

/// Fixed facts about one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeConfig {
    /// This run of the process.
    pub node: ident::NodeId,
    /// The availability zone it stands in.
    pub zone: name::ZoneName,
    /// The region it stands in.
    pub region: name::RegionName,
    /// Where it accepts connections of other nodes.
    pub peer_address: SocketAddr,
    /// Where it accepts datagrams of other nodes.
    pub gossip_address: SocketAddr,
    /// Addresses of other nodes for datagrams, tried at the start beside the store's contacts.
    pub seeds: Vec<SocketAddr>,
}
