//! The static configuration of a node.

use std::net::SocketAddr;

use anvil_types::{ident, name};

/// Identity, location and addresses of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeConfig {
    /// The id of this process; a restarted node gets a new one.
    pub node: ident::NodeId,
    /// The availability zone of the node.
    pub zone: name::ZoneName,
    /// The region of the node.
    pub region: name::RegionName,
    /// Where the node accepts connections of other nodes.
    pub peer_address: SocketAddr,
    /// Where the node accepts datagrams of other nodes.
    pub gossip_address: SocketAddr,
    /// Datagram addresses of other nodes that are tried at startup, in addition to the contacts in
    /// the store.
    pub seeds: Vec<SocketAddr>,
}
