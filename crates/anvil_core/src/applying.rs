//! An operator's rules on their way to becoming a change.

use anvil_rules::{change, fault, parse};
use anvil_types::ident;
use serde_json::json;

use crate::{answer, event, reducer};

/// Names the operator's text in faults; the operators' command puts the file's name in its place.
const TEXT_NAME: &str = "rules";

/// What an operator asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AskedChange {
    /// The rules, as YAML.
    pub(crate) text: String,
    /// The operator's own id of the change.
    pub(crate) change: u128,
    /// Who made it.
    pub(crate) author: String,
    /// The revision the operator saw.
    pub(crate) base: ident::RuleRevision,
}

impl reducer::NodeReducer {
    /// Checks the rules and makes a change of them, or tells what is wrong.
    pub(crate) fn apply_asked(&mut self, handle: event::OperatorHandle, asked: &AskedChange) {
        match self.prepare_change(asked) {
            Ok(change) if change.edits.is_empty() => {
                let revision = self.book.revision();
                let text = json!({ "revision": revision, "edits": 0 }).to_string();
                self.answer_operator(handle, Ok(text));
            }
            Ok(change) => self.propose_change(handle, &change),
            Err(refusal) => self.answer_operator(handle, Err(refusal)),
        }
    }

    /// The change that the rules asked for make to those in force.
    ///
    /// A base that isn't the newest revision is refused even where the edits would fit: the
    /// operator decided without having seen the other change, and its rules come before or after
    /// those that were changed.
    fn prepare_change(
        &self,
        asked: &AskedChange,
    ) -> Result<change::RuleChange, answer::OperatorRefusal> {
        let document = parse::parse_rules(TEXT_NAME, &asked.text).map_err(faults)?;
        let revision = self.book.revision();
        if asked.base != revision {
            return Err(answer::OperatorRefusal::Conflict {
                base: asked.base,
                revision,
                others: Vec::new(),
            });
        }
        Ok(change::RuleChange {
            id: asked.change,
            author: asked.author.clone(),
            base: asked.base,
            edits: change::diff(self.book.document(), &document),
        })
    }

    /// Writes a change to the store and spreads it; see `docs/design/rule-distribution.md`.
    fn propose_change(&mut self, handle: event::OperatorHandle, _change: &change::RuleChange) {
        let reason = "this node has no store to keep the change in".to_owned();
        let refusal = answer::OperatorRefusal::NotApplied { reason };
        self.answer_operator(handle, Err(refusal));
    }

    /// The accepted changes that this node holds, newest last.
    pub(crate) fn history(&self) -> serde_json::Value {
        json!({ "revision": self.book.revision(), "changes": [] })
    }
}

fn faults(faults: fault::RuleFaults) -> answer::OperatorRefusal {
    answer::OperatorRefusal::Faults { faults }
}
