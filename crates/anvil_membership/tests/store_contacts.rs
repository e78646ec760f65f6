//! Joining through the store, its outages, and the number of calls to it.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use anvil_membership::keys;
use anvil_types::{name, store};

mod harness;

use harness::Net;

#[test]
fn a_fleet_joins_through_the_store_alone() {
    // Nodes start together without seeds; soon after, the store has the contacts of each zone.
    let mut net = Net::with_store(30, 3, 11);
    net.run(Duration::from_secs(30));
    let contacts = net.store.entries();
    let contacts = contacts.filter(|entry| entry.key.as_str().starts_with("contacts/"));
    assert_eq!(contacts.count(), 9, "three contacts in each of three zones");
    assert_eq!(net.store.waiting(), 6, "two watches in each zone");
}

#[test]
fn store_calls_depend_on_zones_and_not_on_nodes() {
    // Four times as many nodes in the same zones must not raise the rate of store calls.
    let rate = |size: usize| {
        let mut net = Net::with_store(size, 3, 12);
        net.run(Duration::from_secs(60));
        let before = net.store.counts();
        net.run(Duration::from_secs(120));
        let after = net.store.counts();
        after.reads + after.writes - before.reads - before.writes
    };
    let (small, large) = (rate(24), rate(96));
    assert!(large <= small + small / 10, "{small} calls grew to {large}");
}

#[test]
fn a_joiner_during_an_outage_waits_and_then_serves() {
    // A node that starts during an outage without a seed knows no peers, so it cannot tell whether
    // its rules are old. It refuses requests as not run until the store is back.
    let mut net = Net::with_store(12, 2, 13);
    net.store.faults.down = true;
    let late = net.add(0, &harness::with_store());
    net.run(Duration::from_secs(60));
    assert!(!net.nodes[late].state.is_ready());
    net.store.faults.down = false;
    let ready = |net: &Net| net.nodes[late].state.is_ready();
    let took = net.run_until(Duration::from_secs(60), ready);
    assert!(took <= Duration::from_secs(45), "took {took:?}");
}

#[test]
fn a_joiner_with_a_seed_learns_the_rules_from_peers_in_an_outage() {
    // A starting node serves by the rules in force although the store is down. It joins through a
    // seed, pulls the changes from peers, receives messages of three ready members that have no
    // newer rules, and knows that the store can't be read.
    let mut net = Net::with_store(12, 2, 14);
    assert!(net.propose(3, 77));
    net.run(Duration::from_secs(5));
    net.store.faults.down = true;
    let late = net.add(0, &harness::with_store());
    let join = harness::address(1);
    net.act(late, |state, _| state.join(join));
    let ready = |net: &Net| net.nodes[late].state.is_ready();
    let took = net.run_until(Duration::from_secs(60), ready);
    assert!(took <= Duration::from_secs(15), "took {took:?}");
    assert_eq!(net.nodes[late].document, [77]);
}

#[test]
fn what_others_wrote_at_the_contacts_keys_keeps_no_newcomer_out() {
    // Another program has written values to the keys of all contacts, without a lease and in a
    // format that no node can decode. Nodes that start then still find each other, since a value
    // that names no node is replaced.
    let mut net = Net::new(16);
    let zone = name::ZoneName::new("zone-0").unwrap();
    let junk: [&[u8]; 3] = [b"", b"\xff\xfe", b"{\"address\":\"10.0.0.9\"}"];
    for (slot, value) in junk.into_iter().enumerate() {
        let request = store::StoreRequest::Swap {
            key: keys::contact(&zone, u8::try_from(slot).unwrap()),
            condition: store::SwapCondition::Absent,
            value: bytes::Bytes::copy_from_slice(value),
            lease: None,
        };
        let id = store::StoreId {
            requester: store::StoreRequester::Fleet,
            sequence: 1,
        };
        let outcome = net.store.carry_out(net.now, (usize::MAX, id), &request);
        assert!(matches!(outcome, Some(store::StoreOutcome::Done(_))));
    }
    for _ in 0..6 {
        net.add(0, &harness::with_store());
    }
    let all_joined = |net: &Net| net.nodes.iter().all(|node| node.state.table().live() == 6);
    net.run_until(Duration::from_secs(90), all_joined);
    assert!(all_joined(&net), "the fleet did not join through the store");
}

#[test]
fn crashed_watchers_are_replaced() {
    // A change that is accepted through any node must reach watchers although some crashed. Both
    // watchers of a zone crash; their leases expire, and other nodes claim the slots and watch.
    let mut net = Net::with_store(12, 1, 15);
    net.run(Duration::from_secs(30));
    for index in 0..12 {
        let record = net.nodes[index].state.table().get(harness::id(index));
        if record.is_some_and(|r| r.facts.contact.is_some_and(|slot| slot < 2)) {
            net.crash(index);
        }
    }
    assert_eq!(net.nodes.iter().filter(|n| n.running).count(), 10);
    let running = |net: &Net| {
        let held = |n: &&harness::Node| {
            let record = n.state.table().get(n.state.local());
            n.running && record.is_some_and(|r| r.facts.contact.is_some_and(|slot| slot < 2))
        };
        net.nodes.iter().filter(held).count() == 2
    };
    let took = net.run_until(Duration::from_secs(90), running);
    assert!(took <= Duration::from_secs(60), "took {took:?}");
}

#[test]
fn a_leaving_contact_gives_its_slot_back() {
    // During a rolling restart, starting nodes must always find live contacts. A contact announces
    // that it leaves; its entry is removed immediately, and another node claims the slot long
    // before the lease would have expired and the vacancy been detected.
    let mut net = Net::with_store(12, 1, 16);
    net.run(Duration::from_secs(30));
    let slot = |net: &Net, index: usize| {
        let record = net.nodes[index].state.table().get(harness::id(index));
        record.and_then(|r| r.facts.contact)
    };
    let index = (0..12).find(|index| slot(&net, *index) == Some(0));
    let index = index.expect("slot 0 is held");
    let leaving = anvil_membership::fleet::LocalTarget {
        leaving: true,
        ..anvil_membership::fleet::LocalTarget::default()
    };
    net.act(index, |state, now| state.set_local_target(now, &leaving));
    net.run(Duration::from_millis(50));
    let first = |net: &Net| net.store.entries().any(|e| e.key.as_str().ends_with("/0"));
    assert!(!first(&net), "the entry was not removed");
    let taken = |net: &Net| first(net);
    let took = net.run_until(Duration::from_secs(30), taken);
    assert!(took <= Duration::from_secs(14), "took {took:?}");
    assert_eq!(slot(&net, index), None);
}
