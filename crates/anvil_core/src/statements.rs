//! What the local target states about itself in its answers, and what other nodes are told of it;
//! see `docs/design/named-rates.md`.

use std::net::SocketAddr;

use anvil_overload::{pace, rate};
use anvil_types::ident;
use anvil_wire::call;
use serde_json::json;

use crate::{effect, event, reducer};

/// Maximum number of remembered targets that are listed in the dump.
const MAX_DUMP_NOTICES: usize = 1_000;

impl reducer::NodeReducer {
    /// Records what the answer to `run` stated about the target.
    ///
    /// An answer of an earlier incarnation says nothing about the present one.
    pub(crate) fn target_stated(&mut self, run: event::RunId, statement: &event::TargetStatement) {
        let sent_to = self.runs.get(run).and_then(|run| run.incarnation);
        if sent_to != self.target_digest() {
            self.counters.statements_outdated += 1;
            if statement.leaving {
                self.retire_previous(sent_to);
            }
            return;
        }
        if statement.leaving && self.overload.policy.stated_leaving {
            self.retire_target(None);
        }
        self.load_stated(statement.load);
        let stated = match statement.rate {
            event::StatedRate::Unlimited => None,
            event::StatedRate::Limited(rate) => Some(rate),
            event::StatedRate::Malformed => {
                self.rate_malformed();
                return;
            }
        };
        let now = self.now;
        let Some(admission) = &mut self.overload.admission else {
            return;
        };
        let change = admission.rate_mut().record(now, stated);
        self.log_rate_change(change, None);
    }

    /// Records the rate that a target stated when it was asked whether it accepts requests.
    ///
    /// If all nodes have restarted, nobody knows the rate before the first answer, and the requests
    /// until then would exceed it. An answer without a rate proves nothing, as other nodes may have been
    /// told one by answers to requests.
    pub(crate) fn check_stated(
        &mut self,
        digest: ident::IncarnationDigest,
        statement: &event::TargetStatement,
    ) {
        let (now, is_present) = (self.now, self.target_digest() == Some(digest));
        let event::StatedRate::Limited(rate) = statement.rate else {
            return;
        };
        let admission = self.overload.admission.as_mut();
        if let Some(admission) = admission.filter(|_| is_present) {
            let change = admission.rate_mut().record(now, Some(rate));
            self.log_rate_change(change, None);
        }
    }

    /// Records the load that the present incarnation of the target states.
    fn load_stated(&mut self, statement: event::LoadStatement) {
        if !self.overload.policy.expected_completion {
            return;
        }
        let now = self.now;
        let incarnation = self.target_name();
        let Some(admission) = &mut self.overload.admission else {
            return;
        };
        match statement {
            event::LoadStatement::Absent => {}
            event::LoadStatement::Valid(load) => {
                let change = admission.pace_mut().record(now, load);
                if change != pace::PaceChange::None {
                    self.log_request(effect::StateChange::PaceChanged {
                        incarnation,
                        slow: change == pace::PaceChange::Slowed,
                        percent: load.pace_percent,
                    });
                }
            }
            event::LoadStatement::Malformed => {
                let is_first = admission.pace_mut().record_malformed();
                self.counters.loads_malformed += 1;
                if is_first {
                    self.report(effect::StateChange::LoadMalformed { incarnation });
                }
            }
        }
    }

    /// Adopts what another node knows of the local target from answers that it passed on, until an
    /// answer arrives here.
    pub(crate) fn told_of_target(&mut self, node: ident::NodeId, notice: call::TargetNotice) {
        if !self.overload.policy.told_notices {
            return;
        }
        if self.target_digest() != Some(notice.incarnation) {
            if notice.leaving {
                self.withdraw_unconfirmed(notice.incarnation);
            }
            return;
        }
        if notice.leaving {
            self.retire_target(Some(node));
        }
        let now = self.now;
        if let Some((admission, rate)) = self.overload.admission.as_mut().zip(notice.rate) {
            let change = admission.rate_mut().learn(now, rate);
            self.log_rate_change(change, Some(node));
        }
    }

    /// Retires the previous incarnation, whose announcement may still arrive late.
    fn retire_previous(&mut self, stated: Option<ident::IncarnationDigest>) {
        let Some(previous) = &self.previous_target else {
            return;
        };
        let announcement = &previous.announcement;
        if announcement.incarnation_digest() == stated
            && let Some(incarnation) = &announcement.incarnation
        {
            self.incarnations.retire(self.now, incarnation);
        }
    }

