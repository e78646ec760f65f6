//! A request that crashes the upstreams that run it, and what lets it do so again and again.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, STABILITY_WINDOW};
use crate::upstream::{Options, unix_ms};

const HOST: &str = "hulo84.example";
const POISON_PATH: &str = "/leny950/poison";
const ZONES: [&str; 3] = ["tx-central-a", "tx-central-b", "tx-central-c"];

/// Time between two copies of the request.
const REPEAT: Duration = Duration::from_secs(4);

/// Retries that may reach upstreams later than the stability window after the third crash.
const ALLOWED_RETRIES: usize = 3;

/// Milliseconds that a client waits.
const DEADLINE: u64 = 5_000;

fn options(crash_path: &str, crash_after: u64) -> Options {
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    Options {
        id: String::new(),
        service: String::new(),
        zone: ZONES[0].to_owned(),
        address: nowhere,
        control: nowhere,
        work: Duration::from_millis(60),
        crash_path: crash_path.to_owned(),
        crash_after: Duration::from_millis(crash_after),
        born: 0,
    }
}

/// A desired state in which `/leny950/` goes to `service`, and `/puka111/` to the other one.
fn desired_state(version: u32, service: &str, attempts: u32) -> String {
    format!(
        "{{\"version\":\"r{version}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\"route_type\",\
         \"timeout\",\"target_latency\",\"priority\",\"traffic_split\",\"attempts\",\"service\"],\"rows\":[\
         [\"r-one\",\"{HOST}\",\"/leny950/\",\"idempotent\",\"4000ms\",\"1500ms\",2,null,{attempts},\"{service}\"],\
         [\"r-two\",\"{HOST}\",\"/puka111/\",\"idempotent\",\"4000ms\",\"1500ms\",2,null,2,\"renewal-desk\"]]}},\
         \"services\":{{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\"protocol\",\
         \"tls_enabled\"],\"rows\":[[\"teller-view\",\"/health\",772,\"h1\",false],\
         [\"renewal-desk\",\"/health\",1222,\"h1\",false]]}},\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}}}"
    )
}

/// The machines whose clients send the request; they are of one service, as its caller is always the
/// same.
const SENDERS: usize = 3;

/// Three upstreams of each of two services, each with its node; those of `renewal-desk` are crashed by
/// the request.
fn start(crash_after: u64, service: &str, attempts: u32) -> Fleet {
    let services = [
        "teller-view",
        "teller-view",
        "teller-view",
        "renewal-desk",
        "renewal-desk",
        "renewal-desk",
    ];
    let root = PathBuf::from(std::env::var_os("ROOT").unwrap_or_else(|| ".".into()));
    let fleet = Fleet::new(&root, &services, &ZONES);
    fleet
        .store
        .put("op/config", desired_state(7, service, attempts).as_bytes());
    fleet
        .record
        .note(format!("desired state r7: /leny950/ goes to {service}"));
    for index in 0..services.len() {
        fleet.start_node(index);
        let crash_path = if services[index] == "renewal-desk" {
            "/poison"
        } else {
            ""
        };
        fleet.start_upstream(index, &options(crash_path, crash_after));
    }
    fleet.wait_ready(Duration::from_secs(15));
    thread::sleep(Duration::from_secs(4));
    fleet
}

/// Other clients' usual requests, until the flag is set: one in a fifth of a second, of ten kinds.
fn background(fleet: &Fleet, machines: usize, ended: &AtomicBool) {
    let mut count = 0;
    while !ended.load(Ordering::SeqCst) {
        fleet.send(
            count % machines,
            HOST,
            &format!("/puka111/{}", count % 10),
            DEADLINE,
            None,
        );
        count += 1;
        thread::sleep(Duration::from_millis(200));
    }
}

/// The copies of the request that were run, in order: its id, when its client sent it, to which machine,
/// and when it crashed its upstream.
struct Copy {
    label: String,
    sent: u64,
    machine: String,
    crashed: u64,
}

fn crashes(fleet: &Fleet) -> Vec<Copy> {
    let lines = fleet.record.lines();
    let mut found = Vec::new();
    for line in &lines {
        let Some((_, label)) = line.text.split_once(" crashes by ") else {
            continue;
        };
        let label = label.split(' ').next().unwrap_or_default().to_owned();
        let sending = format!("client sends {label} ");
        let Some(sent) = lines.iter().find(|line| line.text.starts_with(&sending)) else {
            continue;
        };
        let machine = sent.text.rsplit(' ').next().unwrap_or_default().to_owned();
        found.push(Copy {
            label,
            sent: sent.at,
            machine,
            crashed: line.at,
        });
    }
    found
}

