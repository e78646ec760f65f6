//! The state of a node and the function that processes its events.

use std::collections::VecDeque;

use anvil_membership::fleet;
use anvil_overload::policy;
use anvil_quota::ledger;
use anvil_rules::document;
use anvil_types::{ident, name, store, time};
use anvil_wire::{frame, outcome};
use rand_core::{Rng, SeedableRng};

use crate::{
    applying, calls, config, confirming, counters, directory, effect, event, fair_lanes,
    incarnations, keys, memory, notices, overload, quarantine_store, request_log, rulebook, runs,
    shutdown, stopping, timers,
};

/// The complete state of a node and its transition function.
///
/// It is deterministic: the same seed and the same events at the same times give the same effects,
/// so a failure in production can be replayed as a test.
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
    /// The previous incarnation of the target, in case the announcement of the current one was
    /// late.
    pub(crate) previous_target: Option<runs::LocalTarget>,
    pub(crate) overload: overload::OverloadState,
    pub(crate) timers: timers::TimerQueue,
    pub(crate) counters: counters::NodeCounters,
    pub(crate) log_budget: request_log::LogBudget,
    pub(crate) attempt_log: request_log::AttemptLogBudget,
    pub(crate) phase: stopping::NodePhase,
    pub(crate) stop: stopping::StopPlan,
    /// The recent callers, and the handshake with them before this node exits.
    pub(crate) shutdown: shutdown::ShutdownHandshake,
    pub(crate) incarnations: incarnations::IncarnationHistory,
    /// Announced targets that are not used yet.
    pub(crate) confirmation: confirming::TargetConfirmation,
    /// What answers told about the targets beside other nodes.
    pub(crate) notices: notices::NoticeTable,
    pub(crate) quarantine_store: quarantine_store::QuarantineStore,
    /// The service that the instance's target should offer, if the settings name one.
    pub(crate) expected_service: Option<name::ServiceName>,
    pub(crate) fleet: fleet::FleetState,
    pub(crate) keys: keys::KeyState,
    pub(crate) quota: ledger::QuotaLedger,
    pub(crate) refusal_table: fair_lanes::RefusalTable,
    pub(crate) proposed: Option<applying::OpenApply>,
    /// The readiness that was last reported.
    ready: bool,
    pub(crate) effects: Vec<effect::NodeEffect>,
    loopback: VecDeque<frame::PeerFrame>,
}

/// The quota ledger of a node, which is the home of all accounts until it knows other nodes.
fn quota_ledger(
    config: &config::NodeConfig,
    policy: policy::OverloadPolicy,
) -> ledger::QuotaLedger {
    let mode = match policy.tokens_ahead {
        true => ledger::TokenMode::Ahead,
        false => ledger::TokenMode::PerRequest,
    };
    let mut quota = ledger::QuotaLedger::new(config.node, mode);
    if policy.fair_lanes {
        quota = quota.with_stated_demand();
    }
    quota.member_up(time::NodeTime::START, config.node, config.gossip_address);
    quota
}

impl NodeReducer {
    /// A node that knows no other nodes; `seed` initializes all of its random choices.
    pub fn new(config: config::NodeConfig, seed: u64) -> Self {
        Self::with_policy(config, seed, policy::OverloadPolicy::FULL)
    }

    /// The same with some safeguards disabled, for experiments.
    pub fn with_policy(
        config: config::NodeConfig,
        seed: u64,
        policy: policy::OverloadPolicy,
    ) -> Self {
        Self {
            fleet: crate::fleet::membership(&config, seed),
            keys: keys::KeyState::new(&config),
            quota: quota_ledger(&config, policy),
            refusal_table: fair_lanes::RefusalTable::default(),
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
            expected_service: None,
            target: None,
            previous_target: None,
            timers: timers::TimerQueue::default(),
            counters: counters::NodeCounters::default(),
            log_budget: request_log::LogBudget::default(),
            attempt_log: request_log::AttemptLogBudget::default(),
            phase: stopping::NodePhase::Serving,
            stop: stopping::StopPlan::default(),
            shutdown: shutdown::ShutdownHandshake::default(),
            incarnations: incarnations::IncarnationHistory::default(),
            confirmation: confirming::TargetConfirmation::default(),
            notices: notices::NoticeTable::default(),
            quarantine_store: quarantine_store::QuarantineStore::default(),
            ready: false,
            effects: Vec::new(),
            loopback: VecDeque::new(),
        }
    }