    /// The hash of the incarnation of the local target, if it announces incarnations.
    pub(crate) fn target_digest(&self) -> Option<ident::IncarnationDigest> {
        self.target.as_ref()?.announcement.incarnation_digest()
    }

    /// What other nodes are told about the local target: nothing unless it named a rate or is
    /// leaving.
    pub(crate) fn target_notice(&self) -> Option<call::TargetNotice> {
        let target = self.target.as_ref()?;
        let rate = self.overload.admission.as_ref()?.rate();
        if !rate.was_named() && !target.retired {
            return None;
        }
        Some(call::TargetNotice {
            incarnation: target.announcement.incarnation_digest()?,
            rate: rate.named(),
            leaving: target.retired,
        })
    }

    /// Remembers what the node at `address` told about its target together with an answer.
    pub(crate) fn notice_arrived(
        &mut self,
        node: ident::NodeId,
        address: SocketAddr,
        notice: call::TargetNotice,
    ) {
        if self.notices.record(address, notice) {
            self.counters.notices_changed += 1;
            self.log_request(effect::StateChange::TargetNoticed {
                node: node.to_string(),
                address,
                incarnation: notice.incarnation.to_string(),
                rate: notice.rate,
                leaving: notice.leaving,
            });
        }
    }

    fn rate_malformed(&mut self) {
        self.counters.rates_malformed += 1;
        let Some(admission) = &mut self.overload.admission else {
            return;
        };
        if admission.rate_mut().record_malformed() {
            let named = admission.rate().named();
            let incarnation = self.target_name();
            self.report(effect::StateChange::RateMalformed { incarnation, named });
        }
    }

    /// Logs each begin and end of a limit, and its changes in between within the budget for lines.
    fn log_rate_change(&mut self, change: rate::RateChange, told_by: Option<ident::NodeId>) {
        if change == rate::RateChange::None {
            return;
        }
        self.counters.rates_changed += 1;
        let rate = self.overload.admission.as_ref().map(|queue| queue.rate());
        let named = rate.and_then(rate::RateLimit::named);
        let incarnation = self.target_name();
        let told_by = told_by.map(|node| node.to_string());
        let line = effect::StateChange::RateNamed {
            incarnation,
            named,
            told_by,
        };
        match change {
            rate::RateChange::Changed => self.log_request(line),
            _ => self.report(line),
        }
    }

    fn target_name(&self) -> Option<ident::IncarnationId> {
        let target = self.target.as_ref()?;
        target.announcement.incarnation_id().cloned()
    }

    /// What this node remembers about the targets of other nodes, up to a limit.
    pub(crate) fn notices_dump(&self) -> serde_json::Value {
        let notices = self.notices.iter().take(MAX_DUMP_NOTICES);
        let notices = notices.map(|(address, notice)| {
            json!({
                "address": address,
                "incarnation": notice.incarnation.to_string(),
                "rate": notice.rate,
                "leaving": notice.leaving,
            })
        });
        notices.collect()
    }

    /// The pace that the local target states, in percent and zero if it states none, and its usual
    /// run time in microseconds.
    pub(crate) fn pace_gauges(&self) -> serde_json::Value {
        let queue = self.overload.admission.as_ref();
        let percent = queue.and_then(|queue| queue.pace().percent_at(self.now));
        let usual = queue.map(|queue| queue.usual_time()).unwrap_or_default();
        json!({
            "percent": percent.unwrap_or_default(),
            "usual_micros": u64::try_from(usual.as_micros()).unwrap_or(u64::MAX),
        })
    }

    /// The rate that the local target names, in requests a second, and since when it names one, in
    /// microseconds on the node's clock; zeros if it names none.
    pub(crate) fn rate_gauges(&self) -> serde_json::Value {
        let rate = self.overload.admission.as_ref().map(|queue| queue.rate());
        let named = rate.and_then(rate::RateLimit::named);
        let since = rate.filter(|_| named.is_some()).map(rate::RateLimit::since);
        json!({
            "per_second": named.unwrap_or_default(),
            "since_micros": since.unwrap_or_default(),
        })
    }
}
