//! Parsing of rule files: accepted documents and the messages of faults.

use std::time::Duration;

use anvil_rules::{document, parse, render};
use anvil_testkit::test_cases;
use anvil_types::{context, treatment};

fn parsed(text: &str) -> document::RuleDocument {
    parse::parse_rules("rules.yaml", text).expect("valid rules")
}

#[test]
fn reads_every_field() {
    let document = parsed(
        "rules:
  - name: submit-claim
    when:
      host: [Portal.example, api.example]
      service: [mesa-entradas, 'portal-*']
      method: POST
      path: [/claims, '/claims/*/evidence', '/bundles/**']
      headers:
        X-Kind: claim
        idempotency-key: {present: true}
        x-test: {present: false}
    then:
      action: serve
      send-to: [{service: mesa-entradas, weight: 90}, {service: mesa-nueva, weight: 10}]
      attempts: 2
      objective: 1500ms
      class: critical
      idempotent: false
      retries: 2
      retry-ratio: 20%
      backoff: 50ms
      deadline: 8s
      queue-wait: 1s
      crash-limit: 3
      quarantine: 15m
",
    );
    let rule = &document.rules()[0];
    assert_eq!(rule.when.services[1].to_string(), "portal-*");
    assert_eq!(rule.when.hosts, ["portal.example", "api.example"]);
    let parts = rule.then.send_to.as_ref().map(ToString::to_string);
    assert_eq!(parts.as_deref(), Some("mesa-entradas 90, mesa-nueva 10"));
    assert_eq!(rule.when.methods, ["POST"]);
    assert_eq!(rule.when.paths.len(), 3);
    let names: Vec<&str> = rule.when.headers.iter().map(|h| h.name.as_str()).collect();
    assert_eq!(names, ["idempotency-key", "x-kind", "x-test"]);
    let expected = treatment::RuleTreatment {
        class: context::PriorityClass::Critical,
        idempotent: false,
        chain_retries: 2,
        retry_ratio_percent: 20,
        backoff: Duration::from_millis(50),
        deadline: Duration::from_secs(8),
        queue_wait: Duration::from_secs(1),
        attempts: 2,
        objective: Some(Duration::from_millis(1_500)),
        crash_limit: 3,
        quarantine: Duration::from_secs(900),
        action: treatment::RuleAction::Serve,
        public: false,
    };
    assert_eq!(rule.then.treatment("POST"), expected);
    assert_eq!(parsed(&render::to_yaml(&document)), document);
}

#[test]
fn unset_fields_have_defaults() {
    let document = parsed("rules: [{name: all, then: {}}]");
    let then = &document.rules()[0].then;
    assert_eq!(then.treatment("POST"), treatment::RuleTreatment::default());
    assert!(then.treatment("GET").idempotent);
}

#[test]
fn reports_all_faults_of_a_document() {
    let text = "rules:
  - name: Bad Name
    when: {service: a*b}
    then: {deadline: 1h, retries: 99}
  - name: second
    then: {klass: high}
";
    let faults = parse::parse_rules("r.yaml", text).expect_err("invalid rules");
    let found: Vec<(u64, &str)> = faults
        .0
        .iter()
        .map(|fault| (fault.line, fault.field.as_str()))
        .collect();
    let expected = [
        (2, "rules[0].name"),
        (3, "rules[0].when.service"),
        (4, "rules[0].then.deadline"),
        (4, "rules[0].then.retries"),
        (6, "rules[1].then.klass"),
    ];
    assert_eq!(found, expected);
}

fn check_fault(text: &str, expected: &str) {
    let faults = parse::parse_rules("r.yaml", text).expect_err("invalid rules");
    assert_eq!(faults.to_string(), expected);
}

