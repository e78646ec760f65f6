//! Kept connections to the local target.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use prometheus::IntGauge;
use tokio::net::TcpStream;

use super::message;
use crate::counters;

/// Longest wait for a connection to the local target; it stands on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest rest of a kept connection, in front of the common keep-alive limit of five seconds, so
/// that a request seldom meets a connection that the target closes at that moment.
pub const MAX_IDLE: Duration = Duration::from_millis(4_000);

/// Share of the time that the target says it keeps a connection, in percent, after which it is
/// used no more: the rest covers the way there and a busy node.
const STATED_TIMEOUT_PERCENT: u32 = 70;

/// Longest rest of a connection that may carry a request which must not run twice. The longer it
/// rested, the likelier the target closes it at that moment, and a request that meets the close can
/// neither be sent again nor be told as not run. A new connection costs a millisecond.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(500);

/// No connection to the target came about, so no byte of the request left.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("no connection to the target")]
pub struct ConnectFailed;

/// One open connection; dropping it closes it, which tells the target to stop.
#[derive(Debug)]
pub struct TargetConnection {
    /// The socket.
    pub stream: TcpStream,
    address: SocketAddr,
    idle_since: Instant,
    idle_limit: Duration,
    _open: counters::GaugeGuard,
}

impl TargetConnection {
    /// Whether nothing came since the last answer and the target has not closed the connection.
    ///
    /// Bytes that came meanwhile belong to no request; read as the next answer, they would reach
    /// another caller.
    fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// Connections at rest, the latest used last.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    resting: Arc<Mutex<Vec<TargetConnection>>>,
    counters: counters::EdgeCounters,
}

impl ConnectionPool {
    /// Builds an empty pool.
    pub fn new(counters: counters::EdgeCounters) -> Self {
        let resting = Arc::default();
        Self { resting, counters }
    }

    /// A kept connection to `address`, the latest used first, so that surplus ones age and close;
    /// `non_idempotent` takes only one that was used a moment ago.
    pub fn take(&self, address: SocketAddr, non_idempotent: bool) -> Option<TargetConnection> {
        loop {
            let connection = self.pop(address, non_idempotent)?;
            if connection.is_quiet() {
                self.counters.count(counters::EdgeCause::TargetReused);
                return Some(connection);
            }
        }
    }

    /// Opens a new connection to `address`.
    pub async fn open(&self, address: SocketAddr) -> Result<TargetConnection, ConnectFailed> {
        let opening = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = opening.await.map_err(|_| ConnectFailed)?;
        let stream = stream.map_err(|_| ConnectFailed)?;
        // Nagle's algorithm would hold the tail of a request back for a delayed acknowledgement.
        stream.set_nodelay(true).map_err(|_| ConnectFailed)?;
        self.counters.count(counters::EdgeCause::TargetConnected);
        let gauge: &IntGauge = self.counters.target_connections();
        Ok(TargetConnection {
            stream,
            address,
            idle_since: Instant::now(),
            idle_limit: MAX_IDLE,
            _open: counters::GaugeGuard::hold(gauge),
        })
    }

    /// Keeps a connection whose answer was read whole, where the target keeps it too.
    pub fn release(&self, mut connection: TargetConnection, keep_alive: message::KeepAlive) {
        let message::KeepAlive::Yes(stated) = keep_alive else {
            return;
        };
        let stated = stated.map(|span| span * STATED_TIMEOUT_PERCENT / 100);
        connection.idle_limit = stated.unwrap_or(MAX_IDLE);
        connection.idle_since = Instant::now();
        self.lock().push(connection);
    }

    /// Closes what has rested too long.
    pub fn sweep(&self) {
        self.lock().retain(is_fresh);
    }

    fn pop(&self, address: SocketAddr, non_idempotent: bool) -> Option<TargetConnection> {
        let mut resting = self.lock();
        let usable = |connection: &TargetConnection| {
            let rested = connection.idle_since.elapsed();
            let fit = !non_idempotent || rested < MAX_IDLE_NON_IDEMPOTENT;
            connection.address == address && is_fresh(connection) && fit
        };
        let place = resting.iter().rposition(usable)?;
        Some(resting.remove(place))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<TargetConnection>> {
        self.resting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_fresh(connection: &TargetConnection) -> bool {
    connection.idle_since.elapsed() < connection.idle_limit
}
