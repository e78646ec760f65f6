//! The state machine that runs at-most-once execution on a node.

use std::collections::VecDeque;
use std::hash;
use std::mem;
use std::time::Duration;

use anvil_types::{ident, name, time};
use anvil_wire::key;

use crate::{change, counters, effect, entry, event, peers, policy, role, view};

/// Longest interval between two ticks, which check retention, confirmations and owners.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// When the next tick is due.
///
/// It hashes to nothing: an early or late tick changes no decision, so the exhaustive tests treat
/// states that differ only in it as equal.
#[derive(Clone, Copy, Debug)]
struct WakeTime(time::NodeTime);

impl hash::Hash for WakeTime {
    fn hash<H>(&self, _: &mut H)
    where
        H: hash::Hasher,
    {
    }
}

/// The at-most-once state of a node: the keys its own calls request and the slots it owns.
#[derive(Clone, Debug, Hash)]
pub struct KeyOwner {
    pub(crate) own: ident::NodeId,
    pub(crate) zone: name::ZoneName,
    pub(crate) policy: policy::KeyPolicy,
    pub(crate) started_at: time::NodeTime,
    pub(crate) peers: peers::PeerTable,
    pub(crate) views: view::ViewTable,
    /// Sorted by call.
    pub(crate) requests: Vec<entry::RequestEntry>,
    /// Sorted by slot.
    pub(crate) slots: Vec<role::OwnedSlot>,
    /// Sorted by slot.
    pub(crate) changes: Vec<change::SlotChange>,
    pub(crate) last_request_id: u64,
    pub(crate) store_budget: change::StoreBudget,
    /// Whether the store left the last request unanswered.
    pub(crate) store_unavailable: bool,
    /// The slot that the next scan for unowned slots starts at.
    pub(crate) next_claim_slot: u16,
    pub(crate) leaving: bool,
    pub(crate) counters: counters::KeyCounters,
    wake: WakeTime,
    local: VecDeque<key::KeyMessage>,
    effects: Vec<effect::KeyEffect>,
}

impl KeyOwner {
    /// Creates a node that owns no slot and knows no peer.
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
            started_at: now,
            peers: peers::PeerTable::default(),
            views: view::ViewTable::default(),
            requests: Vec::new(),
            slots: Vec::new(),
            changes: Vec::new(),
            last_request_id: 0,
            store_budget: change::StoreBudget::new(now, policy.store_request_burst),
            store_unavailable: false,
            next_claim_slot: 0,
            leaving: false,
            counters: counters::KeyCounters::default(),
            wake: WakeTime(now + TICK_INTERVAL),
            local: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Replaces the policy and restarts the waits that count from the node's start.
    pub fn set_policy(&mut self, now: time::NodeTime, policy: policy::KeyPolicy) {
        self.started_at = now;
        self.policy = policy;
        self.store_budget = change::StoreBudget::new(now, policy.store_request_burst);
    }

    /// Handles one event and returns the effects to carry out, in order.
    pub fn step(&mut self, now: time::NodeTime, event: event::KeyEvent) -> Vec<effect::KeyEffect> {
        match event {
            event::KeyEvent::Request {
                call,
                key,
                fingerprint,
                wait,
            } => self.request_key(
                now,
                entry::KeyRequest {
                    call,
                    key,
                    fingerprint,
                },
                wait,
            ),
            event::KeyEvent::Abandon { call } => self.abandon(now, call),
            event::KeyEvent::Ended { call, outcome } => self.finish(now, call, outcome),
            event::KeyEvent::Message { from, message } => self.receive(now, from, message),
            event::KeyEvent::Unreachable { node } => self.handle_unreachable(now, node),
            event::KeyEvent::Peer(peer) => self.update_peer(now, peer),
            event::KeyEvent::StoreReplied { id, reply } => self.handle_store_reply(now, id, reply),
            event::KeyEvent::Tick => self.tick(now),
            event::KeyEvent::Leave => self.leave(now),
        }
        while let Some(message) = self.local.pop_front() {
            self.receive(now, self.own, message);
        }
        mem::take(&mut self.effects)
    }

