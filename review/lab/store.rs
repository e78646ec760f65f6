//! The platform's metadata store: keys, leases and watches, linearizable, as PROTOCOL describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Message};
use crate::json::{self, Json};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item as it was written; none for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    /// Serves at a free port of 127.0.0.1.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        store.data.0.lock().unwrap().revision = 100;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("its address");
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        (store, address)
    }

    /// Writes a value as the operator does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let (data, changed) = &*self.data;
        let mut data = data.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        write(&mut data, revision, key, encode(value), 0);
        changed.notify_all();
    }

    fn expire(&self) {
        let (data, changed) = &*self.data;
        let mut data = data.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            end_lease(&mut data, lease);
            changed.notify_all();
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            // The store takes 4 ms for an answer.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.respond(&request);
            let type_line = "Content-Type: application/json\r\n";
            if connection
                .write(&http::answer(status, "-", type_line, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let path = request
            .target()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        let body = std::str::from_utf8(&request.body)
            .ok()
            .and_then(Json::parse)
            .unwrap_or(Json::Null);
        if path == "/kv-watch" {
            return self.watch(request);
        }
        let (data, changed) = &*self.data;
        let mut data = data.lock().unwrap();
        match (request.method(), path.as_str()) {
            ("GET", "/kv-key") => {
                let key = request.query("key").unwrap_or_default();
                match data.items.get(&key) {
                    Some(item) => (200, show(&key, item, Some(data.revision))),
                    None => (404, format!("{{\"at\":{}}}", data.revision)),
                }
            }
            ("GET", "/kv-range") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let found = data
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = found
                    .take(501)
                    .map(|(key, item)| show(key, item, None))
                    .collect();
                let more = items.len() > 500;
                let items = items[..items.len().min(500)].join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"has_more\":{more},\"at\":{}}}",
                        data.revision
                    ),
                )
            }
            ("POST", "/kv-txn") => {
                let answer = change(&mut data, &body);
                changed.notify_all();
                answer
            }
            ("POST", "/kv-lease") => {
                let text = body
                    .get("ttl_time")
                    .and_then(Json::text)
                    .unwrap_or("1000ms")
                    .to_owned();
                let span = span(&text).max(Duration::from_millis(1000));
                data.next_lease += 1;
                let lease = 77_000 + data.next_lease;
                data.leases.insert(lease, (Instant::now() + span, span));
                (
                    200,
                    format!(
                        "{{\"lease\":{lease},\"ttl_time\":\"{}ms\"}}",
                        span.as_millis()
                    ),
                )
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match data.leases.get_mut(&lease) {
                    Some((until, span)) => {
                        *until = Instant::now() + *span;
                        (200, format!("{{\"ttl_time\":\"{}ms\"}}", span.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                end_lease(&mut data, lease);
                changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let (data, changed) = &*self.data;
        let mut data = data.lock().unwrap();
        loop {
            let news = data.history.iter();
            let news =
                news.filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<String> = news
                .map(|(revision, key, item)| match item {
                    Some(item) => show(key, item, None),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"removed\":true}}",
                        json::quote(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"at\":{}}}",
                        events.join(","),
                        data.revision
                    ),
                );
            }
            data = changed.wait_timeout(data, until - now).unwrap().0;
        }
    }
}

fn write(data: &mut Data, revision: u64, key: &str, value: String, lease: u64) {
    let created = data.items.get(key).map_or(revision, |item| item.created);
    let item = Item {
        value,
        revision,
        created,
        lease,
    };
    data.items.insert(key.to_owned(), item.clone());
    data.history.push((revision, key.to_owned(), Some(item)));
}

fn end_lease(data: &mut Data, lease: u64) {
    data.leases.remove(&lease);
    let keys: Vec<String> = data
        .items
        .iter()
        .filter(|(_, item)| item.lease == lease)
        .map(|(key, _)| key.clone())
        .collect();
    for key in keys {
        data.revision += 1;
        let revision = data.revision;
        data.items.remove(&key);
        data.history.push((revision, key, None));
    }
}

fn change(data: &mut Data, body: &Json) -> (u16, String) {
    let empty = Json::Null;
    let rows = |name: &str| body.get(name).unwrap_or(&empty).list().to_vec();
    let mut current = Vec::new();
    let mut fits = true;
    for row in rows("expect") {
        let key = row
            .get("key")
            .and_then(Json::text)
            .unwrap_or_default()
            .to_owned();
        let expected = row.get("revision").and_then(Json::number).unwrap_or(0);
        let item = data.items.get(&key);
        fits &= item.map_or(0, |item| item.revision) == expected;
        current.extend(item.map(|item| show(&key, item, None)));
    }
    if !fits {
        return (
            412,
            format!(
                "{{\"items\":[{}],\"at\":{}}}",
                current.join(","),
                data.revision
            ),
        );
    }
    let lease_of = |row: &Json| row.get("lease").and_then(Json::number).unwrap_or(0);
    let unknown = |row: &Json| lease_of(row) != 0 && !data.leases.contains_key(&lease_of(row));
    if rows("puts").iter().any(unknown) {
        return (404, "{}".to_owned());
    }
    data.revision += 1;
    let revision = data.revision;
    for row in rows("puts") {
        let key = row
            .get("key")
            .and_then(Json::text)
            .unwrap_or_default()
            .to_owned();
        let value = row
            .get("value")
            .and_then(Json::text)
            .unwrap_or_default()
            .to_owned();
        write(data, revision, &key, value, lease_of(&row));
    }
    for key in rows("remove") {
        let key = key.text().unwrap_or_default().to_owned();
        if data.items.remove(&key).is_some() {
            data.history.push((revision, key, None));
        }
    }
    (200, format!("{{\"revision\":{revision}}}"))
}

fn show(key: &str, item: &Item, at: Option<u64>) -> String {
    let at = at.map_or(String::new(), |at| format!(",\"at\":{at}"));
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"create_revision\":{},\"lease\":{}{at}}}",
        json::quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn span(text: &str) -> Duration {
    let (digits, scale) = match text.strip_suffix("ms") {
        Some(digits) => (digits, 0.001),
        None => (text.trim_end_matches('s'), 1.0),
    };
    Duration::from_secs_f64(digits.parse::<f64>().unwrap_or(1.0) * scale)
}

/// Standard base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * index)) as usize & 63];
            out.push(if index <= part.len() {
                char::from(sign)
            } else {
                '='
            });
        }
    }
    out
}
