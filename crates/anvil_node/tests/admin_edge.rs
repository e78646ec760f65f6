//! Requests of operators and targets to the admin edge; invalid ones are refused, counted and
//! explained.

#![allow(clippy::unwrap_used)]

mod common;

use std::path::Path;

use anvil_node::admin::metrics;
use anvil_node::{counters, node, settings};
use anvil_testkit::test_cases;
use serde_json::Value;

fn get(pair: &common::Pair, path: &str) -> attohttpc::Response {
    let url = format!("http://{}{path}", pair.node.bound().admin);
    attohttpc::get(url).send().unwrap()
}

fn get_json(pair: &common::Pair, path: &str) -> Value {
    let response = get(pair, path);
    assert_eq!(response.status(), 200);
    serde_json::from_str(&response.text().unwrap()).unwrap()
}

#[test]
fn status_and_dump_are_json() {
    let pair = common::Pair::start("");
    let status = get_json(&pair, "/status");
    assert_eq!(status["zone"], "ar-centro-a");
    assert_eq!(status["node"], pair.node.bound().node.to_string());
    let dump = get_json(&pair, "/dump");
    assert!(dump["counters"].is_object(), "{dump}");
}

// Lists in the reducer's counters become one family for each field, labelled by account.
#[test]
fn metrics_of_accounts_are_labelled() {
    let counters = counters::EdgeCounters::new().unwrap();
    let reducer = r#"{"account": {"demand": [
        {"account": "defensa", "percent": 900}, {"account": "registro", "percent": 40}]}}"#;
    let text = metrics::encode(&counters, reducer);
    let family = "anvil_account_demand_percent";
    let types = format!("# TYPE {family} untyped\n");
    assert_eq!(text.matches(&types).count(), 1, "{text}");
    for (account, percent) in [("defensa", 900), ("registro", 40)] {
        let sample = format!("{family}{{account=\"{account}\"}} {percent}\n");
        assert!(text.contains(&sample), "{text}");
    }
}

#[test]
fn metrics_have_help_types_and_units() {
    let pair = common::Pair::start("");
    pair.assert_serving();
    let response = get(&pair, "/metrics");
    let text = response.text().unwrap();
    assert!(
        text.contains("anvil_edge_events_total{cause=\"target_connected\"} 1\n"),
        "{text}"
    );
    assert!(text.contains("anvil_calls_answered 1\n"), "{text}");
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    for sample in samples {
        let name = sample.split(['{', ' ']).next().unwrap();
        // The samples of a histogram are documented under the name of their family.
        let suffixes = ["_bucket", "_sum", "_count"];
        let families = suffixes.iter().filter_map(|end| name.strip_suffix(end));
        let histogram = |family: &&str| text.contains(&format!("# TYPE {family} histogram\n"));
        let name = families.into_iter().find(histogram).unwrap_or(name);
        for kind in ["HELP", "TYPE"] {
            let line = format!("# {kind} {name} ");
            assert!(text.contains(&line), "{sample} has no {kind}");
        }
    }
    let helps = text.lines().filter(|line| line.starts_with("# HELP"));
    for help in helps {
        assert!(help.contains(", in "), "no unit: {help}");
    }
}

#[test]
fn rules_are_returned_as_yaml() {
    let pair = common::Pair::start("");
    let response = get(&pair, "/rules");
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["content-type"], "application/yaml");
}

#[test]
fn explain_names_the_rule() {
    let pair = common::Pair::start("");
    let url = format!("http://{}/explain", pair.node.bound().admin);
    let body = r#"{"service":"audiencias","method":"POST","path":"/claims",
                   "headers":[["X-Role","clerk"],["X-Role","judge"]]}"#;
    let response = attohttpc::post(url).text(body).send().unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["anvil-revision"], "0");
    let body: Value = serde_json::from_str(&response.text().unwrap()).unwrap();
    assert_eq!(body["revision"], 0, "{body}");
    let reason = "no rule's condition holds, so the defaults decide";
    assert_eq!(body["rule"]["reason"], reason, "{body}");
    let decision = body["rule"]["decision"].as_array().unwrap();
    let idempotent = decision.iter().find(|field| field["field"] == "idempotent");
    assert_eq!(idempotent.unwrap()["from"], "method", "{body}");
}

