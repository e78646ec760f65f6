//! A stand-in target: slots, work time, calls of its own, cold starts, slowness, crashes, drains.

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

/// How long a run of a target lasts at most; it bounds what a broken experiment can hold up.
const RUN_LIMIT: Duration = Duration::from_secs(60);

/// What a target prints in front of the root request's id in every whole answer.
pub const WHOLE_MARK: &str = "whole:";

/// A path that starts with this step crashes the target that runs it.
pub const POISON_STEP: &str = "poison";

/// What a stand-in target is asked to be.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// Names it in the ledger.
    pub name: String,
    /// The service, its slots, work and calls.
    pub service: mesh::ServicePlan,
    /// Feeds the spread of work times.
    pub seed: u64,
    /// How long after its start a target is slow, and by how much at first.
    pub cold: ColdStart,
}

/// A cold start: work takes `factor` times as long at first, falling evenly to one.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// How long it lasts.
    pub span: Duration,
    /// The factor at the start.
    pub factor: f64,
}

impl ColdStart {
    /// No cold start.
    pub const NONE: Self = Self {
        span: Duration::ZERO,
        factor: 1.0,
    };

    fn factor_at(&self, age: Duration) -> f64 {
        if age >= self.span {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / self.span.as_secs_f64();
        1.0 + (self.factor - 1.0) * left
    }
}

/// A running stand-in target and the switches of its faults.
#[derive(Debug)]
pub struct MeshTarget {
    plan: TargetPlan,
    address: SocketAddr,
    gate: Arc<Semaphore>,
    started: Mutex<Instant>,
    slowness_permille: AtomicU64,
    broken: AtomicBool,
    poisoned: AtomicBool,
    crashes: AtomicU64,
    shutdown: watch::Sender<bool>,
    node: OnceLock<SocketAddr>,
    client: client::KeptClient,
    ledger: Arc<ledger::RunLedger>,
    rng: Mutex<rand_pcg::Pcg64Mcg>,
}

impl MeshTarget {
    /// Binds `address` and starts to serve on the current runtime.
    ///
    /// Fails where it can't be bound.
    pub async fn start(
        plan: TargetPlan,
        address: SocketAddr,
        ledger: Arc<ledger::RunLedger>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        let slots = plan.service.slots as usize;
        let target = Arc::new(Self {
            address: listener.local_addr()?,
            gate: Arc::new(Semaphore::new(slots)),
            started: Mutex::new(Instant::now()),
            slowness_permille: AtomicU64::new(1_000),
            broken: AtomicBool::new(false),
            poisoned: AtomicBool::new(false),
            crashes: AtomicU64::new(0),
            shutdown: watch::Sender::new(false),
            node: OnceLock::new(),
            client: client::KeptClient::default(),
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

    /// Ends the cold start of a target that has only just started.
    pub fn warm_up(&self) {
        let mut started = self.started.lock().unwrap_or_else(PoisonError::into_inner);
        *started = started.checked_sub(self.plan.cold.span).unwrap_or(*started);
    }

    /// Whether its cold start is over.
    pub fn is_warm(&self) -> bool {
        let started = self.started.lock().unwrap_or_else(PoisonError::into_inner);
        started.elapsed() >= self.plan.cold.span
    }

    /// Whether its last crash was the work of a request.
    pub fn poisoned(&self) -> bool {
        self.poisoned.load(Ordering::SeqCst)
    }

    /// Names the node beside it, which its own calls go to.
    pub fn set_node(&self, caller_address: SocketAddr) {
        // A target has one node for life; a second call changes nothing.
        let _ = self.node.set(caller_address);
    }

    /// Makes all further work take `factor` times as long.
    pub fn slow_down(&self, factor: f64) {
        let permille = (factor * 1_000.0) as u64;
        self.slowness_permille.store(permille, Ordering::Relaxed);
    }

    /// Cuts every connection and refuses new ones until [`MeshTarget::restart`].
    pub fn crash(&self) {
        self.broken.store(true, Ordering::SeqCst);
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.shutdown.send_replace(true);
    }

    /// Comes back cold after a crash.
    pub fn restart(&self) {
        *self.started.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        self.poisoned.store(false, Ordering::SeqCst);
        self.shutdown.send_replace(false);
        self.broken.store(false, Ordering::SeqCst);
    }

    /// Crashes so far.
    pub fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::SeqCst)
    }

    /// Whether it is down.
    pub fn is_down(&self) -> bool {
        self.broken.load(Ordering::SeqCst)
    }

    /// A work time: exponential around the mean, at most five times as long.
    fn work(&self) -> Duration {
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

    async fn serve(
        &self,
        request: http::Request<Incoming>,
    ) -> Result<http::Response<Full<Bytes>>, Infallible> {
        let order = RunOrder::of(&request);
        // The body belongs to the request even where the stand-in has no use for it.
        let body = request.into_body().collect().await;
        if body.is_err() {
            return Ok(answer(400, "the body broke off".to_owned()));
        }
        if order.step == POISON_STEP {
            self.poisoned.store(true, Ordering::SeqCst);
            self.crash();
        }
        let Ok(_slot) = self.gate.acquire().await else {
            return Ok(answer(503, "shutting down".to_owned()));
        };
        let mut guard = RunGuard::start(&self.ledger, &order, &self.plan);
        tokio::time::sleep(self.work()).await;
        if let Err(status) = self.call_on(&order).await {
            return Ok(answer(status, "a call further down failed".to_owned()));
        }
        guard.whole = true;
        Ok(answer(200, format!("{WHOLE_MARK}{}", order.root)))
    }

    /// Makes the calls of the step, one after the other; fails with the status to pass on.
    async fn call_on(&self, order: &RunOrder) -> Result<(), u16> {
        let steps = &self.plan.service.steps;
        let Some(step) = steps.iter().find(|step| step.step == order.step) else {
            return Ok(());
        };
        let Some(node) = self.node.get() else {
            return Err(500);
        };
        for call in &step.calls {
            let path = format!("/{}/{}", call.step, order.root);
            let mut headers = vec![
                (client::SERVICE_HEADER, call.service.to_string()),
                (client::PARENT_HEADER, order.parent.clone()),
            ];
            if let Some(key) = &order.key {
                headers.push((client::KEY_HEADER, format!("{key}/{}", call.step)));
            }
            let request = client::ClientRequest {
                address: *node,
                method: &call.method,
                path: &path,
                headers: &headers,
                body: Bytes::new(),
                timeout: RUN_LIMIT,
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

/// What a request says about itself.
#[derive(Debug)]
struct RunOrder {
    step: String,
    root: String,
    parent: String,
    key: Option<String>,
    method: String,
}

impl RunOrder {
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

/// Records the run when it ends, also where its connection is cut in the middle.
struct RunGuard<'run> {
    ledger: &'run ledger::RunLedger,
    place: Option<ledger::RunPlace>,
    whole: bool,
}

impl<'run> RunGuard<'run> {
    fn start(ledger: &'run ledger::RunLedger, order: &RunOrder, plan: &TargetPlan) -> Self {
        let action = order.key.as_ref().filter(|_| order.method == "POST");
        let service = plan.service.name.as_str();
        let place = ledger.begin(ledger::RunRecord {
            root: order.root.clone(),
            key: action.map(|key| ident::RequestKey::of(service, key.as_bytes())),
            target: plan.name.clone(),
            parent: order.parent.clone(),
            began: ledger.now(),
            ended: None,
            whole: false,
        });
        Self {
            ledger,
            place,
            whole: false,
        }
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if let Some(place) = self.place {
            self.ledger.end(place, self.whole);
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
