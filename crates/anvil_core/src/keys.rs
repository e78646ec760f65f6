//! Idempotency keys: a call with a key waits for the grant of the key before its first attempt; see
//! `docs/design/at-most-once.md`.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_once::{dump, effect as key_effect, event as key_event, owner, peers, policy};
use anvil_overload::refusal;
use anvil_types::{ident, name, sorted, store, time, verdict};
use anvil_wire::{call, frame, key};
use bytes::Bytes;

use crate::{calls, config, effect, reducer, request_log};

/// Longest wait for the decision of a key's owner.
///
/// It covers the detection of a crashed owner and the takeover of its keys, so most callers don't
/// notice them. After a longer wait the caller is asked to retry.
const MAX_KEY_WAIT: Duration = Duration::from_secs(8);

/// How long a stopping node waits for other nodes to take over its slots.
///
/// A handover takes two store requests and one copy, about ten milliseconds. If it takes longer,
/// the store is unavailable, and the backups take over once it is back.
pub(crate) const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// When a caller should retry if another call with the same key is running.
pub(crate) const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

/// Maximum number of senders that are remembered before membership has announced them. Requests of
/// further ones succeed when they are repeated after the announcement.
const MAX_UNKNOWN_PEERS: usize = 1_024;

/// The name of this part in log lines.
const PART: &str = "keys";

/// Another node that may own keys.
#[derive(Clone, Debug)]
pub(crate) struct KeyPeer {
    pub(crate) address: SocketAddr,
    pub(crate) zone: name::ZoneName,
    pub(crate) leaving: bool,
    /// Whether membership suspects that it has crashed.
    pub(crate) suspected: bool,
    /// Whether a connection to it broke and nothing was received from it since.
    pub(crate) connection_broken: bool,
}

impl KeyPeer {
    /// The health of the node for the key owner.
    ///
    /// A suspected node whose connection broke counts as missing before membership has confirmed
    /// the crash, because its process has most likely ended. That halves the wait after most
    /// crashes. A mistake costs two store requests per slot and loses no records.
    fn health(&self) -> peers::PeerHealth {
        match (self.suspected && self.connection_broken, self.leaving) {
            (true, _) => peers::PeerHealth::Missing,
            (false, true) => peers::PeerHealth::Leaving,
            (false, false) => peers::PeerHealth::Alive,
        }
    }
}

/// The key owner of a node, and the addresses of its peers.
#[derive(Debug)]
pub(crate) struct KeyState {
    owner: owner::KeyOwner,
    peers: sorted::SortedTable<ident::NodeId, KeyPeer>,
    /// The addresses of nodes that sent a request before membership announced them.
    unknown_peers: sorted::SortedTable<ident::NodeId, SocketAddr>,
    /// Whether keys are guarded, which requires a store in which the nodes agree on owners.
    guarded: bool,
}

impl KeyState {
    pub(crate) fn new(config: &config::NodeConfig) -> Self {
        let start = time::NodeTime::START;
        // Without a store no slots can be claimed.
        let policy = policy::KeyPolicy {
            claim_scan_slots: 0,
            ..policy::KeyPolicy::default()
        };
        Self {
            owner: owner::KeyOwner::new(start, config.node, config.zone.clone(), policy),
            peers: sorted::SortedTable::default(),
            unknown_peers: sorted::SortedTable::default(),
            guarded: false,
        }
    }

    pub(crate) fn next_wake(&self) -> Option<time::NodeTime> {
        self.owner.next_wake()
    }

    /// Remembers the address of a sender that membership has not announced yet.
    ///
    /// Without the address an owner could not deliver a grant, and keyed requests through a node
    /// that started a second ago would wait until their callers give up.
    fn record_sender(&mut self, node: ident::NodeId, address: SocketAddr) {
        if self.peers.get(node).is_none() && self.unknown_peers.len() < MAX_UNKNOWN_PEERS {
            self.unknown_peers.insert(node, address);
        }
    }

