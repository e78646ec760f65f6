//! A stand-in target with slots, work time, calls of its own, cold starts, slowness and crashes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use anvil_types::{ident, name};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use rand_core::{Rng, SeedableRng};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

use crate::{client, ledger, mesh};

/// Longest wait of a target for one of its calls, so that a broken experiment still ends.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Precedes the root request's id in every complete answer.
pub const ANSWER_PREFIX: &str = "whole:";

/// A request whose path starts with this step crashes the target that runs it.
pub const POISON_STEP: &str = "poison";

/// The configuration of a stand-in target.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// Its name in the ledger.
    pub name: String,
    /// The service, its slots, work and calls.
    pub service: mesh::ServicePlan,
    /// Seed of the random work times.
    pub seed: u64,
    /// How long and by how much a target is slow after its start.
    pub cold: ColdStart,
}

/// A cold start: work takes `factor` times as long at first, which falls linearly to one.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// How long it lasts.
    pub duration: Duration,
    /// The factor at the start.
    pub factor: f64,
}

impl ColdStart {
    /// No cold start.
    pub const NONE: Self = Self {
        duration: Duration::ZERO,
        factor: 1.0,
    };

    fn factor_at(&self, age: Duration) -> f64 {
        if age >= self.duration {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / self.duration.as_secs_f64();
        1.0 + (self.factor - 1.0) * left
    }
}

/// A running stand-in target, with methods that inject faults.
#[derive(Debug)]
pub struct MeshTarget {
    plan: TargetPlan,
    address: SocketAddr,
    slots: Arc<Semaphore>,
    started: Mutex<Instant>,
    slowness_permille: AtomicU64,
    down: AtomicBool,
    poisoned: AtomicBool,
    crashes: AtomicU64,
    shutdown: watch::Sender<bool>,
    node: OnceLock<SocketAddr>,
    client: client::PooledClient,
    ledger: Arc<ledger::RunLedger>,
    rng: Mutex<rand_pcg::Pcg64Mcg>,
}

impl MeshTarget {
    /// Binds `address` and starts to serve on the current runtime.
    ///
    /// Fails if it can't be bound.
    pub async fn start(
        plan: TargetPlan,
        address: SocketAddr,
        ledger: Arc<ledger::RunLedger>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        let slots = plan.service.slots as usize;
        let target = Arc::new(Self {
            address: listener.local_addr()?,
            slots: Arc::new(Semaphore::new(slots)),
            started: Mutex::new(Instant::now()),
            slowness_permille: AtomicU64::new(1_000),
            down: AtomicBool::new(false),
            poisoned: AtomicBool::new(false),
            crashes: AtomicU64::new(0),
            shutdown: watch::Sender::new(false),
            node: OnceLock::new(),
            client: client::PooledClient::default(),
            ledger,
            rng: Mutex::new(rand_pcg::Pcg64Mcg::seed_from_u64(plan.seed)),
            plan,
        });
        tokio::spawn(accept(Arc::clone(&target), listener));
        Ok(target)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The service it offers.
    pub fn service(&self) -> &name::ServiceName {
        &self.plan.service.name
    }

    /// The slots it announces.
    pub fn slots(&self) -> u32 {
        self.plan.service.slots
    }

    /// The connections it announces.
    pub fn connections(&self) -> u32 {
        self.plan.service.connections
    }

    /// Ends the cold start of a target that has just started.
    pub fn warm_up(&self) {
        let mut started = self.started.lock().unwrap_or_else(PoisonError::into_inner);
        *started = started
            .checked_sub(self.plan.cold.duration)
            .unwrap_or(*started);
    }

    /// Whether its cold start is over.
    pub fn is_warm(&self) -> bool {
        let started = self.started.lock().unwrap_or_else(PoisonError::into_inner);
        started.elapsed() >= self.plan.cold.duration
    }

    /// Whether its last crash was caused by a request.
    pub fn poisoned(&self) -> bool {
        self.poisoned.load(Ordering::SeqCst)
    }

    /// Sets the local node, to which its own calls are sent.
    pub fn set_node(&self, caller_address: SocketAddr) {
        // A target has one node address for its lifetime; a second call has no effect.
        let _ = self.node.set(caller_address);
    }

    /// Makes all further work take `factor` times as long.
    pub fn slow_down(&self, factor: f64) {
        let permille = (factor * 1_000.0) as u64;
        self.slowness_permille.store(permille, Ordering::Relaxed);
    }

    /// Closes every connection and refuses new ones until [`MeshTarget::restart`].
    pub fn crash(&self) {
        self.down.store(true, Ordering::SeqCst);
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.shutdown.send_replace(true);
    }

    /// Restarts cold after a crash.
    pub fn restart(&self) {
        *self.started.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        self.poisoned.store(false, Ordering::SeqCst);
        self.shutdown.send_replace(false);
        self.down.store(false, Ordering::SeqCst);
    }

    /// Crashes so far.
    pub fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::SeqCst)
    }

