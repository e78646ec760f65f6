//! The HTTP server of the admin edge.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_core::{answer, event};
use anvil_rules::yaml;
use eyre::WrapErr;
use rouille::{Request, Response};
use serde_json::json;

use super::{announcement, metrics, operator_request};
use crate::{counters, engine};

/// Threads that serve operators and the target.
const THREADS: usize = 8;

/// Longest wait for the reducer's answer, which includes the write of an accepted change to the
/// platform's store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest body, in bytes: the longest rules that are accepted.
const MAX_BODY_BYTES: u64 = yaml::MAX_TEXT_BYTES as u64;

/// State shared by all admin requests.
#[derive(Clone, Debug)]
pub struct AdminEdge {
    /// The queue of the reducer, which answers the requests.
    pub engine: engine::EngineSender,
    /// Exported by the metrics endpoint.
    pub counters: counters::EdgeCounters,
    /// The bearer token that operators must send; without one, all requests are authorised.
    pub token: Option<String>,
}

/// Binds `address` and serves it on separate threads; returns the bound address.
pub fn start(address: SocketAddr, edge: AdminEdge) -> eyre::Result<SocketAddr> {
    let handler = move |request: &Request| edge.respond(request);
    let server = rouille::Server::new(address, handler)
        .map_err(|error| eyre::eyre!("listen.admin: {address} can't be bound: {error}"))?
        .pool_size(THREADS);
    let bound = server.server_addr();
    let builder = std::thread::Builder::new().name("admin".to_owned());
    let thread = builder.spawn(move || server.run());
    thread.wrap_err("the admin thread could not be started")?;
    Ok(bound)
}

impl AdminEdge {
    fn respond(&self, request: &Request) -> Response {
        if !self.is_authorised(request) {
            self.counters.count(counters::EdgeCause::OperatorRefused);
            return problem(401, "a bearer token is needed");
        }
        let path = request.url();
        match (request.method(), path.as_str()) {
            ("GET", "/dump") => self.json(event::OperatorRequest::Dump),
            ("GET", "/status") => self.json(event::OperatorRequest::Status),
            ("GET", "/metrics") => self.metrics(),
            ("GET", "/rules") => self.rules(),
            ("GET", "/rules/history") => self.json(event::OperatorRequest::History),
            ("POST", "/rules") => self.apply(request),
            ("POST", "/explain") => self.explain(request),
            ("PUT", "/target") => self.announce(request),
            ("DELETE", "/target") => self.send_event(event::NodeEvent::TargetLeaving),
            _ => problem(404, "there is nothing here; see docs/OPERATIONS.md"),
        }
    }

