//! The node process: everything around the reducer that uses a socket, a clock or a file.
//!
//! One task owns the reducer ([`engine`]). It shares a small runtime with the connections to
//! callers ([`caller`]), to the local target ([`target`]) and to other nodes ([`peer`],
//! [`datagram`]). [`admin`] serves operators and the target's announcements. See
//! `docs/design/edges.md`.

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
pub mod memory;
pub mod node;
pub mod peer;
pub mod reload;
pub mod settings;
pub mod signals;
pub mod store;
pub mod target;
