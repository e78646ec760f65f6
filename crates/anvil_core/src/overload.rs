//! The overload state of one node, composed of the modules of `anvil_overload`.

use std::collections::VecDeque;

use anvil_overload::{
    admission, appointments, dependency, kind, pace, policy, quarantine, rank, rate, ratio,
    refusal, refusals, resend, run_calls,
};
use anvil_types::{context, ident, name, time, treatment, verdict};
use anvil_wire::call;
use serde::Serialize;

use crate::reducer;

/// The state behind a node's decisions under overload, apart from the routes.
#[derive(Debug, Serialize)]
pub(crate) struct OverloadState {
    pub(crate) policy: policy::OverloadPolicy,
    /// The queue of the local target, once that has announced itself.
    pub(crate) admission: Option<admission::AdmissionQueue>,
    /// The rates and paces of the target's other incarnations. An announcement that arrives late, or a lease
    /// that lapses, replaces the queue of an incarnation that returns.
    #[serde(skip)]
    pub(crate) former_rates:
        VecDeque<(ident::IncarnationDigest, rate::RateLimit, pace::TargetPace)>,
    /// The time of the earliest pending timer for the queue.
    #[serde(skip)]
    pub(crate) wake: Option<time::NodeTime>,
    /// Whether a run broke since the target's last announcement.
    pub(crate) crashed: bool,
    pub(crate) dependencies: dependency::DependencyTable,
    #[serde(skip)]
    pub(crate) resends: resend::ResendLedger,
    pub(crate) budgets: ratio::ServiceBudgets,
    /// The burst of retries per service that all nodes share; none if each node has its own.
    pub(crate) fleet_burst: Option<u32>,
    /// Refusals by targets with free slots, for each service that this node calls.
    pub(crate) refusal_shares: refusals::RefusalShares,
    /// Usual calls of the runs of the local target.
    pub(crate) run_calls: run_calls::RunCalls,
    pub(crate) poison: quarantine::PoisonList,
    /// When the quarantined requests are sent to another node again.
    #[serde(skip)]
    pub(crate) quarantine_at: Option<time::NodeTime>,
    pub(crate) refusals: refusal::RefusalLog,
    /// The dump shows their number only.
    #[serde(skip)]
    pub(crate) appointments: appointments::AppointmentBook,
}

impl OverloadState {
    pub(crate) fn new(node: ident::NodeId, policy: policy::OverloadPolicy) -> Self {
        Self {
            policy,
            admission: None,
            former_rates: VecDeque::new(),
            wake: None,
            crashed: false,
            dependencies: dependency::DependencyTable::default(),
            resends: resend::ResendLedger::default(),
            budgets: ratio::ServiceBudgets::default(),
            fleet_burst: None,
            refusal_shares: refusals::RefusalShares::default(),
            run_calls: run_calls::RunCalls::default(),
            poison: quarantine::PoisonList::new(node, policy),
            quarantine_at: None,
            refusals: refusal::RefusalLog::default(),
            appointments: appointments::AppointmentBook::default(),
        }
    }
}

/// Maximum number of earlier incarnations of the target whose rate is remembered.
const MAX_FORMER_RATES: usize = 8;

/// Why a request was refused, by which limit and at which node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusalCause {
    pub(crate) reason: verdict::RefusalReason,
    pub(crate) limit: refusal::RefusalLimit,
    pub(crate) by: ident::NodeId,
}

impl OverloadState {
    /// Remembers the rate and the pace of an incarnation whose queue is replaced.
    pub(crate) fn keep_rate(&mut self, incarnation: ident::IncarnationDigest) {
        let Some(admission) = self.admission.as_ref() else {
            return;
        };
        if self.former_rates.len() == MAX_FORMER_RATES {
            self.former_rates.pop_front();
        }
        let rate = admission.rate().clone();
        let pace = admission.pace().clone();
        self.former_rates.push_back((incarnation, rate, pace));
    }

    /// Gives the queue of an incarnation that has returned the rate and the pace that it had.
    pub(crate) fn restore_rate(&mut self, incarnation: ident::IncarnationDigest) {
        let is_same = |known: &(ident::IncarnationDigest, _, _)| known.0 == incarnation;
        let position = self.former_rates.iter().rposition(is_same);
        let former = position.and_then(|position| self.former_rates.remove(position));
        if let Some((admission, (_, rate, pace))) = self.admission.as_mut().zip(former) {
            *admission.rate_mut() = rate;
            *admission.pace_mut() = pace;
        }
    }
}

