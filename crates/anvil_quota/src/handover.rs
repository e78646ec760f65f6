//! What a node that counted an account hands over to the home that it learned of.
//!
//! Failure: all processes were killed, and each new one finds the others bit by bit. Symptom: an account
//! has a home for each partial view, and each lets in the whole rate until it learns of the others. What it
//! let in meanwhile is told to the home, which counts as much of it as falls into its own time.

use std::time::Duration;

use anvil_types::{account, time};
use anvil_wire::quota;

use crate::recent;

/// Time after which a handover without an answer is sent again.
const RESEND: Duration = Duration::from_millis(100);

/// Times that a handover is sent; a home that is gone by then is missed by membership soon.
const SENDS: u8 = 10;

/// One handover that is not taken yet.
#[derive(Clone, Debug)]
pub struct PendingHandover {
    /// The account.
    pub account: account::AccountId,
    /// Counts this node's handovers.
    pub number: u32,
    /// What was let in.
    pub uses: recent::RecentUses,
    /// When it is sent next.
    pub due: time::NodeTime,
    sends: u8,
}

impl PendingHandover {
    /// A handover to be sent at `due` first.
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

    /// The message to send now.
    pub fn next_message(&mut self, now: time::NodeTime) -> quota::UsageHandover {
        self.sends += 1;
        self.due = now + RESEND;
        quota::UsageHandover {
            account: self.account,
            number: self.number,
            slices: self.uses.slices(now).to_vec(),
        }
    }

    /// Whether it was sent often enough.
    pub const fn is_exhausted(&self) -> bool {
        self.sends >= SENDS
    }
}
