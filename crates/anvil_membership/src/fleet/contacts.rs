//! Contact entries in the store: joining through them, claiming a vacant slot, renewing its lease.

use anvil_types::{ident, store, time};
use anvil_wire::gossip;

use crate::{contact, effect, fleet, keys, member, store_requests};

/// Maximum number of contacts read by one request; 14 zones have 42.
const LIST_LIMIT: u32 = 256;

/// Number of contacts that a node joins through at once.
const JOIN_CONTACTS: usize = 3;

impl fleet::FleetState {
    /// Runs the tasks of the contact entries that are due.
    pub(super) fn contacts_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if !self.config.store {
            return;
        }
        if now >= self.contacts.list_at {
            self.list_contacts(now, out);
        }
        if self.contacts.held.is_some_and(|held| held.renew_at <= now) {
            self.renew_lease(now, out);
        }
        if now >= self.contacts.vacancy_check_at {
            self.check_vacancies(now, out);
        }
    }

    /// Handles the outcome of a request about contacts.
    pub(super) fn on_contact_outcome(
        &mut self,
        now: time::NodeTime,
        purpose: store_requests::RequestPurpose,
        outcome: store::StoreOutcome,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        match (purpose, outcome) {
            (
                store_requests::RequestPurpose::ListContacts,
                store::StoreOutcome::Done(store::StoreReply::Listed { entries, .. }),
            ) => self.on_contacts_listed(now, &entries, out),
            (store_requests::RequestPurpose::ListContacts, _) => {
                let pause = self.contacts.backoff.next_pause(self.choice.any());
                self.contacts.list_at = now + pause;
            }
            (
                store_requests::RequestPurpose::GrantLease { slot },
                store::StoreOutcome::Done(store::StoreReply::Granted { lease }),
            ) => self.claim_slot(now, slot, lease, store::SwapCondition::Absent, out),
            (
                store_requests::RequestPurpose::ClaimSlot { slot, lease },
                store::StoreOutcome::Done(store::StoreReply::Swapped { version }),
            ) => self.on_slot_claimed(now, slot, lease, version, out),
            (
                store_requests::RequestPurpose::ClaimSlot { slot, lease },
                store::StoreOutcome::Conflict { current },
            ) => {
                self.on_slot_conflict(now, (slot, lease), current.as_ref(), out);
            }
            (
                store_requests::RequestPurpose::RenewLease,
                store::StoreOutcome::Done(store::StoreReply::Lapsed),
            ) => {
                self.on_lease_lapsed(now, out);
            }
            // If the store is unavailable, the next list, renewal or check tries again.
            _ => {}
        }
    }

    /// Removes this node's contact entry before a planned stop.
    pub(super) fn release_slot(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        if let Some(held) = self.contacts.held.take() {
            let key = keys::contact(&self.zone, held.slot);
            let version = held.version;
            let request = store::StoreRequest::Remove { key, version };
            self.request_store(
                now,
                store_requests::RequestPurpose::ReleaseSlot,
                request,
                out,
            );
        }
    }

    fn list_contacts(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        // The outcome or the timeout of the request sets the actual time.
        self.contacts.list_at = now + contact::LIST_INTERVAL * 2;
        let request = store::StoreRequest::List {
            prefix: store::StoreKey::new(keys::CONTACTS),
            after: None,
            limit: LIST_LIMIT,
        };
        self.request_store(
            now,
            store_requests::RequestPurpose::ListContacts,
            request,
            out,
        );
    }

    /// Joins through contacts that this node does not know to be alive.
    ///
    /// A starting node finds the fleet in this way. A running one finds the other side of a
    /// partition that lasted for longer than departed members are remembered.
    fn on_contacts_listed(
        &mut self,
        now: time::NodeTime,
        entries: &[store::StoreEntry],
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.contacts.backoff.reset();
        self.contacts.listed_at = Some(now);
        let decoded = entries.iter();
        let decoded = decoded.filter_map(|entry| gossip::ContactEntry::from_value(&entry.value));
        let mut unknown: Vec<_> = decoded
            .filter(|contact| {
                let known = self.table.get(contact.node);
                known.is_none_or(|record| record.state == member::MemberState::Gone)
            })
            .collect();
        self.choice.shuffle(&mut unknown);
        self.contacts.has_unknown_contacts = !unknown.is_empty();
        for contact in unknown.iter().take(JOIN_CONTACTS) {
            self.join_through(contact.udp, out);
        }
        // After joining, only contacts list again, so the number of reads depends on the number of
        // zones and not of nodes.
        self.contacts.lists += 1;
        let interval = match (self.joined, unknown.is_empty()) {
            (true, _) => self.contacts.list_interval(),
            (false, true) if !self.roster.is_compared() => contact::ALONE_LIST_INTERVAL,
            (false, true) => self.contacts.list_interval(),
            (false, false) => contact::VACANCY_CHECK_INTERVAL,
        };
        self.contacts.list_at = now + interval + self.choice.span(interval / 4);
        if self.joined && self.contacts.held.is_none() {
            self.contacts.list_at = time::NodeTime(u64::MAX);
        }
        if unknown.is_empty() && !self.joined {
            self.roster.expect_empty_list(now);
            self.read_log_soon(now);
        } else {
            self.roster.expect_others(now);
        }
    }

    fn renew_lease(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let Some(held) = &mut self.contacts.held else {
            return;
        };
        held.renew_at = now + contact::RENEW_INTERVAL;
        let lease = held.lease;
        let request = store::StoreRequest::Renew { lease };
        self.request_store(
            now,
            store_requests::RequestPurpose::RenewLease,
            request,
            out,
        );
    }

    /// Tries to claim a slot of this node's zone that has been vacant for long enough.
    fn check_vacancies(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let jitter = self.choice.span(contact::VACANCY_CHECK_INTERVAL / 4);
        self.contacts.vacancy_check_at = now + contact::VACANCY_CHECK_INTERVAL + jitter;
        if self.contacts.held.is_some() || self.is_leaving() {
            return;
        }
        let Some(listed_at) = self.contacts.listed_at else {
            return;
        };
        // When many nodes start with an empty store, the first ones claim the slots and the others
        // find them in a newer list. Without the new list, each node would request a lease.
        if !self.joined && now.since(listed_at) > self.config.max_list_age {
            self.list_contacts(now, out);
            self.contacts.vacancy_check_at = now + self.config.max_list_age / 2;
            return;
        }
        // If the list names unknown contacts, the fleet exists and is joined first.
        if !self.joined && self.contacts.has_unknown_contacts {
            return;
        }
        for slot in 0..contact::CONTACT_SLOTS {
            if self.slot_is_held(slot) {
                self.contacts.vacant_since[usize::from(slot)] = None;
                continue;
            }
            let since = *self.contacts.vacant_since[usize::from(slot)].get_or_insert(now);
            let wait = contact::CANDIDATE_WAIT * self.candidates_before(slot);
            if now.since(since) >= wait {
                self.request_slot_lease(now, slot, out);
                return;
            }
        }
    }

    fn slot_is_held(&self, slot: u8) -> bool {
        let mut members = self.table.all().iter();
        members.any(|m| {
            m.state.is_live() && m.facts.contact == Some(slot) && m.facts.zone == self.zone
        })
    }

    /// Number of members of the zone that precede this node as candidates for `slot`.
    ///
    /// Every node computes the same order, so a vacant slot costs the store one lease grant instead
    /// of one for each node of the zone.
    fn candidates_before(&self, slot: u8) -> u32 {
        let order = |node: ident::NodeId| node.0.rotate_left(u32::from(slot) * 21);
        let own = order(self.local);
        let members = self.table.all().iter().filter(|m| {
            m.state == member::MemberState::Alive
                && m.facts.zone == self.zone
                && m.facts.contact.is_none()
        });
        let before = members.filter(|m| !m.facts.leaving && order(m.node) < own);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Requests a lease for the entry in `slot`, the first step of claiming it.
    fn request_slot_lease(
        &mut self,
        now: time::NodeTime,
        slot: u8,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let lease = contact::CONTACT_LEASE;
        let request = store::StoreRequest::Grant { lease };
        self.request_store(
            now,
            store_requests::RequestPurpose::GrantLease { slot },
            request,
            out,
        );
    }

    fn claim_slot(
        &mut self,
        now: time::NodeTime,
        slot: u8,
        lease: store::LeaseId,
        condition: store::SwapCondition,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let entry = gossip::ContactEntry {
            node: self.local,
            udp: self.udp,
        };
        let Some(value) = entry.to_value() else {
            return;
        };
        let request = store::StoreRequest::Swap {
            key: keys::contact(&self.zone, slot),
            condition,
            value,
            lease: Some(lease),
        };
        self.request_store(
            now,
            store_requests::RequestPurpose::ClaimSlot { slot, lease },
            request,
            out,
        );
    }

    fn on_slot_claimed(
        &mut self,
        now: time::NodeTime,
        slot: u8,
        lease: store::LeaseId,
        version: store::StoreVersion,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.contacts.held = Some(contact::HeldSlot {
            slot,
            lease,
            version,
            renew_at: now + contact::RENEW_INTERVAL,
        });
        self.contacts.lists = 0;
        self.contacts.list_at = now + self.contacts.list_interval();
        self.read_log_soon(now);
        self.announce_slot(now, Some(slot));
        out.push(effect::FleetEffect::Report(effect::FleetReport::Contact {
            slot,
        }));
    }

    /// Joins through the holder of a slot that this node tried to claim, since it may belong to an
    /// unknown part of the fleet.
    ///
    /// If another program writes to the contact keys without a lease, every slot stays occupied
    /// and no starting node finds the fleet. A value that cannot be decoded names no node, so it is
    /// replaced, on the condition that it has not changed since it was read.
    fn on_slot_conflict(
        &mut self,
        now: time::NodeTime,
        (slot, lease): (u8, store::LeaseId),
        current: Option<&store::StoreEntry>,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.contacts.vacant_since[usize::from(slot)] = None;
        let Some(current) = current else {
            return;
        };
        match gossip::ContactEntry::from_value(&current.value) {
            Some(entry) if entry.node != self.local => self.join_through(entry.udp, out),
            Some(_) => {}
            None => {
                let condition = store::SwapCondition::At(current.version);
                self.claim_slot(now, slot, lease, condition, out);
            }
        }
    }

    /// Stops acting as a contact, and tries to claim the slot again.
    ///
    /// After a pause of this process, another node may hold the slot by now. If the store lost the
    /// lease, the slot is vacant.
    fn on_lease_lapsed(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let lapsed = self.contacts.held.take();
        self.announce_slot(now, None);
        out.push(effect::FleetEffect::Report(
            effect::FleetReport::ContactLapsed,
        ));
        if let Some(slot) = lapsed.map(|held| held.slot).filter(|_| !self.is_leaving()) {
            self.request_slot_lease(now, slot, out);
        }
    }

    /// Renews the lease of this node's slot at the next wake-up, since the store may have lost it.
    pub(super) fn renew_lease_soon(&mut self, now: time::NodeTime) {
        if let Some(held) = &mut self.contacts.held {
            held.renew_at = now;
        }
    }

    /// Makes all contacts renew their leases, after the store lost its history.
    ///
    /// A store that was restored from an older copy has lost the leases, so a node that starts
    /// finds no contacts until their next renewals, seconds later. Nodes that watch detect the loss
    /// immediately and notify the contacts.
    pub(super) fn request_lease_checks(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.renew_lease_soon(now);
        let members = self.table.all().iter();
        let holders = members
            .filter(|m| m.state.is_live() && m.node != self.local && m.facts.contact.is_some());
        let holders: Vec<_> = holders.map(|m| m.facts.udp).collect();
        for to in holders {
            self.send(to, gossip::GossipKind::CheckContactLease, Vec::new(), out);
        }
    }

    fn announce_slot(&mut self, now: time::NodeTime, slot: Option<u8>) {
        let Some(record) = self.table.get(self.local) else {
            return;
        };
        let mut facts = record.facts.clone();
        facts.contact = slot;
        self.incarnation = self.incarnation.saturating_add(1);
        self.announce(facts, now);
    }
}
