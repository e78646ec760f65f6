//! Which paths a rule speaks of.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::table;

/// What matches any run of characters within one segment.
const STAR: u8 = b'*';

/// What separates segments.
const SLASH: u8 = b'/';

/// One path, or all of one form.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PathPattern {
    /// This path.
    #[display("{_0}")]
    Exact(String),
    /// Paths that begin with this text; written with `**` at its end.
    #[display("{_0}**")]
    Prefix(String),
    /// Paths of this form: `*` stands for any run of characters without `/`, `**` for any run.
    #[display("{_0}")]
    Glob(String),
}

impl PathPattern {
    /// Reads a pattern as operators write it.
    pub fn new(text: &str) -> Self {
        match text.find('*') {
            None => Self::Exact(text.to_owned()),
            Some(start) if &text[start..] == "**" => Self::Prefix(text[..start].to_owned()),
            Some(_) => Self::Glob(text.to_owned()),
        }
    }

    /// Tells whether the pattern matches `path`, which comes without its query.
    pub fn matches(&self, path: &str) -> bool {
        match self {
            Self::Exact(text) => text == path,
            Self::Prefix(prefix) => path.starts_with(prefix.as_str()),
            Self::Glob(glob) => glob_matches(glob.as_bytes(), path.as_bytes()),
        }
    }

    /// The key under which the pattern stands in an index.
    pub(crate) fn key(&self) -> table::TableKey<'_> {
        match self {
            Self::Exact(text) => table::TableKey::Exact(text),
            Self::Prefix(_) | Self::Glob(_) => table::TableKey::Prefix(self.literal_prefix()),
        }
    }

    /// The text that every matching path begins with.
    pub fn literal_prefix(&self) -> &str {
        match self {
            Self::Exact(text) | Self::Prefix(text) => text,
            Self::Glob(glob) => glob.split('*').next().unwrap_or_default(),
        }
    }

    /// Tells whether every path that `other` matches is surely matched by this pattern too.
    ///
    /// Two different globs are never compared, so a `false` may be wrong and a `true` never is.
    pub fn covers(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Prefix(own), _) => other.literal_prefix().starts_with(own.as_str()),
            (_, Self::Exact(path)) => self.matches(path),
            _ => self == other,
        }
    }
}

/// Matches in time linear in the product of both lengths: only the last `*` and the last `**` are
/// ever returned to, so no glob makes a node backtrack exponentially.
fn glob_matches(glob: &[u8], path: &[u8]) -> bool {
    let mut cursor = GlobCursor::new(glob, path);
    loop {
        if let Some(verdict) = cursor.step() {
            return verdict;
        }
    }
}

/// How far a glob and a path have been compared.
struct GlobCursor<'a> {
    glob: &'a [u8],
    path: &'a [u8],
    /// Behind the last `*` since the last `**`.
    single: Option<ResumePoint<'a>>,
    /// Behind the last `**`.
    double: Option<ResumePoint<'a>>,
}

/// Where to go on when what follows a star doesn't fit: the star takes in one byte more.
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
            single: None,
            double: None,
        }
    }

    /// Compares the next byte or star; tells the verdict once it is known.
    fn step(&mut self) -> Option<bool> {
        match (self.glob, self.path) {
            ([STAR, STAR, rest @ ..], _) => {
                self.glob = rest;
                self.single = None;
                self.double = Some(self.here());
                None
            }
            ([STAR, rest @ ..], _) => {
                self.glob = rest;
                self.single = Some(self.here());
                None
            }
            ([], []) => Some(true),
            ([wanted, glob @ ..], [found, path @ ..]) if wanted == found => {
                self.glob = glob;
                self.path = path;
                None
            }
            _ => self.resume(),
        }
    }

    const fn here(&self) -> ResumePoint<'a> {
        ResumePoint {
            glob: self.glob,
            path: self.path,
        }
    }

    /// Returns to the last star that can take in one byte more; where there is none, nothing fits.
    fn resume(&mut self) -> Option<bool> {
        let within_segment = |point: ResumePoint<'a>| match point.path {
            [SLASH, ..] => None,
            _ => point.further(),
        };
        self.single = self.single.and_then(within_segment);
        if self.single.is_none() {
            self.double = self.double.and_then(ResumePoint::further);
        }
        let Some(point) = self.single.or(self.double) else {
            return Some(false);
        };
        self.glob = point.glob;
        self.path = point.path;
        None
    }
}

impl ResumePoint<'_> {
    /// The same point with one byte of the path taken in; none at the end of the path.
    fn further(self) -> Option<Self> {
        let (_, path) = self.path.split_first()?;
        let glob = self.glob;
        Some(Self { glob, path })
    }
}
