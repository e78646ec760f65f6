//! Rendering of JSON in readable form.

use anvil_ctl::render;
use anvil_testkit::test_cases;

fn check(json: &str, expected: &str) {
    let value = serde_json::from_str(json).expect("valid JSON");
    assert_eq!(render::tree(&value), expected);
}

test_cases! { check:
    null => ("null", "-\n"),
    scalars => (
        r#"{"a": 1, "b": "two", "c": true, "d": null, "e": [], "f": {}}"#,
        "a: 1\nb: two\nc: true\nd: -\ne: -\nf: -\n"
    ),
    flat_lists => (r#"{"zones": ["a", "b"]}"#, "zones: a, b\n"),
    maps_in_maps => (r#"{"a": {"b": {"c": 1}}}"#, "a:\n  b:\n    c: 1\n"),
    tables => (
        r#"{"peers": [{"node": "1f", "slots": 40}, {"node": "2", "zone": "ar-centro-a"}]}"#,
        "peers: 2\n  node  slots  zone\n  1f    40     -\n  2     -      ar-centro-a\n"
    ),
    small_maps_in_cells => (
        r#"[{"call": 1, "rule": {"index": 2, "revision": 7}}]"#,
        "call  rule\n1     index=2 revision=7\n"
    ),
    deep_lists => (
        r#"[{"a": [{"b": 1}], "c": 2}]"#,
        "-\n  a: 1\n    b\n    1\n  c: 2\n"
    ),
    wide_letters_align => (
        r#"[{"n": "é", "m": 1}, {"n": "long", "m": 2}]"#,
        "m  n\n1  é\n2  long\n"
    ),
}
