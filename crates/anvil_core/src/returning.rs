//! The return order: appointments of callers that were refused for lack of capacity; see
//! `docs/design/return-order.md`.

use std::time::Duration;

use anvil_overload::{appointments, refusal};
use anvil_types::{account, context, name, verdict};

use crate::{accounts, calls, effect, reducer, retrying};

/// The name of this part in log lines.
const PART: &str = "returns";

impl reducer::NodeReducer {
    /// Gives a request of a caller the lane of its return, if it has an appointment.
    pub(crate) fn with_return_lane(
        &mut self,
        context: context::CallContext,
        identity: &accounts::CallerIdentity,
    ) -> context::CallContext {
        if !self.overload.policy.return_order || context.depth > 0 {
            return context;
        }
        let key = return_key(&context, identity.account());
        let drawn = appointments::DrawnRank::of(&context);
        let (lane, status) = self.overload.appointments.arrived(self.now, key, &drawn);
        match status {
            appointments::ArrivalStatus::New => {}
            appointments::ArrivalStatus::OnTime => self.counters.returns_on_time += 1,
            appointments::ArrivalStatus::Early => self.counters.returns_early += 1,
            appointments::ArrivalStatus::Late => self.counters.returns_late += 1,
        }
        context::CallContext { lane, ..context }
    }

    /// Whether a call has its lane from an appointment.
    pub(crate) fn has_return_lane(&self, open: &calls::OpenCall) -> bool {
        let key = return_key(&open.context, open.account.name.as_ref());
        let rank = appointments::DrawnRank::of(&open.context);
        self.overload.policy.return_order && self.overload.appointments.sets_lane(key, &rank)
    }

    /// Settles the appointment of an ended call; returns the pause that its caller is told, if it
    /// gets or has one.
    pub(crate) fn settle_return(
        &mut self,
        open: &calls::OpenCall,
        verdict: verdict::CallVerdict,
    ) -> Option<Duration> {
        if !self.overload.policy.return_order || open.context.depth > 0 {
            return None;
        }
        let key = return_key(&open.context, open.account.name.as_ref());
        let rank = appointments::DrawnRank::of(&open.context);
        let end = self.request_end(open, verdict);
        let was_full = self.overload.appointments.is_full();
        let pause = self.overload.appointments.ended(self.now, key, &rank, end);
        self.counters.appointments_made += u64::from(pause.is_some());
        let is_full = self.overload.appointments.is_full();
        if was_full != is_full {
            let text = match is_full {
                true => "appointments full: the oldest are evicted",
                false => "appointments no longer full",
            };
            self.report(effect::StateChange::Part {
                part: PART,
                text: text.to_owned(),
            });
        }
        pause
    }

    fn request_end(
        &self,
        open: &calls::OpenCall,
        verdict: verdict::CallVerdict,
    ) -> appointments::RequestEnd {
        let verdict::CallVerdict::NotRun(reason) = verdict else {
            return appointments::RequestEnd::Finished;
        };
        if reason == verdict::RefusalReason::Cancelled {
            return appointments::RequestEnd::Finished;
        }
        match self.return_pause(open, reason) {
            Some(pause) => appointments::RequestEnd::Refused(pause),
            None => appointments::RequestEnd::NotRun,
        }
    }

    /// The pause of a caller that was refused for lack of capacity; none if it was refused for
    /// another reason, or has no time to return.
    fn return_pause(
        &self,
        open: &calls::OpenCall,
        reason: verdict::RefusalReason,
    ) -> Option<Duration> {
        if !retrying::lacks_capacity(reason) {
            return None;
        }
        let remaining = open.deadline.since(self.now);
        let elapsed = self.now.since(open.arrived);
        let objective = open.treatment.objective;
        let left = objective.map_or(remaining, |objective| objective.saturating_sub(elapsed));
        let pause = refusal::appointment_pause(left, remaining, open.context.request)?;
        match reason {
            verdict::RefusalReason::RateLimited => {
                let service = &open.request.service;
                Some(pause.max(self.directory.pause_left(self.now, service)))
            }
            _ => Some(pause),
        }
    }
}

fn return_key(
    context: &context::CallContext,
    account: Option<&name::AccountName>,
) -> appointments::ReturnKey {
    appointments::ReturnKey {
        fingerprint: context.fingerprint,
        account: account.map(account::AccountId::of),
    }
}
