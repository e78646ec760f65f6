//! Malformed, oversized and malicious documents.

use std::fmt::Write;

use anvil_rules::{document, parse, yaml};
use anvil_testkit::test_cases;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;

const EXAMPLE: &str = include_str!("../../../examples/reclamo-simple/rules.yaml");

fn rules(count: usize) -> String {
    let mut text = String::from("rules:\n");
    for index in 0..count {
        writeln!(
            text,
            "- {{name: r{index}, when: {{service: s{index}}}, then: {{}}}}"
        )
        .expect("writing to memory succeeds");
    }
    text
}

/// Nine levels of aliases, each of which repeats the previous level ten times.
fn aliases() -> String {
    let mut text = String::from("a0: &a0 [x]\n");
    for level in 1..10 {
        let items = format!("*a{}, ", level - 1).repeat(10);
        writeln!(text, "a{level}: &a{level} [{items}]").expect("writing to memory succeeds");
    }
    text + "rules: *a9\n"
}

fn check_refused(text: &str, expected: &str) {
    let faults = parse::check_rules("r.yaml", text).expect_err("invalid rules");
    let message = faults.to_string();
    assert!(message.contains(expected), "{message}");
}

test_cases! { check_refused:
    nothing_at_all => ("", "document: expected a map, found nothing"),
    a_tab_as_indent => ("rules:\n\t- name: a", "document: "),
    two_documents => ("rules: []\n---\nrules: []", "document: "),
    a_merge_key => ("base: &b {}\nrules: []\n<<: *b", "document: "),
    deep_nesting => (&"[".repeat(100_000), "document: "),
    an_alias_bomb => (&aliases(), "total_replayed_events=20001 > 20000"),
    too_long => (&" ".repeat(yaml::MAX_TEXT_BYTES + 1), "the text is longer than 4194304 bytes"),
    too_many_rules => (&rules(document::MAX_RULES + 1), "rules: more than 10000 entries"),
    a_long_path => (
        &format!("rules: [{{name: a, when: {{path: /{}}}, then: {{}}}}]", "x".repeat(256)),
        "rules[0].when.path: longer than 256 bytes"
    ),
    a_long_list => (
        &format!("rules: [{{name: a, when: {{method: [{}]}}, then: {{}}}}]", "GET, ".repeat(65)),
        "rules[0].when.method: more than 64 entries"
    ),
    a_huge_number => (
        "rules: [{name: a, then: {retries: 99999999999999999999}}]",
        "rules[0].then.retries: expected a whole number, found a number"
    ),
    a_huge_duration => (
        "rules: [{name: a, then: {deadline: 18446744073709551615h}}]",
        "rules[0].then.deadline: \"18446744073709551615h\" is not a duration such as 500ms, 10s or 5m"
    ),
    a_duration_with_a_space => (
        "rules: [{name: a, then: {deadline: 10 s}}]",
        "rules[0].then.deadline: \"10 s\" is not a duration such as 500ms, 10s or 5m"
    ),
    a_percent_without_its_sign => (
        "rules: [{name: a, then: {retry-ratio: ten}}]",
        "rules[0].then.retry-ratio: \"ten\" is not a whole number of percent, such as 10%"
    ),
    nul_in_a_name => ("rules: [{name: \"a\\0b\", then: {}}]", "a name holds only"),
}

#[test]
fn a_list_may_be_shared_by_an_alias() {
    let text = "rules:
- {name: a, when: {path: &p [/a, /b]}, then: {}}
- {name: b, when: {service: s, path: *p}, then: {}}
";
    assert!(parse::parse_rules("r.yaml", text).is_ok());
}

#[test]
fn the_maximum_number_of_rules_is_accepted() {
    let checked = parse::check_rules("r.yaml", &rules(document::MAX_RULES));
    let checked = checked.expect("the limit is allowed");
    assert_eq!(checked.document.rules().len(), document::MAX_RULES);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        cases: 300,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_mutated_example_is_parsed_or_has_faults_with_positions(
        position in any::<Index>(),
        length in 0..20_usize,
        replacement in "[ -~\\n\\té]{0,4}",
    ) {
        let mut text: Vec<char> = EXAMPLE.chars().collect();
        let start = position.index(text.len());
        let end = (start + length).min(text.len());
        text.splice(start..end, replacement.chars());
        let text: String = text.into_iter().collect();
        if let Err(faults) = parse::check_rules("r.yaml", &text) {
            let lines = text.lines().count() as u64 + 1;
            prop_assert!(!faults.0.is_empty());
            for fault in faults.0 {
                prop_assert!((1..=lines).contains(&fault.line), "{fault}");
                prop_assert!(!fault.field.is_empty() && !fault.reason.to_string().is_empty());
            }
        }
    }

    #[test]
    fn arbitrary_text_never_panics(text in "[-a-z:{}\\[\\]&*!|>#%@\"',? \\n]{0,120}") {
        let _ = parse::check_rules("r.yaml", &text);
    }
}
