//! A small HTTP client with pooled connections, for stand-in callers and targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::rt;

/// Header in which a caller names the service that it calls.
pub const SERVICE_HEADER: &str = "anvil-service";

/// Header with the outcome of a request: whether it ran.
pub const OUTCOME_HEADER: &str = "anvil-outcome";

/// Header with the parent token, which a target copies to its own calls.
pub const PARENT_HEADER: &str = "anvil-parent";

/// Header with the caller's remaining timeout, in milliseconds.
pub const TIMEOUT_HEADER: &str = "anvil-timeout-ms";

/// Header with the caller's idempotency key for a non-idempotent action.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with the root request's id.
pub const REQUEST_HEADER: &str = "anvil-request-id";

/// Header with the number of attempts that the entry node dispatched.
pub const ATTEMPTS_HEADER: &str = "anvil-attempts";

/// Header with the index of the rule that decided.
pub const RULE_HEADER: &str = "anvil-rule";

/// Why a request got no answer.
#[derive(Debug, Display, Error)]
pub enum ExchangeError {
    /// The timeout passed.
    #[display("timed out")]
    Timeout,
    /// The request could not be built.
    #[display("bad request: {_0}")]
    Request(http::Error),
    /// The connection failed.
    #[display("connection: {_0}")]
    Connection(legacy::Error),
    /// The answer is incomplete.
    #[display("answer: {_0}")]
    Answer(hyper::Error),
}

impl ExchangeError {
    /// Whether no connection was established, so that another address may be tried at once.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connection(error) if error.is_connect())
    }
}

/// One request of a stand-in.
#[derive(Clone, Debug)]
pub struct ClientRequest<'request> {
    /// Address to send it to.
    pub address: SocketAddr,
    /// Method.
    pub method: &'request str,
    /// Path.
    pub path: &'request str,
    /// Headers, in order.
    pub headers: &'request [(&'static str, String)],
    /// Body.
    pub body: Bytes,
    /// Longest wait for the complete answer.
    pub timeout: Duration,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl ClientAnswer {
    /// The value of a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let value = self.headers.get(name)?;
        value.to_str().ok()
    }
}

/// A client that keeps connections open between requests.
#[derive(Clone, Debug)]
pub struct PooledClient {
    inner: legacy::Client<connect::HttpConnector, Full<Bytes>>,
}

impl Default for PooledClient {
    fn default() -> Self {
        let mut connector = connect::HttpConnector::new();
        connector.set_nodelay(true);
        let builder = legacy::Client::builder(rt::TokioExecutor::new());
        Self {
            inner: builder.build(connector),
        }
    }
}

impl PooledClient {
    /// Sends a request and waits for its complete answer.
    pub async fn send(&self, request: ClientRequest<'_>) -> Result<ClientAnswer, ExchangeError> {
        let timeout = request.timeout;
        let exchange = self.exchange(request);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(ExchangeError::Timeout),
        }
    }

    async fn exchange(&self, request: ClientRequest<'_>) -> Result<ClientAnswer, ExchangeError> {
        let uri = format!("http://{}{}", request.address, request.path);
        let mut builder = http::Request::builder().method(request.method).uri(uri);
        for (name, value) in request.headers {
            builder = builder.header(*name, value);
        }
        let built = builder.body(Full::new(request.body));
        let built = built.map_err(ExchangeError::Request)?;
        let answer = self.inner.request(built).await;
        let answer = answer.map_err(ExchangeError::Connection)?;
        let (parts, body) = answer.into_parts();
        let body = body.collect().await.map_err(ExchangeError::Answer)?;
        Ok(ClientAnswer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}
