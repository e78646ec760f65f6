//! The HTTP client of the platform's store.
//!
//! `attohttpc` opens a connection for each call. That costs a millisecond, which matters on the
//! way of a request but not here: a node asks the store a few times a minute.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvil_types::store;
use attohttpc::header;
use bytes::Bytes;

use crate::{platform, protocol};

/// Longest wait for a connection.
const CONNECT_WAIT: Duration = Duration::from_secs(1);

/// Longest wait for an answer, beyond the time that a watch waits by itself.
const ANSWER_WAIT: Duration = Duration::from_secs(5);

/// Asks the store's addresses in turn, moving on where one is down.
#[derive(Debug)]
pub struct HttpStore {
    addresses: Vec<SocketAddr>,
    preferred: AtomicUsize,
}

impl HttpStore {
    /// Asks at `addresses`; without any, every call counts as unavailable.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            preferred: AtomicUsize::new(0),
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        let place = self.preferred.load(Ordering::Relaxed);
        let place = place.checked_rem(self.addresses.len())?;
        self.addresses.get(place).copied()
    }

    fn move_on(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }
}

impl platform::PlatformStore for HttpStore {
    fn carry_out(&self, ask: &store::StoreRequest) -> store::StoreOutcome {
        let Some(address) = self.address() else {
            return store::StoreOutcome::Unavailable;
        };
        let outcome = conclude(send(address, ask), |status, headers, body| {
            read(ask, status, headers, body)
        });
        if matches!(
            outcome,
            store::StoreOutcome::Unavailable | store::StoreOutcome::Unknown
        ) {
            self.move_on();
        }
        outcome
    }
}

fn send(address: SocketAddr, ask: &store::StoreRequest) -> attohttpc::Result<attohttpc::Response> {
    let url = format!("http://{address}{}", protocol::target_of(ask));
    let (method, body, wait) = match ask {
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
        .connect_timeout(CONNECT_WAIT)
        .read_timeout(ANSWER_WAIT + wait)
        .timeout(ANSWER_WAIT + wait)
        .follow_redirects(false)
        .bytes(body)
        .send()
}

/// What became of a call that was `sent`; every HTTP client of a store asks it.
///
/// `read` gets the status, the headers and the body of an answer that came whole, and gives none
/// where it makes no sense. What is not told by such an answer has an open fate.
pub fn conclude<R>(sent: attohttpc::Result<attohttpc::Response>, read: R) -> store::StoreOutcome
where
    R: FnOnce(u16, &header::HeaderMap, Vec<u8>) -> Option<store::StoreOutcome>,
{
    let response = match sent {
        Ok(response) => response,
        Err(error) => {
            log::debug!("the store can't be asked: {error}");
            return failed(error);
        }
    };
    let (status, headers, body) = response.split();
    let status = status.as_u16();
    let body = match body.bytes() {
        Ok(body) => body,
        Err(error) => {
            log::warn!("the store's answer, status {status}, broke off: {error}");
            return store::StoreOutcome::Unknown;
        }
    };
    read(status, &headers, body).unwrap_or_else(|| {
        log::warn!("the store's answer, status {status}, makes no sense");
        store::StoreOutcome::Unknown
    })
}

/// Tells a call that never left from one whose fate is open.
///
/// Only a refused connection is proof; a timeout may have struck before or behind the effect.
fn failed(error: attohttpc::Error) -> store::StoreOutcome {
    match error.into_kind() {
        attohttpc::ErrorKind::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            store::StoreOutcome::Unavailable
        }
        _ => store::StoreOutcome::Unknown,
    }
}

/// Reads the answer; none where it makes no sense.
fn read(
    ask: &store::StoreRequest,
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
    let reply = match (ask, status) {
        // The platform says 503 before it does anything.
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
