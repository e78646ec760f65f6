//! The rules in force at this node.

use anvil_types::{ident, treatment};
use anvil_wire::call;

/// The rules in force and their revision.
#[derive(Clone, Debug, Default)]
pub struct RuleBook {
    revision: ident::RuleRevision,
}

impl RuleBook {
    /// The revision in force.
    pub fn revision(&self) -> ident::RuleRevision {
        self.revision
    }

    /// The treatment of `request` and the rule that decided.
    pub fn decide(
        &self,
        request: &call::CallRequest,
    ) -> (treatment::RuleTreatment, treatment::RuleMark) {
        let idempotent = matches!(request.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        let treatment = treatment::RuleTreatment {
            idempotent,
            ..treatment::RuleTreatment::default()
        };
        let mark = treatment::RuleMark {
            revision: self.revision,
            index: None,
        };
        (treatment, mark)
    }
}