impl reducer::NodeReducer {
    /// The retry budget for `service`.
    pub(crate) fn retry_budget(&mut self, service: &name::ServiceName) -> &mut ratio::RetryBudget {
        let claims = self.overload.policy.refusal_retries;
        let limits = match self.overload.fleet_burst {
            Some(burst) => {
                let nodes = self.fleet.table().live();
                let limits = ratio::RatioLimits::shared(burst, nodes);
                match claims {
                    true => limits.for_claims(burst, nodes),
                    false => limits,
                }
            }
            None => ratio::RatioLimits::NODE,
        };
        self.overload
            .budgets
            .get_or_insert(self.now, service, limits)
    }

    /// Charges the calls that a repeated run of `kind` usually makes to the retry budgets of their
    /// services; returns false, without a charge, if one of these does not cover them.
    ///
    /// The calls of a repeated run are repeats at the services that it calls. Once the run has
    /// started they can't be held back.
    pub(crate) fn pay_calls_of_repeat(&mut self, kind: kind::CallKind) -> bool {
        let called = self.usual_calls(kind);
        let now = self.now;
        let covered = called
            .iter()
            .all(|(service, count)| self.retry_budget(service).covers(now, *count));
        if covered {
            for (service, count) in &called {
                self.retry_budget(service).charge_inherited(*count);
            }
        }
        covered
    }

    /// Gives back what [`Self::pay_calls_of_repeat`] charged for a run that did not run.
    pub(crate) fn refund_calls_of_repeat(&mut self, kind: kind::CallKind) {
        for (service, count) in self.usual_calls(kind) {
            self.retry_budget(&service).give_back_inherited(count);
        }
    }

    fn usual_calls(&self, kind: kind::CallKind) -> Vec<(name::ServiceName, u16)> {
        let called = self.overload.run_calls.called(kind);
        called
            .map(|(service, count)| (service.clone(), count))
            .collect()
    }

    /// The highest cut line among the calls that the local target makes for most runs of `kind`.
    pub(crate) fn downstream_line(&self, kind: kind::CallKind) -> Option<call::CutLine> {
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
        let deep = self.downstream_line(kind);
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
        load.notice = self.target_notice();
        load
    }

    /// Updates the routing table with the exact load of the local target before a call to its
    /// service is placed.
    ///
    /// The reports that come with answers do not contain requests of other nodes that have arrived
    /// since, and before its first answer a target would count as idle. Calls would wait in its
    /// queue and be refused there while other targets have free slots.
    pub(crate) fn update_own_load(&mut self, sequence: u64) {
        let (Some(open), Some(target)) = (self.calls.get(sequence), &self.target) else {
            return;
        };
        let service = &target.announcement.service;
        if !self.overload.policy.expected_completion || open.request.service != *service {
            return;
        }
        let notice = self.target_notice();
        let Some(admission) = &mut self.overload.admission else {
            return;
        };
        let mut load = admission.load(self.now);
        load.announced = self.fleet.incarnation();
        load.notice = notice;
        let node = self.config.node;
        self.directory.update_load(self.now, service, node, &load);
    }

    /// Records why a request was refused, for operators.
    pub(crate) fn record_refusal(
        &mut self,
        service: &name::ServiceName,
        context: &context::CallContext,
        rule: treatment::RuleReference,
        cause: RefusalCause,
    ) {
        let is_quarantined = cause.reason == verdict::RefusalReason::Quarantined;
        self.counters.calls_quarantined += u64::from(is_quarantined);
        self.overload.refusals.push(refusal::RefusalRecord {
            at: self.now,
            request: context.request,
            class: context.class,
            lane: context.lane,
            service: service.clone(),
            reason: cause.reason,
            limit: cause.limit,
            by: cause.by,
            rule,
        });
    }
}

/// The settings of a rule for the quarantine.
pub(crate) fn crash_rule(treatment: &treatment::RuleTreatment) -> quarantine::CrashRule {
    quarantine::CrashRule {
        limit: treatment.crash_limit,
        quarantine: treatment.quarantine,
    }
}
