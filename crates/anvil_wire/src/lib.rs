//! Messages between nodes and their codec.
//!
//! Calls and bulk travel as [`frame::PeerFrame`] over TCP, membership as
//! [`gossip::GossipMessage`] over UDP. Both are `postcard`; see `docs/ARCHITECTURE.md`.

pub mod bounded;
pub mod call;
pub mod codec;
pub mod compression;
pub mod frame;
pub mod gossip;
pub mod key;
pub mod outcome;
pub mod quota;
pub mod seal;
pub mod shutdown;
pub mod suspicion;
