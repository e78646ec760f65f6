//! Names of the headers that this system defines; see `docs/OPERATIONS.md`.

/// The reserved prefix; callers and targets can't use it for other headers.
pub const PREFIX: &str = "anvil-";

/// The requested service; without the header, the first label of `Host` names it.
pub const SERVICE: &str = "anvil-service";

/// The request id, 32 hex digits; a caller that resends a request repeats its id.
pub const REQUEST_ID: &str = "anvil-request-id";

/// Time for which the caller still waits, in milliseconds; the target receives it as well.
pub const TIMEOUT: &str = "anvil-timeout-ms";

/// The token by which a target's outgoing call identifies the run that it belongs to.
pub const PARENT: &str = "anvil-parent";

/// The key of the client account that a request is sent for; the node does not pass it on.
pub const ACCOUNT_KEY: &str = "anvil-account-key";

/// The client account that a request is sent for; sent to the target.
pub const ACCOUNT_NAME: &str = "anvil-account";

/// The idempotency key of a request that must not run twice.
pub const KEY: &str = "idempotency-key";

/// Set to `1` by a target on a 503 with which it refuses a request without running it.
pub const NOT_RUN: &str = "anvil-not-run";

/// The requests a second that a target accepts from all nodes together, in each of its answers for
/// as long as that holds.
pub const TARGET_RATE: &str = "anvil-target-rate";

/// Set to `1` by a target in each answer while it is leaving.
pub const TARGET_LEAVING: &str = "anvil-target-leaving";

/// A target's load: `running,waiting,slots`, and optionally the time that work takes at present in
/// percent of the usual time.
pub const TARGET_LOAD: &str = "anvil-target-load";

/// The outcome: `answered`, `not-run` or `may-have-run`.
pub const OUTCOME: &str = "anvil-outcome";

/// Attempts dispatched for the call by its entry node.
pub const ATTEMPTS: &str = "anvil-attempts";

/// Index of the rule that applied, from zero, or `default`.
pub const RULE: &str = "anvil-rule";

/// Revision of the rules in force.
pub const REVISION: &str = "anvil-revision";

/// Whether a header is reserved by this system; `name` must be in lower case.
pub fn is_own(name: &str) -> bool {
    name.starts_with(PREFIX)
}
