//! What becomes of inputs that wait for the reducer when it lets the process exit.

#![allow(clippy::unwrap_used)]

mod common;

use std::collections::VecDeque;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use anvil_core::{config, event, reducer};
use anvil_node::caller::server;
use anvil_node::peer::{link, table};
use anvil_node::target::{exchange, native, parent, pool, runs};
use anvil_node::{clock, counters, datagram, engine, memory, store};
use anvil_types::{ident, name, sorted, verdict};
use anvil_wire::seal::datagram as sealing;
use anvil_wire::{call, frame};
use bytes::Bytes;
use common::fake_peer;
use tokio::runtime;
use tokio::sync::{mpsc, oneshot, watch};

/// Longest wait for an answer that needs nobody else.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

fn config() -> config::NodeConfig {
    let address = "127.0.0.1:9".parse().unwrap();
    config::NodeConfig {
        node: ident::NodeId(1),
        zone: name::ZoneName::new("ar-centro-a").unwrap(),
        region: name::RegionName::new("ar-centro").unwrap(),
        peer_address: address,
        gossip_address: address,
        seeds: Vec::new(),
    }
}

/// The parts that the reducer's task owns, without any other node, target or store.
fn node_engine(sender: &engine::EngineSender) -> engine::NodeEngine {
    let handle = runtime::Handle::current();
    let counters = counters::EdgeCounters::new().unwrap();
    let ring = Arc::new(fake_peer::key_ring(0));
    let context = link::LinkContext {
        hello: fake_peer::hello(frame::PROTOCOL_VERSION, "127.0.0.1:9".parse().unwrap()),
        ring: ring.clone(),
        engine: sender.clone(),
        counters: counters.clone(),
        link_ids: Arc::default(),
        received_frames: Arc::default(),
        memory: memory::BodyMemory::new(memory::SMALLEST_INSTANCE_BYTES, counters.clone()),
        drain: server::DrainSignal {
            closing: watch::channel(false).1,
            flush_guard: mpsc::channel(1).0,
        },
    };
    let exchange = exchange::TargetExchange {
        pool: pool::ConnectionPool::new(counters.clone()),
        memory: memory::BodyMemory::new(memory::SMALLEST_INSTANCE_BYTES, counters.clone()),
        dialect: Arc::new(native::NativeTargets {
            issuer: parent::TokenIssuer::new([7; 32]),
        }),
        counters: counters.clone(),
    };
    let clock = clock::NodeClock::start();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let sealer = sealing::DatagramSealer::new(ring, ident::NodeId(1));
    engine::NodeEngine {
        clock,
        peers: table::PeerTable::new(handle.clone(), context),
        datagrams: datagram::DatagramSender::new(socket, sealer, counters.clone()),
        runs: runs::RunTable::new(handle, exchange, sender.clone()),
        store: store::StoreQueue::start(None, clock, sender, &counters).unwrap(),
        queued_inputs: counters.queued_inputs().clone(),
        ready: Arc::default(),
        callers: sorted::SortedTable::default(),
        operators: sorted::SortedTable::default(),
        operator_requests: 0,
        followups: VecDeque::new(),
        stop_requested_at: None,
    }
}

// Guards against a request without an answer, or with "may have run", that was never looked at.
#[tokio::test]
async fn a_queued_request_is_refused_as_not_run() {
    let (sender, inputs) = flume::unbounded();
    for _ in 0..2 {
        let stop = engine::EngineInput::Event(event::NodeEvent::StopRequested);
        sender.send(stop).unwrap();
    }
    let (reply, replied) = oneshot::channel();
    let handle = event::CallerHandle(1);
    let request = call::CallRequest {
        service: name::ServiceName::new(common::SERVICE).unwrap(),
        method: "POST".to_owned(),
        path: "/claims/7".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let arrival = event::NodeEvent::CallArrived {
        handle,
        request: Box::new(request),
        hints: event::CallerHints::default(),
    };
    let call = engine::EngineInput::Call {
        arrival,
        handle,
        reply,
    };
    sender.send(call).unwrap();
    let reducer = reducer::NodeReducer::new(config(), 1);
    node_engine(&sender).run(reducer, inputs).await;
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, replied).await;
    let reply = reply.expect("no answer").unwrap();
    let leaving = verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving);
    assert_eq!(reply.verdict, leaving);
    assert!(reply.retry_after.is_some());
}
