//! A loopback proxy that injects faults into connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;

/// A fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Bytes are delayed by this time.
    Delayed(Duration),
    /// Bytes to the server are dropped; bytes from it still arrive.
    BlockedToServer,
    /// Bytes from the server are dropped.
    BlockedToClient,
    /// Open connections stay silent forever, and new ones work.
    Silenced,
    /// Open connections are reset, and new ones work.
    Reset,
    /// Open and new connections are closed.
    TurnedAway,
}

/// A fault and how often it was set, so that each connection knows which faults were set after its
/// start.
type FaultState = (u64, LinkFault);

/// A proxy in front of one server.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    /// Its listening address.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<FaultState>>,
}

impl FaultProxy {
    /// Listens at `address` and forwards to `server`. If the port of `server` is zero, it is the
    /// proxy's port.
    ///
    /// Fails if the address can't be bound.
    pub fn start(runtime: &Handle, address: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let _entered = runtime.enter();
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let port = if server.port() == 0 {
            address.port()
        } else {
            server.port()
        };
        let server = SocketAddr::new(server.ip(), port);
        let fault = Arc::new(watch::Sender::new((0, LinkFault::None)));
        let fault_sender = fault.clone();
        let listener = TcpListener::from_std(listener)?;
        runtime.spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward(client, server, fault_sender.subscribe()));
            }
        });
        Ok(Self { address, fault })
    }

    /// Sets the fault from now on.
    pub fn set(&self, fault: LinkFault) {
        self.fault
            .send_modify(|state| *state = (state.0 + 1, fault));
    }
}

async fn forward(client: TcpStream, server: SocketAddr, fault: watch::Receiver<FaultState>) {
    if fault.borrow().1 == LinkFault::TurnedAway {
        return;
    }
    let Ok(upstream) = TcpStream::connect(server).await else {
        return;
    };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let mut resets = fault.clone();
    let initial_count = fault.borrow().0;
    let is_reset = move |state: &FaultState| {
        let resets = matches!(state.1, LinkFault::Reset | LinkFault::TurnedAway);
        state.0 > initial_count && resets
    };
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = upstream.into_split();
    let to_server = pump(
        client_in,
        server_out,
        fault.clone(),
        LinkFault::BlockedToServer,
    );
    let to_client = pump(server_in, client_out, fault, LinkFault::BlockedToClient);
    tokio::select! {
        // Dropping the sockets with bytes in flight resets both ends.
        _ = resets.wait_for(is_reset) => {}
        _ = async { tokio::join!(to_server, to_client) } => {}
    }
}

/// Copies one direction until it ends; `blocking` is the fault that drops its bytes.
async fn pump<R, W>(
    mut from: R,
    mut to: W,
    fault: watch::Receiver<FaultState>,
    blocking: LinkFault,
) -> io::Result<()>
where
    R: tokio::io::AsyncRead + Unpin,
    W: tokio::io::AsyncWrite + Unpin,
{
    let initial_count = fault.borrow().0;
    let mut silenced = false;
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        let (count, current) = *fault.borrow();
        silenced |= count > initial_count && current == LinkFault::Silenced;
        if silenced || current == blocking {
            continue;
        }
        if let LinkFault::Delayed(delay) = current {
            tokio::time::sleep(delay).await;
        }
        to.write_all(&buffer[..read]).await?;
    }
}
