//! Changes of the rules, as they are stored and sent.
//!
//! A change contains only the differences and never the whole document: with thousands of changes a
//! day over hundreds of services, whole documents would exceed the store's rate and value limits.

use std::sync::Arc;

use anvil_types::{ident, name};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{account, document, rule_list};

/// One change by one operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleChange {
    /// The id that the operator's client chose. If a reply is lost, it shows whether the change has
    /// been made.
    pub id: u128,
    /// Who made it, as stated by the operator's command.
    pub author: String,
    /// The revision that the operator edited.
    pub base: ident::RuleRevision,
    /// The edits, in order.
    pub edits: Vec<RuleEdit>,
}

/// One step of a change.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RuleEdit {
    /// Add a rule, or replace the rule of the same name.
    #[display("put {} {}", rule.name, placement(before.as_ref()))]
    Put {
        /// The rule.
        rule: Arc<document::NamedRule>,
        /// The rule before which it is placed; `None` for the end.
        before: Option<name::RuleName>,
    },
    /// Move a rule without changing it.
    #[display("move {name} {}", placement(before.as_ref()))]
    Move {
        /// The rule.
        name: name::RuleName,
        /// The rule before which it is placed; `None` for the end.
        before: Option<name::RuleName>,
    },
    /// Remove a rule.
    #[display("remove {name}")]
    Remove {
        /// The rule.
        name: name::RuleName,
    },
    /// Replace all client accounts.
    #[display(
        "replace all accounts with {} accounts",
        accounts.as_ref().map_or(0, |table| table.accounts().len())
    )]
    Accounts {
        /// The accounts; `None` if requests need no key.
        #[serde(with = "account::encoding")]
        accounts: Option<Arc<account::AccountTable>>,
    },
}

fn placement(before: Option<&name::RuleName>) -> String {
    before.map_or_else(|| "at the end".to_owned(), |name| format!("before {name}"))
}

/// Why a change can't be applied to a document, which then stays unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
pub enum ChangeConflict {
    /// The change refers to a rule that does not exist.
    #[display("rule {name} does not exist")]
    Missing {
        /// The rule.
        name: name::RuleName,
    },
    /// Two rules have the same name.
    #[display("there are two rules {name}")]
    Duplicate {
        /// The name.
        name: name::RuleName,
    },
    /// A rule is to be placed before itself.
    #[display("rule {name} can't be placed before itself")]
    SelfReference {
        /// The rule.
        name: name::RuleName,
    },
    /// The document would hold too many rules.
    #[display("the document would hold more than {limit} rules")]
    TooMany {
        /// The maximum number.
        limit: usize,
    },
    /// The document would hold too many accounts.
    #[display("the document would hold more than {limit} accounts")]
    TooManyAccounts {
        /// The maximum number.
        limit: usize,
    },
    /// Two accounts have the same name.
    #[display("there are two accounts {name}")]
    DuplicateAccount {
        /// The name.
        name: name::AccountName,
    },
    /// Two accounts have the same key, or one has it twice.
    #[display("the accounts {first} and {second} hold the same key")]
    SharedKey {
        /// One of them.
        first: name::AccountName,
        /// The other one.
        second: name::AccountName,
    },
}

impl document::RuleDocument {
    /// Applies a change completely or not at all.
    ///
    /// The paths of checks stay; changes don't name them. It checks neither the base nor the ranges. The node that accepts a change from an operator
    /// does that; a node that rejected an already accepted change could never catch up with its
    /// peers.
    pub fn apply(&mut self, change: &RuleChange) -> Result<(), ChangeConflict> {
        let mut list = rule_list::RuleList::new(self.rules(), &change.edits);
        let mut accounts = self.accounts();
        for edit in &change.edits {
            match edit {
                RuleEdit::Accounts { accounts: edited } => accounts = edited.as_ref(),
                _ => list.edit(edit)?,
            }
        }
        check_count(list.len())?;
        let accounts = accounts.cloned();
        let checks = self.checks().clone();
        *self = Self::from_checked(list.into_rules(), accounts, checks);
        Ok(())
    }

