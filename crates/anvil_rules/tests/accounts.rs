//! Client accounts in rule files, in changes and in the binary encoding.

use std::sync::Arc;

use anvil_rules::{account, change, codec, document, parse, render};
use anvil_testkit::test_cases;
use anvil_types::{account as keys, context, ident, name};

const FIRST: &str = "sha256:0000000000000000000000000000000000000000000000000000000000000001";

fn parsed(text: &str) -> document::RuleDocument {
    parse::parse_rules("rules.yaml", text).expect("valid rules")
}

fn faults(text: &str) -> String {
    let faults = parse::parse_rules("rules.yaml", text).expect_err("faults");
    faults.to_string()
}

fn text(accounts: &str) -> String {
    format!("rules: [{{name: all, then: {{}}}}]\naccounts:\n{accounts}")
}

fn record(name: &str, key: &str) -> account::AccountRecord {
    account::AccountRecord {
        name: name::AccountName::new(name).expect("a name"),
        class: None,
        keys: vec![keys::KeyDigest::of(key.as_bytes())],
        quota: Some(keys::AccountQuota::per_second(10, 5)),
    }
}

fn table(records: Vec<account::AccountRecord>) -> Option<Arc<account::AccountTable>> {
    let table = account::AccountTable::new(records).expect("applies");
    Some(Arc::new(table))
}

#[test]
fn accounts_are_read_and_written_again() {
    let text = text(&format!(
        "- {{name: defensa, class: critical, keys: [\"{FIRST}\"], rate: 20, burst: 40}}\n\
         - {{name: archivo, keys: []}}"
    ));
    let document = parsed(&text);
    let accounts = document.accounts().expect("accounts");
    let names: Vec<_> = accounts
        .accounts()
        .iter()
        .map(|a| a.name.as_str())
        .collect();
    assert_eq!(names, ["archivo", "defensa"]);
    let defensa = &accounts.accounts()[1];
    assert_eq!(defensa.class, Some(context::PriorityClass::Critical));
    assert_eq!(defensa.quota, Some(keys::AccountQuota::per_second(20, 40)));
    assert_eq!(parsed(&render::to_yaml(&document)), document);
}

#[test]
fn no_accounts_differ_from_an_empty_list() {
    assert!(parsed("rules: []").accounts().is_none());
    let empty = parsed("rules: []\naccounts: []");
    assert!(empty.accounts().expect("accounts").accounts().is_empty());
    assert_eq!(parsed(&render::to_yaml(&empty)), empty);
}

fn check_refused(accounts: &str, position: &str, reason: &str) {
    let found = faults(&text(accounts));
    assert_eq!(found, format!("rules.yaml:{position}: {reason}"));
}

test_cases! {
    check_refused:
    an_empty_name => (
        "- {name: '', keys: []}",
        "3:10: accounts[0].name", "a name must not be empty",
    ),
    a_negative_rate => (
        "- {name: a, keys: [], rate: -1}",
        "3:29: accounts[0].rate", "-1 is outside 0 to 10000000",
    ),
    a_burst_without_a_rate => (
        "- {name: a, keys: [], burst: 5}",
        "3:30: accounts[0].burst", "a burst requires a rate",
    ),
    two_of_one_name => (
        "- {name: a, keys: []}\n- {name: a, keys: []}",
        "4:3: name", "the name a is taken by the account at line 3",
    ),
    a_key_in_plain_text => (
        "- {name: a, keys: [s3cret]}",
        "3:20: accounts[0].keys[0]",
        "not the digest of a key; write sha256: and 64 hex digits, never the key itself",
    ),
    one_key_of_two_accounts => (
        "- {name: a, keys: ['sha256:0000000000000000000000000000000000000000000000000000000000000001']}\n\
         - {name: b, keys: ['sha256:0000000000000000000000000000000000000000000000000000000000000001']}",
        "4:3: keys", "the account a at line 3 holds the same key",
    ),
}

#[test]
fn a_change_of_accounts_is_one_edit() {
    let old = parsed("rules: [{name: all, then: {}}]").with_accounts(table(vec![record("a", "1")]));
    let new = old
        .clone()
        .with_accounts(table(vec![record("a", "1"), record("b", "2")]));
    let edits = change::diff(&old, &new);
    assert_eq!(edits.len(), 1);
    let change = change::RuleChange {
        id: 1,
        author: "ops".to_owned(),
        base: ident::RuleRevision(1),
        edits,
    };
    let bytes = codec::encode_change(&change).expect("encoding succeeds");
    let decoded = codec::decode_change(&bytes).expect("encoded above");
    let mut changed = old;
    changed.apply(&decoded).expect("applies");
    assert_eq!(changed, new);
}

// Nodes exchange documents and logs outlive them. The mark of a partial table must survive both, and a
// complete table must keep the bytes of an option, which earlier versions read.
#[test]
fn a_partial_table_is_encoded_beside_an_option() {
    let accounts = table(vec![record("a", "1")]).expect("a table");
    let partial = account::AccountTable::clone(&accounts).with_partial(true);
    let plain = parsed("rules: [{name: all, then: {}}]");
    for (accounts, tag) in [(None, 0), (Some(accounts), 1), (Some(Arc::new(partial)), 2)] {
        let document = plain.clone().with_accounts(accounts);
        let bytes = codec::encode_document(&document).expect("encoding succeeds");
        let rules = codec::encode_document(&plain).expect("encoding succeeds");
        assert_eq!(bytes[rules.len() - 1], tag);
        let decoded = codec::decode_document(&bytes).expect("encoded above");
        assert_eq!(decoded, document);
        let edits = change::diff(&plain, &document);
        assert_eq!(edits.len(), usize::from(tag > 0));
    }
}

#[test]
fn an_account_table_with_a_duplicate_is_refused() {
    let duplicate = account::AccountTable::new(vec![record("a", "1"), record("b", "1")]);
    let conflict = duplicate.expect_err("a duplicate key").to_string();
    assert_eq!(conflict, "the accounts a and b hold the same key");
    let duplicate = account::AccountTable::new(vec![record("a", "1"), record("a", "2")]);
    let conflict = duplicate.expect_err("a duplicate name").to_string();
    assert_eq!(conflict, "there are two accounts a");
}

#[test]
fn a_key_identifies_its_account_only() {
    let table = table(vec![record("a", "1"), record("b", "2")]).expect("a table");
    let index = account::KeyIndex::compile(&table);
    let holder = |key: &str| {
        let digest = keys::KeyDigest::of(key.as_bytes());
        index.holder(&digest).map(|record| record.name.to_string())
    };
    assert_eq!(holder("1").as_deref(), Some("a"));
    assert_eq!(holder("2").as_deref(), Some("b"));
    assert_eq!(holder("3"), None);
}
