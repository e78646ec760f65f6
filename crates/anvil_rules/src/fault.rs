//! Errors and warnings about a rule file, with their positions.

use anvil_types::{account, name};
use derive_more::{Display, Error, From};
use serde::{Serialize, Serializer};

use crate::yaml;

/// All faults of one document, in the order of the text; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, Serialize)]
#[display("{}", Self::lines(_0))]
pub struct RuleFaults(#[error(not(source))] pub Vec<RuleFault>);

impl RuleFaults {
    fn lines(faults: &[RuleFault]) -> String {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        lines.join("\n")
    }
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize)]
#[display("{file}:{line}:{column}: {field}: {reason}")]
pub struct RuleFault {
    /// The file, as the operator named it.
    pub file: String,
    /// The line, from one.
    pub line: u64,
    /// The column, from one.
    pub column: u64,
    /// The field, such as `rules[2].then.deadline`.
    pub field: String,
    /// Why the field is invalid.
    #[serde(serialize_with = "serialize_as_text")]
    pub reason: FaultReason,
}

fn serialize_as_text<S>(reason: &FaultReason, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.collect_str(reason)
}

/// Why a field is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Display, From)]
pub enum FaultReason {
    /// The text is not valid YAML.
    #[display("{message}")]
    Syntax {
        /// The message of the parser.
        message: String,
    },
    /// The field is not known at this position.
    #[display("unknown field; expected one of {}", known.join(", "))]
    UnknownField {
        /// The known fields.
        known: &'static [&'static str],
    },
    /// A required field is missing.
    #[display("the field {name} is missing")]
    MissingField {
        /// Its name.
        name: &'static str,
    },
    /// The value has the wrong type.
    #[display("expected {expected}, found {found}")]
    WrongType {
        /// What the field accepts.
        expected: &'static str,
        /// The value in the text.
        found: &'static str,
    },
    /// The value is not one of the keywords of the field.
    #[display("{found:?} is not one of {}", known.join(", "))]
    UnknownValue {
        /// The value in the text.
        found: String,
        /// The accepted keywords.
        known: &'static [&'static str],
    },
    /// The text does not have the format of the field.
    #[display("{found:?} is not {expected}")]
    InvalidFormat {
        /// The value in the text.
        found: String,
        /// What the field accepts.
        expected: &'static str,
    },
    /// The value is outside its accepted range.
    #[display("{found} is outside {min} to {max}")]
    OutOfRange {
        /// The value in the text.
        found: String,
        /// The smallest accepted value.
        min: String,
        /// The largest accepted value.
        max: String,
    },
    /// The text is not a valid name.
    #[display("{reason}")]
    #[from]
    InvalidName {
        /// Why it is invalid.
        reason: name::NameError,
    },
    /// Two rules have the same name.
    #[display("the name {name} is taken by the rule at line {line}")]
    DuplicateName {
        /// The name.
        name: name::RuleName,
        /// The line of the first rule of this name.
        line: u64,
    },
    /// Two accounts have the same name.
    #[display("the name {name} is taken by the account at line {line}")]
    DuplicateAccount {
        /// The name.
        name: name::AccountName,
        /// The line of the first account of this name.
        line: u64,
    },
    /// Two accounts have the same key.
    #[display("the account {name} at line {line} holds the same key")]
    SharedKey {
        /// The first account with the key.
        name: name::AccountName,
        /// Its line.
        line: u64,
    },
    /// The text is not the digest of a key. It is not shown, since it may be the key itself.
    #[display("{reason}")]
    InvalidDigest {
        /// Why it is invalid.
        reason: account::DigestError,
    },
    /// A burst is set without a rate.
    #[display("a burst requires a rate")]
    BurstWithoutRate,
    /// No part of a traffic split has a weight above zero.
    #[display("at least one weight must be above zero")]
    ZeroWeights,
    /// The text is not a host.
    #[display("{found:?} is not a host; hosts are names without a port, such as portal.example")]
    InvalidHost {
        /// The value in the text.
        found: String,
    },
    /// The text is not a method.
    #[display("{found:?} is not a method; methods are case-sensitive, such as POST")]
    InvalidMethod {
        /// The value in the text.
        found: String,
    },
    /// The text is not a header name.
    #[display("{found:?} is not a header name")]
    InvalidHeaderName {
        /// The value in the text.
        found: String,
    },
    /// A header is listed twice, perhaps in different letter cases.
    #[display("the header {name} is named twice")]
    DuplicateHeader {
        /// Its name, lower case.
        name: String,
    },
    /// A service pattern has a `*` that is not at its end.
    #[display("{found:?}: a service may have one '*', at its end")]
    MisplacedStar {
        /// The value in the text.
        found: String,
    },
    /// The text is not a path pattern.
    #[display(
        "{found:?} is not a path; it must begin with '/' or '*' and not contain '?', '#' or spaces"
    )]
    InvalidPath {
        /// The value in the text.
        found: String,
    },
    /// The text is too long.
    #[display("longer than {limit} bytes")]
    TooLong {
        /// The maximum length, in bytes.
        limit: usize,
    },
    /// The list is too long.
    #[display("more than {limit} entries")]
    TooMany {
        /// The maximum number of entries.
        limit: usize,
    },
    /// The list is empty, so the rule could never match.
    #[display("the list is empty; leave the field out to match everything")]
    EmptyList,
    /// The value exceeds that of another field.
    #[display("{found} is more than the {other} of {limit}")]
    Exceeds {
        /// The value in the text.
        found: String,
        /// The field that limits it.
        other: &'static str,
        /// The value of that field.
        limit: String,
    },
}

/// A warning about a rule that no request can reach.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize)]
#[display(
    "{file}:{line}: rule {name} is unreachable: rule {shadowed_by} at line {shadow_line} \
     matches everything that it matches"
)]
pub struct RuleWarning {
    /// The file, as the operator named it.
    pub file: String,
    /// The line of the unreachable rule.
    pub line: u64,
    /// Its name.
    pub name: name::RuleName,
    /// The earlier rule that covers it.
    pub shadowed_by: name::RuleName,
    /// The line of the earlier rule.
    pub shadow_line: u64,
}

/// Collects the faults of one document.
#[derive(Debug)]
pub(crate) struct FaultList<'a> {
    file: &'a str,
    faults: Vec<RuleFault>,
}

impl<'a> FaultList<'a> {
    pub(crate) const fn new(file: &'a str) -> Self {
        Self {
            file,
            faults: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, position: yaml::TextPosition, field: &str, reason: FaultReason) {
        self.faults.push(RuleFault {
            file: self.file.to_owned(),
            line: position.line,
            column: position.column,
            field: field.to_owned(),
            reason,
        });
    }

    pub(crate) fn finish<T>(mut self, value: T) -> Result<T, RuleFaults> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort_by_key(|fault| (fault.line, fault.column));
        Err(RuleFaults(self.faults))
    }
}
