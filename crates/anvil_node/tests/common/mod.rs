//! Helpers to run nodes in the test process, on free ports of the loopback address.

#![allow(clippy::unwrap_used, dead_code, missing_docs, unreachable_pub)]

pub mod fake_peer;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use anvil_node::{counters, node, settings};
use anvil_standins::http_target;

/// The service that the stand-in target offers.
pub const SERVICE: &str = "audiencias";

/// Longest wait in these tests; far longer than any step takes unless it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The shared key of the tests.
pub const SECRET: &str = "5ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e70000";

/// Settings with free ports, as YAML; `limits` is YAML indented by two spaces.
pub fn yaml(limits: &str) -> String {
    format!(
        "zone: ar-centro-a\nregion: ar-centro\nadvertise: 127.0.0.1\nlisten:\n  \
         caller: 127.0.0.1:0\n  admin: 127.0.0.1:0\n  peer: 127.0.0.1:0\n  \
         gossip: 127.0.0.1:0\npeer_keys:\n  - {{id: 1, secret: {SECRET}}}\n\
         limits:\n  flush_wait_ms: 2000\n{limits}"
    )
}

/// The parsed settings of [`yaml`].
pub fn settings(limits: &str) -> settings::NodeSettings {
    settings::parse(&yaml(limits), Path::new("test.yaml")).unwrap()
}

/// One node and its target.
pub struct Pair {
    pub node: node::RunningNode,
    pub target: http_target::StandInTarget,
}

impl Pair {
    /// Starts both and announces the target.
    pub fn start(limits: &str) -> Self {
        let node = node::start(&settings(limits)).unwrap();
        let target = http_target::StandInTarget::start().unwrap();
        announce(node.bound().admin, target.address(), SERVICE);
        Self { node, target }
    }

    pub fn caller(&self) -> SocketAddr {
        self.node.bound().caller
    }

    /// A request to the target's service.
    pub fn request(&self, method: &str, path: &str) -> attohttpc::RequestBuilder {
        request(self.caller(), method, path)
    }

    /// Asserts that the node still serves requests.
    pub fn assert_serving(&self) {
        let response = self.request("GET", "/alive").send().unwrap();
        assert_eq!(response.status(), 200);
    }

    /// Waits until `cause` was counted `count` times.
    pub fn await_count(&self, cause: counters::EdgeCause, count: u64) {
        await_true(&format!("{count} times {cause}"), || {
            self.node.counters().total(cause) >= count
        });
    }

    /// Stops the node and waits until it has ended.
    pub fn stop(self) {
        self.node.stop();
        self.node.wait().unwrap();
    }
}

/// A request to `SERVICE` through the node at `caller`.
pub fn request(caller: SocketAddr, method: &str, path: &str) -> attohttpc::RequestBuilder {
    let method = attohttpc::Method::from_bytes(method.as_bytes()).unwrap();
    let url = format!("http://{caller}{path}");
    attohttpc::RequestBuilder::new(method, url)
        .header("anvil-service", SERVICE)
        .timeout(TEST_TIMEOUT)
}

/// Starts an entry node without a target, and a fake node that offers the service to it.
pub fn entry_with_fake_peer(limits: &str) -> (node::RunningNode, fake_peer::FakePeer) {
    let yaml = format!("{}seeds: ['127.0.0.1:9']\n", yaml(limits));
    let settings = settings::parse(&yaml, Path::new("entry.yaml")).unwrap();
    let entry = node::start(&settings).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    fake_peer::announce_peer(entry.bound().gossip, listener.local_addr().unwrap());
    let mut peer = fake_peer::FakePeer::accept(&listener);
    peer.send_members();
    await_service(&entry);
    (entry, peer)
}

/// Waits until the entry node knows the service of the fake peer and serves, which a new node does
/// only after it has compared its members with its peers.
pub fn await_service(entry: &node::RunningNode) {
    let status = format!("http://{}/status", entry.bound().admin);
    await_true("the entry node knows the service and serves", || {
        let response = attohttpc::get(&status).send().unwrap();
        let status = response.text().unwrap();
        status.contains(SERVICE) && status.contains("\"rules_compared\":true")
    });
}

/// Announces a target, as the target itself would.
pub fn announce(admin: SocketAddr, target: SocketAddr, service: &str) {
    let body = format!(
        "{{\"service\":\"{service}\",\"address\":\"{target}\",\"slots\":40,\
         \"connections\":350,\"lease_ms\":60000}}"
    );
    let url = format!("http://{admin}/target");
    let response = attohttpc::put(url).text(body).send().unwrap();
    assert_eq!(response.status(), 204);
}

/// Waits until `done` returns true; panics with `what` after [`TEST_TIMEOUT`].
pub fn await_true<Done>(what: &str, done: Done)
where
    Done: Fn() -> bool,
{
    let until = Instant::now() + TEST_TIMEOUT;
    while !done() {
        assert!(Instant::now() < until, "timed out: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Opens a connection and sends raw bytes, for input that no HTTP library would send.
pub fn raw(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    stream
}

/// Reads until the other side closes the connection.
pub fn read_to_close(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset after the answer counts as a close.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}
