//! The state machine of a node's part in at-most-once.

use std::collections::VecDeque;
use std::hash;
use std::mem;
use std::time::Duration;

use anvil_types::{ident, name, time};
use anvil_wire::key;

use crate::{change, counters, effect, entry, event, peers, policy, role, view};

/// Time between two looks at retention, confirmations and owners.
const IDLE_WAKE: Duration = Duration::from_secs(1);

/// When the next look at time is due.
///
/// An early or late look decides nothing, so states that differ only in it are the same state.
#[derive(Clone, Copy, Debug)]
struct WakeTime(time::NodeTime);

impl hash::Hash for WakeTime {
    fn hash<H>(&self, _: &mut H)
    where
        H: hash::Hasher,
    {
    }
}

/// A node's part in at-most-once: it asks for its own calls and owns slots for all.
#[derive(Clone, Debug, Hash)]
pub struct KeyOwner {
    pub(crate) own: ident::NodeId,
    pub(crate) zone: name::ZoneName,
    pub(crate) policy: policy::KeyPolicy,
    pub(crate) started: time::NodeTime,
    pub(crate) peers: peers::PeerTable,
    pub(crate) views: view::ViewTable,
    /// Sorted by call.
    pub(crate) asks: Vec<entry::KeyAsk>,
    /// Sorted by slot.
    pub(crate) slots: Vec<role::OwnedSlot>,
    /// Sorted by slot.
    pub(crate) changes: Vec<change::SlotChange>,
    pub(crate) last_ask: u64,
    pub(crate) pace: change::StorePace,
    /// Whether the store left the last question without an answer.
    pub(crate) store_out: bool,
    /// The slot looked at next for an owner.
    pub(crate) claim_next: u16,
    pub(crate) leaving: bool,
    pub(crate) counters: counters::KeyCounters,
    wake: WakeTime,
    local: VecDeque<key::KeyMessage>,
    effects: Vec<effect::KeyEffect>,
}

