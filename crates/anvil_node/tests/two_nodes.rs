//! Requests that enter at one node and run at the target of another.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::TcpListener;
use std::path::Path;
use std::thread;

use anvil_node::{node, settings};
use anvil_standins::{http_target, process};
use anvil_types::ident;
use anvil_wire::{call, frame};
use common::impostor;

/// An entry node without a target that knows the node at `seed`.
fn entry(seed: std::net::SocketAddr) -> node::RunningNode {
    let yaml = format!("{}seeds: ['{seed}']\n", common::yaml(""));
    let settings = settings::parse(&yaml, Path::new("entry.yaml")).unwrap();
    node::start(&settings).unwrap()
}

/// Waits until the entry node has heard of a target.
fn await_target(entry: &node::RunningNode) {
    let caller = entry.bound().caller;
    common::await_true("the entry node hears of the target", || {
        let response = common::request(caller, "GET", "/joined").send().unwrap();
        response.status() == 200
    });
}

#[test]
fn a_request_crosses_two_nodes_whole() {
    let pair = common::Pair::start("");
    let entry = entry(pair.node.bound().gossip);
    await_target(&entry);
    let body: Vec<u8> = (0..300_000).map(|place| (place % 253) as u8).collect();
    let request = common::request(entry.bound().caller, "PUT", "/evidence/7?part=1");
    let response = request.bytes(&body).send().unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["anvil-outcome"], "answered");
    assert_eq!(response.headers()["anvil-attempts"], "1");
    assert!(
        response.bytes().unwrap() == body,
        "the body came back changed"
    );
    let seen = pair.target.seen();
    let seen = seen.last().unwrap();
    assert_eq!(seen.head.method, "PUT");
    assert_eq!(seen.head.uri, "/evidence/7?part=1");
}

// A target calls another service by its own node, with the token it got. The second target sees
// the root request's id; once the first run has ended the token is worth nothing, because nobody
// waits for what would be done in its name.
#[test]
fn the_context_follows_a_targets_own_calls() {
    let inner = common::Pair::start("");
    let outer = entry(inner.node.bound().gossip);
    await_target(&outer);
    let parent = http_target::StandInTarget::start().unwrap();
    common::announce(outer.bound().admin, parent.address(), "mesa-entradas");
    let caller = outer.bound().caller;
    let root = "0123456789abcdef0123456789abcdef";
    let asking = thread::spawn(move || {
        let url = format!("http://{caller}/slow/800");
        let request = attohttpc::post(url)
            .header("anvil-service", "mesa-entradas")
            .header("anvil-request-id", root);
        request.send().unwrap().status().as_u16()
    });
    common::await_true("the parent runs", || parent.seen().len() == 1);
    let seen = parent.seen();
    let token = seen[0].header("anvil-parent").unwrap().to_owned();
    let child = |path: &str| {
        let request = common::request(caller, "GET", path).header("anvil-parent", &token);
        request.send().unwrap()
    };
    assert_eq!(child("/child").status(), 200);
    let below = inner.target.seen();
    let below = below.last().unwrap();
    assert_eq!(below.head.uri, "/child");
    assert_eq!(below.header("anvil-request-id"), Some(root));
    assert_eq!(asking.join().unwrap(), 200);
    let late = child("/too-late");
    assert_eq!(late.headers()["anvil-outcome"], "not-run");
    assert_eq!(inner.target.seen().last().unwrap().head.uri, "/child");
}

