//! Idempotency keys inside the reducer: a call that has one waits for its grant before any
//! attempt; see `docs/design/at-most-once.md`.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_once::{dump, effect as once, event as moment, owner, peers, policy};
use anvil_overload::refusal;
use anvil_types::{ident, name, sorted, store, time, verdict};
use anvil_wire::{call, frame, key};
use bytes::Bytes;

use crate::{calls, config, effect, notes, reducer};

/// Longest wait for an owner of a key.
///
/// It covers the detection of a crashed owner and the takeover, so that most callers never hear
/// of either; one that waited longer is told to come back.
const KEY_WAIT: Duration = Duration::from_secs(8);

/// How long a stopping node waits for other nodes to take its slots.
///
/// A hand-over takes two answers of the store and one copy, some ten milliseconds; longer means
/// that the store is out, and then the backups take over once it is back.
pub(crate) const HANDOVER_LIMIT: Duration = Duration::from_secs(5);

/// When a caller whose key is running does well to ask for its answer.
pub(crate) const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

/// Senders remembered that membership has not told of; more are nodes that come and go, whose
/// questions are repeated once membership has told of them.
const STRANGERS_LIMIT: usize = 1_024;

/// Names this part in log lines.
const PART: &str = "keys";

/// What this node knows of one that may own keys.
#[derive(Clone, Debug)]
pub(crate) struct KeyPeer {
    pub(crate) address: SocketAddr,
    pub(crate) zone: name::ZoneName,
    pub(crate) leaving: bool,
    /// Whether membership suspects it.
    pub(crate) suspected: bool,
    /// Whether a connection to it broke, and nothing came from it since.
    pub(crate) broken: bool,
}

impl KeyPeer {
    /// A node that is suspected and whose connection broke is taken for gone before membership
    /// has confirmed it: the process has ended, most likely. A mistake costs two questions to the
    /// store for each slot and no record, and halves the wait after most crashes.
    fn health(&self) -> peers::PeerHealth {
        match (self.suspected && self.broken, self.leaving) {
            (true, _) => peers::PeerHealth::Missing,
            (false, true) => peers::PeerHealth::Leaving,
            (false, false) => peers::PeerHealth::Alive,
        }
    }
}

/// The key owner of a node, and where its peers are.
#[derive(Debug)]
pub(crate) struct KeyDesk {
    owner: owner::KeyOwner,
    peers: sorted::SortedTable<ident::NodeId, KeyPeer>,
    /// Where nodes can be reached that asked before membership told of them.
    strangers: sorted::SortedTable<ident::NodeId, SocketAddr>,
    /// Whether keys are guarded: only where there is a store to agree on owners.
    guarded: bool,
}

impl KeyDesk {
    pub(crate) fn new(config: &config::NodeConfig) -> Self {
        let start = time::NodeTime::START;
        // Nothing is claimed ahead before there is a store to claim it in.
        let policy = policy::KeyPolicy {
            claim_scan_slots: 0,
            ..policy::KeyPolicy::default()
        };
        Self {
            owner: owner::KeyOwner::new(start, config.node, config.zone.clone(), policy),
            peers: sorted::SortedTable::default(),
            strangers: sorted::SortedTable::default(),
            guarded: false,
        }
    }

    pub(crate) fn next_wake(&self) -> Option<time::NodeTime> {
        self.owner.next_wake()
    }

    /// Notes where a sender is to be answered, as long as membership has not told of it.
    ///
    /// Failure: an owner grants a key to a node that it has not heard of. Symptom: the grant goes
    /// nowhere, and claims through a node that started a second ago wait until their callers give up.
    fn note_sender(&mut self, node: ident::NodeId, address: SocketAddr) {
        if self.peers.get(node).is_none() && self.strangers.len() < STRANGERS_LIMIT {
            self.strangers.insert(node, address);
        }
    }

    fn address(&self, node: ident::NodeId) -> Option<SocketAddr> {
        let known = self.peers.get(node).map(|peer| peer.address);
        known.or_else(|| self.strangers.get(node).copied())
    }

