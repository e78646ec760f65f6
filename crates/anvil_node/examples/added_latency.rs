//! Measures the latency that two nodes add to a request, compared with the same request sent to its
//! target directly.
//!
//! Both sides are measured in one run: requests alternate between them at a fixed rate,
//! independently of the answers, over 350 open connections each. Everything runs in one process on
//! the loopback address, so the figures include the work of the nodes but no network. See
//! `docs/MEASUREMENTS.md`.
//!
//! `cargo run --release -p anvil_node --example added_latency`

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anvil_node::{node, settings};
use anvil_standins::http_target;
use bytes::Bytes;
use eyre::{WrapErr, ensure, eyre};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::runtime;
use tokio::sync::Mutex as AsyncMutex;

/// Number of connections of each side.
const CONNECTIONS: usize = 350;

/// Length of the body of each request and answer, in bytes.
const BODY_BYTES: usize = 1_024;

/// Requests per second of each side, and how long each rate is measured.
const RATES: [(u32, Duration); 3] = [
    (100, Duration::from_secs(30)),
    (500, Duration::from_secs(12)),
    (2_000, Duration::from_secs(10)),
];

/// Time before each measurement in which requests are sent but not recorded.
const WARM_UP: Duration = Duration::from_secs(2);

/// Longest wait until the first node knows the second one's target.
const JOIN_TIMEOUT: Duration = Duration::from_secs(20);

/// The service of the target.
const SERVICE: &str = "audiencias";

type Sender = http1::SendRequest<Full<Bytes>>;

/// One side of the comparison: its connections and the latencies of its requests.
#[derive(Clone)]
struct MeasuredSide {
    connections: Arc<Vec<AsyncMutex<Sender>>>,
    micros: Arc<Mutex<Histogram<u64>>>,
    body: Bytes,
}

impl MeasuredSide {
    async fn connect(address: SocketAddr) -> eyre::Result<Self> {
        let mut connections = Vec::with_capacity(CONNECTIONS);
        for _ in 0..CONNECTIONS {
            let stream = tokio::net::TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
            tokio::spawn(driver);
            connections.push(AsyncMutex::new(sender));
        }
        Ok(Self {
            connections: Arc::new(connections),
            micros: Arc::new(Mutex::new(Histogram::new(3)?)),
            body: Bytes::from(vec![b'x'; BODY_BYTES]),
        })
    }

    /// Sends one request and, if `recorded`, records the time until its complete answer, including
    /// the wait for a free connection.
    async fn send_request(&self, turn: usize, recorded: bool) -> eyre::Result<()> {
        let started_at = Instant::now();
        let mut sender = self.connections[turn % CONNECTIONS].lock().await;
        sender.ready().await?;
        let request = Request::post("/echo")
            .header("host", SERVICE)
            .body(Full::new(self.body.clone()))?;
        let response = sender.send_request(request).await?;
        ensure!(response.status() == 200, "status {}", response.status());
        let body = response.into_body().collect().await?.to_bytes();
        ensure!(body.len() == BODY_BYTES, "the answer is too short");
        if recorded {
            let micros = u64::try_from(started_at.elapsed().as_micros())?;
            let mut histogram = self.micros.lock().unwrap_or_else(PoisonError::into_inner);
            histogram.record(micros)?;
        }
        Ok(())
    }

    fn take(&self) -> Histogram<u64> {
        let mut histogram = self.micros.lock().unwrap_or_else(PoisonError::into_inner);
        let recorded = histogram.clone();
        histogram.reset();
        recorded
    }
}

fn main() -> eyre::Result<()> {
    let target = http_target::StandInTarget::start_without_recording()?;
    let inner = node::start(&node_settings(&[])?)?;
    let entry = node::start(&node_settings(&[inner.bound().gossip])?)?;
    announce(inner.bound().admin, target.address())?;
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(join(entry.bound().caller))?;
    let direct = runtime.block_on(MeasuredSide::connect(target.address()))?;
    let through = runtime.block_on(MeasuredSide::connect(entry.bound().caller))?;
    println!("| calls/s | side | p50 ms | p99 ms | p99.9 ms | calls |");
    println!("|---|---|---|---|---|---|");
    for (rate, duration) in RATES {
        pace(&runtime, [&direct, &through], rate, WARM_UP, false)?;
        pace(&runtime, [&direct, &through], rate, duration, true)?;
        print_rows(rate, &direct.take(), &through.take());
    }
    Ok(())
}

