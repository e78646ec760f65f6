//! The reducer: every event of a node in, effects as data out.
//!
//! Nothing in here reads a clock, opens a socket or takes a lock; a rerun of recorded events
//! gives the same effects. See `docs/ARCHITECTURE.md`.

pub mod effect;
pub mod event;
