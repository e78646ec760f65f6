//! Messages between the owners of idempotency keys; see `docs/design/at-most-once.md`.

use serde::{Deserialize, Serialize};

/// One message between an entry node and the owners of a key, or between owners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyMessage {}
