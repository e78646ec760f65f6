//! One connection to another node, from its handshake to the report of how it ended.

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

use super::{bodies, handshake, liveness, stream};
use crate::{caller, counters, engine, memory};

/// Maximum number of frames that wait for one connection.
pub const MAX_QUEUED_FRAMES: usize = 4_096;

/// Longest time for a connection and its handshake; nodes are a few milliseconds apart, and a call
/// whose node can't be reached is sent elsewhere at no cost.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time in which a peer takes no byte; one that reads nothing for so long does not answer
/// either.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest time for reading what the other side still sends after this side shut down its writing.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Bytes collected per write; many small frames share one system call.
const BATCH_BYTES: usize = 64 * 1024;

/// Identifies one connection within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// The reducer's handle of one connection; once it is dropped, the connection flushes and closes.
#[derive(Debug)]
pub struct PeerLink {
    /// The other node.
    pub peer: ident::NodeId,
    /// Identifies the connection.
    pub link: LinkId,
    /// Frames to send.
    pub frames: mpsc::Sender<frame::PeerFrame>,
    /// Tracks received frames and unanswered calls.
    pub liveness: Arc<liveness::LinkLiveness>,
    /// The sequence number of the last received frame at the time when another connection to the
    /// node became unresponsive.
    suspected_at: Option<u64>,
}

impl PeerLink {
    /// Notes that another connection to the same node became unresponsive.
    pub fn mark_suspect(&mut self) {
        self.suspected_at = Some(self.liveness.last_received());
    }

    /// Whether another connection became unresponsive and nothing was received on this one since.
    pub fn is_suspect(&self) -> bool {
        self.suspected_at == Some(self.liveness.last_received())
    }
}

/// The connection's side of a [`PeerLink`].
#[derive(Debug)]
pub struct LinkParts {
    /// Identifies the connection.
    pub link: LinkId,
    frames: mpsc::Receiver<frame::PeerFrame>,
    liveness: Arc<liveness::LinkLiveness>,
}

impl LinkParts {
    /// Number of frames that wait to be sent.
    pub fn queued_frames(&self) -> usize {
        self.frames.len()
    }
}

/// Creates the handle and the worker side of a new connection to `peer`.
pub fn new_link(peer: ident::NodeId, link: LinkId) -> (PeerLink, LinkParts) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    let liveness = Arc::new(liveness::LinkLiveness::default());
    let opened = PeerLink {
        peer,
        link,
        liveness: liveness.clone(),
        frames: sender,
        suspected_at: None,
    };
    let parts = LinkParts {
        link,
        liveness,
        frames: receiver,
    };
    (opened, parts)
}

/// Reports the end of one connection.
#[derive(Debug)]
pub struct ClosedLink {
    /// The other node.
    pub peer: ident::NodeId,
    /// Identifies the connection.
    pub link: LinkId,
    /// Frames of which no byte was handed to the socket.
    pub unsent: Vec<frame::PeerFrame>,
    /// Whether any frame may have been exchanged on it.
    pub used: bool,
    /// Whether calls were sent on it whose answers are missing, so that their outcome is unknown.
    pub awaits_answers: bool,
    /// Whether it was closed as unresponsive; other connections to the node may be so too.
    pub unresponsive: bool,
}

/// State shared by all connections to other nodes.
#[derive(Clone, Debug)]
pub struct LinkContext {
    /// Identifies this node in handshakes.
    pub hello: frame::PeerHello,
    /// The keys by which nodes authenticate each other.
    pub ring: Arc<ring::KeyRing>,
    /// The queue of the reducer, which receives the frames.
    pub engine: engine::EngineSender,
    /// Counts each cause.
    pub counters: counters::EdgeCounters,
    /// The last allocated link id.
    pub link_ids: Arc<AtomicU64>,
    /// Number of frames received on all links, from which sequence numbers are allocated.
    pub received_frames: Arc<AtomicU64>,
    /// Lets connections flush before the process exits.
    pub drain: caller::server::DrainSignal,
    /// Holds the bodies of received frames.
    pub memory: memory::BodyMemory,
}

