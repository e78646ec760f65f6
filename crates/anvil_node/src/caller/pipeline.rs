//! Pipelining: requests that a caller sends before the earlier ones of its connection are answered.
//!
//! Some callers send several lookups at once. If the node read each one only after the one before
//! was answered, the last of five would wait for four runs, by which time most of its objective
//! has passed, and the caller abandons requests that are not read within a second. Without load, a lookup
//! of 120 ms then had a median latency of 587 ms.
//!
//! The HTTP library still controls the connection: it gets the bytes of one request at a time, and
//! responses leave in order. While a request is being served, the node parses the ones behind it
//! and starts those that may run twice; when the turn of such a request comes, its answer is ready
//! or at least in progress. A request that must not run twice starts only in its turn: if a
//! response closes the connection, the caller treats all later requests as not read and sends them
//! again.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use anvil_edge::caller;
use bytes::{Buf, Bytes, BytesMut};
use http::Uri;
use hyper::body::Body;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::memory;

use super::{exchange, framing, head_timer, server};

/// Maximum number of requests of a connection that run ahead of their turn. Callers have been seen
/// to send about five at once; their answers may have to be held until the caller reads them.
pub const MAX_EARLY_REQUESTS: usize = 16;

/// Maximum number of buffered bytes behind the request in service; sixteen requests without a body
/// take a quarter of it.
const MAX_BUFFERED_BYTES: usize = 32 * 1024;

/// Buffered bytes of a connection that need no lease.
const UNLEASED_BYTES: usize = 2 * READ_BYTES;

/// Maximum number of bytes per read from the socket.
const READ_BYTES: usize = 8 * 1024;

/// Progress of the HTTP library on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// The library waits for the next head.
    Reading,
    /// The library is receiving a request.
    Receiving {
        /// Bytes of that request that the library has not received yet.
        remaining: usize,
    },
    /// The library waits for the response to a complete request.
    Serving,
    /// The end of a request can't be determined; from here on the library reads the bytes
    /// directly, without pipelining.
    Unframed,
}

/// Whether a connection takes another request after the answered one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionDisposition {
    /// It stays open.
    KeepAlive,
    /// It closes after this response.
    Close,
}

/// A request that runs ahead of its turn.
#[derive(Debug)]
struct EarlyRequest {
    started: exchange::StartedCall,
    uri: Uri,
    /// Length of the whole request, in bytes.
    bytes: usize,
}

/// An answer that is being written.
#[derive(Debug)]
struct UnreadAnswer {
    /// When the caller last took a byte of it.
    moved_at: Instant,
    /// Lets others have its memory, if it has much.
    hold: Option<memory::BodyHold>,
}

#[derive(Debug)]
struct PipelineState {
    phase: ConnectionPhase,
    /// Bytes that were read and not yet handed to the library.
    buffer: BytesMut,
    /// The lease of the buffer.
    lease: memory::BodyLease,
    /// Whether no memory was left for a head.
    lacks_memory: bool,
    unread: Option<UnreadAnswer>,
    /// Number of buffered bytes that belong to early requests.
    early_bytes: usize,
    early: VecDeque<EarlyRequest>,
    /// The early request whose turn has come.
    current: Option<EarlyRequest>,
    /// Whether the connection closes after the request in service.
    is_last: bool,
    /// Whether the node is stopping.
    stopping: bool,
}

/// The requests of one connection, shared by its socket and its service, which run in the same
/// task.
#[derive(Debug)]
pub struct RequestPipeline {
    edge: Arc<server::CallerEdge>,
    head_timer: Arc<head_timer::HeadTimer>,
    /// Notified when others need the memory of the answer that is being written.
    evicted: Arc<Notify>,
    state: Mutex<PipelineState>,
}

impl RequestPipeline {
    /// The pipeline of a new connection.
    pub fn new(edge: Arc<server::CallerEdge>, head_timer: Arc<head_timer::HeadTimer>) -> Arc<Self> {
        let state = PipelineState {
            phase: ConnectionPhase::Reading,
            buffer: BytesMut::new(),
            lease: edge.memory.lease(memory::BodyKind::Request),
            lacks_memory: false,
            unread: None,
            early_bytes: 0,
            early: VecDeque::new(),
            current: None,
            is_last: false,
            stopping: false,
        };
        Arc::new(Self {
            edge,
            head_timer,
            evicted: Arc::default(),
            state: Mutex::new(state),
        })
    }

    /// Notes that the request in service is complete, and starts requests behind it.
    pub fn begin_serving(&self) {
        self.head_timer.begin_serving();
        let mut state = self.lock();
        if matches!(state.phase, ConnectionPhase::Receiving { .. }) {
            state.phase = ConnectionPhase::Serving;
            if !state.buffer.is_empty() {
                self.head_timer.record_read();
            }
            self.start_early_requests(&mut state);
        }
    }

