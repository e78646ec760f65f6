//! The edge towards the platform's key-value store: blocking calls on threads of their own.
//!
//! See `docs/design/store.md`.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use anvil_core::event;
use anvil_store::{budget, http, platform};
use anvil_types::store;
use eyre::WrapErr;

use crate::{clock, engine};

/// Questions that wait for the store's threads.
pub const QUEUE_LIMIT: usize = 256;

/// Threads that carry out calls other than watches.
const CALL_THREADS: u32 = 3;

/// Threads that hold watches; a watch waits for many seconds and must not keep a renewal waiting.
const WATCH_THREADS: u32 = 1;

/// One question on its way to the store's threads.
#[derive(Clone, Debug)]
struct StoreQuestion {
    id: store::StoreId,
    ask: store::StoreAsk,
}

/// Hands questions to the store's threads; owned by the reducer's task.
#[derive(Debug)]
pub struct StoreQueue {
    calls: flume::Sender<StoreQuestion>,
    watches: flume::Sender<StoreQuestion>,
}

/// What every thread of the store shares.
#[derive(Clone)]
struct StoreWorker {
    client: Arc<http::HttpStore>,
    budget: Arc<Mutex<budget::CallBudget>>,
    clock: clock::NodeClock,
    engine: engine::EngineSender,
}

impl StoreQueue {
    /// Starts the threads that ask the store at `addresses`; without any address, every question
    /// is answered as unavailable.
    pub fn start(
        addresses: &[SocketAddr],
        clock: clock::NodeClock,
        engine: engine::EngineSender,
    ) -> eyre::Result<Self> {
        let (calls, waiting_calls) = flume::bounded(QUEUE_LIMIT);
        let (watches, waiting_watches) = flume::bounded(QUEUE_LIMIT);
        let queue = Self { calls, watches };
        if addresses.is_empty() {
            return Ok(queue);
        }
        let limits = budget::BudgetLimits {
            concurrent: CALL_THREADS + WATCH_THREADS,
            ..budget::BudgetLimits::default()
        };
        let worker = StoreWorker {
            client: Arc::new(http::HttpStore::new(addresses.to_vec())),
            budget: Arc::new(Mutex::new(budget::CallBudget::new(limits, clock.now()))),
            clock,
            engine,
        };
        for _ in 0..CALL_THREADS {
            worker.clone().spawn(waiting_calls.clone())?;
        }
        for _ in 0..WATCH_THREADS {
            worker.clone().spawn(waiting_watches.clone())?;
        }
        Ok(queue)
    }

    /// Asks; where the question can't wait in the queue, its answer comes back at once.
    pub fn ask(&self, id: store::StoreId, ask: store::StoreAsk) -> Option<event::NodeEvent> {
        let queue = match ask {
            store::StoreAsk::Watch { .. } => &self.watches,
            _ => &self.calls,
        };
        let refused = queue.try_send(StoreQuestion { id, ask }).is_err();
        // The question never left, so it is known not to have been carried out.
        let outcome = store::StoreOutcome::Unavailable;
        refused.then_some(event::NodeEvent::StoreAnswered { id, outcome })
    }
}

impl StoreWorker {
    fn spawn(self, questions: flume::Receiver<StoreQuestion>) -> eyre::Result<()> {
        let builder = thread::Builder::new().name("store".to_owned());
        let thread = builder.spawn(move || self.run(&questions));
        thread.wrap_err("a thread for the store could not be started")?;
        Ok(())
    }

    fn run(&self, questions: &flume::Receiver<StoreQuestion>) {
        for question in questions {
            let outcome = self.carry_out(&question.ask);
            if self.engine.send(answer(question.id, outcome)).is_err() {
                return;
            }
        }
    }

    fn carry_out(&self, ask: &store::StoreAsk) -> store::StoreOutcome {
        let now = self.clock.now();
        if self.budget().begin(now).is_err() {
            return store::StoreOutcome::Unavailable;
        }
        let outcome = platform::PlatformStore::carry_out(&*self.client, ask);
        self.budget().end();
        outcome
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, budget::CallBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn answer(id: store::StoreId, outcome: store::StoreOutcome) -> engine::EngineInput {
    engine::EngineInput::Event(event::NodeEvent::StoreAnswered { id, outcome })
}
