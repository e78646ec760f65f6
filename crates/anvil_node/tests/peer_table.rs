//! Which of several connections to another node frames are sent on.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_node::caller::server;
use anvil_node::counters;
use anvil_node::peer::{link, table};
use anvil_wire::{frame, outcome};
use common::impostor;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Longest wait for a connection that is to be opened on the same machine.
const DIAL_WAIT: Duration = Duration::from_secs(5);

/// Two connections to one node, which also accepts new ones.
struct TwoLinks {
    table: table::PeerTable,
    listener: TcpListener,
    /// The reading ends of the two, in the order in which they were opened.
    parts: [link::LinkParts; 2],
    ids: [link::LinkId; 2],
    /// The pulse of the second.
    spare: Arc<anvil_node::peer::pulse::LinkPulse>,
    _alive: watch::Sender<bool>,
}

impl TwoLinks {
    async fn open() -> Self {
        let (closing, watched) = watch::channel(false);
        let context = link::LinkContext {
            hello: impostor::hello(frame::PROTOCOL_VERSION, "127.0.0.1:9".parse().unwrap()),
            ring: Arc::new(impostor::key_ring(0)),
            engine: flume::unbounded().0,
            counters: counters::EdgeCounters::new().unwrap(),
            links: Arc::default(),
            heard: Arc::default(),
            drain: server::DrainSignal {
                closing: watched,
                alive: mpsc::channel(1).0,
            },
        };
        let mut table = table::PeerTable::new(tokio::runtime::Handle::current(), context.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let ids = [context.next_link(), context.next_link()];
        let (first, first_parts) = link::pair(impostor::NODE, ids[0]);
        let (second, second_parts) = link::pair(impostor::NODE, ids[1]);
        let spare = second.pulse.clone();
        first.pulse.stamp(2);
        second.pulse.stamp(1);
        table.adopt(first);
        table.adopt(second);
        Self {
            table,
            listener,
            parts: [first_parts, second_parts],
            ids,
            spare,
            _alive: closing,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// The first connection ends with calls on it.
    fn lose_first(&mut self, silent: bool) {
        let events = self.table.closed(link::ClosedLink {
            peer: impostor::NODE,
            link: self.ids[0],
            unsent: Vec::new(),
            used: true,
            owed: true,
            silent,
        });
        assert_eq!(events.len(), 1, "{events:?}");
    }

    /// Asks what became of the calls; tells whether a new connection is opened for it.
    async fn asks_on_a_new_one(&mut self) -> bool {
        let message = outcome::OutcomeMessage::Query {
            reply_to: self.address(),
            attempts: Vec::new(),
        };
        let ask = frame::PeerFrame::Outcome(Box::new(message));
        let address = self.address();
        assert!(self.table.send(impostor::NODE, address, ask).is_none());
        let on_spare = self.parts[1].waiting() > 0;
        if !on_spare {
            let dialled = tokio::time::timeout(DIAL_WAIT, self.listener.accept());
            dialled.await.unwrap().unwrap();
        }
        !on_spare
    }
}

// Guards against fates that are asked for on a second connection which the network dropped too.
#[tokio::test]
async fn a_question_behind_a_silent_connection_takes_a_new_one() {
    let mut links = TwoLinks::open().await;
    links.lose_first(true);
    assert!(links.asks_on_a_new_one().await);
}

#[tokio::test]
async fn a_connection_heard_from_since_is_used_again() {
    let mut links = TwoLinks::open().await;
    links.lose_first(true);
    links.spare.stamp(3);
    assert!(!links.asks_on_a_new_one().await);
}

#[tokio::test]
async fn a_reset_connection_casts_no_doubt_on_another() {
    let mut links = TwoLinks::open().await;
    links.lose_first(false);
    assert!(!links.asks_on_a_new_one().await);
}
