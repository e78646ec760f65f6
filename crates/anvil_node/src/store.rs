//! The store edge: blocking calls to the platform's key-value store, on separate threads.
//!
//! See `docs/design/store.md`.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use anvil_core::event;
use anvil_store::budget;
use anvil_types::{store, time};
use eyre::WrapErr;

use crate::{clock, counters, dialect, engine};

pub mod holding;

/// Maximum number of requests that wait for the store's threads, per queue.
pub const MAX_QUEUED_REQUESTS: usize = 256;

/// Threads for requests other than watches.
const CALL_THREADS: u32 = 3;

/// Threads for watches; a watch waits for many seconds and must not delay a lease renewal.
const WATCH_THREADS: u32 = 1;

/// Refill interval of the request budget for the owners of keys.
///
/// The owners limit themselves to a lower rate and a smaller burst than this and [`KEY_BURST`]. The
/// number of their requests in the whole fleet is proportional to the slots and not to the nodes, so
/// a node may make more of them than of other requests.
const KEY_INTERVAL: Duration = Duration::from_millis(15);

/// Maximum burst of requests for the owners of keys.
const KEY_BURST: u32 = 192;

/// One request that waits for the store's threads.
#[derive(Clone, Debug)]
struct QueuedRequest {
    id: store::StoreId,
    request: store::StoreRequest,
    queued_at: time::NodeTime,
}

/// Queues requests for the store's threads; owned by the reducer's task.
#[derive(Debug)]
pub struct StoreQueue {
    calls: flume::Sender<QueuedRequest>,
    watches: flume::Sender<QueuedRequest>,
    clock: clock::NodeClock,
    holding: Arc<holding::HoldingRecord>,
}

/// State shared by the store's threads.
#[derive(Clone)]
struct StoreWorker {
    client: Arc<dyn dialect::StoreDialect>,
    budget: Arc<Mutex<budget::CallBudget>>,
    key_budget: Arc<Mutex<budget::CallBudget>>,
    clock: clock::NodeClock,
    engine: engine::EngineSender,
    holding: Arc<holding::HoldingRecord>,
}

impl StoreQueue {
    /// Starts the store's threads; without a store, every request is answered as unavailable.
    pub fn start(
        client: Option<Arc<dyn dialect::StoreDialect>>,
        clock: clock::NodeClock,
        engine: engine::EngineSender,
        counters: &counters::EdgeCounters,
    ) -> eyre::Result<Self> {
        let (calls, waiting_calls) = flume::bounded(MAX_QUEUED_REQUESTS);
        let (watches, waiting_watches) = flume::bounded(MAX_QUEUED_REQUESTS);
        let holding = Arc::new(holding::HoldingRecord::new(counters.clone()));
        let queue = Self {
            calls,
            watches,
            clock,
            holding: holding.clone(),
        };
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
            holding,
        };
        for _ in 0..CALL_THREADS {
            worker.clone().spawn(waiting_calls.clone())?;
        }
        for _ in 0..WATCH_THREADS {
            worker.clone().spawn(waiting_watches.clone())?;
        }
        Ok(queue)
    }

    /// Queues a request; if that fails, its answer is returned at once.
    pub fn submit(
        &self,
        id: store::StoreId,
        request: store::StoreRequest,
    ) -> Option<event::NodeEvent> {
        let queue = match request {
            store::StoreRequest::Watch { .. } => &self.watches,
            _ => &self.calls,
        };
        let queued = QueuedRequest {
            id,
            request,
            queued_at: self.clock.now(),
        };
        let refused = queue.try_send(queued).is_err();
        if refused {
            self.holding
                .refused(id.requester, holding::RefusalReason::QueueFull);
        }
        // The request was not sent, so it certainly was not carried out.
        let outcome = store::StoreOutcome::Unavailable;
        refused.then_some(event::NodeEvent::StoreAnswered { id, outcome })
    }
}

impl StoreWorker {
    fn spawn(self, requests: flume::Receiver<QueuedRequest>) -> eyre::Result<()> {
        let builder = thread::Builder::new().name("store".to_owned());
        let thread = builder.spawn(move || self.run(&requests));
        thread.wrap_err("a thread for the store could not be started")?;
        Ok(())
    }

    fn run(&self, requests: &flume::Receiver<QueuedRequest>) {
        for queued in requests {
            let outcome = self.carry_out(&queued);
            if self.engine.send(answer(queued.id, outcome)).is_err() {
                return;
            }
        }
    }

    fn carry_out(&self, queued: &QueuedRequest) -> store::StoreOutcome {
        let now = self.clock.now();
        let requester = queued.id.requester;
        let begun = self.budget(requester).begin(now);
        if let Err(refusal) = begun {
            self.holding.refused(requester, refusal.into());
            return store::StoreOutcome::Unavailable;
        }
        self.holding.sent(requester, now.since(queued.queued_at));
        let outcome = self.client.carry_out(&queued.request);
        self.budget(requester).end();
        outcome
    }

    fn budget(
        &self,
        requester: store::StoreRequester,
    ) -> std::sync::MutexGuard<'_, budget::CallBudget> {
        let budget = match requester {
            store::StoreRequester::Fleet
            | store::StoreRequester::Quarantine
            | store::StoreRequester::Rules => &self.budget,
            store::StoreRequester::Keys => &self.key_budget,
        };
        budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn answer(id: store::StoreId, outcome: store::StoreOutcome) -> engine::EngineInput {
    engine::EngineInput::Event(event::NodeEvent::StoreAnswered { id, outcome })
}