    fn address(&self, node: ident::NodeId) -> Option<SocketAddr> {
        let known = self.peers.get(node).map(|peer| peer.address);
        known.or_else(|| self.unknown_peers.get(node).copied())
    }

    /// Enables the ownership of keys, on which the nodes agree through the platform's store.
    ///
    /// Without a store a key only protects against retries of the same entry node, because the node
    /// can't know which other nodes run the key.
    pub(crate) fn guard(&mut self, now: time::NodeTime) {
        self.guarded = true;
        self.owner.set_policy(now, policy::KeyPolicy::default());
    }
}

impl reducer::NodeReducer {
    pub(crate) fn guards_keys(&self) -> bool {
        self.keys.guarded
    }

    /// Requests the key of a call that needs one; returns whether the call waits for it.
    pub(crate) fn request_key(&mut self, sequence: u64) -> bool {
        let call = self.call_id(sequence);
        let Some(open) = self.calls.get_mut(sequence) else {
            return false;
        };
        let Some(key) = open.guarded_key().filter(|_| self.keys.guarded) else {
            return false;
        };
        open.stage = calls::CallStage::Asking;
        let request = key_event::KeyEvent::Request {
            call,
            key,
            fingerprint: open.context.fingerprint,
            wait: open.deadline.since(self.now).min(MAX_KEY_WAIT),
        };
        self.log_keyed_step(sequence, request_log::KeyedStep::Asked);
        self.step_keys(request);
        true
    }

    /// Logs a step of an open call if its key is guarded.
    pub(crate) fn log_keyed_step(&mut self, sequence: u64, step: request_log::KeyedStep) {
        let open = self.calls.get(sequence).filter(|_| self.keys.guarded);
        let Some((root, key)) =
            open.and_then(|open| Some((open.context.request, open.guarded_key()?)))
        else {
            return;
        };
        let call = self.call_id(sequence);
        self.log_request(effect::StateChange::KeyedCall(Box::new(
            request_log::KeyedRecord {
                root,
                key,
                call,
                step,
            },
        )));
    }

    /// Reports the outcome of a call to the owner of its key.
    pub(crate) fn finish_key(
        &mut self,
        sequence: u64,
        open: &calls::OpenCall,
        verdict: verdict::CallVerdict,
        answer: Option<&call::CallAnswer>,
    ) {
        let Some(key) = open.guarded_key().filter(|_| self.keys.guarded) else {
            return;
        };
        let call = self.call_id(sequence);
        if open.stage == calls::CallStage::Asking {
            self.step_keys(key_event::KeyEvent::Abandon { call });
            return;
        }
        self.log_request(effect::StateChange::KeyedCall(Box::new(
            request_log::KeyedRecord {
                root: open.context.request,
                key,
                call,
                step: request_log::KeyedStep::Settled { verdict },
            },
        )));
        let outcome = call_end(verdict, answer);
        self.step_keys(key_event::KeyEvent::Ended { call, outcome });
    }

    pub(crate) fn key_arrived(&mut self, from: ident::NodeId, frame: key::KeyFrame) {
        self.keys.record_sender(from, frame.reply_to);
        let message = frame.message;
        self.step_keys(key_event::KeyEvent::Message { from, message });
    }

    /// Records that a frame was received from a node, so its connection is not broken.
    pub(crate) fn key_peer_responded(&mut self, node: ident::NodeId) {
        if let Some(peer) = self.keys.peers.get_mut(node)
            && peer.connection_broken
        {
            peer.connection_broken = false;
            self.update_key_peer_health(node);
        }
    }

    pub(crate) fn key_unreachable(&mut self, node: ident::NodeId) {
        if let Some(peer) = self.keys.peers.get_mut(node) {
            peer.connection_broken = true;
            self.update_key_peer_health(node);
        }
        self.keys.unknown_peers.remove(node);
        self.step_keys(key_event::KeyEvent::Unreachable { node });
    }

