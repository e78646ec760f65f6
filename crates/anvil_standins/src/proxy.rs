//! A proxy on loopback that harms the connections which go through it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkHarm {
    /// None.
    #[default]
    None,
    /// Bytes wait for this long.
    Delayed(Duration),
    /// Nothing gets to the server any more, what it says still arrives.
    CutTowards,
    /// Nothing gets back from the server.
    CutBack,
    /// Open connections fall silent for good, and new ones work.
    Silenced,
    /// Open connections are reset, and new ones work.
    Reset,
}

/// A harm and how often it was set, so that each connection knows what came after its own start.
type HarmState = (u64, LinkHarm);

/// A proxy in front of one server.
#[derive(Clone, Debug)]
pub struct HarmProxy {
    /// Where it listens.
    pub address: SocketAddr,
    harm: Arc<watch::Sender<HarmState>>,
}

impl HarmProxy {
    /// Listens at `address` and passes on to `server`, which gets the same port where it has none.
    ///
    /// Fails where the address can't be bound.
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
        let harm = Arc::new(watch::Sender::new((0, LinkHarm::None)));
        let told = harm.clone();
        let listener = TcpListener::from_std(listener)?;
        runtime.spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(join(client, server, told.subscribe()));
            }
        });
        Ok(Self { address, harm })
    }

    /// Does `harm` from now on.
    pub fn set(&self, harm: LinkHarm) {
        self.harm.send_modify(|state| *state = (state.0 + 1, harm));
    }
}

async fn join(client: TcpStream, server: SocketAddr, harm: watch::Receiver<HarmState>) {
    let Ok(upstream) = TcpStream::connect(server).await else {
        return;
    };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let mut resets = harm.clone();
    let began = harm.borrow().0;
    let is_reset = move |state: &HarmState| state.0 > began && state.1 == LinkHarm::Reset;
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = upstream.into_split();
    let towards = pump(client_in, server_out, harm.clone(), LinkHarm::CutTowards);
    let back = pump(server_in, client_out, harm, LinkHarm::CutBack);
    tokio::select! {
        // Dropped with bytes in flight, both ends are reset.
        _ = resets.wait_for(is_reset) => {}
        _ = async { tokio::join!(towards, back) } => {}
    }
}

/// Carries one direction until it ends; `cut` is the harm that swallows it.
async fn pump<R, W>(
    mut from: R,
    mut to: W,
    harm: watch::Receiver<HarmState>,
    cut: LinkHarm,
) -> io::Result<()>
where
    R: tokio::io::AsyncRead + Unpin,
    W: tokio::io::AsyncWrite + Unpin,
{
    let began = harm.borrow().0;
    let mut silenced = false;
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        let (count, present) = *harm.borrow();
        silenced |= count > began && present == LinkHarm::Silenced;
        if silenced || present == cut {
            continue;
        }
        if let LinkHarm::Delayed(span) = present {
            tokio::time::sleep(span).await;
        }
        to.write_all(&buffer[..read]).await?;
    }
}
