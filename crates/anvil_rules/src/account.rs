//! Client accounts as the operators state them; see `docs/design/accounts.md`.

use std::sync::Arc;

use anvil_types::{account, context, name};
use serde::{Deserialize, Serialize};

use crate::change;

/// Most accounts of one document.
pub const MAX_ACCOUNTS: usize = 10_000;

/// Most keys of one account; a change of keys needs two for a while.
pub const MAX_KEYS_PER_ACCOUNT: usize = 64;

/// One client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRecord {
    /// Unique within the document; targets are told it.
    pub name: name::AccountName,
    /// Importance of its requests, in place of what the rules say of them.
    pub class: Option<context::PriorityClass>,
    /// Digests of the keys that its callers send.
    pub keys: Vec<account::KeyDigest>,
    /// How much it may ask for; none where it is not bounded.
    pub quota: Option<account::AccountQuota>,
}

/// All accounts, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountTable {
    accounts: Vec<Arc<AccountRecord>>,
}

impl AccountTable {
    /// Takes accounts in any order; two of one name, or that hold one key, are refused.
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
        let place = self.accounts.binary_search_by(|known| known.name.cmp(name));
        place.ok().map(|place| &self.accounts[place])
    }

    /// Checks a table from elsewhere.
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

/// Which account holds a key.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    /// Sorted by digest. The time of a search tells of digests only, which no caller chooses.
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
        let place = self.holders.partition_point(|(known, _)| known < digest);
        let (known, record) = self.holders.get(place)?;
        (known == digest).then_some(record)
    }
}
