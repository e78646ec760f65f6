//! Path patterns.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::table;

/// The wildcard for any characters within one segment.
const STAR: u8 = b'*';

/// The separator of segments.
const SLASH: u8 = b'/';

/// A pattern that matches one path or a set of paths.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PathPattern {
    /// Exactly this path.
    #[display("{_0}")]
    Exact(String),
    /// Paths that begin with this text; written as the text followed by `**`.
    #[display("{_0}**")]
    Prefix(String),
    /// Paths of this form: `*` matches any characters except `/`, and `**` any characters.
    #[display("{_0}")]
    Glob(String),
}

impl PathPattern {
    /// Parses a pattern as written in a rule.
    pub fn new(text: &str) -> Self {
        match text.find('*') {
            None => Self::Exact(text.to_owned()),
            Some(start) if &text[start..] == "**" => Self::Prefix(text[..start].to_owned()),
            Some(_) => Self::Glob(text.to_owned()),
        }
    }

    /// Whether the pattern matches `path`, which must not contain a query.
    pub fn matches(&self, path: &str) -> bool {
        match self {
            Self::Exact(text) => text == path,
            Self::Prefix(prefix) => path.starts_with(prefix.as_str()),
            Self::Glob(glob) => glob_matches(glob.as_bytes(), path.as_bytes()),
        }
    }

    /// The key of the pattern in an index.
    pub(crate) fn key(&self) -> table::TableKey<'_> {
        match self {
            Self::Exact(text) => table::TableKey::Exact(text),
            Self::Prefix(_) | Self::Glob(_) => table::TableKey::Prefix(self.literal_prefix()),
        }
    }

    /// The literal text that every matching path begins with.
    pub fn literal_prefix(&self) -> &str {
        match self {
            Self::Exact(text) | Self::Prefix(text) => text,
            Self::Glob(glob) => glob.split('*').next().unwrap_or_default(),
        }
    }

    /// Whether this pattern provably matches every path that `other` matches.
    ///
    /// Two different globs are not compared, so a `false` may be wrong; a `true` is always right.
    pub fn covers(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Prefix(own), _) => other.literal_prefix().starts_with(own.as_str()),
            (_, Self::Exact(path)) => self.matches(path),
            _ => self == other,
        }
    }
}

/// Matches a glob in time proportional to the product of both lengths: it backtracks only to the
/// last `*` and the last `**`, so no glob causes exponential backtracking.
fn glob_matches(glob: &[u8], path: &[u8]) -> bool {
    let mut cursor = GlobCursor::new(glob, path);
    loop {
        if let Some(is_match) = cursor.step() {
            return is_match;
        }
    }
}

/// The rest of a glob and of a path that are still to be compared.
struct GlobCursor<'a> {
    glob: &'a [u8],
    path: &'a [u8],
    /// Where to resume after the last `*` since the last `**`.
    after_star: Option<ResumePoint<'a>>,
    /// Where to resume after the last `**`.
    after_double_star: Option<ResumePoint<'a>>,
}

/// Where matching resumes if the glob after a star doesn't match: the star consumes one more byte.
#[derive(Clone, Copy)]
struct ResumePoint<'a> {
    glob: &'a [u8],
    path: &'a [u8],
}

impl<'a> GlobCursor<'a> {
    const fn new(glob: &'a [u8], path: &'a [u8]) -> Self {
        Self {
            glob,
            path,
            after_star: None,
            after_double_star: None,
        }
    }

    /// Processes the next byte or star; returns the result once it is known.
    fn step(&mut self) -> Option<bool> {
        match (self.glob, self.path) {
            ([STAR, STAR, rest @ ..], _) => {
                self.glob = rest;
                self.after_star = None;
                self.after_double_star = Some(self.resume_point());
                None
            }
            ([STAR, rest @ ..], _) => {
                self.glob = rest;
                self.after_star = Some(self.resume_point());
                None
            }
            ([], []) => Some(true),
            ([expected, glob @ ..], [found, path @ ..]) if expected == found => {
                self.glob = glob;
                self.path = path;
                None
            }
            _ => self.resume(),
        }
    }

    const fn resume_point(&self) -> ResumePoint<'a> {
        ResumePoint {
            glob: self.glob,
            path: self.path,
        }
    }

    /// Backtracks to the last star that can consume one more byte; without one, the match fails.
    fn resume(&mut self) -> Option<bool> {
        let advance_in_segment = |point: ResumePoint<'a>| match point.path {
            [SLASH, ..] => None,
            _ => point.advanced(),
        };
        self.after_star = self.after_star.and_then(advance_in_segment);
        if self.after_star.is_none() {
            self.after_double_star = self.after_double_star.and_then(ResumePoint::advanced);
        }
        let Some(point) = self.after_star.or(self.after_double_star) else {
            return Some(false);
        };
        self.glob = point.glob;
        self.path = point.path;
        None
    }
}

impl ResumePoint<'_> {
    /// The same point after one more byte of the path, or `None` at the end of the path.
    fn advanced(self) -> Option<Self> {
        let (_, path) = self.path.split_first()?;
        let glob = self.glob;
        Some(Self { glob, path })
    }
}
