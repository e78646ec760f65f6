//! The reducer: every event of a node in, effects as data out.
//!
//! Nothing in here reads a clock, opens a socket or takes a lock; a rerun of recorded events
//! gives the same effects. See `docs/ARCHITECTURE.md`.

pub mod accounts;
mod admitting;
pub mod answer;
mod applying;
pub mod calls;
pub mod config;
mod contexts;
pub mod counters;
pub mod directory;
pub mod effect;
mod entry;
pub mod event;
pub mod farewell;
mod fates;
mod fleet;
pub mod incarnations;
pub mod kept;
mod keys;
pub mod memory;
pub mod notes;
mod operator;
mod overload;
pub mod reducer;
pub mod repeats;
mod retrying;
mod rollout;
pub mod rulebook;
pub mod runs;
mod serving;
mod settling;
mod stop_notices;
pub mod stopping;
mod target;
pub mod timers;
pub mod waits;
