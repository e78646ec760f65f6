//! The ledger as a node that may be cut off: it asks others whether they can be reached.

use std::net::SocketAddr;

use anvil_types::{account, time};
use anvil_wire::quota;

use crate::{contact, effect, ledger};

impl ledger::QuotaLedger {
    /// Whether this node reaches the majority of the fleet; begins to ask if it is not known.
    pub(super) fn majority_contact(&mut self, now: time::NodeTime) -> contact::MajorityContact {
        let state = self.contact.state(now);
        if state != contact::MajorityContact::Unknown || self.contact.is_open() {
            return state;
        }
        let previous = self.contact.number();
        let asked = self.ring.sample(self.node, previous, contact::SAMPLE);
        let needed = self.ring.majority_of(asked.len());
        self.contact.begin(now, &asked, needed);
        self.counters.contact_checks += 1;
        if self.contact.is_open() {
            self.probes = asked;
        }
        self.contact.state(now)
    }

    /// Lets a request wait until it is known whether this node reaches the majority.
    pub(super) fn await_contact(
        &mut self,
        now: time::NodeTime,
        account: account::AccountId,
        call: u64,
    ) {
        self.entry(now, account).enqueue(call);
        if let Err(index) = self.awaiting_contact.binary_search(&account) {
            self.awaiting_contact.insert(index, account);
        }
    }

    /// Asks the nodes of a round that has begun since the last call.
    pub(super) fn send_probes(&mut self, out: &mut Vec<effect::QuotaEffect>) {
        let number = self.contact.number();
        for to in std::mem::take(&mut self.probes) {
            self.send(to, quota::QuotaMessage::ContactProbe { number }, out);
        }
    }

    pub(super) fn on_contact_ack(
        &mut self,
        now: time::NodeTime,
        from: SocketAddr,
        number: u32,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        if self.contact.on_answer(now, from, number) {
            self.contact_decided(now, out);
        }
    }

    /// Decides the requests of a round without a majority.
    pub(super) fn expire_contact(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::QuotaEffect>,
    ) {
        if self.contact.expire(now) {
            self.counters.contacts_missed += 1;
            self.contact_decided(now, out);
        }
    }

    fn contact_decided(&mut self, now: time::NodeTime, out: &mut Vec<effect::QuotaEffect>) {
        for account in std::mem::take(&mut self.awaiting_contact) {
            self.decide_waiting(now, account, out);
        }
    }
}
