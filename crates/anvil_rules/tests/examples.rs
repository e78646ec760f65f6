//! Checks the rules in `examples/` and `docs/RULES.md`.

use std::fmt::Display;
use std::fs;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use anvil_rules::{change, codec, document, duration, matcher, parse, range, view};
use anvil_testkit::test_cases;
use anvil_types::{context, ident, treatment};
use rstest::{fixture, rstest};

fn read(file: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join(file)).expect("a readable file")
}

fn matcher(mesh: &str) -> matcher::RuleMatcher {
    let file = format!("examples/{mesh}/rules.yaml");
    let checked = parse::check_rules(&file, &read(&file)).expect("valid rules");
    assert_eq!(checked.warnings, []);
    matcher::RuleMatcher::compile(&checked.document)
}

fn check(mesh: &str, request: (&str, &str, &str), class: context::PriorityClass, idempotent: bool) {
    let (method, service, path) = request;
    let headers = &[];
    let request = view::RequestView {
        service,
        method,
        path,
        headers,
    };
    let matcher = matcher(mesh);
    let treatment = matcher.decide(&request).treatment;
    assert_eq!((treatment.class, treatment.idempotent), (class, idempotent));
}

test_cases! { check:
    a_claim => (
        "reclamo-simple", ("POST", "portal-ciudadano", "/claims"), context::PriorityClass::Critical, false
    ),
    a_claim_down_the_chain => (
        "reclamo-simple", ("POST", "expediente", "/claims/17"), context::PriorityClass::Critical, false
    ),
    a_hearing_date => (
        "reclamo-simple", ("GET", "audiencias", "/hearings/3"), context::PriorityClass::High, true
    ),
    a_case => (
        "reclamo-simple", ("GET", "portal-ciudadano", "/cases/9"), context::PriorityClass::Normal, true
    ),
    an_evidence_bundle => (
        "reclamo-simple", ("GET", "expediente", "/evidence/9"), context::PriorityClass::Low, true
    ),
    an_unnamed_write => (
        "reclamo-simple", ("PUT", "audiencias", "/hearings/3"), context::PriorityClass::High, false
    ),
    a_bid => ("marche-armor", ("POST", "bidding", "/bids"), context::PriorityClass::Critical, false),
    an_award_notice => (
        "marche-armor", ("POST", "awards", "/award-notices"), context::PriorityClass::Critical, false
    ),
    closing_hours => ("marche-armor", ("GET", "bidding", "/closing"), context::PriorityClass::High, true),
    a_specification => (
        "marche-armor", ("GET", "catalogue", "/specifications/4"), context::PriorityClass::High, true
    ),
    a_tender => ("marche-armor", ("GET", "catalogue", "/tenders"), context::PriorityClass::Normal, true),
    a_profile => ("marche-armor", ("GET", "directory", "/suppliers/2"), context::PriorityClass::Low, true),
}

#[fixture]
fn page() -> String {
    read("docs/RULES.md")
}

#[rstest]
fn every_example_of_the_page_is_accepted(page: String) {
    let blocks: Vec<&str> = page.split("```yaml\n").skip(1).collect();
    assert!(!blocks.is_empty());
    for block in blocks {
        let (text, _) = block.split_once("```").expect("a closed block");
        let checked = parse::check_rules("docs/RULES.md", text).expect("valid rules");
        assert_eq!(checked.warnings, []);
    }
}

/// The row of a number in the page's table of fields.
fn row<T>(field: &str, range: &RangeInclusive<T>, default: T, unit: &str) -> String
where
    T: Display,
{
    let (min, max) = (range.start(), range.end());
    format!("| `{field}` | {min}{unit} to {max}{unit} | {default}{unit} |")
}

/// The row of a duration in the page's table of fields.
fn duration_row(field: &str, range: &RangeInclusive<Duration>, default: Duration) -> String {
    let (min, max) = (
        duration::format(*range.start()),
        duration::format(*range.end()),
    );
    format!(
        "| `{field}` | {min} to {max} | {} |",
        duration::format(default)
    )
}

#[rstest]
fn the_page_lists_the_current_ranges_and_defaults(page: String) {
    let default = treatment::RuleTreatment::default();
    let ratio = i64::from(default.retry_ratio_percent);
    let rows = [
        row(
            "retries",
            &range::CHAIN_RETRIES,
            i64::from(default.chain_retries),
            "",
        ),
        row("retry-ratio", &range::RETRY_RATIO_PERCENT, ratio, "%"),
        row(
            "crash-limit",
            &range::CRASH_LIMIT,
            i64::from(default.crash_limit),
            "",
        ),
        duration_row("backoff", &range::BACKOFF, default.backoff),
        duration_row("deadline", &range::DEADLINE, default.deadline),
        duration_row("queue-wait", &range::QUEUE_WAIT, default.queue_wait),
        duration_row("quarantine", &range::QUARANTINE, default.quarantine),
    ];
    for row in rows {
        assert!(page.contains(&row), "{row}");
    }
}

fn check_size(mesh: &str, document_bytes: usize, rule_bytes: usize) {
    let text = read(&format!("examples/{mesh}/rules.yaml"));
    let document = parse::parse_rules(mesh, &text).expect("valid rules");
    let size = codec::encode_document(&document)
        .expect("encoding succeeds")
        .len();
    let edits = change::diff(&document::RuleDocument::default(), &document);
    let sizes = edits.into_iter().map(|edit| {
        let change = change::RuleChange {
            id: u128::MAX,
            author: "ana".to_owned(),
            base: ident::RuleRevision(1_000_000),
            edits: vec![edit],
        };
        codec::encode_change(&change)
            .expect("encoding succeeds")
            .len()
    });
    let largest = sizes.max().expect("at least one rule");
    assert!(size <= document_bytes, "{size} bytes");
    assert!(largest <= rule_bytes, "{largest} bytes");
}

// A value in the store holds at most a megabyte, and the store receives 31,000 changes a day.
test_cases! { check_size:
    rules_of_reclamo_simple_are_small => ("reclamo-simple", 640, 200),
    rules_of_marche_armor_are_small => ("marche-armor", 640, 200),
}
