//! What may be wrong with a rule file, and where.

use anvil_types::{account, name};
use derive_more::{Display, Error, From};
use serde::{Serialize, Serializer};

use crate::yaml;

/// Everything that was found wrong with one text, in its order; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, Serialize)]
#[display("{}", Self::lines(_0))]
pub struct RuleFaults(#[error(not(source))] pub Vec<RuleFault>);

impl RuleFaults {
    fn lines(faults: &[RuleFault]) -> String {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        lines.join("\n")
    }
}

/// One thing that is wrong.
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
    /// What is wrong with it.
    #[serde(serialize_with = "as_text")]
    pub reason: FaultReason,
}

fn as_text<S>(reason: &FaultReason, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.collect_str(reason)
}

/// Why a field was refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, From)]
pub enum FaultReason {
    /// The text is no YAML.
    #[display("{message}")]
    Syntax {
        /// What the parser said.
        message: String,
    },
    /// The language has no such field here.
    #[display("unknown field; the fields here are {}", known.join(", "))]
    UnknownField {
        /// The fields that there are.
        known: &'static [&'static str],
    },
    /// A field that must be there isn't.
    #[display("the field {name} is missing")]
    MissingField {
        /// Its name.
        name: &'static str,
    },
    /// The value is of another type.
    #[display("expected {expected}, found {found}")]
    WrongType {
        /// What the field takes.
        expected: &'static str,
        /// What stands there.
        found: &'static str,
    },
    /// The word is none of those that the field takes.
    #[display("{found:?} is none of {}", known.join(", "))]
    UnknownWord {
        /// What stands there.
        found: String,
        /// The words that there are.
        known: &'static [&'static str],
    },
    /// The text can't be read as what the field takes.
    #[display("{found:?} is not {expected}")]
    Unreadable {
        /// What stands there.
        found: String,
        /// What the field takes.
        expected: &'static str,
    },
    /// The value is outside its range.
    #[display("{found} is outside {min} to {max}")]
    OutOfRange {
        /// What stands there.
        found: String,
        /// The least value accepted.
        min: String,
        /// The greatest value accepted.
        max: String,
    },
    /// The text is no name.
    #[display("{reason}")]
    #[from]
    Name {
        /// Why.
        reason: name::NameError,
    },
    /// Two rules have one name.
    #[display("the name {name} is taken by the rule at line {line}")]
    DuplicateName {
        /// The name.
        name: name::RuleName,
        /// Where its first rule stands.
        line: u64,
    },
    /// Two accounts have one name.
    #[display("the name {name} is taken by the account at line {line}")]
    DuplicateAccount {
        /// The name.
        name: name::AccountName,
        /// Where the first account of it stands.
        line: u64,
    },
    /// Two accounts hold one key.
    #[display("the account {name} at line {line} holds the same key")]
    SharedKey {
        /// The account that stands first.
        name: name::AccountName,
        /// Where it stands.
        line: u64,
    },
    /// A key is not given by its digest; what stands there is not shown.
    #[display("{reason}")]
    Digest {
        /// What is expected.
        reason: account::DigestError,
    },
    /// A burst is stated without a rate.
    #[display("a burst needs a rate beside it")]
    BurstAlone,
    /// No part of a split has a weight above zero.
    #[display("no weight is above zero, so no request could be sent anywhere")]
    NoWeight,
    /// The text is no host.
    #[display("{found:?} is no host; hosts are names without a port, such as portal.example")]
    Host {
        /// What stands there.
        found: String,
    },
    /// The text is no method.
    #[display("{found:?} is no method; methods are case-sensitive, such as POST")]
    Method {
        /// What stands there.
        found: String,
    },
    /// The text is no header name.
    #[display("{found:?} is no header name")]
    HeaderName {
        /// What stands there.
        found: String,
    },
    /// One header is named twice, perhaps in different letter cases.
    #[display("the header {name} is named twice")]
    DuplicateHeader {
        /// Its name, lower case.
        name: String,
    },
    /// A `*` stands where only the end may have one.
    #[display("{found:?}: a service takes one '*', at its end")]
    StarPlace {
        /// What stands there.
        found: String,
    },
    /// The text is no path.
    #[display("{found:?} is no path; it begins with '/' or '*' and holds no '?', '#' or space")]
    Path {
        /// What stands there.
        found: String,
    },
    /// The text is too long.
    #[display("longer than {limit} bytes")]
    TooLong {
        /// The greatest length, in bytes.
        limit: usize,
    },
    /// The list is too long.
    #[display("more than {limit} entries")]
    TooMany {
        /// The greatest number of entries.
        limit: usize,
    },
    /// The list holds nothing, so the rule could never match.
    #[display("the list is empty; leave the field out to match everything")]
    EmptyList,
    /// One field contradicts another.
    #[display("{found} is more than the {other} of {limit}")]
    Exceeds {
        /// What stands there.
        found: String,
        /// The field that bounds it.
        other: &'static str,
        /// Its value.
        limit: String,
    },
}

/// A rule that no request ever reaches.
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
    /// The earlier rule.
    pub shadowed_by: name::RuleName,
    /// The line of the earlier rule.
    pub shadow_line: u64,
}

/// Collects the faults of one text.
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

    pub(crate) fn add(&mut self, place: yaml::TextPosition, field: &str, reason: FaultReason) {
        self.faults.push(RuleFault {
            file: self.file.to_owned(),
            line: place.line,
            column: place.column,
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
