//! Notices of a planned stop, which inform every member that this node accepts no more runs; see
//! "When a connection ends" in `docs/design/edges.md`.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::ident;
use anvil_wire::{gossip, shutdown};

use crate::{reducer, timers};

/// The time after which the notice to a member that has not acknowledged it is repeated, because
/// datagrams may be lost.
const NOTICE_INTERVAL: Duration = Duration::from_millis(200);

impl reducer::NodeReducer {
    /// Notifies the members that have not acknowledged the stop yet.
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
        let next_notice = self.now + NOTICE_INTERVAL;
        self.timers.set(next_notice, timers::TimerKind::StopNotice);
    }

    /// Handles a notice of another node's planned stop, or the acknowledgement of this node's own.
    pub(crate) fn shutdown_message_arrived(
        &mut self,
        from: SocketAddr,
        peer: ident::NodeId,
        message: shutdown::ShutdownMessage,
    ) {
        match message {
            shutdown::ShutdownMessage::Stopping => {
                let calls_out = !self.calls.in_flight_at(peer).is_empty();
                let acknowledgement = shutdown::ShutdownMessage::Acknowledged { calls_out };
                let kind = gossip::GossipKind::Shutdown(acknowledgement);
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
