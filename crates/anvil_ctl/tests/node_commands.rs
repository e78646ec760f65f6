//! Commands that contact a node, run against a node with scripted answers.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use anvil_testkit::test_cases;
use common::{ScriptedAnswer, ScriptedNode, answer};

const CHANGE: &str = "00000000000000000000000000000abc";
const RULES: &str = "rules: []\n";

fn apply(
    script: Vec<ScriptedAnswer>,
    options: &str,
) -> (anvil_ctl::outcome::CtlReport, Vec<String>) {
    let node = ScriptedNode::start(script);
    let file = common::write_file("apply.yaml", RULES);
    let url = &node.url;
    let line = format!("apply {file} --node {url} --change abc --timeout 3s{options}");
    (common::run(&line), node.received())
}

fn rules() -> ScriptedAnswer {
    answer("GET", "/rules", 200, RULES)
}

fn check_apply(status: u16, body: &str, code: u8, expected: &str) {
    // The node's answer decides whether the operator is told that the change was applied, was not
    // applied, or that this is unknown.
    let history = answer("GET", "/rules/history", 200, r#"{"changes": []}"#);
    let (report, _) = apply(
        vec![rules(), history, answer("POST", "/rules", status, body)],
        "",
    );
    let output = format!("{}{}", report.out, report.err);
    assert_eq!(report.status.code(), code, "{output}");
    assert!(output.contains(expected), "{output}");
}

test_cases! { check_apply:
    accepted => (200, r#"{"revision": 8}"#, 0, "accepted as revision 8\n"),
    conflict => (
        409,
        r#"{"base": 7, "revision": 9,
            "others": [{"revision": 9, "author": "luis", "edits": ["remove bid"]}]}"#,
        1,
        "the rules are at revision 9 and your file was made from 7; nothing was changed\n  \
         revision 9 by luis:\n    remove bid\nfetch the rules with `anvilctl rules show`"
    ),
    faults => (
        422,
        r#"{"faults": [{"line": 3, "column": 5, "field": "rules[0].then", "reason": "wrong"}]}"#,
        1,
        "apply.yaml:3:5: rules[0].then: wrong\n"
    ),
    not_applied => (
        503,
        r#"{"detail": "not applied: the store is down", "outcome": "not-applied"}"#,
        1,
        "not applied: the store is down; nothing was changed, apply the file again later"
    ),
    unknown => (
        503,
        r#"{"detail": "the node did not answer in time", "outcome": "unknown"}"#,
        4,
        "repeat it safely with `anvilctl apply"
    ),
    internal_error => (500, "oops", 4, "oops, and the change is not in the node's history"),
    missing_token => (401, "", 1, "the node requires a token: give its file with --token-file"),
}

#[test]
fn a_lost_answer_is_resolved_from_the_history() {
    // The node applied the change but answered too late. The command must find the change's id in
    // the history and report it as accepted, without sending it twice.
    let unknown = answer("POST", "/rules", 503, r#"{"outcome": "unknown"}"#);
    let changes = format!(r#"{{"changes": [{{"revision": 8, "change": "{CHANGE}"}}]}}"#);
    let history = answer("GET", "/rules/history", 200, &changes);
    let (report, received) = apply(vec![rules(), unknown, history], "");
    assert_eq!(report.out, "accepted as revision 8\n");
    assert_eq!(report.status.code(), 0);
    let posts = received.iter().filter(|line| line.starts_with("POST"));
    assert_eq!(posts.count(), 1);
}

#[test]
fn sends_the_change_with_its_base_and_author() {
    let accepted = answer("POST", "/rules", 200, r#"{"revision": 8}"#);
    let (_, received) = apply(vec![rules(), accepted], "");
    let expected = format!("POST /rules anvil-author=ana anvil-base=7 anvil-change={CHANGE}");
    assert_eq!(received, ["GET /rules".to_owned(), expected]);
}

#[test]
fn a_copy_written_by_rules_show_is_applied_with_its_revision_as_base() {
    // An operator saves the rules at revision 7, edits the copy and applies it after another
    // operator's change. The copy's first line gives its base revision, so that the node can detect
    // the conflict.
    let accepted = answer("POST", "/rules", 200, r#"{"revision": 8}"#);
    let node = ScriptedNode::start(vec![rules(), accepted]);
    let shown = common::run(&format!("rules show --node {}", node.url));
    assert_eq!(shown.out, "# revision: 7\nrules: []\n");
    let copy = common::write_file("copy.yaml", &shown.out.replace('7', "3"));
    common::run(&format!("apply {copy} --node {}", node.url));
    let last = node.received().pop().expect("a request");
    assert!(last.contains(" anvil-base=3 "), "{last}");
}

#[test]
fn invalid_rules_are_not_sent() {
    let node = ScriptedNode::start(vec![rules()]);
    let file = common::write_file("never.yaml", "rules: 1\n");
    let report = common::run(&format!("apply {file} --node {}", node.url));
    assert_eq!(report.status.code(), 1);
    assert_eq!(node.received(), [""; 0]);
}

fn check_wait(status: &str, code: u8, expected: &str) {
    let accepted = answer("POST", "/rules", 200, r#"{"revision": 8}"#);
    let script = vec![rules(), accepted, answer("GET", "/status", 200, status)];
    let (report, _) = apply(script, " --wait --wait-limit 100ms");
    assert_eq!(report.status.code(), code);
    assert_eq!(format!("{}{}", report.out, report.err), expected);
}

test_cases! { check_wait:
    all_nodes_have_the_revision => (
        r#"{"rules": {"revision": 8, "members": 3, "in_force": 3, "lagging": []}}"#,
        0,
        "accepted as revision 8\nin force on all 3 nodes\n"
    ),
    one_node_is_lagging => (
        r#"{"rules": {"revision": 8, "members": 3, "in_force": 2,
                      "lagging": [{"node": "0f", "revision": 6}]}}"#,
        5,
        "accepted as revision 8\nanvilctl: in force on 2 of 3 nodes; lagging:\n  0f at revision 6\n\
         check again with `anvilctl status`; the change stays accepted\n"
    ),
    a_node_with_unknown_revision_is_lagging => (
        r#"{"rules": {"revision": 9, "members": 2, "in_force": 1,
                      "lagging": [{"node": "0e", "revision": null}]}}"#,
        5,
        "accepted as revision 8\nanvilctl: in force on 1 of 2 nodes; lagging:\n  0e, revision unknown\n\
         check again with `anvilctl status`; the change stays accepted\n"
    ),
    the_contacted_node_itself_is_lagging => (
        r#"{"rules": {"revision": 7, "members": 3, "in_force": 3, "lagging": []}}"#,
        5,
        "accepted as revision 8\nanvilctl: the node did not report the rollout of the revision\n"
    ),
}

#[test]
fn an_unreachable_node_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let report = common::run(&format!("status --node http://{address}"));
    assert_eq!(report.status.code(), 3);
    let expected = "anvilctl: the node can't be reached: no connection to http://127.0.0.1";
    assert!(report.err.starts_with(expected), "{}", report.err);
}

/// A node whose connections end after the first `length` bytes of `answer`; returns its URL.
fn start_cut_node(answer: &str, length: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let part = answer.as_bytes()[..length].to_vec();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a request");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).expect("a request");
        stream.write_all(&part).expect("the command reads");
    });
    format!("http://{address}")
}