    /// When [`event::KeyEvent::Tick`] is next due; `None` if there is nothing to check.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        let idle = self.requests.is_empty() && self.slots.is_empty() && self.changes.is_empty();
        let idle = idle && self.policy.claim_scan_slots == 0;
        (!idle).then_some(self.wake.0)
    }

    /// Counters since the start of the process.
    pub const fn counters(&self) -> &counters::KeyCounters {
        &self.counters
    }

    /// Whether a leaving node has handed over its slots and delivered its outcomes, or has no live
    /// peer that could take them.
    pub fn is_released(&self) -> bool {
        let delayed = self.requests.iter().any(|entry| entry.delays_stop());
        self.leaving && ((self.slots.is_empty() && !delayed) || self.is_alone())
    }

    /// How long after its start a node treats an owner that membership never reported as missing.
    ///
    /// Membership never reports a node that crashed before this one started. A node without any
    /// live peer is probably partitioned itself and would take every slot from healthy owners, so
    /// it waits for much longer.
    fn unknown_owner_timeout(&self) -> Duration {
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
                fingerprint,
            } => {
                self.handle_request(
                    now,
                    from,
                    entry::KeyRequest {
                        call,
                        key,
                        fingerprint,
                    },
                );
            }
            key::KeyMessage::Grant { call, key } => self.handle_grant(now, from, call, key),
            key::KeyMessage::Refuse { call, refusal } => self.handle_refusal(now, call, refusal),
            key::KeyMessage::Settle { call, key, outcome } => {
                self.settle(now, from, (call, key), &outcome);
            }
            key::KeyMessage::Settled { call } => self.handle_settled(call),
            key::KeyMessage::Record {
                slot,
                epoch,
                record,
            } => self.handle_record(now, from, (slot, epoch), record),
            key::KeyMessage::Recorded { slot, epoch, order } => {
                self.handle_ack(now, (slot, epoch), order);
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
                uncertain_micros,
            } => {
                self.learn(now, view, None);
                let uncertainty = Duration::from_micros(uncertain_micros);
                self.handle_copy_part(now, from, &view, (part, last), records);
                self.set_uncertainty(now, &view, uncertainty);
            }
            key::KeyMessage::Copied { slot, epoch, part } => {
                self.continue_copy(now, (slot, epoch), part);
            }
            key::KeyMessage::View(view) => {
                let confirmed_at = self.confirmed_by_proposer(now, from, &view);
                let is_newer = self.learn(now, view, confirmed_at);
                self.resend_outcomes(now, view.slot, is_newer);
            }
        }
    }

    fn tick(&mut self, now: time::NodeTime) {
        self.wake = WakeTime(now + TICK_INTERVAL);
        self.tick_requests(now);
        self.tick_slots(now);
        self.tick_changes(now);
        self.claim_unowned_slots(now);
        self.peers.remove_missing(now, self.policy.retention);
    }

    fn update_peer(&mut self, now: time::NodeTime, peer: peers::KeyPeer) {
        if peer.node != self.own && self.peers.update(peer) {
            self.check_slots(now);
        }
    }

    /// Sends a message. One to this node itself is handled before the step ends.
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
        let at = self.slot_position(slot).ok()?;
        Some(&self.slots[at])
    }

    pub(crate) fn owned_mut(&mut self, slot: key::SlotId) -> Option<&mut role::OwnedSlot> {
        let at = self.slot_position(slot).ok()?;
        Some(&mut self.slots[at])
    }

    pub(crate) fn slot_position(&self, slot: key::SlotId) -> Result<usize, usize> {
        self.slots.binary_search_by_key(&slot, |owned| owned.slot)
    }

    /// Whether `node` has been missing for at least `span`; this node itself never is.
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
            None => now.since(self.started_at) >= self.unknown_owner_timeout(),
        }
    }
}
