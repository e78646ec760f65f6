//! The safeguards that the nodes of these tests have.

#![allow(dead_code, unreachable_pub)]

use anvil_overload::policy;

/// Each test runs with the safeguards that help every fleet, and a second time, as a part of
/// `scarce_services.rs`, with those for scarce services in addition.
pub const POLICY: policy::OverloadPolicy = match env!("CARGO_CRATE_NAME").as_bytes() {
    b"scarce_services" => policy::OverloadPolicy::SCARCE_SERVICES,
    _ => policy::OverloadPolicy::FULL,
};
