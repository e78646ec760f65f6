//! The ordered list of rules.

use std::sync::Arc;

use anvil_types::name;
use serde::{Deserialize, Serialize};

use crate::{account, change, condition, outcome};

/// Most rules of one document; matching and checking are measured up to here, see
/// `docs/design/rules.md`.
pub const MAX_RULES: usize = 10_000;

/// One rule: the first whose condition holds decides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedRule {
    /// Unique within the document; changes and explanations refer to it.
    pub name: name::RuleName,
    /// The condition.
    pub when: condition::RuleCondition,
    /// What is decided.
    pub then: outcome::RuleOutcome,
}

/// The operators' rules, in order, with unique names.
///
/// Rules are shared, so a copy of the document costs little and an older one may stay in use
/// while a newer one is built.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleDocument {
    rules: Vec<Arc<NamedRule>>,
    /// Whose requests are served; none where requests need no key.
    accounts: Option<Arc<account::AccountTable>>,
}

impl RuleDocument {
    /// Takes rules in order; two of one name, or too many, are refused.
    pub fn new(rules: Vec<NamedRule>) -> Result<Self, change::ChangeConflict> {
        let rules = rules.into_iter().map(Arc::new).collect();
        let document = Self::from_checked(rules, None);
        document.check()?;
        Ok(document)
    }

    /// Takes rules whose names the caller has checked to be unique, and a checked table.
    pub(crate) const fn from_checked(
        rules: Vec<Arc<NamedRule>>,
        accounts: Option<Arc<account::AccountTable>>,
    ) -> Self {
        Self { rules, accounts }
    }

    /// The same rules for these accounts; without any, requests need no key.
    #[must_use]
    pub fn with_accounts(self, accounts: Option<Arc<account::AccountTable>>) -> Self {
        Self { accounts, ..self }
    }

    /// The client accounts; none where requests need no key.
    pub fn accounts(&self) -> Option<&Arc<account::AccountTable>> {
        self.accounts.as_ref()
    }

    /// The rules in order.
    pub fn rules(&self) -> &[Arc<NamedRule>] {
        &self.rules
    }

    /// The rule of this name and its place.
    pub fn find(&self, name: &name::RuleName) -> Option<(usize, &Arc<NamedRule>)> {
        let mut rules = self.rules.iter().enumerate();
        rules.find(|(_, rule)| rule.name == *name)
    }
}
