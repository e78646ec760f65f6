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
    /// Whether accounts were left out because they could not be read, so that an unknown key may be
    /// valid. Encoded by [`encoding`], so that the bytes of a complete table stay what they were.
    #[serde(skip)]
    partial: bool,
}

impl AccountTable {
    /// Creates a table from accounts in any order; fails on a duplicate name or key.
    pub fn new(accounts: Vec<AccountRecord>) -> Result<Self, change::ChangeConflict> {
        let mut accounts: Vec<_> = accounts.into_iter().map(Arc::new).collect();
        accounts.sort_by(|a, b| a.name.cmp(&b.name));
        let table = Self {
            accounts,
            partial: false,
        };
        table.check()?;
        Ok(table)
    }

    /// Marks whether accounts are left out because they could not be read.
    #[must_use]
    pub fn with_partial(self, partial: bool) -> Self {
        Self { partial, ..self }
    }

    /// Whether accounts are left out because they could not be read. A key that no account holds
    /// may then belong to one of them.
    pub const fn is_partial(&self) -> bool {
        self.partial
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

/// The encoding of the accounts of a document.
///
/// A table without left-out accounts, and a missing one, have the bytes of an [`Option`], so that
/// logs and peers from before partial tables can be read and can read them.
pub(crate) mod encoding {
    use std::sync::Arc;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::AccountTable;

    #[derive(Serialize, Deserialize)]
    enum EncodedAccounts<Table> {
        Missing,
        Complete(Table),
        Partial(Table),
    }

    pub(crate) fn serialize<S>(
        accounts: &Option<Arc<AccountTable>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let encoded = match accounts.as_deref() {
            None => EncodedAccounts::Missing,
            Some(table) if table.partial => EncodedAccounts::Partial(table),
            Some(table) => EncodedAccounts::Complete(table),
        };
        encoded.serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D>(
        deserializer: D,
    ) -> Result<Option<Arc<AccountTable>>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let encoded = EncodedAccounts::<AccountTable>::deserialize(deserializer)?;
        Ok(match encoded {
            EncodedAccounts::Missing => None,
            EncodedAccounts::Complete(table) => Some(Arc::new(table)),
            EncodedAccounts::Partial(table) => Some(Arc::new(table.with_partial(true))),
        })
    }
}
