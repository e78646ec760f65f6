//! What a request costs by its key and its quota, among a thousand accounts.

use std::net::SocketAddr;

use anvil_quota::ledger;
use anvil_rules::account as table;
use anvil_types::{account, ident, name, time};
use divan::Bencher;

const ACCOUNTS: usize = 1_000;

fn main() {
    divan::main();
}

fn key(index: usize) -> String {
    format!("key-of-account-{index:05}")
}

fn index() -> table::KeyIndex {
    let record = |index: usize| table::AccountRecord {
        name: name::AccountName::new(&format!("account-{index}")).expect("a name"),
        class: None,
        keys: vec![account::KeyDigest::of(key(index).as_bytes())],
        quota: None,
    };
    let records = (0..ACCOUNTS).map(record).collect();
    let table = table::AccountTable::new(records).expect("fits");
    table::KeyIndex::compile(&table)
}

/// Digests a key and finds its account.
#[divan::bench]
fn known_key(bencher: Bencher<'_, '_>) {
    let (index, key) = (index(), key(700));
    bencher.bench(|| {
        let digest = account::KeyDigest::of(divan::black_box(key.as_bytes()));
        index.holder(&digest).is_some()
    });
}

/// The same for a key that nobody holds.
#[divan::bench]
fn wrong_key(bencher: Bencher<'_, '_>) {
    let index = index();
    bencher.bench(|| {
        let digest = account::KeyDigest::of(divan::black_box(b"nobody-holds-this-key"));
        index.holder(&digest).is_some()
    });
}

/// Takes a token that is at hand, at the home of the account.
#[divan::bench]
fn token_at_hand(bencher: Bencher<'_, '_>) {
    let node = ident::NodeId(1);
    let mut ledger = ledger::QuotaLedger::new(node, ledger::TokenMode::Ahead);
    ledger.member_up(
        time::NodeTime::START,
        node,
        SocketAddr::from(([127, 0, 0, 1], 7000)),
    );
    let quota = account::AccountQuota::per_second(1_000_000_000, 1_000_000_000);
    let quotas: Vec<_> = (0..ACCOUNTS as u64)
        .map(|index| (account::AccountId(index), quota))
        .collect();
    ledger.set_quotas(time::NodeTime::START, &quotas);
    let mut now = time::NodeTime::START;
    let mut call = 0;
    bencher.bench_local(|| {
        now.0 += 10;
        call += 1;
        let account = account::AccountId(call % ACCOUNTS as u64);
        (ledger.admit(now, account, call), ledger.flush(now))
    });
}
