//! Connections by the node they lead to.

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
/// Mostly there is one; two arise where both nodes dial at the same moment. The reducer knows nodes and
/// no connections: where one ends on which answers are due, it asks the other node what became of all
/// its calls there, over whichever connection is left. The end of one on which nothing is due concerns
/// no call.
#[derive(Debug)]
struct PeerSession {
    /// The one last heard from is sent on, all are read.
    ///
    /// Failure: the network drops one of two connections without a sign, and answers are sent on it.
    /// Symptom: callers wait for their deadlines, since only calls are known to be due an answer. A
    /// call's answer goes back on a connection that was alive when the call came.
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

    /// Sends a frame on the connection to `peer`, opening one where there is none.
    ///
    /// A full queue means that the other node doesn't keep up; the frame has not left, and the
    /// event tells the reducer, which may send its call elsewhere.
    pub fn send(
        &mut self,
        peer: ident::NodeId,
        address: SocketAddr,
        frame: frame::PeerFrame,
    ) -> Option<event::NodeEvent> {
        let session = self.sessions.get_mut(peer);
        let Some(session) = session.filter(|session| session.has_trusted()) else {
            let opened = self.open(peer, address, frame);
            self.adopt(opened);
            return None;
        };
        let frame = session.send(frame).err()?;
        let counters = &self.context.counters;
        counters.count(counters::EdgeCause::PeerQueueFull);
        let unsent = vec![frame];
        Some(event::NodeEvent::PeerUnreachable { peer, unsent })
    }

    /// Takes a connection into use.
    pub fn adopt(&mut self, opened: link::PeerLink) {
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

    /// Takes note of the end of a connection; the events are for the reducer, in order.
    pub fn closed(&mut self, closed: link::ClosedLink) -> Vec<event::NodeEvent> {
        let peer = closed.peer;
        let Some(session) = self.sessions.get_mut(peer) else {
            return closing_events(peer, closed.unsent, closed.used);
        };
        session.links.retain(|kept| kept.link != closed.link);
        session.unsent.extend(closed.unsent);
        let unsent = std::mem::take(&mut session.unsent);
        if session.links.is_empty() {
            self.sessions.remove(peer);
            return closing_events(peer, unsent, closed.used);
        }
        if closed.silent {
            session.doubt_all();
        }
        let mut events = self.reroute(peer, unsent);
        if closed.used && closed.owed {
            events.push(event::NodeEvent::ConnectionLost { peer });
        }
        events
    }

    /// Sends what a connection that ended still held on one that is left.
    fn reroute(
        &mut self,
        peer: ident::NodeId,
        frames: Vec<frame::PeerFrame>,
    ) -> Vec<event::NodeEvent> {
        let session = self.sessions.get_mut(peer);
        let unsent: Vec<_> = match session.filter(|session| session.has_trusted()) {
            Some(session) => {
                let refused = frames.into_iter().map(|frame| session.send(frame));
                refused.filter_map(Result::err).collect()
            }
            // Whoever needs them sends them once more, on a new connection.
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
        let (opened, parts) = link::pair(peer, self.context.next_link());
        // The frame is queued before anybody dials: a refused connection ends within
        // microseconds, and a frame that came after its end would be lost without a word, so that
        // its caller waited for a deadline. The queue is new and empty, so the frame fits.
        let _ = opened.frames.try_send(first);
        let context = self.context.clone();
        self.runtime
            .spawn(link::open(context, peer, address, parts));
        opened
    }
}

impl PeerSession {
    /// Stops sending on all connections until something comes on them.
    ///
    /// Failure: the network drops both connections of two nodes without a sign, and one is found silent.
    /// Symptom: the question about the calls on it goes out on the other and is lost too, so calls are
    /// given up at whose targets they run. What has to be known goes on a new connection.
    fn doubt_all(&mut self) {
        self.links.iter_mut().for_each(link::PeerLink::doubt);
    }

    /// Whether there is a connection to send on.
    fn has_trusted(&self) -> bool {
        self.links.iter().any(|link| !link.is_doubted())
    }

    /// Hands the frame back where the queue is full.
    fn send(&mut self, frame: frame::PeerFrame) -> Result<(), frame::PeerFrame> {
        let trusted = self.links.iter().rev().filter(|link| !link.is_doubted());
        let current = trusted.max_by_key(|link| link.pulse.last_heard());
        let Some(current) = current else {
            self.unsent.push(frame);
            return Ok(());
        };
        match current.frames.try_send(frame) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Full(frame)) => Err(frame),
            Err(mpsc::error::TrySendError::Closed(frame)) => {
                // The connection has ended and its report is on the way; the frame goes with it.
                self.unsent.push(frame);
                Ok(())
            }
        }
    }
}

/// What the reducer is told when the connections to a node have ended.
///
/// Frames that never left are handed back first: after the loss they would count as possibly run.
/// Questions about fates are left out there, since a connection that came about and ended is no sign that
/// the node is gone, and they are asked anew behind the loss.
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
