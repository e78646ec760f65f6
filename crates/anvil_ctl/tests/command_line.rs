//! Command lines that contact no node.

#[allow(dead_code, reason = "other test files use the scripted node")]
mod common;

use anvil_ctl::{arguments, outcome};
use anvil_testkit::test_cases;

fn check_help(line: &str, expected: &str) {
    let report = common::run(line);
    assert_eq!(
        (report.status, report.err.as_str()),
        (outcome::ExitStatus::Done, "")
    );
    assert!(report.out.contains(expected), "{}", report.out);
}

test_cases! { check_help:
    overview => ("--help", "Exit codes:\n  0  done"),
    overview_by_name => ("help", "explain METHOD URL"),
    check => ("check --help", "Usage: anvilctl check FILE..."),
    apply => ("apply -h", "--wait-limit SPAN"),
    rules => ("rules --help", "anvilctl rules history"),
    status => ("status --help", "Usage: anvilctl status"),
    dump => ("dump --help", "Usage: anvilctl dump"),
    explain => ("explain --help", "-H, --header LINE"),
}

fn check_usage(line: &str, expected: &str) {
    let report = common::run(line);
    assert_eq!(report.status, outcome::ExitStatus::Usage);
    assert_eq!(report.status.code(), 2);
    assert_eq!(report.err, format!("anvilctl: {expected}\n"));
}

test_cases! { check_usage:
    no_command => ("--json", "a command is needed; see anvilctl --help"),
    unknown_command => ("aply x", "unknown command \"aply\"; see anvilctl --help"),
    no_file => ("check", "a rule file is needed; see anvilctl check --help"),
    unknown_option => ("check --fast a.yaml", "unknown option --fast"),
    no_node => ("status", "name a node with --node URL or $ANVIL_NODE"),
    node_without_scheme => (
        "status --node 10.0.0.1:7070",
        "--node 10.0.0.1:7070: a node's admin endpoint begins with http://"
    ),
    unexpected_argument => ("status --node http://x y", "unexpected argument \"y\""),
    invalid_duration => (
        "status --node http://x --timeout 5",
        "failed to parse '5': a duration such as 500ms or 30s is expected"
    ),
    rules_without_subcommand => (
        "rules --node http://x",
        "rules takes show or history; see anvilctl rules --help"
    ),
    invalid_header => (
        "explain GET http://a/ -H nothing --rules r.yaml",
        "failed to parse 'nothing': a header such as 'x-kind: claim' is expected"
    ),
    explain_without_url => (
        "explain GET --rules r.yaml",
        "a method and a URL are needed; see anvilctl explain --help"
    ),
    invalid_change => (
        "apply a.yaml --node http://x --change zz",
        "failed to parse 'zz': up to 32 hex digits are expected"
    ),
}

#[test]
fn checks_both_examples() {
    let reclamo = common::repository_file("examples/reclamo-simple/rules.yaml");
    let marche = common::repository_file("examples/marche-armor/rules.yaml");
    let report = common::run(&format!("check {reclamo} {marche}"));
    let expected = format!("{reclamo}: 6 rules, valid\n{marche}: 8 rules, valid\n");
    assert_eq!((report.out, report.err), (expected, String::new()));
    assert_eq!(report.status.code(), 0);
}

#[test]
fn reports_the_faults_of_one_file_and_checks_the_other() {
    let wrong = common::write_file("wrong.yaml", "rules:\n- {name: a, then: {retries: 99}}\n");
    let right = common::write_file("right.yaml", "rules: []\n");
    let report = common::run(&format!("check {wrong} {right}"));
    assert_eq!(report.status.code(), 1);
    assert_eq!(report.out, format!("{right}: 0 rules, valid\n"));
    let fault = format!("{wrong}:2:29: rules[0].then.retries: 99 is outside 0 to 32");
    let expected = format!("anvilctl: the rules are invalid\n{fault}\n");
    assert_eq!(report.err, expected);
}