fn check_apply(text: &str, base: &str, status: u16, field: &str, expected: &Value) {
    // `anvilctl` derives only from the status and these fields whether the rules were changed, and
    // why not.
    let pair = common::Pair::start("");
    let url = format!("http://{}/rules", pair.node.bound().admin);
    let request = attohttpc::post(url).header("anvil-change", "1f");
    let response = request
        .header("anvil-base", base)
        .text(text)
        .send()
        .unwrap();
    assert_eq!(response.status().as_u16(), status);
    let body: Value = serde_json::from_str(&response.text().unwrap()).unwrap();
    assert_eq!(body.pointer(field), Some(expected), "{body}");
}

test_cases! { check_apply:
    invalid_rules_list_every_fault => (
        "rules:\n- {name: A, then: {retries: 99}}", "0", 422, "/faults/1/field",
        &"rules[0].then.retries".into()
    ),
    another_base_is_a_conflict => ("rules: []", "5", 409, "/revision", &0.into()),
    rules_in_force_already_change_nothing => ("rules: []", "0", 200, "/edits", &0.into()),
    without_a_store_nothing_is_applied => (
        "rules: [{name: a, then: {}}]", "0", 503, "/outcome", &"not-applied".into()
    ),
}

fn refused(
    method: &str,
    path: &str,
    body: &str,
    status: u16,
    expected: &str,
    cause: counters::EdgeCause,
) {
    let pair = common::Pair::start("");
    let method = attohttpc::Method::from_bytes(method.as_bytes()).unwrap();
    let url = format!("http://{}{path}", pair.node.bound().admin);
    let request = attohttpc::RequestBuilder::new(method, url);
    let response = request.text(body).send().unwrap();
    assert_eq!(response.status().as_u16(), status);
    let text = response.text().unwrap();
    assert!(
        text.contains(expected),
        "{expected:?} is missing in: {text}"
    );
    pair.await_count(cause, 1);
    pair.assert_serving();
}

fn announcement_refused(body: &str, expected: &str) {
    refused(
        "PUT",
        "/target",
        body,
        422,
        expected,
        counters::EdgeCause::AnnouncementRefused,
    );
}

