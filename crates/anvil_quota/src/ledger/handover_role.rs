//! The ledger as one of several homes of an account: it hands the requests it admitted over to the
//! current home.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{account, ident, time};
use anvil_wire::quota;

use crate::{effect, handover, ledger};

/// Delay before a handover is forwarded to the next node. Nodes that each take the next one for the
/// home would otherwise send it around at network speed.
const FORWARD_DELAY: Duration = Duration::from_millis(50);

/// Time for which a confirmed handover shows that a home is alive.
const LIVE_HOME_TTL: Duration = Duration::from_secs(1);

impl ledger::QuotaLedger {
    /// Hands over the requests that this node admitted for an account, from `due` on.
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
        self.last_handover += 1;
        let pending = handover::PendingHandover::new(account, self.last_handover, uses, due);
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

    /// Sends one handover; returns whether it still needs a confirmation.
    fn send_handover(
        &mut self,
        now: time::NodeTime,
        handover: &mut handover::PendingHandover,
        out: &mut Vec<effect::QuotaEffect>,
    ) -> bool {
        if handover.is_exhausted() {
            return false;
        }
        let Some(to) = self.peer_home(handover.account) else {
            // This node is the home of the account again.
            if let Some(home) = self.homes.get_mut(handover.account) {
                home.restore_uses(now, handover.uses.slices(now));
            }
            return false;
        };
        let message = quota::QuotaMessage::Handover(handover.next_message(now));
        self.send(to.address, message, out);
        true
    }

    /// Counts the requests that another node admitted, and confirms the handover.
    pub(super) fn on_handover(
        &mut self,
        now: time::NodeTime,
        from: (ident::NodeId, SocketAddr),
        handover: &quota::UsageHandover,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        let account = handover.account;
        let Some(size) = self.size(account) else {
            return;
        };
        let number = handover.number;
        if self
            .peer_home(account)
            .is_some_and(|home| home.node == from.0)
        {
            // The sender is the home and has counted these requests.
            self.send(from.1, quota::QuotaMessage::HandoverAck { number }, out);
            return;
        }
        let home = self.prepare_home(now, account, size);
        if let Some(uses) = home.take_handover(now, size, from.0, handover) {
            let from = from.0;
            let change = effect::HomeChange::Taken {
                account,
                from,
                uses,
            };
            self.changes.push(change);
            self.revoke_ahead(account, out);
            if self.peer_home(account).is_some() {
                self.hand_over(now, account, now + FORWARD_DELAY);
            }
        }
        self.send(from.1, quota::QuotaMessage::HandoverAck { number }, out);
    }

    /// Removes a confirmed handover, and records that its home is alive.
    pub(super) fn handover_taken(&mut self, now: time::NodeTime, from: ident::NodeId, number: u32) {
        self.live_homes.insert(now, from, LIVE_HOME_TTL);
        let position = |pending: &handover::PendingHandover| pending.number == number;
        let Some(position) = self.handovers.iter().position(position) else {
            return;
        };
        let mut taken = self.handovers.swap_remove(position);
        // The confirmation may have shown that this node is the home, which counts them itself.
        if self.is_home(taken.account)
            && let Some(home) = self.homes.get_mut(taken.account)
        {
            home.restore_uses(now, taken.uses.slices(now));
        }
    }
}