impl KeyOwner {
    /// A node that owns nothing and knows nobody.
    pub fn new(
        now: time::NodeTime,
        own: ident::NodeId,
        zone: name::ZoneName,
        policy: policy::KeyPolicy,
    ) -> Self {
        Self {
            own,
            zone,
            policy,
            started: now,
            peers: peers::PeerTable::default(),
            views: view::ViewTable::default(),
            asks: Vec::new(),
            slots: Vec::new(),
            changes: Vec::new(),
            last_ask: 0,
            pace: change::StorePace::new(now, policy.store_request_burst),
            store_out: false,
            claim_next: 0,
            leaving: false,
            counters: counters::KeyCounters::default(),
            wake: WakeTime(now + IDLE_WAKE),
            local: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Starts with other times and bounds.
    pub fn set_policy(&mut self, now: time::NodeTime, policy: policy::KeyPolicy) {
        self.started = now;
        self.policy = policy;
        self.pace = change::StorePace::new(now, policy.store_request_burst);
    }

    /// Takes in one event and returns what is to be done, in order.
    pub fn step(&mut self, now: time::NodeTime, event: event::KeyEvent) -> Vec<effect::KeyEffect> {
        match event {
            event::KeyEvent::Request {
                call,
                key,
                fingerprint: print,
                wait,
            } => self.ask(now, entry::KeyQuestion { call, key, print }, wait),
            event::KeyEvent::Abandon { call } => self.abandon(now, call),
            event::KeyEvent::Ended { call, outcome: end } => self.end(now, call, end),
            event::KeyEvent::Message { from, message } => self.receive(now, from, message),
            event::KeyEvent::Unreachable { node } => self.lose_messages(now, node),
            event::KeyEvent::Peer(peer) => self.update_peer(now, peer),
            event::KeyEvent::StoreReplied { id, reply } => self.take_reply(now, id, reply),
            event::KeyEvent::Tick => self.tick(now),
            event::KeyEvent::Leave => self.leave(now),
        }
        while let Some(message) = self.local.pop_front() {
            self.receive(now, self.own, message);
        }
        mem::take(&mut self.effects)
    }

    /// When [`event::KeyEvent::Tick`] is next of use; none where nothing is owned or asked.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        let idle = self.asks.is_empty() && self.slots.is_empty() && self.changes.is_empty();
        let idle = idle && self.policy.claim_scan_slots == 0;
        (!idle).then_some(self.wake.0)
    }

    /// What was counted since the start.
    pub const fn counters(&self) -> &counters::KeyCounters {
        &self.counters
    }

    /// Whether a leaving node has handed over its slots and delivered its outcomes, or knows
    /// nobody who could take them.
    pub fn is_released(&self) -> bool {
        let waits = self.asks.iter().any(|ask| ask.holds_node());
        self.leaving && ((self.slots.is_empty() && !waits) || self.is_alone())
    }

    /// How long after its start a node takes an owner of whom it never heard for gone.
    ///
    /// A node that started late never hears of one that vanished before. But a node that hears
    /// nobody is itself the one cut off: it would take every slot from owners that are well.
    fn unknown_wait(&self) -> Duration {
        if self.is_alone() {
            self.policy.max_unconfirmed
        } else {
            self.policy.orphan_timeout
        }
    }

    fn is_alone(&self) -> bool {
        let alive = |peer: &peers::KeyPeer| peer.health == peers::PeerHealth::Alive;
        !self.peers.list().iter().any(alive)
    }

    fn receive(&mut self, now: time::NodeTime, from: ident::NodeId, message: key::KeyMessage) {
        match message {
            key::KeyMessage::Request {
                call,
                key,
                fingerprint: print,
            } => {
                self.answer_ask(now, from, entry::KeyQuestion { call, key, print });
            }
            key::KeyMessage::Grant { call, key } => self.take_grant(now, from, call, key),
            key::KeyMessage::Refuse { call, refusal } => self.take_refusal(now, call, refusal),
            key::KeyMessage::Settle { call, key, outcome } => {
                self.settle(now, from, (call, key), &outcome);
            }
            key::KeyMessage::Settled { call } => self.forget_outcome(call),
            key::KeyMessage::Record {
                slot,
                epoch,
                record,
            } => self.keep_record(now, from, (slot, epoch), record),
            key::KeyMessage::Recorded { slot, epoch, order } => {
                self.take_ack(now, (slot, epoch), order);
            }
            key::KeyMessage::Erase {
                slot,
                epoch,
                key,
                order,
            } => self.erase_record((slot, epoch), key, order),
            key::KeyMessage::Copy {
                view,
                part,
                last,
                records,
                uncertain_micros: doubt_micros,
            } => {
                self.learn(now, view, None);
                let doubt = Duration::from_micros(doubt_micros);
                self.keep_part(now, from, &view, (part, last), records);
                self.keep_doubt(now, &view, doubt);
            }
            key::KeyMessage::Copied { slot, epoch, part } => {
                self.continue_copy(now, (slot, epoch), part);
            }
            key::KeyMessage::View(view) => {
                let confirmed = self.told_by_proposer(now, from, &view);
                let news = self.learn(now, view, confirmed);
                self.resend_outcomes(now, view.slot, news);
            }
        }
    }

    fn tick(&mut self, now: time::NodeTime) {
        self.wake = WakeTime(now + IDLE_WAKE);
        self.tick_asks(now);
        self.tick_slots(now);
        self.tick_changes(now);
        self.claim_ahead(now);
        self.peers.forget(now, self.policy.retention);
    }

    fn update_peer(&mut self, now: time::NodeTime, peer: peers::KeyPeer) {
        if peer.node != self.own && self.peers.update(peer) {
            self.check_slots(now);
        }
    }

    /// Sends a message; one to this node itself is taken in before the step ends.
    pub(crate) fn send(&mut self, to: ident::NodeId, message: key::KeyMessage) {
        if to == self.own {
            self.local.push_back(message);
        } else {
            self.effects.push(effect::KeyEffect::Send { to, message });
        }
    }

    pub(crate) fn push(&mut self, effect: effect::KeyEffect) {
        self.effects.push(effect);
    }

    pub(crate) fn wake_at(&mut self, at: time::NodeTime) {
        self.wake.0 = self.wake.0.min(at);
    }

    pub(crate) fn owned(&self, slot: key::SlotId) -> Option<&role::OwnedSlot> {
        let at = self.place(slot).ok()?;
        Some(&self.slots[at])
    }

    pub(crate) fn owned_mut(&mut self, slot: key::SlotId) -> Option<&mut role::OwnedSlot> {
        let at = self.place(slot).ok()?;
        Some(&mut self.slots[at])
    }

    pub(crate) fn place(&self, slot: key::SlotId) -> Result<usize, usize> {
        self.slots.binary_search_by_key(&slot, |owned| owned.slot)
    }

    /// Whether `node` has been missing for at least `span`.
    pub(crate) fn is_missing(
        &self,
        now: time::NodeTime,
        node: ident::NodeId,
        span: Duration,
    ) -> bool {
        if node == self.own {
            return false;
        }
        match self.peers.get(node) {
            Some(peer) if peer.health == peers::PeerHealth::Missing => {
                now.since(peer.since) >= span
            }
            Some(_) => false,
            None => now.since(self.started) >= self.unknown_wait(),
        }
    }
}
