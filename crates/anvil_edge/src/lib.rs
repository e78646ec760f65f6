//! The interfaces that a dialect implements at a node's edges, and code shared by all dialects.
//!
//! The reducer works on requests, answers and announcements; a *dialect* defines which headers,
//! paths and bodies represent them on the wire. A node uses its own dialect unless its settings
//! name another one; see `docs/design/platform.md`.

pub mod caller;
pub mod control;
pub mod hops;
pub mod target;
