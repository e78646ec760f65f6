//! One connection to another node, from its handshake to an exact account of its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_core::event;
use anvil_types::ident;
use anvil_wire::seal::{ring, stream as sealing};
use anvil_wire::{codec, compression, frame, outcome};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::{handshake, pulse, stream};
use crate::{caller, counters, engine};

/// Frames that may wait for one connection.
pub const QUEUE_LIMIT: usize = 4_096;

/// Longest wait for a connection and its handshake; nodes are a few milliseconds apart, and a call
/// whose node can't be reached goes elsewhere at no cost.
pub const OPEN_LIMIT: Duration = Duration::from_millis(500);

/// Longest wait for the other side to read; one that takes nothing for so long answers nothing.
const WRITE_LIMIT: Duration = Duration::from_millis(2_000);

/// Longest wait for what the other side still sends after this side has ended.
const READ_REST_LIMIT: Duration = Duration::from_millis(1_000);

/// Bytes gathered before they are written; many small frames share one system call.
const BATCH_BYTES: usize = 64 * 1024;

/// One connection; local to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// The reducer's side of one connection; dropping it lets the connection flush and end.
#[derive(Debug)]
pub struct PeerLink {
    /// The other node.
    pub peer: ident::NodeId,
    /// Which connection.
    pub link: LinkId,
    /// Frames to send.
    pub frames: mpsc::Sender<frame::PeerFrame>,
    /// When anything last came on it.
    pub pulse: Arc<pulse::LinkPulse>,
    /// The place of the last frame that had come when another connection to the node fell silent.
    doubted_at: Option<u64>,
}

impl PeerLink {
    /// Notes that another connection to the same node fell silent.
    pub fn doubt(&mut self) {
        self.doubted_at = Some(self.pulse.last_heard());
    }

    /// Whether another connection fell silent and nothing has come on this one since.
    pub fn is_doubted(&self) -> bool {
        self.doubted_at == Some(self.pulse.last_heard())
    }
}

/// The connection's side of a [`PeerLink`].
#[derive(Debug)]
pub struct LinkParts {
    /// Which connection.
    pub link: LinkId,
    frames: mpsc::Receiver<frame::PeerFrame>,
    pulse: Arc<pulse::LinkPulse>,
}

impl LinkParts {
    /// Frames that wait to be sent.
    pub fn waiting(&self) -> usize {
        self.frames.len()
    }
}

/// Both sides of a new connection to `peer`.
pub fn pair(peer: ident::NodeId, link: LinkId) -> (PeerLink, LinkParts) {
    let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
    let pulse = Arc::new(pulse::LinkPulse::default());
    let opened = PeerLink {
        peer,
        link,
        pulse: pulse.clone(),
        frames: sender,
        doubted_at: None,
    };
    let parts = LinkParts {
        link,
        pulse,
        frames: receiver,
    };
    (opened, parts)
}

/// The end of one connection.
#[derive(Debug)]
pub struct ClosedLink {
    /// The other node.
    pub peer: ident::NodeId,
    /// Which connection.
    pub link: LinkId,
    /// Frames of which no byte was handed to the socket.
    pub unsent: Vec<frame::PeerFrame>,
    /// Whether frames had crossed it.
    pub used: bool,
    /// Whether calls had crossed it whose answers have not come, so that their fate is unknown now.
    pub owed: bool,
    /// Whether it gave no sign of life, and may not be the only one to the node that does so.
    pub silent: bool,
}

/// What every connection works with.
#[derive(Clone, Debug)]
pub struct LinkContext {
    /// What this node says of itself.
    pub hello: frame::PeerHello,
    /// The keys by which nodes prove themselves.
    pub ring: Arc<ring::KeyRing>,
    /// Where frames go.
    pub engine: engine::EngineSender,
    /// Counts each cause.
    pub counters: counters::EdgeCounters,
    /// Makes links unique.
    pub links: Arc<AtomicU64>,
    /// Counts the frames that came on all links.
    pub heard: Arc<AtomicU64>,
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
    parts: LinkParts,
) {
    let opening = tokio::time::timeout(OPEN_LIMIT, connect(&context, peer, address));
    match opening.await {
        Ok(Ok(opened)) => {
            context.counters.count(counters::EdgeCause::PeerConnected);
            serve(context, opened, parts).await;
        }
        failed => {
            let cause = match failed {
                Ok(Err(handshake::HandshakeError::Refused(_))) => {
                    counters::EdgeCause::PeerHandshakeRefused
                }
                _ => counters::EdgeCause::PeerUnreachable,
            };
            context.counters.count(cause);
            let end = LinkEnd {
                link: parts.link,
                unsent: drain(parts.frames).await,
                used: false,
                owed: false,
                silent: false,
            };
            report(&context, peer, end).await;
        }
    }
}

