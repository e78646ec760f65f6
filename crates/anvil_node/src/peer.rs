//! The peer edge: one TCP connection per pair of nodes carries multiplexed frames.

pub mod accept;
pub mod bodies;
pub mod handshake;
pub mod link;
pub mod liveness;
pub mod stream;
pub mod table;
