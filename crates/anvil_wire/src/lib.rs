//! Messages between nodes and their codec.
//!
//! Calls and bulk transfers are [`frame::PeerFrame`]s over TCP; membership messages are
//! [`gossip::GossipMessage`]s over UDP. Both are encoded with `postcard`; see
//! `docs/ARCHITECTURE.md`.

pub mod body;
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
