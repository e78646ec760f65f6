//! Accepts connections of callers, passes each request to the reducer and returns its reply.

use std::convert::Infallible;
use std::future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use anvil_edge::caller;
use anvil_wire::codec;
use http::{HeaderValue, Request, header as names};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};

use super::{exchange, head_timer, intake, pipeline};
use crate::{counters, engine, listen, memory};

/// The response to a head that did not arrive in time; the HTTP library would close the connection
/// without one.
const SLOW_HEAD: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\
      anvil-outcome: not-run\r\n\r\n";

/// The response to a head for which no memory is left.
const NO_MEMORY: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\
      retry-after: 1\r\nanvil-outcome: not-run\r\n\r\n";

/// Maximum number of bytes read and discarded after the last response of a connection: twice the
/// largest body.
const MAX_DISCARDED_BYTES: u64 = 2 * codec::MAX_BODY_BYTES as u64;

/// Longest time for which bytes are read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Checks for an overdue head per header timeout.
const CHECKS_PER_TIMEOUT: u32 = 4;

/// Limits of the caller edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Connections open at once.
    pub connections: usize,
    /// Bytes of a request head.
    pub header_bytes: usize,
    /// Header lines of a request.
    pub header_count: usize,
    /// Longest time for a complete request head, from its first byte.
    pub header_wait: Duration,
    /// Longest idle time of a connection between requests, or before the first one.
    pub idle_wait: Duration,
    /// Limits of a request body.
    pub body: intake::BodyLimits,
    /// Longest time in which a caller takes no byte of its answer.
    pub answer_wait: Duration,
}

/// State shared by all connections of callers.
#[derive(Debug)]
pub struct CallerEdge {
    /// The queue of the reducer, which receives the calls.
    pub engine: engine::EngineSender,
    /// Parses requests and builds responses.
    pub dialect: Arc<dyn caller::CallerDialect>,
    /// Counts each cause.
    pub counters: counters::EdgeCounters,
    /// Holds the bodies of requests, and the answers until they are read.
    pub memory: memory::BodyMemory,
    /// Limits.
    pub limits: CallerLimits,
    /// Number of calls so far, from which unique handles are allocated.
    pub handles: AtomicU64,
}

/// Signals connections to finish, and lets the node wait until they have finished.
#[derive(Clone, Debug)]
pub struct DrainSignal {
    /// Becomes true when the process shuts down.
    pub closing: watch::Receiver<bool>,
    /// Held by each task that still has something to flush; the node waits until all are dropped.
    pub flush_guard: mpsc::Sender<()>,
}

/// Accepts connections of callers until the drain signal.
pub async fn serve(listener: TcpListener, edge: Arc<CallerEdge>, mut drain: DrainSignal) {
    let permits = Arc::new(Semaphore::new(edge.limits.connections));
    loop {
        let stream = tokio::select! {
            stream = listen::accept(&listener) => stream,
            _ = drain.closing.wait_for(|closing| *closing) => return,
        };
        // Connections beyond the limit are closed at once: each open connection costs memory, and
        // a caller that sees the close at once can use another node.
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            edge.counters.count(counters::EdgeCause::CallerOverLimit);
            continue;
        };
        edge.counters.count(counters::EdgeCause::CallerAccepted);
        let edge = edge.clone();
        let drain = drain.clone();
        tokio::spawn(async move {
            let _permit = permit;
            connection(stream, edge, drain).await;
        });
    }
}

async fn connection(stream: TcpStream, edge: Arc<CallerEdge>, mut drain: DrainSignal) {
    let _open = counters::GaugeGuard::hold(edge.counters.caller_connections());
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let head_timer = head_timer::HeadTimer::start();
    let pipeline = pipeline::RequestPipeline::new(edge.clone(), head_timer.clone());
    let (shared_edge, timer, shared_pipeline) =
        (edge.clone(), head_timer.clone(), pipeline.clone());
    let respond = service::service_fn(move |request| {
        let (edge, timer, pipeline) = (shared_edge.clone(), timer.clone(), shared_pipeline.clone());
        Box::pin(async move {
            timer.begin_body();
            let mut response = respond(&edge, &pipeline, request).await;
            pipeline.begin_writing(&response);
            if pipeline.end_serving() == pipeline::ConnectionDisposition::Close {
                set_connection_close(&mut response);
            }
            Ok::<_, Infallible>(response)
        })
    });
    let stream = pipeline::PipelinedStream::new(stream, pipeline.clone());
    let mut serving = builder(&edge.limits).serve_connection(TokioIo::new(stream), respond);
    let mut head_checks = tokio::time::interval(edge.limits.header_wait / CHECKS_PER_TIMEOUT);
    let (mut draining, mut closing) = (false, false);
    let end = loop {
        let step = future::poll_fn(|context| {
            loop {
                if draining && !closing && pipeline.may_shut_down() {
                    closing = true;
                    Pin::new(&mut serving).graceful_shutdown();
                }
                let polled = serving.poll_without_shutdown(context);
                // The step may have written the rest of the last answer, after which nothing wakes it.
                let may_close = draining && !closing && pipeline.may_shut_down();
                if polled.is_ready() || !may_close {
                    return polled;
                }
            }
        });
        tokio::select! {
            result = step => break ConnectionEnd::from_result(result),
            _ = head_checks.tick() => {
                if head_timer.is_overdue(edge.limits.header_wait) {
                    break ConnectionEnd::SlowHead;
                }
                if pipeline.is_unread_for(edge.limits.answer_wait) {
                    break ConnectionEnd::Unread;
                }
            }
            () = pipeline.evicted() => break ConnectionEnd::Unread,
            _ = drain.closing.wait_for(|closing| *closing), if !draining => {
                draining = true;
                pipeline.stop();
            }
        }
    };
    let mut stream = serving.into_parts().io.into_inner().into_inner();
    let end = match pipeline.lacks_memory() {
        true => ConnectionEnd::NoMemory,
        false => end,
    };
    match end.cause() {
        Some(cause) if end.frees_memory() => edge.memory.record_refusal(cause),
        Some(cause) => edge.counters.count(cause),
        None => {}
    }
    if let Some(response) = end.response() {
        // The connection closes even if the caller does not read the response.
        let _ = stream.write_all(response).await;
    }
    pipeline.release();
    close(stream).await;
}

