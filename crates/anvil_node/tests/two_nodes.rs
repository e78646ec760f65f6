//! Requests that enter at one node and run at the target of another.

#![allow(clippy::unwrap_used)]

mod common;

use std::path::Path;
use std::thread;

use anvil_node::{node, settings};
use anvil_standins::{http_target, process};
use anvil_types::ident;
use anvil_wire::{call, frame};
use common::fake_peer;

/// Starts an entry node without a target that joins the node at `seed`.
fn entry(seed: std::net::SocketAddr) -> node::RunningNode {
    let yaml = format!("{}seeds: ['{seed}']\n", common::yaml(""));
    let settings = settings::parse(&yaml, Path::new("entry.yaml")).unwrap();
    node::start(&settings).unwrap()
}

/// Waits until the entry node has learned of a target.
fn await_target(entry: &node::RunningNode) {
    let caller = entry.bound().caller;
    common::await_true("the entry node learns of the target", || {
        let response = common::request(caller, "GET", "/joined").send().unwrap();
        response.status() == 200
    });
}

#[test]
fn a_request_passes_two_nodes_unchanged() {
    let pair = common::Pair::start("");
    let entry = entry(pair.node.bound().gossip);
    await_target(&entry);
    let body: Vec<u8> = (0..300_000).map(|index| (index % 253) as u8).collect();
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

// A target calls another service through its own node, with the token that it received. The second
// target must get the id of the root request. Once the first run has ended the token is invalid,
// because nobody waits for the results of calls made with it.
#[test]
fn the_context_follows_the_calls_of_a_target() {
    let inner = common::Pair::start("");
    let outer = entry(inner.node.bound().gossip);
    await_target(&outer);
    let parent = http_target::StandInTarget::start().unwrap();
    common::announce(outer.bound().admin, parent.address(), "mesa-entradas");
    let caller = outer.bound().caller;
    let root = "0123456789abcdef0123456789abcdef";
    let waiting_caller = thread::spawn(move || {
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
    assert_eq!(waiting_caller.join().unwrap(), 200);
    let late = child("/too-late");
    assert_eq!(late.headers()["anvil-outcome"], "not-run");
    assert_eq!(inner.target.seen().last().unwrap().head.uri, "/child");
}

// A peer sends each answer twice, repeats an old answer before a new one, and answers attempts that
// were never made. Each caller must get the answer to its own request, once.
#[test]
fn stale_answers_are_ignored() {
    let (entry, mut peer) = common::entry_with_fake_peer("");
    let caller = entry.bound().caller;
    let send = move |path: &'static str| {
        thread::spawn(move || {
            let response = common::request(caller, "GET", path).send().unwrap();
            response.text().unwrap()
        })
    };
    let first = send("/first");
    let one = peer.receive_call();
    peer.answer(one.call, one.attempt, "first");
    peer.answer(one.call, one.attempt, "first again");
    assert_eq!(first.join().unwrap(), "first");
    let second = send("/second");
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

/// An entry node and a fake peer with two connections between them. A call is in flight on the
/// first, and the entry node has received a frame on the second since.
struct TwoConnections {
    entry: node::RunningNode,
    caller: thread::JoinHandle<String>,
    call: call::PeerCall,
    first: fake_peer::FakePeer,
    second: fake_peer::FakePeer,
}

fn send_bid(entry: &node::RunningNode) -> thread::JoinHandle<String> {
    let caller = entry.bound().caller;
    thread::spawn(move || {
        let response = common::request(caller, "POST", "/bids").send().unwrap();
        response.text().unwrap()
    })
}

fn two_connections() -> TwoConnections {
    let (entry, mut first) = common::entry_with_fake_peer("");
    let caller = send_bid(&entry);
    let call = first.receive_call();
    let mut second = fake_peer::FakePeer::connect(entry.bound().peer);
    // The entry node has no target and refuses this call; its answer shows that it has received a
    // frame on the second connection.
    let mut second_call = call.clone();
    second_call.call = ident::CallId {
        node: fake_peer::NODE,
        sequence: 1,
    };
    second.send(&frame::PeerFrame::Call(Box::new(second_call)));
    second.receive_answer();
    TwoConnections {
        entry,
        caller,
        call,
        first,
        second,
    }
}

// Two nodes have connected to each other at the same time and have two connections. One ends while
// a call is in flight on the other. No answer was due on it, so the other one stays in use: the
// call is answered, and so is the next one, on the same connection.
#[test]
fn the_end_of_one_of_two_connections_loses_no_answer() {
    let mut two = two_connections();
    drop(two.second);
    let lost = anvil_node::counters::EdgeCause::PeerConnectionLost;
    common::await_true("one connection has ended", || {
        two.entry.counters().total(lost) == 1
    });
    two.first.answer(two.call.call, two.call.attempt, "whole");
    assert_eq!(two.caller.join().unwrap(), "whole");
    let caller = send_bid(&two.entry);
    let next = two.first.receive_call();
    two.first.answer(next.call, next.attempt, "whole again");
    assert_eq!(caller.join().unwrap(), "whole again");
}

// The same with a call in flight on each connection. When one ends, the entry node must query the
// outcome of all its calls at the peer over the other one, so that both callers get their answers.
// If the call were failed with its connection, its caller would get "may have run" for a bid that
// succeeded.
#[test]
fn the_end_of_a_connection_with_a_call_fails_no_call() {
    let mut two = two_connections();
    let other = send_bid(&two.entry);
    let call = two.second.receive_call();
    drop(two.second);
    let queried = two.first.receive_query();
    let mut sequences: Vec<u64> = queried
        .iter()
        .map(|attempt| attempt.id.call.sequence)
        .collect();
    sequences.sort_unstable();
    assert_eq!(sequences, [two.call.call.sequence, call.call.sequence]);
    assert!(queried.iter().all(|attempt| !attempt.idempotent));
    two.first.answer(call.call, call.attempt, "the other");
    two.first.answer(two.call.call, two.call.attempt, "whole");
    assert_eq!(two.caller.join().unwrap(), "whole");
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

// The node of the target is killed while a bid runs. Its socket closes, so the caller must get
// may-have-run at once and not after its deadline. For a bid sent afterwards no connection can be
// opened and nothing is sent, so it must get not-run.
#[test]
fn calls_at_a_killed_node_are_reported_exactly() {
    let mut node = start("killed_node");
    let target = http_target::StandInTarget::start().unwrap();
    common::announce(node.addresses().admin, target.address(), common::SERVICE);
    let entry = entry(node.addresses().gossip);
    await_target(&entry);
    let caller = entry.bound().caller;
    let send = move |path: &str| {
        let request = common::request(caller, "POST", path).text("a bid");
        let response = request.send().unwrap();
        let outcome = response.headers()["anvil-outcome"].clone();
        (response.status().as_u16(), outcome)
    };
    let waiting_caller = thread::spawn(move || send("/slow/60000"));
    let runs = |path: &str| {
        let seen = target.seen();
        seen.iter().any(|seen| seen.head.uri == path)
    };
    common::await_true("the request runs", || runs("/slow/60000"));
    node.kill();
    let (status, outcome) = waiting_caller.join().unwrap();
    assert_eq!((status, outcome.to_str().unwrap()), (502, "may-have-run"));
    let (status, outcome) = send("/afterwards");
    assert_eq!((status, outcome.to_str().unwrap()), (503, "not-run"));
    assert!(!runs("/afterwards"));
}

// The node of the target is asked to stop while ten bids run there for callers of another node. All
// ten must be answered completely before it exits.
#[test]
fn a_planned_stop_completes_calls_across_nodes() {
    let mut node = start("leaving_node");
    let target = http_target::StandInTarget::start().unwrap();
    common::announce(node.addresses().admin, target.address(), common::SERVICE);
    let entry = entry(node.addresses().gossip);
    await_target(&entry);
    let before = target.seen().len();
    let caller = entry.bound().caller;
    let send = move || {
        let request = common::request(caller, "POST", "/slow/1500").text("a bid");
        let response = request.send().unwrap();
        (response.status().as_u16(), response.text().unwrap())
    };
    let callers: Vec<_> = (0..10).map(|_| thread::spawn(send)).collect();
    common::await_true("all requests run", || target.seen().len() == before + 10);
    node.terminate().unwrap();
    for caller in callers {
        assert_eq!(caller.join().unwrap(), (200, "a bid".to_owned()));
    }
    assert!(
        node.wait_end(common::TEST_TIMEOUT).unwrap(),
        "exit code zero"
    );
    assert_eq!(target.abandoned(), 0);
}

// The node of the target freezes while a bid is sent to it. Its connection stays open, so the
// caller gets may-have-run only at its deadline. Once the node resumes, it must serve again.
#[test]
fn calls_at_a_frozen_node_end_at_their_deadlines() {
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
