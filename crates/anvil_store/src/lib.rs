//! The platform's key-value service: one trait, its HTTP client and the budget of its calls.
//!
//! See `docs/design/store.md`.

pub mod budget;
pub mod http;
pub mod platform;
pub mod protocol;