/// Why a caller's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// The caller closed it, it was idle for too long, or the process shuts down.
    Normal,
    /// A head did not arrive in time.
    SlowHead,
    /// A head was malformed; the library has responded with 400.
    Malformed,
    /// A head was too large; the library has responded with 414 or 431.
    Oversized,
    /// No memory was left for a head.
    NoMemory,
    /// The caller did not read its answer.
    Unread,
}

impl ConnectionEnd {
    fn from_result(result: hyper::Result<()>) -> Self {
        match result {
            Err(error) if error.is_parse_too_large() => Self::Oversized,
            Err(error) if error.is_parse() => Self::Malformed,
            _ => Self::Normal,
        }
    }

    fn cause(self) -> Option<counters::EdgeCause> {
        match self {
            Self::Normal => None,
            Self::SlowHead => Some(counters::EdgeCause::CallerHeadSlow),
            Self::Malformed => Some(counters::EdgeCause::CallerHeadMalformed),
            Self::Oversized => Some(counters::EdgeCause::CallerHeadOversized),
            Self::NoMemory => Some(counters::EdgeCause::CallerBodyNoMemory),
            Self::Unread => Some(counters::EdgeCause::CallerAnswerUnread),
        }
    }

    /// Whether the connection ended for the sake of the memory for bodies.
    fn frees_memory(self) -> bool {
        matches!(self, Self::NoMemory | Self::Unread)
    }

    /// The response that the node writes itself, because the library wrote none.
    fn response(self) -> Option<&'static [u8]> {
        match self {
            Self::SlowHead => Some(SLOW_HEAD),
            Self::NoMemory => Some(NO_MEMORY),
            Self::Normal | Self::Malformed | Self::Oversized | Self::Unread => None,
        }
    }
}

/// Shuts down the writing side, then reads and discards what the caller still sends, within limits.
///
/// Closing a socket with unread bytes resets the connection, and the reset can discard a response
/// that the caller has not read yet: it would see a broken connection instead of, say, a 413.
async fn close(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut rest = stream.take(MAX_DISCARDED_BYTES);
    let mut sink = tokio::io::sink();
    let discarding = tokio::io::copy(&mut rest, &mut sink);
    // The result does not matter: the caller had time to read the response.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
}

fn builder(limits: &CallerLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_wait)
        .max_headers(limits.header_count)
        .max_buf_size(limits.header_bytes)
        .keep_alive(true)
        .half_close(false);
    builder
}

async fn respond(
    edge: &Arc<CallerEdge>,
    pipeline: &pipeline::RequestPipeline,
    request: Request<Incoming>,
) -> caller::FullResponse {
    match admit(edge, pipeline, request).await {
        Ok(response) => response,
        Err(refusal) => {
            match refusal {
                caller::IntakeRefusal::NoMemory | caller::IntakeRefusal::BodyOversized { .. } => {
                    edge.memory.record_refusal(intake::cause(&refusal));
                }
                _ => edge.counters.count(intake::cause(&refusal)),
            }
            refuse(edge, &refusal)
        }
    }
}

async fn admit(
    edge: &Arc<CallerEdge>,
    pipeline: &pipeline::RequestPipeline,
    request: Request<Incoming>,
) -> Result<caller::FullResponse, caller::IntakeRefusal> {
    let (head, body) = request.into_parts();
    let mut call = edge.dialect.read_head(&head)?;
    call.request.body = intake::read_body(body, edge.limits.body, &edge.memory).await?;
    pipeline.begin_serving();
    if let Some(early) = pipeline.take_early(&head.uri) {
        let reply = early.reply(edge).await;
        if !exchange::is_out_of_turn(&reply) {
            return Ok(edge.dialect.reply(reply));
        }
    }
    let started = exchange::start(edge, call).await;
    Ok(edge.dialect.reply(started.reply(edge).await))
}

fn refuse(edge: &CallerEdge, refusal: &caller::IntakeRefusal) -> caller::FullResponse {
    let mut response = edge.dialect.refused(refusal);
    if refusal.leaves_unread_body() {
        set_connection_close(&mut response);
    }
    response
}

fn set_connection_close(response: &mut caller::FullResponse) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(names::CONNECTION, close);
}
