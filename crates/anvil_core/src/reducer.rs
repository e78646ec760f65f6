//! The one function that every event of a node goes through.

use std::collections::VecDeque;

use anvil_membership::fleet;
use anvil_overload::policy;
use anvil_quota::ledger;
use anvil_rules::document;
use anvil_types::{ident, name, store, time};
use anvil_wire::{frame, outcome};
use rand_core::{Rng, SeedableRng};

use crate::{
    applying, calls, config, counters, directory, effect, event, farewell, incarnations, keys,
    memory, notes, overload, rulebook, runs, stopping, timers,
};

/// The whole state of a node and its transition function.
///
/// It is deterministic: the same seed and the same events at the same times give the same
/// effects, so a failure seen in the field replays as a test.
#[derive(Debug)]
pub struct NodeReducer {
    pub(crate) config: config::NodeConfig,
    pub(crate) now: time::NodeTime,
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    pub(crate) book: rulebook::RuleBook,
    pub(crate) directory: directory::PeerDirectory,
    pub(crate) calls: calls::CallTable,
    pub(crate) runs: runs::RunTable,
    pub(crate) memory: memory::AttemptMemory,
    pub(crate) target: Option<runs::LocalTarget>,
    /// The start of the target before the present one, in case that one's word came late.
    pub(crate) former_target: Option<runs::LocalTarget>,
    pub(crate) overload: overload::OverloadState,
    pub(crate) timers: timers::TimerQueue,
    pub(crate) counters: counters::NodeCounters,
    pub(crate) lines: notes::NoteBudget,
    pub(crate) phase: stopping::NodePhase,
    pub(crate) stop: stopping::StopPlan,
    /// The nodes that called lately, and what they are told before this one ends.
    pub(crate) farewell: farewell::FarewellList,
    pub(crate) incarnations: incarnations::IncarnationBook,
    /// The service that the instance's target should offer, where the settings say so.
    pub(crate) home: Option<name::ServiceName>,
    pub(crate) fleet: fleet::FleetState,
    pub(crate) keys: keys::KeyDesk,
    pub(crate) quota: ledger::QuotaLedger,
    pub(crate) proposed: Option<applying::OpenApply>,
    /// Whether callers were last told to send this node work.
    ready: bool,
    pub(crate) effects: Vec<effect::NodeEffect>,
    loopback: VecDeque<frame::PeerFrame>,
}

/// The quotas of a node that is the home of all accounts until it knows others.
fn quota_ledger(
    config: &config::NodeConfig,
    policy: policy::OverloadPolicy,
) -> ledger::QuotaLedger {
    let way = match policy.tokens_ahead {
        true => ledger::TokenMode::Ahead,
        false => ledger::TokenMode::PerRequest,
    };
    let mut quota = ledger::QuotaLedger::new(config.node, way);
    quota.member_up(time::NodeTime::START, config.node, config.gossip_address);
    quota
}

impl NodeReducer {
    /// A node that knows nobody yet; `seed` feeds every random choice it makes.
    pub fn new(config: config::NodeConfig, seed: u64) -> Self {
        Self::with_policy(config, seed, policy::OverloadPolicy::FULL)
    }

    /// The same with some safeguards turned off, for experiments.
    pub fn with_policy(
        config: config::NodeConfig,
        seed: u64,
        policy: policy::OverloadPolicy,
    ) -> Self {
        Self {
            fleet: crate::fleet::membership(&config, seed),
            keys: keys::KeyDesk::new(&config),
            quota: quota_ledger(&config, policy),
            proposed: None,
            directory: directory::PeerDirectory::new(config.zone.clone(), seed, policy),
            overload: overload::OverloadState::new(config.node, policy),
            config,
            now: time::NodeTime::START,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            book: rulebook::RuleBook::default(),
            calls: calls::CallTable::default(),
            runs: runs::RunTable::default(),
            memory: memory::AttemptMemory::default(),
            home: None,
            target: None,
            former_target: None,
            timers: timers::TimerQueue::default(),
            counters: counters::NodeCounters::default(),
            lines: notes::NoteBudget::default(),
            phase: stopping::NodePhase::Serving,
            stop: stopping::StopPlan::default(),
            farewell: farewell::FarewellList::default(),
            incarnations: incarnations::IncarnationBook::default(),
            ready: false,
            effects: Vec::new(),
            loopback: VecDeque::new(),
        }
    }

