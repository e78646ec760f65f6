//! Nodes that find each other through the platform's store only.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::path::Path;

use anvil_node::{node, settings};
use anvil_standins::store::{fake, server};

const RULES: &str = include_str!("../../../examples/marche-armor/rules.yaml");

fn start(store: SocketAddr) -> node::RunningNode {
    let yaml = format!("{}platform: ['{store}']\n", common::yaml(""));
    let settings = settings::parse(&yaml, Path::new("node.yaml")).unwrap();
    node::start(&settings).unwrap()
}

fn get(node: &node::RunningNode, path: &str) -> serde_json::Value {
    let url = format!("http://{}{path}", node.bound().admin);
    let body = attohttpc::get(url).send().unwrap().text().unwrap();
    serde_json::from_str(&body).unwrap()
}

fn apply(node: &node::RunningNode, change: &str) -> u16 {
    let url = format!("http://{}/rules", node.bound().admin);
    let request = attohttpc::post(url)
        .header("anvil-change", change)
        .header("anvil-author", "ana")
        .header("anvil-base", "0")
        .timeout(common::TEST_TIMEOUT);
    let response = request.text(RULES).send().unwrap();
    response.status().as_u16()
}

#[test]
fn a_change_at_one_node_takes_effect_at_the_other() {
    // The nodes join through contact entries. A change applied at one is written to the log, and
    // the other node pulls it. The response to the write is lost, but the operator must still get
    // the right answer.
    let store = server::StoreServer::start(3).unwrap();
    let nodes = [start(store.address()), start(store.address())];
    common::await_true("the nodes join and compare their rules", || {
        let joined = |n| {
            let status = get(n, "/status");
            status["fleet"]["members"] == 2 && status["fleet"]["rules_compared"] == true
        };
        nodes.iter().all(joined)
    });
    store.set_faults(fake::StoreFaults {
        lost_answers: 30,
        ..fake::StoreFaults::default()
    });
    assert_eq!(apply(&nodes[0], "abc1"), 200);
    store.set_faults(fake::StoreFaults::default());
    common::await_true("the change arrives", || {
        get(&nodes[1], "/status")["rules"]["revision"] == 1
    });
    assert_eq!(apply(&nodes[1], "abc1"), 200, "repeated with the same id");
    assert_eq!(apply(&nodes[1], "abc2"), 409, "based on an old revision");
    let logged = store.entries();
    let logged = logged
        .iter()
        .filter(|e| e.key.as_str().starts_with("rules/log/"));
    assert_eq!(logged.count(), 1);
    for node in nodes {
        node.stop();
        node.wait().unwrap();
    }
}
