//! The edge towards the platform's key-value store: blocking calls on threads of their own.
//!
//! See `docs/design/store.md`.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use anvil_core::event;
use anvil_store::budget;
use anvil_types::store;
use eyre::WrapErr;

use crate::{clock, dialect, engine};

/// Questions that wait for the store's threads.
pub const QUEUE_LIMIT: usize = 256;

/// Threads that carry out calls other than watches.
const CALL_THREADS: u32 = 3;

/// Threads that hold watches; a watch waits for many seconds and must not keep a renewal waiting.
const WATCH_THREADS: u32 = 1;

/// Time in which one more question about the owners of keys is earned, and how many may follow one
/// another. The owners pace themselves below both; all nodes together ask in proportion to the
/// slots, not to the nodes, so a node's share may be larger than for the rest.
const KEY_INTERVAL: Duration = Duration::from_millis(15);
const KEY_BURST: u32 = 192;

/// One question on its way to the store's threads.
#[derive(Clone, Debug)]
struct StoreQuestion {
    id: store::StoreId,
    ask: store::StoreRequest,
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
    client: Arc<dyn dialect::StoreDialect>,
    budget: Arc<Mutex<budget::CallBudget>>,
    key_budget: Arc<Mutex<budget::CallBudget>>,
    clock: clock::NodeClock,
    engine: engine::EngineSender,
}

impl StoreQueue {
    /// Starts the threads that ask the store; without one, every question is answered as
    /// unavailable.
    pub fn start(
        client: Option<Arc<dyn dialect::StoreDialect>>,
        clock: clock::NodeClock,
        engine: engine::EngineSender,
    ) -> eyre::Result<Self> {
        let (calls, waiting_calls) = flume::bounded(QUEUE_LIMIT);
        let (watches, waiting_watches) = flume::bounded(QUEUE_LIMIT);
        let queue = Self { calls, watches };
        let Some(client) = client else {
            return Ok(queue);
        };
        let limits = budget::BudgetLimits {
            concurrent: CALL_THREADS + WATCH_THREADS,
            ..budget::BudgetLimits::default()
        };
        let worker = StoreWorker {
            client,
            budget: Arc::new(Mutex::new(budget::CallBudget::new(limits, clock.now()))),
            key_budget: Arc::new(Mutex::new(budget::CallBudget::new(
                budget::BudgetLimits {
                    interval: KEY_INTERVAL,
                    burst: KEY_BURST,
                    ..limits
                },
                clock.now(),
            ))),
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
    pub fn ask(&self, id: store::StoreId, ask: store::StoreRequest) -> Option<event::NodeEvent> {
        let queue = match ask {
            store::StoreRequest::Watch { .. } => &self.watches,
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
            let outcome = self.carry_out(&question);
            if self.engine.send(answer(question.id, outcome)).is_err() {
                return;
            }
        }
    }

    fn carry_out(&self, question: &StoreQuestion) -> store::StoreOutcome {
        let now = self.clock.now();
        let part = question.id.requester;
        if self.budget(part).begin(now).is_err() {
            return store::StoreOutcome::Unavailable;
        }
        let outcome = self.client.carry_out(&question.ask);
        self.budget(part).end();
        outcome
    }

    fn budget(&self, part: store::StoreRequester) -> std::sync::MutexGuard<'_, budget::CallBudget> {
        let budget = match part {
            store::StoreRequester::Fleet => &self.budget,
            store::StoreRequester::Keys => &self.key_budget,
        };
        budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn answer(id: store::StoreId, outcome: store::StoreOutcome) -> engine::EngineInput {
    engine::EngineInput::Event(event::NodeEvent::StoreAnswered { id, outcome })
}
