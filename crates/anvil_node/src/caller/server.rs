//! Accepts callers and carries each request to the reducer and its reply back.

use std::convert::Infallible;
use std::future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anvil_core::{effect, event};
use anvil_edge::caller;
use anvil_types::verdict;
use anvil_wire::codec;
use http::{HeaderValue, Request, header as names};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};

use super::{intake, watched};
use crate::{counters, engine, listen};

/// The answer to a head that did not arrive in time; the HTTP library closes without one.
const SLOW_HEAD: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\
      anvil-outcome: not-run\r\n\r\n";

/// Most bytes read and dropped behind a refused request: twice the largest body.
const REST_BYTES: u64 = 2 * codec::BODY_LIMIT as u64;

/// Longest wait for them.
const REST_WAIT: Duration = Duration::from_millis(1_000);

/// When to come back after a process that has left; its successor is seconds away.
const LEAVING_PAUSE: Duration = Duration::from_secs(1);

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
    let (serving, watching) = (edge.clone(), watch.clone());
    let respond = service::service_fn(move |request| {
        let (edge, watch) = (serving.clone(), watching.clone());
        Box::pin(async move {
            watch.begin_body();
            let response = respond(&edge, &watch, request).await;
            watch.end_serving();
            Ok::<_, Infallible>(response)
        })
    });
    let stream = watched::WatchedStream::new(stream, watch.clone());
    let mut serving = builder(&edge.limits).serve_connection(TokioIo::new(stream), respond);
    let mut looking = tokio::time::interval(edge.limits.header_wait / LOOKS_PER_WAIT);
    let mut told = false;
    let end = loop {
        let step = future::poll_fn(|context| serving.poll_without_shutdown(context));
        tokio::select! {
            result = step => break ConnectionEnd::of(result),
            _ = looking.tick() => {
                if watch.is_overdue(edge.limits.header_wait) {
                    break ConnectionEnd::SlowHead;
                }
            }
            _ = drain.closing.wait_for(|closing| *closing), if !told => {
                told = true;
                Pin::new(&mut serving).graceful_shutdown();
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
    watch: &watched::HeadWatch,
    request: Request<Incoming>,
) -> caller::WholeResponse {
    match admit(edge, watch, request).await {
        Ok(response) => response,
        Err(refusal) => {
            edge.counters.count(intake::cause(&refusal));
            refuse(edge, &refusal)
        }
    }
}

async fn admit(
    edge: &Arc<CallerEdge>,
    watch: &watched::HeadWatch,
    request: Request<Incoming>,
) -> Result<caller::WholeResponse, caller::IntakeRefusal> {
    let (head, body) = request.into_parts();
    let caller::CallHead { mut request, hints } = edge.dialect.read_head(&head)?;
    request.body = intake::read_body(body, edge.limits.body_wait).await?;
    watch.begin_serving();
    let handle = event::CallerHandle(edge.handles.fetch_add(1, Ordering::Relaxed) + 1);
    let (sender, reply) = oneshot::channel();
    let label = hints.label.clone();
    let arrival = event::NodeEvent::CallArrived {
        handle,
        request: Box::new(request),
        hints,
    };
    let input = engine::EngineInput::Call {
        arrival,
        handle,
        reply: sender,
    };
    let mut presence = CallerPresence {
        edge: edge.clone(),
        handle,
        waiting: true,
    };
    let began = Instant::now();
    let sent = edge.engine.send_async(input).await;
    if sent.is_err() {
        presence.waiting = false;
        let verdict = verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving);
        let reply = effect::CallerReply::without_answer(label, verdict, Some(LEAVING_PAUSE));
        return Ok(edge.dialect.reply(reply));
    }
    let replied = reply.await;
    presence.waiting = false;
    match replied {
        Ok(reply) => {
            let outcome = match reply.verdict {
                verdict::CallVerdict::Answered => counters::LatencyOutcome::Answered,
                verdict::CallVerdict::NotRun(_) => counters::LatencyOutcome::NotRun,
                verdict::CallVerdict::MayHaveRun(_) => counters::LatencyOutcome::MayHaveRun,
            };
            edge.counters.call_took(outcome, began.elapsed());
            Ok(edge.dialect.reply(*reply))
        }
        Err(_) => {
            // The process leaves by force while the request may be out.
            let verdict = verdict::CallVerdict::MayHaveRun(verdict::DoubtReason::Stopped);
            let reply = effect::CallerReply::without_answer(label, verdict, None);
            Ok(edge.dialect.reply(reply))
        }
    }
}

fn refuse(edge: &CallerEdge, refusal: &caller::IntakeRefusal) -> caller::WholeResponse {
    let mut response = edge.dialect.refused(refusal);
    if refusal.leaves_body() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(names::CONNECTION, close);
    }
    response
}

/// Tells the reducer when a caller leaves: the HTTP library drops the waiting future as soon as it
/// reads the end of the connection.
struct CallerPresence {
    edge: Arc<CallerEdge>,
    handle: event::CallerHandle,
    waiting: bool,
}

impl Drop for CallerPresence {
    fn drop(&mut self) {
        if !self.waiting {
            return;
        }
        self.edge.counters.count(counters::EdgeCause::CallerGone);
        let gone = event::NodeEvent::CallerGone {
            handle: self.handle,
        };
        let input = engine::EngineInput::Event(gone);
        let Err(flume::TrySendError::Full(input)) = self.edge.engine.try_send(input) else {
            return;
        };
        // A full queue must not lose the notice, or the target would work for nobody.
        let engine = self.edge.engine.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { engine.send_async(input).await });
        }
    }
}
