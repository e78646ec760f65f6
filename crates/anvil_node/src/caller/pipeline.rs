//! Requests that a caller sends before the ones in front are answered.
//!
//! Failure: a caller sends several lookups at once, and the node reads the next one when the one in
//! front is answered. Symptom: the last of five waits for four runs before it leaves the node, most
//! of its objective is gone by then, and the caller gives up what was not read within a second. On a
//! calm day a lookup of 120 ms then took 587 ms in the median.
//!
//! The HTTP library stays in charge of the connection: it gets the bytes of one request at a time,
//! and its answers leave in order. While it waits for an answer, the requests behind are looked at,
//! and those that may run twice begin at once; each then has its answer, or waits for less, when its
//! turn comes. What must not run twice begins in its turn only, since a request behind an answer
//! that closes the connection counts as not read and is sent again.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::{Buf, Bytes, BytesMut};
use http::Uri;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::{exchange, framing, head_timer, server};

/// Most requests of a connection that run ahead of their turn. Callers have been seen to send some
/// five at once; their answers may have to be held until the caller reads.
pub const MAX_EARLY_REQUESTS: usize = 16;

/// Bytes behind the request in service from which on no more are read: sixteen requests without a
/// body take a quarter of it.
const BEHIND_BYTES: usize = 32 * 1024;

/// Bytes read from the socket at once.
const READ_BYTES: usize = 8 * 1024;

/// Whose turn it is on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionTurn {
    /// The library wants the next head.
    Reading,
    /// The library has a request, or its head, and the body is on its way.
    Handed {
        /// Bytes of that request that the library is still to get.
        due: usize,
    },
    /// The library waits for the answer to a whole request.
    Serving,
    /// The end of a request can't be told here; the library reads the rest by itself, and one
    /// request after the other.
    Unclear,
}

/// Whether a connection takes another request behind the one that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionDisposition {
    /// It does.
    KeepAlive,
    /// It closes behind this answer.
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

#[derive(Debug)]
struct PipelineState {
    turn: ConnectionTurn,
    /// Bytes that were read and not handed to the library.
    behind: BytesMut,
    /// How many of them belong to requests that run ahead.
    looked: usize,
    early: VecDeque<EarlyRequest>,
    /// The early request that the library has been handed.
    turned: Option<EarlyRequest>,
    /// Whether the request that the library has is the last by its own word.
    last: bool,
    /// Whether the node stops.
    stopping: bool,
}

/// The requests of one connection, shared by its socket and its service, which run in one task.
#[derive(Debug)]
pub struct RequestPipeline {
    edge: Arc<server::CallerEdge>,
    watch: Arc<head_timer::HeadTimer>,
    state: Mutex<PipelineState>,
}

impl RequestPipeline {
    /// The pipeline of a new connection.
    pub fn new(edge: Arc<server::CallerEdge>, watch: Arc<head_timer::HeadTimer>) -> Arc<Self> {
        let state = PipelineState {
            turn: ConnectionTurn::Reading,
            behind: BytesMut::new(),
            looked: 0,
            early: VecDeque::new(),
            turned: None,
            last: false,
            stopping: false,
        };
        Arc::new(Self {
            edge,
            watch,
            state: Mutex::new(state),
        })
    }

    /// The request in service is whole; the ones behind may begin.
    pub fn begin_serving(&self) {
        self.watch.begin_serving();
        let mut state = self.lock();
        if matches!(state.turn, ConnectionTurn::Handed { .. }) {
            state.turn = ConnectionTurn::Serving;
            if !state.behind.is_empty() {
                self.watch.record_read();
            }
            self.look_ahead(&mut state);
        }
    }

    /// The request in service is answered, and tells whether another one may follow.
    pub fn end_serving(&self) -> ConnectionDisposition {
        self.watch.end_serving();
        let mut state = self.lock();
        state.turned = None;
        state.turn = match state.turn {
            // Refused before its body was read, which the library passes over by itself. Taken for
            // requests, the rest of that body would run what nobody sent.
            ConnectionTurn::Handed { due } if due > 0 => ConnectionTurn::Unclear,
            ConnectionTurn::Unclear => ConnectionTurn::Unclear,
            _ => ConnectionTurn::Reading,
        };
        match state.stopping && state.early.is_empty() {
            true => ConnectionDisposition::Close,
            false => ConnectionDisposition::KeepAlive,
        }
    }

    /// The call that began early for the request whose turn has come, if it is the one for `uri`.
    pub fn take_early(&self, uri: &Uri) -> Option<exchange::StartedCall> {
        let early = self.lock().turned.take();
        early
            .filter(|early| early.uri == *uri)
            .map(|early| early.started)
    }