/// Serves an open connection, whose handshake is done, until it ends.
pub async fn serve(context: LinkContext, opened: OpenedStream, parts: LinkParts) {
    let OpenedStream { stream, sealed } = opened;
    let peer = sealed.peer.node;
    let open = counters::GaugeGuard::hold(context.counters.peer_connections());
    let (reader, writer) = stream.into_split();
    let reader = stream::FrameReader::new(reader, sealed.opener);
    let pulse = parts.pulse.clone();
    let reading = tokio::spawn(read(context.clone(), peer, reader, pulse.clone()));
    let writer = FrameWriter {
        peer,
        pulse,
        writer,
        packer: compression::FrameCompressor::default(),
        sealer: sealed.sealer,
        batch: Vec::new(),
        used: false,
    };
    let end = exchange(&context, writer, parts, reading).await;
    drop(open);
    context.counters.count(counters::EdgeCause::PeerLost);
    report(&context, peer, end).await;
}

/// A connection whose ends have proved themselves.
#[derive(Debug)]
pub struct OpenedStream {
    /// The socket.
    pub stream: TcpStream,
    /// Who is at the other end, and what seals each frame.
    pub sealed: sealing::SealedStream,
}

/// The writing side of a connection.
struct FrameWriter {
    peer: ident::NodeId,
    pulse: Arc<pulse::LinkPulse>,
    writer: OwnedWriteHalf,
    packer: compression::FrameCompressor,
    sealer: sealing::FrameSealer,
    batch: Vec<u8>,
    /// Whether a byte of any frame was handed to the socket.
    used: bool,
}

/// How the writing side of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteEnd {
    /// The other side may still send what it has.
    Flushed,
    /// The other side gave no sign of life, or takes nothing any more.
    Dead,
}

/// What became of the frames when a connection ended.
struct LinkEnd {
    link: LinkId,
    /// No byte of these was handed to the socket.
    unsent: Vec<frame::PeerFrame>,
    /// Whether a byte of any other was.
    used: bool,
    /// Whether answers to calls were due.
    owed: bool,
    /// Whether it gave no sign of life.
    silent: bool,
}

async fn connect(
    context: &LinkContext,
    peer: ident::NodeId,
    address: SocketAddr,
) -> Result<OpenedStream, handshake::HandshakeError> {
    let mut stream = TcpStream::connect(address).await?;
    // Nagle's algorithm would hold small frames back for a delayed acknowledgement.
    stream.set_nodelay(true)?;
    // A replaced instance at the same address must not get what was meant for its predecessor, so
    // the handshake takes no other node than the one expected.
    let sealed = handshake::initiate(&mut stream, context, peer).await?;
    Ok(OpenedStream { stream, sealed })
}

/// Serves a connection until it breaks, or nobody has frames any more.
async fn exchange(
    context: &LinkContext,
    mut writer: FrameWriter,
    parts: LinkParts,
    mut reading: tokio::task::JoinHandle<bool>,
) -> LinkEnd {
    let LinkParts {
        link,
        mut frames,
        pulse,
    } = parts;
    let end = tokio::select! {
        end = writer.write_until_end(context, &mut frames) => Ok(end),
        received = &mut reading => Err(received),
    };
    // A connection that broke can't be shut down once more.
    let _ = writer.writer.shutdown().await;
    note_end(&writer, link, &end);
    let silent = matches!(end, Ok(WriteEnd::Dead));
    let received = match end {
        Err(received) => received.unwrap_or(true),
        Ok(WriteEnd::Flushed) => read_rest(reading).await,
        Ok(WriteEnd::Dead) => {
            // Nothing came for a second, so nothing is worth waiting for.
            reading.abort();
            true
        }
    };
    LinkEnd {
        link,
        unsent: drain(frames).await,
        used: writer.used || received,
        owed: pulse.awaits(),
        silent,
    }
}

/// Tells the log how a connection to another node ended, and whether calls were out on it.
fn note_end<E>(writer: &FrameWriter, link: LinkId, end: &Result<WriteEnd, E>) {
    let cause = match end {
        Err(_) => "ended by the other side",
        Ok(WriteEnd::Flushed) => "ended or broken on this side",
        Ok(WriteEnd::Dead) => "no sign of life",
    };
    let (peer, owed) = (writer.peer, writer.pulse.awaits());
    let facts = serde_json::json!({
        "event": "link-ended",
        "peer": peer.to_string(),
        "link": link.0,
        "cause": cause,
        "calls_out": owed,
    });
    log::info!("{facts}");
}

/// Waits for what the other side still sends, and says whether any frame came on the connection.
///
/// Answers may stand unread when the writing side ends. Reported as lost, their callers would be
/// told "may have run" of requests that were answered whole. The other side ends its side too once
/// it sees this one's end; one that hangs is given up after [`READ_REST_LIMIT`].
async fn read_rest(mut reading: tokio::task::JoinHandle<bool>) -> bool {
    let rest = tokio::time::timeout(READ_REST_LIMIT, &mut reading).await;
    if rest.is_err() {
        reading.abort();
    }
    !matches!(rest, Ok(Ok(false)))
}

