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

/// A separate folder for each test and process, so that tests and test runs can be concurrent.
fn folder(name: &str) -> PathBuf {
    let unique = format!("{name}-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(unique);
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn check_output(arguments: &[&str], code: i32, expected: &str) {
    let output = run(arguments);
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(expected), "{text}");
}

test_cases! {
    check_output:
    help => (&["--help"], 0, "USAGE"),
    version => (&["--version"], 0, env!("CARGO_PKG_VERSION")),
    no_settings => (&[], 2, "--settings"),
    unknown_option => (&["--settings", "x.yaml", "--fast"], 2, "--fast"),
    missing_file => (&["--settings", "/nowhere.yaml"], 2, "/nowhere.yaml"),
    missing_file_checked => (&["--settings", "/nowhere.yaml", "--check-settings"], 2, "/nowhere.yaml"),
}

#[test]
fn check_settings_validates_the_file() {
    let folder = folder("check_settings");
    let valid = folder.join("valid.yaml");
    fs::write(&valid, common::yaml("")).unwrap();
    check_output(
        &["--check-settings", "--settings", valid.to_str().unwrap()],
        0,
        "the settings are valid",
    );
    let invalid = folder.join("invalid.yaml");
    fs::write(&invalid, common::yaml("  caller_connections: -1\n")).unwrap();
    check_output(
        &["--check-settings", "--settings", invalid.to_str().unwrap()],
        2,
        "caller_connections",
    );
}

#[test]
fn a_port_in_use_fails_the_start() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let caller = format!("caller: {}", listener.local_addr().unwrap());
    let settings = common::yaml("").replace("caller: 127.0.0.1:0", &caller);
    let file = folder("port_in_use").join("node.yaml");
    fs::write(&file, settings).unwrap();
    check_output(&["--settings", file.to_str().unwrap()], 1, "listen.caller");
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

// Ten callers wait for a slow target when SIGTERM arrives. All ten must get their complete answers
// before the process exits with code zero.
#[test]
fn a_planned_stop_completes_requests_in_progress() {
    let mut node = start("planned_stop");
    let caller = node.addresses().caller;
    let target = http_target::StandInTarget::start().unwrap();
    common::announce(node.addresses().admin, target.address(), common::SERVICE);
    let send_claim = move || {
        let request = common::request(caller, "POST", "/slow/1500").text("a claim");
        let response = request.send().unwrap();
        (response.status().as_u16(), response.text().unwrap())
    };
    let callers: Vec<_> = (0..10).map(|_| thread::spawn(send_claim)).collect();
    common::await_true("all requests run", || target.seen().len() == 10);
    node.terminate().unwrap();
    for caller in callers {
        assert_eq!(caller.join().unwrap(), (200, "a claim".to_owned()));
    }
    assert!(
        node.wait_end(common::TEST_TIMEOUT).unwrap(),
        "exit code zero"
    );
    assert_eq!(target.abandoned(), 0);
    // The log must contain both the request to stop and the end; a process that is killed meanwhile
    // writes only the first.
    let log = fs::read_to_string(node.log()).unwrap();
    let position = |event: &str| log.find(&format!("\"event\":\"{event}\"")).unwrap();
    assert!(position("stopping") < position("stopped"), "{log}");
    assert!(log.contains("\"clean\":true"), "{log}");
}

// A caller waits for a target that hangs. The first SIGTERM does not interrupt it. The second one
// stops the process, and the caller must get "may have run" instead of a broken connection.
#[test]
fn a_second_signal_forces_the_stop() {
    let mut node = start("forced_stop");
    let caller = node.addresses().caller;
    let target = http_target::StandInTarget::start().unwrap();
    common::announce(node.addresses().admin, target.address(), common::SERVICE);
    let waiting_caller = thread::spawn(move || {
        let request = common::request(caller, "POST", "/slow/60000").text("a claim");
        let response = request.send().unwrap();
        (
            response.status().as_u16(),
            response.headers()["anvil-outcome"].clone(),
        )
    });
    common::await_true("the request runs", || target.seen().len() == 1);
    node.terminate().unwrap();
    // Two pending signals are merged into one, so the second is sent after the first was handled.
    let status = format!("http://{}/status", node.addresses().admin);
    common::await_true("the first signal is handled", || {
        let response = attohttpc::get(&status).send().unwrap();
        response.text().unwrap().contains("Leaving")
    });
    assert!(
        !waiting_caller.is_finished(),
        "the first signal interrupts nothing"
    );
    node.terminate().unwrap();
    let (status, outcome) = waiting_caller.join().unwrap();
    assert_eq!(status, 502);
    assert_eq!(outcome, "may-have-run");
    assert!(
        node.wait_end(common::TEST_TIMEOUT).unwrap(),
        "exit code zero"
    );
}
