//! Reconstruction of a request from logs.

#![allow(clippy::unwrap_used)]

#[allow(dead_code, reason = "other test files use the scripted node")]
mod common;

use std::fs;
use std::io::Write;
use std::path::Path;

use anvil_ctl::outcome;
use anvil_testkit::test_cases;
use serde_json::json;

const ROOT: &str = "8641db262ed6cd7f7abfb0b1a8e9e56a";
const REQUEST: &str = "fabae1d4d1230ae3";

/// A line of a node's log.
fn line(time: f64, facts: &serde_json::Value) -> String {
    format!("{{\"time\":{time:.6},\"level\":\"INFO\",\"facts\":{facts}}}")
}

fn call(request: &str, service: &str, end: (&str, Option<u16>), took: u64) -> serde_json::Value {
    json!({
        "event": "call-ended", "request": request, "root": ROOT, "service": service,
        "class": "normal", "lane": 189, "rule": { "revision": 4, "index": 2 },
        "verdict": end.0, "status": end.1, "attempts": 1, "reached": 1, "nodes": ["000000000000000b"],
        "refused": null, "refused_by": null, "took_ms": took, "left_ms": 495, "retry_after_ms": null,
    })
}

fn refused(mut call: serde_json::Value) -> serde_json::Value {
    call["refused"] = json!({ "cut": { "class": "normal", "lane": 42 } });
    call["refused_by"] = json!("000000000000000b");
    call
}

fn run(request: &str, end: (&str, Option<u16>), times: (u64, Option<u64>)) -> serde_json::Value {
    json!({
        "event": "run-ended", "request": request, "root": ROOT, "entry": "000000000000000a",
        "attempt": 1, "incarnation": "i-1", "verdict": end.0, "status": end.1,
        "queued_ms": times.0, "ran_ms": times.1, "running": 5, "queued": 32,
    })
}

fn serving(identity: &str) -> serde_json::Value {
    let text = format!("node serving: {}", json!({ "node": identity }));
    json!({ "event": "note", "text": text })
}

/// The logs of two nodes: a lookup whose second call is refused at a deep service, whereupon its
/// first call is cancelled.
fn logs_of_a_deep_refusal() -> Vec<(&'static str, Vec<String>)> {
    let (first, second) = (format!("{REQUEST}.1"), format!("{REQUEST}.2"));
    let entry = vec![
        line(0.5, &serving("000000000000000a")),
        line(
            10.290,
            &refused(call(&second, "expediente", ("not-run: shed", None), 20)),
        ),
        line(
            10.295,
            &call(&first, "expediente", ("may-have-run: cancelled", None), 30),
        ),
        line(
            10.300,
            &call(REQUEST, "portal", ("answered", Some(500)), 300),
        ),
    ];
    let deep = vec![
        line(0.5, &serving("000000000000000b")),
        line(10.289, &run(&second, ("not-run: shed", None), (0, None))),
        line(
            10.296,
            &run(&first, ("may-have-run: cancelled", None), (3, Some(24))),
        ),
    ];
    vec![("centro-a-1", entry), ("centro-b-2", deep)]
}

fn write(folder: &Path, logs: &[(&str, Vec<String>)]) {
    for (node, lines) in logs {
        fs::write(folder.join(format!("{node}.log")), lines.join("\n") + "\n").unwrap();
    }
}

fn run_story(id: &str, folder: &Path) -> outcome::CtlReport {
    common::run(&format!("story {id} {}", folder.display()))
}

// A caller got 500. Its lookup made two calls: one was refused by an overloaded deep service, and
// the other was cancelled because of that. For each id, the last line must name the refusal and not
// its consequences.
fn names_the_deepest_failure(id: &str) {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), &logs_of_a_deep_refusal());
    let report = run_story(id, folder.path());
    assert_eq!(report.status, outcome::ExitStatus::Done, "{}", report.err);
    let last = report.out.lines().last().unwrap();
    assert_eq!(
        last,
        "cause: the call to expediente from centro-a-1 ended not-run: shed, refused by \
         {\"cut\":{\"class\":\"normal\",\"lane\":42}} of centro-b-2 after one attempt at centro-b-2; at centro-b-2 \
         it waited 0 ms and never started, with 5 running and 32 waiting; the calls above it passed that on, \
         and the caller got answered 500"
    );
    assert_eq!(report.out.lines().count(), 7);
    assert_eq!(report.err, "");
}

test_cases! { names_the_deepest_failure:
    by_the_id_of_the_caller => (REQUEST),
    by_the_root => (ROOT),
    by_the_id_of_a_call_below => ("fabae1d4d1230ae3.1"),
}

