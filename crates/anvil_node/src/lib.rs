//! The node process: everything around the reducer that touches a socket, a clock or a file.
//!
//! One task owns the reducer ([`engine`]); a small runtime carries it and the connections of callers
//! ([`caller`]), of the local target ([`target`]) and of other nodes ([`peer`], [`datagram`]).
//! Operators and the target's announcements come in by [`admin`]. See `docs/design/edges.md`.

pub mod admin;
pub mod caller;
pub mod clock;
pub mod command;
pub mod control;
pub mod counters;
pub mod datagram;
pub mod dialect;
pub mod engine;
pub mod head;
pub mod listen;
pub mod logs;
pub mod node;
pub mod peer;
pub mod reload;
pub mod settings;
pub mod signals;
pub mod store;
pub mod target;
