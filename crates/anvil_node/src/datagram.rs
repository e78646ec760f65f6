//! Datagrams between nodes.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use anvil_core::event;
use anvil_wire::gossip;

use crate::{counters, engine};

/// Largest datagram sent or read, in bytes; it fits one Ethernet frame.
pub const DATAGRAM_LIMIT: usize = 1_400;

/// Sends datagrams; owned by the reducer's thread.
#[derive(Debug)]
pub struct DatagramSender {
    socket: UdpSocket,
    counters: counters::EdgeCounters,
}

impl DatagramSender {
    /// Sends on `socket`, which must not block.
    pub fn new(socket: UdpSocket, counters: counters::EdgeCounters) -> Self {
        Self { socket, counters }
    }

    /// Sends `message`; a datagram may be lost anyway, so a failure is only counted.
    pub fn send(&self, to: SocketAddr, message: &gossip::GossipMessage) {
        let encoded = postcard::to_stdvec(message);
        let fitting = encoded.ok().filter(|bytes| bytes.len() <= DATAGRAM_LIMIT);
        let sent = fitting.is_some_and(|bytes| self.socket.send_to(&bytes, to).is_ok());
        if !sent {
            self.counters.count(counters::EdgeCause::DatagramDropped);
        }
    }
}

/// Reads datagrams until the process ends.
pub async fn receive(
    socket: Arc<tokio::net::UdpSocket>,
    engine: engine::EngineSender,
    counters: counters::EdgeCounters,
) {
    let mut buffer = vec![0; DATAGRAM_LIMIT + 1];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let decoded = postcard::take_from_bytes(&buffer[..length]);
        let message: gossip::GossipMessage = match decoded {
            Ok((message, [])) if length <= DATAGRAM_LIMIT => message,
            _ => {
                counters.count(counters::EdgeCause::DatagramRefused);
                continue;
            }
        };
        let arrived = event::NodeEvent::DatagramArrived { from, message };
        // A busy node drops datagrams, as the network does; membership allows for it.
        if engine
            .try_send(engine::EngineInput::Event(arrived))
            .is_err()
        {
            counters.count(counters::EdgeCause::DatagramDropped);
        }
    }
}