    /// Notes that the request in service is answered, and returns whether another one may follow.
    pub fn end_serving(&self) -> ConnectionDisposition {
        self.head_timer.end_serving();
        let mut state = self.lock();
        state.current = None;
        state.phase = match state.phase {
            // The request was refused before its body was read. The library skips that body itself;
            // parsing the rest of it as requests would run requests that nobody sent.
            ConnectionPhase::Receiving { remaining } if remaining > 0 => ConnectionPhase::Unframed,
            ConnectionPhase::Unframed => ConnectionPhase::Unframed,
            _ => ConnectionPhase::Reading,
        };
        match state.stopping && state.early.is_empty() {
            true => ConnectionDisposition::Close,
            false => ConnectionDisposition::KeepAlive,
        }
    }

    /// Notes that a response is about to be written.
    pub fn begin_writing(&self, response: &caller::FullResponse) {
        let bytes = response.body().size_hint().lower();
        let is_large = bytes > memory::FREE_BYTES as u64;
        let hold = is_large.then(|| {
            let memory = &self.edge.memory;
            memory.hold(self.evicted.clone())
        });
        self.lock().unread = Some(UnreadAnswer {
            moved_at: Instant::now(),
            hold,
        });
    }

    /// Whether the caller has taken no byte of its answer for longer than `limit`.
    pub fn is_unread_for(&self, limit: Duration) -> bool {
        let state = self.lock();
        let unread = state.unread.as_ref();
        unread.is_some_and(|unread| unread.moved_at.elapsed() > limit)
    }

    /// Waits until others need the memory of the answer that is being written.
    pub async fn evicted(&self) {
        loop {
            self.evicted.notified().await;
            // The answer before this one may have been read when it was evicted.
            if self.lock().is_evicted() {
                return;
            }
        }
    }

    /// Whether no memory was left for a head.
    pub fn lacks_memory(&self) -> bool {
        self.lock().lacks_memory
    }

    /// Drops what is buffered, as the connection takes no further request.
    pub fn release(&self) {
        let mut state = self.lock();
        state.buffer = BytesMut::new();
        state.lease.shrink(0);
        state.unread = None;
        state.early.clear();
        state.current = None;
    }

    /// The early call of the request whose turn has come, if it is the one for `uri`.
    pub fn take_early(&self, uri: &Uri) -> Option<exchange::StartedCall> {
        let early = self.lock().current.take();
        early
            .filter(|early| early.uri == *uri)
            .map(|early| early.started)
    }

    /// Starts no further requests early, since the node is stopping; the response to the last early
    /// request announces the close of the connection.
    pub fn stop(&self) {
        self.lock().stopping = true;
    }

    /// Whether the library may be told to close the connection after the request in service.
    ///
    /// Early requests come first. The library reads on while it writes an answer, so the next one may
    /// have left the queue before its turn has come. And where the answer that is being written
    /// announces the close, the library would end the connection at once, without the rest of it.
    pub fn may_shut_down(&self) -> bool {
        let state = self.lock();
        state.early.is_empty() && state.current.is_none() && state.unread.is_none()
    }

    /// Starts the complete requests behind the one in service, up to the first that can't start
    /// early.
    fn start_early_requests(&self, state: &mut PipelineState) {
        while state.early.len() < MAX_EARLY_REQUESTS && !state.is_last && !state.stopping {
            let Some(early) = self.next_early(state) else {
                return;
            };
            state.early.push_back(early);
        }
    }

    fn next_early(&self, state: &mut PipelineState) -> Option<EarlyRequest> {
        let unparsed = &state.buffer[state.early_bytes..];
        let framing::ParsedRequest::Known(known) =
            framing::parse_front(unparsed, self.edge.limits.header_bytes)
        else {
            return None;
        };
        if known.expects_continue || known.closes_connection || unparsed.len() < known.total_bytes()
        {
            return None;
        }
        let body = Bytes::copy_from_slice(&unparsed[known.head_bytes..known.total_bytes()]);
        let body = self.edge.memory.own(memory::BodyKind::Request, body).ok()?;
        let started = exchange::start_early(&self.edge, &known.parts, body)?;
        let bytes = known.total_bytes();
        let uri = known.parts.uri;
        state.early_bytes += bytes;
        Some(EarlyRequest {
            started,
            uri,
            bytes,
        })
    }

