//! Changes of the rules, as they are stored and sent.
//!
//! A change holds what differs, never the whole document: thousands of changes a day over
//! hundreds of services would otherwise outgrow the store's rates and value sizes.

use std::sync::Arc;

use anvil_types::{ident, name};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{account, chain, document};

/// One change by one operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleChange {
    /// The operator's own id of the change, by which a lost answer is resolved.
    pub id: u128,
    /// Who made it, as told by the operators' command.
    pub author: String,
    /// The revision that the operator saw.
    pub base: ident::RuleRevision,
    /// What to do, in order.
    pub edits: Vec<RuleEdit>,
}

/// One step of a change.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RuleEdit {
    /// Add a rule, or replace the one of its name.
    #[display("put {} {}", rule.name, place(before.as_ref()))]
    Put {
        /// The rule.
        rule: Arc<document::NamedRule>,
        /// The rule in front of which it then stands; at the end where there is none.
        before: Option<name::RuleName>,
    },
    /// Move a rule as it is.
    #[display("move {name} {}", place(before.as_ref()))]
    Move {
        /// The rule.
        name: name::RuleName,
        /// The rule in front of which it then stands; at the end where there is none.
        before: Option<name::RuleName>,
    },
    /// Remove a rule.
    #[display("remove {name}")]
    Remove {
        /// The rule.
        name: name::RuleName,
    },
    /// Replace the client accounts, all of them.
    #[display("replace the accounts by {}", accounts.as_ref().map_or(0, |table| table.accounts().len()))]
    Accounts {
        /// The accounts; none where requests need no key.
        accounts: Option<Arc<account::AccountTable>>,
    },
}

fn place(before: Option<&name::RuleName>) -> String {
    before.map_or_else(|| "at the end".to_owned(), |name| format!("before {name}"))
}

/// Why a change doesn't fit a document; the document is then as before.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
pub enum ChangeConflict {
    /// The change speaks of a rule that isn't there.
    #[display("there is no rule {name} any more")]
    Missing {
        /// The rule.
        name: name::RuleName,
    },
    /// Two rules have one name.
    #[display("there are two rules {name}")]
    Duplicate {
        /// The name.
        name: name::RuleName,
    },
    /// A rule would have to stand in front of itself.
    #[display("the rule {name} can't stand in front of itself")]
    SelfReference {
        /// The rule.
        name: name::RuleName,
    },
    /// The document would hold too many rules.
    #[display("the document would hold more than {limit} rules")]
    TooMany {
        /// The greatest number.
        limit: usize,
    },
    /// The document would hold too many accounts.
    #[display("the document would hold more than {limit} accounts")]
    TooManyAccounts {
        /// The greatest number.
        limit: usize,
    },
    /// Two accounts have one name.
    #[display("there are two accounts {name}")]
    DuplicateAccount {
        /// The name.
        name: name::AccountName,
    },
    /// Two accounts hold one key, or one holds it twice.
    #[display("the accounts {first} and {second} hold the same key")]
    SharedKey {
        /// One of them.
        first: name::AccountName,
        /// The other one.
        second: name::AccountName,
    },
}

impl document::RuleDocument {
    /// Makes a change, whole or not at all.
    ///
    /// Neither the base nor the ranges are looked at: whoever accepts a change compares the base
    /// and checks the text, and a node that refused an accepted change later would fall behind
    /// its peers for good.
    pub fn apply(&mut self, change: &RuleChange) -> Result<(), ChangeConflict> {
        let mut chain = chain::RuleChain::new(self.rules(), &change.edits);
        let mut accounts = self.accounts();
        for edit in &change.edits {
            match edit {
                RuleEdit::Accounts { accounts: edited } => accounts = edited.as_ref(),
                _ => chain.edit(edit)?,
            }
        }
        check_count(chain.len())?;
        let accounts = accounts.cloned();
        *self = Self::from_checked(chain.into_rules(), accounts);
        Ok(())
    }

    /// Checks what [`crate::parse::parse_rules`] promises, for a document from elsewhere.
    pub(crate) fn check(&self) -> Result<(), ChangeConflict> {
        check_count(self.rules().len())?;
        if let Some(accounts) = self.accounts() {
            accounts.check()?;
        }
        let places = places_by_name(self);
        let twice = places.windows(2).find(|pair| pair[0].0 == pair[1].0);
        match twice {
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

/// The edits that turn `old` into `new`.
///
/// Rules that keep their order among themselves stay untouched, chosen as a longest increasing
/// subsequence, so that one moved rule costs one edit. The rest is put in place from the end of
/// `new` to its front, so that the rule that each stands in front of is already there.
pub fn diff(old: &document::RuleDocument, new: &document::RuleDocument) -> Vec<RuleEdit> {
    let old_places = places_by_name(old);
    let new_names = places_by_name(new);
    let mut edits: Vec<RuleEdit> = Vec::new();
    for rule in old.rules() {
        if place_in(&new_names, &rule.name).is_none() {
            let name = rule.name.clone();
            edits.push(RuleEdit::Remove { name });
        }
    }
    let from: Vec<Option<usize>> = new
        .rules()
        .iter()
        .map(|rule| place_in(&old_places, &rule.name))
        .collect();
    let kept = longest_increasing(&from);
    let mut before: Option<name::RuleName> = None;
    for (index, rule) in new.rules().iter().enumerate().rev() {
        let same = from[index].is_some_and(|place| old.rules()[place] == *rule);
        match (same, kept[index]) {
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

/// Names with their places, sorted by name.
fn places_by_name(document: &document::RuleDocument) -> Vec<(&name::RuleName, usize)> {
    let names = document.rules().iter().enumerate();
    let mut places: Vec<_> = names.map(|(index, rule)| (&rule.name, index)).collect();
    places.sort_unstable();
    places
}

fn place_in(places: &[(&name::RuleName, usize)], name: &name::RuleName) -> Option<usize> {
    let found = places.binary_search_by(|(known, _)| (*known).cmp(name));
    found.ok().map(|index| places[index].1)
}

/// Marks the entries of one longest increasing subsequence; entries without a value stay out.
fn longest_increasing(values: &[Option<usize>]) -> Vec<bool> {
    // The last entry of the best subsequence of each length, and each entry's forerunner.
    let mut tails: Vec<usize> = Vec::new();
    let mut forerunners: Vec<Option<usize>> = vec![None; values.len()];
    for (index, value) in values.iter().enumerate() {
        if value.is_none() {
            continue;
        }
        let length = tails.partition_point(|tail| values[*tail] < *value);
        forerunners[index] = length.checked_sub(1).map(|before| tails[before]);
        if length == tails.len() {
            tails.push(index);
        } else {
            tails[length] = index;
        }
    }
    let mut marks = vec![false; values.len()];
    let mut next = tails.last().copied();
    while let Some(index) = next {
        marks[index] = true;
        next = forerunners[index];
    }
    marks
}
