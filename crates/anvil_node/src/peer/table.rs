//! Connections by the node they lead to.

use std::net::SocketAddr;

use anvil_core::event;
use anvil_types::{ident, sorted};
use anvil_wire::frame;
use tokio::runtime;
use tokio::sync::mpsc;

use super::link;
use crate::{counters, engine};

/// The connection in use for each node; owned by the reducer's thread.
#[derive(Debug)]
pub struct PeerTable {
    runtime: runtime::Handle,
    context: link::LinkContext,
    links: sorted::SortedTable<ident::NodeId, link::PeerLink>,
}

impl PeerTable {
    /// Builds an empty table.
    pub fn new(runtime: runtime::Handle, context: link::LinkContext) -> Self {
        let links = sorted::SortedTable::default();
        Self {
            runtime,
            context,
            links,
        }
    }

    /// Sends a frame on the connection to `peer`, opening one where there is none.
    pub fn send(&mut self, peer: ident::NodeId, address: SocketAddr, frame: frame::PeerFrame) {
        let frame = match self.try_kept(peer, frame) {
            Ok(()) => return,
            Err(frame) => frame,
        };
        let opened = self.open(peer, address);
        // The queue is new and empty, so the frame fits.
        let _ = opened.frames.try_send(frame);
        self.links.insert(peer, opened);
    }

    /// Uses a connection that the other node opened, unless there is one already; frames are read
    /// from both.
    pub fn adopt(&mut self, opened: link::PeerLink) {
        if self.links.get(opened.peer).is_none() {
            self.links.insert(opened.peer, opened);
        }
    }

    /// Forgets a connection that ended, unless another has taken its place.
    pub fn forget(&mut self, peer: ident::NodeId, link: link::LinkId) {
        let current = self.links.get(peer);
        if current.is_some_and(|kept| kept.link == link) {
            self.links.remove(peer);
        }
    }

    /// Hands the frame back where no connection takes it.
    fn try_kept(
        &mut self,
        peer: ident::NodeId,
        frame: frame::PeerFrame,
    ) -> Result<(), frame::PeerFrame> {
        let Some(kept) = self.links.get(peer) else {
            return Err(frame);
        };
        match kept.frames.try_send(frame) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Closed(frame)) => Err(frame),
            Err(mpsc::error::TrySendError::Full(frame)) => {
                self.hand_back(peer, frame);
                Ok(())
            }
        }
    }

    /// A full queue means that the other node doesn't keep up; the frame has not left, so the
    /// reducer may send its call elsewhere.
    fn hand_back(&self, peer: ident::NodeId, frame: frame::PeerFrame) {
        let counters = &self.context.counters;
        counters.count(counters::EdgeCause::PeerQueueFull);
        let unsent = vec![frame];
        let refused = event::NodeEvent::PeerUnreachable { peer, unsent };
        let engine = self.context.engine.clone();
        let input = engine::EngineInput::Event(refused);
        // The reducer's own thread must not wait for its own queue.
        self.runtime
            .spawn(async move { engine.send_async(input).await });
    }

    fn open(&self, peer: ident::NodeId, address: SocketAddr) -> link::PeerLink {
        let (frames, queue) = mpsc::channel(link::QUEUE_LIMIT);
        let link = self.context.next_link();
        let context = self.context.clone();
        self.runtime
            .spawn(link::open(context, peer, address, link, queue));
        link::PeerLink { peer, link, frames }
    }
}

/// What the reducer is told when a connection ends.
///
/// Frames that never left are handed back first: after the loss they would count as possibly run.
pub fn closing_events(
    peer: ident::NodeId,
    unsent: Vec<frame::PeerFrame>,
    used: bool,
) -> Vec<event::NodeEvent> {
    let mut events = Vec::new();
    if !used || !unsent.is_empty() {
        events.push(event::NodeEvent::PeerUnreachable { peer, unsent });
    }
    if used {
        events.push(event::NodeEvent::PeerLost { peer });
    }
    events
}
