//! Changes: computing the difference between two documents and applying it.

use std::sync::Arc;

use anvil_rules::{change, check, codec, document, parse};
use anvil_testkit::test_cases;
use anvil_types::{ident, name};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Builds a document of rules `r<name>` with the given retries.
fn document(rules: &[(u8, u8)]) -> document::RuleDocument {
    use std::fmt::Write;
    let mut text = String::from("rules:\n");
    for (name, retries) in rules {
        writeln!(text, "- {{name: r{name}, then: {{retries: {retries}}}}}")
            .expect("encoding succeeds");
    }
    if rules.is_empty() {
        text = "rules: []".to_owned();
    }
    parse::parse_rules("test", &text).expect("valid rules")
}

fn change(edits: Vec<change::RuleEdit>) -> change::RuleChange {
    change::RuleChange {
        id: 7,
        author: "ana".to_owned(),
        base: ident::RuleRevision(3),
        edits,
    }
}

fn rule_name(text: &str) -> name::RuleName {
    name::RuleName::new(text).expect("a name")
}

/// The reference implementation: a vector that is searched for each name.
fn reference_apply(
    document: &document::RuleDocument,
    edits: &[change::RuleEdit],
) -> Option<Vec<Arc<document::NamedRule>>> {
    let mut rules = document.rules().to_vec();
    for edit in edits {
        let (name, before) = match edit {
            change::RuleEdit::Put { rule, before } => (&rule.name, before),
            change::RuleEdit::Move { name, before } => (name, before),
            change::RuleEdit::Remove { name } => (name, &None),
            change::RuleEdit::Accounts { .. } => continue,
        };
        let position = rules.iter().position(|rule| rule.name == *name);
        let removed = position.map(|position| rules.remove(position));
        let rule = match edit {
            change::RuleEdit::Put { rule, .. } => Arc::clone(rule),
            change::RuleEdit::Move { .. } => removed?,
            change::RuleEdit::Remove { .. } => {
                removed?;
                continue;
            }
            change::RuleEdit::Accounts { .. } => continue,
        };
        let position = match before {
            None => rules.len(),
            Some(before) => rules.iter().position(|rule| rule.name == *before)?,
        };
        rules.insert(position, rule);
    }
    Some(rules)
}

fn edits() -> impl Strategy<Value = Vec<change::RuleEdit>> {
    let before = prop::option::of(0..12_u8);
    let edit = (0..3_u8, 0..12_u8, before, 0..3_u8).prop_map(|(kind, name, before, retries)| {
        let before = before.map(|name| rule_name(&format!("r{name}")));
        match kind {
            0 => change::RuleEdit::Put {
                rule: Arc::clone(&document(&[(name, retries)]).rules()[0]),
                before,
            },
            1 => change::RuleEdit::Move {
                name: rule_name(&format!("r{name}")),
                before,
            },
            _ => change::RuleEdit::Remove {
                name: rule_name(&format!("r{name}")),
            },
        }
    });
    prop::collection::vec(edit, 0..6)
}

fn documents() -> impl Strategy<Value = document::RuleDocument> {
    let names = prop::collection::vec(0..12_u8, 0..12);
    (names, prop::collection::vec(0..3_u8, 12)).prop_map(|(names, retries)| {
        let mut rules: Vec<(u8, u8)> = Vec::new();
        for (name, retries) in names.into_iter().zip(retries) {
            if rules.iter().all(|(known, _)| *known != name) {
                rules.push((name, retries));
            }
        }
        document(&rules)
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    })]

    #[test]
    fn applying_the_difference_gives_the_new_document(old in documents(), new in documents()) {
        let edits = change::diff(&old, &new);
        let mut document = old;
        document.apply(&change(edits)).expect("the difference applies");
        prop_assert_eq!(document, new);
    }

    #[test]
    fn applying_edits_agrees_with_the_reference(old in documents(), edits in edits()) {
        let expected = reference_apply(&old, &edits);
        let mut document = old.clone();
        let applied = document.apply(&change(edits)).ok();
        prop_assert_eq!(applied.is_some(), expected.is_some());
        let expected = expected.unwrap_or_else(|| old.rules().to_vec());
        prop_assert_eq!(document.rules(), expected);
    }
}

fn check_edits(old: &[(u8, u8)], new: &[(u8, u8)], expected: usize) {
    let edits = change::diff(&document(old), &document(new));
    assert_eq!(edits.len(), expected, "{edits:?}");
}

test_cases! { check_edits:
    equal_documents_differ_by_nothing => (&[(1, 0), (2, 0)], &[(1, 0), (2, 0)], 0),
    one_moved_rule_costs_one_edit => (
        &[(1, 0), (2, 0), (3, 0), (4, 0)],
        &[(4, 0), (1, 0), (2, 0), (3, 0)],
        1
    ),
    one_changed_rule_costs_one_edit => (&[(1, 0), (2, 0)], &[(1, 0), (2, 1)], 1),
    one_removed_rule_costs_one_edit => (&[(1, 0), (2, 0)], &[(2, 0)], 1),
}

