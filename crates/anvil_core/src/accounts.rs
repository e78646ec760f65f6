//! Client accounts inside the reducer: whose request it is, and whether the account's quota has room;
//! see `docs/design/accounts.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_overload::refusal;
use anvil_quota::{effect as quota, ledger};
use anvil_rules::account as table;
use anvil_types::{account, context, ident, name, treatment, verdict};
use anvil_wire::{gossip, quota as message};
use serde_json::json;

use crate::{calls, effect, entry, event, reducer};

/// Names this part in log lines.
const PART: &str = "quota";

/// Accounts shown in a dump.
const DUMP_ACCOUNTS: usize = 256;

/// On whose behalf a call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerStanding {
    /// Nobody has to be named: no accounts are in force, or the route is public.
    Open,
    /// An account whose key the caller sent.
    Account(Arc<table::AccountRecord>),
    /// That of the request which the local target runs and calls for.
    Inherited(Option<name::AccountName>),
    /// Nobody that may call.
    Refused(verdict::RefusalReason),
}

impl CallerStanding {
    /// The account, where one is known.
    pub(crate) fn account(&self) -> Option<&name::AccountName> {
        match self {
            Self::Account(record) => Some(&record.name),
            Self::Inherited(account) => account.as_ref(),
            Self::Open | Self::Refused(_) => None,
        }
    }

    /// The importance of the account's requests, where it has one of its own.
    pub(crate) fn class(&self) -> Option<context::PriorityClass> {
        match self {
            Self::Account(record) => record.class,
            Self::Open | Self::Inherited(_) | Self::Refused(_) => None,
        }
    }
}

/// What an open call holds of its account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallAccount {
    /// The account, where one is known.
    pub name: Option<name::AccountName>,
    /// The key that the caller sent; checked again before each attempt.
    pub(crate) credential: account::CallerCredential,
    /// Why the caller may not call at all.
    pub(crate) refusal: Option<verdict::RefusalReason>,
    /// Whether a token of the account's quota was taken for the call.
    pub(crate) token: bool,
}

impl CallAccount {
    pub(crate) fn of(standing: &CallerStanding, credential: account::CallerCredential) -> Self {
        let refusal = match standing {
            CallerStanding::Refused(reason) => Some(*reason),
            _ => None,
        };
        let credential = match standing {
            CallerStanding::Account(_) => credential,
            _ => account::CallerCredential::None,
        };
        Self {
            name: standing.account().cloned(),
            credential,
            refusal,
            token: false,
        }
    }

    /// The account whose quota the call draws on.
    fn metered(&self) -> Option<account::AccountId> {
        let keyed = self.credential != account::CallerCredential::None;
        let name = self.name.as_ref().filter(|_| keyed)?;
        Some(account::AccountId::of(name))
    }
}

impl reducer::NodeReducer {
    /// On whose behalf a call is made.
    pub(crate) fn standing(
        &self,
        hints: &event::CallerHints,
        treatment: &treatment::RuleTreatment,
        parent: Option<event::RunId>,
    ) -> CallerStanding {
        if let Some(run) = parent {
            let run = self.runs.get(run);
            return CallerStanding::Inherited(run.and_then(|run| run.account.clone()));
        }
        let Some(keys) = self.book.keys() else {
            return CallerStanding::Open;
        };
        let holder = match &hints.credential {
            account::CallerCredential::Key(digest) => keys.holder(digest),
            _ => None,
        };
        match holder {
            Some(record) => CallerStanding::Account(Arc::clone(record)),
            None if treatment.public => CallerStanding::Open,
            None => CallerStanding::Refused(stranger(hints)),
        }
    }

    /// Whether the key of a waiting call was taken away since it was checked.
    ///
    /// Failure: an operator takes a key away while requests that bear it wait for a retry. Symptom: they
    /// run seconds later for an account that no longer lets them in.
    pub(crate) fn key_taken(&self, sequence: u64) -> bool {
        let Some(open) = self.calls.get(sequence) else {
            return false;
        };
        let account::CallerCredential::Key(digest) = &open.account.credential else {
            return false;
        };
        if open.mark.revision == self.book.revision() || open.treatment.public {
            return false;
        }
        let Some(keys) = self.book.keys() else {
            return false;
        };
        let holder = keys.holder(digest).map(|record| &record.name);
        holder != open.account.name.as_ref()
    }

    /// Takes a token of the quota for a call; false where it waits for one or was refused.
    pub(crate) fn take_token(&mut self, sequence: u64) -> bool {
        let Some(account) = self.metered(sequence) else {
            return true;
        };
        match self.quota.admit(self.now, account, sequence) {
            quota::QuotaDecision::Granted => {
                self.hold_token(sequence);
                true
            }
            quota::QuotaDecision::Pending => {
                if let Some(open) = self.calls.get_mut(sequence) {
                    open.stage = calls::CallStage::Metering;
                }
                false
            }
            quota::QuotaDecision::Refused { pause } => {
                self.refuse_over_quota(sequence, pause);
                false
            }
        }
    }

