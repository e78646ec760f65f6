//! Which one of several connections to another node is used for sending.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_node::caller::server;
use anvil_node::peer::{link, table};
use anvil_node::{counters, memory};
use anvil_types::ident;
use anvil_wire::{frame, outcome};
use common::fake_peer;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Longest wait for a connection on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Two connections to one node, which also accepts new ones.
struct TwoLinks {
    table: table::PeerTable,
    listener: TcpListener,
    /// The worker sides of the two, in the order in which they were opened.
    parts: [link::LinkParts; 2],
    ids: [link::LinkId; 2],
    /// The liveness of the second.
    second_liveness: Arc<anvil_node::peer::liveness::LinkLiveness>,
    _closing: watch::Sender<bool>,
}

impl TwoLinks {
    async fn open() -> Self {
        let (closing, closing_receiver) = watch::channel(false);
        let context = link::LinkContext {
            hello: fake_peer::hello(frame::PROTOCOL_VERSION, "127.0.0.1:9".parse().unwrap()),
            ring: Arc::new(fake_peer::key_ring(0)),
            engine: flume::unbounded().0,
            counters: counters::EdgeCounters::new().unwrap(),
            link_ids: Arc::default(),
            received_frames: Arc::default(),
            memory: memory::BodyMemory::new(
                memory::SMALLEST_INSTANCE_BYTES,
                counters::EdgeCounters::new().unwrap(),
            ),
            drain: server::DrainSignal {
                closing: closing_receiver,
                flush_guard: mpsc::channel(1).0,
            },
        };
        let mut table = table::PeerTable::new(tokio::runtime::Handle::current(), context.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let ids = [context.next_link_id(), context.next_link_id()];
        let (first, first_parts) = link::new_link(fake_peer::NODE, ids[0]);
        let (second, second_parts) = link::new_link(fake_peer::NODE, ids[1]);
        let second_liveness = second.liveness.clone();
        first.liveness.record_received(2);
        second.liveness.record_received(1);
        table.insert(first);
        table.insert(second);
        Self {
            table,
            listener,
            parts: [first_parts, second_parts],
            ids,
            second_liveness,
            _closing: closing,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Ends the first connection while calls on it are unanswered.
    fn lose_first(&mut self, unresponsive: bool) {
        let events = self.table.on_closed(link::ClosedLink {
            peer: fake_peer::NODE,
            link: self.ids[0],
            unsent: Vec::new(),
            used: true,
            awaits_answers: true,
            unresponsive,
        });
        assert_eq!(events.len(), 1, "{events:?}");
    }

    /// Sends an outcome query; returns whether a new connection is opened for it.
    async fn queries_on_a_new_connection(&mut self) -> bool {
        let message = outcome::OutcomeMessage::Query {
            reply_to: self.address(),
            attempts: Vec::new(),
        };
        let query = frame::PeerFrame::Outcome(Box::new(message));
        let address = self.address();
        assert!(self.table.send(fake_peer::NODE, address, query).is_none());
        let on_second = self.parts[1].queued_frames() > 0;
        if !on_second {
            let accepted = tokio::time::timeout(CONNECT_TIMEOUT, self.listener.accept());
            accepted.await.unwrap().unwrap();
        }
        !on_second
    }
}

// Guards against outcome queries that are sent on a second connection which the network has dropped
// too.
#[tokio::test]
async fn a_query_after_an_unresponsive_connection_uses_a_new_one() {
    let mut links = TwoLinks::open().await;
    links.lose_first(true);
    assert!(links.queries_on_a_new_connection().await);
}

#[tokio::test]
async fn a_connection_that_received_since_is_used_again() {
    let mut links = TwoLinks::open().await;
    links.lose_first(true);
    links.second_liveness.record_received(3);
    assert!(!links.queries_on_a_new_connection().await);
}

#[tokio::test]
async fn a_reset_connection_does_not_suspect_another() {
    let mut links = TwoLinks::open().await;
    links.lose_first(false);
    assert!(!links.queries_on_a_new_connection().await);
}

// Guards against a cancellation that passes its call, whose body is on its way on another connection.
#[tokio::test]
async fn a_cancellation_takes_all_connections() {
    let mut links = TwoLinks::open().await;
    let cancel = frame::PeerFrame::Cancel {
        call: ident::CallId {
            node: fake_peer::NODE,
            sequence: 1,
        },
        attempt: 1,
    };
    let address = links.address();
    assert!(links.table.send(fake_peer::NODE, address, cancel).is_none());
    assert_eq!(
        links.parts.each_ref().map(link::LinkParts::queued_frames),
        [1, 1]
    );
}