#[test]
fn warns_of_unreachable_rules() {
    let text = "rules:\n- {name: all, then: {}}\n- {name: late, then: {}}\n";
    let file = common::write_file("shadow.yaml", text);
    let report = common::run(&format!("check {file}"));
    assert_eq!(report.status.code(), 0);
    let expected = format!(
        "warning: {file}:3: rule late is unreachable: rule all at line 2 matches everything that \
         it matches\n"
    );
    assert_eq!(report.err, expected);
}

#[test]
fn a_missing_file_is_reported() {
    let report = common::run("check /nowhere/rules.yaml");
    assert_eq!(report.status.code(), 2);
    let expected = "anvilctl: /nowhere/rules.yaml can't be read: No such file or directory";
    assert!(report.err.starts_with(expected), "{}", report.err);
}

#[test]
fn explains_a_request_by_a_file() {
    let file = common::repository_file("examples/reclamo-simple/rules.yaml");
    let line = format!("explain GET http://audiencias/hearings/3?full=1 --rules {file}");
    let report = common::run(&line);
    let expected = "\
rule:
  decision: 14
    field        from     value
    action       default  serve
    public       default  false
    send-to      default  the service that the caller names
    class        rule     high
    idempotent   rule     true
    retries      rule     2
    retry-ratio  default  10%
    backoff      default  20ms
    attempts     default  33
    objective    default  none
    deadline     rule     3s
    queue-wait   rule     300ms
    crash-limit  default  2
    quarantine   default  10m
  index: 1
  others_passed_over: 1
  passed_over: -
  reason: hearing-dates is the first rule whose whole condition holds
  rule: hearing-dates
service: audiencias
";
    assert_eq!(report.out, expected);
}

#[test]
fn explains_which_part_of_a_rule_differs() {
    let text = "rules:\n- {name: a, when: {headers: {x-kind: claim}}, then: {}}\n";
    let file = common::write_file("headers.yaml", text);
    let line = format!("explain POST http://mesa/claims -H x-kind:claims --rules {file} --json");
    let report = common::run(&line);
    assert!(
        report
            .out
            .contains(r#""passed_over":[{"differs":"headers","name":"a"}]"#)
    );
    assert!(
        report
            .out
            .contains("no rule's condition holds, so the defaults decide")
    );
}

#[test]
fn the_service_header_overrides_the_host() {
    let file = common::repository_file("examples/marche-armor/rules.yaml");
    let line = format!("explain POST http://10.0.0.1/bids -H anvil-service:bidding --rules {file}");
    let report = common::run(&line);
    assert!(report.out.contains("rule: bid\n"), "{}", report.out);
}

#[test]
fn every_command_in_the_documentation_is_parsed() {
    let pages = ["docs/ANVILCTL.md", "docs/RULES.md"];
    let pages = pages.map(|page| {
        let path = common::repository_file(page);
        std::fs::read_to_string(path).expect("the page is there")
    });
    let lines: Vec<&str> = pages
        .iter()
        .flat_map(|page| page.lines())
        .filter_map(|line| line.strip_prefix("$ anvilctl "))
        .collect();
    assert!(lines.len() >= 10, "{lines:?}");
    for line in lines {
        let words = line.split(' ').map(std::ffi::OsString::from).collect();
        let parsed = arguments::parse(words, &common::environment());
        assert!(parsed.is_ok(), "{line}: {parsed:?}");
    }
}

fn check_process(line: &str, code: i32, out: &str, err: &str) {
    let words = line.split(' ');
    let ended = std::process::Command::new(env!("CARGO_BIN_EXE_anvilctl"))
        .args(words)
        .env_clear()
        .output()
        .expect("the command starts");
    assert_eq!(ended.status.code(), Some(code));
    assert!(String::from_utf8_lossy(&ended.stdout).contains(out));
    assert!(String::from_utf8_lossy(&ended.stderr).contains(err));
}

test_cases! { check_process:
    the_process_reports_success => ("--help", 0, "Usage: anvilctl", ""),
    the_process_reports_faults => (
        &format!("check {}", common::write_file("list.yaml", "[]")), 1, "",
        "document: expected a map, found a list"
    ),
    the_process_reports_misuse => ("status", 2, "", "name a node with --node URL"),
    the_process_reports_an_unreachable_node => (
        "status --node http://127.0.0.1:1", 3, "", "the node can't be reached"
    ),
}
