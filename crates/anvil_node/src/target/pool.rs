//! Kept connections to the local target.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::counters;

/// Longest wait for a connection to the local target; it stands on the same instance.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);

/// Longest rest of a kept connection, in front of the common keep-alive limit of five seconds, so
/// that a request seldom meets a connection that the target closes at that moment.
pub const IDLE_LIMIT: Duration = Duration::from_millis(4_000);

/// No connection to the target came about, so no byte of the request left.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("no connection to the target")]
pub struct ConnectFailed;

/// One open connection; dropping it closes it, which tells the target to stop.
#[derive(Debug)]
pub struct TargetConnection {
    /// Sends one request at a time.
    pub sender: http1::SendRequest<Full<Bytes>>,
    address: SocketAddr,
    driver: AbortHandle,
    idle_since: Instant,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.driver.abort();
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

    /// A kept connection to `address`, the latest used first, so that surplus ones age and close.
    pub async fn take(&self, address: SocketAddr) -> Option<TargetConnection> {
        loop {
            let mut connection = self.pop(address)?;
            if connection.sender.ready().await.is_ok() {
                self.counters.count(counters::EdgeCause::TargetReused);
                return Some(connection);
            }
        }
    }

    /// Opens a new connection to `address`.
    pub async fn open(&self, address: SocketAddr) -> Result<TargetConnection, ConnectFailed> {
        let opening = tokio::time::timeout(CONNECT_LIMIT, self.connect(address));
        let connection = opening.await.unwrap_or(Err(ConnectFailed))?;
        self.counters.count(counters::EdgeCause::TargetConnected);
        Ok(connection)
    }

    /// Keeps a connection whose answer was read whole.
    pub fn give_back(&self, mut connection: TargetConnection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        self.lock().push(connection);
    }

    /// Closes what has rested longer than [`IDLE_LIMIT`].
    pub fn sweep(&self) {
        self.lock()
            .retain(|connection| connection.idle_since.elapsed() < IDLE_LIMIT);
    }

    async fn connect(&self, address: SocketAddr) -> Result<TargetConnection, ConnectFailed> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|_| ConnectFailed)?;
        // Nagle's algorithm would hold the tail of a request back for a delayed acknowledgement.
        stream.set_nodelay(true).map_err(|_| ConnectFailed)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| ConnectFailed)?;
        let guard = counters::GaugeGuard::hold(self.counters.target_connections());
        let driver = tokio::spawn(async move {
            let _guard = guard;
            // The exchange in flight learns of a failure by its own future.
            let _ = driver.await;
        });
        Ok(TargetConnection {
            sender,
            address,
            driver: driver.abort_handle(),
            idle_since: Instant::now(),
        })
    }

    fn pop(&self, address: SocketAddr) -> Option<TargetConnection> {
        let mut resting = self.lock();
        let usable = |connection: &TargetConnection| {
            connection.address == address
                && !connection.sender.is_closed()
                && connection.idle_since.elapsed() < IDLE_LIMIT
        };
        let place = resting.iter().rposition(usable)?;
        Some(resting.remove(place))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<TargetConnection>> {
        self.resting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