// The node beside the target sends each answer twice, repeats an old one in front of a new one
// and answers attempts that were never made. Each caller gets the answer to its own request, once.
#[test]
fn stale_answers_reach_nobody() {
    let entry = entry("127.0.0.1:9".parse().unwrap());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    impostor::introduce(entry.bound().gossip, listener.local_addr().unwrap());
    let mut peer = impostor::Impostor::accept(&listener);
    peer.tell_members();
    await_service(&entry);
    let caller = entry.bound().caller;
    let ask = move |path: &'static str| {
        thread::spawn(move || {
            let response = common::request(caller, "GET", path).send().unwrap();
            response.text().unwrap()
        })
    };
    let first = ask("/first");
    let one = peer.receive_call();
    peer.answer(one.call, one.attempt, "first");
    peer.answer(one.call, one.attempt, "first again");
    assert_eq!(first.join().unwrap(), "first");
    let second = ask("/second");
    let two = peer.receive_call();
    peer.answer(one.call, one.attempt, "first, late");
    peer.answer(two.call, two.attempt + 1, "an attempt not made");
    let other = ident::CallId {
        node: ident::NodeId(1),
        sequence: two.call.sequence,
    };
    peer.answer(other, two.attempt, "another node's call");
    peer.answer(two.call, two.attempt, "second");
    assert_eq!(second.join().unwrap(), "second");
}

/// Waits until the entry node knows the played target and serves, which a fresh node does only once it
/// has asked its peers for the members that they know.
fn await_service(entry: &node::RunningNode) {
    let status = format!("http://{}/status", entry.bound().admin);
    common::await_true("the entry node knows the service and serves", || {
        let response = attohttpc::get(&status).send().unwrap();
        let told = response.text().unwrap();
        told.contains("audiencias") && told.contains("\"rules_compared\":true")
    });
}

/// An entry node and a played node with two connections between them, of which a call is out on the
/// first and the second was last heard from.
struct TwoConnections {
    entry: node::RunningNode,
    asking: thread::JoinHandle<String>,
    call: call::PeerCall,
    first: impostor::Impostor,
    second: impostor::Impostor,
}

fn ask(entry: &node::RunningNode) -> thread::JoinHandle<String> {
    let caller = entry.bound().caller;
    thread::spawn(move || {
        let response = common::request(caller, "POST", "/bids").send().unwrap();
        response.text().unwrap()
    })
}

fn two_connections() -> TwoConnections {
    let entry = entry("127.0.0.1:9".parse().unwrap());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    impostor::introduce(entry.bound().gossip, listener.local_addr().unwrap());
    let mut first = impostor::Impostor::accept(&listener);
    first.tell_members();
    await_service(&entry);
    let asking = ask(&entry);
    let call = first.receive_call();
    let mut second = impostor::Impostor::connect(entry.bound().peer);
    // The entry node has no target and refuses; its answer shows that it has heard the second one.
    let mut heard = call.clone();
    heard.call = ident::CallId {
        node: impostor::NODE,
        sequence: 1,
    };
    second.send(&frame::PeerFrame::Call(Box::new(heard)));
    second.receive_answer();
    TwoConnections {
        entry,
        asking,
        call,
        first,
        second,
    }
}

// Two nodes dialled each other at once and hold two connections. One of them ends while a call is
// out on the other. No answer was due on it, so the other one stays: the call is answered, and so is
// the next one, on the same connection.
#[test]
fn the_end_of_one_of_two_connections_loses_no_answer() {
    let mut two = two_connections();
    drop(two.second);
    let lost = anvil_node::counters::EdgeCause::PeerConnectionLost;
    common::await_true("one has ended", || two.entry.counters().total(lost) == 1);
    two.first.answer(two.call.call, two.call.attempt, "whole");
    assert_eq!(two.asking.join().unwrap(), "whole");
    let asking = ask(&two.entry);
    let next = two.first.receive_call();
    two.first.answer(next.call, next.attempt, "whole again");
    assert_eq!(asking.join().unwrap(), "whole again");
}

// The same with a call out on each. The one that ends has its call's answer on the way. The entry node
// asks over the other one what became of its calls there, so both callers get their answers; given up
// with the connection, one would be told "may have run" of a bid that was filed.
#[test]
fn the_end_of_a_connection_with_a_call_costs_no_call() {
    let mut two = two_connections();
    let other = ask(&two.entry);
    let call = two.second.receive_call();
    drop(two.second);
    let asked = two.first.receive_asked();
    let mut sequences: Vec<u64> = asked.iter().map(|asked| asked.id.call.sequence).collect();
    sequences.sort_unstable();
    assert_eq!(sequences, [two.call.call.sequence, call.call.sequence]);
    assert!(asked.iter().all(|asked| !asked.idempotent));
    two.first.answer(call.call, call.attempt, "the other");
    two.first.answer(two.call.call, two.call.attempt, "whole");
    assert_eq!(two.asking.join().unwrap(), "whole");
    assert_eq!(other.join().unwrap(), "the other");
}