fn attempt(number: u16, step: &serde_json::Value) -> serde_json::Value {
    let mut facts = json!({
        "event": "attempt", "request": REQUEST, "root": ROOT, "call": "000000000000000a-7",
        "attempt": number,
    });
    let facts = facts.as_object_mut().unwrap();
    facts.extend(step.as_object().unwrap().clone());
    serde_json::Value::Object(facts.clone())
}

// Guards against a second run of a request that its story does not show.
#[test]
fn lists_each_attempt_with_its_connection() {
    let exchange = json!({ "connection": 4, "position": 2, "unrelated": 0, "identity": "named" });
    let sent = json!({ "step": "sent", "to": "000000000000000b" });
    let ended = json!({
        "step": "ended", "run": 17, "verdict": "not-run: target-refused", "status": null,
        "exchange": exchange,
    });
    let settled =
        json!({ "step": "settled", "verdict": "not-run: target-refused", "status": null });
    let entry = vec![
        line(0.5, &serving("000000000000000a")),
        line(10.000, &attempt(2, &sent)),
        line(10.020, &attempt(2, &settled)),
    ];
    let target = vec![
        line(0.5, &serving("000000000000000b")),
        line(
            10.005,
            &attempt(
                2,
                &json!({ "step": "started", "run": 17, "incarnation": "i-7f", "report": 4, "report_age_ms": 310 }),
            ),
        ),
        line(10.010, &attempt(2, &ended)),
    ];
    let folder = tempfile::tempdir().unwrap();
    write(
        folder.path(),
        &[("centro-a-1", entry), ("centro-b-2", target)],
    );
    let report = run_story(REQUEST, folder.path());
    let lines: Vec<&str> = report.out.lines().skip(1).take(4).collect();
    assert_eq!(
        lines,
        [
            "   0.000 to   0.000 s  centro-a-1               attempt 2: sent to centro-b-2",
            "   0.005 to   0.005 s  centro-b-2               attempt 2: handed to the target as run 17, \
             on report 4 of i-7f from 310 ms before",
            "   0.010 to   0.010 s  centro-b-2               attempt 2: run 17 ended not-run: target-refused, \
             request 2 of connection 4, named, 0 unrelated answers",
            "   0.020 to   0.020 s  centro-a-1               attempt 2: taken as not-run: target-refused",
        ]
    );
}

// Lines must be in order of time and not of files, with the wait and the duration of each attempt.
#[test]
fn lists_entries_in_order_of_time() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), &logs_of_a_deep_refusal());
    let report = run_story(REQUEST, folder.path());
    let starts: Vec<f64> = report
        .out
        .lines()
        .filter_map(|line| line.split_whitespace().next()?.parse().ok())
        .collect();
    assert_eq!(starts.len(), 5);
    assert!(starts.is_sorted(), "{starts:?}");
    assert!(
        report
            .out
            .contains("waited 3 ms, ran 24 ms, 5 running and 32 waiting")
    );
}

// If callers send no ids, the lines of a request share only its root. A call that lies within
// another in time belongs to it, and a run is matched by its two nodes.
#[test]
fn reconstructs_requests_without_ids() {
    let without_id = |mut facts: serde_json::Value| {
        facts["request"] = json!(null);
        facts
    };
    let folder = tempfile::tempdir().unwrap();
    let deep = refused(call("", "expediente", ("not-run: queue-full", None), 204));
    let entry = vec![
        line(0.5, &serving("000000000000000a")),
        line(10.223, &without_id(deep)),
        line(
            10.224,
            &without_id(call("", "portal", ("answered", Some(503)), 224)),
        ),
    ];
    let target = vec![
        line(0.5, &serving("000000000000000b")),
        line(
            10.222,
            &without_id(run("", ("not-run: queue-full", None), (201, None))),
        ),
    ];
    write(
        folder.path(),
        &[("centro-a-1", entry), ("centro-b-2", target)],
    );
    let report = run_story(ROOT, folder.path());
    let last = report.out.lines().last().unwrap();
    assert!(
        last.contains("at centro-b-2 it waited 201 ms and never started"),
        "{last}"
    );
    assert!(last.ends_with("the caller got answered 503"), "{last}");
}

// The platform compresses its logs, and lines of several nodes may be in one stream, each preceded
// by its node's name. The output must be the same.
#[test]
fn reads_compressed_files_and_streams_with_node_names() {
    let plain = tempfile::tempdir().unwrap();
    write(plain.path(), &logs_of_a_deep_refusal());
    let compressed = tempfile::tempdir().unwrap();
    let file = fs::File::create(compressed.path().join("all.log.gz")).unwrap();
    let mut writer = flate2::write::GzEncoder::new(file, flate2::Compression::fast());
    for (node, lines) in logs_of_a_deep_refusal() {
        for line in lines {
            writeln!(writer, "  10.2900 {node} {line}").unwrap();
        }
    }
    writer.finish().unwrap();
    assert_eq!(
        run_story(REQUEST, compressed.path()),
        run_story(REQUEST, plain.path())
    );
}

