//! Accepts callers and carries each request to the reducer and its reply back.

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

use super::{exchange, intake, pipeline, watched};
use crate::{counters, engine, listen};

/// The answer to a head that did not arrive in time; the HTTP library closes without one.
const SLOW_HEAD: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\
      anvil-outcome: not-run\r\n\r\n";

/// Most bytes read and dropped behind a refused request: twice the largest body.
const REST_BYTES: u64 = 2 * codec::MAX_BODY_BYTES as u64;

/// Longest wait for them.
const REST_WAIT: Duration = Duration::from_millis(1_000);

/// Looks at a connection's head for each limit of its wait.
const LOOKS_PER_WAIT: u32 = 4;

/// Limits of the caller edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Connections open at once.
    pub connections: usize,
    /// Bytes of a request head.
    pub header_bytes: usize,
    /// Header lines of a request.
    pub header_count: usize,
    /// Longest wait for a whole request head, from its first byte.
    pub header_wait: Duration,
    /// Longest rest of a connection between requests, or before the first one.
    pub idle_wait: Duration,
    /// Longest wait for a whole body.
    pub body_wait: Duration,
}

/// What every connection of callers works with.
#[derive(Debug)]
pub struct CallerEdge {
    /// Where calls go.
    pub engine: engine::EngineSender,
    /// How requests and replies look on the wire.
    pub dialect: Arc<dyn caller::CallerDialect>,
    /// Counts each cause.
    pub counters: counters::EdgeCounters,
    /// Limits.
    pub limits: CallerLimits,
    /// Calls so far, which makes handles unique.
    pub handles: AtomicU64,
}

/// Tells connections to finish, and lets the node wait until they have.
#[derive(Clone, Debug)]
pub struct DrainSignal {
    /// Turns true when the process leaves.
    pub closing: watch::Receiver<bool>,
    /// Held by each task that still has something to flush.
    pub alive: mpsc::Sender<()>,
}

/// Accepts callers until the drain signal.
pub async fn serve(listener: TcpListener, edge: Arc<CallerEdge>, mut drain: DrainSignal) {
    let places = Arc::new(Semaphore::new(edge.limits.connections));
    loop {
        let stream = tokio::select! {
            stream = listen::next(&listener) => stream,
            _ = drain.closing.wait_for(|closing| *closing) => return,
        };
        // Callers beyond the limit are closed at once: each held connection costs memory, and a
        // caller that is told at once can go to another node.
        let Ok(place) = places.clone().try_acquire_owned() else {
            edge.counters.count(counters::EdgeCause::CallerOverLimit);
            continue;
        };
        edge.counters.count(counters::EdgeCause::CallerAccepted);
        let edge = edge.clone();
        let drain = drain.clone();
        tokio::spawn(async move {
            let _place = place;
            connection(stream, edge, drain).await;
        });
    }
}

async fn connection(stream: TcpStream, edge: Arc<CallerEdge>, mut drain: DrainSignal) {
    let _open = counters::GaugeGuard::hold(edge.counters.caller_connections());
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let watch = watched::HeadWatch::start();
    let pipeline = pipeline::RequestPipeline::new(edge.clone(), watch.clone());
    let (serving, reading, turns) = (edge.clone(), watch.clone(), pipeline.clone());
    let respond = service::service_fn(move |request| {
        let (edge, watch, pipeline) = (serving.clone(), reading.clone(), turns.clone());
        Box::pin(async move {
            watch.begin_body();
            let mut response = respond(&edge, &pipeline, request).await;
            if pipeline.end_serving() == pipeline::ConnectionFate::Closing {
                say_close(&mut response);
            }
            Ok::<_, Infallible>(response)
        })
    });
    let stream = pipeline::PipelinedStream::new(stream, pipeline.clone());
    let mut serving = builder(&edge.limits).serve_connection(TokioIo::new(stream), respond);
    let mut looking = tokio::time::interval(edge.limits.header_wait / LOOKS_PER_WAIT);
    let (mut told, mut closing) = (false, false);
    let end = loop {
        let step = future::poll_fn(|context| {
            // Requests that began ahead of their turn are answered before the connection closes.
            if told && !closing && pipeline.is_settled() {
                closing = true;
                Pin::new(&mut serving).graceful_shutdown();
            }
            serving.poll_without_shutdown(context)
        });
        tokio::select! {
            result = step => break ConnectionEnd::of(result),
            _ = looking.tick() => {
                if watch.is_overdue(edge.limits.header_wait) {
                    break ConnectionEnd::SlowHead;
                }
            }
            _ = drain.closing.wait_for(|closing| *closing), if !told => {
                told = true;
                pipeline.stop();
            }
        }
    };
    let mut stream = serving.into_parts().io.into_inner().into_inner();
    if let Some(cause) = end.cause() {
        edge.counters.count(cause);
    }
    if end == ConnectionEnd::SlowHead {
        // A caller that reads nothing either is closed all the same.
        let _ = stream.write_all(SLOW_HEAD).await;
    }
    close(stream).await;
}

/// Why a caller's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// The caller closed it, it rested too long, or the process leaves.
    Quiet,
    /// A head took too long.
    SlowHead,
    /// A head was malformed; the library has answered 400.
    Malformed,
    /// A head was too large; the library has answered 414 or 431.
    Oversized,
}

impl ConnectionEnd {
    fn of(result: hyper::Result<()>) -> Self {
        match result {
            Err(error) if error.is_parse_too_large() => Self::Oversized,
            Err(error) if error.is_parse() => Self::Malformed,
            _ => Self::Quiet,
        }
    }

    fn cause(self) -> Option<counters::EdgeCause> {
        match self {
            Self::Quiet => None,
            Self::SlowHead => Some(counters::EdgeCause::CallerHeadSlow),
            Self::Malformed => Some(counters::EdgeCause::CallerHeadMalformed),
            Self::Oversized => Some(counters::EdgeCause::CallerHeadOversized),
        }
    }
}

/// Ends this side, then reads and drops what the caller still sends, within limits.
///
/// A socket closed with unread bytes resets the connection, and the reset can destroy the reply
/// that the caller has not read yet: it would see a broken connection in place of 413.
async fn close(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut rest = stream.take(REST_BYTES);
    let mut nowhere = tokio::io::sink();
    let dropping = tokio::io::copy(&mut rest, &mut nowhere);
    // Whatever comes of it, the reply had its chance.
    let _ = tokio::time::timeout(REST_WAIT, dropping).await;
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
            edge.counters.count(intake::cause(&refusal));
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
    call.request.body = intake::read_body(body, edge.limits.body_wait).await?;
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
        say_close(&mut response);
    }
    response
}

fn say_close(response: &mut caller::FullResponse) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(names::CONNECTION, close);
}
