//! Client accounts: which account a request belongs to, and whether its quota admits the request;
//! see `docs/design/accounts.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_overload::refusal;
use anvil_quota::{effect as quota_effect, ledger};
use anvil_rules::account as account_table;
use anvil_types::{account, context, ident, name, treatment, verdict};
use anvil_wire::{gossip, quota as quota_message};
use serde_json::json;

use crate::{calls, effect, entry, event, reducer};

/// The name of this part in log lines.
const PART: &str = "quota";

/// Maximum number of accounts that are listed in a dump.
const MAX_DUMP_ACCOUNTS: usize = 256;

/// The account on whose behalf a call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerIdentity {
    /// None is required: no accounts are in force, or the route is public.
    Anonymous,
    /// The account whose key the caller sent.
    Account(Arc<account_table::AccountRecord>),
    /// The account of the run on whose behalf the local target calls.
    Inherited(Option<name::AccountName>),
    /// The caller is not allowed to call.
    Refused(verdict::RefusalReason),
}

impl CallerIdentity {
    /// The account, if one is known.
    pub(crate) fn account(&self) -> Option<&name::AccountName> {
        match self {
            Self::Account(record) => Some(&record.name),
            Self::Inherited(account) => account.as_ref(),
            Self::Anonymous | Self::Refused(_) => None,
        }
    }

    /// The priority class of the account's requests, if the account sets one.
    pub(crate) fn class(&self) -> Option<context::PriorityClass> {
        match self {
            Self::Account(record) => record.class,
            Self::Anonymous | Self::Inherited(_) | Self::Refused(_) => None,
        }
    }
}

/// The account of an open call, and its use of the account's quota.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallAccount {
    /// The account, if one is known.
    pub name: Option<name::AccountName>,
    /// The key that the caller sent; it is checked again before each attempt.
    pub(crate) credential: account::CallerCredential,
    /// Why the caller is not allowed to call, if that is so.
    pub(crate) refusal: Option<verdict::RefusalReason>,
    /// Whether a token of the account's quota was taken for the call.
    pub(crate) holds_token: bool,
}

impl CallAccount {
    pub(crate) fn of(identity: &CallerIdentity, credential: account::CallerCredential) -> Self {
        let refusal = match identity {
            CallerIdentity::Refused(reason) => Some(*reason),
            _ => None,
        };
        let credential = match identity {
            CallerIdentity::Account(_) => credential,
            _ => account::CallerCredential::None,
        };
        Self {
            name: identity.account().cloned(),
            credential,
            refusal,
            holds_token: false,
        }
    }

    /// The account whose quota the call draws on.
    pub(crate) fn metered_account(&self) -> Option<account::AccountId> {
        let keyed = self.credential != account::CallerCredential::None;
        let name = self.name.as_ref().filter(|_| keyed)?;
        Some(account::AccountId::of(name))
    }
}

impl reducer::NodeReducer {
    /// Determines the account on whose behalf a call is made.
    pub(crate) fn identify_caller(
        &self,
        hints: &event::CallerHints,
        treatment: &treatment::RuleTreatment,
        parent: Option<event::RunId>,
    ) -> CallerIdentity {
        if let Some(run) = parent {
            let run = self.runs.get(run);
            return CallerIdentity::Inherited(run.and_then(|run| run.account.clone()));
        }
        let Some(keys) = self.book.keys() else {
            return CallerIdentity::Anonymous;
        };
        let holder = match &hints.credential {
            account::CallerCredential::Key(digest) => keys.holder(digest),
            _ => None,
        };
        match holder {
            Some(record) => CallerIdentity::Account(Arc::clone(record)),
            None if treatment.public => CallerIdentity::Anonymous,
            None => CallerIdentity::Refused(self.refusal_without_key(hints)),
        }
    }

    /// Whether the key of a waiting call was revoked since it was checked.
    ///
    /// Without this check, requests that wait for a retry while an operator revokes their key would
    /// still run seconds later.
    pub(crate) fn is_key_revoked(&self, sequence: u64) -> bool {
        let Some(open) = self.calls.get(sequence) else {
            return false;
        };
        let account::CallerCredential::Key(digest) = &open.account.credential else {
            return false;
        };
        if open.rule.revision == self.book.revision() || open.treatment.public {
            return false;
        }
        let Some(keys) = self.book.keys() else {
            return false;
        };
        let holder = keys.holder(digest).map(|record| &record.name);
        holder != open.account.name.as_ref()
    }

