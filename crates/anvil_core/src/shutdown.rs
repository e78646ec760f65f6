//! The last words with other nodes, before this one ends.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, sorted, time};

/// How long a node that called is remembered. A call that never came, or whose answer was lost, is
/// noticed by its entry node within a second; older ones have been asked about.
const CALLER_RETENTION: Duration = Duration::from_secs(5);

/// Longest wait until all members have heard of the stop. Most answer within some milliseconds; one that
/// is gone, or cut off, never does.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest wait for the last word of the others: a connection that is silent shows within a second, and
/// a new one takes half a second at most. Where connections work it is one way there and back.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Most nodes remembered; more than call one target within [`CALLED_LATELY`] at 61 calls a second.
const MAX_CALLERS: usize = 512;

/// A node that called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallerNode {
    reply_to: SocketAddr,
    at: time::NodeTime,
}

/// The members that have not heard yet that this node stops.
#[derive(Clone, Debug)]
struct StopNotice {
    unacknowledged: sorted::SortedTable<ident::NodeId, SocketAddr>,
    /// When to go on without them.
    until: time::NodeTime,
}

/// Who has to hear of the stop, which nodes called lately, and which of them have not said yet that they
/// wait for nothing.
///
/// Failure: a connection to an entry node was silenced, and this node answers on it, or a call never came,
/// and then it ends as planned. Symptom: the entry node notices a moment later and finds nobody to ask, so
/// that a planned stop costs a request which was answered, or never ran. So every member says whether it
/// has calls out here once it has heard that it must send no more; those that have, and those that called
/// lately, are asked before the end, and are answered once more.
#[derive(Clone, Debug, Default)]
pub struct ShutdownHandshake {
    notice: Option<StopNotice>,
    callers: sorted::SortedTable<ident::NodeId, CallerNode>,
    /// When to end all the same; set once the others have been told.
    until: Option<time::NodeTime>,
}

impl ShutdownHandshake {
    /// Begins to tell `members` of the stop; tells until when they are waited for.
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

    /// Where members that have not heard of the stop accept datagrams; none once they are waited for no
    /// more.
    pub fn unacknowledged(&self, now: time::NodeTime) -> Vec<SocketAddr> {
        let notice = self.notice.as_ref().filter(|notice| now < notice.until);
        let unacknowledged = notice.map(|notice| notice.unacknowledged.iter());
        let addresses = unacknowledged.into_iter().flatten();
        addresses.map(|(_, address)| *address).collect()
    }

    /// Takes note that a member has heard of the stop.
    pub fn acknowledge(&mut self, peer: ident::NodeId) {
        if let Some(notice) = &mut self.notice {
            notice.unacknowledged.remove(peer);
        }
    }

    /// Whether all members have heard of the stop, as far as they are waited for.
    pub fn is_acknowledged(&self, now: time::NodeTime) -> bool {
        let notice = self.notice.as_ref();
        notice.is_none_or(|notice| notice.unacknowledged.is_empty() || now >= notice.until)
    }

    /// Takes note that a member has ended. One that is only believed to have crashed may still answer.
    pub fn member_departed(&mut self, peer: ident::NodeId) {
        self.acknowledge(peer);
        self.confirm(peer);
    }

    /// Takes note of a call, or of its answer.
    pub fn record_call(&mut self, now: time::NodeTime, peer: ident::NodeId, reply_to: SocketAddr) {
        if self.until.is_some() {
            return;
        }
        let known = self.callers.get(peer).is_some();
        if !known && self.callers.len() >= MAX_CALLERS {
            self.evict(now);
        }
        if known || self.callers.len() < MAX_CALLERS {
            self.callers.insert(peer, CallerNode { reply_to, at: now });
        }
    }

    /// Begins the farewell; tells when it ends at the latest, and whom to tell, and where.
    pub fn begin(
        &mut self,
        now: time::NodeTime,
    ) -> (time::NodeTime, Vec<(ident::NodeId, SocketAddr)>) {
        self.evict(now);
        let until = now + HANDSHAKE_TIMEOUT;
        self.until = Some(until);
        let told = self.callers.iter();
        (
            until,
            told.map(|(peer, caller)| (*peer, caller.reply_to))
                .collect(),
        )
    }

    /// Takes note that a node knows, or is gone.
    pub fn confirm(&mut self, peer: ident::NodeId) {
        if self.until.is_some() {
            self.callers.remove(peer);
        }
    }

    /// Where a node is to be told again, if it is still to answer.
    pub fn pending_address(&self, peer: ident::NodeId) -> Option<SocketAddr> {
        self.until?;
        self.callers.get(peer).map(|caller| caller.reply_to)
    }

    /// Whether the others have been told.
    pub fn has_begun(&self) -> bool {
        self.until.is_some()
    }

    /// Whether nobody is left to answer.
    pub fn is_done(&self, now: time::NodeTime) -> bool {
        self.callers.is_empty() || self.until.is_some_and(|until| now >= until)
    }

    fn evict(&mut self, now: time::NodeTime) {
        let old = self
            .callers
            .keys_where(|caller| now.since(caller.at) >= CALLER_RETENTION);
        for peer in old {
            self.callers.remove(peer);
        }
    }
}
