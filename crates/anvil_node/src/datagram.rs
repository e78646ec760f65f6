//! Sealed datagrams between nodes.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use anvil_core::event;
use anvil_types::ident;
use anvil_wire::gossip;
use anvil_wire::seal::datagram;

use crate::{counters, engine};

/// Sends datagrams; owned by the reducer's task.
#[derive(Debug)]
pub struct DatagramSender {
    socket: UdpSocket,
    sealer: datagram::DatagramSealer,
    counters: counters::EdgeCounters,
}

impl DatagramSender {
    /// Sends on `socket`, which must be non-blocking.
    pub fn new(
        socket: UdpSocket,
        sealer: datagram::DatagramSealer,
        counters: counters::EdgeCounters,
    ) -> Self {
        Self {
            socket,
            sealer,
            counters,
        }
    }

    /// Sends `message`; since datagrams may be lost anyway, a failure is only counted.
    pub fn send(&mut self, to: SocketAddr, message: &gossip::GossipMessage) {
        if self.try_send(to, message).is_none() {
            self.counters.count(counters::EdgeCause::DatagramDropped);
        }
    }

    fn try_send(&mut self, to: SocketAddr, message: &gossip::GossipMessage) -> Option<usize> {
        let payload = postcard::to_stdvec(message).ok()?;
        let sealed = self.sealer.seal(to, &payload).ok()?;
        self.socket.send_to(&sealed, to).ok()
    }
}

/// Receives datagrams until the process exits.
pub async fn receive(
    socket: Arc<tokio::net::UdpSocket>,
    mut opener: datagram::DatagramOpener,
    engine: engine::EngineSender,
    counters: counters::EdgeCounters,
) {
    // One byte more than the limit, so that an oversized datagram is refused and not truncated.
    let mut buffer = [0; datagram::MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(message) = read(&mut opener, &buffer[..length]) else {
            counters.count(counters::EdgeCause::DatagramRefused);
            continue;
        };
        let arrived = event::NodeEvent::DatagramArrived { from, message };
        // A busy node drops datagrams, as the network does; the membership protocol tolerates it.
        let sent = engine.try_send(engine::EngineInput::Event(arrived));
        if sent.is_err() {
            counters.count(counters::EdgeCause::DatagramDropped);
        }
    }
}

/// Opens and decodes one datagram.
///
/// Returns none unless the datagram is sealed with a known key, holds exactly one message, and
/// names the same sender in the message head as in the seal. The seal's sequence number protects
/// against replay. If the head could name another node, the fleet would accept a revision or a
/// probe which that node never sent. With the same name in both, every message passed the replay
/// protection of the node that it is attributed to.
pub fn read(opener: &mut datagram::DatagramOpener, bytes: &[u8]) -> Option<gossip::GossipMessage> {
    let opened = opener.open(bytes).ok()?;
    match postcard::take_from_bytes(opened.payload) {
        Ok((message, [])) => check_sender(opened.sender, message),
        _ => None,
    }
}

fn check_sender(
    sender: ident::NodeId,
    message: gossip::GossipMessage,
) -> Option<gossip::GossipMessage> {
    (message.head.from == sender).then_some(message)
}
