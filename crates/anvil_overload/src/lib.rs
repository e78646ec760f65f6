//! Decisions under overload, as state modules that the reducer drives.
//!
//! No module reads a clock, a socket or unseeded randomness: each is told the time. What one node
//! decides from what it sees is here; the messages that carry it on are in `anvil_wire`.
//! `docs/OPERATIONS-overload.md` is the operators' page, and each module names its design note.

pub mod admission;
pub mod allowance;
pub mod backoff;
pub mod cut;
pub mod deadline;
pub mod demand;
pub mod dependency;
pub mod estimate;
pub mod kind;
pub mod limit;
pub mod policy;
pub mod quarantine;
pub mod rank;
pub mod ratio;
pub mod refusal;
pub mod resend;
pub mod routing;
pub mod shedding;
