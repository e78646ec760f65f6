//! Membership of real node processes that crash or stop.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::path::Path;

use anvil_standins::process;

fn start(name: &str, seed: Option<SocketAddr>) -> process::NodeProcess {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("fleet_process");
    std::fs::create_dir_all(&folder).unwrap();
    let seeds = seed.map(|seed| format!("seeds: ['{seed}']\n"));
    let settings = format!("{}{}", common::yaml(""), seeds.unwrap_or_default());
    process::NodeProcess::start(&process::ProcessPlan {
        binary: Path::new(env!("CARGO_BIN_EXE_anvil-node")),
        folder: &folder,
        name,
        settings: &settings,
    })
    .unwrap()
}

fn dump(node: &process::NodeProcess) -> serde_json::Value {
    let url = format!("http://{}/dump", node.addresses().admin);
    let body = attohttpc::get(url).send().unwrap().text().unwrap();
    serde_json::from_str(&body).unwrap()
}

fn members(node: &process::NodeProcess) -> u64 {
    let dump = dump(node);
    dump["status"]["fleet"]["members"].as_u64().unwrap()
}

// One node stops as planned and announces that; another is killed and stays suspected until its
// timeout. The remaining nodes must remove both, each with the right reason.
#[test]
fn planned_stops_and_crashes_are_distinguished() {
    let first = start("first", None);
    let seed = Some(first.addresses().gossip);
    let second = start("second", seed);
    let leaving = start("leaving", seed);
    let mut killed = start("killed", seed);
    common::await_true("all four nodes have joined", || {
        [&first, &second, &leaving, &killed]
            .iter()
            .all(|node| members(node) == 4)
    });
    leaving.terminate().unwrap();
    common::await_true("the planned stop is detected", || {
        members(&first) == 3 && members(&second) == 3
    });
    killed.kill();
    common::await_true("the crash is detected", || {
        members(&first) == 2 && members(&second) == 2
    });
    for node in [&first, &second] {
        let counters = dump(node)["counters"].clone();
        assert_eq!(counters["fleet_members_left"], 1);
        assert_eq!(counters["fleet_members_crashed"], 1);
    }
}
