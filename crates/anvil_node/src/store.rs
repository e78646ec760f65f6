//! The store edge: blocking calls to the platform's key-value store, on separate threads.
//!
//! See `docs/design/store.md`.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use anvil_core::event;
use anvil_store::budget;
use anvil_types::{sorted, store, time};
use eyre::WrapErr;

use crate::{clock, counters, dialect, engine};

pub mod holding;

/// Maximum number of requests that wait for the store's threads, per pool.
pub const MAX_QUEUED_REQUESTS: usize = 256;

/// Refill interval of the request budget for the owners of keys.
///
/// The owners limit themselves to a lower rate and a smaller burst than this and [`KEY_BURST`]. The
/// number of their requests in the whole fleet is proportional to the slots and not to the nodes, so
/// a node may make more of them than of other requests.
const KEY_INTERVAL: Duration = Duration::from_millis(15);

/// Maximum burst of requests for the owners of keys.
const KEY_BURST: u32 = 192;

/// What a request does while the budget of its pool is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SpentBudget {
    /// It waits, so that its requester does not take the pause for a failure of the store.
    Wait,
    /// It is refused, and its requester decides whether it is still wanted later.
    Refuse,
}

/// A pool of threads for a group of requests, with a queue and a budget of its own.
///
/// Calls that hang, or that many requests need, delay only others of their pool. News of the rules
/// therefore shares a pool with nothing else, and watches, which wait for seconds, not even with reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StorePool {
    RuleWatches,
    RuleReads,
    Members,
    Keys,
}

impl StorePool {
    const ALL: [Self; 4] = [
        Self::RuleWatches,
        Self::RuleReads,
        Self::Members,
        Self::Keys,
    ];

    fn of(requester: store::StoreRequester, request: &store::StoreRequest) -> Self {
        match requester {
            store::StoreRequester::Rules => match request {
                store::StoreRequest::Watch { .. } => Self::RuleWatches,
                _ => Self::RuleReads,
            },
            store::StoreRequester::Fleet | store::StoreRequester::Quarantine => Self::Members,
            store::StoreRequester::Keys => Self::Keys,
        }
    }

    /// The number of threads, and so of requests in progress.
    fn threads(self) -> u32 {
        match self {
            Self::RuleWatches | Self::RuleReads => 1,
            Self::Members => 2,
            Self::Keys => 3,
        }
    }

    fn limits(self) -> budget::BudgetLimits {
        let limits = budget::BudgetLimits {
            concurrent: self.threads(),
            ..budget::BudgetLimits::default()
        };
        match self {
            Self::RuleWatches | Self::RuleReads | Self::Members => limits,
            Self::Keys => budget::BudgetLimits {
                interval: KEY_INTERVAL,
                burst: KEY_BURST,
                ..limits
            },
        }
    }

    fn when_spent(self) -> SpentBudget {
        match self {
            Self::RuleWatches | Self::RuleReads => SpentBudget::Wait,
            Self::Members | Self::Keys => SpentBudget::Refuse,
        }
    }
}

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
    pools: sorted::SortedTable<StorePool, flume::Sender<QueuedRequest>>,
    clock: clock::NodeClock,
    holding: Arc<holding::HoldingRecord>,
}

/// State shared by the threads of one pool.
#[derive(Clone)]
struct StoreWorker {
    pool: StorePool,
    client: Arc<dyn dialect::StoreDialect>,
    budget: Arc<Mutex<budget::CallBudget>>,
    clock: clock::NodeClock,
    engine: engine::EngineSender,
    holding: Arc<holding::HoldingRecord>,
}

impl StoreQueue {
    /// Starts the store's threads; without a store, every request is answered as unavailable.
    pub fn start(
        client: Option<Arc<dyn dialect::StoreDialect>>,
        clock: clock::NodeClock,
        engine: &engine::EngineSender,
        counters: &counters::EdgeCounters,
    ) -> eyre::Result<Self> {
        let holding = Arc::new(holding::HoldingRecord::new(counters.clone()));
        let mut queue = Self {
            pools: sorted::SortedTable::default(),
            clock,
            holding: holding.clone(),
        };
        let Some(client) = client else {
            return Ok(queue);
        };
        for pool in StorePool::ALL {
            let (sender, requests) = flume::bounded(MAX_QUEUED_REQUESTS);
            queue.pools.insert(pool, sender);
            let budget = budget::CallBudget::new(pool.limits(), clock.now());
            let worker = StoreWorker {
                pool,
                client: client.clone(),
                budget: Arc::new(Mutex::new(budget)),
                clock,
                engine: engine.clone(),
                holding: holding.clone(),
            };
            for _ in 0..pool.threads() {
                worker.clone().spawn(requests.clone())?;
            }
        }
        Ok(queue)
    }

    /// Queues a request; if that fails, its answer is returned at once.
    pub fn submit(
        &self,
        id: store::StoreId,
        request: store::StoreRequest,
    ) -> Option<event::NodeEvent> {
        // The request was not sent, so it certainly was not carried out.
        let refusal = event::NodeEvent::StoreAnswered {
            id,
            outcome: store::StoreOutcome::Unavailable,
        };
        let Some(pool) = self.pools.get(StorePool::of(id.requester, &request)) else {
            return Some(refusal);
        };
        let queued = QueuedRequest {
            id,
            request,
            queued_at: self.clock.now(),
        };
        if pool.try_send(queued).is_ok() {
            return None;
        }
        self.holding
            .refused(id.requester, holding::RefusalReason::QueueFull);
        Some(refusal)
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
        let requester = queued.id.requester;
        if let Err(refusal) = self.begin() {
            self.holding.refused(requester, refusal.into());
            return store::StoreOutcome::Unavailable;
        }
        let waited = self.clock.now().since(queued.queued_at);
        self.holding.sent(requester, waited);
        let outcome = self.client.carry_out(&queued.request);
        self.budget().end();
        outcome
    }

    /// Takes one call from the pool's budget, waiting for it if the pool does.
    fn begin(&self) -> Result<(), budget::BudgetRefusal> {
        loop {
            let now = self.clock.now();
            let begun = self.budget().begin(now);
            match begun {
                Err(budget::BudgetRefusal::Spent { until })
                    if self.pool.when_spent() == SpentBudget::Wait =>
                {
                    thread::sleep(until.since(now));
                }
                begun => return begun,
            }
        }
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, budget::CallBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn answer(id: store::StoreId, outcome: store::StoreOutcome) -> engine::EngineInput {
    engine::EngineInput::Event(event::NodeEvent::StoreAnswered { id, outcome })
}