    /// Makes the node store rules and contacts in the platform's store, and guard idempotency keys
    /// together with the other nodes that use the store.
    #[must_use]
    pub fn with_store(mut self) -> Self {
        self.fleet.use_store(self.now);
        self.keys.guard(self.now);
        self.store_quarantine();
        self
    }

    /// Makes the node store contacts in the platform's store and read its rules from one key there,
    /// which is written by operators.
    #[must_use]
    pub fn with_rule_document(mut self, key: store::StoreKey) -> Self {
        self.fleet.use_document(self.now, key);
        self.store_quarantine();
        self
    }

    /// Sets how long a stopping node serves callers, and when it gives up requests in progress.
    #[must_use]
    pub fn with_stop(mut self, plan: stopping::StopPlan) -> Self {
        self.stop = plan;
        self
    }

    /// Sets the service that the instance's target should offer.
    #[must_use]
    pub fn with_expected_service(mut self, service: name::ServiceName) -> Self {
        self.expected_service = Some(service);
        self
    }

    /// Bounds the retries per service by a burst that all nodes of the fleet share.
    #[must_use]
    pub fn with_fleet_burst(mut self, burst: u32) -> Self {
        self.overload.fleet_burst = Some(burst);
        self
    }

    /// Processes one event and returns the resulting effects.
    ///
    /// Time never goes back: a `now` before that of the previous event is replaced by it.
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
        self.report_readiness();
        std::mem::take(&mut self.effects)
    }

    /// Puts rules in force if their revision is higher; returns whether it did.
    pub fn adopt_rules(
        &mut self,
        revision: ident::RuleRevision,
        document: document::RuleDocument,
    ) -> bool {
        let adopted = self.book.adopt(revision, document);
        self.accounts_changed();
        self.ask_unconfirmed();
        adopted
    }

    /// Adds a node that is known from another source than membership, such as a fixed list.
    pub fn add_peer(
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
            connection_broken: false,
        };
        self.upsert_key_peer(node, peer);
        self.directory.upsert(now, node, record);
    }

    /// The time at which the reducer needs an [`event::NodeEvent::TimerFired`].
    pub fn next_wake(&self) -> Option<time::NodeTime> {
        let due = self.timers.next().into_iter().chain(self.fleet.next_wake());
        let due = due.chain(self.keys.next_wake());
        due.chain(self.quota.next_wake()).min()
    }

    /// Reports when the readiness for callers' requests changes.
    fn report_readiness(&mut self) {
        let ready = self.phase == stopping::NodePhase::Serving && self.fleet.is_ready();
        if ready != self.ready {
            self.ready = ready;
            self.effects.push(effect::NodeEffect::Readiness(ready));
        }
    }

    /// Processes the frames that this node sent to itself.
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
            event::NodeEvent::CallerDisconnected { handle } => self.caller_gone(handle),
            event::NodeEvent::FrameArrived { peer, frame } => self.frame_arrived(peer, frame),
            event::NodeEvent::BodyRefused { peer, frame } => self.body_refused(peer, frame),
            event::NodeEvent::ConnectionLost { peer } => self.connection_lost(peer),
            event::NodeEvent::PeerUnreachable { peer, unsent } => {
                self.peer_unreachable(peer, unsent);
            }
            event::NodeEvent::DatagramArrived { from, message } => {
                self.datagram_arrived(from, &message);
            }
            event::NodeEvent::TargetProbed { address, accepted } => {
                self.target_probed(address, accepted);
            }
            event::NodeEvent::TargetChecked {
                digest,
                outcome,
                statement,
            } => {
                self.target_checked(digest, &outcome);
                if let Some(statement) = statement {
                    self.check_stated(digest, &statement);
                }
            }
            event::NodeEvent::RunEnded {
                run,
                outcome,
                statement,
                exchange,
            } => {
                if let Some(statement) = statement {
                    self.target_stated(run, &statement);
                }
                if let Some(found) = self.runs.get_mut(run) {
                    found.exchange = exchange;
                }
                self.run_ended(run, outcome);
            }
            event::NodeEvent::TargetAnnounced(announcement) => {
                self.target_announced(announcement);
            }
            event::NodeEvent::TargetLeaving => self.target_leaving(),
            event::NodeEvent::TargetWithdrawn {
                incarnation,
                terminated,
            } => {
                self.target_withdrawn(&incarnation, terminated);
            }
            event::NodeEvent::OperatorRequestArrived { handle, request } => {
                self.operator_request_arrived(handle, request);
            }
            event::NodeEvent::StoreAnswered { id, outcome } => self.store_answered(id, outcome),
            event::NodeEvent::TimerFired => {
                self.fire_timers();
                self.wake_fleet();
                self.wake_keys();
                self.wake_quota();
            }
            event::NodeEvent::StopRequested => self.stop_requested(),
        }
    }

    fn frame_arrived(&mut self, peer: ident::NodeId, frame: frame::PeerFrame) {
        self.key_peer_responded(peer);
        match frame {
            frame::PeerFrame::Call(call) => self.peer_called(peer, *call),
            frame::PeerFrame::Answer(answer) => self.peer_answered(peer, *answer),
            frame::PeerFrame::Cancel { call, attempt } => {
                self.attempt_cancelled(outcome::AttemptId { call, attempt });
            }
            frame::PeerFrame::Outcome(message) => self.outcome_message_arrived(peer, *message),
            frame::PeerFrame::Suspicion(notice) => self.crash_heard(&notice),
            frame::PeerFrame::Key(frame) => self.key_arrived(peer, *frame),
            frame::PeerFrame::Sync(message) => self.sync_arrived(peer, &message),
            // The connection itself handles these.
            frame::PeerFrame::Ping | frame::PeerFrame::Pong | frame::PeerFrame::Body(_) => {}
        }
    }

    /// Handles a frame without the body that no memory was left for.
    fn body_refused(&mut self, peer: ident::NodeId, frame: frame::PeerFrame) {
        self.key_peer_responded(peer);
        match frame {
            frame::PeerFrame::Call(call) => self.peer_call_refused(peer, &call),
            // The request has run, and its caller is told that the answer was cut off.
            frame::PeerFrame::Answer(mut answer) => {
                answer.answer = None;
                self.peer_answered(peer, *answer);
            }
            _ => {}
        }
    }

    fn fire_timers(&mut self) {
        while let Some(kind) = self.timers.pop(self.now) {
            match kind {
                timers::TimerKind::CallDeadline(sequence) => self.call_expired(sequence),
                timers::TimerKind::CallRetry(sequence) => self.call_resumes(sequence),
                timers::TimerKind::OutcomeQuery(sequence) => self.outcome_query_expired(sequence),
                timers::TimerKind::RunDeadline(run) => self.run_expired(event::RunId(run)),
                timers::TimerKind::Admission => self.admission_timer_fired(),
                timers::TimerKind::TargetLease => self.target_lease_expired(),
                timers::TimerKind::Leave => {}
                timers::TimerKind::StopRuns => self.stop_runs(),
                timers::TimerKind::StopNotice => self.send_notices(),
                timers::TimerKind::Quarantine => self.repeat_quarantine(),
                timers::TimerKind::QuarantineStore => self.advance_quarantine_store(),
                timers::TimerKind::StopLimit => self.stop_limit_reached(),
            }
        }
    }

    /// Sends a frame, or queues it for local delivery if the receiver is this node.
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

    /// Logs a line about one request if the budget for such lines allows it.
    pub(crate) fn log_request(&mut self, change: effect::StateChange) {
        let grant = self.log_budget.take(self.now);
        self.report_granted(grant, change);
    }

    /// Logs a step of an attempt if the budget for such lines allows it.
    pub(crate) fn log_attempt(&mut self, record: request_log::AttemptRecord) {
        let grant = self.attempt_log.take(self.now, &record);
        self.report_granted(grant, effect::StateChange::Attempt(Box::new(record)));
    }

    fn report_granted(&mut self, grant: request_log::LogGrant, change: effect::StateChange) {
        match grant {
            request_log::LogGrant::Write { suppressed: 0 } => self.report(change),
            request_log::LogGrant::Write { suppressed } => {
                self.report(effect::StateChange::LinesSuppressed { count: suppressed });
                self.report(change);
            }
            request_log::LogGrant::Suppress => {}
        }
    }

    pub(crate) fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
