//! Stand-ins for everything outside the system: callers, targets and the platform's store.
//!
//! No binary links this package; tests, the demo and the experiment tool do.

pub mod client;
pub mod experiment;
pub mod ground;
pub mod http_target;
pub mod ledger;
pub mod load;
pub mod mesh;
pub mod mesh_target;
pub mod process;
pub mod proxy;
pub mod report;
pub mod scenario;
pub mod store;
