//! Starts all parts of a node and stops them in order.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::{Duration, Instant};

use anvil_core::{config, event, reducer};
use anvil_types::{ident, sorted};
use anvil_wire::frame;
use anvil_wire::seal::datagram as sealing;
use eyre::WrapErr;
use serde::Serialize;
use tokio::runtime;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::caller::intake;
use crate::target::{exchange, parent, pool, runs};
use crate::{
    admin, caller, clock, control, counters, datagram, dialect, engine, memory, peer, settings,
    store,
};

/// Interval at which expired connections to the target are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The addresses that a node has bound, for users who start it with port 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct BoundAddresses {
    /// Identifies this run of the process; in hex, since JSON readers round large numbers.
    #[serde(serialize_with = "as_text")]
    pub node: ident::NodeId,
    /// Callers, over HTTP.
    pub caller: SocketAddr,
    /// Operators and the local target, over HTTP.
    pub admin: SocketAddr,
    /// Other nodes, over TCP.
    pub peer: SocketAddr,
    /// Other nodes, over UDP.
    pub gossip: SocketAddr,
    /// The target's heartbeats, if the hosting platform has any.
    pub control: Option<SocketAddr>,
    /// Readiness checks, if the hosting platform has any.
    pub readiness: Option<SocketAddr>,
}

/// A running node.
#[derive(Debug)]
pub struct RunningNode {
    bound: BoundAddresses,
    engine: engine::EngineSender,
    reducer: JoinHandle<Option<Instant>>,
    runtime: runtime::Runtime,
    closing: watch::Sender<bool>,
    flushed: mpsc::Receiver<()>,
    /// How long replies may take to be written out after the stop limit.
    flush_wait: Duration,
    /// When a stop gives up what is in progress, from its request on; none if nothing kills the
    /// process.
    stop_limit: Option<Duration>,
    counters: counters::EdgeCounters,
}

impl RunningNode {
    /// The bound addresses.
    pub fn bound(&self) -> &BoundAddresses {
        &self.bound
    }

    /// The queue for events, such as the request to stop.
    pub fn engine(&self) -> &engine::EngineSender {
        &self.engine
    }

    /// The counters of the edges.
    pub fn counters(&self) -> &counters::EdgeCounters {
        &self.counters
    }

    /// Requests a graceful stop; a second call forces it.
    pub fn stop(&self) {
        let requested = engine::EngineInput::Event(event::NodeEvent::StopRequested);
        // Sending fails only if the node has already stopped.
        let _ = self.engine.send(requested);
    }

    /// Waits until the reducer has answered everything, then flushes replies.
    ///
    /// Fails if the reducer panicked.
    pub fn wait(self) -> eyre::Result<()> {
        let Self {
            engine,
            reducer,
            runtime,
            closing,
            mut flushed,
            flush_wait,
            stop_limit,
            ..
        } = self;
        drop(engine);
        let result = runtime.block_on(reducer);
        // Connections finish their current reply and close. Without the wait, a reply that the
        // reducer has already given could be lost in a buffer of this process.
        let _ = closing.send(true);
        let stop_requested_at = result.as_ref().ok().copied().flatten();
        let flush_wait = flush_wait + time_left(stop_limit, stop_requested_at);
        let flushing = async { tokio::time::timeout(flush_wait, flushed.recv()).await };
        let _ = runtime.block_on(flushing);
        runtime.shutdown_background();
        result
            .map(|_| ())
            .map_err(|_| eyre::eyre!("the reducer panicked"))
    }
}

/// The time until a stop gives up what is in progress.
///
/// The reducer ends once it has given each reply to its connection. A caller may still read one
/// slowly, and has the rest of that time for it.
fn time_left(stop_limit: Option<Duration>, stop_requested_at: Option<Instant>) -> Duration {
    let passed = stop_requested_at.map(|at| at.elapsed());
    let left = stop_limit
        .zip(passed)
        .map(|(limit, passed)| limit.saturating_sub(passed));
    left.unwrap_or_default()
}