    /// Whether it is down.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// A random work time: exponentially distributed, at most five times the mean.
    fn work_time(&self) -> Duration {
        let draw = {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
        };
        let spread = (-(1.0 - draw).ln()).min(5.0);
        let age = {
            let started = self.started.lock().unwrap_or_else(PoisonError::into_inner);
            started.elapsed()
        };
        let slowness = self.slowness_permille.load(Ordering::Relaxed) as f64 / 1_000.0;
        let factor = slowness * self.plan.cold.factor_at(age);
        Duration::from_secs_f64(self.plan.service.work_ms / 1_000.0 * spread * factor)
    }

    /// Answers a request, and returns its token so that the answer names it.
    async fn serve(
        &self,
        request: http::Request<Incoming>,
    ) -> Result<http::Response<Full<Bytes>>, Infallible> {
        let token = request.headers().get(client::PARENT_HEADER).cloned();
        let mut answer = self.run(request).await;
        if let Some(token) = token {
            answer.headers_mut().insert(client::PARENT_HEADER, token);
        }
        Ok(answer)
    }

    async fn run(&self, request: http::Request<Incoming>) -> http::Response<Full<Bytes>> {
        let run_request = RunRequest::of(&request);
        // The body must be read even though it is not used.
        let body = request.into_body().collect().await;
        if body.is_err() {
            return answer(400, "the body is incomplete".to_owned());
        }
        if run_request.step == POISON_STEP {
            self.poisoned.store(true, Ordering::SeqCst);
            self.crash();
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return answer(503, "shutting down".to_owned());
        };
        let mut guard = RunGuard::start(&self.ledger, &run_request, &self.plan);
        tokio::time::sleep(self.work_time()).await;
        if let Err(status) = self.make_calls(&run_request).await {
            return answer(status, "a call to a deeper service failed".to_owned());
        }
        guard.completed = true;
        answer(200, format!("{ANSWER_PREFIX}{}", run_request.root))
    }

    /// Makes the calls of the step in sequence; fails with the status to return.
    async fn make_calls(&self, run_request: &RunRequest) -> Result<(), u16> {
        let steps = &self.plan.service.steps;
        let Some(step) = steps.iter().find(|step| step.step == run_request.step) else {
            return Ok(());
        };
        let Some(node) = self.node.get() else {
            return Err(500);
        };
        for call in &step.calls {
            let path = format!("/{}/{}", call.step, run_request.root);
            let mut headers = vec![
                (client::SERVICE_HEADER, call.service.to_string()),
                (client::PARENT_HEADER, run_request.parent.clone()),
            ];
            if let Some(key) = &run_request.key {
                headers.push((client::KEY_HEADER, format!("{key}/{}", call.step)));
            }
            let request = client::ClientRequest {
                address: *node,
                method: &call.method,
                path: &path,
                headers: &headers,
                body: Bytes::new(),
                timeout: CALL_TIMEOUT,
            };
            match self.client.send(request).await {
                Ok(answer) if answer.status == 200 => {}
                Ok(answer) if answer.status == 503 => return Err(503),
                _ => return Err(502),
            }
        }
        Ok(())
    }
}

/// The properties of a request that the target uses.
#[derive(Debug)]
struct RunRequest {
    step: String,
    root: String,
    parent: String,
    key: Option<String>,
    method: String,
}

impl RunRequest {
    fn of(request: &http::Request<Incoming>) -> Self {
        let header = |name: &str| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned)
        };
        let mut parts = request.uri().path().split('/').skip(1);
        Self {
            step: parts.next().unwrap_or_default().to_owned(),
            root: parts.next().unwrap_or_default().to_owned(),
            parent: header(client::PARENT_HEADER).unwrap_or_default(),
            key: header(client::KEY_HEADER),
            method: request.method().to_string(),
        }
    }
}

/// Records the end of a run, also if its connection breaks in the middle.
struct RunGuard<'run> {
    ledger: &'run ledger::RunLedger,
    index: Option<ledger::RunIndex>,
    completed: bool,
}

impl<'run> RunGuard<'run> {
    fn start(ledger: &'run ledger::RunLedger, run_request: &RunRequest, plan: &TargetPlan) -> Self {
        let action = run_request
            .key
            .as_ref()
            .filter(|_| run_request.method == "POST");
        let service = plan.service.name.as_str();
        let index = ledger.begin(ledger::RunRecord {
            root: run_request.root.clone(),
            key: action.map(|key| ident::RequestKey::of(service, key.as_bytes())),
            target: plan.name.clone(),
            parent: run_request.parent.clone(),
            started: ledger.now(),
            ended: None,
            completed: false,
        });
        Self {
            ledger,
            index,
            completed: false,
        }
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if let Some(index) = self.index {
            self.ledger.end(index, self.completed);
        }
    }
}

async fn accept(target: Arc<MeshTarget>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        if target.is_down() {
            continue;
        }
        // Nagle's algorithm would add up to 40 ms to an answer in two segments.
        let _ = stream.set_nodelay(true);
        let target = Arc::clone(&target);
        tokio::spawn(async move {
            let mut shutdown = target.shutdown.subscribe();
            let service = service::service_fn(|request| target.serve(request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                _ = shutdown.wait_for(|down| *down) => {}
            }
        });
    }
}

fn answer(status: u16, text: String) -> http::Response<Full<Bytes>> {
    let mut response = http::Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    response
}