    /// Lets keys be owned by nodes that agree through the platform's store.
    ///
    /// Without it a key protects only against the retries of one entry node; a node without a
    /// store has no way to know who else runs the same key.
    pub(crate) fn guard(&mut self, now: time::NodeTime) {
        self.guarded = true;
        self.owner.set_policy(now, policy::KeyPolicy::default());
    }
}

impl reducer::NodeReducer {
    pub(crate) fn guards_keys(&self) -> bool {
        self.keys.guarded
    }

    /// Asks for the key of a call that needs one; returns whether the call waits for it.
    pub(crate) fn ask_key(&mut self, sequence: u64) -> bool {
        let call = self.call_id(sequence);
        let Some(open) = self.calls.get_mut(sequence) else {
            return false;
        };
        let Some(key) = open.guarded_key().filter(|_| self.keys.guarded) else {
            return false;
        };
        open.stage = calls::CallStage::Asking;
        let ask = moment::KeyEvent::Request {
            call,
            key,
            fingerprint: open.context.fingerprint,
            wait: open.deadline.since(self.now).min(KEY_WAIT),
        };
        self.tell_keyed(sequence, notes::KeyedStep::Asked);
        self.step_keys(ask);
        true
    }

    /// Tells the log of a step of an open call, where its key is guarded.
    pub(crate) fn tell_keyed(&mut self, sequence: u64, step: notes::KeyedStep) {
        let open = self.calls.get(sequence).filter(|_| self.keys.guarded);
        let Some((root, key)) =
            open.and_then(|open| Some((open.context.request, open.guarded_key()?)))
        else {
            return;
        };
        let call = self.call_id(sequence);
        self.tell(effect::StateChange::KeyedCall(Box::new(notes::KeyedNote {
            root,
            key,
            call,
            step,
        })));
    }