test_cases! {
    announcement_refused:
    no_json => ("slots: 4", "malformed"),
    empty_body => ("", "malformed"),
    unknown_field => (r#"{"service":"a","address":"127.0.0.1:1","slots":1,"connections":1,"lease_ms":1000,"weight":2}"#, "weight"),
    missing_field => (r#"{"service":"a","address":"127.0.0.1:1","connections":1,"lease_ms":1000}"#, "slots"),
    bad_service => (r#"{"service":"A B","address":"127.0.0.1:1","slots":1,"connections":1,"lease_ms":1000}"#, "a-z"),
    host_name => (r#"{"service":"a","address":"localhost:1","slots":1,"connections":1,"lease_ms":1000}"#, "malformed"),
    no_port => (r#"{"service":"a","address":"127.0.0.1:0","slots":1,"connections":1,"lease_ms":1000}"#, "connected"),
    no_address => (r#"{"service":"a","address":"0.0.0.0:1","slots":1,"connections":1,"lease_ms":1000}"#, "connected"),
    no_slots => (r#"{"service":"a","address":"127.0.0.1:1","slots":0,"connections":1,"lease_ms":1000}"#, "slots: 0"),
    negative_slots => (r#"{"service":"a","address":"127.0.0.1:1","slots":-1,"connections":1,"lease_ms":1000}"#, "-1"),
    absurd_slots => (r#"{"service":"a","address":"127.0.0.1:1","slots":4000000000,"connections":1,"lease_ms":1000}"#, "slots: 4000000000"),
    no_connections => (r#"{"service":"a","address":"127.0.0.1:1","slots":1,"connections":0,"lease_ms":1000}"#, "connections: 0"),
    short_lease => (r#"{"service":"a","address":"127.0.0.1:1","slots":1,"connections":1,"lease_ms":1}"#, "lease_ms: 1 "),
    endless_lease => (r#"{"service":"a","address":"127.0.0.1:1","slots":1,"connections":1,"lease_ms":600001}"#, "lease_ms: 600001"),
}

test_cases! {
    refused:
    explain_no_json => ("POST", "/explain", "GET /", 422, "malformed", counters::EdgeCause::OperatorRefused),
    explain_unknown_field => ("POST", "/explain", r#"{"service":"a","verb":"GET"}"#, 422, "verb", counters::EdgeCause::OperatorRefused),
    explain_bad_header => ("POST", "/explain", r#"{"service":"a","headers":[["a b","c"]]}"#, 422, "a b", counters::EdgeCause::OperatorRefused),
    rules_without_change => ("POST", "/rules", "rules: []", 422, "anvil-change", counters::EdgeCause::OperatorRefused),
}

#[test]
fn unknown_addresses_are_not_found() {
    let pair = common::Pair::start("");
    for path in ["/", "/nothing", "/dump/x"] {
        assert_eq!(get(&pair, path).status(), 404, "{path}");
    }
}

// After the target has announced that it is leaving, its node refuses requests as not run.
#[test]
fn a_leaving_target_gets_no_more_requests() {
    let pair = common::Pair::start("");
    pair.assert_serving();
    let url = format!("http://{}/target", pair.node.bound().admin);
    assert_eq!(attohttpc::delete(url).send().unwrap().status(), 204);
    let response = pair.request("POST", "/claims").text("one").send().unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["anvil-outcome"], "not-run");
    assert_eq!(pair.target.seen().len(), 1);
}

fn with_token(sent: Option<&str>, status: u16) {
    let yaml = format!("{}admin_token: open-sesame\n", common::yaml(""));
    let settings = settings::parse(&yaml, Path::new("test.yaml")).unwrap();
    let node = node::start(&settings).unwrap();
    let mut request = attohttpc::get(format!("http://{}/status", node.bound().admin));
    if let Some(sent) = sent {
        request = request.header("authorization", sent);
    }
    assert_eq!(request.send().unwrap().status().as_u16(), status);
}

test_cases! {
    with_token:
    right_token => (Some("Bearer open-sesame"), 200),
    no_token => (None, 401),
    wrong_token => (Some("Bearer open-sesamo"), 401),
    start_of_token => (Some("Bearer open"), 401),
    longer_token => (Some("Bearer open-sesame2"), 401),
}

/// Rules whose first lines are valid rules as well, longer than what the server reads ahead.
fn long_rules() -> String {
    let rule = |number: usize| format!("- name: rule-{number}\n  then: {{retries: 1}}\n");
    let rules: String = (0..100).map(rule).collect();
    format!("rules:\n{rules}")
}

/// Sends the head of a change of the rules and a body that ends before its framing says so.
fn post_cut_rules(pair: &common::Pair, framing: &str, body: &str) -> String {
    let head = "POST /rules HTTP/1.1\r\nhost: x\r\nanvil-change: 1f\r\nanvil-base: 0\r\n";
    let request = format!("{head}{framing}\r\n\r\n{body}");
    let stream = common::raw(pair.node.bound().admin, request.as_bytes());
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    common::read_to_close(stream)
}

// Guards against a part of the rules that is applied because its sender's connection ended.
fn check_cut_rules(framing: &str, body: &str, expected: &str) {
    let pair = common::Pair::start("");
    let answer = post_cut_rules(&pair, framing, body);
    assert!(answer.starts_with(expected), "{answer}");
    assert!(!answer.contains("not applied"), "{answer}");
    pair.await_count(counters::EdgeCause::OperatorRefused, 1);
    pair.assert_serving();
}

test_cases! {
    check_cut_rules:
    with_a_length => (&format!("content-length: {}", long_rules().len() + 1), &long_rules(), "HTTP/1.1 400 "),
    in_a_chunk => ("transfer-encoding: chunked", &format!("{:x}\r\n{}", long_rules().len() + 1, long_rules()), "HTTP/1.1 411 "),
    between_chunks => ("transfer-encoding: chunked", &format!("{:x}\r\n{}\r\n", long_rules().len(), long_rules()), "HTTP/1.1 411 "),
}
