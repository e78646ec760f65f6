//! One connection to another node, from its handshake to an exact account of its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_core::event;
use anvil_types::ident;
use anvil_wire::{codec, frame};
use derive_more::{Display, Error, From};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::stream;
use crate::{caller, counters, engine};

/// Frames that may wait for one connection.
pub const QUEUE_LIMIT: usize = 4_096;

/// Longest wait for a connection and its handshake; nodes are a few milliseconds apart.
pub const OPEN_LIMIT: Duration = Duration::from_millis(1_000);

/// Bytes gathered before they are written; many small frames share one system call.
const BATCH_BYTES: usize = 64 * 1024;

/// Largest encoded hello.
const HELLO_LIMIT: usize = 256;

/// One connection; local to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// The sending side of one connection.
#[derive(Clone, Debug)]
pub struct PeerLink {
    /// The other node.
    pub peer: ident::NodeId,
    /// Which connection.
    pub link: LinkId,
    /// Frames to send.
    pub frames: mpsc::Sender<frame::PeerFrame>,
}

/// Why a connection did not come about.
#[derive(Debug, Display, Error, From)]
pub enum OpenError {
    /// The socket failed.
    #[display("the connection failed: {_0}")]
    Socket(std::io::Error),
    /// The hello is malformed.
    #[display("the hello is malformed")]
    #[from(skip)]
    Hello,
    /// The other side speaks another version.
    #[display("the other node speaks version {_0}")]
    #[from(skip)]
    Version(#[error(not(source))] u16),
    /// Another node stands at the address now.
    #[display("the node {_0} stands at the address")]
    #[from(skip)]
    Stranger(#[error(not(source))] ident::NodeId),
}

/// What every connection works with.
#[derive(Clone, Debug)]
pub struct LinkContext {
    /// What this node says of itself.
    pub hello: frame::PeerHello,
    /// Where frames go.
    pub engine: engine::EngineSender,
    /// Counts each cause.
    pub counters: counters::EdgeCounters,
    /// Makes links unique.
    pub links: Arc<AtomicU64>,
    /// Lets connections flush at the end.
    pub drain: caller::server::DrainSignal,
}

impl LinkContext {
    /// A number for a new connection.
    pub fn next_link(&self) -> LinkId {
        LinkId(self.links.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// Opens a connection to `peer` and serves it until it ends.
pub async fn open(
    context: LinkContext,
    peer: ident::NodeId,
    address: SocketAddr,
    link: LinkId,
    frames: mpsc::Receiver<frame::PeerFrame>,
) {
    let opening = tokio::time::timeout(OPEN_LIMIT, connect(&context, peer, address));
    match opening.await {
        Ok(Ok(stream)) => {
            context.counters.count(counters::EdgeCause::PeerConnected);
            serve(context, peer, link, stream, frames).await;
        }
        failed => {
            let refused =
                matches!(failed, Ok(Err(ref error)) if !matches!(error, OpenError::Socket(_)));
            let cause = if refused {
                counters::EdgeCause::PeerHandshakeRefused
            } else {
                counters::EdgeCause::PeerUnreachable
            };
            context.counters.count(cause);
            let end = LinkEnd {
                unsent: drain(frames).await,
                used: false,
            };
            report(&context, peer, link, end).await;
        }
    }
}

/// Serves an open connection, whose handshake is done, until it ends.
pub async fn serve(
    context: LinkContext,
    peer: ident::NodeId,
    link: LinkId,
    stream: TcpStream,
    frames: mpsc::Receiver<frame::PeerFrame>,
) {
    let open = counters::GaugeGuard::hold(context.counters.peer_connections());
    let (reader, writer) = stream.into_split();
    let reading = tokio::spawn(read(context.clone(), peer, reader));
    let abort = reading.abort_handle();
    let end = write(&context, writer, frames, reading).await;
    abort.abort();
    drop(open);
    context.counters.count(counters::EdgeCause::PeerLost);
    report(&context, peer, link, end).await;
}

/// Says who this node is and reads who the other one is; see `docs/design/edges.md`.
pub async fn shake_hands(
    stream: &mut TcpStream,
    own: &frame::PeerHello,
) -> Result<frame::PeerHello, OpenError> {
    let mut bytes = postcard::to_extend(own, vec![0]).map_err(|_| OpenError::Hello)?;
    bytes[0] = u8::try_from(bytes.len() - 1).map_err(|_| OpenError::Hello)?;
    stream.write_all(&bytes).await?;
    let length = usize::from(stream.read_u8().await?);
    let mut theirs = [0; HELLO_LIMIT];
    stream.read_exact(&mut theirs[..length]).await?;
    let hello: frame::PeerHello =
        postcard::from_bytes(&theirs[..length]).map_err(|_| OpenError::Hello)?;
    if hello.version != frame::PROTOCOL_VERSION {
        return Err(OpenError::Version(hello.version));
    }
    Ok(hello)
}

/// What became of the frames when a connection ended.
struct LinkEnd {
    /// No byte of these was handed to the socket.
    unsent: Vec<frame::PeerFrame>,
    /// Whether a byte of any other was.
    used: bool,
}

async fn connect(
    context: &LinkContext,
    peer: ident::NodeId,
    address: SocketAddr,
) -> Result<TcpStream, OpenError> {
    let mut stream = TcpStream::connect(address).await?;
    // Nagle's algorithm would hold small frames back for a delayed acknowledgement.
    stream.set_nodelay(true)?;
    let theirs = shake_hands(&mut stream, &context.hello).await?;
    // A replaced instance at the same address must not get what was meant for its predecessor.
    if theirs.node != peer {
        return Err(OpenError::Stranger(theirs.node));
    }
    Ok(stream)
}

/// Writes frames until the connection breaks, its reader ends, or nobody has frames any more.
async fn write(
    context: &LinkContext,
    mut writer: OwnedWriteHalf,
    mut frames: mpsc::Receiver<frame::PeerFrame>,
    mut reading: tokio::task::JoinHandle<bool>,
) -> LinkEnd {
    let mut used = false;
    let mut batch = Vec::new();
    loop {
        let first = tokio::select! {
            first = frames.recv() => first,
            received = &mut reading => {
                used |= received.unwrap_or(true);
                break;
            }
        };
        let Some(first) = first else {
            break;
        };
        batch.clear();
        gather(context, &mut batch, first, &mut frames);
        // From the first byte on, nobody can tell what the other side saw.
        used = true;
        if writer.write_all(&batch).await.is_err() {
            break;
        }
    }
    let _ = writer.shutdown().await;
    let unsent = drain(frames).await;
    LinkEnd { unsent, used }
}

/// Encodes `first` and whatever waits behind it, up to one batch.
fn gather(
    context: &LinkContext,
    batch: &mut Vec<u8>,
    first: frame::PeerFrame,
    frames: &mut mpsc::Receiver<frame::PeerFrame>,
) {
    let mut next = Some(first);
    while let Some(frame) = next {
        match codec::encode_frame(&frame) {
            Ok(bytes) if batch.is_empty() => *batch = bytes,
            Ok(bytes) => batch.extend_from_slice(&bytes),
            // The caller edge bounds bodies and heads below a frame's limit.
            Err(_) => context
                .counters
                .count(counters::EdgeCause::PeerFrameOversized),
        }
        next = if batch.len() < BATCH_BYTES {
            frames.try_recv().ok()
        } else {
            None
        };
    }
}

/// Hands frames to the engine; says at the end whether any came.
async fn read(context: LinkContext, peer: ident::NodeId, reader: OwnedReadHalf) -> bool {
    let mut reader = stream::FrameReader::new(reader);
    let mut used = false;
    loop {
        let frame = match reader.next().await {
            Ok(frame) => frame,
            Err(error) => {
                if let Some(cause) = error.cause() {
                    context.counters.count(cause);
                }
                return used;
            }
        };
        used = true;
        let arrived = event::NodeEvent::FrameArrived { peer, frame };
        // A full engine slows this reader, and so the sender, down.
        let input = engine::EngineInput::Event(arrived);
        if context.engine.send_async(input).await.is_err() {
            return used;
        }
    }
}

/// Closes the queue, then takes what waits in it, so that no frame slips in between unseen.
async fn drain(mut frames: mpsc::Receiver<frame::PeerFrame>) -> Vec<frame::PeerFrame> {
    frames.close();
    let mut unsent = Vec::new();
    while let Some(frame) = frames.recv().await {
        unsent.push(frame);
    }
    unsent
}

async fn report(context: &LinkContext, peer: ident::NodeId, link: LinkId, end: LinkEnd) {
    let LinkEnd { unsent, used } = end;
    let closed = engine::EngineInput::LinkClosed {
        peer,
        link,
        unsent,
        used,
    };
    // The engine is gone only when the process leaves.
    let _ = context.engine.send_async(closed).await;
}