// A full disk truncated one line, and another file contains a banner. Both lines must be reported
// with their positions, and the rest is used.
#[test]
fn reports_unreadable_lines() {
    let folder = tempfile::tempdir().unwrap();
    let mut logs = logs_of_a_deep_refusal();
    logs[0]
        .1
        .insert(1, "{\"time\":10.1,\"level\":\"IN".to_owned());
    logs[1].1.insert(0, "=== log begins ===".to_owned());
    write(folder.path(), &logs);
    let report = run_story(REQUEST, folder.path());
    assert_eq!(report.status, outcome::ExitStatus::Done);
    assert_eq!(
        report.err,
        "anvilctl: centro-a-1:2: not a line of a node's log\nanvilctl: centro-b-2:1: not a line of a node's log\n"
    );
    assert_eq!(report.out.lines().count(), 7);
}

// The clock of an instance was set back by three seconds. Its lines are ordered by its clock, and
// the output must mention the step.
#[test]
fn reports_a_clock_that_was_set_back() {
    let folder = tempfile::tempdir().unwrap();
    let mut logs = logs_of_a_deep_refusal();
    logs[1]
        .1
        .insert(1, line(13.5, &json!({ "event": "note", "text": "x" })));
    write(folder.path(), &logs);
    let report = run_story(REQUEST, folder.path());
    assert!(
        report
            .out
            .contains("the clock of centro-b-2 stepped back by 3.211 s"),
        "{}",
        report.out
    );
}

// An answered request has no cause of failure; its longest wait is reported.
#[test]
fn describes_an_answered_request() {
    let folder = tempfile::tempdir().unwrap();
    let entry = vec![line(
        10.3,
        &call(REQUEST, "portal", ("answered", Some(200)), 300),
    )];
    let target = vec![line(
        10.299,
        &run(REQUEST, ("answered", Some(200)), (40, Some(250))),
    )];
    write(
        folder.path(),
        &[("centro-a-1", entry), ("centro-b-2", target)],
    );
    let report = run_story(REQUEST, folder.path());
    let last = report.out.lines().last().unwrap();
    assert_eq!(
        last,
        "cause: none; answered 200 in one attempt, in 300 ms; the longest wait for a slot was 40 ms at centro-b-2"
    );
}

// The deadline of a lookup passed while a call two levels below waited for a slot. The cause must
// name that wait, although a different call exceeded the deadline.
#[test]
fn names_the_wait_that_used_up_the_deadline() {
    let folder = tempfile::tempdir().unwrap();
    let (first, deep) = (format!("{REQUEST}.1"), format!("{REQUEST}.1.1"));
    let late = ("may-have-run: deadline", None);
    let entry = vec![
        line(10.8, &call(REQUEST, "portal", late, 800)),
        line(10.8, &call(&first, "audiencias", late, 700)),
        line(
            10.801,
            &call(&deep, "expediente", ("may-have-run: cancelled", None), 632),
        ),
    ];
    let target = vec![line(
        10.802,
        &run(&deep, ("answered", Some(504)), (593, Some(39))),
    )];
    write(
        folder.path(),
        &[("centro-a-1", entry), ("centro-b-2", target)],
    );
    let report = run_story(REQUEST, folder.path());
    let last = report.out.lines().last().unwrap();
    assert!(
        last.contains("the longest wait for a slot was 593 ms at centro-b-2"),
        "{last}"
    );
}

// Without the entry node's log the result of the request is unknown, which the output must say.
#[test]
fn reports_a_missing_entry_node() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), &logs_of_a_deep_refusal()[1..]);
    let report = run_story(ROOT, folder.path());
    let last = report.out.lines().last().unwrap();
    assert_eq!(
        last,
        "cause: unknown; no entry node in these logs reports how the request ended"
    );
}

#[test]
fn an_unknown_id_has_its_own_exit_code() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), &logs_of_a_deep_refusal());
    let report = run_story("fabae1d4", folder.path());
    assert_eq!(report.status.code(), 6);
    assert_eq!(
        report.err,
        "anvilctl: no line of the 7 read names request fabae1d4\n"
    );
    assert_eq!(report.out, "");
}

fn refuses(line: &str, expected: &str) {
    let report = common::run(line);
    assert_eq!(report.status, outcome::ExitStatus::Usage);
    assert!(report.err.contains(expected), "{}", report.err);
}

test_cases! { refuses:
    missing_id => ("story", "a request's id and its logs are needed; see anvilctl story --help"),
    missing_logs => ("story abc", "a request's id and its logs are needed"),
    unknown_option => ("story abc --fast x.log", "unknown option --fast"),
    missing_file => ("story abc /nowhere/x.log", "/nowhere/x.log: No such file"),
}