    /// The reason to refuse a key that no account in force holds. While accounts are left out because
    /// they could not be read, the key may belong to one of them, and a refusal as unauthenticated
    /// would be final and false.
    pub(crate) fn unknown_key_reason(&self) -> verdict::RefusalReason {
        match self.book.has_partial_accounts() {
            true => verdict::RefusalReason::AccountsUnreadable,
            false => verdict::RefusalReason::Unauthenticated,
        }
    }

    /// The reason to refuse a caller without a known key.
    ///
    /// Targets send no key on their own calls. A call that refers to an unknown run was most likely
    /// made for a request that the previous process of this node accepted. Its account can't be
    /// determined, and a refusal as unauthenticated would be final, so the caller gets a reason that
    /// allows a retry.
    fn refusal_without_key(&self, hints: &event::CallerHints) -> verdict::RefusalReason {
        match hints.credential {
            account::CallerCredential::Key(_) => self.unknown_key_reason(),
            account::CallerCredential::None if hints.parent_label.is_some() => {
                verdict::RefusalReason::AccountUnknown
            }
            account::CallerCredential::None | account::CallerCredential::Malformed => {
                verdict::RefusalReason::Unauthenticated
            }
        }
    }

    /// Takes a token of the quota for a call; returns false if the call has to wait for one or was
    /// refused.
    pub(crate) fn take_token(&mut self, sequence: u64) -> bool {
        let Some(account) = self.metered_account(sequence) else {
            return true;
        };
        match self.quota.admit(self.now, account, sequence) {
            quota_effect::QuotaDecision::Granted => {
                self.hold_token(sequence);
                true
            }
            quota_effect::QuotaDecision::Pending => {
                if let Some(open) = self.calls.get_mut(sequence) {
                    open.stage = calls::CallStage::Metering;
                }
                false
            }
            quota_effect::QuotaDecision::Refused { pause } => {
                self.refuse_over_quota(sequence, pause);
                false
            }
        }
    }

    /// Returns the token of a call that did not run, or stops waiting for one.
    ///
    /// A request that was refused for lack of capacity has used nothing, and its caller will retry.
    /// If the token were not returned, the account would pay twice for one request.
    pub(crate) fn settle_token(
        &mut self,
        sequence: u64,
        open: &calls::OpenCall,
        verdict: verdict::CallVerdict,
    ) {
        let Some(account) = open.account.metered_account() else {
            return;
        };
        if open.stage == calls::CallStage::Metering {
            self.quota.cancel(account, sequence);
        } else if open.account.holds_token && matches!(verdict, verdict::CallVerdict::NotRun(_)) {
            self.quota.give_back(account);
        }
    }

    /// Passes a change of the accounts in force on to the quotas.
    pub(crate) fn accounts_changed(&mut self) {
        let accounts = self.book.document().accounts();
        let accounts = accounts.map_or(&[][..], |table| table.accounts());
        let quotas = accounts.iter().filter_map(|record| {
            let quota = record.quota?;
            Some((account::AccountId::of(&record.name), quota))
        });
        let quotas: Vec<_> = quotas.collect();
        let effects = self.quota.set_quotas(self.now, &quotas);
        self.apply_quota_effects(effects);
    }

    /// Handles a message about quotas from another node.
    pub(crate) fn quota_arrived(
        &mut self,
        from: SocketAddr,
        head: gossip::GossipHead,
        message: &quota_message::QuotaMessage,
    ) {
        if head.from == self.config.node {
            return;
        }
        let effects = self.quota.on_message(self.now, head.from, from, message);
        self.apply_quota_effects(effects);
    }

    pub(crate) fn wake_quota(&mut self) {
        if self.quota.next_wake().is_some_and(|due| due <= self.now) {
            let effects = self.quota.on_wake(self.now);
            self.apply_quota_effects(effects);
        }
    }

    /// Reports to the home nodes which requests were admitted during this event.
    pub(crate) fn flush_quota(&mut self) {
        let effects = self.quota.flush(self.now);
        self.apply_quota_effects(effects);
    }

