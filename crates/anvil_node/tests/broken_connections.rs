//! Connections between two real nodes that are reset or go silent while bids are in flight.
//!
//! Both processes keep running: the network dropped the state of the connection, or a proxy between
//! them restarted. The caller waits at one node for a target at the other. A node that mistakes the
//! end of a connection for the end of a process would abandon bids that are being processed.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use anvil_node::{node, settings};
use anvil_standins::{http_target, loopback, proxy};

const CALLER: u16 = 8_080;
const ADMIN: u16 = 8_081;
const PEER: u16 = 8_082;
const GOSSIP: u16 = 8_083;

/// Indexes of loopback addresses. The peer port of each node is bound at its index plus
/// `HIDDEN_OFFSET`, and the proxy in front of it at the index itself.
const ENTRY: u8 = 0;
const SERVING: u8 = 1;
const HIDDEN_OFFSET: u8 = 100;

/// A node whose peer port is behind a proxy.
struct ProxiedNode {
    node: node::RunningNode,
    link: proxy::FaultProxy,
}

/// Two nodes and a target of the second; the test controls the connections between the nodes.
struct ProxiedPair {
    entry: ProxiedNode,
    serving: ProxiedNode,
    target: http_target::StandInTarget,
    _runtime: tokio::runtime::Runtime,
    _block: loopback::LoopbackBlock,
}

fn start(
    block: &loopback::LoopbackBlock,
    runtime: &tokio::runtime::Handle,
    index: u8,
    seed: SocketAddr,
) -> ProxiedNode {
    let hidden = block.port(HIDDEN_OFFSET + index, PEER);
    let link = proxy::FaultProxy::start(runtime, block.port(index, PEER), hidden).unwrap();
    let yaml = format!(
        "zone: ar-centro-a\nregion: ar-centro\nadvertise: {}\nlisten: {{caller: '{}', admin: '{}', \
         peer: '{hidden}', gossip: '{}'}}\npeer_keys: [{{id: 1, secret: {}}}]\nseeds: ['{seed}']\n",
        block.address(index),
        block.port(index, CALLER),
        block.port(index, ADMIN),
        block.port(index, GOSSIP),
        common::SECRET,
    );
    let settings = settings::parse(&yaml, Path::new("proxied.yaml")).unwrap();
    let node = node::start(&settings).unwrap();
    ProxiedNode { node, link }
}

impl ProxiedPair {
    fn start() -> Self {
        let block = loopback::LoopbackBlock::claim().unwrap();
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let entry = start(&block, runtime.handle(), ENTRY, block.port(SERVING, GOSSIP));
        let serving = start(&block, runtime.handle(), SERVING, block.port(ENTRY, GOSSIP));
        let target = http_target::StandInTarget::start().unwrap();
        common::announce(
            serving.node.bound().admin,
            target.address(),
            common::SERVICE,
        );
        let pair = Self {
            entry,
            serving,
            target,
            _runtime: runtime,
            _block: block,
        };
        common::await_true("the entry node learns of the target", || {
            pair.request("/joined").send().unwrap().status() == 200
        });
        pair
    }

    fn request(&self, path: &str) -> attohttpc::RequestBuilder {
        common::request(self.entry.node.bound().caller, "POST", path)
    }

    fn run_count(&self, path: &str) -> usize {
        let seen = self.target.seen();
        seen.iter().filter(|seen| seen.head.uri == path).count()
    }

    /// Applies `fault` to all connections between the two nodes; new ones work.
    fn inject(&self, fault: proxy::LinkFault) {
        self.entry.link.set(fault);
        self.serving.link.set(fault);
    }
}

/// When the connection breaks.
#[derive(Clone, Copy, Debug)]
enum BreakMoment {
    /// While the target runs the bid.
    Running,
    /// Before the bid is sent.
    Idle,
}

// A bid is sent on a connection that breaks before or after. It must run once and its caller must
// get the answer, even if the caller's node was asked to stop before: a planned stop fails no call.
fn check_break(fault: proxy::LinkFault, moment: BreakMoment, stopping: bool) {
    const BID: &str = "/slow/1200";
    let pair = ProxiedPair::start();
    if matches!(moment, BreakMoment::Idle) {
        pair.inject(fault);
    }
    let request = pair.request(BID).text("a bid");
    let caller = thread::spawn(move || {
        let response = request.send().unwrap();
        (response.status().as_u16(), response.text().unwrap())
    });
    if matches!(moment, BreakMoment::Running) {
        common::await_true("it runs", || pair.run_count(BID) == 1);
    } else {
        // The bid is sent on the broken connection, where it is lost, before the node stops.
        thread::sleep(Duration::from_millis(100));
    }
    if stopping {
        pair.entry.node.stop();
    }
    if matches!(moment, BreakMoment::Running) {
        pair.inject(fault);
    }
    assert_eq!(caller.join().unwrap(), (200, "a bid".to_owned()));
    assert_eq!(pair.run_count(BID), 1);
    assert_eq!(pair.target.abandoned(), 0);
    pair.serving.node.stop();
}

anvil_testkit::test_cases! {
    check_break:
    reset_while_running => (proxy::LinkFault::Reset, BreakMoment::Running, false),
    silenced_while_running => (proxy::LinkFault::Silenced, BreakMoment::Running, false),
    silenced_while_idle => (proxy::LinkFault::Silenced, BreakMoment::Idle, false),
    reset_while_running_at_a_stop => (proxy::LinkFault::Reset, BreakMoment::Running, true),
    silenced_while_running_at_a_stop => (proxy::LinkFault::Silenced, BreakMoment::Running, true),
    silenced_while_idle_at_a_stop => (proxy::LinkFault::Silenced, BreakMoment::Idle, true),
}
