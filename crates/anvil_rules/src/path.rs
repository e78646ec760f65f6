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
            Self::Prefix(_) | Self::Glob(_) => table::TableKey::Prefix(self.literal()),
        }
    }

    /// The text that every matching path begins with.
    pub fn literal(&self) -> &str {
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
            (Self::Prefix(own), _) => other.literal().starts_with(own.as_str()),
            (_, Self::Exact(path)) => self.matches(path),
            _ => self == other,
        }
    }
}

/// A place to which matching returns when what followed a star failed.
#[derive(Clone, Copy)]
struct ResumePoint {
    /// The byte of the glob behind the star.
    glob: usize,
    /// The byte of the path that the star takes in next.
    path: usize,
}

/// Matches in time linear in the product of both lengths: only the last `*` and the last `**` are
/// ever returned to, so no glob makes a node backtrack exponentially.
fn glob_matches(glob: &[u8], path: &[u8]) -> bool {
    let mut glob_at = 0;
    let mut path_at = 0;
    let mut single: Option<ResumePoint> = None;
    let mut double: Option<ResumePoint> = None;
    loop {
        let rest = &glob[glob_at..];
        if rest.starts_with(&[STAR, STAR]) {
            glob_at += 2;
            single = None;
            double = Some(ResumePoint {
                glob: glob_at,
                path: path_at,
            });
            continue;
        }
        if rest.first() == Some(&STAR) {
            glob_at += 1;
            single = Some(ResumePoint {
                glob: glob_at,
                path: path_at,
            });
            continue;
        }
        if path_at == path.len() && rest.is_empty() {
            return true;
        }
        if path_at < path.len() && rest.first() == Some(&path[path_at]) {
            glob_at += 1;
            path_at += 1;
            continue;
        }
        let resumed = resume_single(&mut single, path).or_else(|| {
            single = None;
            resume_double(&mut double, path)
        });
        let Some(point) = resumed else {
            return false;
        };
        glob_at = point.glob;
        path_at = point.path;
    }
}

fn resume_single(point: &mut Option<ResumePoint>, path: &[u8]) -> Option<ResumePoint> {
    let kept = point.as_mut()?;
    let byte = path.get(kept.path)?;
    if *byte == SLASH {
        return None;
    }
    kept.path += 1;
    Some(*kept)
}

fn resume_double(point: &mut Option<ResumePoint>, path: &[u8]) -> Option<ResumePoint> {
    let kept = point.as_mut()?;
    path.get(kept.path)?;
    kept.path += 1;
    Some(*kept)
}