/// Binds every address and starts every part.
pub fn start(settings: &settings::NodeSettings) -> eyre::Result<RunningNode> {
    let sockets = NodeSockets::bind(settings)?;
    let node = ident::NodeId(random_u64());
    let counters = counters::EdgeCounters::new().wrap_err("counters")?;
    let (engine, inputs) = flume::bounded(engine::MAX_QUEUED_INPUTS);
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(usize::try_from(settings.limits.worker_threads)?)
        .thread_name("edge")
        .enable_all()
        .build()
        .wrap_err("the runtime could not be started")?;
    let memory = memory::BodyMemory::new(settings.limits.memory_bytes(), counters.clone());
    let edge = admin::server::AdminEdge {
        memory: memory.clone(),
        engine: engine.clone(),
        counters: counters.clone(),
        token: settings.admin_token.clone(),
    };
    let admin = admin::server::start(runtime.handle(), settings.listen.admin, edge)?;
    let bound = sockets.bound(node, admin)?;
    let (closing, closed) = watch::channel(false);
    let (flush_guard, flushed) = mpsc::channel(1);
    let drain = caller::server::DrainSignal {
        closing: closed,
        flush_guard,
    };
    let issuer = parent::TokenIssuer::new(random_key());
    let parts = NodeParts {
        dialects: dialect::NodeDialects::from_settings(settings, &issuer, &counters),
        settings,
        bound,
        engine: engine.clone(),
        memory,
        counters: counters.clone(),
        runtime: runtime.handle().clone(),
        drain,
    };
    let reducer = parts.start(sockets, inputs)?;
    Ok(RunningNode {
        bound,
        engine,
        reducer,
        runtime,
        closing,
        flushed,
        flush_wait: settings.limits.flush_wait(),
        stop_limit: settings.hosted.as_ref().map(|hosted| hosted.stop_limit()),
        counters,
    })
}

/// The sockets of a node; all are bound before any part starts, so that a port in use fails the
/// start at once.
struct NodeSockets {
    caller: TcpListener,
    peer: TcpListener,
    gossip: UdpSocket,
    /// The control listener and the readiness listener, if the settings name them.
    control: Vec<TcpListener>,
}

impl NodeSockets {
    fn bind(settings: &settings::NodeSettings) -> eyre::Result<Self> {
        let listen = &settings.listen;
        let mut control = Vec::new();
        if let Some(hosted) = &settings.hosted {
            control.push(bind_tcp("hosted.control", hosted.control)?);
            control.push(bind_tcp("hosted.ready", hosted.ready)?);
        }
        for listener in &control {
            listener.set_nonblocking(true)?;
        }
        let sockets = Self {
            control,
            caller: bind_tcp("listen.caller", listen.caller)?,
            peer: bind_tcp("listen.peer", listen.peer)?,
            gossip: UdpSocket::bind(listen.gossip)
                .wrap_err_with(|| format!("listen.gossip: {} can't be bound", listen.gossip))?,
        };
        sockets.caller.set_nonblocking(true)?;
        sockets.peer.set_nonblocking(true)?;
        sockets.gossip.set_nonblocking(true)?;
        Ok(sockets)
    }

    fn bound(&self, node: ident::NodeId, admin: SocketAddr) -> eyre::Result<BoundAddresses> {
        let control = |index: usize| {
            let listener = self.control.get(index);
            listener.map(TcpListener::local_addr).transpose()
        };
        Ok(BoundAddresses {
            control: control(0)?,
            readiness: control(1)?,
            node,
            caller: self.caller.local_addr()?,
            admin,
            peer: self.peer.local_addr()?,
            gossip: self.gossip.local_addr()?,
        })
    }
}

fn bind_tcp(field: &str, address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("{field}: {address} can't be bound"))
}

/// State from which the parts are started.
struct NodeParts<'a> {
    settings: &'a settings::NodeSettings,
    bound: BoundAddresses,
    engine: engine::EngineSender,
    counters: counters::EdgeCounters,
    memory: memory::BodyMemory,
    runtime: runtime::Handle,
    dialects: dialect::NodeDialects,
    drain: caller::server::DrainSignal,
}

