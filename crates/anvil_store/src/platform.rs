//! The trait that clients of the platform's store implement.

use anvil_types::store;

/// Carries out store requests, one at a time on the calling thread.
///
/// A trait, because the HTTP client and the fake store of the tests both implement it.
pub trait PlatformStore {
    /// Carries out `request` and waits for its outcome; a watch waits as long as it specifies.
    fn carry_out(&self, request: &store::StoreRequest) -> store::StoreOutcome;
}