impl FrameWriter {
    /// Writes frames until the connection breaks, falls silent, or nobody has frames any more.
    async fn write_until_end(
        &mut self,
        context: &LinkContext,
        frames: &mut mpsc::Receiver<frame::PeerFrame>,
    ) -> WriteEnd {
        let pulse = self.pulse.clone();
        let mut looks = tokio::time::interval(pulse::LOOK_INTERVAL);
        looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut silent = 0;
        loop {
            let first = tokio::select! {
                biased;
                frame = frames.recv() => match frame {
                    Some(frame) => frame,
                    None => return WriteEnd::Flushed,
                },
                () = pulse.wait_asked() => frame::PeerFrame::Pong,
                _ = looks.tick(), if pulse.awaits() => match pulse.look(&mut silent) {
                    pulse::PulseLook::Fine => continue,
                    pulse::PulseLook::Probe => frame::PeerFrame::Ping,
                    pulse::PulseLook::Silent => {
                        context.counters.count(counters::EdgeCause::PeerSilent);
                        return WriteEnd::Dead;
                    }
                },
            };
            self.gather(context, first, frames);
            // From the first byte on, nobody can tell what the other side saw.
            self.used = true;
            let writing = self.writer.write_all(&self.batch);
            let written = tokio::time::timeout(WRITE_LIMIT, writing).await;
            match written {
                Ok(Ok(())) => {}
                // Answers may stand unread in the socket of a connection that broke.
                Ok(Err(_)) => return WriteEnd::Flushed,
                Err(_) => return WriteEnd::Dead,
            }
        }
    }

    /// Encodes `first` and whatever waits behind it, up to one batch.
    fn gather(
        &mut self,
        context: &LinkContext,
        first: frame::PeerFrame,
        frames: &mut mpsc::Receiver<frame::PeerFrame>,
    ) {
        self.batch.clear();
        let mut next = Some(first);
        while let Some(frame) = next {
            self.append(context, &frame);
            next = if self.batch.len() < BATCH_BYTES {
                frames.try_recv().ok()
            } else {
                None
            };
        }
    }

    fn append(&mut self, context: &LinkContext, frame: &frame::PeerFrame) {
        for _ in 0..answers_due(frame) {
            self.pulse.call_sent();
        }
        let Ok(encoded) = codec::encode_frame(frame) else {
            // The caller edge bounds bodies and heads below a frame's limit.
            context
                .counters
                .count(counters::EdgeCause::PeerFrameOversized);
            return;
        };
        let mut bytes = self.packer.compress(encoded);
        self.sealer.seal(&mut bytes);
        if self.batch.is_empty() {
            self.batch = bytes;
        } else {
            self.batch.extend_from_slice(&bytes);
        }
    }
}

/// Answers that a frame asks for; the connection is probed while they are due.
fn answers_due(frame: &frame::PeerFrame) -> usize {
    match frame {
        frame::PeerFrame::Call(_) => 1,
        frame::PeerFrame::Outcome(message) => match &**message {
            outcome::OutcomeMessage::Query { attempts, .. } => attempts.len(),
            outcome::OutcomeMessage::Leaving { .. } => 1,
            outcome::OutcomeMessage::Pending { .. } => 0,
        },
        _ => 0,
    }
}

/// Hands frames to the engine; says at the end whether any came.
async fn read(
    context: LinkContext,
    peer: ident::NodeId,
    mut reader: stream::FrameReader<OwnedReadHalf>,
    pulse: Arc<pulse::LinkPulse>,
) -> bool {
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
        pulse.frame_heard(matches!(frame, frame::PeerFrame::Answer(_)));
        match frame {
            frame::PeerFrame::Ping => {
                pulse.asked();
                continue;
            }
            frame::PeerFrame::Pong => continue,
            // Signs of life don't count, or each probe would move the traffic to its connection.
            _ => pulse.stamp(context.heard.fetch_add(1, Ordering::Relaxed) + 1),
        }
        let arrived = event::NodeEvent::FrameArrived { peer, frame };
        // A full engine slows this reader, and so the sender, down. An engine that has left is no
        // reason to stop: closing a socket with unread bytes resets it, and the reset can destroy
        // answers on their way to the other side.
        let input = engine::EngineInput::Event(arrived);
        let _ = context.engine.send_async(input).await;
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

async fn report(context: &LinkContext, peer: ident::NodeId, end: LinkEnd) {
    let LinkEnd {
        link,
        unsent,
        used,
        owed,
        silent,
    } = end;
    let closed = engine::EngineInput::LinkClosed(ClosedLink {
        peer,
        link,
        unsent,
        used,
        owed,
        silent,
    });
    // The engine is gone only when the process leaves.
    let _ = context.engine.send_async(closed).await;
}
