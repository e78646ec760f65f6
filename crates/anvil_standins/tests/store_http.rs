//! The store's client against its stand-in, over real HTTP.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use anvil_standins::store::{fake, server};
use anvil_store::http::HttpStore;
use anvil_store::platform::PlatformStore;
use anvil_types::store::{
    StoreEntry, StoreKey, StoreOutcome, StoreReply, StoreRequest, StoreVersion, SwapCondition,
};
use bytes::Bytes;

fn pair() -> (server::StoreServer, HttpStore) {
    let server = server::StoreServer::start(1).unwrap();
    let client = HttpStore::new(vec![server.address()]);
    (server, client)
}

fn swap(base: SwapCondition, value: &'static [u8]) -> StoreRequest {
    StoreRequest::Swap {
        key: StoreKey::new("rules/log/1"),
        condition: base,
        value: Bytes::from_static(value),
        lease: None,
    }
}

fn entry(version: u64, value: &'static [u8]) -> StoreEntry {
    StoreEntry {
        key: StoreKey::new("rules/log/1"),
        version: StoreVersion(version),
        value: Bytes::from_static(value),
    }
}

#[test]
fn a_write_takes_effect_once_and_the_second_sees_the_first() {
    let (_server, client) = pair();
    let version = StoreVersion(1);
    let done = StoreOutcome::Done(StoreReply::Swapped { version });
    assert_eq!(
        client.carry_out(&swap(SwapCondition::Absent, b"a\0b")),
        done
    );
    let current = Some(entry(1, b"a\0b"));
    let conflict = StoreOutcome::Conflict { current };
    assert_eq!(
        client.carry_out(&swap(SwapCondition::Absent, b"c")),
        conflict
    );
    let key = StoreKey::new("rules/log/1");
    let get = client.carry_out(&StoreRequest::Get { key });
    let found = Some(entry(1, b"a\0b"));
    assert_eq!(get, StoreOutcome::Done(StoreReply::Entry(found)));
}

#[test]
fn a_store_that_is_down_did_nothing() {
    // The asker may repeat the call: neither a refusal nor a refused connection had an effect.
    let (server, client) = pair();
    server.set_faults(fake::StoreFaults {
        down: true,
        ..fake::StoreFaults::default()
    });
    let ask = swap(SwapCondition::Absent, b"x");
    assert_eq!(client.carry_out(&ask), StoreOutcome::Unavailable);
    assert!(server.entries().is_empty());
    let nobody: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let client = HttpStore::new(vec![nobody]);
    assert_eq!(client.carry_out(&ask), StoreOutcome::Unavailable);
}

#[test]
fn a_lost_answer_is_unknown_although_the_write_took_effect() {
    // The asker must read back before it says anything: the write stands, its answer does not.
    let (server, client) = pair();
    server.set_faults(fake::StoreFaults {
        lost_answers: 100,
        ..fake::StoreFaults::default()
    });
    let outcome = client.carry_out(&swap(SwapCondition::Absent, b"x"));
    assert_eq!(outcome, StoreOutcome::Unknown);
    assert_eq!(server.entries(), [entry(1, b"x")]);
}

#[test]
fn a_watch_waits_for_a_write_and_counts_as_one_call() {
    let (server, client) = pair();
    let address = server.address();
    let watching = thread::spawn(move || {
        let watch = StoreRequest::Watch {
            prefix: StoreKey::new("rules/log/"),
            seen: StoreVersion(0),
            wait: Duration::from_secs(20),
        };
        HttpStore::new(vec![address]).carry_out(&watch)
    });
    while server.counts().watches == 0 {
        thread::sleep(Duration::from_millis(2));
    }
    client.carry_out(&swap(SwapCondition::Absent, b"new"));
    let listed = StoreReply::Listed {
        entries: vec![entry(1, b"new")],
        seen: StoreVersion(1),
        more: false,
    };
    assert_eq!(watching.join().unwrap(), StoreOutcome::Done(listed));
    assert_eq!(server.counts().reads, 1);
}

#[test]
fn a_lapsed_lease_takes_its_entry_along() {
    let (server, client) = pair();
    let lease = Duration::from_millis(30);
    let granted = client.carry_out(&StoreRequest::Grant { lease });
    let StoreOutcome::Done(StoreReply::Granted { lease }) = granted else {
        panic!("{granted:?}");
    };
    let ask = StoreRequest::Swap {
        key: StoreKey::new("contacts/zone/0"),
        condition: SwapCondition::Absent,
        value: Bytes::from_static(b"me"),
        lease: Some(lease),
    };
    client.carry_out(&ask);
    let lapsed = StoreOutcome::Done(StoreReply::Lapsed);
    while client.carry_out(&StoreRequest::Renew { lease }) != lapsed {
        thread::sleep(Duration::from_millis(40));
    }
    assert!(server.entries().is_empty());
}
