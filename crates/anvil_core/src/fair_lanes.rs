//! Lanes by which client accounts share a scarce service; see `docs/design/fair-lanes.md`.
//!
//! The state of the accounts' demand is in the quota ledger. This module sets the lane of root
//! requests and counts refusals by account for the metrics.

use anvil_overload::{fairness, rank};
use anvil_quota::demand;
use anvil_types::{account, context, ident, name, verdict};
use anvil_wire::call;
use serde::Serialize;
use serde_json::json;

use crate::{accounts, calls, reducer};

/// Maximum number of accounts in the metrics, both by demand and by refusals.
const MAX_METRIC_ACCOUNTS: usize = 16;

/// Refusals of one account's requests at this entry node.
#[derive(Clone, Debug, Serialize)]
struct AccountRefusals {
    account: name::AccountName,
    /// Refused by the quota.
    over_quota: u64,
    /// Not run for any other reason.
    not_run: u64,
}

impl AccountRefusals {
    fn total(&self) -> u64 {
        self.over_quota + self.not_run
    }
}

/// Refusals by account since the start of the process, bounded to the accounts with the most.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusalTable {
    /// Sorted by account.
    accounts: Vec<AccountRefusals>,
    /// Refusals of accounts that were evicted.
    others: u64,
}

impl RefusalTable {
    /// Counts one refusal. A new account evicts the one with the fewest refusals if the table is
    /// full, so that an account that begins to surge late appears as well.
    pub(crate) fn count(&mut self, account: &name::AccountName, reason: verdict::RefusalReason) {
        let found = self
            .accounts
            .binary_search_by(|known| known.account.cmp(account));
        let index = found.unwrap_or_else(|_| self.insert(account));
        let refusals = &mut self.accounts[index];
        match reason {
            verdict::RefusalReason::OverQuota => refusals.over_quota += 1,
            _ => refusals.not_run += 1,
        }
    }

    /// Inserts an account without refusals and returns its index.
    fn insert(&mut self, account: &name::AccountName) -> usize {
        if self.accounts.len() >= MAX_METRIC_ACCOUNTS {
            let totals = self.accounts.iter().map(AccountRefusals::total);
            let fewest = totals.enumerate().min_by_key(|(_, total)| *total);
            if let Some((index, total)) = fewest {
                self.others += total;
                self.accounts.remove(index);
            }
        }
        let index = self
            .accounts
            .partition_point(|known| known.account < *account);
        let added = AccountRefusals {
            account: account.clone(),
            over_quota: 0,
            not_run: 0,
        };
        self.accounts.insert(index, added);
        index
    }
}

impl reducer::NodeReducer {
    /// The lane of a root request, before its class band.
    pub(crate) fn root_lane(
        &self,
        request: ident::RequestId,
        identity: &accounts::CallerIdentity,
    ) -> context::LaneHash {
        if !self.overload.policy.fair_lanes {
            return fairness::uniform_lane(request);
        }
        let demand = match identity {
            accounts::CallerIdentity::Account(record) => {
                let account = account::AccountId::of(&record.name);
                self.quota.demand(self.now, account)
            }
            // All requests without an account count as one that uses exactly its quota.
            _ => demand::AccountDemand::NO_QUOTA,
        };
        fairness::QuotaShare::of(request, demand.ratio.granted).lane()
    }

    /// Sets the lane of a request anew that waited for the home's decision, which contains the
    /// demand of its account.
    ///
    /// An account whose requests spread over many nodes has no recent ratio at most of them, and
    /// its requests wait for this reason alone. A request whose caller was refused before keeps
    /// the lane of its appointment.
    pub(crate) fn update_lane(&mut self, sequence: u64) {
        if !self.overload.policy.fair_lanes {
            return;
        }
        let Some(open) = self.calls.get(sequence) else {
            return;
        };
        let Some(account) = open.account.metered_account() else {
            return;
        };
        let demand = self.quota.demand(self.now, account);
        if self.has_return_lane(open) || demand.source == demand::DemandSource::Estimate {
            return;
        }
        let share = fairness::QuotaShare::of(open.context.request, demand.ratio.granted);
        let lane = in_band(share.lane(), open.context.rule_class);
        if let Some(open) = self.calls.get_mut(sequence) {
            open.context.lane = lane;
        }
    }

    /// The lane of a call where a uniformly distributed one is needed.
    pub(crate) fn uniform_lane(&self, context: &context::CallContext) -> context::LaneHash {
        match self.overload.policy.fair_lanes {
            true => fairness::uniform_lane_of(context),
            false => context.lane,
        }
    }

    /// The rank of a call in the retry budget, which reserves a part for the lanes before its own.
    pub(crate) fn retry_rank(&self, open: &calls::OpenCall) -> rank::CallRank {
        rank::CallRank {
            lane: std::cmp::Reverse(self.uniform_lane(&open.context)),
            ..open.rank()
        }
    }

    /// Counts a refused request of an account's caller.
    pub(crate) fn count_account_refusal(
        &mut self,
        open: &calls::OpenCall,
        verdict: verdict::CallVerdict,
    ) {
        let verdict::CallVerdict::NotRun(reason) = verdict else {
            return;
        };
        if !self.overload.policy.fair_lanes || open.parent.is_some() {
            return;
        }
        if let Some(account) = &open.account.name {
            self.refusal_table.count(account, reason);
        }
    }

    /// The share of each quota that `line` admits in its class, for operators: of requests that take
    /// their class from a rule, and of those in the class band of the line. Null if it is all or if
    /// fair lanes are off.
    pub(crate) fn admitted_shares(&self, line: Option<&call::CutLine>) -> serde_json::Value {
        match line.filter(|_| self.overload.policy.fair_lanes) {
            Some(line) => json!({
                "by_rule": fairness::QuotaShare::admitted_by(line.lane),
                "in_band": fairness::QuotaShare::admitted_in_band(line.lane),
            }),
            None => serde_json::Value::Null,
        }
    }

    /// The demand of an account as this node knows it, for the dump; null if fair lanes are off.
    pub(crate) fn demand_dump(&self, account: account::AccountId) -> serde_json::Value {
        match self.overload.policy.fair_lanes {
            true => json!(self.quota.demand(self.now, account)),
            false => serde_json::Value::Null,
        }
    }

    /// Metrics of the accounts: the highest demands at this node as their home, and refusals at
    /// this node as their entry node.
    pub(crate) fn fair_lane_gauges(&self) -> serde_json::Value {
        if !self.overload.policy.fair_lanes {
            return serde_json::Value::Null;
        }
        let busiest = self.quota.busiest(self.now, MAX_METRIC_ACCOUNTS);
        let busiest = busiest.into_iter().map(|(account, ratio)| {
            let (requested, granted) = ratio.percents();
            json!({
                "account": self.account_name(account),
                "percent": requested,
                "granted_percent": granted,
            })
        });
        json!({
            "demand": busiest.collect::<Vec<_>>(),
            "refused": self.refusal_table.accounts,
            "refused_others": self.refusal_table.others,
        })
    }
}

/// The lane in the band of the rule's class, if the call takes its class from its account.
fn in_band(
    lane: context::LaneHash,
    rule_class: Option<context::PriorityClass>,
) -> context::LaneHash {
    rule_class.map_or(lane, |class| lane.with_class_band(class))
}
