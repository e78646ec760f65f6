//! Answers to operators.

use anvil_rules::{change, document, render};
use anvil_types::ident;
use derive_more::{Display, Error};
use serde::Serialize;

/// The answer to a request that was carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorAnswer {
    /// The requested information.
    pub body: AnswerBody,
    /// The revision in force when the request was answered.
    pub revision: ident::RuleRevision,
}

/// The information that an operator requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerBody {
    /// JSON.
    Json(String),
    /// The rules in force. They are rendered outside of the reducer, because that takes 4 ms for a
    /// thousand rules, during which the reducer would process no events.
    Rules(document::RuleDocument),
}

impl OperatorAnswer {
    /// The answer as text: YAML for the rules, JSON for everything else.
    pub fn text(self) -> String {
        match self.body {
            AnswerBody::Json(text) => text,
            AnswerBody::Rules(rules) => render::to_yaml(&rules),
        }
    }
}

/// Why a request was not carried out.
///
/// Only [`OperatorRefusal::Unknown`] leaves it uncertain whether a change took effect.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum OperatorRefusal {
    /// The rules were changed since the operator read them, so this change was not made.
    #[display("the rules were changed since revision {base}")]
    Conflict {
        /// The revision that the operator edited.
        base: ident::RuleRevision,
        /// The revision in force.
        revision: ident::RuleRevision,
        /// The changes made since then, as far as this node retains them, oldest first.
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
    /// It is not known yet whether the change was made.
    #[display("unknown: {reason}")]
    Unknown {
        /// Why, and what to do.
        #[error(not(source))]
        reason: String,
    },
}

/// A summary of one accepted change for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ChangeSummary {
    /// The revision that the change created.
    pub revision: ident::RuleRevision,
    /// The id that the operator gave the change, in hex.
    pub change: String,
    /// Who made the change.
    pub author: String,
    /// The edits, one line each.
    pub edits: Vec<String>,
}

impl ChangeSummary {
    /// Summarizes the change that created `revision`.
    pub fn of(revision: ident::RuleRevision, change: &change::RuleChange) -> Self {
        Self {
            revision,
            change: format!("{:032x}", change.id),
            author: change.author.clone(),
            edits: change.edits.iter().map(ToString::to_string).collect(),
        }
    }
}
