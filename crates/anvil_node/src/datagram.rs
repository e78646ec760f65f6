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
    /// Sends on `socket`, which must not block.
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

    /// Sends `message`; a datagram may be lost anyway, so a failure is only counted.
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

/// Reads datagrams until the process ends.
pub async fn receive(
    socket: Arc<tokio::net::UdpSocket>,
    mut opener: datagram::DatagramOpener,
    engine: engine::EngineSender,
    counters: counters::EdgeCounters,
) {
    // One byte more than the limit, so that a cut datagram is seen as too long.
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
        // A busy node drops datagrams, as the network does; membership allows for it.
        let sent = engine.try_send(engine::EngineInput::Event(arrived));
        if sent.is_err() {
            counters.count(counters::EdgeCause::DatagramDropped);
        }
    }
}

/// The message, where its sender holds a key and names itself, and its bytes are one message and no
/// more.
///
/// Failure: the head names another node than the seal, whose sequence guards against repeats.
/// Symptom: the fleet takes that node's word for a revision or a probe that it never sent. With one
/// name for both, whatever is believed of a node passed its own guard.
pub fn read(opener: &mut datagram::DatagramOpener, bytes: &[u8]) -> Option<gossip::GossipMessage> {
    let opened = opener.open(bytes).ok()?;
    match postcard::take_from_bytes(opened.payload) {
        Ok((message, [])) => speaks_for_itself(opened.sender, message),
        _ => None,
    }
}

fn speaks_for_itself(
    sender: ident::NodeId,
    message: gossip::GossipMessage,
) -> Option<gossip::GossipMessage> {
    (message.head.from == sender).then_some(message)
}
