//! The paths at which targets can be asked whether they accept requests; see
//! `docs/design/leaving-targets.md`.

use anvil_types::name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Longest path, in bytes.
const MAX_PATH_BYTES: usize = 2_048;

/// A path, with its query, at which a target can be asked whether it accepts requests.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{_0}")]
pub struct CheckPath(String);

impl CheckPath {
    /// Creates a path from `text`; returns `None` unless it is an absolute path of visible ASCII
    /// characters.
    pub fn new(text: &str) -> Option<Self> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        let valid = text.starts_with('/') && text.len() <= MAX_PATH_BYTES && visible;
        valid.then(|| Self(text.to_owned()))
    }

    /// The path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The path for each service that has one, sorted by service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckTable(Vec<(name::ServiceName, CheckPath)>);

impl CheckTable {
    /// Creates a table from paths in any order. If a service has several, the first one applies.
    pub fn new(mut paths: Vec<(name::ServiceName, CheckPath)>) -> Self {
        paths.sort_by(|a, b| a.0.cmp(&b.0));
        paths.dedup_by(|next, first| next.0 == first.0);
        Self(paths)
    }

    /// The path for targets of `service`.
    pub fn find(&self, service: &name::ServiceName) -> Option<&CheckPath> {
        let position = self.0.binary_search_by(|(known, _)| known.cmp(service));
        position.ok().map(|position| &self.0[position].1)
    }

    /// Whether no service has a path.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the paths are valid and in order, which a deserialized table may not be.
    pub(crate) fn is_valid(&self) -> bool {
        let in_order = self.0.windows(2).all(|pair| pair[0].0 < pair[1].0);
        let is_path = |path: &CheckPath| CheckPath::new(path.as_str()).is_some();
        in_order && self.0.iter().all(|(_, path)| is_path(path))
    }
}
