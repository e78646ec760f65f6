//! Connections to other nodes, indexed by node.

use std::net::SocketAddr;

use anvil_core::event;
use anvil_types::{ident, sorted};
use anvil_wire::frame;
use tokio::runtime;
use tokio::sync::mpsc;

use super::link;
use crate::counters;

/// All connections to one node.
///
/// There is usually one; two arise if both nodes connect at the same time. The reducer handles
/// nodes, not connections: if one ends on which answers are due, the reducer queries the other node
/// for the outcome of all its calls there, over any remaining connection. The end of a connection
/// on which nothing is due affects no call.
#[derive(Debug)]
struct PeerSession {
    /// Frames are sent on the connection that received a frame last, and read from all.
    ///
    /// The network may silently drop one of two connections. Answers sent on it would be lost, and
    /// nothing would detect that, since a node awaits no reply to an answer: callers would wait for
    /// their deadlines. With this choice the answer to a call is sent on a connection that was
    /// alive when the call arrived.
    links: Vec<link::PeerLink>,
    /// Frames of which no byte was handed to a socket.
    unsent: Vec<frame::PeerFrame>,
}

/// The connections in use for each node; owned by the reducer's task.
#[derive(Debug)]
pub struct PeerTable {
    runtime: runtime::Handle,
    context: link::LinkContext,
    sessions: sorted::SortedTable<ident::NodeId, PeerSession>,
}

impl PeerTable {
    /// Builds an empty table.
    pub fn new(runtime: runtime::Handle, context: link::LinkContext) -> Self {
        let sessions = sorted::SortedTable::default();
        Self {
            runtime,
            context,
            sessions,
        }
    }

    /// Sends a frame on a connection to `peer`, opening one if there is none.
    ///
    /// A full queue means that the other node does not keep up. The frame was not sent then, and
    /// the returned event lets the reducer send the call elsewhere.
    pub fn send(
        &mut self,
        peer: ident::NodeId,
        address: SocketAddr,
        frame: frame::PeerFrame,
    ) -> Option<event::NodeEvent> {
        let session = self.sessions.get_mut(peer);
        let Some(session) = session.filter(|session| session.has_usable()) else {
            let opened = self.open(peer, address, frame);
            self.insert(opened);
            return None;
        };
        let frame = session.send(frame).err()?;
        let counters = &self.context.counters;
        counters.count(counters::EdgeCause::PeerQueueFull);
        let unsent = vec![frame];
        Some(event::NodeEvent::PeerUnreachable { peer, unsent })
    }

    /// Adds an open connection.
    pub fn insert(&mut self, opened: link::PeerLink) {
        let peer = opened.peer;
        if let Some(session) = self.sessions.get_mut(peer) {
            session.links.push(opened);
            return;
        }
        let session = PeerSession {
            links: vec![opened],
            unsent: Vec::new(),
        };
        self.sessions.insert(peer, session);
    }

    /// Removes a connection that ended; returns events for the reducer, in order.
    pub fn on_closed(&mut self, closed: link::ClosedLink) -> Vec<event::NodeEvent> {
        let peer = closed.peer;
        let Some(session) = self.sessions.get_mut(peer) else {
            return closing_events(peer, closed.unsent, closed.used);
        };
        session.links.retain(|link| link.link != closed.link);
        session.unsent.extend(closed.unsent);
        let unsent = std::mem::take(&mut session.unsent);
        if session.links.is_empty() {
            self.sessions.remove(peer);
            return closing_events(peer, unsent, closed.used);
        }
        if closed.unresponsive {
            session.suspect_all();
        }
        let mut events = self.reroute(peer, unsent);
        if closed.used && closed.awaits_answers {
            events.push(event::NodeEvent::ConnectionLost { peer });
        }
        events
    }

    /// Sends the unsent frames of a connection that ended on a remaining one.
    fn reroute(
        &mut self,
        peer: ident::NodeId,
        frames: Vec<frame::PeerFrame>,
    ) -> Vec<event::NodeEvent> {
        let session = self.sessions.get_mut(peer);
        let unsent: Vec<_> = match session.filter(|session| session.has_usable()) {
            Some(session) => {
                let refused = frames.into_iter().map(|frame| session.send(frame));
                refused.filter_map(Result::err).collect()
            }
            // The reducer sends them again on a new connection, if they are still needed.
            None => frames,
        };
        if unsent.is_empty() {
            return Vec::new();
        }
        closing_events(peer, unsent, false)
    }

    fn open(
        &self,
        peer: ident::NodeId,
        address: SocketAddr,
        first: frame::PeerFrame,
    ) -> link::PeerLink {
        let (opened, parts) = link::new_link(peer, self.context.next_link_id());
        // The frame is queued before connecting. A refused connection ends within microseconds, and
        // a frame queued after that would be lost without notice, so that its caller would wait for
        // the deadline. The queue is new and empty, so the frame fits.
        let _ = opened.frames.try_send(first);
        let context = self.context.clone();
        self.runtime
            .spawn(link::open(context, peer, address, parts));
        opened
    }
}

impl PeerSession {
    /// Stops sending on all connections until something is received on them.
    ///
    /// The network may silently drop both connections of two nodes, of which one is detected first.
    /// The query for the outcome of its calls would then be sent on the other and be lost too, so
    /// calls would be abandoned that are still running. The query is sent on a new connection
    /// instead.
    fn suspect_all(&mut self) {
        self.links.iter_mut().for_each(link::PeerLink::mark_suspect);
    }

    /// Whether there is a connection to send on.
    fn has_usable(&self) -> bool {
        self.links.iter().any(|link| !link.is_suspect())
    }

    /// Queues a frame on the connection that received a frame last; returns it if the queue is
    /// full.
    ///
    /// A cancellation is queued on the others as well. Its call may be on its way on one of them, and
    /// would run if the cancellation came first.
    fn send(&mut self, frame: frame::PeerFrame) -> Result<(), frame::PeerFrame> {
        let usable = self.links.iter().rev().filter(|link| !link.is_suspect());
        let current = usable.max_by_key(|link| link.liveness.last_received());
        let Some(current) = current else {
            self.unsent.push(frame);
            return Ok(());
        };
        if matches!(frame, frame::PeerFrame::Cancel { .. }) {
            let others = self.links.iter().filter(|link| link.link != current.link);
            for other in others {
                // A connection that takes no frame delivers the call late or never.
                let _ = other.frames.try_send(frame.clone());
            }
        }
        match current.frames.try_send(frame) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Full(frame)) => Err(frame),
            Err(mpsc::error::TrySendError::Closed(frame)) => {
                // The connection has ended but is not reported yet; the frame is handled with the
                // report.
                self.unsent.push(frame);
                Ok(())
            }
        }
    }
}

/// Events for the reducer when the connections to a node have ended.
///
/// Unsent frames come first: after the loss, their calls would count as possibly run. Outcome
/// queries are omitted after a loss, since a connection that was open and ended does not mean that
/// the node has stopped, and the reducer sends them again after the loss.
fn closing_events(
    peer: ident::NodeId,
    mut unsent: Vec<frame::PeerFrame>,
    lost: bool,
) -> Vec<event::NodeEvent> {
    let mut events = Vec::new();
    if lost {
        unsent.retain(|frame| !matches!(frame, frame::PeerFrame::Outcome(_)));
    }
    if !lost || !unsent.is_empty() {
        events.push(event::NodeEvent::PeerUnreachable { peer, unsent });
    }
    if lost {
        events.push(event::NodeEvent::ConnectionLost { peer });
    }
    events
}
