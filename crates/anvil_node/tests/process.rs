//! The real binary: its command line, its start and its graceful stop.

#![allow(clippy::unwrap_used)]

mod common;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::thread;

use anvil_standins::{http_target, process};
use anvil_testkit::test_cases;

const BINARY: &str = env!("CARGO_BIN_EXE_anvil-node");

fn run(arguments: &[&str]) -> Output {
    Command::new(BINARY).args(arguments).output().unwrap()
}

/// A folder of its own for each test and run, so that tests and whole runs can be side by side.
fn folder(name: &str) -> PathBuf {
    let own = format!("{name}-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(own);
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn says(arguments: &[&str], code: i32, expected: &str) {
    let output = run(arguments);
    let said = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{said}");
    assert!(said.contains(expected), "{said}");
}

test_cases! {
    says:
    help => (&["--help"], 0, "USAGE"),
    version => (&["--version"], 0, env!("CARGO_PKG_VERSION")),
    no_settings => (&[], 2, "--settings"),
    unknown_option => (&["--settings", "x.yaml", "--fast"], 2, "--fast"),
    missing_file => (&["--settings", "/nowhere.yaml"], 2, "/nowhere.yaml"),
    missing_file_checked => (&["--settings", "/nowhere.yaml", "--check-settings"], 2, "/nowhere.yaml"),
}

#[test]
fn check_settings_tells_good_from_bad() {
    let folder = folder("check_settings");
    let good = folder.join("good.yaml");
    fs::write(&good, common::yaml("")).unwrap();
    says(
        &["--check-settings", "--settings", good.to_str().unwrap()],
        0,
        "the settings are valid",
    );
    let bad = folder.join("bad.yaml");
    fs::write(&bad, common::yaml("  caller_connections: -1\n")).unwrap();
    says(
        &["--check-settings", "--settings", bad.to_str().unwrap()],
        2,
        "caller_connections",
    );
}

#[test]
fn a_taken_port_stops_the_start() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let caller = format!("caller: {}", taken.local_addr().unwrap());
    let settings = common::yaml("").replace("caller: 127.0.0.1:0", &caller);
    let file = folder("taken_port").join("node.yaml");
    fs::write(&file, settings).unwrap();
    says(&["--settings", file.to_str().unwrap()], 1, "listen.caller");
}

fn start(name: &str) -> process::NodeProcess {
    let folder = folder(name);
    let settings = common::yaml("");
    process::NodeProcess::start(&process::ProcessPlan {
        binary: Path::new(BINARY),
        folder: &folder,
        name: "node",
        settings: &settings,
    })
    .unwrap()
}

// Ten callers wait for a slow target when SIGTERM comes. All ten get their whole answer, new
// callers are told not-run, and only then the process ends, with exit code zero.
#[test]
fn a_planned_stop_cuts_no_request_in_progress() {
    let mut node = start("planned_stop");
    let caller = node.addresses().caller;
    let target = http_target::StandInTarget::start().unwrap();
    common::announce(node.addresses().admin, target.address(), common::SERVICE);
    let ask = move || {
        let request = common::request(caller, "POST", "/slow/1500").text("a claim");
        let response = request.send().unwrap();
        (response.status().as_u16(), response.text().unwrap())
    };
    let callers: Vec<_> = (0..10).map(|_| thread::spawn(ask)).collect();
    common::await_true("all run", || target.seen().len() == 10);
    node.terminate().unwrap();
    for caller in callers {
        assert_eq!(caller.join().unwrap(), (200, "a claim".to_owned()));
    }
    assert!(node.wait_end(common::PATIENCE).unwrap(), "exit code zero");
    assert_eq!(target.abandoned(), 0);
    // Whoever reads the log later sees both the request to stop and the end that followed it; a
    // process that was killed meanwhile has written the first alone.
    let log = fs::read_to_string(node.log()).unwrap();
    let place = |event: &str| log.find(&format!("\"event\":\"{event}\"")).unwrap();
    assert!(place("stopping") < place("stopped"), "{log}");
    assert!(log.contains("\"clean\":true"), "{log}");
}

// A caller waits for a target that hangs. The first SIGTERM lets it wait; the second one ends the
// process, and the caller learns that its request may have run instead of a broken connection.
#[test]
fn a_second_signal_forces_the_stop() {
    let mut node = start("forced_stop");
    let caller = node.addresses().caller;
    let target = http_target::StandInTarget::start().unwrap();
    common::announce(node.addresses().admin, target.address(), common::SERVICE);
    let asking = thread::spawn(move || {
        let request = common::request(caller, "POST", "/slow/60000").text("a claim");
        let response = request.send().unwrap();
        (
            response.status().as_u16(),
            response.headers()["anvil-outcome"].clone(),
        )
    });
    common::await_true("it runs", || target.seen().len() == 1);
    node.terminate().unwrap();
    // Two signals that are not yet taken count as one, so the second waits for the first.
    let status = format!("http://{}/status", node.addresses().admin);
    common::await_true("the first is taken", || {
        let response = attohttpc::get(&status).send().unwrap();
        response.text().unwrap().contains("Leaving")
    });
    assert!(!asking.is_finished(), "the first signal cuts nothing");
    node.terminate().unwrap();
    let (status, outcome) = asking.join().unwrap();
    assert_eq!(status, 502);
    assert_eq!(outcome, "may-have-run");
    assert!(node.wait_end(common::PATIENCE).unwrap(), "exit code zero");
}
