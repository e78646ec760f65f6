//! The state modules of `anvil_overload` that one node holds.

use anvil_overload::{
    admission, dependency, kind, policy, quarantine, rank, ratio, refusal, resend,
};
use anvil_types::{context, ident, name, time, treatment, verdict};
use anvil_wire::call;
use serde::Serialize;

use crate::reducer;

/// What a node knows for its decisions under overload, apart from routes.
#[derive(Debug, Serialize)]
pub(crate) struct OverloadState {
    pub(crate) policy: policy::OverloadPolicy,
    /// The queue of the local target, once it announced itself.
    pub(crate) admission: Option<admission::AdmissionQueue>,
    /// When the reducer last asked to be woken for the queue.
    #[serde(skip)]
    pub(crate) wake: Option<time::NodeTime>,
    /// Whether a run broke since the last announcement.
    pub(crate) crashed: bool,
    pub(crate) dependencies: dependency::DependencyTable,
    #[serde(skip)]
    pub(crate) resends: resend::ResendLedger,
    pub(crate) budgets: ratio::ServiceBudgets,
    /// Retries in a burst for one service that all nodes share; none where each node has its own.
    pub(crate) fleet_burst: Option<u32>,
    pub(crate) poison: quarantine::PoisonList,
    pub(crate) refusals: refusal::RefusalLog,
}

impl OverloadState {
    pub(crate) fn new(node: ident::NodeId, policy: policy::OverloadPolicy) -> Self {
        Self {
            policy,
            admission: None,
            wake: None,
            crashed: false,
            dependencies: dependency::DependencyTable::default(),
            resends: resend::ResendLedger::default(),
            budgets: ratio::ServiceBudgets::default(),
            fleet_burst: None,
            poison: quarantine::PoisonList::new(node, policy),
            refusals: refusal::RefusalLog::default(),
        }
    }
}

/// What refused a request and whose limit it was.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusalCause {
    pub(crate) reason: verdict::RefusalReason,
    pub(crate) limit: refusal::RefusalLimit,
    pub(crate) by: ident::NodeId,
}

impl reducer::NodeReducer {
    /// The budget of retries for `service`.
    pub(crate) fn retry_budget(&mut self, service: &name::ServiceName) -> &mut ratio::RetryBudget {
        let limits = match self.overload.fleet_burst {
            Some(burst) => ratio::RatioLimits::shared(burst, self.fleet.table().live()),
            None => ratio::RatioLimits::NODE,
        };
        self.overload
            .budgets
            .get_or_insert(self.now, service, limits)
    }

    /// The cut line of the calls that the local target makes for most runs of `kind`.
    pub(crate) fn deep_line(&self, kind: kind::CallKind) -> Option<call::CutLine> {
        if !self.overload.policy.deep_refusal {
            return None;
        }
        let needed = self.overload.dependencies.needed(kind);
        let lines =
            needed.filter_map(|call| self.directory.line(self.now, &call.service, call.kind));
        lines.max_by_key(|line| rank::line_level(Some(line)))
    }

    pub(crate) fn load_report(&mut self, kind: kind::CallKind) -> call::LoadReport {
        let now = self.now;
        let leaving = self.refuses_runs();
        let deep = self.deep_line(kind);
        let announced = self.fleet.incarnation();
        let Some(admission) = &mut self.overload.admission else {
            return call::LoadReport {
                leaving: true,
                announced,
                ..call::LoadReport::default()
            };
        };
        let mut load = admission.load(now);
        load.leaving |= leaving;
        load.deep = deep;
        load.announced = announced;
        load
    }

    /// Keeps why a request was refused, for the operators.
    pub(crate) fn note_refusal(
        &mut self,
        service: &name::ServiceName,
        context: &context::CallContext,
        mark: treatment::RuleReference,
        cause: RefusalCause,
    ) {
        self.overload.refusals.push(refusal::RefusalRecord {
            at: self.now,
            request: context.request,
            class: context.class,
            lane: context.lane,
            service: service.clone(),
            reason: cause.reason,
            limit: cause.limit,
            by: cause.by,
            mark,
        });
    }
}

/// What the quarantine needs to know of a rule.
pub(crate) fn crash_rule(treatment: &treatment::RuleTreatment) -> quarantine::CrashRule {
    quarantine::CrashRule {
        limit: treatment.crash_limit,
        quarantine: treatment.quarantine,
    }
}
