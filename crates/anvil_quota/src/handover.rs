//! Handover of the requests that a node counted for an account to the home that it has learned of.
//!
//! After all processes were killed, the new ones discover each other gradually. An account then has
//! a home in each partial view, and each home admits the whole rate until it learns of the others.
//! Each of them reports the requests it admitted to the final home, which counts those that fall
//! into its own time.

use std::time::Duration;

use anvil_types::{account, time};
use anvil_wire::quota;

use crate::recent;

/// Time after which an unanswered handover is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Number of times that a handover is sent; if the home has crashed by then, membership soon
/// removes it.
const MAX_SENDS: u8 = 10;

/// A handover that was not confirmed yet.
#[derive(Clone, Debug)]
pub struct PendingHandover {
    /// The account.
    pub account: account::AccountId,
    /// Sequence number among the handovers of this node.
    pub number: u32,
    /// The admitted requests.
    pub uses: recent::RecentUses,
    /// Time of the next send.
    pub due: time::NodeTime,
    sends: u8,
}

impl PendingHandover {
    /// A handover that is first sent at `due`.
    pub const fn new(
        account: account::AccountId,
        number: u32,
        uses: recent::RecentUses,
        due: time::NodeTime,
    ) -> Self {
        Self {
            account,
            number,
            uses,
            due,
            sends: 0,
        }
    }

    /// The message to send now; schedules the next send.
    pub fn next_message(&mut self, now: time::NodeTime) -> quota::UsageHandover {
        self.sends += 1;
        self.due = now + RESEND_INTERVAL;
        quota::UsageHandover {
            account: self.account,
            number: self.number,
            slices: self.uses.slices(now).to_vec(),
        }
    }

    /// Whether it was sent `MAX_SENDS` times.
    pub const fn is_exhausted(&self) -> bool {
        self.sends >= MAX_SENDS
    }
}
