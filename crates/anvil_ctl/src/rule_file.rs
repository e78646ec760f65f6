//! Rule files that an operator edits.

use std::fs;
use std::path::Path;

use anvil_rules::parse;
use anvil_types::ident;
use eyre::WrapErr;

use crate::outcome;

/// Prefix of the first line of a file written by `rules show`, followed by the revision.
pub const REVISION_PREFIX: &str = "# revision: ";

/// A file that passed all checks.
#[derive(Debug)]
pub struct RuleFile {
    /// The unchanged text of the file.
    pub text: String,
    /// The rules.
    pub rules: parse::CheckedRules,
}

impl RuleFile {
    /// Reads and checks `path`; invalid rules are refused with all their faults.
    pub fn read(path: &Path) -> Result<Self, outcome::CtlFailure> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path)
            .wrap_err_with(|| format!("{name} can't be read"))
            .map_err(outcome::CtlFailure::usage)?;
        let rules = parse::check_rules(&name, &text).map_err(|faults| {
            let report = eyre::eyre!("the rules are invalid\n{faults}");
            outcome::CtlFailure::new(outcome::ExitStatus::Refused, report)
        })?;
        Ok(Self { text, rules })
    }

    /// The revision that the file is based on, if its first line names it.
    pub fn base(&self) -> Option<ident::RuleRevision> {
        let first = self.text.lines().next()?;
        let number = first.strip_prefix(REVISION_PREFIX)?.trim().parse().ok()?;
        Some(ident::RuleRevision(number))
    }

    /// Warnings about unreachable rules, a line each.
    pub fn warnings(&self) -> String {
        let lines = self.rules.warnings.iter();
        lines
            .map(|warning| format!("warning: {warning}\n"))
            .collect()
    }
}
