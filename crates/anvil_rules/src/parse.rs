//! Parsing of YAML text into a validated document.

use std::sync::Arc;

use anvil_types::name;

use crate::{account, document, fault, field, shadow, yaml};
use crate::{parse_account, parse_then, parse_when};

/// Fields of a document.
const DOCUMENT_FIELDS: [&str; 2] = ["rules", "accounts"];

/// Fields of one rule.
const RULE_FIELDS: [&str; 3] = ["name", "when", "then"];

/// A valid document with warnings about it.
#[derive(Clone, Debug)]
pub struct CheckedRules {
    /// The rules.
    pub document: document::RuleDocument,
    /// Warnings about rules that no request can reach.
    pub warnings: Vec<fault::RuleWarning>,
}

/// A parsed rule with its line for later faults.
#[derive(Debug)]
pub(crate) struct LocatedRule {
    pub(crate) rule: Arc<document::NamedRule>,
    pub(crate) line: u64,
}

/// A parsed document with the lines of its rules.
#[derive(Debug, Default)]
struct LocatedDocument {
    rules: Vec<LocatedRule>,
    accounts: Option<Arc<account::AccountTable>>,
}

/// Parses and validates a document, without checking for unreachable rules.
///
/// `file` is the name of the text in faults. The error contains every fault, in the order of the
/// text.
pub fn parse_rules(file: &str, text: &str) -> Result<document::RuleDocument, fault::RuleFaults> {
    read_located(file, text).map(into_document)
}

/// Parses and validates a document like [`parse_rules`], and warns of unreachable rules.
pub fn check_rules(file: &str, text: &str) -> Result<CheckedRules, fault::RuleFaults> {
    let located = read_located(file, text)?;
    let warnings = shadow::find_unreachable(file, &located.rules);
    Ok(CheckedRules {
        document: into_document(located),
        warnings,
    })
}

fn into_document(located: LocatedDocument) -> document::RuleDocument {
    let rules = located.rules.into_iter();
    let rules = rules.map(|located| located.rule).collect();
    document::RuleDocument::from_checked(rules, located.accounts, Arc::default())
}

fn read_located(file: &str, text: &str) -> Result<LocatedDocument, fault::RuleFaults> {
    let mut faults = fault::FaultList::new(file);
    let located = match yaml::parse(text) {
        Ok(root) => read_document(&root, &mut faults),
        Err(error) => {
            let message = error.message;
            faults.add(
                error.position,
                "document",
                fault::FaultReason::Syntax { message },
            );
            LocatedDocument::default()
        }
    };
    faults.finish(located)
}

fn read_document(root: &yaml::YamlNode, faults: &mut fault::FaultList<'_>) -> LocatedDocument {
    let field = field::NodeField {
        node: root,
        path: String::new(),
    };
    let Some(map) = field::FieldMap::open(&field, &DOCUMENT_FIELDS, faults) else {
        return LocatedDocument::default();
    };
    let list = map.require("rules", faults);
    let items = list.and_then(|list| list.list(document::MAX_RULES, faults));
    let mut located = Vec::new();
    for item in items.unwrap_or_default() {
        located.extend(read_rule(&item, faults));
    }
    refuse_duplicates(&located, faults);
    let accounts = map.get("accounts");
    LocatedDocument {
        rules: located,
        accounts: accounts.and_then(|field| parse_account::read_accounts(&field, faults)),
    }
}

fn read_rule(
    item: &field::NodeField<'_>,
    faults: &mut fault::FaultList<'_>,
) -> Option<LocatedRule> {
    let map = field::FieldMap::open(item, &RULE_FIELDS, faults)?;
    let name = map.require("name", faults);
    let name = name.and_then(|field| field.name(name::RuleName::new, faults));
    let when = map.get("when");
    let when = when.map(|field| parse_when::read_condition(&field, faults));
    let then = map.require("then", faults);
    let then = then.map(|field| parse_then::read_outcome(&field, faults));
    let rule = document::NamedRule {
        name: name?,
        when: when.unwrap_or_default(),
        then: then?,
    };
    Some(LocatedRule {
        rule: Arc::new(rule),
        line: item.node.position.line,
    })
}

fn refuse_duplicates(located: &[LocatedRule], faults: &mut fault::FaultList<'_>) {
    let mut sorted: Vec<&LocatedRule> = located.iter().collect();
    sorted.sort_by(|a, b| a.rule.name.cmp(&b.rule.name).then(a.line.cmp(&b.line)));
    for same in sorted.chunk_by(|a, b| a.rule.name == b.rule.name) {
        for later in &same[1..] {
            let position = yaml::TextPosition {
                line: later.line,
                column: 1,
            };
            let reason = fault::FaultReason::DuplicateName {
                name: later.rule.name.clone(),
                line: same[0].line,
            };
            faults.add(position, "name", reason);
        }
    }
}
