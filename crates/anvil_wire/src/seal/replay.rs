//! Which datagrams of which sender were seen.

use anvil_types::{ident, sorted};

/// Datagrams of one sender that may arrive out of order and still be accepted.
pub const WINDOW_DATAGRAMS: u64 = 64;

/// Senders remembered, about twice the members of the largest fleet; 32 bytes each.
pub const MAX_SENDERS: usize = 32_768;

/// What was seen of one sender.
#[derive(Clone, Copy, Debug)]
struct SenderWindow {
    /// The highest sequence seen.
    highest: u64,
    /// Bit `n` tells whether `highest - n` was seen.
    seen: u64,
    /// The count of datagrams when it was last heard.
    heard: u64,
}

/// Accepts each datagram once.
///
/// Without it, whoever records datagrams could send an old one again, and a node that left would
/// seem to live. Only senders with a key get an entry, so the limit is reached by real nodes alone,
/// most of them gone after days of restarts; the one silent for longest then gives way, because
/// old datagrams of a node that is gone say nothing that its peers still believe.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    /// Datagrams asked about so far.
    asked: u64,
    windows: sorted::SortedTable<ident::NodeId, SenderWindow>,
}

impl ReplayGuard {
    /// Tells whether a datagram is new, and remembers it.
    pub fn accept(&mut self, sender: ident::NodeId, sequence: u64) -> bool {
        self.asked += 1;
        if let Some(window) = self.windows.get_mut(sender) {
            window.heard = self.asked;
            return window.accept(sequence);
        }
        if self.windows.len() >= MAX_SENDERS {
            self.evict();
        }
        let window = SenderWindow {
            highest: sequence,
            seen: 1,
            heard: self.asked,
        };
        self.windows.insert(sender, window);
        true
    }

    /// Forgets a sender that is gone for good; its datagrams would count as new again.
    pub fn forget(&mut self, sender: ident::NodeId) {
        self.windows.remove(sender);
    }

    /// The number of senders remembered.
    pub fn len(&self) -> usize {
        self.windows.len()
    }

    /// Whether no sender is remembered.
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }

    fn evict(&mut self) {
        let windows = self.windows.iter();
        let silent = windows.min_by_key(|(_, window)| window.heard);
        if let Some(sender) = silent.map(|(sender, _)| *sender) {
            self.windows.remove(sender);
        }
    }
}

impl SenderWindow {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.seen = if ahead < WINDOW_DATAGRAMS {
                self.seen << ahead
            } else {
                0
            };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW_DATAGRAMS {
            return false;
        }
        let bit = 1 << behind;
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
