//! Which datagrams of which sender were seen.

use anvil_types::ident;

/// Datagrams of one sender that may arrive out of order and still be accepted.
pub const WINDOW: u64 = 64;

/// Senders remembered, about twice the members of the largest fleet; 24 bytes each.
pub const SENDER_LIMIT: usize = 32_768;

/// What was seen of one sender.
#[derive(Clone, Copy, Debug)]
struct SenderWindow {
    sender: ident::NodeId,
    /// The highest sequence seen.
    highest: u64,
    /// Bit `n` tells whether `highest - n` was seen.
    seen: u64,
}

/// Accepts each datagram once.
///
/// Without it, whoever records datagrams could send an old one again, and a node that left would
/// seem to live. Only senders with a key get an entry, so the limit is reached by real nodes alone;
/// then the sender with the lowest identity gives way, which costs no more than one replay of
/// its datagrams.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    /// Sorted by sender.
    windows: Vec<SenderWindow>,
}

impl ReplayGuard {
    /// Tells whether a datagram is new, and remembers it.
    pub fn accept(&mut self, sender: ident::NodeId, sequence: u64) -> bool {
        match self
            .windows
            .binary_search_by_key(&sender, |window| window.sender)
        {
            Ok(place) => self.windows[place].accept(sequence),
            Err(place) => {
                self.remember(place, sender, sequence);
                true
            }
        }
    }

    /// Forgets a sender that is gone for good; its datagrams would count as new again.
    pub fn forget(&mut self, sender: ident::NodeId) {
        if let Ok(place) = self
            .windows
            .binary_search_by_key(&sender, |window| window.sender)
        {
            self.windows.remove(place);
        }
    }

    /// The number of senders remembered.
    pub const fn len(&self) -> usize {
        self.windows.len()
    }

    /// Whether no sender is remembered.
    pub const fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }

    fn remember(&mut self, place: usize, sender: ident::NodeId, sequence: u64) {
        let window = SenderWindow {
            sender,
            highest: sequence,
            seen: 1,
        };
        self.windows.insert(place, window);
        if self.windows.len() > SENDER_LIMIT {
            let evicted = if place == 0 { 1 } else { 0 };
            self.windows.remove(evicted);
        }
    }
}

impl SenderWindow {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.seen = if ahead < WINDOW {
                self.seen << ahead
            } else {
                0
            };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW {
            return false;
        }
        let bit = 1 << behind;
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
