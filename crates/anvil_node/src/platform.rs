//! The edge towards the platform's key-value store: blocking calls on threads of their own.

use anvil_types::store;

/// Questions that wait for the store's thread.
pub const QUEUE_LIMIT: usize = 256;

/// One question on its way to the store's thread.
#[derive(Clone, Debug)]
pub struct StoreQuestion {
    /// Identity of the question.
    pub id: store::StoreId,
    /// The question.
    pub ask: store::StoreAsk,
}

/// Hands questions to the store's thread; owned by the reducer's thread.
#[derive(Debug)]
pub struct StoreQueue {
    questions: flume::Sender<StoreQuestion>,
}

impl StoreQueue {
    /// Hands questions to `questions`.
    pub fn new(questions: flume::Sender<StoreQuestion>) -> Self {
        Self { questions }
    }

    /// Asks; a full queue counts as an outage, which the asker meets by its own timeout.
    pub fn ask(&self, id: store::StoreId, ask: store::StoreAsk) {
        let _ = self.questions.try_send(StoreQuestion { id, ask });
    }
}
