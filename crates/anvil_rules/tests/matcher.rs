//! Compares the matcher with a reference scan that evaluates conditions independently.

use anvil_rules::{condition, document, matcher, parse, path, view};
use anvil_testkit::test_cases;
use anvil_types::context;
use anvil_wire::call;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

/// The reference implementation: scans all rules and matches each pattern recursively.
fn reference_decide(
    document: &document::RuleDocument,
    request: &view::RequestView<'_>,
) -> Option<u32> {
    let rules = document.rules().iter().zip(0_u32..);
    let mut matching = rules.filter(|(rule, _)| reference_matches(&rule.when, request));
    matching.next().map(|(_, index)| index)
}

fn reference_matches(when: &condition::RuleCondition, request: &view::RequestView<'_>) -> bool {
    let path = request.path;
    let services: Vec<String> = when.services.iter().map(|s| s.to_string()).collect();
    let paths: Vec<String> = when.paths.iter().map(|p| p.to_string()).collect();
    let any_service = services
        .iter()
        .any(|s| reference_glob(s.as_bytes(), request.service.as_bytes()));
    let any_path = paths
        .iter()
        .any(|p| reference_glob(p.as_bytes(), path.as_bytes()));
    let headers = when.headers.iter().all(|header| {
        let values: Vec<&[u8]> = request
            .headers
            .iter()
            .filter(|line| line.name == header.name)
            .map(|line| line.value.as_ref())
            .collect();
        match &header.test {
            condition::HeaderTest::Present => !values.is_empty(),
            condition::HeaderTest::Absent => values.is_empty(),
            condition::HeaderTest::Equals(value) => values.contains(&value.as_bytes()),
        }
    });
    (services.is_empty() || any_service)
        && (when.methods.is_empty() || when.methods.contains(&request.method.to_owned()))
        && (paths.is_empty() || any_path)
        && headers
}

fn reference_glob(glob: &[u8], text: &[u8]) -> bool {
    match glob {
        [] => text.is_empty(),
        [b'*', b'*', rest @ ..] => (0..=text.len()).any(|at| reference_glob(rest, &text[at..])),
        [b'*', rest @ ..] => {
            let segment = text.iter().position(|byte| *byte == b'/');
            let end = segment.unwrap_or(text.len());
            (0..=end).any(|at| reference_glob(rest, &text[at..]))
        }
        [first, rest @ ..] => text.first() == Some(first) && reference_glob(rest, &text[1..]),
    }
}

fn subsets(of: &'static [&'static str]) -> impl Strategy<Value = Vec<&'static str>> {
    prop::collection::vec(select(of), 0..3)
}

const SERVICES: [&str; 5] = ["portal", "portal-*", "mesa", "p*", "*"];
const METHODS: [&str; 4] = ["GET", "POST", "PURGE", "REPORT"];
const HEADERS: [&str; 4] = [
    "x-a: b",
    "x-a: {present: true}",
    "x-b: {present: false}",
    "x-b: c",
];

fn path_pattern() -> impl Strategy<Value = String> {
    "(/|\\*)([ab/]|\\*|\\*\\*){0,6}"
}

fn rule(index: usize) -> impl Strategy<Value = String> {
    let paths = prop::collection::vec(path_pattern(), 0..3);
    let headers = prop::option::of(select(&HEADERS[..]));
    (subsets(&SERVICES), subsets(&METHODS), paths, headers).prop_map(
        move |(services, methods, paths, header)| {
            let mut when: Vec<String> = Vec::new();
            if !services.is_empty() {
                when.push(format!("service: {services:?}"));
            }
            if !methods.is_empty() {
                when.push(format!("method: {methods:?}"));
            }
            if !paths.is_empty() {
                when.push(format!("path: {paths:?}"));
            }
            when.extend(header.map(|header| format!("headers: {{{header}}}")));
            let when = when.join(", ");
            format!("- {{name: r{index}, when: {{{when}}}, then: {{}}}}\n")
        },
    )
}

fn rules_text() -> impl Strategy<Value = String> {
    let rules: Vec<_> = (0..12).map(rule).collect();
    rules.prop_map(|rules| format!("rules:\n{}", rules.concat()))
}

fn header_line(text: &str) -> call::HeaderLine {
    let (name, value) = text.split_once(':').expect("a colon");
    call::HeaderLine {
        name: name.to_owned(),
        value: value.to_owned().into(),
    }
}