impl LinkContext {
    /// Allocates the id of a new connection.
    pub fn next_link_id(&self) -> LinkId {
        LinkId(self.link_ids.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// Opens a connection to `peer` and serves it until it ends.
pub async fn open(
    context: LinkContext,
    peer: ident::NodeId,
    address: SocketAddr,
    parts: LinkParts,
) {
    let opening = tokio::time::timeout(OPEN_TIMEOUT, connect(&context, peer, address));
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
                awaits_answers: false,
                unresponsive: false,
            };
            report(&context, peer, end).await;
        }
    }
}

/// Serves an open connection after its handshake, until it ends.
pub async fn serve(context: LinkContext, opened: OpenedStream, parts: LinkParts) {
    let OpenedStream { stream, sealed } = opened;
    let peer = sealed.peer.node;
    let open = counters::GaugeGuard::hold(context.counters.peer_connections());
    let (reader, writer) = stream.into_split();
    let liveness = parts.liveness.clone();
    let reader = liveness::TrackedReader::new(reader, liveness.clone());
    let reader = stream::FrameReader::new(reader, sealed.opener);
    let reading = tokio::spawn(read(context.clone(), peer, reader, liveness.clone()));
    let writer = FrameWriter {
        peer,
        liveness,
        writer,
        compressor: compression::FrameCompressor::default(),
        sealer: sealed.sealer,
        batch: Vec::new(),
        large: bodies::LargeFrames::default(),
        used: false,
    };
    let end = exchange(&context, writer, parts, reading).await;
    drop(open);
    context
        .counters
        .count(counters::EdgeCause::PeerConnectionLost);
    report(&context, peer, end).await;
}

/// A connection whose two ends have authenticated each other.
#[derive(Debug)]
pub struct OpenedStream {
    /// The socket.
    pub stream: TcpStream,
    /// The identity of the other node, and the keys that seal each frame.
    pub sealed: sealing::SealedStream,
}

/// The writing side of a connection.
struct FrameWriter {
    peer: ident::NodeId,
    liveness: Arc<liveness::LinkLiveness>,
    writer: OwnedWriteHalf,
    compressor: compression::FrameCompressor,
    sealer: sealing::FrameSealer,
    batch: Vec<u8>,
    large: bodies::LargeFrames,
    /// Whether any byte of a frame was handed to the socket.
    used: bool,
}

/// How the writing side of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteEnd {
    /// The other side may still have frames to send.
    Flushed,
    /// The other side is unresponsive: it sends nothing, or it no longer reads.
    Unresponsive,
}

/// State of the frames and calls when a connection ended.
struct LinkEnd {
    link: LinkId,
    /// No byte of these was handed to the socket.
    unsent: Vec<frame::PeerFrame>,
    /// Whether any frame was received, or a byte of one handed to the socket.
    used: bool,
    /// Whether answers to calls were due.
    awaits_answers: bool,
    /// Whether it was closed as unresponsive.
    unresponsive: bool,
}

async fn connect(
    context: &LinkContext,
    peer: ident::NodeId,
    address: SocketAddr,
) -> Result<OpenedStream, handshake::HandshakeError> {
    let mut stream = TcpStream::connect(address).await?;
    // Nagle's algorithm would delay small frames until an acknowledgement arrives.
    stream.set_nodelay(true)?;
    // A new instance at the same address must not receive frames meant for its predecessor, so the
    // handshake accepts only the expected node.
    let sealed = handshake::initiate(&mut stream, context, peer).await?;
    Ok(OpenedStream { stream, sealed })
}