    /// Lets the node keep rules and contacts in the platform's store, and guard idempotency keys
    /// with the nodes that agree with it there.
    #[must_use]
    pub fn with_store(mut self) -> Self {
        self.fleet.use_store(self.now);
        self.keys.guard(self.now);
        self
    }

    /// Lets the node keep contacts in the platform's store and take its rules from one key there,
    /// which the operators write.
    #[must_use]
    pub fn with_rule_document(mut self, key: store::StoreKey) -> Self {
        self.fleet.use_document(self.now, key);
        self
    }

    /// Sets how long a stopping node serves callers, and when it gives up what is still out.
    #[must_use]
    pub fn with_stop(mut self, plan: stopping::StopPlan) -> Self {
        self.stop = plan;
        self
    }

    /// Names the service that the instance's target should offer.
    #[must_use]
    pub fn with_home(mut self, service: name::ServiceName) -> Self {
        self.home = Some(service);
        self
    }

    /// Bounds the retries for each service by a burst that all nodes of the fleet share.
    #[must_use]
    pub fn with_fleet_burst(mut self, burst: u32) -> Self {
        self.overload.fleet_burst = Some(burst);
        self
    }

    /// Takes one event and returns what is to be done about it.
    ///
    /// A `now` behind the last one counts as the last one.
    pub fn step(
        &mut self,
        now: time::NodeTime,
        event: event::NodeEvent,
    ) -> Vec<effect::NodeEffect> {
        self.now = self.now.max(now);
        self.dispatch(event);
        self.deliver_loopback();
        self.flush_quota();
        self.leave_if_done();
        self.tell_readiness();
        std::mem::take(&mut self.effects)
    }

    /// Puts rules in force where their revision is higher; tells whether it did.
    pub fn adopt_rules(
        &mut self,
        revision: ident::RuleRevision,
        document: document::RuleDocument,
    ) -> bool {
        let adopted = self.book.adopt(revision, document);
        self.accounts_changed();
        adopted
    }

    /// Learns a node from elsewhere than membership, such as a fixed list.
    pub fn learn_peer(
        &mut self,
        now: time::NodeTime,
        node: ident::NodeId,
        record: directory::PeerRecord,
    ) {
        self.now = self.now.max(now);
        let peer = keys::KeyPeer {
            address: record.address,
            zone: record.zone.clone(),
            leaving: record.leaving,
            suspected: false,
            broken: false,
        };
        self.key_peer(node, peer);
        self.directory.upsert(now, node, record);
    }

