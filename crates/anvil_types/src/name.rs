//! Validated names of client accounts, services, availability zones, regions and rules.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes; it keeps membership messages small.
pub const MAX_NAME_BYTES: usize = 63;

/// Why a name was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum NameError {
    /// The name is empty.
    #[display("a name must not be empty")]
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[display("a name must not be longer than {MAX_NAME_BYTES} bytes")]
    Long,
    /// The name contains a character outside `a-z`, `0-9` and `-`.
    #[display("a name holds only a-z, 0-9 and '-', not {found:?}")]
    Character {
        /// The first such character.
        found: char,
    },
}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::Long);
    }
    let allowed = |c: &char| c.is_ascii_lowercase() || c.is_ascii_digit() || *c == '-';
    match text.chars().find(|c| !allowed(c)) {
        Some(found) => Err(NameError::Character { found }),
        None => Ok(()),
    }
}

macro_rules! checked_name {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
        )]
        #[serde(try_from = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text`; fails with the first error found.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }
    };
}

checked_name! {
    /// The name of one of the operators' rules, such as `submit-claim`.
    RuleName
}
checked_name! {
    /// The name of a client account, such as `defensa-consumidor`.
    AccountName
}
checked_name! {
    /// The name of a service, such as `mesa-entradas`.
    ServiceName
}
checked_name! {
    /// The name of an availability zone, such as `ar-centro-a`.
    ZoneName
}
checked_name! {
    /// The name of a region, such as `ar-centro`.
    RegionName
}

impl Default for ServiceName {
    /// The empty name, for a request whose caller leaves the choice of the service to the rules.
    ///
    /// No target can announce an empty name, so a request that no rule routes reaches no target.
    fn default() -> Self {
        Self(Arc::from(""))
    }
}
