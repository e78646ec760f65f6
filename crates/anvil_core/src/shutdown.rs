//! The shutdown handshake of a stopping node with the other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, sorted, time};

/// How long a calling node is remembered. Its entry node detects within a second that a call or an
/// answer was lost, so the outcome of older ones has been queried already.
const CALLER_RETENTION: Duration = Duration::from_secs(5);

/// Longest wait until all members have acknowledged the stop. Most do so within milliseconds; one
/// that has ended or is unreachable never does.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest wait for the callers to confirm. A silent connection is detected within a second and a
/// new one takes at most half a second. Over working connections the handshake takes one round
/// trip.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of remembered callers; more than the nodes that call one target within
/// [`CALLER_RETENTION`] at 61 calls per second.
const MAX_CALLERS: usize = 512;

/// A node that called the local target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallerNode {
    reply_to: SocketAddr,
    called_at: time::NodeTime,
}

/// The members that have not acknowledged yet that this node stops.
#[derive(Clone, Debug)]
struct StopNotice {
    unacknowledged: sorted::SortedTable<ident::NodeId, SocketAddr>,
    /// When to continue without their acknowledgement.
    until: time::NodeTime,
}

/// The state of the shutdown handshake: which members must acknowledge the stop, and which recent
/// callers must confirm that they wait for nothing more.
///
/// If a connection to an entry node goes silent shortly before this node stops, a call or an answer
/// is lost on it. The entry node would detect that only after the process has ended and would find
/// nobody to query, so a planned stop would cost a request that was answered or never ran.
/// Therefore every member acknowledges the stop, after which it sends no more calls, and says
/// whether it has calls in flight here. Before this node exits it contacts those members and all
/// recent callers, and answers their queries.
#[derive(Clone, Debug, Default)]
pub struct ShutdownHandshake {
    notice: Option<StopNotice>,
    callers: sorted::SortedTable<ident::NodeId, CallerNode>,
    /// When to exit without further confirmations; set once the handshake has begun.
    until: Option<time::NodeTime>,
}

impl ShutdownHandshake {
    /// Begins to notify `members` of the stop; returns until when to wait for them.
    pub fn begin_notice(
        &mut self,
        now: time::NodeTime,
        members: Vec<(ident::NodeId, SocketAddr)>,
    ) -> time::NodeTime {
        let until = now + NOTICE_TIMEOUT;
        let mut unacknowledged = sorted::SortedTable::default();
        for (node, address) in members {
            unacknowledged.insert(node, address);
        }
        self.notice = Some(StopNotice {
            unacknowledged,
            until,
        });
        until
    }

    /// The datagram addresses of members that have not acknowledged the stop; empty after the
    /// timeout.
    pub fn unacknowledged(&self, now: time::NodeTime) -> Vec<SocketAddr> {
        let notice = self.notice.as_ref().filter(|notice| now < notice.until);
        let unacknowledged = notice.map(|notice| notice.unacknowledged.iter());
        let addresses = unacknowledged.into_iter().flatten();
        addresses.map(|(_, address)| *address).collect()
    }

    /// The members that have not acknowledged the stop.
    pub fn silent_members(&self) -> Vec<ident::NodeId> {
        let notice = self.notice.iter();
        let members = notice.flat_map(|notice| notice.unacknowledged.iter());
        members.map(|(node, _)| *node).collect()
    }

    /// Records that a member has acknowledged the stop.
    pub fn acknowledge(&mut self, peer: ident::NodeId) {
        if let Some(notice) = &mut self.notice {
            notice.unacknowledged.remove(peer);
        }
    }

    /// Whether all members have acknowledged the stop or the timeout has passed.
    pub fn is_acknowledged(&self, now: time::NodeTime) -> bool {
        let notice = self.notice.as_ref();
        notice.is_none_or(|notice| notice.unacknowledged.is_empty() || now >= notice.until)
    }

    /// Records that a member has ended. It is not called for a member that is only presumed to have
    /// crashed, since that one may still answer.
    pub fn member_departed(&mut self, peer: ident::NodeId) {
        self.acknowledge(peer);
        self.confirm(peer);
    }

    /// Records a call of `peer`, or an answer to it.
    pub fn record_call(&mut self, now: time::NodeTime, peer: ident::NodeId, reply_to: SocketAddr) {
        if self.until.is_some() {
            return;
        }
        let known = self.callers.get(peer).is_some();
        if !known && self.callers.len() >= MAX_CALLERS {
            self.evict(now);
        }
        if known || self.callers.len() < MAX_CALLERS {
            self.callers.insert(
                peer,
                CallerNode {
                    reply_to,
                    called_at: now,
                },
            );
        }
    }

    /// Begins the handshake; returns its timeout, and the nodes to contact with their addresses.
    pub fn begin(
        &mut self,
        now: time::NodeTime,
    ) -> (time::NodeTime, Vec<(ident::NodeId, SocketAddr)>) {
        self.evict(now);
        let until = now + HANDSHAKE_TIMEOUT;
        self.until = Some(until);
        let callers = self.callers.iter();
        (
            until,
            callers
                .map(|(peer, caller)| (*peer, caller.reply_to))
                .collect(),
        )
    }

    /// Records that a caller has confirmed, or has ended.
    pub fn confirm(&mut self, peer: ident::NodeId) {
        if self.until.is_some() {
            self.callers.remove(peer);
        }
    }

    /// The address of a caller that has not confirmed yet.
    pub fn pending_address(&self, peer: ident::NodeId) -> Option<SocketAddr> {
        self.until?;
        self.callers.get(peer).map(|caller| caller.reply_to)
    }

    /// Whether the handshake has begun.
    pub fn has_begun(&self) -> bool {
        self.until.is_some()
    }

    /// Whether all callers have confirmed or the timeout has passed.
    pub fn is_done(&self, now: time::NodeTime) -> bool {
        self.callers.is_empty() || self.until.is_some_and(|until| now >= until)
    }

    fn evict(&mut self, now: time::NodeTime) {
        let expired = self
            .callers
            .keys_where(|caller| now.since(caller.called_at) >= CALLER_RETENTION);
        for peer in expired {
            self.callers.remove(peer);
        }
    }
}
