//! The edge towards the platform's key-value store.

use anvil_core::event;
use anvil_types::store;

/// Answers questions while no store client is there; owned by the reducer's thread.
#[derive(Debug)]
pub struct StoreQueue;

impl StoreQueue {
    /// Every call is known not to have been made.
    pub fn ask(&self, id: store::StoreId, _ask: store::StoreAsk) -> Option<event::NodeEvent> {
        let outcome = store::StoreOutcome::Unavailable;
        Some(event::NodeEvent::StoreAnswered { id, outcome })
    }
}
