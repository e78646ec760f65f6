//! HTTP server of the fake store, with faults that tests switch on and off.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use anvil_store::protocol;
use anvil_types::{store, time};
use bytes::Bytes;

use crate::store::fake;

/// Longest time between two checks of a waiting watch.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by the server's threads.
struct Shared {
    start: Instant,
    fake: Mutex<fake::FakeStore<u64>>,
    answer_delay: Mutex<Duration>,
    written: Condvar,
}

impl Shared {
    fn now(&self) -> time::NodeTime {
        time::NodeTime::START + self.start.elapsed()
    }

    fn fake(&self) -> MutexGuard<'_, fake::FakeStore<u64>> {
        self.fake.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running stand-in of the store, which stops when dropped.
pub struct StoreServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: mpsc::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl StoreServer {
    /// Starts on a free loopback port.
    pub fn start(seed: u64) -> eyre::Result<Self> {
        Self::bind(SocketAddr::from(([127, 0, 0, 1], 0)), seed)
    }

    /// Starts on a loopback address; `seed` determines which calls and answers are lost.
    pub fn bind(address: SocketAddr, seed: u64) -> eyre::Result<Self> {
        let shared = Arc::new(Shared {
            start: Instant::now(),
            fake: Mutex::new(fake::FakeStore::new(seed)),
            answer_delay: Mutex::new(Duration::ZERO),
            written: Condvar::new(),
        });
        let serving = Arc::clone(&shared);
        let server = rouille::Server::new(address, move |request| serve(&serving, request));
        let server = server
            .map_err(|error| eyre::eyre!("the stand-in of the store can't start: {error}"))?;
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self {
            shared,
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Its listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the injected faults from now on.
    pub fn set_faults(&self, faults: fake::StoreFaults) {
        self.shared.fake().faults = faults;
    }

    /// Delays every answer by `delay` from now on.
    pub fn set_answer_delay(&self, delay: Duration) {
        let mut current = self.shared.answer_delay.lock();
        if let Ok(current) = &mut current {
            **current = delay;
        }
    }

    /// Counts of calls so far.
    pub fn counts(&self) -> fake::CallCounts {
        self.shared.fake().counts()
    }

    /// All current entries.
    pub fn entries(&self) -> Vec<store::StoreEntry> {
        self.shared.fake().entries().cloned().collect()
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(shared: &Shared, request: &rouille::Request) -> rouille::Response {
    let delay = shared
        .answer_delay
        .lock()
        .map_or(Duration::ZERO, |delay| *delay);
    thread::sleep(delay);
    let Some(store_request) = parse_request(request) else {
        return rouille::Response::text("unknown request").with_status_code(400);
    };
    let outcome = match &store_request {
        store::StoreRequest::Watch { wait, .. } => wait_for(shared, &store_request, *wait),
        _ => {
            let outcome = shared.fake().carry_out(shared.now(), 0, &store_request);
            shared.written.notify_all();
            outcome
        }
    };
    answer(outcome.unwrap_or(store::StoreOutcome::Unknown))
}

/// Waits until a watch has new entries or its time is over.
fn wait_for(
    shared: &Shared,
    request: &store::StoreRequest,
    wait: Duration,
) -> Option<store::StoreOutcome> {
    let store::StoreRequest::Watch { prefix, seen, .. } = request else {
        return None;
    };
    let end = shared.now() + wait;
    let mut fake = shared.fake();
    // The watch counts as one call, however often it is checked.
    if let Some(refusal) = fake.admit(shared.now(), request) {
        return Some(refusal);
    }
    loop {
        if fake.faults.down {
            return None;
        }
        let outcome = fake.peek(prefix, *seen, shared.now() >= end);
        if outcome.is_some() {
            return outcome;
        }
        let waited = shared.written.wait_timeout(fake, WATCH_CHECK_INTERVAL);
        fake = match waited {
            Ok((fake, _)) => fake,
            Err(error) => error.into_inner().0,
        };
    }
}

fn parse_request(request: &rouille::Request) -> Option<store::StoreRequest> {
    let url = request.url();
    let number = |name: &str| request.get_param(name)?.parse::<u64>().ok();
    let duration = |name: &str| number(name).map(Duration::from_millis);
    let prefix = || Some(store::StoreKey::new(&request.get_param("prefix")?));
    match (request.method(), url.as_str()) {
        ("GET", "/list") => Some(store::StoreRequest::List {
            prefix: prefix()?,
            after: request
                .get_param("after")
                .map(|key| store::StoreKey::new(&key)),
            limit: u32::try_from(number("limit")?).ok()?,
        }),
        ("GET", "/watch") => Some(store::StoreRequest::Watch {
            prefix: prefix()?,
            seen: store::StoreVersion(number("seen")?),
            wait: duration("millis")?,
        }),
        ("POST", "/leases") => Some(store::StoreRequest::Grant {
            lease: duration("millis")?,
        }),
        ("PUT", path) if path.starts_with("/leases/") => {
            let lease = path.strip_prefix("/leases/")?.parse().ok()?;
            let lease = store::LeaseId(lease);
            Some(store::StoreRequest::Renew { lease })
        }
        (method, path) => parse_entry_request(request, method, path),
    }
}

fn parse_entry_request(
    request: &rouille::Request,
    method: &str,
    path: &str,
) -> Option<store::StoreRequest> {
    let key = store::StoreKey::new(path.strip_prefix("/kv/")?);
    let number = |name: &str| request.get_param(name)?.parse::<u64>().ok();
    match method {
        "GET" => Some(store::StoreRequest::Get { key }),
        "PUT" => {
            let condition = match request.get_param("base")?.as_str() {
                "absent" => store::SwapCondition::Absent,
                text => store::SwapCondition::At(store::StoreVersion(text.parse().ok()?)),
            };
            let mut value = Vec::new();
            request.data()?.read_to_end(&mut value).ok()?;
            let value = Bytes::from(value);
            let lease = number("lease").map(store::LeaseId);
            Some(store::StoreRequest::Swap {
                key,
                condition,
                value,
                lease,
            })
        }
        "DELETE" => {
            let version = store::StoreVersion(number("base")?);
            Some(store::StoreRequest::Remove { key, version })
        }
        _ => None,
    }
}

fn answer(outcome: store::StoreOutcome) -> rouille::Response {
    match outcome {
        store::StoreOutcome::Done(reply) => done(reply),
        store::StoreOutcome::Conflict { current } => entry(current).with_status_code(412),
        store::StoreOutcome::Unavailable => rouille::Response::text("down").with_status_code(503),
        store::StoreOutcome::HistoryTrimmed => {
            rouille::Response::text("gone").with_status_code(410)
        }
        // An answer that the client does not understand stands for a lost one.
        store::StoreOutcome::Unknown => rouille::Response::text("lost").with_status_code(502),
    }
}

fn done(reply: store::StoreReply) -> rouille::Response {
    match reply {
        store::StoreReply::Entry(None) => rouille::Response::empty_404(),
        store::StoreReply::Entry(found) => entry(found),
        store::StoreReply::Swapped { version } => rouille::Response::text("")
            .with_unique_header(protocol::VERSION_HEADER, version.to_string()),
        store::StoreReply::Removed | store::StoreReply::Renewed => rouille::Response::empty_204(),
        store::StoreReply::Granted { lease } => rouille::Response::text(lease.to_string()),
        store::StoreReply::Lapsed => rouille::Response::empty_404(),
        store::StoreReply::Listed {
            entries,
            seen,
            more,
        } => rouille::Response::json(&protocol::ListedBody::new(&entries, seen, more)),
    }
}

fn entry(found: Option<store::StoreEntry>) -> rouille::Response {
    match found {
        Some(entry) => {
            rouille::Response::from_data("application/octet-stream", entry.value.to_vec())
                .with_unique_header(protocol::VERSION_HEADER, entry.version.to_string())
        }
        None => rouille::Response::text(""),
    }
}