/// Service, method, path and headers of a random request.
type RequestParts = (&'static str, &'static str, String, Vec<&'static str>);

fn requests() -> impl Strategy<Value = Vec<RequestParts>> {
    let services = select(&["portal", "portal-a", "mesa", "mesab", "p"][..]);
    let methods = select(&["GET", "POST", "PURGE", "REPORT", "PUT"][..]);
    let headers = prop::collection::vec(select(&["x-a:b", "x-a:z", "x-b:c", "x-b:"][..]), 0..3);
    prop::collection::vec((services, methods, "/[ab/]{0,6}(\\?a)?", headers), 16)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decides_like_the_reference_scan(text in rules_text(), requests in requests()) {
        let checked = parse::check_rules("test", &text).expect("valid rules");
        let matcher = matcher::RuleMatcher::compile(&checked.document);
        for (service, method, path, headers) in &requests {
            let headers: Vec<_> = headers.iter().map(|text| header_line(text)).collect();
            let path = view::without_query(path);
            prop_assert!(!path.contains('?'));
            let request = view::RequestView { service, method, path, headers: &headers };
            let decided = matcher.decide(&request).index;
            prop_assert_eq!(decided, reference_decide(&checked.document, &request));
            let unreachable = |warning: &anvil_rules::fault::RuleWarning| {
                decided.is_some_and(|index| {
                    checked.document.rules()[index as usize].name == warning.name
                })
            };
            prop_assert!(!checked.warnings.iter().any(unreachable));
        }
    }

    #[test]
    fn globs_match_like_the_reference(glob in path_pattern(), path in "/[ab/]{0,10}") {
        let expected = reference_glob(glob.as_bytes(), path.as_bytes());
        prop_assert_eq!(path::PathPattern::new(&glob).matches(&path), expected);
    }
}

fn check_decision(text: &str, method: &str, class: context::PriorityClass, idempotent: bool) {
    let document = parse::parse_rules("test", text).expect("valid rules");
    let matcher = matcher::RuleMatcher::compile(&document);
    let request = view::RequestView {
        service: "mesa-entradas",
        method,
        path: view::without_query("/claims/7?full=1"),
        headers: &[],
    };
    let decision = matcher.decide(&request);
    assert_eq!(decision.treatment.class, class);
    assert_eq!(decision.treatment.idempotent, idempotent);
}

test_cases! { check_decision:
    nothing_matches_a_post => ("rules: []", "POST", context::PriorityClass::Normal, false),
    nothing_matches_a_get => ("rules: []", "GET", context::PriorityClass::Normal, true),
    nothing_matches_a_put => ("rules: []", "PUT", context::PriorityClass::Normal, true),
    an_unknown_method_is_not_idempotent => (
        "rules: []", "PURGE", context::PriorityClass::Normal, false
    ),
    an_unset_field_is_left_to_the_method => (
        "rules: [{name: a, then: {class: high}}]", "DELETE", context::PriorityClass::High, true
    ),
    a_rule_overrides_the_method => (
        "rules: [{name: a, then: {idempotent: false}}]", "GET",
        context::PriorityClass::Normal, false
    ),
    the_first_match_decides => (
        "rules: [{name: a, when: {path: '/claims/*'}, then: {class: low}},
                 {name: b, when: {service: mesa-entradas}, then: {class: critical}}]", "GET",
        context::PriorityClass::Low, true
    ),
}

#[test]
fn a_rule_with_long_lists_matches() {
    let paths: Vec<String> = (0..64).map(|n| format!("/p{n}")).collect();
    let services: Vec<String> = (0..64).map(|n| format!("s{n}")).collect();
    let text = format!(
        "rules: [{{name: a, when: {{service: {services:?}, path: {paths:?}}}, then: {{}}}}]"
    );
    let document = parse::parse_rules("test", &text).expect("valid rules");
    let matcher = matcher::RuleMatcher::compile(&document);
    let at = |service, path| {
        let headers = &[];
        let method = "GET";
        let request = view::RequestView {
            service,
            method,
            path,
            headers,
        };
        matcher.decide(&request).index
    };
    assert_eq!(at("s63", "/p63"), Some(0));
    assert_eq!(at("s63", "/q"), None);
}