    /// When the reducer wants a [`event::NodeEvent::Woke`] at the latest.
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        let due = self.timers.next().into_iter().chain(self.fleet.next_wake());
        let due = due.chain(self.keys.next_wake());
        due.chain(self.quota.next_wake()).min()
    }

    /// Tells when callers should begin or stop to send this node work.
    fn tell_readiness(&mut self) {
        let ready = self.phase == stopping::NodePhase::Serving && self.fleet.is_ready();
        if ready != self.ready {
            self.ready = ready;
            self.effects.push(effect::NodeEffect::Readiness(ready));
        }
    }

    /// Takes in the frames that this node sent to itself.
    pub(crate) fn deliver_loopback(&mut self) {
        while let Some(frame) = self.loopback.pop_front() {
            self.frame_arrived(self.config.node, frame);
        }
    }

    fn dispatch(&mut self, event: event::NodeEvent) {
        match event {
            event::NodeEvent::CallArrived {
                handle,
                request,
                hints,
            } => self.call_arrived(handle, *request, &hints),
            event::NodeEvent::CallerGone { handle } => self.caller_gone(handle),
            event::NodeEvent::FrameArrived { peer, frame } => self.frame_arrived(peer, frame),
            event::NodeEvent::ConnectionLost { peer } => self.connection_lost(peer),
            event::NodeEvent::PeerUnreachable { peer, unsent } => {
                self.peer_unreachable(peer, unsent);
            }
            event::NodeEvent::DatagramArrived { from, message } => {
                self.datagram_arrived(from, &message);
            }
            event::NodeEvent::RunEnded { run, outcome } => self.run_ended(run, outcome),
            event::NodeEvent::TargetAnnounced(announcement) => {
                self.target_announced(announcement);
            }
            event::NodeEvent::TargetLeaving => self.target_leaving(),
            event::NodeEvent::TargetWithdrawn { incarnation, gone } => {
                self.target_withdrawn(&incarnation, gone);
            }
            event::NodeEvent::OperatorAsked { handle, request } => {
                self.operator_asked(handle, request);
            }
            event::NodeEvent::StoreAnswered { id, outcome } => self.store_answered(id, outcome),
            event::NodeEvent::Woke => {
                self.fire_timers();
                self.wake_fleet();
                self.wake_keys();
                self.wake_quota();
            }
            event::NodeEvent::StopRequested => self.stop_requested(),
        }
    }

    fn frame_arrived(&mut self, peer: ident::NodeId, frame: frame::PeerFrame) {
        self.key_peer_heard(peer);
        match frame {
            frame::PeerFrame::Call(call) => self.peer_called(peer, *call),
            frame::PeerFrame::Answer(answer) => self.peer_answered(peer, *answer),
            frame::PeerFrame::Cancel { call, attempt } => {
                self.attempt_cancelled(outcome::AttemptId { call, attempt });
            }
            frame::PeerFrame::Outcome(message) => self.fate_arrived(peer, *message),
            frame::PeerFrame::Suspicion(notice) => {
                self.overload.poison.apply_notice(self.now, &notice);
            }
            frame::PeerFrame::Key(frame) => self.key_arrived(peer, *frame),
            frame::PeerFrame::Sync(message) => self.sync_arrived(peer, &message),
            // The connection itself answers these.
            frame::PeerFrame::Ping | frame::PeerFrame::Pong => {}
        }
    }

    fn fire_timers(&mut self) {
        while let Some(kind) = self.timers.pop(self.now) {
            match kind {
                timers::TimerKind::CallDeadline(sequence) => self.call_expired(sequence),
                timers::TimerKind::CallRetry(sequence) => self.call_resumes(sequence),
                timers::TimerKind::CallFate(sequence) => self.fate_overdue(sequence),
                timers::TimerKind::RunDeadline(run) => self.run_expired(event::RunId(run)),
                timers::TimerKind::Admission => self.admission_woke(),
                timers::TimerKind::TargetLease => self.target_lapsed(),
                timers::TimerKind::Leave => {}
                timers::TimerKind::StopRuns => self.stop_runs(),
                timers::TimerKind::StopNotice => self.send_notices(),
                timers::TimerKind::StopLimit => self.stop_limit_reached(),
            }
        }
    }

    /// Sends a frame, or takes it in at once where the receiver is this node.
    pub(crate) fn send_frame(
        &mut self,
        peer: ident::NodeId,
        address: std::net::SocketAddr,
        frame: frame::PeerFrame,
    ) {
        if peer == self.config.node {
            self.loopback.push_back(frame);
            return;
        }
        self.effects.push(effect::NodeEffect::SendFrame {
            peer,
            address,
            frame,
        });
    }

    pub(crate) fn report(&mut self, change: effect::StateChange) {
        self.effects.push(effect::NodeEffect::Report(change));
    }

    /// Writes a line about one request, as far as the budget of such lines goes.
    pub(crate) fn tell(&mut self, change: effect::StateChange) {
        match self.lines.ask(self.now) {
            notes::NoteGrant::Write { held_back: 0 } => self.report(change),
            notes::NoteGrant::Write { held_back } => {
                self.report(effect::StateChange::HeldBack { count: held_back });
                self.report(change);
            }
            notes::NoteGrant::Hold => {}
        }
    }

    pub(crate) fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
