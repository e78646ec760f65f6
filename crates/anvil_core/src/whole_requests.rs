//! Tells runs that failed for lack of capacity further down from other failures, and maintains the
//! lines that follow; see `docs/design/whole-requests.md`.

use anvil_overload::{completion, kind, rank};
use anvil_types::verdict;
use anvil_wire::call;

use crate::{calls, effect, reducer, retrying, runs};

/// Lowest HTTP status of an answer that is not a success.
const CLIENT_ERROR: u16 = 400;

/// HTTP status by which targets pass on that a service that they need refused their call.
const TOO_MANY_REQUESTS: u16 = 429;

impl reducer::NodeReducer {
    /// The line of the local target for runs of `kind`, derived from how earlier ones ended.
    pub(crate) fn completion_line(&self, kind: kind::CallKind) -> Option<call::CutLine> {
        match self.overload.policy.completion_lines {
            true => self.overload.completion.line(self.now, kind),
            false => None,
        }
    }

    /// The lowest level that each line admits, by kind, for the metrics.
    pub(crate) fn completion_gauges(&self) -> serde_json::Value {
        let levels = self.overload.completion.levels(self.now);
        let gauges = levels.map(|(kind, level)| (kind.to_string(), level.into()));
        serde_json::Value::Object(gauges.collect())
    }

    /// Tells the run that made a call if that call, or one further down, was refused for lack of
    /// capacity.
    ///
    /// A call that was answered successfully was repeated elsewhere or managed without the refused
    /// one.
    pub(crate) fn record_refused_call(
        &mut self,
        open: &calls::OpenCall,
        verdict: verdict::CallVerdict,
        answer: Option<&call::CallAnswer>,
    ) {
        let refused = match verdict {
            verdict::CallVerdict::NotRun(reason) => is_lack_of_capacity(reason),
            verdict::CallVerdict::Answered => {
                open.refused_below && answer.is_some_and(|answer| answer.status >= CLIENT_ERROR)
            }
            verdict::CallVerdict::MayHaveRun(_) => open.refused_below,
        };
        let parent = open.parent.and_then(|run| self.runs.get_mut(run));
        if let Some(parent) = parent.filter(|_| refused) {
            parent.waits.refuse();
        }
    }

    /// Records how a run of the local target ended.
    pub(crate) fn record_completion(
        &mut self,
        run: &runs::TargetRun,
        verdict: verdict::CallVerdict,
        status: u16,
    ) {
        if !self.overload.policy.completion_lines {
            return;
        }
        let report = completion::RunReport {
            end: run_end(run, verdict, status),
            needed_level: rank::line_level(self.needed_line(run.kind).as_ref()),
        };
        let refused = report.end == completion::RunEnd::RefusedBelow;
        self.counters.runs_refused_below += u64::from(refused);
        let rank = rank::CallRank::of(&run.context);
        let change = self
            .overload
            .completion
            .run_ended(self.now, run.kind, &rank, report);
        if let Some(change) = change {
            let line = match change {
                completion::LineChange::Appeared(line) => Some(line),
                completion::LineChange::Gone => None,
            };
            self.report(effect::StateChange::CompletionLine {
                service: run.service.to_string(),
                kind: run.kind.to_string(),
                line,
            });
        }
    }
}

/// Whether a refusal for `reason` means that there is too little capacity for all requests.
fn is_lack_of_capacity(reason: verdict::RefusalReason) -> bool {
    matches!(
        reason,
        verdict::RefusalReason::Shed
            | verdict::RefusalReason::QueueFull
            | verdict::RefusalReason::Deadline
            | verdict::RefusalReason::TargetRefused
            | verdict::RefusalReason::RateLimited
            | verdict::RefusalReason::AttemptsSpent
    )
}

fn run_end(
    run: &runs::TargetRun,
    verdict: verdict::CallVerdict,
    status: u16,
) -> completion::RunEnd {
    let failed = status >= retrying::SERVER_ERROR || status == TOO_MANY_REQUESTS;
    match verdict {
        verdict::CallVerdict::Answered if !failed => completion::RunEnd::Completed,
        verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Cancelled) => {
            completion::RunEnd::Other
        }
        verdict::CallVerdict::Answered | verdict::CallVerdict::MayHaveRun(_)
            if run.waits.was_refused() =>
        {
            completion::RunEnd::RefusedBelow
        }
        verdict::CallVerdict::Answered
        | verdict::CallVerdict::NotRun(_)
        | verdict::CallVerdict::MayHaveRun(_) => completion::RunEnd::Other,
    }
}