    /// The accounts and the state of their quotas at this node, for the dump.
    pub(crate) fn accounts_dump(&self) -> serde_json::Value {
        let Some(accounts) = self.book.document().accounts() else {
            return serde_json::Value::Null;
        };
        let shown = accounts.accounts().iter().take(MAX_DUMP_ACCOUNTS);
        let shown = shown.map(|record| {
            let view = self.quota.view(account::AccountId::of(&record.name));
            json!({
                "account": record.name,
                "class": record.class,
                "keys": record.keys.len(),
                "rate": record.quota.map(|quota| quota.rate()),
                "burst": record.quota.map(|quota| quota.burst),
                "home": view.home.as_ref().map(ident::NodeId::to_string),
                "tokens": view.tokens,
                "ahead": view.ahead,
                "waiting": view.waiting,
                "demand": self.demand_dump(account::AccountId::of(&record.name)),
            })
        });
        shown.collect()
    }

    /// Counters of the quotas.
    pub(crate) fn quota_counters(&self) -> &ledger::QuotaCounters {
        self.quota.counters()
    }

    fn apply_quota_effects(&mut self, effects: Vec<quota_effect::QuotaEffect>) {
        for effect in effects {
            match effect {
                quota_effect::QuotaEffect::Send { to, message } => {
                    let kind = gossip::GossipKind::Quota(message);
                    let sent = self.fleet.message(to, kind);
                    self.apply_fleet_effects(vec![sent]);
                }
                quota_effect::QuotaEffect::Grant { call } => self.token_granted(call),
                quota_effect::QuotaEffect::Refuse { call, pause } => {
                    self.refuse_over_quota(call, pause);
                }
                quota_effect::QuotaEffect::Log(change) => self.report_home_change(change),
            }
        }
    }

    /// Logs a change of the home node that counts an account's requests, or of their demand.
    fn report_home_change(&mut self, change: quota_effect::HomeChange) {
        let text = match change {
            quota_effect::HomeChange::Left { account, home } => {
                let name = self.account_name(account);
                format!("home left: account={name} to={home}")
            }
            quota_effect::HomeChange::Taken {
                account,
                from,
                uses,
            } => {
                let name = self.account_name(account);
                format!("uses taken: account={name} from={from} uses={uses}")
            }
            quota_effect::HomeChange::Demand {
                account,
                percent,
                is_above,
            } => {
                let name = self.account_name(account);
                let change = if is_above { "above" } else { "within" };
                format!("demand {change} quota: account={name} percent={percent}")
            }
        };
        self.report(effect::StateChange::Part { part: PART, text });
    }

    /// The name of an account, or its id in hex if the rules in force don't contain it any more.
    pub(crate) fn account_name(&self, id: account::AccountId) -> String {
        let accounts = self.book.document().accounts();
        let mut records = accounts.into_iter().flat_map(|table| table.accounts());
        let record = records.find(|record| account::AccountId::of(&record.name) == id);
        record.map_or_else(
            || format!("{:016x}", id.0),
            |record| record.name.to_string(),
        )
    }

    fn token_granted(&mut self, sequence: u64) {
        let open = self.calls.get(sequence);
        if open.is_none_or(|open| open.stage != calls::CallStage::Metering) {
            return;
        }
        self.hold_token(sequence);
        self.update_lane(sequence);
        self.begin_attempts(sequence);
    }

    fn hold_token(&mut self, sequence: u64) {
        if let Some(open) = self.calls.get_mut(sequence) {
            open.account.holds_token = true;
            open.stage = calls::CallStage::Pausing;
        }
    }

    fn refuse_over_quota(&mut self, sequence: u64, pause: Duration) {
        let Some(account) = self.metered_account(sequence) else {
            return;
        };
        self.counters.calls_over_quota += 1;
        let view = self.quota.view(account);
        let limit = refusal::RefusalLimit::Quota {
            pause,
            tokens: view.tokens,
            asked_home: view.home.is_some(),
        };
        if let Some(open) = self.calls.get_mut(sequence) {
            open.stage = calls::CallStage::Pausing;
        }
        self.record_limit(sequence, limit);
        let verdict = entry::not_run(verdict::RefusalReason::OverQuota);
        self.end_call(sequence, verdict, None);
    }

    fn metered_account(&self, sequence: u64) -> Option<account::AccountId> {
        self.calls.get(sequence)?.account.metered_account()
    }
}
