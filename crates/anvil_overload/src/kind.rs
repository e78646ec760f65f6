//! Groups requests of a service that need the same dependencies; see `docs/design/shedding.md`.

use anvil_wire::call;
use serde::Serialize;
use xxhash_rust::xxh3;

/// A digest of the method and the first segment of the path.
///
/// Requests of one kind usually call the same downstream services, so the cut lines of these
/// services are stored by kind: a request that does not need an overloaded service is not refused
/// because of it.
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