test_cases! { check_fault:
    invalid_yaml => (
        "rules: [",
        "r.yaml:1:8: document: unclosed bracket '['"
    ),
    no_rules => (
        "{}",
        "r.yaml:1:1: document: the field rules is missing"
    ),
    not_a_map => (
        "- 1",
        "r.yaml:1:1: document: expected a map, found a list"
    ),
    unknown_top_field => (
        "rules: []\nlimits: 3",
        "r.yaml:2:1: limits: unknown field; expected one of rules, accounts"
    ),
    duplicate_names => (
        "rules:\n- {name: a, then: {}}\n- {name: a, then: {}}",
        "r.yaml:3:1: name: the name a is taken by the rule at line 2"
    ),
    missing_then => (
        "rules:\n- {name: a}",
        "r.yaml:2:3: rules[0]: the field then is missing"
    ),
    duration_without_unit => (
        "rules: [{name: a, then: {deadline: 10}}]",
        "r.yaml:1:36: rules[0].then.deadline: expected a duration such as 500ms, 10s or 5m, \
         found a number"
    ),
    duration_out_of_range => (
        "rules: [{name: a, then: {deadline: 1ms}}]",
        "r.yaml:1:36: rules[0].then.deadline: 1ms is outside 10ms to 10m"
    ),
    percent_out_of_range => (
        "rules: [{name: a, then: {retry-ratio: 101%}}]",
        "r.yaml:1:39: rules[0].then.retry-ratio: 101% is outside 0 to 100"
    ),
    unknown_class => (
        "rules: [{name: a, then: {class: urgent}}]",
        "r.yaml:1:33: rules[0].then.class: \"urgent\" is not one of low, normal, high, critical"
    ),
    lower_case_method => (
        "rules: [{name: a, when: {method: post}, then: {}}]",
        "r.yaml:1:34: rules[0].when.method: \"post\" is not a method; methods are case-sensitive, \
         such as POST"
    ),
    path_with_query => (
        "rules: [{name: a, when: {path: /a?b=1}, then: {}}]",
        "r.yaml:1:32: rules[0].when.path: \"/a?b=1\" is not a path; it must begin with '/' or '*' \
         and not contain '?', '#' or spaces"
    ),
    empty_list => (
        "rules: [{name: a, when: {service: []}, then: {}}]",
        "r.yaml:1:35: rules[0].when.service: the list is empty; leave the field out to match \
         everything"
    ),
    duplicate_header => (
        "rules: [{name: a, when: {headers: {X-A: b, x-a: c}}, then: {}}]",
        "r.yaml:1:49: rules[0].when.headers.x-a: the header x-a is named twice"
    ),
    header_value_as_number => (
        "rules: [{name: a, when: {headers: {x-a: 1}}, then: {}}]",
        "r.yaml:1:41: rules[0].when.headers.x-a: expected text (in quotes, if it looks like a \
         number), found a number"
    ),
    wait_beyond_deadline => (
        "rules: [{name: a, then: {deadline: 1s, queue-wait: 2s}}]",
        "r.yaml:1:52: rules[0].then.queue-wait: 2s is more than the deadline of 1s"
    ),
    duplicate_key => (
        "rules: []\nrules: []",
        "r.yaml:2:1: document: duplicate mapping key `rules` is not allowed here"
    ),
}

fn check_warning(text: &str, expected: &[&str]) {
    let checked = parse::check_rules("r.yaml", text).expect("valid rules");
    let warnings: Vec<String> = checked.warnings.iter().map(ToString::to_string).collect();
    assert_eq!(warnings, expected);
}

test_cases! { check_warning:
    warns_of_a_rule_after_a_wider_one => (
        "rules:
  - {name: wide, when: {service: 'por*'}, then: {}}
  - {name: narrow, when: {service: portal, method: GET}, then: {}}",
        &["r.yaml:3: rule narrow is unreachable: rule wide at line 2 matches everything that it \
           matches"]
    ),
    warns_of_a_rule_after_a_catch_all => (
        "rules:
  - {name: all, then: {}}
  - {name: paths, when: {path: '/a/*'}, then: {}}",
        &["r.yaml:3: rule paths is unreachable: rule all at line 2 matches everything that it \
           matches"]
    ),
    names_the_first_covering_rule => (
        "rules:
  - {name: portal, when: {service: portal}, then: {}}
  - {name: posts, when: {service: '*', method: POST}, then: {}}
  - {name: reads, when: {method: GET}, then: {}}
  - {name: late, when: {service: portal, method: GET}, then: {}}",
        &["r.yaml:5: rule late is unreachable: rule portal at line 2 matches everything that it \
           matches"]
    ),
    accepts_a_narrower_rule_before_a_wider_one => (
        "rules:
  - {name: narrow, when: {service: portal, headers: {x-a: b}}, then: {}}
  - {name: wide, when: {service: portal}, then: {}}",
        &[]
    ),
}