    /// Adds or updates a node that may own keys.
    pub(crate) fn upsert_key_peer(&mut self, node: ident::NodeId, peer: KeyPeer) {
        let broken = self
            .keys
            .peers
            .get(node)
            .is_some_and(|known| known.connection_broken);
        self.keys.peers.insert(
            node,
            KeyPeer {
                connection_broken: broken,
                ..peer
            },
        );
        self.keys.unknown_peers.remove(node);
        self.update_key_peer_health(node);
    }

    /// Removes a node that left or is presumed to have crashed.
    pub(crate) fn remove_key_peer(&mut self, node: ident::NodeId) {
        if let Some(peer) = self.keys.peers.remove(node) {
            self.set_key_peer(node, peer.zone, peers::PeerHealth::Missing);
        }
    }

    fn update_key_peer_health(&mut self, node: ident::NodeId) {
        if let Some(peer) = self.keys.peers.get(node) {
            let (zone, health) = (peer.zone.clone(), peer.health());
            self.set_key_peer(node, zone, health);
        }
    }

    fn set_key_peer(
        &mut self,
        node: ident::NodeId,
        zone: name::ZoneName,
        health: peers::PeerHealth,
    ) {
        let since = self.now;
        self.step_keys(key_event::KeyEvent::Peer(peers::KeyPeer {
            node,
            zone,
            health,
            since,
        }));
    }

    pub(crate) fn key_store_answered(&mut self, id: store::StoreId, outcome: store::StoreOutcome) {
        let id = key_effect::SlotRequestId(id.sequence);
        let reply = self.store_reply(outcome);
        self.step_keys(key_event::KeyEvent::StoreReplied { id, reply });
    }

    pub(crate) fn wake_keys(&mut self) {
        if self.keys.next_wake().is_some_and(|due| due <= self.now) {
            self.step_keys(key_event::KeyEvent::Tick);
        }
    }

    pub(crate) fn leave_keys(&mut self) {
        self.step_keys(key_event::KeyEvent::Leave);
    }

    /// Whether a stopping node has no keys left to hand over.
    pub(crate) fn keys_released(&self) -> bool {
        self.keys.owner.is_released()
    }

    pub(crate) fn key_dump(&self) -> serde_json::Value {
        let dump: dump::KeyDump = self.keys.owner.dump();
        serde_json::json!({ "guarded": self.keys.guarded, "state": dump })
    }

    pub(crate) fn key_counters(&self) -> serde_json::Value {
        serde_json::json!(self.keys.owner.counters())
    }

    fn step_keys(&mut self, event: key_event::KeyEvent) {
        for effect in self.keys.owner.step(self.now, event) {
            self.apply_key_effect(effect);
        }
    }

    fn apply_key_effect(&mut self, effect: key_effect::KeyEffect) {
        match effect {
            key_effect::KeyEffect::Send { to, message } => self.send_key(to, message),
            key_effect::KeyEffect::Dispatch { call } => self.key_granted(call.sequence),
            key_effect::KeyEffect::Decide { call, verdict } => {
                self.key_decided(call.sequence, verdict);
            }
            key_effect::KeyEffect::RequestSlot { id, request } => {
                self.send_key_store_request(id, &request);
            }
            key_effect::KeyEffect::Report(text) => {
                self.report(effect::StateChange::Part { part: PART, text });
            }
        }
    }

    fn send_key(&mut self, to: ident::NodeId, message: key::KeyMessage) {
        match self.keys.address(to) {
            Some(address) => {
                let reply_to = self.config.peer_address;
                let frame = key::KeyFrame { reply_to, message };
                self.send_frame(to, address, frame::PeerFrame::Key(Box::new(frame)));
            }
            None => self.step_keys(key_event::KeyEvent::Unreachable { node: to }),
        }
    }