fn check_conflict(edit: change::RuleEdit, expected: &str) {
    // A concurrent change has removed the rule that the change refers to. Its first edit can be
    // applied and its last can't, so the whole change is rejected and the document stays unchanged.
    let mut document = document(&[(1, 0)]);
    let before = document.clone();
    let valid = change::RuleEdit::Remove {
        name: rule_name("r1"),
    };
    let error = document.apply(&change(vec![valid, edit]));
    assert_eq!(error.expect_err("a conflict").to_string(), expected);
    assert_eq!(document, before);
}

test_cases! { check_conflict:
    removing_a_missing_rule => (
        change::RuleEdit::Remove { name: rule_name("r9") },
        "rule r9 does not exist"
    ),
    placing_a_rule_before_a_missing_one => (
        change::RuleEdit::Put {
            rule: Arc::clone(&document(&[(2, 0)]).rules()[0]),
            before: Some(rule_name("r9")),
        },
        "rule r9 does not exist"
    ),
    placing_a_rule_before_itself => (
        change::RuleEdit::Put {
            rule: Arc::clone(&document(&[(2, 0)]).rules()[0]),
            before: Some(rule_name("r2")),
        },
        "rule r2 can't be placed before itself"
    ),
}

#[test]
fn a_change_of_one_rule_stays_small_in_a_large_document() {
    let rules: Vec<(u8, u8)> = (0..=250).map(|name| (name, 0)).collect();
    let mut changed = rules.clone();
    changed[100].1 = 5;
    let edits = change::diff(&document(&rules), &document(&changed));
    let bytes = codec::encode_change(&change(edits)).expect("encoding succeeds");
    assert!(bytes.len() < 64, "{} bytes", bytes.len());
    let decoded = codec::decode_change(&bytes).expect("encoded above");
    let mut document_again = document(&rules);
    document_again.apply(&decoded).expect("applies");
    assert_eq!(document_again, document(&changed));
}

#[test]
fn bytes_of_another_format_version_are_refused() {
    // During a rolling update, a newer node has written the log that an older one reads.
    let mut bytes = codec::encode_document(&document(&[(1, 0)])).expect("encoding succeeds");
    bytes[0] = 4;
    let error = codec::decode_document(&bytes).expect_err("another format");
    assert_eq!(
        error.to_string(),
        "format 4 is none of the formats of this version"
    );
}

fn checked_document(paths: &[(&str, &str)]) -> document::RuleDocument {
    let paths = paths.iter().map(|(service, path)| {
        let service = name::ServiceName::new(service).expect("a name");
        (service, check::CheckPath::new(path).expect("a path"))
    });
    let checks = check::CheckTable::new(paths.collect());
    document(&[(1, 0)]).with_checks(checks)
}

// Guards against a node that takes the rules from another one and loses the paths of the checks.
#[test]
fn a_document_keeps_the_paths_of_checks() {
    let checked = checked_document(&[("portal", "/health"), ("desk", "/up?deep=1")]);
    let bytes = codec::encode_document(&checked).expect("encoding succeeds");
    assert_eq!(codec::decode_document(&bytes), Ok(checked));
}

// Guards against a rolling update in which nodes can't read rules that have no such paths.
#[test]
fn a_document_without_checks_has_the_bytes_that_it_had() {
    let bytes = codec::encode_document(&document(&[(1, 0)])).expect("encoding succeeds");
    assert_eq!(bytes[0], codec::FORMAT_VERSION);
}

// Guards against a path in the bytes of another node that breaks the request line.
#[test]
fn a_document_with_an_invalid_path_is_refused() {
    let checked = checked_document(&[("portal", "/health")]);
    let mut bytes = codec::encode_document(&checked).expect("encoding succeeds");
    *bytes.last_mut().expect("encoded above") = b' ';
    let error = codec::decode_document(&bytes).expect_err("an invalid path");
    assert!(error.to_string().contains("paths of checks"), "{error}");
}

#[test]
fn a_document_with_two_rules_of_one_name_is_refused() {
    let mut bytes = codec::encode_document(&document(&[(1, 0)])).expect("encoding succeeds");
    // The last byte encodes that there are no accounts.
    let accounts = bytes.pop().expect("encoded above");
    let rule = bytes.split_off(2);
    let duplicate = [
        &[codec::FORMAT_VERSION, 2],
        rule.as_slice(),
        &rule,
        &[accounts],
    ]
    .concat();
    let error = codec::decode_document(&duplicate).expect_err("a duplicate name");
    assert_eq!(error.to_string(), "there are two rules r1");
}
