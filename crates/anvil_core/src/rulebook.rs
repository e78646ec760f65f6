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
    /// Which account holds a key; none where requests need no key.
    keys: Option<account::KeyIndex>,
}

/// What the rules decide for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookDecision<'a> {
    /// The treatment.
    pub treatment: treatment::RuleTreatment,
    /// The rule that decided, and the revision.
    pub mark: treatment::RuleReference,
    /// Where the rule sends the request; none where the caller names the service.
    pub send_to: Option<&'a destination::RuleDestination>,
    /// The rule's name; none where the built-in default decided.
    pub name: Option<&'a name::RuleName>,
}

impl RuleBook {
    /// The revision in force.
    pub fn revision(&self) -> ident::RuleRevision {
        self.revision
    }

    /// The rules in force.
    pub fn document(&self) -> &document::RuleDocument {
        &self.document
    }

    /// Which account holds a key; none where requests need no key.
    pub fn keys(&self) -> Option<&account::KeyIndex> {
        self.keys.as_ref()
    }

    /// Whether a rule sends requests to `service`.
    pub fn names_service(&self, service: &name::ServiceName) -> bool {
        let mut destinations = self.document.rules().iter();
        destinations.any(|rule| match &rule.then.send_to {
            Some(send_to) => send_to.includes(service),
            None => false,
        })
    }

    /// Puts a document in force where its revision is higher; tells whether it did.
    ///
    /// Rules arrive by several ways and in any order. Going back to an older revision would undo
    /// an accepted change for as long as the newer one is not heard of again, so it never happens.
    pub fn adopt(
        &mut self,
        revision: ident::RuleRevision,
        document: document::RuleDocument,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.matcher = matcher::RuleMatcher::compile(&document);
        let accounts = document.accounts();
        self.keys = accounts.map(|accounts| account::KeyIndex::compile(accounts));
        self.document = document;
        true
    }

    /// Puts the next accepted change in force; tells whether it was the next one.
    ///
    /// Fails where the change doesn't fit, which an accepted one always does; nothing is changed
    /// then, and the revision stays behind, so that the node asks a peer for the whole rules.
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

    /// Why `request` is treated as it is.
    pub fn explain(&self, request: &call::CallRequest) -> explain::RuleExplanation {
        explain::explain(&self.matcher, &view::RequestView::of(request))
    }

    /// The treatment of `request` and the rule that decided.
    pub fn decide(&self, request: &call::CallRequest) -> BookDecision<'_> {
        let decision = self.matcher.decide(&view::RequestView::of(request));
        BookDecision {
            treatment: decision.treatment,
            mark: treatment::RuleReference {
                revision: self.revision,
                index: decision.index,
            },
            send_to: decision.send_to,
            name: decision.name,
        }
    }
}
