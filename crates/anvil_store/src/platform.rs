//! The one trait that the platform's store stands behind.

use anvil_types::store;

/// Carries out questions, one at a time on the calling thread.
///
/// A trait, because the HTTP client and the fake of the tests both stand behind it.
pub trait PlatformStore {
    /// Carries out `ask` and waits for its end; a watch waits as long as it says.
    fn carry_out(&self, ask: &store::StoreRequest) -> store::StoreOutcome;
}