/// Serves a connection until it ends or its handle is dropped.
async fn exchange(
    context: &LinkContext,
    mut writer: FrameWriter,
    parts: LinkParts,
    mut reading: tokio::task::JoinHandle<bool>,
) -> LinkEnd {
    let LinkParts {
        link,
        mut frames,
        liveness,
    } = parts;
    let end = tokio::select! {
        end = writer.write_until_end(context, &mut frames) => Ok(end),
        received = &mut reading => Err(received),
    };
    // Shutting down a broken connection fails, which needs no handling.
    let _ = writer.writer.shutdown().await;
    log_end(&writer, link, &end);
    let unresponsive = matches!(end, Ok(WriteEnd::Unresponsive));
    let received = match end {
        Err(received) => received.unwrap_or(true),
        Ok(WriteEnd::Flushed) => drain_reader(reading).await,
        Ok(WriteEnd::Unresponsive) => {
            // Nothing arrived for about a second, so waiting for more is pointless.
            reading.abort();
            true
        }
    };
    let mut unsent = writer.large.into_unsent();
    unsent.extend(drain(frames).await);
    LinkEnd {
        link,
        unsent,
        used: writer.used || received,
        awaits_answers: liveness.awaits_answers(),
        unresponsive,
    }
}

/// Logs how a connection to another node ended, and whether calls on it were unanswered.
fn log_end<E>(writer: &FrameWriter, link: LinkId, end: &Result<WriteEnd, E>) {
    let cause = match end {
        Err(_) => "ended by the other side",
        Ok(WriteEnd::Flushed) => "ended or broken on this side",
        Ok(WriteEnd::Unresponsive) => "no sign of life",
    };
    let (peer, awaits_answers) = (writer.peer, writer.liveness.awaits_answers());
    let facts = serde_json::json!({
        "event": "link-ended",
        "peer": peer.to_string(),
        "link": link.0,
        "cause": cause,
        "calls_out": awaits_answers,
    });
    log::info!("{facts}");
}

/// Reads until the other side closes, and returns whether any frame was received on the connection.
///
/// There may be unread answers when the writing side ends. If these calls were reported as lost,
/// their callers would get "may have run" for requests that were answered completely. The other
/// side closes too once it sees that this side has; one that hangs is abandoned after
/// [`DRAIN_TIMEOUT`].
async fn drain_reader(mut reading: tokio::task::JoinHandle<bool>) -> bool {
    let result = tokio::time::timeout(DRAIN_TIMEOUT, &mut reading).await;
    if result.is_err() {
        reading.abort();
    }
    !matches!(result, Ok(Ok(false)))
}

impl FrameWriter {
    /// Writes frames until the connection breaks, becomes unresponsive, or its handle is dropped.
    async fn write_until_end(
        &mut self,
        context: &LinkContext,
        frames: &mut mpsc::Receiver<frame::PeerFrame>,
    ) -> WriteEnd {
        let liveness = self.liveness.clone();
        let mut checks = tokio::time::interval(liveness::CHECK_INTERVAL);
        checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut misses = 0;
        loop {
            let first = tokio::select! {
                biased;
                frame = frames.recv() => match frame {
                    None if self.large.is_empty() => return WriteEnd::Flushed,
                    frame => frame,
                },
                () = liveness.wait_for_probe() => Some(frame::PeerFrame::Pong),
                _ = checks.tick(), if liveness.awaits_answers() => {
                    match liveness.check(&mut misses) {
                        liveness::LivenessAction::None => continue,
                        liveness::LivenessAction::Probe => Some(frame::PeerFrame::Ping),
                        liveness::LivenessAction::Close => {
                            context.counters.count(counters::EdgeCause::PeerUnresponsive);
                            return WriteEnd::Unresponsive;
                        }
                    }
                }
                () = std::future::ready(()), if !self.large.is_empty() => None,
            };
            self.gather(context, first, frames);
            // From the first byte on, it is unknown what the other side has received.
            self.used = true;
            if let Some(end) = self.write_batch().await {
                return end;
            }
        }
    }

