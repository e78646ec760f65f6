//! Stand-ins for the system's environment: callers, targets and the platform's store.
//!
//! Only tests, the demo and the experiment tool use this package.

pub mod client;
pub mod endless;
pub mod experiment;
pub mod http_target;
pub mod ledger;
pub mod load;
pub mod loopback;
pub mod mesh;
pub mod mesh_target;
pub mod process;
pub mod proxy;
pub mod report;
pub mod scenario;
pub mod store;
