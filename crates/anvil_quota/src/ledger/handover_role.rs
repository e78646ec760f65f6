//! The ledger as one of several homes of an account: what it let in is told to the one that counts.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{account, ident, time};
use anvil_wire::quota;

use crate::{effect, handover, ledger};

/// Pause before a handover goes on to the next node: two nodes that each take the other for the home would
/// send it to and fro as fast as the network is.
const FORWARD_PAUSE: Duration = Duration::from_millis(50);

/// How long a confirmed handover shows that a home lives.
const HEARD_SPAN: Duration = Duration::from_secs(1);

impl ledger::QuotaLedger {
    /// Hands over what this node let in for an account, from `due` on.
    pub(super) fn hand_over(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        due: time::NodeTime,
    ) {
        let home = self.homes.get_mut(account);
        let Some(uses) = home.and_then(|home| home.take_uses(now)) else {
            return;
        };
        self.handed += 1;
        let pending = handover::PendingHandover::new(account, self.handed, uses, due);
        self.handovers.push(pending);
    }

    /// Sends the handovers that are due.
    pub(super) fn send_handovers(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        let mut pending = std::mem::take(&mut self.handovers);
        pending.retain_mut(|handover| match handover.due <= now {
            true => self.send_handover(now, handover, out),
            false => true,
        });
        self.handovers = pending;
    }

    /// Sends one handover; tells whether it is still to be answered.
    fn send_handover(
        &mut self,
        now: time::NodeTime,
        handover: &mut handover::PendingHandover,
        out: &mut Vec<effect::QuotaEffect>,
    ) -> bool {
        if handover.is_exhausted() {
            return false;
        }
        let Some(to) = self.other_home(handover.account) else {
            // This node counts the account again.
            if let Some(home) = self.homes.get_mut(handover.account) {
                home.restore_uses(now, handover.uses.slices(now));
            }
            return false;
        };
        let message = quota::QuotaMessage::Handover(handover.next_message(now));
        self.send(to.address, message, out);
        true
    }

    /// Counts what another node let in, and answers it.
    pub(super) fn on_handover(
        &mut self,
        now: time::NodeTime,
        from: (ident::NodeId, SocketAddr),
        told: &quota::UsageHandover,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        let account = told.account;
        let Some(size) = self.size(account) else {
            return;
        };
        let home = self.own_home(now, account, size);
        if let Some(uses) = home.take_handover(now, size, from.0, told) {
            let from = from.0;
            let change = effect::HomeChange::Taken {
                account,
                from,
                uses,
            };
            self.changes.push(change);
            self.revoke_ahead(account, out);
            if self.other_home(account).is_some() {
                self.hand_over(now, account, now + FORWARD_PAUSE);
            }
        }
        let number = told.number;
        self.send(from.1, quota::QuotaMessage::HandoverAck { number }, out);
    }

    /// Forgets a handover that was taken, and notes that its home lives.
    pub(super) fn handover_taken(&mut self, now: time::NodeTime, from: ident::NodeId, number: u32) {
        self.handovers.retain(|pending| pending.number != number);
        self.heard.insert(now, from, HEARD_SPAN);
    }
}
