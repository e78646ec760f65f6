//! Protection against replayed datagrams.

use anvil_types::{ident, sorted};

/// Size of the replay window: how far behind the highest sequence a datagram may arrive and still
/// be accepted.
pub const WINDOW_DATAGRAMS: u64 = 64;

/// Maximum number of tracked senders, about twice the members of the largest fleet; 32 bytes each.
pub const MAX_SENDERS: usize = 32_768;

/// The replay window of one sender.
#[derive(Clone, Copy, Debug)]
struct SenderWindow {
    /// The highest sequence received.
    highest: u64,
    /// Bit `n` is set if sequence `highest - n` was received.
    received: u64,
    /// The value of [`ReplayGuard::checked`] at the sender's latest datagram.
    last_used: u64,
}

/// Accepts each datagram only once.
///
/// Without it, an attacker could record datagrams and send an old one again, so that a node that
/// has left would appear to be alive. Only authenticated senders get an entry, so the maximum can
/// be reached only through days of restarts, when most entries belong to stopped nodes. The sender
/// that has been silent for longest is then evicted; replayed datagrams of a stopped node are
/// harmless, because its peers no longer accept what they contain.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    /// Number of datagrams checked so far.
    checked: u64,
    windows: sorted::SortedTable<ident::NodeId, SenderWindow>,
}

impl ReplayGuard {
    /// Returns whether a datagram is new, and records it.
    pub fn accept(&mut self, sender: ident::NodeId, sequence: u64) -> bool {
        self.checked += 1;
        if let Some(window) = self.windows.get_mut(sender) {
            window.last_used = self.checked;
            return window.accept(sequence);
        }
        if self.windows.len() >= MAX_SENDERS {
            self.evict();
        }
        let window = SenderWindow {
            highest: sequence,
            received: 1,
            last_used: self.checked,
        };
        self.windows.insert(sender, window);
        true
    }

    /// Forgets a sender that has permanently left; its datagrams would be accepted as new again.
    pub fn forget(&mut self, sender: ident::NodeId) {
        self.windows.remove(sender);
    }

    /// Number of tracked senders.
    pub fn len(&self) -> usize {
        self.windows.len()
    }

    /// Whether no sender is tracked.
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }

    fn evict(&mut self) {
        let windows = self.windows.iter();
        let oldest = windows.min_by_key(|(_, window)| window.last_used);
        if let Some(sender) = oldest.map(|(sender, _)| *sender) {
            self.windows.remove(sender);
        }
    }
}

impl SenderWindow {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.received = if ahead < WINDOW_DATAGRAMS {
                self.received << ahead
            } else {
                0
            };
            self.received |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW_DATAGRAMS {
            return false;
        }
        let bit = 1 << behind;
        let new = self.received & bit == 0;
        self.received |= bit;
        new
    }
}
