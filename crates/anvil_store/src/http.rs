//! The HTTP client of the platform's store.
//!
//! `attohttpc` opens a connection for each call. That costs a millisecond, which would matter on
//! the path of a request but not here: a node calls the store a few times a minute.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvil_http::answer;
use anvil_types::store;
use attohttpc::header;
use bytes::Bytes;

use crate::{platform, protocol};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for an answer, in addition to the waiting time of a watch.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest body of an answer, in bytes: several documents of the largest size, which a watch may
/// return at once.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Client of a store with several addresses, which moves on to the next one if a call fails.
#[derive(Debug)]
pub struct HttpStore {
    addresses: Vec<SocketAddr>,
    preferred: AtomicUsize,
}

impl HttpStore {
    /// Creates a client of `addresses`; without any, every call is unavailable.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            preferred: AtomicUsize::new(0),
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        let index = self.preferred.load(Ordering::Relaxed);
        let index = index.checked_rem(self.addresses.len())?;
        self.addresses.get(index).copied()
    }

    fn use_next_address(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }
}

impl platform::PlatformStore for HttpStore {
    fn carry_out(&self, request: &store::StoreRequest) -> store::StoreOutcome {
        let Some(address) = self.address() else {
            return store::StoreOutcome::Unavailable;
        };
        let outcome = conclude(send(address, request), |status, headers, body| {
            read(request, status, headers, body)
        });
        if matches!(
            outcome,
            store::StoreOutcome::Unavailable | store::StoreOutcome::Unknown
        ) {
            self.use_next_address();
        }
        outcome
    }
}

fn send(
    address: SocketAddr,
    request: &store::StoreRequest,
) -> attohttpc::Result<attohttpc::Response> {
    let url = format!("http://{address}{}", protocol::request_target(request));
    let (method, body, wait) = match request {
        store::StoreRequest::Get { .. } | store::StoreRequest::List { .. } => {
            (attohttpc::Method::GET, Bytes::new(), Duration::ZERO)
        }
        store::StoreRequest::Watch { wait, .. } => (attohttpc::Method::GET, Bytes::new(), *wait),
        store::StoreRequest::Swap { value, .. } => {
            (attohttpc::Method::PUT, value.clone(), Duration::ZERO)
        }
        store::StoreRequest::Renew { .. } => (attohttpc::Method::PUT, Bytes::new(), Duration::ZERO),
        store::StoreRequest::Remove { .. } => {
            (attohttpc::Method::DELETE, Bytes::new(), Duration::ZERO)
        }
        store::StoreRequest::Grant { .. } => {
            (attohttpc::Method::POST, Bytes::new(), Duration::ZERO)
        }
    };
    attohttpc::RequestBuilder::new(method, url)
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(ANSWER_TIMEOUT + wait)
        .timeout(ANSWER_TIMEOUT + wait)
        .follow_redirects(false)
        .bytes(body)
        .send()
}

/// Determines the outcome of a call that was `sent`; shared by all HTTP clients of a store.
///
/// `read` gets the status, headers and body of a complete answer and returns nothing if the answer
/// is not understood. Without an answer that is understood, the outcome is unknown.
pub fn conclude<R>(sent: attohttpc::Result<attohttpc::Response>, read: R) -> store::StoreOutcome
where
    R: FnOnce(u16, &header::HeaderMap, Vec<u8>) -> Option<store::StoreOutcome>,
{
    let response = match sent {
        Ok(response) => response,
        Err(error) => {
            log::debug!("the store call failed: {error}");
            return outcome_of_failure(error);
        }
    };
    let status = response.status().as_u16();
    let answer = match answer::read_whole(response, MAX_BODY_BYTES) {
        Ok(answer) => answer,
        Err(error) => {
            log::warn!("the store's answer with status {status} is incomplete: {error}");
            return store::StoreOutcome::Unknown;
        }
    };
    read(status, &answer.headers, answer.body).unwrap_or_else(|| {
        log::warn!("the store's answer with status {status} is not understood");
        store::StoreOutcome::Unknown
    })
}

/// Distinguishes a call that was not sent from one with unknown outcome.
///
/// Only a refused connection proves that the call had no effect; after a timeout it may have had
/// one.
fn outcome_of_failure(error: attohttpc::Error) -> store::StoreOutcome {
    match error.into_kind() {
        attohttpc::ErrorKind::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            store::StoreOutcome::Unavailable
        }
        _ => store::StoreOutcome::Unknown,
    }
}

/// Parses an answer. Returns nothing if it is not understood.
fn read(
    request: &store::StoreRequest,
    status: u16,
    headers: &header::HeaderMap,
    body: Vec<u8>,
) -> Option<store::StoreOutcome> {
    let version = headers.get(protocol::VERSION_HEADER);
    let version = version.and_then(|text| text.to_str().ok()?.parse().ok());
    let version = version.map(store::StoreVersion);
    let body = Bytes::from(body);
    let entry = |key: &store::StoreKey| {
        Some(store::StoreEntry {
            key: key.clone(),
            version: version?,
            value: body.clone(),
        })
    };
    let reply = match (request, status) {
        // The platform answers 503 before a call has any effect.
        (_, 503) => return Some(store::StoreOutcome::Unavailable),
        (store::StoreRequest::Watch { .. }, 410) => {
            return Some(store::StoreOutcome::HistoryTrimmed);
        }
        (store::StoreRequest::Swap { key, .. } | store::StoreRequest::Remove { key, .. }, 412) => {
            let current = entry(key);
            return Some(store::StoreOutcome::Conflict { current });
        }
        (store::StoreRequest::Get { key }, 200) => store::StoreReply::Entry(Some(entry(key)?)),
        (store::StoreRequest::Get { .. }, 404) => store::StoreReply::Entry(None),
        (store::StoreRequest::Swap { .. }, 200) => store::StoreReply::Swapped { version: version? },
        (store::StoreRequest::Remove { .. }, 204) => store::StoreReply::Removed,
        (store::StoreRequest::Grant { .. }, 200) => {
            let text = std::str::from_utf8(&body).ok()?;
            let lease = store::LeaseId(text.trim().parse().ok()?);
            store::StoreReply::Granted { lease }
        }
        (store::StoreRequest::Renew { .. }, 204) => store::StoreReply::Renewed,
        (store::StoreRequest::Renew { .. }, 404) => store::StoreReply::Lapsed,
        (store::StoreRequest::List { .. } | store::StoreRequest::Watch { .. }, 200) => {
            let listed: protocol::ListedBody = serde_json::from_slice(&body).ok()?;
            listed.into_reply()?
        }
        _ => return None,
    };
    Some(store::StoreOutcome::Done(reply))
}
