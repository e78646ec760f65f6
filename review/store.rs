//! The platform's metadata store, as PROTOCOL.md tells it, without limits and impairments.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{Json, quote};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order; a removal has no item.
    events: Vec<(String, u64, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        state.0.lock().unwrap().revision = 100;
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.message() {
                        let (status, body) = answer(&shared, &request);
                        let length = body.len();
                        let text = format!(
                            "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
                        );
                        if connection.send(text.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let shared = state.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                let mut state = shared.0.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<u64> = state
                    .leases
                    .iter()
                    .filter(|(_, (until, _))| *until <= now)
                    .map(|(id, _)| *id)
                    .collect();
                for lease in ended {
                    state.leases.remove(&lease);
                    let keys: Vec<String> = state
                        .items
                        .iter()
                        .filter(|(_, item)| item.lease == lease)
                        .map(|(key, _)| key.clone())
                        .collect();
                    for key in keys {
                        state.remove(&key);
                    }
                }
                shared.1.notify_all();
            }
        });
        Self { address, state }
    }

    /// The operator writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((key.to_owned(), revision, Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((key.to_owned(), self.revision, None));
        }
    }
}

fn show(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"create_revision\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn answer(shared: &(Mutex<State>, Condvar), request: &Message) -> (u16, String) {
    let (path, query) = request
        .target()
        .split_once('?')
        .unwrap_or((request.target(), ""));
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode(value))
    };
    let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
    let mut state = shared.0.lock().unwrap();
    match (request.method(), path) {
        ("GET", "/kv-key") => {
            let key = parameter("key").unwrap_or_default();
            match state.items.get(&key) {
                Some(item) => {
                    let shown = show(&key, item);
                    let shown = shown.trim_end_matches('}');
                    (200, format!("{shown},\"at\":{}}}", state.revision))
                }
                None => (404, "{}".to_owned()),
            }
        }
        ("GET", "/kv-range") => {
            let prefix = parameter("prefix").unwrap_or_default();
            let after = parameter("after");
            let found = state.items.iter().filter(|(key, _)| {
                key.starts_with(&prefix) && after.as_ref().is_none_or(|after| *key > after)
            });
            let items: Vec<String> = found.map(|(key, item)| show(key, item)).collect();
            let at = state.revision;
            (
                200,
                format!(
                    "{{\"items\":[{}],\"has_more\":false,\"at\":{at}}}",
                    items.join(",")
                ),
            )
        }
        ("GET", "/kv-watch") => {
            let prefix = parameter("prefix").unwrap_or_default();
            let number = |name| {
                parameter(name)
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0)
            };
            let (after, wait): (u64, u64) = (number("after"), number("wait_ms"));
            let until = Instant::now() + Duration::from_millis(wait.min(30_000));
            loop {
                let events = state.events.iter();
                let found = events.filter(|(key, at, _)| *at > after && key.starts_with(&prefix));
                let found: Vec<String> = found
                    .map(|(key, at, item)| match item {
                        Some(item) => show(key, item),
                        None => {
                            format!(
                                "{{\"key\":{},\"revision\":{at},\"removed\":true}}",
                                quote(key)
                            )
                        }
                    })
                    .collect();
                let now = Instant::now();
                if !found.is_empty() || now >= until {
                    let at = state.revision;
                    return (
                        200,
                        format!("{{\"events\":[{}],\"at\":{at}}}", found.join(",")),
                    );
                }
                state = shared.1.wait_timeout(state, until - now).unwrap().0;
            }
        }
        ("POST", "/kv-txn") => {
            let revision_of =
                |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
            let expect = body.get("expect").list();
            let holds = |row: &Json| {
                revision_of(&state, row.get("key").text()) == row.get("revision").number()
            };
            if !expect.iter().all(holds) {
                let current = expect.iter().map(|row| {
                    let key = row.get("key").text();
                    match state.items.get(key) {
                        Some(item) => show(key, item),
                        None => format!("{{\"key\":{},\"revision\":0}}", quote(key)),
                    }
                });
                let current: Vec<String> = current.collect();
                return (412, format!("{{\"items\":[{}]}}", current.join(",")));
            }
            let puts = body.get("puts").list();
            let lease_known = |put: &Json| {
                let lease = put.get("lease").number();
                lease == 0 || state.leases.contains_key(&lease)
            };
            if !puts.iter().all(lease_known) {
                return (404, "{}".to_owned());
            }
            state.revision += 1;
            for put in puts {
                let (key, value) = (put.get("key").text(), put.get("value").text().to_owned());
                state.put(key, value, put.get("lease").number());
            }
            for key in body.get("remove").list() {
                state.remove(key.text());
            }
            shared.1.notify_all();
            (200, format!("{{\"revision\":{}}}", state.revision))
        }
        ("POST", "/kv-lease") => {
            let ttl = time(body.get("ttl_time").text()).max(Duration::from_secs(1));
            state.last_lease += 1;
            let lease = state.last_lease;
            state.leases.insert(lease, (Instant::now() + ttl, ttl));
            (
                200,
                format!(
                    "{{\"lease\":{lease},\"ttl_time\":\"{}ms\"}}",
                    ttl.as_millis()
                ),
            )
        }
        ("POST", path) if path.starts_with("/kv-keep/") => {
            let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
            match state.leases.get_mut(&lease) {
                Some((until, ttl)) => {
                    *until = Instant::now() + *ttl;
                    (200, format!("{{\"ttl_time\":\"{}ms\"}}", ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            }
        }
        ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
            let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
            if let Some((until, _)) = state.leases.get_mut(&lease) {
                *until = Instant::now();
            }
            (200, "{}".to_owned())
        }
        _ => (404, "{}".to_owned()),
    }
}

fn time(text: &str) -> Duration {
    let (digits, scale) = match text.strip_suffix("ms") {
        Some(digits) => (digits, 0.001),
        None => (text.trim_end_matches('s'), 1.0),
    };
    Duration::from_secs_f64(digits.parse().unwrap_or(0.0) * scale)
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place)) as usize & 63];
            out.push(if place <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    out
}
