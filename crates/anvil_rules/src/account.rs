//! Client accounts as configured by operators; see `docs/design/accounts.md`.

use std::sync::Arc;

use anvil_types::{account, context, name};
use serde::{Deserialize, Serialize};

use crate::change;

/// Maximum number of accounts in a document.
pub const MAX_ACCOUNTS: usize = 10_000;

/// Maximum number of keys of one account; a key rotation needs two for a while.
pub const MAX_KEYS_PER_ACCOUNT: usize = 64;

/// One client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRecord {
    /// The name, unique within the document; it is sent to targets.
    pub name: name::AccountName,
    /// Priority class of its requests, which overrides the class that the rules set.
    pub class: Option<context::PriorityClass>,
    /// Digests of the keys that identify its callers.
    pub keys: Vec<account::KeyDigest>,
    /// Its request quota; `None` if it is unlimited.
    pub quota: Option<account::AccountQuota>,
}

/// All accounts, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountTable {
    accounts: Vec<Arc<AccountRecord>>,
}

impl AccountTable {
    /// Creates a table from accounts in any order; fails on a duplicate name or key.
    pub fn new(accounts: Vec<AccountRecord>) -> Result<Self, change::ChangeConflict> {
        let mut accounts: Vec<_> = accounts.into_iter().map(Arc::new).collect();
        accounts.sort_by(|a, b| a.name.cmp(&b.name));
        let table = Self { accounts };
        table.check()?;
        Ok(table)
    }

    /// The accounts in order of their names.
    pub fn accounts(&self) -> &[Arc<AccountRecord>] {
        &self.accounts
    }

    /// The account of this name.
    pub fn find(&self, name: &name::AccountName) -> Option<&Arc<AccountRecord>> {
        let position = self.accounts.binary_search_by(|known| known.name.cmp(name));
        position.ok().map(|position| &self.accounts[position])
    }

    /// Validates a deserialized table.
    pub(crate) fn check(&self) -> Result<(), change::ChangeConflict> {
        if self.accounts.len() > MAX_ACCOUNTS {
            let limit = MAX_ACCOUNTS;
            return Err(change::ChangeConflict::TooManyAccounts { limit });
        }
        for pair in self.accounts.windows(2) {
            if pair[0].name >= pair[1].name {
                let name = pair[1].name.clone();
                return Err(change::ChangeConflict::DuplicateAccount { name });
            }
        }
        let index = KeyIndex::compile(self);
        let mut holders = index.holders.windows(2);
        match holders.find(|pair| pair[0].0 == pair[1].0) {
            None => Ok(()),
            Some(pair) => Err(change::ChangeConflict::SharedKey {
                first: pair[0].1.name.clone(),
                second: pair[1].1.name.clone(),
            }),
        }
    }
}

/// An index of accounts by key.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    /// Sorted by digest. The duration of a search leaks information about digests only, which
    /// callers can't choose.
    holders: Vec<(account::KeyDigest, Arc<AccountRecord>)>,
}

impl KeyIndex {
    /// Builds the index of a table.
    pub fn compile(table: &AccountTable) -> Self {
        let holders = table.accounts.iter().flat_map(|record| {
            let digests = record.keys.iter();
            digests.map(|digest| (*digest, Arc::clone(record)))
        });
        let mut holders: Vec<_> = holders.collect();
        holders.sort_by_key(|(digest, _)| *digest);
        Self { holders }
    }

    /// The account that holds the key with this digest.
    pub fn holder(&self, digest: &account::KeyDigest) -> Option<&Arc<AccountRecord>> {
        let position = self.holders.partition_point(|(known, _)| known < digest);
        let (known, record) = self.holders.get(position)?;
        (known == digest).then_some(record)
    }
}
