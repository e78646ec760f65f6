//! Rotation of the shared keys while nodes run: requests succeed in every round.

#![allow(clippy::unwrap_used)]

mod common;

use std::path::Path;

use anvil_node::{counters, node, settings};
use anvil_standins::http_target;
use anvil_testkit::test_cases;

/// Starts a node with these keys; it seals with the first one.
fn start(keys: &[u16], extra: &str) -> node::RunningNode {
    let entries = keys.iter().map(|id| {
        let secret = format!("{id:02x}").repeat(32);
        format!("  - {{id: {id}, secret: '{secret}'}}\n")
    });
    let entries: String = entries.collect();
    let own = format!("  - {{id: 1, secret: {}}}\n", common::SECRET);
    let yaml = common::yaml("").replace(&own, &entries) + extra;
    let settings = settings::parse(&yaml, Path::new("keys.yaml")).unwrap();
    node::start(&settings).unwrap()
}

// In each round of a rotation some nodes have the new settings and some the old ones. Membership
// and calls between them must work, whichever key each node seals with.
fn requests_succeed_during_a_rotation(target_keys: &[u16], entry_keys: &[u16]) {
    let serving = start(target_keys, "");
    let target = http_target::StandInTarget::start().unwrap();
    common::announce(serving.bound().admin, target.address(), common::SERVICE);
    let seeds = format!("seeds: ['{}']\n", serving.bound().gossip);
    let entry = start(entry_keys, &seeds);
    common::await_true("a request reaches the other node", || {
        let request = common::request(entry.bound().caller, "GET", "/alive");
        request.send().unwrap().status() == 200
    });
    for node in [&serving, &entry] {
        for cause in [
            counters::EdgeCause::DatagramRefused,
            counters::EdgeCause::PeerHandshakeRefused,
        ] {
            assert_eq!(node.counters().total(cause), 0, "{cause}");
        }
    }
}

test_cases! { requests_succeed_during_a_rotation:
    the_target_got_the_new_key_first => (&[1, 2], &[1]),
    the_entry_got_the_new_key_first => (&[1], &[1, 2]),
    the_target_sends_with_the_new_key => (&[2, 1], &[1, 2]),
    the_entry_sends_with_the_new_key => (&[1, 2], &[2, 1]),
    the_target_dropped_the_old_key => (&[2], &[2, 1]),
    the_entry_dropped_the_old_key => (&[2, 1], &[2]),
}

// A node that missed a whole rotation has no key that the others accept. It must not be able to
// join, and the others count its attempts.
#[test]
fn a_node_with_only_the_old_key_cannot_join() {
    let serving = start(&[2], "");
    let seeds = format!("seeds: ['{}']\n", serving.bound().gossip);
    let outside = start(&[1], &seeds);
    common::await_true("its datagrams are refused", || {
        serving
            .counters()
            .total(counters::EdgeCause::DatagramRefused)
            >= 1
    });
    let url = format!("http://{}/status", serving.bound().admin);
    let status = attohttpc::get(url).send().unwrap().text().unwrap();
    let status: serde_json::Value = serde_json::from_str(&status).unwrap();
    assert_eq!(status["fleet"]["members"], 1, "{status}");
    outside.stop();
    outside.wait().unwrap();
}