fn start(name: &str) -> process::NodeProcess {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let settings = common::yaml("");
    process::NodeProcess::start(&process::ProcessPlan {
        binary: Path::new(env!("CARGO_BIN_EXE_anvil-node")),
        folder: &folder,
        name: "node",
        settings: &settings,
    })
    .unwrap()
}

// The node beside the target is killed while it runs a bid. Its socket closes, so the caller
// learns at once that its bid may have run, not after its deadline. A bid sent afterwards finds no
// connection: nothing of it left, so it is told not-run.
#[test]
fn a_killed_node_is_told_exactly() {
    let mut node = start("killed_node");
    let target = http_target::StandInTarget::start().unwrap();
    common::announce(node.addresses().admin, target.address(), common::SERVICE);
    let entry = entry(node.addresses().gossip);
    await_target(&entry);
    let caller = entry.bound().caller;
    let ask = move |path: &str| {
        let request = common::request(caller, "POST", path).text("a bid");
        let response = request.send().unwrap();
        let outcome = response.headers()["anvil-outcome"].clone();
        (response.status().as_u16(), outcome)
    };
    let asking = thread::spawn(move || ask("/slow/60000"));
    let runs = |path: &str| {
        let seen = target.seen();
        seen.iter().any(|seen| seen.head.uri == path)
    };
    common::await_true("it runs", || runs("/slow/60000"));
    node.kill();
    let (status, outcome) = asking.join().unwrap();
    assert_eq!((status, outcome.to_str().unwrap()), (502, "may-have-run"));
    let (status, outcome) = ask("/afterwards");
    assert_eq!((status, outcome.to_str().unwrap()), (503, "not-run"));
    assert!(!runs("/afterwards"));
}

// The node beside the target is asked to stop while ten bids run there for callers of another
// node. All ten are answered whole before it ends, and its peers hear that it leaves.
#[test]
fn a_planned_stop_cuts_nothing_across_nodes() {
    let mut node = start("leaving_node");
    let target = http_target::StandInTarget::start().unwrap();
    common::announce(node.addresses().admin, target.address(), common::SERVICE);
    let entry = entry(node.addresses().gossip);
    await_target(&entry);
    let before = target.seen().len();
    let caller = entry.bound().caller;
    let ask = move || {
        let request = common::request(caller, "POST", "/slow/1500").text("a bid");
        let response = request.send().unwrap();
        (response.status().as_u16(), response.text().unwrap())
    };
    let callers: Vec<_> = (0..10).map(|_| thread::spawn(ask)).collect();
    common::await_true("all run", || target.seen().len() == before + 10);
    node.terminate().unwrap();
    for caller in callers {
        assert_eq!(caller.join().unwrap(), (200, "a bid".to_owned()));
    }
    assert!(node.wait_end(common::PATIENCE).unwrap(), "exit code zero");
    assert_eq!(target.abandoned(), 0);
}

// The node beside the target freezes with a bid on its way to it. Its connection stays open, so
// nothing tells of the loss; the caller learns "may have run" at its own deadline. Once the node
// goes on, the same connection serves again.
#[test]
fn a_frozen_node_costs_a_caller_no_more_than_its_deadline() {
    let node = start("frozen_node");
    let target = http_target::StandInTarget::start().unwrap();
    common::announce(node.addresses().admin, target.address(), common::SERVICE);
    let entry = entry(node.addresses().gossip);
    await_target(&entry);
    node.pause().unwrap();
    let request = common::request(entry.bound().caller, "POST", "/bids")
        .header("anvil-timeout-ms", "300")
        .text("a bid");
    let response = request.send().unwrap();
    assert_eq!(response.status(), 504);
    assert_eq!(response.headers()["anvil-outcome"], "may-have-run");
    node.resume().unwrap();
    await_target(&entry);
}
