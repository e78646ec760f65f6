//! The reducer: every event of a node in, effects as data out.
//!
//! Nothing in here reads a clock, opens a socket or takes a lock; a rerun of recorded events
//! gives the same effects. See `docs/ARCHITECTURE.md`.

pub mod accounts;
mod admitting;
pub mod answer;
pub mod answer_cache;
mod applying;
pub mod calls;
pub mod config;
mod contexts;
pub mod counters;
pub mod directory;
pub mod duplicates;
pub mod effect;
mod entry;
pub mod event;
mod fleet;
pub mod incarnations;
mod keys;
pub mod memory;
mod operator;
mod outcome_queries;
mod overload;
pub mod reducer;
pub mod request_log;
mod retrying;
mod rollout;
pub mod rulebook;
pub mod runs;
mod serving;
mod settling;
pub mod shutdown;
mod stop_notices;
pub mod stopping;
mod target;
pub mod timers;
pub mod waits;
