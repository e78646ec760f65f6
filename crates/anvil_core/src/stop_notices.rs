//! Notices of a planned stop: every member hears that this node takes no more runs; see "When a connection
//! ends" in `docs/design/edges.md`.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::ident;
use anvil_wire::{gossip, shutdown};

use crate::{reducer, timers};

/// Time after which a member that has not answered is told of the stop again; datagrams are lost now and
/// then.
const NOTICE_INTERVAL: Duration = Duration::from_millis(200);

impl reducer::NodeReducer {
    /// Tells the members that have not heard of the stop yet.
    pub(crate) fn send_notices(&mut self) {
        let unacknowledged = self.shutdown.unacknowledged(self.now);
        if unacknowledged.is_empty() {
            return;
        }
        let stopping = shutdown::ShutdownMessage::Stopping;
        for to in unacknowledged {
            let kind = gossip::GossipKind::Shutdown(stopping);
            let sent = self.fleet.message_with_claim(to, kind);
            self.apply_fleet_effects(vec![sent]);
        }
        let again = self.now + NOTICE_INTERVAL;
        self.timers.set(again, timers::TimerKind::StopNotice);
    }

    /// Takes a word of a planned stop: of another node's, or an answer to one of this node's.
    pub(crate) fn farewell_arrived(
        &mut self,
        from: SocketAddr,
        peer: ident::NodeId,
        word: shutdown::ShutdownMessage,
    ) {
        match word {
            shutdown::ShutdownMessage::Stopping => {
                let calls_out = !self.calls.in_flight_at(peer).is_empty();
                let heard = shutdown::ShutdownMessage::Acknowledged { calls_out };
                let kind = gossip::GossipKind::Shutdown(heard);
                let sent = self.fleet.message(from, kind);
                self.apply_fleet_effects(vec![sent]);
            }
            shutdown::ShutdownMessage::Acknowledged { calls_out } => {
                self.shutdown.acknowledge(peer);
                let address = self.fleet.table().get(peer).map(|member| member.facts.tcp);
                if let Some(address) = address.filter(|_| calls_out) {
                    self.shutdown.record_call(self.now, peer, address);
                }
            }
        }
    }
}