    fn record_progress(&self, written: &Poll<std::io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_)))
            && let Some(unread) = &mut self.lock().unread
        {
            unread.moved_at = Instant::now();
            if let Some(hold) = &unread.hold {
                hold.record_progress(unread.moved_at);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, PipelineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PipelineState {
    /// Hands buffered bytes of the current request to the library; false if more have to be read
    /// first.
    fn hand_over(&mut self, limit: usize, buffer: &mut ReadBuf<'_>) -> bool {
        if self.phase == ConnectionPhase::Reading && !self.buffer.is_empty() {
            if let Some(early) = self.early.pop_front() {
                // Only a request that does not close its connection starts early.
                self.is_last = false;
                self.phase = ConnectionPhase::Receiving {
                    remaining: early.bytes,
                };
                self.current = Some(early);
            } else {
                match framing::parse_front(&self.buffer, limit) {
                    framing::ParsedRequest::Partial => return false,
                    framing::ParsedRequest::Indeterminate => self.phase = ConnectionPhase::Unframed,
                    framing::ParsedRequest::Known(known) => {
                        self.is_last = known.closes_connection;
                        let remaining = known.total_bytes();
                        self.phase = ConnectionPhase::Receiving { remaining };
                    }
                }
            }
        }
        let allowed = match self.phase {
            ConnectionPhase::Receiving { remaining } => remaining,
            ConnectionPhase::Unframed => usize::MAX,
            ConnectionPhase::Reading | ConnectionPhase::Serving => 0,
        };
        let handed = allowed.min(self.buffer.len()).min(buffer.remaining());
        buffer.put_slice(&self.buffer[..handed]);
        self.buffer.advance(handed);
        if self.buffer.is_empty() && self.lease.is_held() {
            self.buffer = BytesMut::new();
            self.lease.shrink(0);
        }
        self.early_bytes = self.early_bytes.saturating_sub(handed);
        if let ConnectionPhase::Receiving { remaining } = &mut self.phase {
            *remaining -= handed;
        }
        handed > 0
    }

    /// Whether the answer that is being written had to give way to others.
    fn is_evicted(&self) -> bool {
        let hold = self.unread.as_ref().and_then(|unread| unread.hold.as_ref());
        hold.is_some_and(memory::BodyHold::is_evicted)
    }

    /// Takes memory for the next read.
    fn reserve_read(&mut self) -> Result<(), memory::MemoryError> {
        let needed = self.buffer.len() + READ_BYTES;
        if needed <= UNLEASED_BYTES {
            return Ok(());
        }
        self.lease.grow_or_evict(needed.next_power_of_two())
    }

    /// Whether newly read bytes belong to requests behind the one in service.
    fn is_reading_ahead(&self) -> bool {
        match self.phase {
            ConnectionPhase::Serving => true,
            ConnectionPhase::Receiving { remaining } => remaining == 0,
            ConnectionPhase::Reading | ConnectionPhase::Unframed => false,
        }
    }
}

/// A caller's socket that hands the library one request at a time and reads ahead.
#[derive(Debug)]
pub struct PipelinedStream {
    stream: TcpStream,
    pipeline: Arc<RequestPipeline>,
}

impl PipelinedStream {
    /// Reads requests from `stream` into `pipeline`.
    pub fn new(stream: TcpStream, pipeline: Arc<RequestPipeline>) -> Self {
        Self { stream, pipeline }
    }

    /// The underlying socket.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for PipelinedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        let pipeline = this.pipeline.clone();
        let mut state = pipeline.lock();
        let limit = pipeline.edge.limits.header_bytes;
        loop {
            if state.hand_over(limit, buffer) {
                return Poll::Ready(Ok(()));
            }
            if state.is_reading_ahead() && state.buffer.len() >= MAX_BUFFERED_BYTES {
                // The library polls again once the request in service is answered.
                return Poll::Pending;
            }
            if let Err(error) = state.reserve_read() {
                if state.is_reading_ahead() {
                    return Poll::Pending;
                }
                state.lacks_memory = true;
                return Poll::Ready(Err(std::io::Error::other(error)));
            }
            let mut bytes = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut bytes);
            std::task::ready!(Pin::new(&mut this.stream).poll_read(context, &mut read))?;
            if read.filled().is_empty() {
                // The library should see the end of the connection after all received bytes, even
                // if they are not a complete request.
                if state.phase == ConnectionPhase::Reading && !state.buffer.is_empty() {
                    state.phase = ConnectionPhase::Unframed;
                    state.hand_over(limit, buffer);
                }
                return Poll::Ready(Ok(()));
            }
            pipeline.head_timer.record_read();
            state.buffer.extend_from_slice(read.filled());
            if state.phase == ConnectionPhase::Serving {
                pipeline.start_early_requests(&mut state);
            }
        }
    }
}

impl AsyncWrite for PipelinedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.pipeline.record_progress(&written);
        written
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        // The library flushes the socket once it has written all of its buffer.
        if let Poll::Ready(Ok(())) = flushed {
            self.pipeline.head_timer.record_written();
            self.pipeline.lock().unread = None;
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.pipeline.record_progress(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