    /// Checks a deserialized document for what [`crate::parse::parse_rules`] guarantees.
    pub(crate) fn check(&self) -> Result<(), ChangeConflict> {
        check_count(self.rules().len())?;
        if let Some(accounts) = self.accounts() {
            accounts.check()?;
        }
        let index_entries = index_by_name(self);
        let duplicate = index_entries.windows(2).find(|pair| pair[0].0 == pair[1].0);
        match duplicate {
            None => Ok(()),
            Some(pair) => {
                let name = pair[0].0.clone();
                Err(ChangeConflict::Duplicate { name })
            }
        }
    }
}

fn check_count(count: usize) -> Result<(), ChangeConflict> {
    let limit = document::MAX_RULES;
    if count > limit {
        return Err(ChangeConflict::TooMany { limit });
    }
    Ok(())
}

/// Computes the edits that turn `old` into `new`.
///
/// The largest set of rules that keep their relative order, found as a longest increasing
/// subsequence, needs no move, so that one moved rule costs one edit. The other rules are placed
/// from the end of `new` to its start, so that the rule after each one is already in place.
pub fn diff(old: &document::RuleDocument, new: &document::RuleDocument) -> Vec<RuleEdit> {
    let old_index = index_by_name(old);
    let new_index = index_by_name(new);
    let mut edits: Vec<RuleEdit> = Vec::new();
    for rule in old.rules() {
        if find_position(&new_index, &rule.name).is_none() {
            let name = rule.name.clone();
            edits.push(RuleEdit::Remove { name });
        }
    }
    let old_positions: Vec<Option<usize>> = new
        .rules()
        .iter()
        .map(|rule| find_position(&old_index, &rule.name))
        .collect();
    let in_order = longest_increasing(&old_positions);
    let mut before: Option<name::RuleName> = None;
    for (index, rule) in new.rules().iter().enumerate().rev() {
        let unchanged = old_positions[index].is_some_and(|position| old.rules()[position] == *rule);
        match (unchanged, in_order[index]) {
            (true, true) => {}
            (true, false) => edits.push(RuleEdit::Move {
                name: rule.name.clone(),
                before: before.clone(),
            }),
            (false, _) => edits.push(RuleEdit::Put {
                rule: Arc::clone(rule),
                before: before.clone(),
            }),
        }
        before = Some(rule.name.clone());
    }
    if old.accounts() != new.accounts() {
        let accounts = new.accounts().cloned();
        edits.push(RuleEdit::Accounts { accounts });
    }
    edits
}

/// The index of each rule, sorted by name.
fn index_by_name(document: &document::RuleDocument) -> Vec<(&name::RuleName, usize)> {
    let names = document.rules().iter().enumerate();
    let mut index_entries: Vec<_> = names.map(|(index, rule)| (&rule.name, index)).collect();
    index_entries.sort_unstable();
    index_entries
}

fn find_position(
    index_entries: &[(&name::RuleName, usize)],
    name: &name::RuleName,
) -> Option<usize> {
    let found = index_entries.binary_search_by(|(known, _)| (*known).cmp(name));
    found.ok().map(|index| index_entries[index].1)
}

/// Selects the entries of one longest increasing subsequence; entries without a value are excluded.
fn longest_increasing(values: &[Option<usize>]) -> Vec<bool> {
    // The last entry of the subsequence with the smallest last value for each length, and the
    // predecessor of each entry in its subsequence.
    let mut tails: Vec<usize> = Vec::new();
    let mut predecessors: Vec<Option<usize>> = vec![None; values.len()];
    for (index, value) in values.iter().enumerate() {
        if value.is_none() {
            continue;
        }
        let length = tails.partition_point(|tail| values[*tail] < *value);
        predecessors[index] = length.checked_sub(1).map(|before| tails[before]);
        if length == tails.len() {
            tails.push(index);
        } else {
            tails[length] = index;
        }
    }
    let mut selected = vec![false; values.len()];
    let mut next = tails.last().copied();
    while let Some(index) = next {
        selected[index] = true;
        next = predecessors[index];
    }
    selected
}
