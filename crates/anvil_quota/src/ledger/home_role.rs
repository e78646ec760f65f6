//! The ledger as the home of accounts: it counts the requests that entry nodes admit.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{account, ident, time};
use anvil_wire::quota;

use crate::{bucket, effect, home, ledger, ring};

impl ledger::QuotaLedger {
    pub(super) fn on_report(
        &mut self,
        now: time::NodeTime,
        from: (ident::NodeId, SocketAddr),
        uses: &[quota::UsageReport],
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        if self.is_idle() {
            self.send(from.1, quota::QuotaMessage::Unready, out);
            return;
        }
        let mut decisions = Vec::with_capacity(uses.len());
        for report in uses {
            // This node does not know the account: its rules are older, so it does not answer.
            let Some(size) = self.size(report.account) else {
                continue;
            };
            if let Some(decision) = self.redirect_to_home(now, *report) {
                decisions.push(decision);
                continue;
            }
            let home = self.prepare_home(now, report.account, size);
            decisions.extend(home.report(now, size, from, *report));
            self.revoke_ahead(report.account, out);
        }
        if !decisions.is_empty() {
            let message = quota::QuotaMessage::Decision { decisions };
            self.send(from.1, message, out);
        }
    }

    /// A decision that names the home of an account, if this node is not the home and need not
    /// stand in for it.
    fn redirect_to_home(
        &self,
        now: time::NodeTime,
        report: quota::UsageReport,
    ) -> Option<quota::UsageDecision> {
        let home = self.peer_home(report.account)?;
        let alive = self.live_homes.contains(now, home.node);
        if report.failover && !alive {
            return None;
        }
        Some(quota::UsageDecision {
            account: report.account,
            session: report.session,
            term: report.term,
            spent: 0,
            asked: 0,
            granted: 0,
            ahead: 0,
            retry_after_millis: 0,
            demand_percent: 0,
            granted_percent: 0,
            redirect: Some(quota::HomeHint {
                node: home.node,
                address: home.address,
                alive,
            }),
        })
    }

    pub(super) fn admit_at_home(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
    ) -> Result<(), Duration> {
        let Some(size) = self.size(account) else {
            return Ok(());
        };
        let home = self.prepare_home(now, account, size);
        let ratio = home.demand(now, size);
        let result = home.take(size);
        let entry = self.entry(now, account);
        // A node that stands in for a silent home still knows the demand while it retries that one.
        entry.demand.store(now, ratio);
        if result.is_ok() {
            entry.count(now);
        }
        result
    }

    /// Notifies nodes that admit requests ahead of the count if an account has come near its quota.
    pub(super) fn revoke_ahead(
        &mut self,
        account: account::AccountId,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        let Some(size) = self.size(account) else {
            return;
        };
        let Some(home) = self.homes.get_mut(account) else {
            return;
        };
        for (to, decision) in home.revoke_ahead(size, account) {
            let decisions = vec![decision];
            self.send(to, quota::QuotaMessage::Decision { decisions }, out);
        }
    }

    /// Finds the accounts that have moved to another home, and hands them over.
    pub(super) fn hand_over_moved(&mut self, now: time::NodeTime) {
        let accounts: Vec<_> = self.homes.iter().map(|(account, _)| *account).collect();
        for account in accounts {
            let Some(to) = self.peer_home(account) else {
                continue;
            };
            let left = self.homes.get_mut(account);
            if left.is_some_and(home::HomeAccount::mark_moved) {
                let home = to.node;
                self.changes
                    .push(effect::HomeChange::Left { account, home });
                self.hand_over(now, account, now);
            }
        }
    }

    /// The home of an account, if it is another node.
    pub(super) fn peer_home(&self, account: account::AccountId) -> Option<ring::RingNode> {
        let home = self.ring.homes(account).next().copied();
        home.filter(|home| home.node != self.node)
    }

    /// Whether this node is the home of an account, according to its own view of the members.
    pub(super) fn is_home(&self, account: account::AccountId) -> bool {
        self.peer_home(account).is_none()
    }

    /// Whether other nodes may be using another home, so that this one must not use the whole
    /// quota unless it reaches the majority of the fleet.
    ///
    /// A partitioned node detects the partition member by member. It would take over one account
    /// after another with the share of the members it still considers alive, none of which can
    /// reach it.
    pub(super) fn is_unheard(&self, now: time::NodeTime, account: account::AccountId) -> bool {
        let home = self.homes.get(account);
        match self.silent_nodes.is_empty() && !self.ring.has_shrunk(now) {
            true => home.is_some_and(|home| home.is_unheard(now)),
            false => !home.is_some_and(|home| home.receives_reports(now)),
        }
    }

    pub(super) fn prepare_home(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        size: bucket::BucketSize,
    ) -> &mut home::HomeAccount {
        let share = self.ring.visible_share();
        let is_home = self.is_home(account);
        let known = self.homes.get(account);
        if !is_home && known.is_some_and(|home| home.is_handover_due(now)) {
            self.hand_over(now, account, now);
        }
        let term = self.terms + 1;
        if self.homes.get(account).is_none() {
            self.terms = term;
        }
        let tokens = home::initial_tokens(size, share);
        let home = self
            .homes
            .get_or_insert_with(account, || home::HomeAccount::new(now, size, tokens, term));
        home.prepare(now, size, share, is_home);
        if self.states_demand {
            let change = home.state_demand(now, size);
            self.changes
                .extend(change.map(|(ratio, is_above)| effect::HomeChange::Demand {
                    account,
                    percent: ratio.percents().0,
                    is_above,
                }));
        }
        home
    }

    pub(super) fn remove_expired(&mut self, now: time::NodeTime) {
        self.next_cleanup = now + ledger::CLEANUP_INTERVAL;
        self.ring.remove_expired(now);
        let homes: Vec<_> = self.homes.iter().map(|(account, _)| *account).collect();
        for account in homes {
            if let Some(home) = self.homes.get_mut(account) {
                home.remove_expired(now);
            }
        }
    }
}