    /// Whether the request has the right token.
    ///
    /// The comparison does not stop at the first difference, so its duration does not reveal how
    /// much of a guessed token is right.
    fn is_authorised(&self, request: &Request) -> bool {
        let Some(token) = &self.token else {
            return true;
        };
        let sent = request.header("authorization").unwrap_or_default();
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

    fn json(&self, request: event::OperatorRequest) -> Response {
        self.text("application/json", request)
    }

    fn rules(&self) -> Response {
        self.text("application/yaml", event::OperatorRequest::Rules)
    }

    fn text(&self, media_type: &'static str, request: event::OperatorRequest) -> Response {
        match self.request(request) {
            Some(Ok(answer)) => {
                let revision = answer.revision.to_string();
                Response::from_data(media_type, answer.text())
                    .with_unique_header(operator_request::REVISION_HEADER, revision)
            }
            Some(Err(refused)) => refusal(&refused),
            None => no_answer(),
        }
    }

    fn metrics(&self) -> Response {
        match self.request(event::OperatorRequest::Counters) {
            Some(answer) => {
                let reducer = answer.map(answer::OperatorAnswer::text).unwrap_or_default();
                let text = metrics::encode(&self.counters, &reducer);
                Response::from_data(metrics::MEDIA_TYPE, text)
            }
            None => no_answer(),
        }
    }

    fn explain(&self, request: &Request) -> Response {
        let parsed = body(request).and_then(|bytes| {
            let parsed = operator_request::parse_explain(&bytes);
            parsed.map_err(|error| problem(422, &error.to_string()))
        });
        self.respond_to_parsed(parsed)
    }

    fn apply(&self, request: &Request) -> Response {
        let parsed = body(request).and_then(|bytes| {
            let change = request.header(operator_request::CHANGE_HEADER);
            let author = request.header(operator_request::AUTHOR_HEADER);
            let base = request.header(operator_request::BASE_HEADER);
            let parsed = operator_request::parse_apply(&bytes, change, author, base);
            parsed.map_err(|error| invalid_request(&error))
        });
        self.respond_to_parsed(parsed)
    }

    fn respond_to_parsed(&self, parsed: Result<event::OperatorRequest, Response>) -> Response {
        match parsed {
            Ok(request) => self.json(request),
            Err(response) => {
                self.counters.count(counters::EdgeCause::OperatorRefused);
                response
            }
        }
    }

    fn announce(&self, request: &Request) -> Response {
        let parsed = body(request).and_then(|bytes| {
            let parsed = announcement::parse(&bytes);
            parsed.map_err(|error| problem(422, &error.to_string()))
        });
        match parsed {
            Ok(announcement) => self.send_event(event::NodeEvent::TargetAnnounced(announcement)),
            Err(response) => {
                let cause = counters::EdgeCause::AnnouncementRefused;
                self.counters.count(cause);
                response
            }
        }
    }

    fn send_event(&self, event: event::NodeEvent) -> Response {
        let input = engine::EngineInput::Event(event);
        match self.engine.send_timeout(input, ANSWER_TIMEOUT) {
            Ok(()) => Response::empty_204(),
            Err(_) => no_answer(),
        }
    }
}

/// Reads the whole body, or refuses it.
///
/// The HTTP library takes the end of the connection for the end of the body, even if the framing
/// says that more follows. The first part of some rules is often valid rules too, so the length is
/// checked here. Chunks are refused because the library does not say whether the last one arrived.
fn body(request: &Request) -> Result<Vec<u8>, Response> {
    if request.header("transfer-encoding").is_some() {
        let detail = "the body must have a content-length in place of a transfer coding";
        return Err(problem(411, detail));
    }
    let stated = request.header("content-length").unwrap_or("0");
    let Ok(stated) = stated.parse::<u64>() else {
        return Err(problem(400, "the content-length is not a number"));
    };
    let mut bytes = Vec::new();
    let Some(data) = request.data() else {
        return Ok(bytes);
    };
    let read = data.take(MAX_BODY_BYTES + 1).read_to_end(&mut bytes);
    if read.is_err() {
        return Err(problem(400, "the body broke off"));
    }
    let received = bytes.len() as u64;
    if received > MAX_BODY_BYTES {
        return Err(problem(413, "the body is above 4 MiB"));
    }
    if received != stated {
        let detail = format!("the body ended after {received} of {stated} bytes");
        return Err(problem(400, &detail));
    }
    Ok(bytes)
}

/// The response to a request that was refused before it reached the reducer; faults of rules are
/// listed one by one.
fn invalid_request(error: &operator_request::RequestError) -> Response {
    let operator_request::RequestError::Rules(faults) = error else {
        return problem(422, &error.to_string());
    };
    let body = json!({ "status": 422, "detail": error.to_string(), "faults": faults });
    Response::from_data("application/problem+json", body.to_string()).with_status_code(422)
}

/// The response to a request that the reducer refused.
///
/// The status says what happened to a change: 409 means that nothing was changed, and a 503 states
/// in `outcome` whether the change may have been made.
fn refusal(refused: &answer::OperatorRefusal) -> Response {
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
    Response::from_data("application/problem+json", body.to_string()).with_status_code(status)
}

/// The response if the reducer did not answer in time; a requested change may still be made.
fn no_answer() -> Response {
    let body = json!({
        "status": 503,
        "detail": "the node did not answer in time",
        "outcome": "unknown",
    });
    Response::from_data("application/problem+json", body.to_string()).with_status_code(503)
}

fn problem(status: u16, detail: &str) -> Response {
    let body = json!({ "status": status, "detail": detail });
    Response::from_data("application/problem+json", body.to_string()).with_status_code(status)
}
