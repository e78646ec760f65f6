//! Access to the platform's key-value service: a trait, its HTTP client and the budget of calls.
//!
//! See `docs/design/store.md`.

pub mod budget;
pub mod http;
pub mod platform;
pub mod protocol;
