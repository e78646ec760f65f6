//! Benchmarks of the matcher against a scan of all rules, and of parsing and changing documents;
//! see `docs/design/rules.md` for results.
//!
//! The document has ten typical rules per service: exact paths, prefixes and globs, some with a
//! header. The last rule matches everything. Each iteration decides [`REQUESTS`] requests spread
//! over all services, so that early and late rules have the same weight.

use std::fmt::Write;

use anvil_rules::{change, document, matcher, parse, render, view};
use anvil_types::ident;

/// Counts allocations too: deciding a request must not allocate.
#[global_allocator]
static ALLOCATOR: divan::AllocProfiler = divan::AllocProfiler::system();

const SIZES: [usize; 4] = [10, 100, 1_000, 10_000];

const REQUESTS: usize = 100;

const RULES_PER_SERVICE: usize = 10;

fn main() {
    divan::main();
}

fn text(rules: usize) -> String {
    let mut text = String::from("rules:\n");
    for index in 0..rules - 1 {
        let service = index / RULES_PER_SERVICE;
        let when = match index % RULES_PER_SERVICE {
            0 => "method: POST, path: /claims".to_owned(),
            1 => "method: [PUT, PATCH], path: '/claims/*'".to_owned(),
            2 => "path: '/claims/*/evidence/**'".to_owned(),
            3 => "path: '/claims/**', headers: {x-audit: {present: true}}".to_owned(),
            part => format!("method: [GET, HEAD], path: '/part-{part}/**'"),
        };
        let then = "class: high, retries: 2, deadline: 5s";
        writeln!(
            text,
            "- {{name: r{index}, when: {{service: s{service}, {when}}}, then: {{{then}}}}}"
        )
        .expect("writing to memory succeeds");
    }
    text.push_str("- {name: rest, then: {class: low}}\n");
    text
}

fn parsed(rules: usize) -> document::RuleDocument {
    parse::parse_rules("bench", &text(rules)).expect("valid rules")
}

struct Request {
    service: String,
    method: &'static str,
    path: &'static str,
}

fn requests(rules: usize) -> Vec<Request> {
    let services = rules.div_ceil(RULES_PER_SERVICE);
    let kinds = [
        ("POST", "/claims"),
        ("PUT", "/claims/17"),
        ("GET", "/claims/17/evidence/3/page/2?size=large"),
        ("GET", "/part-9/hearing-dates"),
        ("GET", "/elsewhere"),
    ];
    // A stride that is coprime to the number of services visits all services evenly.
    let service = |index: usize| index * 37 % services;
    let request = |index: usize| {
        let (method, path) = kinds[index % kinds.len()];
        let service = format!("s{}", service(index));
        Request {
            service,
            method,
            path,
        }
    };
    (0..REQUESTS).map(request).collect()
}

fn view(request: &Request) -> view::RequestView<'_> {
    view::RequestView {
        service: &request.service,
        method: request.method,
        path: view::without_query(request.path),
        headers: &[],
    }
}

fn scan(document: &document::RuleDocument, request: &view::RequestView<'_>) -> Option<usize> {
    let mut rules = document.rules().iter();
    rules.position(|rule| rule.when.matches(request))
}

#[divan::bench(args = SIZES)]
fn decide_by_index(bencher: divan::Bencher<'_, '_>, rules: usize) {
    let matcher = matcher::RuleMatcher::compile(&parsed(rules));
    let requests = requests(rules);
    let counter = divan::counter::ItemsCount::new(REQUESTS);
    bencher.counter(counter).bench(|| {
        for request in &requests {
            divan::black_box(matcher.decide(&view(divan::black_box(request))));
        }
    });
}

#[divan::bench(args = SIZES)]
fn decide_by_scan(bencher: divan::Bencher<'_, '_>, rules: usize) {
    let document = parsed(rules);
    let requests = requests(rules);
    let counter = divan::counter::ItemsCount::new(REQUESTS);
    bencher.counter(counter).bench(|| {
        for request in &requests {
            divan::black_box(scan(&document, &view(divan::black_box(request))));
        }
    });
}

#[divan::bench(args = SIZES)]
fn compile(bencher: divan::Bencher<'_, '_>, rules: usize) {
    let document = parsed(rules);
    bencher.bench(|| matcher::RuleMatcher::compile(divan::black_box(&document)));
}

#[divan::bench(args = SIZES, sample_count = 10)]
fn check_text(bencher: divan::Bencher<'_, '_>, rules: usize) {
    let text = text(rules);
    bencher.bench(|| parse::check_rules("bench", divan::black_box(&text)));
}

/// Replaces every rule, which is the largest possible change.
#[divan::bench(args = SIZES, sample_count = 10)]
fn apply_largest_change(bencher: divan::Bencher<'_, '_>, rules: usize) {
    let old = parsed(rules);
    let renamed = text(rules).replace("name: r", "name: q");
    let new = parse::parse_rules("bench", &renamed).expect("valid rules");
    let change = change_between(&old, &new);
    bencher.with_inputs(|| old.clone()).bench_refs(|document| {
        document
            .apply(divan::black_box(&change))
            .expect("the change applies");
    });
}

/// Changes one rule in the middle, like most changes.
#[divan::bench(args = SIZES)]
fn apply_change_of_one_rule(bencher: divan::Bencher<'_, '_>, rules: usize) {
    let old = parsed(rules);
    let changed = text(rules).replacen("class: high", "class: critical", rules / 2);
    let changed = changed.replacen("class: critical", "class: high", rules / 2 - 1);
    let new = parse::parse_rules("bench", &changed).expect("valid rules");
    let change = change_between(&old, &new);
    assert_eq!(change.edits.len(), 1);
    bencher.with_inputs(|| old.clone()).bench_refs(|document| {
        document
            .apply(divan::black_box(&change))
            .expect("the change applies");
    });
}

fn change_between(
    old: &document::RuleDocument,
    new: &document::RuleDocument,
) -> change::RuleChange {
    change::RuleChange {
        id: 1,
        author: String::new(),
        base: ident::RuleRevision(0),
        edits: change::diff(old, new),
    }
}

#[divan::bench(args = SIZES, sample_count = 10)]
fn diff_largest_change(bencher: divan::Bencher<'_, '_>, rules: usize) {
    let old = parsed(rules);
    let renamed = text(rules).replace("name: r", "name: q");
    let new = parse::parse_rules("bench", &renamed).expect("valid rules");
    bencher.bench(|| change::diff(divan::black_box(&old), divan::black_box(&new)));
}

#[divan::bench(args = SIZES, sample_count = 10)]
fn write_text(bencher: divan::Bencher<'_, '_>, rules: usize) {
    let document = parsed(rules);
    bencher.bench(|| render::to_yaml(divan::black_box(&document)));
}
