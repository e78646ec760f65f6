//! Overload decisions as pure state machines that the reducer drives.
//!
//! No module reads a clock, opens a socket or uses unseeded randomness; callers pass in the current
//! time. This crate holds what one node decides from its own observations, and `anvil_wire` holds
//! the messages that carry those decisions. `docs/OPERATIONS-overload.md` is the operators' page,
//! and each module names its design page.

pub mod admission;
pub mod allowance;
pub mod appointments;
pub mod backoff;
pub mod cut;
pub mod deadline;
pub mod demand;
pub mod dependency;
pub mod estimate;
pub mod fairness;
pub mod kind;
pub mod limit;
pub mod pace;
pub mod pacing;
pub mod policy;
pub mod quarantine;
pub mod rank;
pub mod rate;
pub mod ratio;
pub mod refusal;
pub mod refusal_trial;
pub mod refusals;
pub mod resend;
pub mod routing;
pub mod run_calls;
pub mod shedding;