    /// Begins with no further request, since the node stops; the last of those that run ahead says
    /// in its answer that the connection closes.
    pub fn stop(&self) {
        self.lock().stopping = true;
    }

    /// Whether no request runs ahead, so that the connection may close behind the one in service.
    pub fn has_no_early(&self) -> bool {
        self.lock().early.is_empty()
    }

    /// Begins with the whole requests behind the one in service, up to the first that can't.
    fn look_ahead(&self, state: &mut PipelineState) {
        while state.early.len() < MAX_EARLY_REQUESTS && !state.last && !state.stopping {
            let Some(early) = self.next_early(state) else {
                return;
            };
            state.early.push_back(early);
        }
    }

    fn next_early(&self, state: &mut PipelineState) -> Option<EarlyRequest> {
        let rest = &state.behind[state.looked..];
        let framing::ParsedRequest::Known(known) =
            framing::parse_front(rest, self.edge.limits.header_bytes)
        else {
            return None;
        };
        if known.expects_continue || known.closes_connection || rest.len() < known.total_bytes() {
            return None;
        }
        let body = Bytes::copy_from_slice(&rest[known.head_bytes..known.total_bytes()]);
        let started = exchange::start_early(&self.edge, &known.parts, body)?;
        let bytes = known.total_bytes();
        let uri = known.parts.uri;
        state.looked += bytes;
        Some(EarlyRequest {
            started,
            uri,
            bytes,
        })
    }

    fn lock(&self) -> MutexGuard<'_, PipelineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PipelineState {
    /// Hands the library what it may have; false where more has to be read first.
    fn hand_over(&mut self, limit: usize, buffer: &mut ReadBuf<'_>) -> bool {
        if self.turn == ConnectionTurn::Reading && !self.behind.is_empty() {
            if let Some(early) = self.early.pop_front() {
                // It was read when it began, and was not the last of its connection.
                self.last = false;
                self.turn = ConnectionTurn::Handed { due: early.bytes };
                self.turned = Some(early);
            } else {
                match framing::parse_front(&self.behind, limit) {
                    framing::ParsedRequest::Partial => return false,
                    framing::ParsedRequest::Indeterminate => self.turn = ConnectionTurn::Unclear,
                    framing::ParsedRequest::Known(known) => {
                        self.last = known.closes_connection;
                        let due = known.total_bytes();
                        self.turn = ConnectionTurn::Handed { due };
                    }
                }
            }
        }
        let allowed = match self.turn {
            ConnectionTurn::Handed { due } => due,
            ConnectionTurn::Unclear => usize::MAX,
            ConnectionTurn::Reading | ConnectionTurn::Serving => 0,
        };
        let handed = allowed.min(self.behind.len()).min(buffer.remaining());
        buffer.put_slice(&self.behind[..handed]);
        self.behind.advance(handed);
        self.looked = self.looked.saturating_sub(handed);
        if let ConnectionTurn::Handed { due } = &mut self.turn {
            *due -= handed;
        }
        handed > 0
    }

    /// Whether bytes that come now belong to requests behind the one in service.
    fn is_ahead(&self) -> bool {
        match self.turn {
            ConnectionTurn::Serving => true,
            ConnectionTurn::Handed { due } => due == 0,
            ConnectionTurn::Reading | ConnectionTurn::Unclear => false,
        }
    }
}

/// A caller's socket that hands the library one request at a time and reads on behind it.
#[derive(Debug)]
pub struct PipelinedStream {
    stream: TcpStream,
    pipeline: Arc<RequestPipeline>,
}

impl PipelinedStream {
    /// Reads requests of `stream` into `pipeline`.
    pub fn new(stream: TcpStream, pipeline: Arc<RequestPipeline>) -> Self {
        Self { stream, pipeline }
    }

    /// The socket itself.
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
            if state.is_ahead() && state.behind.len() >= BEHIND_BYTES {
                // The library asks again once the request in service is answered.
                return Poll::Pending;
            }
            let mut bytes = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut bytes);
            std::task::ready!(Pin::new(&mut this.stream).poll_read(context, &mut read))?;
            if read.filled().is_empty() {
                // The end, as the library should see it: behind whatever came, however little.
                if state.turn == ConnectionTurn::Reading && !state.behind.is_empty() {
                    state.turn = ConnectionTurn::Unclear;
                    state.hand_over(limit, buffer);
                }
                return Poll::Ready(Ok(()));
            }
            pipeline.watch.record_read();
            state.behind.extend_from_slice(read.filled());
            if state.turn == ConnectionTurn::Serving {
                pipeline.look_ahead(&mut state);
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
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
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
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
