//! Which requests of a service are alike; see `docs/design/shedding.md`.

use anvil_wire::call;
use serde::Serialize;
use xxhash_rust::xxh3;

/// A digest of the method and the first segment of the path.
///
/// Requests of one kind need the same services below, as a rule, so a cut line from below is kept
/// for each kind: a request that needs no sick service is not refused for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct CallKind(pub u64);

impl CallKind {
    /// The kind of `request`.
    pub fn of(request: &call::CallRequest) -> Self {
        let path = request.path.trim_start_matches('/');
        let end = path.find(['/', '?']).unwrap_or(path.len());
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(request.method.as_bytes());
        hasher.update(&[0]);
        hasher.update(&path.as_bytes()[..end]);
        Self(hasher.digest())
    }
}
