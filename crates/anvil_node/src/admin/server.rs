//! The HTTP server of the admin edge.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_core::{answer, event};
use anvil_edge::caller;
use anvil_rules::yaml;
use bytes::Bytes;
use eyre::WrapErr;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, request};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime;
use tokio::sync::Semaphore;

use super::{announcement, metrics, operator_request};
use crate::caller::intake;
use crate::{counters, engine, listen, memory};

/// Connections that are served at once; further ones wait.
const MAX_CONNECTIONS: usize = 32;

/// Bytes of a request head; an operator's token is its longest part.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Longest time for a head, and longest idle time of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for a complete body. The longest rules take this time at 3 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for the reducer's answer, which includes the write of an accepted change to the
/// platform's store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest body, in bytes: the longest rules that are accepted.
const MAX_BODY_BYTES: usize = yaml::MAX_TEXT_BYTES;

/// The path of the target's announcements.
const TARGET_PATH: &str = "/target";

/// Media type of refusals.
const PROBLEM_TYPE: &str = "application/problem+json";

/// State shared by all admin requests.
#[derive(Clone, Debug)]
pub struct AdminEdge {
    /// The queue of the reducer, which answers the requests.
    pub engine: engine::EngineSender,
    /// Exported by the metrics endpoint.
    pub counters: counters::EdgeCounters,
    /// The bearer token that operators must send; without one, all requests are authorised.
    pub token: Option<String>,
    /// Holds the bodies of requests.
    pub memory: memory::BodyMemory,
}

/// A request whose body was read.
#[derive(Debug)]
struct AdminRequest {
    head: request::Parts,
    body: Bytes,
}

impl AdminRequest {
    /// The value of a header as text.
    fn header(&self, name: &str) -> Option<&str> {
        header_text(&self.head.headers, name)
    }
}

type AdminResponse = Response<Full<Bytes>>;

/// Binds `address` and serves it on `runtime`; returns the bound address.
pub fn start(
    runtime: &runtime::Handle,
    address: SocketAddr,
    edge: AdminEdge,
) -> eyre::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(address);
    let listener = listener.wrap_err_with(|| format!("listen.admin: {address} can't be bound"))?;
    listener.set_nonblocking(true)?;
    let _entered = runtime.enter();
    let listener = TcpListener::from_std(listener)?;
    let bound = listener.local_addr()?;
    runtime.spawn(serve(listener, Arc::new(edge)));
    Ok(bound)
}

async fn serve(listener: TcpListener, edge: Arc<AdminEdge>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    while let Ok(permit) = permits.clone().acquire_owned().await {
        let stream = listen::accept(&listener).await;
        let edge = edge.clone();
        tokio::spawn(async move {
            let _permit = permit;
            connection(stream, edge).await;
        });
    }
}

