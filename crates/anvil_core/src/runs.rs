//! The runs of the local target: calls that this node has accepted for it.

use anvil_overload::{allowance, kind};
use anvil_types::{context, ident, name, rate, sorted, time, treatment};
use anvil_wire::{call, outcome};

use crate::{event, reports, request_log, waits};

/// The local target, as announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalTarget {
    /// Its latest announcement.
    pub announcement: event::TargetAnnouncement,
    /// When the announcement was received.
    pub announced_at: time::NodeTime,
    /// When the announcement expires.
    pub until: time::NodeTime,
    /// Whether it is leaving, or its lease has expired.
    pub leaving: bool,
    /// Whether its incarnation has said that it is leaving, so that it never returns.
    pub retired: bool,
}

impl LocalTarget {
    /// The report that a run relies on which is handed to the target now.
    pub(crate) fn report(&self, now: time::NodeTime) -> Option<reports::ReportReference> {
        let incarnation = self.announcement.incarnation.as_ref()?;
        Some(reports::ReportReference {
            incarnation: incarnation.id.clone(),
            sequence: incarnation.sequence,
            age_ms: request_log::millis(now.since(self.announced_at)),
        })
    }
}

/// Whether a run has been handed to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStage {
    /// It waits for a slot.
    Queued,
    /// The target is working on it.
    Running,
}

/// One call accepted for the local target.
#[derive(Clone, Debug)]
pub struct TargetRun {
    /// The node that sent the call.
    pub peer: ident::NodeId,
    /// Where that node accepts the answer.
    pub reply_to: std::net::SocketAddr,
    /// The id of the call.
    pub call: ident::CallId,
    /// The number of the attempt.
    pub attempt: u16,
    /// The client account of the root request.
    pub account: Option<name::AccountName>,
    /// The id that the caller gave the request.
    pub label: Option<ident::RequestLabel>,
    /// The kind of the request.
    pub kind: kind::CallKind,
    /// The requested service.
    pub service: name::ServiceName,
    /// The request, until it is handed to the target.
    pub request: Option<call::CallRequest>,
    /// The context, as received.
    pub context: context::CallContext,
    /// The treatment by the entry node's rules.
    pub treatment: treatment::RuleTreatment,
    /// When the caller stops waiting.
    pub deadline: time::NodeTime,
    /// The rule of the entry node that applied.
    pub rule: treatment::RuleReference,
    /// The retry allowance that came with the call; the target's own calls draw on it.
    pub allowance: allowance::ChainAllowance,
    /// When it was accepted.
    pub accepted: time::NodeTime,
    /// When it was handed to the target.
    pub started: Option<time::NodeTime>,
    /// The incarnation of the target that it was handed to, if the target announces incarnations.
    pub incarnation: Option<ident::IncarnationDigest>,
    /// The status report on which the node relied then.
    pub report: Option<reports::ReportReference>,
    /// The rate that the entry node knew from earlier answers of the target.
    pub entry_rate: Option<rate::RequestRate>,
    /// The rate that the target named when the run was handed to it.
    pub named_rate: Option<rate::RequestRate>,
    /// Whether its deadline passed while it was running.
    pub expired: bool,
    /// Whether the incarnation of the target that it was handed to has ended.
    pub target_lost: bool,
    /// The target's own calls on its behalf.
    pub waits: waits::CallWaits,
    /// Whether it is queued or running.
    pub stage: RunStage,
    /// Whether its calls were charged to the retry budgets of their services in advance.
    pub calls_paid: bool,
    /// The exchange with the target, once the run has ended.
    pub exchange: Option<event::ExchangeTrace>,
    /// Notices about this run that could not be sent to its entry node since that node last
    /// queried it.
    pub failed_notices: u8,
}

impl TargetRun {
    /// The attempt that the run belongs to.
    pub fn attempt_id(&self) -> outcome::AttemptId {
        outcome::AttemptId {
            call: self.call,
            attempt: self.attempt,
        }
    }

