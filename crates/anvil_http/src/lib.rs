//! Reads whole answers to blocking HTTP calls.
//!
//! See `docs/design/store.md`, "Outcomes".

pub mod answer;
