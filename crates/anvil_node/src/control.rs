//! The control edge: notifications from the target and the platform, and readiness checks, in the
//! format of a dialect.
//!
//! The calls are small and arrive about once a second, so they share the runtime of the requests
//! instead of having separate threads.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anvil_edge::control;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::{counters, engine, listen};

/// Largest body of a call, in bytes; an announcement takes a few hundred.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Longest idle time of a connection, and longest time for a head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for a complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by all control connections.
#[derive(Debug)]
pub struct ControlEdge {
    /// The queue of the reducer, which receives the notifications.
    pub engine: engine::EngineSender,
    /// Parses calls and builds responses.
    pub dialect: Arc<dyn control::ControlDialect>,
    /// Whether callers should send this node work.
    pub ready: Arc<AtomicBool>,
    /// Counts refusals.
    pub counters: counters::EdgeCounters,
}

/// Accepts calls until the process exits: a stopping node still answers that it is not ready.
pub async fn serve(listener: TcpListener, edge: Arc<ControlEdge>) {
    loop {
        let stream = listen::accept(&listener).await;
        tokio::spawn(connection(stream, edge.clone()));
    }
}

async fn connection(stream: TcpStream, edge: Arc<ControlEdge>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let respond = service::service_fn(move |request| {
        let edge = edge.clone();
        async move { Ok::<_, Infallible>(edge.respond(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    // A failed connection needs no handling: the other side calls again.
    let _ = builder
        .serve_connection(TokioIo::new(stream), respond)
        .await;
}

impl ControlEdge {
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let outcome = match self.handle(request).await {
            Ok(outcome) => outcome,
            Err(refusal) => {
                self.counters
                    .count(counters::EdgeCause::AnnouncementRefused);
                log::warn!("control call refused: {refusal}");
                control::ControlOutcome::Refused(refusal)
            }
        };
        self.dialect.respond(&outcome).map(Full::new)
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<control::ControlOutcome, control::ControlRefusal> {
        let (head, body) = request.into_parts();
        let limited = Limited::new(body, MAX_BODY_BYTES).collect();
        let collected = tokio::time::timeout(BODY_TIMEOUT, limited).await;
        let Ok(Ok(collected)) = collected else {
            let reason = "the body is too large, broke off or did not come".to_owned();
            return Err(control::ControlRefusal::Malformed { reason });
        };
        let body = collected.to_bytes();
        let call = self
            .dialect
            .read(head.method.as_str(), head.uri.path(), &body)?;
        let event = match call {
            control::ControlCall::Readiness => {
                let ready = self.ready.load(Ordering::Relaxed);
                return Ok(control::ControlOutcome::Ready(ready));
            }
            control::ControlCall::Notify(event) => event,
        };
        // Once a notification is acknowledged, the target must not receive any request that the
        // notification excludes. So the response waits until the reducer has processed the event.
        let (accepted, done) = tokio::sync::oneshot::channel();
        let input = engine::EngineInput::Notification { event, accepted };
        if self.engine.send_async(input).await.is_err() || done.await.is_err() {
            return Err(control::ControlRefusal::Leaving);
        }
        Ok(control::ControlOutcome::Accepted)
    }
}