    /// The log record of a step of its attempt, if the request must not run twice.
    pub fn attempt_record(
        &self,
        step: request_log::AttemptStep,
    ) -> Option<request_log::AttemptRecord> {
        (!self.context.idempotent).then(|| request_log::AttemptRecord {
            request: self.label.clone(),
            root: self.context.request,
            call: self.call,
            attempt: self.attempt,
            step,
        })
    }

    /// The log record of its start, if it must not run without a grant of its idempotency key.
    pub fn keyed_record(&self, run: event::RunId) -> Option<request_log::KeyedRecord> {
        let key = self.context.key.filter(|_| !self.treatment.idempotent)?;
        Some(request_log::KeyedRecord {
            root: self.context.request,
            key,
            call: self.call,
            step: request_log::KeyedStep::Started {
                attempt: self.attempt,
                run: run.0,
            },
        })
    }
}

/// All queued and running calls of the local target.
#[derive(Clone, Debug, Default)]
pub struct RunTable {
    runs: sorted::SortedTable<u64, Box<TargetRun>>,
    running: u32,
    last_id: u64,
}

impl RunTable {
    /// Accepts a call; it is queued until [`RunTable::start`].
    pub fn accept(&mut self, run: Box<TargetRun>) -> event::RunId {
        self.last_id += 1;
        self.runs.insert(self.last_id, run);
        event::RunId(self.last_id)
    }

    /// Marks a queued run as handed to the target.
    pub fn start(&mut self, run: event::RunId, now: time::NodeTime) -> Option<&mut TargetRun> {
        let started = self.runs.get_mut(run.0)?;
        started.stage = RunStage::Running;
        started.started = Some(now);
        self.running += 1;
        Some(started)
    }

    /// Marks all running runs as lost together with their target, and returns them.
    pub fn mark_running_lost(&mut self) -> Vec<event::RunId> {
        let lost = self.runs.keys_where(|run| run.stage == RunStage::Running);
        for id in &lost {
            if let Some(run) = self.runs.get_mut(*id) {
                run.target_lost = true;
            }
        }
        lost.into_iter().map(event::RunId).collect()
    }

    /// The queued runs of the request with this fingerprint.
    pub fn queued_with(&self, fingerprint: ident::RequestFingerprint) -> Vec<event::RunId> {
        let queued = self.runs.keys_where(|run| {
            run.stage == RunStage::Queued && run.context.fingerprint == fingerprint
        });
        queued.into_iter().map(event::RunId).collect()
    }

    /// Removes a queued or running run.
    pub fn end(&mut self, run: event::RunId) -> Option<Box<TargetRun>> {
        let ended = self.runs.remove(run.0)?;
        if ended.stage == RunStage::Running {
            self.running -= 1;
        }
        Some(ended)
    }

    /// A run.
    pub fn get(&self, run: event::RunId) -> Option<&TargetRun> {
        self.runs.get(run.0).map(|run| &**run)
    }

    /// Mutable access to a run.
    pub fn get_mut(&mut self, run: event::RunId) -> Option<&mut TargetRun> {
        self.runs.get_mut(run.0).map(|run| &mut **run)
    }

    /// The run of one attempt.
    pub fn find_by_attempt(&self, id: outcome::AttemptId) -> Option<event::RunId> {
        let mut entries = self.runs.iter();
        let found = entries.find(|(_, run)| run.attempt_id() == id);
        found.map(|(id, _)| event::RunId(*id))
    }

    /// The newest run of a request that its caller gave the id `label`.
    pub fn find_by_label(&self, label: &ident::RequestLabel) -> Option<event::RunId> {
        let mut entries = self.runs.iter().rev();
        let found = entries.find(|(_, run)| run.label.as_ref() == Some(label));
        found.map(|(id, _)| event::RunId(*id))
    }

    /// All runs, oldest first.
    pub fn iter(&self) -> std::slice::Iter<'_, (u64, Box<TargetRun>)> {
        self.runs.iter()
    }

    /// Number of running runs.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of runs that wait for a slot.
    pub fn queued(&self) -> usize {
        self.runs.len() - self.running as usize
    }

    /// Whether no run is queued or running.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