    fn key_granted(&mut self, sequence: u64) {
        if let Some(open) = self.calls.get_mut(sequence) {
            open.stage = calls::CallStage::Pausing;
            self.log_keyed_step(sequence, request_log::KeyedStep::Granted);
            self.dispatch_attempt(sequence);
        }
    }

    fn key_decided(&mut self, sequence: u64, verdict: key_effect::KeyVerdict) {
        match verdict {
            key_effect::KeyVerdict::Answered(answer) => {
                self.end_call(sequence, verdict::CallVerdict::Answered, Some(*answer));
            }
            key_effect::KeyVerdict::NotRun(reason) => {
                self.refuse_call(sequence, reason, refusal::RefusalLimit::Other);
            }
            key_effect::KeyVerdict::MayHaveRun(reason) => {
                self.end_call(sequence, verdict::CallVerdict::MayHaveRun(reason), None);
            }
        }
    }

    fn send_key_store_request(
        &mut self,
        id: key_effect::SlotRequestId,
        request: &key_effect::SlotRequest,
    ) {
        let request = match request {
            key_effect::SlotRequest::Read { slot } => store::StoreRequest::Get {
                key: key::slot_key(*slot),
            },
            key_effect::SlotRequest::Swap { expected, view } => {
                let Ok(value) = key::encode_view(view) else {
                    return;
                };
                let at = |version: &u64| store::SwapCondition::At(store::StoreVersion(*version));
                store::StoreRequest::Swap {
                    key: key::slot_key(view.slot),
                    condition: expected.as_ref().map_or(store::SwapCondition::Absent, at),
                    value: Bytes::from(value),
                    lease: None,
                }
            }
        };
        let id = store::StoreId {
            requester: store::StoreRequester::Keys,
            sequence: id.0,
        };
        self.effects
            .push(effect::NodeEffect::SendStoreRequest { id, request });
    }

    fn store_reply(&mut self, outcome: store::StoreOutcome) -> key_event::SlotReply {
        match outcome {
            store::StoreOutcome::Done(store::StoreReply::Swapped { version }) => {
                key_event::SlotReply::Swapped { version: version.0 }
            }
            store::StoreOutcome::Done(store::StoreReply::Entry(entry)) => {
                match self.record(entry) {
                    Ok(found) => key_event::SlotReply::Found(found),
                    Err(()) => key_event::SlotReply::Unknown,
                }
            }
            store::StoreOutcome::Conflict { current } => match self.record(current) {
                Ok(found) => key_event::SlotReply::Conflict(found),
                Err(()) => key_event::SlotReply::Unknown,
            },
            _ => key_event::SlotReply::Unknown,
        }
    }

    /// Reads the record of a slot; a malformed record is logged and never replaced.
    fn record(
        &mut self,
        entry: Option<store::StoreEntry>,
    ) -> Result<Option<(key::SlotView, u64)>, ()> {
        let Some(entry) = entry else { return Ok(None) };
        match key::decode_view(&entry.value) {
            Ok(view) => Ok(Some((view, entry.version.0))),
            Err(error) => {
                let text = format!("malformed record: key={} error={error}", entry.key);
                self.report(effect::StateChange::Part { part: PART, text });
                Err(())
            }
        }
    }
}

fn call_end(
    verdict: verdict::CallVerdict,
    answer: Option<&call::CallAnswer>,
) -> key_event::CallOutcome {
    match (verdict, answer) {
        (verdict::CallVerdict::Answered, Some(answer)) => {
            key_event::CallOutcome::Answered(Box::new(answer.clone()))
        }
        (verdict::CallVerdict::Answered, None) => {
            key_event::CallOutcome::MayHaveRun(verdict::UncertaintyReason::AnswerCut)
        }
        (verdict::CallVerdict::NotRun(_), _) => key_event::CallOutcome::NotRun,
        (verdict::CallVerdict::MayHaveRun(reason), _) => key_event::CallOutcome::MayHaveRun(reason),
    }
}
