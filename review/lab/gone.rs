//! Clients that send several requests at once and leave before they are answered.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::http::Connection;
use crate::upstream::{Options, unix_ms};

const HOST: &str = "hulo84.example";
const ZONES: [&str; 3] = ["tx-central-a", "tx-central-b", "tx-central-c"];
const DEADLINE: u64 = 5_000;

/// Work of a request.
const WORK: Duration = Duration::from_millis(2_500);

/// Time after which a client leaves: half of the objective.
const LEAVE: Duration = Duration::from_millis(750);

/// How a client sends its requests at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Two, of which the first has a short body in chunks.
    Chunked,
    /// Six with long heads.
    LongHeads,
}

/// Bytes of each long head; `max_header_bytes` is 16384.
const LONG_HEAD_BYTES: usize = 8_500;

/// Later requests of clients that have left which are not counted yet: "a few".
const ALLOWED_STARTS: usize = 5;

/// Clients, one after the other.
const CLIENTS: usize = 10;

/// Milliseconds after a close for which upstreams may still be at work.
const ALLOWED_WORK: u64 = 500;

fn desired_state() -> String {
    format!(
        "{{\"version\":\"r7\",\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\"route_type\",\
         \"timeout\",\"target_latency\",\"priority\",\"traffic_split\",\"attempts\",\"service\"],\"rows\":[\
         [\"r-one\",\"{HOST}\",\"/leny950/\",\"idempotent\",\"4000ms\",\"1500ms\",2,null,2,\"teller-view\"]]}},\
         \"services\":{{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\"protocol\",\
         \"tls_enabled\"],\"rows\":[[\"teller-view\",\"/health\",772,\"h1\",false]]}},\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}}}"
    )
}

/// The requests that a client sends at once, with their ids.
fn requests(fleet: &Fleet, kind: Kind) -> Vec<(String, String)> {
    let count = if kind == Kind::Chunked { 2 } else { 6 };
    let one = |index: usize| {
        let label = fleet.label();
        let method = if kind == Kind::Chunked && index == 0 {
            "PUT"
        } else {
            "GET"
        };
        let mut text = format!(
            "{method} /leny950/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {label}\r\nDeadline-Ms: {DEADLINE}\r\n"
        );
        if kind == Kind::LongHeads {
            text.push_str("Cookie: c=");
            text.push_str(&"y".repeat(LONG_HEAD_BYTES - text.len()));
            text.push_str("\r\n");
        }
        if method == "PUT" {
            text.push_str("Transfer-Encoding: chunked\r\n\r\n5\r\nclaim\r\n0\r\n\r\n");
        } else {
            text.push_str("\r\n");
        }
        (label, text)
    };
    (0..count).map(one).collect()
}

/// Sends some requests at once on one connection, and leaves or waits for the answers.
fn send_at_once(fleet: &Fleet, machine: usize, kind: Kind, leaves: bool) {
    let record = &fleet.record;
    let limit = Duration::from_millis(2 * DEADLINE);
    let Ok(mut connection) = Connection::open(fleet.outbound(machine), limit) else {
        record.note("client gets no connection");
        return;
    };
    let requests = requests(fleet, kind);
    for (label, text) in &requests {
        let line = text.split("\r\n").next().unwrap_or_default();
        record.note(format!(
            "client sends {label} {line} to machine-{machine} ({kind:?})"
        ));
        if connection.write(text.as_bytes()).is_err() {
            record.note("the node ended the connection");
            return;
        }
    }
    if leaves {
        thread::sleep(LEAVE);
        let _ = connection.stream.shutdown(std::net::Shutdown::Both);
        drop(connection);
        let at = unix_ms();
        for (label, _) in requests {
            record.note_at(at, format!("client has left {label} ({kind:?})"));
        }
        return;
    }
    for (label, _) in requests {
        match connection.read() {
            Ok(Some(answer)) => record.note(format!("client gets {} for {label}", answer.status())),
            _ => record.note(format!("client gets nothing for {label}")),
        }
    }
}

/// Clients leave while upstreams work on the requests that they sent at once.
pub fn pipelined(trouble: bool) {
    let root = PathBuf::from(std::env::var_os("ROOT").unwrap_or_else(|| ".".into()));
    let services = ["teller-view"; 4];
    let fleet = Fleet::new(&root, &services, &ZONES);
    fleet.store.put("op/config", desired_state().as_bytes());
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let options = Options {
        id: String::new(),
        service: String::new(),
        zone: ZONES[0].to_owned(),
        address: nowhere,
        control: nowhere,
        work: WORK,
        crash_path: String::new(),
        crash_after: Duration::ZERO,
        born: 0,
    };
    for index in 0..services.len() {
        fleet.start_node(index);
        fleet.start_upstream(index, &options);
    }
    fleet.wait_ready(Duration::from_secs(15));
    thread::sleep(Duration::from_secs(4));
    for kind in [Kind::Chunked, Kind::LongHeads] {
        thread::scope(|clients| {
            for count in 0..CLIENTS {
                let fleet = &fleet;
                clients.spawn(move || send_at_once(fleet, count % services.len(), kind, trouble));
                thread::sleep(Duration::from_millis(1_000));
            }
        });
    }
    thread::sleep(2 * WORK);
    judge(&fleet);
}

/// What upstreams did for clients that had left.
#[derive(Clone, Copy, Debug, Default)]
struct Left {
    /// Requests that would have lasted half a second longer than their clients.
    lasting: usize,
    /// Those of them on which an upstream was still at work then.
    at_work: usize,
    /// Requests that reached an upstream over half a second after their clients had left.
    started: usize,
}

impl Left {
    fn count(fleet: &Fleet, kind: Kind) -> Self {
        let lines = fleet.record.lines();
        let mut left = Self::default();
        for line in &lines {
            let label = line.text.strip_prefix("client has left ");
            let Some(label) = label.and_then(|text| text.strip_suffix(&format!(" ({kind:?})")))
            else {
                continue;
            };
            let until = line.at + ALLOWED_WORK;
            let runs = format!(" runs {label} ");
            let Some(began) = lines
                .iter()
                .find(|line| line.text.contains(&runs))
                .map(|line| line.at)
            else {
                continue;
            };
            if began > until {
                left.started += 1;
                continue;
            }
            if began + u64::try_from(WORK.as_millis()).unwrap_or(0) <= until {
                continue;
            }
            left.lasting += 1;
            let (completes, drops) = (format!(" completes {label}"), format!(" drops {label}"));
            let ended = lines
                .iter()
                .find(|line| line.text.ends_with(&completes) || line.text.ends_with(&drops));
            left.at_work += usize::from(ended.is_none_or(|line| line.at > until));
        }
        left
    }

    fn is_broken(self) -> bool {
        self.at_work * 4 > self.lasting || self.started > ALLOWED_STARTS
    }
}

/// Ends the case: 1 if the rule was broken.
fn judge(fleet: &Fleet) -> ! {
    let mut broken = false;
    for kind in [Kind::Chunked, Kind::LongHeads] {
        let left = Left::count(fleet, kind);
        broken |= left.is_broken();
        let verdict = format!(
            "GONE {} ({kind:?}): upstreams were still at work half a second after the close on {} of {} idempotent \
             requests that would have lasted so long (a quarter allowed); {} more reached an upstream over half \
             a second after the close",
            if left.is_broken() { "broken" } else { "held" },
            left.at_work,
            left.lasting,
            left.started
        );
        fleet.record.note(verdict.clone());
        println!("{verdict}");
    }
    fleet.end();
    std::process::exit(i32::from(broken));
}