    /// Tells the owner of a call's key how the call ended.
    pub(crate) fn close_key(
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
            self.step_keys(moment::KeyEvent::Abandon { call });
            return;
        }
        self.tell(effect::StateChange::KeyedCall(Box::new(notes::KeyedNote {
            root: open.context.request,
            key,
            call,
            step: notes::KeyedStep::Settled { verdict },
        })));
        let outcome = call_end(verdict, answer);
        self.step_keys(moment::KeyEvent::Ended { call, outcome });
    }

    pub(crate) fn key_arrived(&mut self, from: ident::NodeId, frame: key::KeyFrame) {
        self.keys.note_sender(from, frame.reply_to);
        let message = frame.message;
        self.step_keys(moment::KeyEvent::Message { from, message });
    }

    /// Notes that a node was heard of by its own frame.
    pub(crate) fn key_peer_heard(&mut self, node: ident::NodeId) {
        if let Some(peer) = self.keys.peers.get_mut(node)
            && peer.broken
        {
            peer.broken = false;
            self.judge_key_peer(node);
        }
    }

    pub(crate) fn key_unreachable(&mut self, node: ident::NodeId) {
        if let Some(peer) = self.keys.peers.get_mut(node) {
            peer.broken = true;
            self.judge_key_peer(node);
        }
        self.keys.strangers.remove(node);
        self.step_keys(moment::KeyEvent::Unreachable { node });
    }

    /// Takes in a node that may own keys.
    pub(crate) fn key_peer(&mut self, node: ident::NodeId, peer: KeyPeer) {
        let broken = self.keys.peers.get(node).is_some_and(|known| known.broken);
        self.keys.peers.insert(node, KeyPeer { broken, ..peer });
        self.keys.strangers.remove(node);
        self.judge_key_peer(node);
    }

    /// Takes in that a node is believed gone.
    pub(crate) fn key_peer_gone(&mut self, node: ident::NodeId) {
        if let Some(peer) = self.keys.peers.remove(node) {
            self.set_key_peer(node, peer.zone, peers::PeerHealth::Missing);
        }
    }

    fn judge_key_peer(&mut self, node: ident::NodeId) {
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
        self.step_keys(moment::KeyEvent::Peer(peers::KeyPeer {
            node,
            zone,
            health,
            since,
        }));
    }

    pub(crate) fn key_store_answered(&mut self, id: store::StoreId, outcome: store::StoreOutcome) {
        let id = once::SlotRequestId(id.sequence);
        let reply = self.store_reply(outcome);
        self.step_keys(moment::KeyEvent::StoreReplied { id, reply });
    }

    pub(crate) fn wake_keys(&mut self) {
        if self.keys.next_wake().is_some_and(|due| due <= self.now) {
            self.step_keys(moment::KeyEvent::Tick);
        }
    }

    pub(crate) fn leave_keys(&mut self) {
        self.step_keys(moment::KeyEvent::Leave);
    }

    /// Whether a stopping node need not stay for its keys.
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

    fn step_keys(&mut self, event: moment::KeyEvent) {
        for effect in self.keys.owner.step(self.now, event) {
            self.take_key_effect(effect);
        }
    }

    fn take_key_effect(&mut self, effect: once::KeyEffect) {
        match effect {
            once::KeyEffect::Send { to, message } => self.send_key(to, message),
            once::KeyEffect::Dispatch { call } => self.key_granted(call.sequence),
            once::KeyEffect::Decide { call, verdict } => self.key_decided(call.sequence, verdict),
            once::KeyEffect::RequestSlot { id, request: ask } => self.ask_key_store(id, &ask),
            once::KeyEffect::Report(text) => {
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
            None => self.step_keys(moment::KeyEvent::Unreachable { node: to }),
        }
    }

    fn key_granted(&mut self, sequence: u64) {
        if let Some(open) = self.calls.get_mut(sequence) {
            open.stage = calls::CallStage::Pausing;
            self.tell_keyed(sequence, notes::KeyedStep::Granted);
            self.dispatch_attempt(sequence);
        }
    }

    fn key_decided(&mut self, sequence: u64, verdict: once::KeyVerdict) {
        match verdict {
            once::KeyVerdict::Answered(answer) => {
                self.end_call(sequence, verdict::CallVerdict::Answered, Some(*answer));
            }
            once::KeyVerdict::NotRun(reason) => {
                self.refuse_call(sequence, reason, refusal::RefusalLimit::Other);
            }
            once::KeyVerdict::MayHaveRun(reason) => {
                self.end_call(sequence, verdict::CallVerdict::MayHaveRun(reason), None);
            }
        }
    }

    fn ask_key_store(&mut self, id: once::SlotRequestId, ask: &once::SlotRequest) {
        let ask = match ask {
            once::SlotRequest::Read { slot } => store::StoreRequest::Get {
                key: key::slot_key(*slot),
            },
            once::SlotRequest::Swap { expected, view } => {
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
        self.effects.push(effect::NodeEffect::AskStore { id, ask });
    }

    fn store_reply(&mut self, outcome: store::StoreOutcome) -> moment::SlotReply {
        match outcome {
            store::StoreOutcome::Done(store::StoreReply::Swapped { version }) => {
                moment::SlotReply::Swapped { version: version.0 }
            }
            store::StoreOutcome::Done(store::StoreReply::Entry(entry)) => {
                match self.record(entry) {
                    Ok(found) => moment::SlotReply::Found(found),
                    Err(()) => moment::SlotReply::Unknown,
                }
            }
            store::StoreOutcome::Conflict { current } => match self.record(current) {
                Ok(found) => moment::SlotReply::Conflict(found),
                Err(()) => moment::SlotReply::Unknown,
            },
            _ => moment::SlotReply::Unknown,
        }
    }

    /// Reads a slot's record; one that is no record is reported and never replaced.
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
) -> moment::CallOutcome {
    match (verdict, answer) {
        (verdict::CallVerdict::Answered, Some(answer)) => {
            moment::CallOutcome::Answered(Box::new(answer.clone()))
        }
        (verdict::CallVerdict::Answered, None) => {
            moment::CallOutcome::MayHaveRun(verdict::UncertaintyReason::AnswerCut)
        }
        (verdict::CallVerdict::NotRun(_), _) => moment::CallOutcome::NotRun,
        (verdict::CallVerdict::MayHaveRun(reason), _) => moment::CallOutcome::MayHaveRun(reason),
    }
}
