//! The rules in force at this node.

use anvil_rules::{account, change, destination, document, explain, matcher, view};
use anvil_types::{ident, name, treatment};
use anvil_wire::call;

/// The rules in force and their revision.
#[derive(Clone, Debug, Default)]
pub struct RuleBook {
    revision: ident::RuleRevision,
    document: document::RuleDocument,
    matcher: matcher::RuleMatcher,
    /// The accounts by key; none if requests need no key.
    keys: Option<account::KeyIndex>,
    /// Requests decided by the revision in force.
    decisions: u64,
}

/// The decision of the rules for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookDecision<'a> {
    /// The treatment.
    pub treatment: treatment::RuleTreatment,
    /// The rule that applied, and the revision.
    pub rule: treatment::RuleReference,
    /// The destination that the rule sets; none if the caller's choice of service applies.
    pub send_to: Option<&'a destination::RuleDestination>,
    /// The rule's name; none if the built-in default applied.
    pub name: Option<&'a name::RuleName>,
}

impl RuleBook {
    /// The revision in force.
    pub fn revision(&self) -> ident::RuleRevision {
        self.revision
    }

    /// Whether any rules are in force.
    pub fn is_known(&self) -> bool {
        self.revision > ident::RuleRevision::default()
    }

    /// Counts a request that the revision in force decided.
    pub fn count_decision(&mut self) {
        self.decisions += 1;
    }

    /// The number of requests that the revision in force decided.
    pub fn decisions(&self) -> u64 {
        self.decisions
    }

    /// The rules in force.
    pub fn document(&self) -> &document::RuleDocument {
        &self.document
    }

    /// The accounts by key; none if requests need no key.
    pub fn keys(&self) -> Option<&account::KeyIndex> {
        self.keys.as_ref()
    }

    /// The number of rules whose requests are refused because their configuration can't be read.
    pub fn unreadable_rules(&self) -> usize {
        let unreadable = Some(treatment::RuleAction::Unreadable);
        let rules = self.document.rules().iter();
        rules.filter(|rule| rule.then.action == unreadable).count()
    }

    /// Whether accounts are left out because they could not be read.
    pub fn has_partial_accounts(&self) -> bool {
        let accounts = self.document.accounts();
        accounts.is_some_and(|table| table.is_partial())
    }

    /// Whether a rule sends requests to `service`.
    pub fn names_service(&self, service: &name::ServiceName) -> bool {
        let mut destinations = self.document.rules().iter();
        destinations.any(|rule| match &rule.then.send_to {
            Some(send_to) => send_to.includes(service),
            None => false,
        })
    }

    /// Puts a document in force if its revision is higher; returns whether it did.
    ///
    /// Rules arrive over several paths and in any order. Returning to an older revision would undo
    /// an accepted change until the newer one arrives again, so older revisions are ignored.
    pub fn adopt(
        &mut self,
        revision: ident::RuleRevision,
        document: document::RuleDocument,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.decisions = 0;
        self.matcher = matcher::RuleMatcher::compile(&document);
        let accounts = document.accounts();
        self.keys = accounts.map(|accounts| account::KeyIndex::compile(accounts));
        self.document = document;
        true
    }

    /// Puts the next accepted change in force; returns false if `revision` is not the next one.
    ///
    /// Fails if the change conflicts with the rules in force, which an accepted change never does.
    /// In that case the rules and the revision stay as they are, and since the node is then behind
    /// its peers, it requests the complete rules from one of them.
    pub fn adopt_change(
        &mut self,
        revision: ident::RuleRevision,
        change: &change::RuleChange,
    ) -> Result<bool, change::ChangeConflict> {
        if revision.0 != self.revision.0 + 1 {
            return Ok(false);
        }
        let mut document = self.document.clone();
        document.apply(change)?;
        Ok(self.adopt(revision, document))
    }

    /// Explains which rule applies to `request`.
    pub fn explain(&self, request: &call::CallRequest) -> explain::RuleExplanation {
        explain::explain(&self.matcher, &view::RequestView::of(request))
    }

    /// The treatment of `request` and the rule that applies.
    pub fn decide(&self, request: &call::CallRequest) -> BookDecision<'_> {
        let decision = self.matcher.decide(&view::RequestView::of(request));
        BookDecision {
            treatment: decision.treatment,
            rule: treatment::RuleReference {
                revision: self.revision,
                index: decision.index,
            },
            send_to: decision.send_to,
            name: decision.name,
        }
    }
}
