//! Claims with idempotency keys, through real nodes and sockets and a stand-in of the store.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use anvil_node::{node, settings};
use anvil_standins::http_target;
use anvil_standins::store::{fake, server};

/// The status for `in-progress`.
const IN_PROGRESS: u16 = 409;

fn start(store: SocketAddr) -> node::RunningNode {
    let yaml = format!("{}platform: ['{store}']\n", common::yaml(""));
    let settings = settings::parse(&yaml, Path::new("node.yaml")).unwrap();
    node::start(&settings).unwrap()
}

fn members(node: &node::RunningNode) -> serde_json::Value {
    let url = format!("http://{}/status", node.bound().admin);
    let body = attohttpc::get(url).send().unwrap().text().unwrap();
    let status: serde_json::Value = serde_json::from_str(&body).unwrap();
    status["fleet"]["members"].clone()
}

/// Submits a claim, and retries while an earlier copy of it is in progress.
fn submit(node: &node::RunningNode, key: &str) -> u16 {
    loop {
        let caller = node.bound().caller;
        let request = common::request(caller, "POST", "/claims").header("idempotency-key", key);
        let status = request.text("a claim").send().unwrap().status().as_u16();
        if status != IN_PROGRESS {
            return status;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

// A client sends each claim to one node and again to the other, as after a lost response. Each
// claim must run once, and both copies must get its answer. The same holds while the store is down,
// since the owners of the keys need it only to change owners.
#[test]
fn claim_resent_to_the_other_node_runs_once() {
    let store = server::StoreServer::start(3).unwrap();
    let nodes = [start(store.address()), start(store.address())];
    let target = http_target::StandInTarget::start().unwrap();
    common::announce(nodes[0].bound().admin, target.address(), common::SERVICE);
    common::await_true("the nodes join", || {
        nodes.iter().all(|node| members(node) == 2)
    });
    common::await_true("the other node learns of the target", || {
        submit(&nodes[1], "first") == 200
    });
    for claim in 0..20 {
        let key = format!("claim-{claim}");
        assert_eq!(submit(&nodes[claim % 2], &key), 200);
        assert_eq!(submit(&nodes[(claim + 1) % 2], &key), 200);
    }
    store.set_faults(fake::StoreFaults {
        down: true,
        ..fake::StoreFaults::default()
    });
    assert_eq!(submit(&nodes[0], "claim-3"), 200);
    assert_eq!(submit(&nodes[1], "claim-4"), 200);
    for claim in 0..20 {
        let key = format!("claim-{claim}");
        let seen = target.seen();
        let runs = seen
            .iter()
            .filter(|seen| seen.header("idempotency-key") == Some(&key));
        assert_eq!(runs.count(), 1, "{key}");
    }
    store.set_faults(fake::StoreFaults::default());
    for node in nodes {
        node.stop();
        node.wait().unwrap();
    }
}
