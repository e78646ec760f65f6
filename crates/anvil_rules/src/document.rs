//! The ordered list of rules.

use std::sync::Arc;

use anvil_types::name;
use serde::{Deserialize, Serialize};

use crate::{account, change, check, condition, outcome};

/// Maximum number of rules in a document. `docs/design/rules.md` has measurements of matching and
/// checking up to this size.
pub const MAX_RULES: usize = 10_000;

/// One rule. The first rule whose condition matches decides a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedRule {
    /// The name, unique within the document, by which changes and explanations refer to the rule.
    pub name: name::RuleName,
    /// The condition.
    pub when: condition::RuleCondition,
    /// The outcome for matching requests.
    pub then: outcome::RuleOutcome,
}

/// The operators' rules, in order, with unique names.
///
/// Rules are reference-counted, so cloning a document is cheap and an older one may stay in use
/// while a newer one is built.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleDocument {
    rules: Vec<Arc<NamedRule>>,
    /// The accounts whose requests are served; `None` if requests need no key.
    #[serde(with = "account::encoding")]
    accounts: Option<Arc<account::AccountTable>>,
    /// Where targets can be asked whether they accept requests. The codec encodes it by itself, so that
    /// the bytes of a document without such paths stay what they were.
    #[serde(skip)]
    checks: Arc<check::CheckTable>,
}

impl RuleDocument {
    /// Creates a document from rules in order; fails on a duplicate name or too many rules.
    pub fn new(rules: Vec<NamedRule>) -> Result<Self, change::ChangeConflict> {
        let rules = rules.into_iter().map(Arc::new).collect();
        let document = Self::from_checked(rules, None, Arc::default());
        document.check()?;
        Ok(document)
    }

    /// Creates a document from rules whose names the caller has checked to be unique, and a checked
    /// table.
    pub(crate) const fn from_checked(
        rules: Vec<Arc<NamedRule>>,
        accounts: Option<Arc<account::AccountTable>>,
        checks: Arc<check::CheckTable>,
    ) -> Self {
        Self {
            rules,
            accounts,
            checks,
        }
    }

    /// Replaces the paths at which targets can be asked whether they accept requests.
    #[must_use]
    pub fn with_checks(self, checks: check::CheckTable) -> Self {
        let checks = Arc::new(checks);
        Self { checks, ..self }
    }

    /// The paths at which targets can be asked whether they accept requests.
    pub fn checks(&self) -> &Arc<check::CheckTable> {
        &self.checks
    }

    /// Replaces the client accounts; with `None`, requests need no key.
    #[must_use]
    pub fn with_accounts(self, accounts: Option<Arc<account::AccountTable>>) -> Self {
        Self { accounts, ..self }
    }

    /// The client accounts; `None` if requests need no key.
    pub fn accounts(&self) -> Option<&Arc<account::AccountTable>> {
        self.accounts.as_ref()
    }

    /// The rules in order.
    pub fn rules(&self) -> &[Arc<NamedRule>] {
        &self.rules
    }

    /// The rule of this name and its index.
    pub fn find(&self, name: &name::RuleName) -> Option<(usize, &Arc<NamedRule>)> {
        let mut rules = self.rules.iter().enumerate();
        rules.find(|(_, rule)| rule.name == *name)
    }
}
