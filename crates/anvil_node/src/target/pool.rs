//! Pool of connections to the local target.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anvil_core::{effect, event};
use anvil_types::{ident, sorted};
use derive_more::{Display, Error};
use prometheus::IntGauge;
use tokio::net::TcpStream;

use super::message;
use crate::counters;

/// Longest time for opening a connection to the local target, which runs on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest idle time of a connection; shorter than the common keep-alive timeout of five seconds,
/// so that a request is rarely sent on a connection that the target is just closing.
pub const MAX_IDLE: Duration = Duration::from_millis(4_000);

/// Share of the keep-alive timeout stated by the target, in percent, for which an idle connection
/// is used; the rest covers the time of transfer and delays in a busy node.
const STATED_TIMEOUT_PERCENT: u32 = 70;

/// Longest keep-alive timeout that is believed; far above the idle time that any pool needs.
const MAX_STATED_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Longest idle time of a connection that may carry a request which must not run twice. The longer
/// a connection was idle, the likelier it is that the target is just closing it, and a request that
/// meets the close can neither be sent again nor be reported as not run. A new connection costs a
/// millisecond.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(500);

/// Maximum number of requests per connection, which bounds the memory for their ids: 8 KB each.
const MAX_EXCHANGES: usize = 512;

/// Why no connection to the target could be opened, so no byte of the request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum ConnectFailed {
    /// Nobody listens at the address.
    #[display("nobody listens at the target's address")]
    Refused,
    /// No answer in time, or another failure, which says nothing about the target.
    #[display("no connection to the target")]
    Unknown,
}

/// One open connection; dropping it closes it, which lets the target cancel its request.
#[derive(Debug)]
pub struct TargetConnection {
    /// The socket.
    pub stream: TcpStream,
    address: SocketAddr,
    number: u64,
    /// Number of requests sent on it.
    exchanges: u32,
    /// The ids of these requests.
    carried: sorted::SortedTable<ident::LabelDigest, ()>,
    /// How the last answer identified its request; none before the first one.
    last_identity: Option<event::AnswerIdentity>,
    idle_since: Instant,
    idle_limit: Duration,
    _open: counters::GaugeGuard,
}

impl TargetConnection {
    /// Records the request that is sent on the connection, and begins the trace of its exchange.
    pub fn begin_exchange(&mut self, label: Option<&ident::RequestLabel>) -> event::ExchangeTrace {
        self.exchanges += 1;
        if let Some(label) = label {
            self.carried.insert(label.digest(), ());
        }
        event::ExchangeTrace {
            connection: self.number,
            position: self.exchanges,
            unrelated: 0,
            identity: None,
        }
    }

    /// Records how the answer to the last request identified it.
    pub fn record_identity(&mut self, identity: event::AnswerIdentity) {
        self.last_identity = Some(identity);
    }

    /// Whether a request that must not run twice may be sent on the connection.
    ///
    /// An answer that names no request could be an extra answer to an earlier one. If that was a
    /// refusal, the request would count as not run although it runs.
    fn may_carry_non_idempotent(&self) -> bool {
        let is_identified = self.last_identity != Some(event::AnswerIdentity::Unnamed);
        is_identified && self.idle_since.elapsed() < MAX_IDLE_NON_IDEMPOTENT
    }

    /// Whether a request with this id may be sent on the connection: only if it has not carried one
    /// with the same id.
    ///
    /// The attempts of a request have one id. An extra answer to an earlier attempt, read in place of
    /// the answer to a later one, could not be told apart from it. See `docs/design/edges.md`,
    /// "Target connections".
    fn may_carry(&self, label: Option<ident::LabelDigest>) -> bool {
        label.is_none_or(|label| self.carried.get(label).is_none())
    }

    /// Whether nothing was received since the last answer and the target has not closed the
    /// connection.
    ///
    /// Bytes received while the connection was idle belong to no request; read as the next answer,
    /// they would reach the wrong caller.
    fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// Idle connections, the most recently used last.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    idle: Arc<Mutex<Vec<TargetConnection>>>,
    opened: Arc<AtomicU64>,
    counters: counters::EdgeCounters,
}

impl ConnectionPool {
    /// Builds an empty pool.
    pub fn new(counters: counters::EdgeCounters) -> Self {
        Self {
            idle: Arc::default(),
            opened: Arc::default(),
            counters,
        }
    }

    /// Takes an idle connection for the request of `order`, the most recently used first, so that
    /// surplus ones expire; for a request that must not run twice, only one that was used very
    /// recently.
    pub fn take(&self, order: &effect::RunOrder) -> Option<TargetConnection> {
        loop {
            let connection = self.pop(order)?;
            if connection.is_quiet() {
                self.counters.count(counters::EdgeCause::TargetReused);
                return Some(connection);
            }
        }
    }

    /// Opens a new connection to `address`.
    pub async fn open(&self, address: SocketAddr) -> Result<TargetConnection, ConnectFailed> {
        let opening = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = opening.await.map_err(|_| ConnectFailed::Unknown)?;
        let stream = stream.map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => ConnectFailed::Refused,
            _ => ConnectFailed::Unknown,
        })?;
        // Nagle's algorithm would delay the tail of a request until an acknowledgement arrives.
        let undelayed = stream.set_nodelay(true);
        undelayed.map_err(|_| ConnectFailed::Unknown)?;
        self.counters.count(counters::EdgeCause::TargetConnected);
        let gauge: &IntGauge = self.counters.target_connections();
        Ok(TargetConnection {
            stream,
            address,
            number: self.opened.fetch_add(1, Ordering::Relaxed) + 1,
            exchanges: 0,
            carried: sorted::SortedTable::default(),
            last_identity: None,
            idle_since: Instant::now(),
            idle_limit: MAX_IDLE,
            _open: counters::GaugeGuard::hold(gauge),
        })
    }

    /// Returns a connection to the pool after its answer was read completely, if the target keeps
    /// it open.
    pub fn release(&self, mut connection: TargetConnection, keep_alive: message::KeepAlive) {
        let message::KeepAlive::Yes(stated) = keep_alive else {
            return;
        };
        if connection.carried.len() >= MAX_EXCHANGES {
            return;
        }
        let usable =
            |timeout: Duration| timeout.min(MAX_STATED_TIMEOUT) * STATED_TIMEOUT_PERCENT / 100;
        connection.idle_limit = stated.map_or(MAX_IDLE, usable);
        connection.idle_since = Instant::now();
        self.lock().push(connection);
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        self.lock().retain(is_fresh);
    }

    fn pop(&self, order: &effect::RunOrder) -> Option<TargetConnection> {
        let label = order.label.as_ref().map(ident::RequestLabel::digest);
        let mut idle = self.lock();
        let usable = |connection: &TargetConnection| {
            connection.address == order.address
                && is_fresh(connection)
                && (order.idempotent || connection.may_carry_non_idempotent())
                && connection.may_carry(label)
        };
        let index = idle.iter().rposition(usable)?;
        Some(idle.remove(index))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<TargetConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_fresh(connection: &TargetConnection) -> bool {
    connection.idle_since.elapsed() < connection.idle_limit
}