    /// Writes the batch, for as long as the peer takes bytes; returns how the connection ended, if it
    /// did.
    async fn write_batch(&mut self) -> Option<WriteEnd> {
        let mut rest = &self.batch[..];
        while !rest.is_empty() {
            let writing = self.writer.write(rest);
            match tokio::time::timeout(WRITE_TIMEOUT, writing).await {
                // The socket of a broken connection may still hold unread answers.
                Ok(Ok(0) | Err(_)) => return Some(WriteEnd::Flushed),
                Ok(Ok(written)) => rest = &rest[written..],
                Err(_) => return Some(WriteEnd::Unresponsive),
            }
        }
        None
    }

    /// Encodes `first` and the frames queued after it, up to one batch, and a part of a large body.
    fn gather(
        &mut self,
        context: &LinkContext,
        first: Option<frame::PeerFrame>,
        frames: &mut mpsc::Receiver<frame::PeerFrame>,
    ) {
        self.batch.clear();
        let mut next = first;
        while let Some(frame) = next {
            if let Some(frame) = self.large.take(frame) {
                self.append(context, &frame);
            }
            next = if self.batch.len() < BATCH_BYTES {
                frames.try_recv().ok()
            } else {
                None
            };
        }
        if let Some(frame) = self.large.next_frame() {
            self.append(context, &frame);
        }
    }

    fn append(&mut self, context: &LinkContext, frame: &frame::PeerFrame) {
        for _ in 0..answers_due(frame) {
            self.liveness.call_sent();
        }
        let Ok(encoded) = codec::encode_frame(frame) else {
            // Not expected: the caller edge keeps heads and bodies below the limit of a frame.
            context
                .counters
                .count(counters::EdgeCause::PeerFrameOversized);
            return;
        };
        let mut bytes = self.compressor.compress(encoded);
        self.sealer.seal(&mut bytes);
        if self.batch.is_empty() {
            self.batch = bytes;
        } else {
            self.batch.extend_from_slice(&bytes);
        }
    }
}

/// Number of answers that a frame requests; the connection is probed while they are due.
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

/// Passes received frames to the engine; returns whether any was received.
async fn read(
    context: LinkContext,
    peer: ident::NodeId,
    mut reader: stream::FrameReader<liveness::TrackedReader<OwnedReadHalf>>,
    liveness: Arc<liveness::LinkLiveness>,
) -> bool {
    let mut used = false;
    let mut bodies = bodies::BodyAssembly::new(context.memory.clone());
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
        liveness.frame_received(matches!(frame, frame::PeerFrame::Answer(_)));
        let frame = match frame {
            frame::PeerFrame::Ping => {
                liveness.probe_received();
                continue;
            }
            frame::PeerFrame::Pong => continue,
            frame::PeerFrame::Body(part) => {
                bodies.add(&part);
                continue;
            }
            frame => frame,
        };
        // Pings and pongs do not count, or each probe would move the traffic to its connection.
        liveness.record_received(context.received_frames.fetch_add(1, Ordering::Relaxed) + 1);
        let arrived = match bodies.complete(frame) {
            bodies::ReceivedFrame::Whole(frame) => event::NodeEvent::FrameArrived { peer, frame },
            bodies::ReceivedFrame::WithoutBody(frame) => {
                event::NodeEvent::BodyRefused { peer, frame }
            }
        };
        // A full engine queue slows down this reader, and with it the sender. If the engine has
        // stopped, reading continues: closing a socket with unread bytes resets the connection, and
        // the reset can discard answers that the other side has not read yet.
        let input = engine::EngineInput::Event(arrived);
        let _ = context.engine.send_async(input).await;
    }
}

/// Closes the queue, then takes the queued frames, so that no frame is added unnoticed meanwhile.
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
        awaits_answers,
        unresponsive,
    } = end;
    let closed = engine::EngineInput::LinkClosed(ClosedLink {
        peer,
        link,
        unsent,
        used,
        awaits_answers,
        unresponsive,
    });
    // Sending fails only if the process is exiting.
    let _ = context.engine.send_async(closed).await;
}