// Guards against a shortened answer that is shown as the node's whole rules or state.
fn check_cut_answer(command: &str, body: &str) {
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nanvil-revision: 7\r\ncontent-length: {length}\r\n\r\n");
    let answer = format!("{head}{body}");
    for length in 0..answer.len() {
        let url = start_cut_node(&answer, length);
        let report = common::run(&format!("{command} --node {url} --timeout 3s"));
        let received = &answer[..length];
        assert_eq!(report.status.code(), 3, "{received:?}: {}", report.out);
        assert_eq!(report.out, "", "{received:?}");
    }
    let url = start_cut_node(&answer, answer.len());
    let report = common::run(&format!("{command} --node {url} --timeout 3s"));
    assert_eq!(report.status.code(), 0, "{}", report.err);
}

test_cases! { check_cut_answer:
    cut_rules => ("rules show", "rules:\n- {name: a, then: {retries: 1}}\n- {name: b, then: {retries: 2}}\n"),
    cut_status => ("status", r#"{"node": "1f"}"#),
    cut_dump => ("dump", r#"{"counters": {}}"#),
}

#[test]
fn sends_the_token_from_the_file() {
    let node = ScriptedNode::start(vec![answer("GET", "/status", 200, "{}")]);
    let file = common::write_file("token", "s3cret\n");
    let line = format!("status --node {} --token-file {file} --json", node.url);
    assert_eq!(common::run(&line).out, "{}\n");
    assert_eq!(node.received(), ["GET /status authorization=Bearer s3cret"]);
}

#[test]
fn shows_status_history_and_dump_as_text() {
    let status = r#"{"node": "1f", "peers": [{"node": "2f", "leaving": false}]}"#;
    let history =
        r#"{"changes": [{"revision": 1, "author": "ana", "edits": ["put bid at the end"]}]}"#;
    let node = ScriptedNode::start(vec![
        answer("GET", "/status", 200, status),
        answer("GET", "/rules/history", 200, history),
        answer("GET", "/dump", 200, r#"{"calls": []}"#),
    ]);
    let shown = |what: &str| common::run(&format!("{what} --node {}", node.url)).out;
    assert_eq!(
        shown("status"),
        "node: 1f\npeers: 1\n  node  leaving\n  2f    false\n"
    );
    let expected =
        "changes: 1\n  revision  author  edits\n  1         ana     put bid at the end\n";
    assert_eq!(shown("rules history"), expected);
    assert_eq!(shown("dump"), "calls: -\n");
}

#[test]
fn explains_by_the_rules_of_a_node() {
    let explained = answer(
        "POST",
        "/explain",
        200,
        r#"{"revision": 7, "rule": {"rule": "bid"}}"#,
    );
    let node = ScriptedNode::start(vec![explained]);
    let report = common::run(&format!(
        "explain POST http://bidding/bids --node {}",
        node.url
    ));
    assert_eq!(report.out, "revision: 7\nrule:\n  rule: bid\n");
}
