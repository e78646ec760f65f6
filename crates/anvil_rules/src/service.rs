//! Service patterns.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::table;

/// A pattern that matches one service or all services with a prefix.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServicePattern {
    /// The service of this name.
    #[display("{_0}")]
    Exact(String),
    /// Services whose names begin with this text; the empty text matches all.
    #[display("{_0}*")]
    Prefix(String),
}

impl ServicePattern {
    /// Whether the pattern matches `service`.
    pub fn matches(&self, service: &str) -> bool {
        match self {
            Self::Exact(name) => name == service,
            Self::Prefix(prefix) => service.starts_with(prefix.as_str()),
        }
    }

    /// The key of the pattern in an index.
    pub(crate) fn key(&self) -> table::TableKey<'_> {
        match self {
            Self::Exact(name) => table::TableKey::Exact(name),
            Self::Prefix(prefix) => table::TableKey::Prefix(prefix),
        }
    }

    /// Whether this pattern matches every service that `other` matches.
    pub fn covers(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Exact(own), Self::Exact(name)) => own == name,
            (Self::Exact(_), Self::Prefix(_)) => false,
            (Self::Prefix(own), Self::Exact(text) | Self::Prefix(text)) => {
                text.starts_with(own.as_str())
            }
        }
    }
}
