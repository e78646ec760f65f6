//! The edge towards other nodes: one TCP connection per pair carries multiplexed frames.

pub mod accept;
pub mod handshake;
pub mod link;
pub mod liveness;
pub mod stream;
pub mod table;