impl NodeParts<'_> {
    fn start(
        self,
        sockets: NodeSockets,
        inputs: flume::Receiver<engine::EngineInput>,
    ) -> eyre::Result<JoinHandle<Option<Instant>>> {
        let _entered = self.runtime.enter();
        let sending = sockets.gossip.try_clone()?;
        self.start_callers(sockets.caller)?;
        let link_context = self.start_peers(sockets.peer)?;
        self.start_datagrams(sockets.gossip)?;
        let exchange = self.start_target();
        let ring = self.settings.peer_keys.ring().clone();
        let sealer = sealing::DatagramSealer::new(ring, self.bound.node);
        let clock = clock::NodeClock::start();
        let client = self.dialects.store.clone();
        let store = store::StoreQueue::start(client, clock, &self.engine, &self.counters)?;
        let ready = Arc::new(AtomicBool::new(false));
        self.start_control(sockets.control, &ready)?;
        let engine = engine::NodeEngine {
            clock,
            peers: peer::table::PeerTable::new(self.runtime.clone(), link_context),
            datagrams: datagram::DatagramSender::new(sending, sealer, self.counters.clone()),
            runs: runs::RunTable::new(self.runtime.clone(), exchange, self.engine.clone()),
            store,
            queued_inputs: self.counters.queued_inputs().clone(),
            ready,
            callers: sorted::SortedTable::default(),
            operators: sorted::SortedTable::default(),
            operator_requests: 0,
            followups: VecDeque::new(),
            stop_requested_at: None,
        };
        let policy = self.settings.policy;
        let reducer = reducer::NodeReducer::with_policy(self.config(), random_u64(), policy);
        let reducer = dialect::configure(reducer, self.settings);
        Ok(self.runtime.spawn(engine.run(reducer, inputs)))
    }

    fn start_callers(&self, listener: TcpListener) -> eyre::Result<()> {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let limits = &self.settings.limits;
        let edge = caller::server::CallerEdge {
            engine: self.engine.clone(),
            dialect: self.dialects.callers.clone(),
            counters: self.counters.clone(),
            limits: caller::server::CallerLimits {
                connections: usize::try_from(limits.caller_connections)?,
                header_bytes: usize::try_from(limits.header_bytes)?,
                header_count: usize::try_from(limits.header_count)?,
                header_wait: limits.header_wait(),
                idle_wait: limits.idle_wait(),
                body: intake::BodyLimits {
                    bytes: self
                        .settings
                        .body_bytes()
                        .min(self.memory.largest_request()),
                    wait: limits.body_wait(),
                },
                answer_wait: limits.answer_wait(),
            },
            memory: self.memory.clone(),
            handles: AtomicU64::new(0),
        };
        let serving = caller::server::serve(listener, Arc::new(edge), self.drain.clone());
        self.runtime.spawn(serving);
        Ok(())
    }

    fn start_control(
        &self,
        listeners: Vec<TcpListener>,
        ready: &Arc<AtomicBool>,
    ) -> eyre::Result<()> {
        let Some(dialect) = &self.dialects.control else {
            return Ok(());
        };
        let edge = Arc::new(control::ControlEdge {
            engine: self.engine.clone(),
            dialect: dialect.clone(),
            ready: ready.clone(),
            counters: self.counters.clone(),
        });
        for listener in listeners {
            let listener = tokio::net::TcpListener::from_std(listener)?;
            self.runtime.spawn(control::serve(listener, edge.clone()));
        }
        Ok(())
    }

    fn start_peers(&self, listener: TcpListener) -> eyre::Result<peer::link::LinkContext> {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let context = peer::link::LinkContext {
            hello: frame::PeerHello {
                version: frame::PROTOCOL_VERSION,
                node: self.bound.node,
                address: self.advertised(self.bound.peer),
            },
            ring: self.settings.peer_keys.ring().clone(),
            engine: self.engine.clone(),
            counters: self.counters.clone(),
            link_ids: Arc::default(),
            received_frames: Arc::default(),
            drain: self.drain.clone(),
            memory: self.memory.clone(),
        };
        let limit = usize::try_from(self.settings.limits.peer_connections)?;
        let serving = peer::accept::serve(listener, context.clone(), limit);
        self.runtime.spawn(serving);
        Ok(context)
    }

    fn start_datagrams(&self, socket: UdpSocket) -> eyre::Result<()> {
        let socket = Arc::new(tokio::net::UdpSocket::from_std(socket)?);
        let ring = self.settings.peer_keys.ring().clone();
        let own = self.advertised(self.bound.gossip);
        let opener = sealing::DatagramOpener::new(ring, own);
        let engine = self.engine.clone();
        let receiving = datagram::receive(socket, opener, engine, self.counters.clone());
        self.runtime.spawn(receiving);
        Ok(())
    }

    fn start_target(&self) -> exchange::TargetExchange {
        let pool = pool::ConnectionPool::new(self.counters.clone());
        let swept = pool.clone();
        self.runtime.spawn(async move {
            loop {
                tokio::time::sleep(SWEEP_INTERVAL).await;
                swept.sweep();
            }
        });
        exchange::TargetExchange {
            pool,
            memory: self.memory.clone(),
            dialect: self.dialects.targets.clone(),
            counters: self.counters.clone(),
        }
    }

    fn config(&self) -> config::NodeConfig {
        config::NodeConfig {
            node: self.bound.node,
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            peer_address: self.advertised(self.bound.peer),
            gossip_address: self.advertised(self.bound.gossip),
            seeds: self.settings.seeds.clone(),
        }
    }

    /// The address at which other nodes reach the socket bound at `bound`.
    fn advertised(&self, bound: SocketAddr) -> SocketAddr {
        SocketAddr::new(self.settings.advertise, bound.port())
    }
}

fn as_text<S>(node: &ident::NodeId, serializer: S) -> Result<S::Ok, S::Error>
where
    S: serde::Serializer,
{
    serializer.collect_str(node)
}

/// A random number from the operating system, drawn through the `uuid` package.
fn random_u64() -> u64 {
    uuid::Uuid::new_v4().as_u64_pair().1 ^ uuid::Uuid::new_v4().as_u64_pair().0.rotate_left(32)
}

fn random_key() -> [u8; 32] {
    let mut key = [0; 32];
    for part in key.chunks_mut(8) {
        part.copy_from_slice(&random_u64().to_be_bytes());
    }
    key
}
