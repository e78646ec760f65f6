//! Settings are validated completely; errors name the file, the line, the field and the reason.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use anvil_node::settings;
use anvil_testkit::test_cases;

const VALID: &str = "\
zone: ar-centro-a
region: ar-centro
advertise: 10.0.0.5
listen:
  caller: 0.0.0.0:8080
  admin: 127.0.0.1:8081
  peer: 0.0.0.0:7400
  gossip: 0.0.0.0:7400
seeds: [10.0.0.6:7400]
peer_keys:
  - {id: 1, secret: abababababababababababababababababababababababababababababababab}
limits:
  caller_connections: 10
";

#[test]
fn valid_settings_are_accepted() {
    let settings = settings::parse(VALID, Path::new("node.yaml")).unwrap();
    assert_eq!(settings.zone.as_str(), "ar-centro-a");
    assert_eq!(settings.limits.caller_connections, 10);
    let others = settings::LimitSettings::default();
    assert_eq!(settings.limits.header_bytes, others.header_bytes);
}

// Guards against a node that does not start where the platform states a fraction of its memory.
#[test]
fn memory_may_have_a_fraction() {
    let text = VALID.replace("caller_connections: 10", "memory_mb: 260.75");
    let settings = settings::parse(&text, Path::new("node.yaml")).unwrap();
    assert_eq!(settings.limits.memory_mb, 260);
}

fn refused(valid: &str, invalid: &str, expected: &[&str]) {
    assert!(VALID.contains(valid), "the case changes an existing text");
    let text = VALID.replace(valid, invalid);
    let error = settings::parse(&text, Path::new("node.yaml")).unwrap_err();
    let text = error.to_string();
    assert!(text.contains("node.yaml"), "{text}");
    for part in expected {
        assert!(text.contains(part), "{part:?} is missing in: {text}");
    }
}

test_cases! {
    refused:
    unknown_field => ("seeds:", "seed:", &["line 9", "seed"]),
    unknown_limit => ("  caller_connections: 10", "  connections: 10", &["line 13", "connections"]),
    missing_field => ("region: ar-centro\n", "", &["region"]),
    duplicate_field => ("region: ar-centro\n", "zone: ar-centro-b\nregion: ar-centro\n", &["line 2", "zone"]),
    bad_zone => ("ar-centro-a", "AR Centro", &["line 1", "zone", "a-z"]),
    bad_address => ("10.0.0.5", "host.example", &["line 3", "advertise"]),
    unreachable_address => ("10.0.0.5", "0.0.0.0", &["advertise", "reach"]),
    bad_listen => ("127.0.0.1:8081", "8081", &["line 6", "admin"]),
    bad_seed => ("10.0.0.6:7400", "10.0.0.6", &["line 9", "seeds"]),
    limit_too_low => ("connections: 10", "connections: 0", &["line 13", "caller_connections", "1 to 100000"]),
    too_little_memory => ("caller_connections: 10", "memory_mb: 20.5", &["line 13", "memory_mb", "64 to 16000000"]),
    body_without_memory => ("caller_connections: 10", "body_bytes: 80000000", &["limits.body_bytes", "70000000 at most"]),
    limit_with_a_fraction => ("connections: 10", "connections: 10.5", &["line 13", "caller_connections", "10.5 is not whole", "a whole number from 1 to 100000"]),
    infinite_limit => ("connections: 10", "connections: .inf", &["line 13", "caller_connections", "\".inf\" is not a whole number from 1 to 100000"]),
    memory_in_words => ("caller_connections: 10", "memory_mb: much", &["line 13", "memory_mb", "\"much\" is not a number from 64 to 16000000"]),
    limit_not_a_number => ("connections: 10", "connections: many", &["line 13", "caller_connections"]),
    no_keys => ("  - {id: 1, secret: abababababababababababababababababababababababababababababababab}", "  []", &["line 11", "peer_keys", "at least one"]),
    short_key => ("abababababababababababababababababababababababababababababababab", "abcd", &["peer_keys", "shorter than 32"]),
    key_not_hex => ("secret: ab", "secret: xy", &["line 11", "secret", "hex digits"]),
    duplicate_key_id => ("limits:", "  - {id: 1, secret: cdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcd}\nlimits:", &["peer_keys", "two keys"]),
    broken_yaml => ("listen:", "listen: [", &["line"]),
}

#[test]
fn a_missing_file_is_named() {
    let error = settings::load(Path::new("/nowhere/node.yaml")).unwrap_err();
    assert!(
        error.to_string().starts_with("/nowhere/node.yaml: "),
        "{error}"
    );
}

#[test]
fn keys_are_never_printed() {
    let settings = settings::parse(VALID, Path::new("node.yaml")).unwrap();
    let text = format!("{settings:?}").to_lowercase();
    assert!(!text.contains("abab") && !text.contains("171"), "{text}");
}
