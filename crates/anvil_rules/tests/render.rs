//! Round trips of documents through YAML and the binary encoding: every document in force can be
//! rendered, edited and submitted again.

use std::sync::Arc;
use std::time::Duration;

use anvil_rules::{change, codec, condition, document, outcome, parse, path, render, service};
use anvil_types::{context, ident, name, treatment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn patterns() -> impl Strategy<Value = (service::ServicePattern, path::PathPattern)> {
    let service = prop_oneof![
        "[a-z0-9-]{1,8}".prop_map(service::ServicePattern::Exact),
        "[a-z0-9-]{0,8}".prop_map(service::ServicePattern::Prefix),
    ];
    let path = "(/|\\*)[!-\"$->@-~]{0,12}".prop_map(|text| path::PathPattern::new(&text));
    (service, path)
}

fn conditions() -> impl Strategy<Value = condition::RuleCondition> {
    let test = prop_oneof![
        Just(condition::HeaderTest::Present),
        Just(condition::HeaderTest::Absent),
        "\\PC{0,8}".prop_map(condition::HeaderTest::Equals),
        prop::sample::select(&["yes", "1", "null", "~", "0x1", "- a", "#", "", " a "][..])
            .prop_map(|text| condition::HeaderTest::Equals(text.to_owned())),
    ];
    let header = prop::option::of(("[a-z0-9-]{1,8}", test));
    let methods = prop::collection::vec("[A-Z]{1,6}", 0..3);
    (prop::collection::vec(patterns(), 0..3), methods, header).prop_map(
        |(patterns, methods, header)| {
            let (services, paths) = patterns.into_iter().unzip();
            let headers = header.map(|(name, test)| condition::HeaderCondition { name, test });
            condition::RuleCondition {
                hosts: Vec::new(),
                services,
                methods,
                paths,
                headers: headers.into_iter().collect(),
            }
        },
    )
}

fn outcomes() -> impl Strategy<Value = outcome::RuleOutcome> {
    let class = prop::option::of(prop::sample::select(&context::PriorityClass::ALL[..]));
    let deadline = prop::option::of(10_000..600_000_000_u64);
    let quarantine = prop::option::of(1..86_400_u64);
    let retries = prop::option::of((0..=32_u16, 0..=100_u8));
    let refuse = any::<bool>();
    (
        class,
        any::<Option<bool>>(),
        deadline,
        quarantine,
        retries,
        refuse,
    )
        .prop_map(
            |(class, idempotent, deadline, quarantine, retries, refuse)| outcome::RuleOutcome {
                class,
                idempotent,
                chain_retries: retries.map(|(retries, _)| retries),
                retry_ratio_percent: retries.map(|(_, ratio)| ratio),
                deadline: deadline.map(Duration::from_micros),
                queue_wait: deadline.map(|_| Duration::ZERO),
                quarantine: quarantine.map(Duration::from_secs),
                action: refuse.then_some(treatment::RuleAction::Refuse),
                ..outcome::RuleOutcome::default()
            },
        )
}

fn documents() -> impl Strategy<Value = document::RuleDocument> {
    prop::collection::vec((conditions(), outcomes()), 0..6).prop_map(|rules| {
        let put = |(index, (when, then))| {
            let name = name::RuleName::new(&format!("{index}-e5")).expect("a name");
            let rule = Arc::new(document::NamedRule { name, when, then });
            change::RuleEdit::Put { rule, before: None }
        };
        let change = change::RuleChange {
            id: 1,
            author: "test".to_owned(),
            base: ident::RuleRevision(0),
            edits: rules.into_iter().enumerate().map(put).collect(),
        };
        let mut document = document::RuleDocument::default();
        document
            .apply(&change)
            .expect("the rules apply to an empty document");
        document
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_document_survives_a_round_trip_through_yaml(document in documents()) {
        let text = render::to_yaml(&document);
        let parsed = parse::parse_rules("rendered", &text);
        prop_assert_eq!(parsed.as_ref(), Ok(&document), "{}", text);
    }

    #[test]
    fn a_document_survives_a_round_trip_through_bytes(document in documents()) {
        let bytes = codec::encode_document(&document).expect("encoding succeeds");
        prop_assert_eq!(codec::decode_document(&bytes), Ok(document));
    }

    #[test]
    fn arbitrary_bytes_are_refused_or_decoded_completely(
        format in prop::bool::weighted(0.9),
        mut bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        if let Some(first) = bytes.first_mut().filter(|_| format) {
            *first = codec::FORMAT_VERSION;
        }
        // Integers may have a longer encoding than necessary, so the decoded values are compared.
        if let Ok(document) = codec::decode_document(&bytes) {
            let again = codec::encode_document(&document).expect("encoding succeeds");
            prop_assert_eq!(codec::decode_document(&again), Ok(document));
        }
        if let Ok(change) = codec::decode_change(&bytes) {
            let again = codec::encode_change(&change).expect("encoding succeeds");
            prop_assert_eq!(codec::decode_change(&again), Ok(change));
        }
    }
}
