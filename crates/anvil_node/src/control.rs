//! Addresses at which the target and the platform around the node tell it things and ask whether it
//! is ready, in the words of a dialect.
//!
//! The calls are small and come about once a second, so they share the runtime of the requests
//! instead of having threads.

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

/// Largest body of a call, in bytes; an announcement takes some hundreds.
const BODY_LIMIT: usize = 64 * 1024;

/// Longest rest of a connection, and longest wait for a head.
const REST_LIMIT: Duration = Duration::from_secs(30);

/// Longest wait for a whole body.
const BODY_WAIT: Duration = Duration::from_secs(2);

/// What every control connection works with.
#[derive(Debug)]
pub struct ControlEdge {
    /// Where what is told goes.
    pub engine: engine::EngineSender,
    /// How calls look on the wire.
    pub dialect: Arc<dyn control::ControlDialect>,
    /// Whether callers should send this node work.
    pub ready: Arc<AtomicBool>,
    /// Counts refusals.
    pub counters: counters::EdgeCounters,
}

/// Accepts calls until the process ends: a stopping node still says that it is not ready.
pub async fn serve(listener: TcpListener, edge: Arc<ControlEdge>) {
    loop {
        let stream = listen::next(&listener).await;
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
        .header_read_timeout(REST_LIMIT);
    // Whoever breaks off a call asks again.
    let _ = builder
        .serve_connection(TokioIo::new(stream), respond)
        .await;
}

impl ControlEdge {
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let outcome = match self.take(request).await {
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

    async fn take(
        &self,
        request: Request<Incoming>,
    ) -> Result<control::ControlOutcome, control::ControlRefusal> {
        let (head, body) = request.into_parts();
        let limited = Limited::new(body, BODY_LIMIT).collect();
        let collected = tokio::time::timeout(BODY_WAIT, limited).await;
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
        // The acknowledgement binds: from it on, the target gets nothing that it said it won't
        // take. So it is given only once the reducer has taken the event in.
        let (taken, done) = tokio::sync::oneshot::channel();
        let input = engine::EngineInput::Told { event, taken };
        if self.engine.send_async(input).await.is_err() || done.await.is_err() {
            return Err(control::ControlRefusal::Leaving);
        }
        Ok(control::ControlOutcome::Accepted)
    }
}