/// Starts requests at fixed times, alternating between the sides.
///
/// It runs outside the runtime, whose timers have a resolution of only a millisecond.
fn pace(
    runtime: &runtime::Runtime,
    sides: [&MeasuredSide; 2],
    rate: u32,
    duration: Duration,
    recorded: bool,
) -> eyre::Result<()> {
    let sides = sides.map(Clone::clone);
    let step = Duration::from_secs(1) / (2 * rate);
    let turns = usize::try_from(duration.as_nanos() / step.as_nanos())?;
    let handle = runtime.handle().clone();
    let started_at = Instant::now();
    let mut requests = Vec::with_capacity(turns);
    for turn in 0..turns {
        let at = started_at + step * u32::try_from(turn)?;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let side = sides[turn % 2].clone();
        requests.push(handle.spawn(async move { side.send_request(turn / 2, recorded).await }));
    }
    for request in requests {
        runtime.block_on(request)??;
    }
    Ok(())
}

fn print_rows(rate: u32, direct: &Histogram<u64>, through: &Histogram<u64>) {
    const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];
    let direct_ms = QUANTILES.map(|quantile| millis(direct, quantile));
    let through_ms = QUANTILES.map(|quantile| millis(through, quantile));
    let row = |side: &str, [p50, p99, p999]: [f64; 3], calls: u64| {
        println!("| {rate} | {side} | {p50:.3} | {p99:.3} | {p999:.3} | {calls} |");
    };
    row("direct", direct_ms, direct.len());
    row("two nodes", through_ms, through.len());
    let added = [0, 1, 2].map(|index| through_ms[index] - direct_ms[index]);
    row("added", added, through.len());
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    Duration::from_micros(histogram.value_at_quantile(quantile)).as_secs_f64() * 1_000.0
}

fn node_settings(seeds: &[SocketAddr]) -> eyre::Result<settings::NodeSettings> {
    let seeds: Vec<_> = seeds.iter().map(|seed| format!("'{seed}'")).collect();
    let key = "ab".repeat(32);
    let text = format!(
        "zone: ar-centro-a\nregion: ar-centro\nadvertise: 127.0.0.1\n\
         listen: {{caller: '127.0.0.1:0', admin: '127.0.0.1:0', peer: '127.0.0.1:0', \
         gossip: '127.0.0.1:0'}}\npeer_keys: [{{id: 1, secret: {key}}}]\nseeds: [{}]\n\
         limits: {{header_wait_ms: 60000}}\n",
        seeds.join(", ")
    );
    settings::parse(&text, Path::new("measured.yaml")).wrap_err("settings")
}

fn announce(admin: SocketAddr, target: SocketAddr) -> eyre::Result<()> {
    let body = format!(
        "{{\"service\":\"{SERVICE}\",\"address\":\"{target}\",\"slots\":40,\
         \"connections\":350,\"lease_ms\":600000}}"
    );
    let response = attohttpc::put(format!("http://{admin}/target")).text(body);
    ensure!(
        response.send()?.is_success(),
        "the announcement was refused"
    );
    Ok(())
}

/// Waits until the entry node has learned of the target.
async fn join(caller: SocketAddr) -> eyre::Result<()> {
    let side = MeasuredSide::connect(caller).await?;
    let until = Instant::now() + JOIN_TIMEOUT;
    let mut last = eyre!("no request was sent");
    while Instant::now() < until {
        match side.send_request(0, false).await {
            Ok(()) => return Ok(()),
            Err(error) => last = error,
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(last.wrap_err("the entry node did not learn of the target"))
}
