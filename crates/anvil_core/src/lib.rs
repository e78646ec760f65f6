//! The reducer of a node: it takes events and returns effects as data.
//!
//! Nothing in this crate reads a clock, opens a socket or takes a lock, so replaying recorded
//! events gives the same effects. See `docs/ARCHITECTURE.md`.

pub mod accounts;
mod admitting;
pub mod answer;
pub mod answer_cache;
mod applying;
pub mod calls;
pub mod config;
mod confirming;
mod contexts;
pub mod counters;
mod crashes;
pub mod directory;
pub mod duplicates;
pub mod effect;
mod entry;
pub mod event;
mod fair_lanes;
mod fleet;
pub mod incarnations;
mod keys;
pub mod memory;
mod notices;
mod operator;
mod outcome_queries;
mod overload;
mod quarantine_store;
pub mod reducer;
mod refused_calls;
pub mod reports;
pub mod request_log;
mod retrying;
mod returning;
mod rollout;
pub mod rulebook;
pub mod runs;
mod serving;
mod settling;
pub mod shutdown;
mod statements;
mod stop_notices;
pub mod stopping;
mod target;
pub mod timers;
pub mod waits;
