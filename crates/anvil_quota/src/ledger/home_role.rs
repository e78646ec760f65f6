//! The ledger as the home of accounts: it counts what entry nodes let in.

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
        let mut verdicts = Vec::with_capacity(uses.len());
        for told in uses {
            // An account that this node hasn't heard of: its rules are older, so it says nothing.
            let Some(size) = self.size(told.account) else {
                continue;
            };
            if let Some(verdict) = self.hint_home(now, *told) {
                verdicts.push(verdict);
                continue;
            }
            let home = self.own_home(now, told.account, size);
            verdicts.extend(home.report(now, size, from, *told));
            self.revoke_ahead(told.account, out);
        }
        if !verdicts.is_empty() {
            let message = quota::QuotaMessage::Decision {
                decisions: verdicts,
            };
            self.send(from.1, message, out);
        }
    }

    /// Names the home of an account that this node doesn't count and need not stand in for.
    fn hint_home(
        &self,
        now: time::NodeTime,
        told: quota::UsageReport,
    ) -> Option<quota::UsageDecision> {
        let home = self.other_home(told.account)?;
        let alive = self.heard.contains(now, home.node);
        if told.failover && !alive {
            return None;
        }
        Some(quota::UsageDecision {
            account: told.account,
            session: told.session,
            term: told.term,
            spent: 0,
            asked: 0,
            granted: 0,
            ahead: 0,
            retry_after_millis: 0,
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
        let taken = self.own_home(now, account, size).take(size);
        if taken.is_ok() {
            self.entry(now, account).count(now);
        }
        taken
    }

    /// Tells nodes that let requests in ahead when an account has come near its quota.
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
        for (to, verdict) in home.revoke_ahead(size, account) {
            let verdicts = vec![verdict];
            self.send(
                to,
                quota::QuotaMessage::Decision {
                    decisions: verdicts,
                },
                out,
            );
        }
    }

    /// Notes which accounts are counted at another node by now, and hands them over.
    pub(super) fn note_moves(&mut self, now: time::NodeTime) {
        let accounts: Vec<_> = self.homes.iter().map(|(account, _)| *account).collect();
        for account in accounts {
            let Some(to) = self.other_home(account) else {
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

    /// The home of an account, where it is another node.
    pub(super) fn other_home(&self, account: account::AccountId) -> Option<ring::RingNode> {
        let home = self.ring.homes(account).next().copied();
        home.filter(|home| home.node != self.node)
    }

    /// Whether this node is the home of an account by its own view of the members.
    pub(super) fn is_home(&self, account: account::AccountId) -> bool {
        self.other_home(account).is_none()
    }

    /// Whether the others may be asking another home, so that this one must not use the whole quota.
    ///
    /// Failure: a node is cut off and finds out member by member. Symptom: it takes over one account
    /// after another with the share of those that it still believes in, none of which can ask it.
    pub(super) fn is_partitioned(&self, now: time::NodeTime, account: account::AccountId) -> bool {
        let home = self.homes.get(account);
        match self.silent.is_empty() && !self.ring.has_shrunk(now) {
            true => home.is_some_and(|home| home.is_partitioned(now)),
            false => !home.is_some_and(|home| home.receives_reports(now)),
        }
    }

    pub(super) fn own_home(
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
        home
    }

    pub(super) fn remove_expired(&mut self, now: time::NodeTime) {
        self.trim_at = now + ledger::TRIM_INTERVAL;
        self.ring.remove_expired(now);
        let homes: Vec<_> = self.homes.iter().map(|(account, _)| *account).collect();
        for account in homes {
            if let Some(home) = self.homes.get_mut(account) {
                home.remove_expired(now);
            }
        }
    }
}