/// Ends the case: 1 if the rule was broken.
fn judge(fleet: &Fleet) -> ! {
    let found = crashes(fleet);
    let record = fleet.record.clone();
    let third = found.get(2).map(|copy| copy.crashed);
    let in_touch = |copy: &&Copy| {
        let changed = record.lines();
        let changed = changed.iter().filter(|line| {
            line.at <= copy.sent
                && (line.text == format!("node {} started", copy.machine)
                    || line.text == format!("node {} killed", copy.machine))
        });
        changed
            .map(|line| line.at)
            .max()
            .is_none_or(|at| at + STABILITY_WINDOW < copy.sent)
    };
    let late: Vec<&Copy> = found
        .iter()
        .filter(|copy| third.is_some_and(|third| copy.sent > third + STABILITY_WINDOW))
        .filter(in_touch)
        .collect();
    let broken = late.len() > ALLOWED_RETRIES;
    let ids: Vec<String> = late
        .iter()
        .map(|copy| format!("{} at {:.1} s", copy.label, record.seconds(copy.sent)))
        .collect();
    let verdict = format!(
        "BUDGET {}: {} crashes; third at {:.1} s; {} retries sent later than {} ms after it by machines in \
         touch reached an upstream ({} allowed): {}",
        if broken { "broken" } else { "held" },
        found.len(),
        third.map_or(0.0, |third| record.seconds(third)),
        late.len(),
        STABILITY_WINDOW,
        ALLOWED_RETRIES,
        ids.join(", ")
    );
    record.note_at(unix_ms(), verdict.clone());
    fleet.end();
    println!("{verdict}");
    std::process::exit(i32::from(broken));
}

/// The request is served until a change of the desired state moves its route to another service, whose
/// upstreams it crashes.
pub fn moved(trouble: bool) {
    let fleet = start(50, "teller-view", 2);
    for count in 0..6 {
        fleet.send(count % SENDERS, HOST, POISON_PATH, DEADLINE, None);
        thread::sleep(Duration::from_millis(500));
    }
    if trouble {
        fleet
            .store
            .put("op/config", desired_state(9, "renewal-desk", 2).as_bytes());
        fleet
            .record
            .note("desired state r9: /leny950/ goes to renewal-desk");
    }
    thread::sleep(Duration::from_millis(2_500));
    for count in 0..11 {
        fleet.send(count % SENDERS, HOST, POISON_PATH, DEADLINE, None);
        thread::sleep(REPEAT);
    }
    judge(&fleet);
}

/// The client of the request leaves before its deadline, each time, before the upstream crashes.
pub fn left(trouble: bool) {
    let fleet = Arc::new(start(1_000, "renewal-desk", 2));
    let machines = fleet.machines.len();
    let ended = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..4)
        .map(|_| {
            let (fleet, ended) = (fleet.clone(), ended.clone());
            thread::spawn(move || background(&fleet, machines, &ended))
        })
        .collect();
    // Half of the objective.
    let leave = trouble.then_some(Duration::from_millis(750));
    for count in 0..11 {
        fleet.send(count % SENDERS, HOST, POISON_PATH, DEADLINE, leave);
        thread::sleep(REPEAT);
    }
    ended.store(true, Ordering::SeqCst);
    others.into_iter().for_each(|other| drop(other.join()));
    judge(&fleet);
}

/// All nodes are killed at the same moment, after the third crash, and started again.
pub fn killed(trouble: bool) {
    let fleet = start(50, "renewal-desk", 1);
    let machines = fleet.machines.len();
    for count in 0..15 {
        fleet.send(count % SENDERS, HOST, POISON_PATH, DEADLINE, None);
        if count == 2 && trouble {
            thread::sleep(Duration::from_millis(500));
            (0..machines).for_each(|index| fleet.kill_node(index));
            thread::sleep(Duration::from_millis(500));
            (0..machines).for_each(|index| fleet.start_node(index));
            thread::sleep(Duration::from_secs(5));
        }
        thread::sleep(REPEAT);
    }
    judge(&fleet);
}
