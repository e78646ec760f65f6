//! How the nodes of callers share the rate of a target; see `docs/design/named-rates.md`.

use std::time::Duration;

use anvil_types::{ident, sorted, time};
use serde::Serialize;

/// Longest pause that a node of callers is given: a limit that was lifted meanwhile is noticed with
/// the next request.
pub const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Time for which a node counts as a sender after its latest call, longer than any pause.
const SENDER_TTL: Duration = Duration::from_secs(12);

/// The nodes that send to a target with a named rate.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SenderCount {
    #[serde(skip)]
    senders: sorted::SortedTable<ident::NodeId, time::NodeTime>,
    #[serde(skip)]
    pruned_at: time::NodeTime,
}

impl SenderCount {
    /// Records a call from `node`, admitted or not.
    pub fn record(&mut self, now: time::NodeTime, node: ident::NodeId) {
        self.senders.insert(node, now);
        if now.since(self.pruned_at) >= SENDER_TTL / 4 {
            self.pruned_at = now;
            let gone = self.senders.keys_where(|at| now.since(*at) > SENDER_TTL);
            for node in gone {
                self.senders.remove(node);
            }
        }
    }

    /// Forgets all senders.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// How long a node should send nothing more, so that all of them together keep to one request
    /// in `interval`. `used` is the share of the tokens that are used up: senders need no pause
    /// while tokens are left over.
    pub fn pause(&self, interval: Duration, used: f64) -> Duration {
        let senders = u32::try_from(self.senders.len()).unwrap_or(u32::MAX);
        let turn = interval.saturating_mul(senders).min(MAX_PAUSE);
        turn.mul_f64(used.clamp(0.0, 1.0))
    }
}