async fn connection(stream: TcpStream, edge: Arc<AdminEdge>) {
    let respond = service::service_fn(move |request| {
        let edge = edge.clone();
        async move { Ok::<_, Infallible>(edge.serve(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        // A client that has sent its request may shut down its side before it reads the answer.
        .half_close(true);
    // A failed connection needs no handling: the other side calls again.
    let _ = builder
        .serve_connection(TokioIo::new(stream), respond)
        .await;
}

impl AdminEdge {
    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> AdminResponse {
        let (head, body) = request.into_parts();
        if !self.is_authorised(&head.headers) {
            self.counters.count(counters::EdgeCause::OperatorRefused);
            return problem(401, "a bearer token is needed");
        }
        let body = match read_body(&head.headers, body, &self.memory).await {
            Ok(body) => body,
            Err(response) => {
                self.counters.count(refusal_cause(head.uri.path()));
                return response;
            }
        };
        let request = AdminRequest { head, body };
        // Answers wait for the reducer and take long to encode, which must not delay other requests.
        let responding = tokio::task::spawn_blocking(move || self.respond(&request));
        responding.await.unwrap_or_else(|error| {
            log::error!("an admin request failed: {error}");
            problem(500, "the request failed; see the log of the node")
        })
    }

    fn respond(&self, request: &AdminRequest) -> AdminResponse {
        let path = request.head.uri.path();
        match (request.head.method.as_str(), path) {
            ("GET", "/dump") => self.json(event::OperatorRequest::Dump),
            ("GET", "/status") => self.json(event::OperatorRequest::Status),
            ("GET", "/metrics") => self.metrics(),
            ("GET", "/rules") => self.rules(),
            ("GET", "/rules/history") => self.json(event::OperatorRequest::History),
            ("POST", "/rules") => self.apply(request),
            ("POST", "/explain") => self.explain(request),
            ("PUT", TARGET_PATH) => self.announce(request),
            ("DELETE", TARGET_PATH) => self.send_event(event::NodeEvent::TargetLeaving),
            _ => problem(404, "there is nothing here; see docs/OPERATIONS.md"),
        }
    }

    /// Whether the request has the right token.
    ///
    /// The comparison does not stop at the first difference, so its duration does not reveal how
    /// much of a guessed token is right.
    fn is_authorised(&self, headers: &HeaderMap) -> bool {
        let Some(token) = &self.token else {
            return true;
        };
        let sent = header_text(headers, header::AUTHORIZATION.as_str()).unwrap_or_default();
        let expected = format!("Bearer {token}");
        let pairs = sent.bytes().zip(expected.bytes());
        let differing = pairs.fold(0, |bits, (a, b)| bits | (a ^ b));
        sent.len() == expected.len() && differing == 0
    }

    fn request(&self, request: event::OperatorRequest) -> Option<engine::OperatorAnswer> {
        let (reply, answer) = flume::bounded(1);
        let input = engine::EngineInput::Operator { request, reply };
        self.engine.send_timeout(input, ANSWER_TIMEOUT).ok()?;
        answer.recv_timeout(ANSWER_TIMEOUT).ok()
    }

    fn json(&self, request: event::OperatorRequest) -> AdminResponse {
        self.text("application/json", request)
    }

    fn rules(&self) -> AdminResponse {
        self.text("application/yaml", event::OperatorRequest::Rules)
    }

    fn text(&self, media_type: &'static str, request: event::OperatorRequest) -> AdminResponse {
        match self.request(request) {
            Some(Ok(answer)) => {
                let revision = HeaderValue::from(answer.revision.0);
                let mut response = response(200, media_type, answer.text());
                let headers = response.headers_mut();
                headers.insert(operator_request::REVISION_HEADER, revision);
                response
            }
            Some(Err(refused)) => refusal(&refused),
            None => no_answer(),
        }
    }

    fn metrics(&self) -> AdminResponse {
        match self.request(event::OperatorRequest::Counters) {
            Some(answer) => {
                let reducer = answer.map(answer::OperatorAnswer::text).unwrap_or_default();
                let text = metrics::encode(&self.counters, &reducer);
                response(200, metrics::MEDIA_TYPE, text)
            }
            None => no_answer(),
        }
    }

    fn explain(&self, request: &AdminRequest) -> AdminResponse {
        let parsed = operator_request::parse_explain(&request.body);
        self.respond_to_parsed(parsed.map_err(|error| problem(422, &error.to_string())))
    }

    fn apply(&self, request: &AdminRequest) -> AdminResponse {
        let change = request.header(operator_request::CHANGE_HEADER);
        let author = request.header(operator_request::AUTHOR_HEADER);
        let base = request.header(operator_request::BASE_HEADER);
        let parsed = operator_request::parse_apply(&request.body, change, author, base);
        self.respond_to_parsed(parsed.map_err(|error| invalid_request(&error)))
    }

    fn respond_to_parsed(
        &self,
        parsed: Result<event::OperatorRequest, AdminResponse>,
    ) -> AdminResponse {
        match parsed {
            Ok(request) => self.json(request),
            Err(response) => {
                self.counters.count(counters::EdgeCause::OperatorRefused);
                response
            }
        }
    }

    fn announce(&self, request: &AdminRequest) -> AdminResponse {
        match announcement::parse(&request.body) {
            Ok(announcement) => self.send_event(event::NodeEvent::TargetAnnounced(announcement)),
            Err(error) => {
                let cause = counters::EdgeCause::AnnouncementRefused;
                self.counters.count(cause);
                problem(422, &error.to_string())
            }
        }
    }

    fn send_event(&self, event: event::NodeEvent) -> AdminResponse {
        let input = engine::EngineInput::Event(event);
        match self.engine.send_timeout(input, ANSWER_TIMEOUT) {
            Ok(()) => {
                let mut response = AdminResponse::default();
                *response.status_mut() = StatusCode::NO_CONTENT;
                response
            }
            Err(_) => no_answer(),
        }
    }
}

/// The cause that a request with an unusable body is counted under.
fn refusal_cause(path: &str) -> counters::EdgeCause {
    match path {
        TARGET_PATH => counters::EdgeCause::AnnouncementRefused,
        _ => counters::EdgeCause::OperatorRefused,
    }
}

/// Reads the whole body, or refuses it.
///
/// The first part of some rules is often valid rules too, so a body whose connection ends early is
/// refused.
async fn read_body(
    headers: &HeaderMap,
    body: Incoming,
    memory: &memory::BodyMemory,
) -> Result<Bytes, AdminResponse> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        let detail = "the body must have a content-length in place of a transfer coding";
        return Err(problem(411, detail));
    }
    let limits = intake::BodyLimits {
        bytes: MAX_BODY_BYTES,
        wait: BODY_TIMEOUT,
    };
    let read = intake::read_body(body, limits, memory).await;
    read.map_err(|refusal| match refusal {
        caller::IntakeRefusal::BodyOversized { .. } => problem(413, "the body is above 4 MiB"),
        caller::IntakeRefusal::BodySlow => problem(408, "the body took too long"),
        caller::IntakeRefusal::NoMemory => problem(503, "no memory is left for the body"),
        _ => problem(400, "the body broke off"),
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn response(status: u16, media_type: &'static str, body: String) -> AdminResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let media_type = HeaderValue::from_static(media_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    response
}

/// The response to a request that was refused before it reached the reducer; faults of rules are
/// listed one by one.
fn invalid_request(error: &operator_request::RequestError) -> AdminResponse {
    let operator_request::RequestError::Rules(faults) = error else {
        return problem(422, &error.to_string());
    };
    let body = json!({ "status": 422, "detail": error.to_string(), "faults": faults });
    response(422, PROBLEM_TYPE, body.to_string())
}

/// The response to a request that the reducer refused.
///
/// The status says what happened to a change: 409 means that nothing was changed, and a 503 states
/// in `outcome` whether the change may have been made.
fn refusal(refused: &answer::OperatorRefusal) -> AdminResponse {
    let detail = refused.to_string();
    let (status, extra) = match refused {
        answer::OperatorRefusal::Conflict {
            base,
            revision,
            others,
        } => (
            409,
            json!({ "base": base, "revision": revision, "others": others }),
        ),
        answer::OperatorRefusal::NotApplied { .. } => (503, json!({ "outcome": "not-applied" })),
        answer::OperatorRefusal::Unknown { .. } => (503, json!({ "outcome": "unknown" })),
    };
    let mut body = json!({ "status": status, "detail": detail });
    if let (Some(fields), serde_json::Value::Object(extra)) = (body.as_object_mut(), extra) {
        fields.extend(extra);
    }
    response(status, PROBLEM_TYPE, body.to_string())
}

/// The response if the reducer did not answer in time; a requested change may still be made.
fn no_answer() -> AdminResponse {
    let body = json!({
        "status": 503,
        "detail": "the node did not answer in time",
        "outcome": "unknown",
    });
    response(503, PROBLEM_TYPE, body.to_string())
}

fn problem(status: u16, detail: &str) -> AdminResponse {
    let body = json!({ "status": status, "detail": detail });
    response(status, PROBLEM_TYPE, body.to_string())
}