    /// Gives back the token of a call that did not run, or stops waiting for one.
    ///
    /// A request that is refused for want of room has used nothing, and its caller comes back: without
    /// its token the account would pay twice for one request.
    pub(crate) fn settle_token(
        &mut self,
        sequence: u64,
        open: &calls::OpenCall,
        verdict: verdict::CallVerdict,
    ) {
        let Some(account) = open.account.metered() else {
            return;
        };
        if open.stage == calls::CallStage::Metering {
            self.quota.cancel(account, sequence);
        } else if open.account.token && matches!(verdict, verdict::CallVerdict::NotRun(_)) {
            self.quota.give_back(account);
        }
    }

    /// Follows a change of the accounts in force.
    pub(crate) fn accounts_changed(&mut self) {
        let accounts = self.book.document().accounts();
        let accounts = accounts.map_or(&[][..], |table| table.accounts());
        let quotas = accounts.iter().filter_map(|record| {
            let quota = record.quota?;
            Some((account::AccountId::of(&record.name), quota))
        });
        let quotas: Vec<_> = quotas.collect();
        let effects = self.quota.set_quotas(self.now, &quotas);
        self.take_quota(effects);
    }

    /// Takes a message about quotas from another node.
    pub(crate) fn quota_arrived(
        &mut self,
        from: SocketAddr,
        head: gossip::GossipHead,
        message: &message::QuotaMessage,
    ) {
        if head.from == self.config.node {
            return;
        }
        let effects = self.quota.on_message(self.now, head.from, from, message);
        self.take_quota(effects);
    }

    pub(crate) fn wake_quota(&mut self) {
        if self.quota.next_wake().is_some_and(|due| due <= self.now) {
            let effects = self.quota.on_wake(self.now);
            self.take_quota(effects);
        }
    }

    /// Tells homes what was let in by this event.
    pub(crate) fn flush_quota(&mut self) {
        let effects = self.quota.flush(self.now);
        self.take_quota(effects);
    }

    /// What this node knows of the accounts' quotas.
    pub(crate) fn accounts_dump(&self) -> serde_json::Value {
        let Some(accounts) = self.book.document().accounts() else {
            return serde_json::Value::Null;
        };
        let shown = accounts.accounts().iter().take(DUMP_ACCOUNTS);
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
            })
        });
        shown.collect()
    }

    /// Counters of the quotas.
    pub(crate) fn quota_counters(&self) -> &ledger::QuotaCounters {
        self.quota.counters()
    }

    fn take_quota(&mut self, effects: Vec<quota::QuotaEffect>) {
        for effect in effects {
            match effect {
                quota::QuotaEffect::Send { to, message } => {
                    let kind = gossip::GossipKind::Quota(message);
                    let sent = self.fleet.message(to, kind);
                    self.take_fleet(vec![sent]);
                }
                quota::QuotaEffect::Grant { call } => self.token_granted(call),
                quota::QuotaEffect::Refuse { call, pause } => self.refuse_over_quota(call, pause),
                quota::QuotaEffect::Log(change) => self.tell_home(change),
            }
        }
    }

    /// Writes a line about a change in who counts an account.
    fn tell_home(&mut self, change: quota::HomeChange) {
        let text = match change {
            quota::HomeChange::Left { account, home } => {
                let name = self.account_name(account);
                format!("home left: account={name} to={home}")
            }
            quota::HomeChange::Taken {
                account,
                from,
                uses,
            } => {
                let name = self.account_name(account);
                format!("uses taken: account={name} from={from} uses={uses}")
            }
        };
        self.report(effect::StateChange::Part { part: PART, text });
    }

    /// The name of an account as operators know it, or its number where the rules have changed since.
    fn account_name(&self, id: account::AccountId) -> String {
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
        self.begin_attempts(sequence);
    }

    fn hold_token(&mut self, sequence: u64) {
        if let Some(open) = self.calls.get_mut(sequence) {
            open.account.token = true;
            open.stage = calls::CallStage::Pausing;
        }
    }

    fn refuse_over_quota(&mut self, sequence: u64, pause: Duration) {
        let Some(account) = self.metered(sequence) else {
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
        self.blame(sequence, limit);
        let verdict = entry::not_run(verdict::RefusalReason::OverQuota);
        self.end_call(sequence, verdict, None);
    }

    fn metered(&self, sequence: u64) -> Option<account::AccountId> {
        self.calls.get(sequence)?.account.metered()
    }
}

/// Why a caller without a known key may not call.
///
/// Targets send no key on their own calls. A call that names a run which this node doesn't know was
/// made for a request of an earlier process, most likely: to say that the key is unknown would end it
/// for good, and nobody knows whose it is.
fn stranger(hints: &event::CallerHints) -> verdict::RefusalReason {
    let keyless = hints.credential == account::CallerCredential::None;
    match keyless && hints.parent_label.is_some() {
        true => verdict::RefusalReason::AccountUnknown,
        false => verdict::RefusalReason::Unauthenticated,
    }
}
