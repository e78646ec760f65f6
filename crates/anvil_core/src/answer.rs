//! What an operator is told.

use anvil_rules::{change, document, render};
use anvil_types::ident;
use derive_more::{Display, Error};
use serde::Serialize;

/// The answer to a question that was carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorAnswer {
    /// What was asked for.
    pub body: AnswerBody,
    /// The revision in force when the question was answered.
    pub revision: ident::RuleRevision,
}

/// What an operator asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerBody {
    /// JSON.
    Json(String),
    /// The rules in force. Whoever answers writes their text, because that takes 4 ms for a
    /// thousand rules, in which the reducer would decide nothing.
    Rules(document::RuleDocument),
}

impl OperatorAnswer {
    /// JSON, or YAML where the rules were asked for.
    pub fn text(self) -> String {
        match self.body {
            AnswerBody::Json(text) => text,
            AnswerBody::Rules(rules) => render::to_yaml(&rules),
        }
    }
}

/// Why a question was not carried out.
///
/// Only [`OperatorRefusal::Unknown`] leaves open whether a change took effect.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum OperatorRefusal {
    /// The rules were changed since the operator read them; nothing was changed by this change.
    #[display("the rules were changed since revision {base}")]
    Conflict {
        /// The revision that the operator saw.
        base: ident::RuleRevision,
        /// The revision in force.
        revision: ident::RuleRevision,
        /// The other operators' changes, as far as this node holds them, oldest first.
        #[error(not(source))]
        others: Vec<ChangeSummary>,
    },
    /// The change was not made.
    #[display("not applied: {reason}")]
    NotApplied {
        /// Why, and what to do.
        #[error(not(source))]
        reason: String,
    },
    /// Nobody can tell yet whether the change was made.
    #[display("unknown: {reason}")]
    Unknown {
        /// Why, and what to do.
        #[error(not(source))]
        reason: String,
    },
}

/// One accepted change, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ChangeSummary {
    /// The revision that it made.
    pub revision: ident::RuleRevision,
    /// The operator's id of it, in hex.
    pub change: String,
    /// Who made it.
    pub author: String,
    /// What it did, a line for each step.
    pub edits: Vec<String>,
}

impl ChangeSummary {
    /// Describes a change that made `revision`.
    pub fn of(revision: ident::RuleRevision, change: &change::RuleChange) -> Self {
        Self {
            revision,
            change: format!("{:032x}", change.id),
            author: change.author.clone(),
            edits: change.edits.iter().map(ToString::to_string).collect(),
        }
    }
}
