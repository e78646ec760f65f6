//! Contact entries in the store: joining through them, taking a vacant slot, keeping it.

use anvil_types::{ident, store, time};
use anvil_wire::gossip;

use crate::{contact, effect, fleet, keys, member, store_requests};

/// Most contacts read at once; 14 zones have 42.
const LIST_LIMIT: u32 = 256;

/// Contacts that a newcomer asks at once.
const JOIN_CONTACTS: usize = 3;

impl fleet::FleetState {
    /// Does what the contact entries have due.
    pub(super) fn contacts_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if !self.config.store {
            return;
        }
        if now >= self.contacts.list_at {
            self.find_contacts(now, out);
        }
        if self.contacts.held.is_some_and(|held| held.renew_at <= now) {
            self.renew_contact(now, out);
        }
        if now >= self.contacts.vacancy_check_at {
            self.look_for_vacancy(now, out);
        }
    }

    /// Takes the outcome of a question about contacts.
    pub(super) fn on_contact_answer(
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
            ) => self.found_contacts(now, &entries, out),
            (store_requests::RequestPurpose::ListContacts, _) => {
                let pause = self.contacts.backoff.next_pause(self.choice.any());
                self.contacts.list_at = now + pause;
            }
            (
                store_requests::RequestPurpose::GrantLease { slot },
                store::StoreOutcome::Done(store::StoreReply::Granted { lease }),
            ) => self.take_contact(now, slot, lease, store::SwapCondition::Absent, out),
            (
                store_requests::RequestPurpose::ClaimSlot { slot, lease },
                store::StoreOutcome::Done(store::StoreReply::Swapped { version }),
            ) => self.contact_taken(now, slot, lease, version, out),
            (
                store_requests::RequestPurpose::ClaimSlot { slot, lease },
                store::StoreOutcome::Conflict { current },
            ) => {
                self.contact_denied(now, (slot, lease), current.as_ref(), out);
            }
            (
                store_requests::RequestPurpose::RenewLease,
                store::StoreOutcome::Done(store::StoreReply::Lapsed),
            ) => {
                self.contact_lapsed(now, out);
            }
            // An unavailable store keeps the entries as they are; the next look tries again.
            _ => {}
        }
    }

    /// Gives the slot back before a planned stop.
    pub(super) fn release_contact(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if let Some(held) = self.contacts.held.take() {
            let key = keys::contact(&self.zone, held.slot);
            let version = held.version;
            let ask = store::StoreRequest::Remove { key, version };
            self.ask(now, store_requests::RequestPurpose::ReleaseSlot, ask, out);
        }
    }

    fn find_contacts(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        // An answer sets the next time; without one, the loss of the question does.
        self.contacts.list_at = now + contact::LIST_INTERVAL * 2;
        let ask = store::StoreRequest::List {
            prefix: store::StoreKey::new(keys::CONTACTS),
            after: None,
            limit: LIST_LIMIT,
        };
        self.ask(now, store_requests::RequestPurpose::ListContacts, ask, out);
    }

    /// Joins through contacts that this node doesn't know alive: all of the fleet for a newcomer,
    /// the other part where the fleet fell apart for longer than the dead are remembered.
    fn found_contacts(
        &mut self,
        now: time::NodeTime,
        entries: &[store::StoreEntry],
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.contacts.backoff.reset();
        self.contacts.listed_at = Some(now);
        let decoded = entries.iter();
        let decoded = decoded.filter_map(|entry| gossip::ContactEntry::from_value(&entry.value));
        let mut strangers: Vec<_> = decoded
            .filter(|contact| {
                let known = self.table.get(contact.node);
                known.is_none_or(|record| record.state == member::MemberState::Gone)
            })
            .collect();
        self.choice.shuffle(&mut strangers);
        self.contacts.has_unknown_contacts = !strangers.is_empty();
        for contact in strangers.iter().take(JOIN_CONTACTS) {
            self.join_through(contact.udp, out);
        }
        // Only contacts look on, so the reads grow with the zones and not with the nodes.
        self.contacts.lists += 1;
        let interval = match (self.joined, strangers.is_empty()) {
            (true, _) => self.contacts.list_interval(),
            (false, true) if !self.roster.is_compared() => contact::ALONE_LIST_INTERVAL,
            (false, true) => self.contacts.list_interval(),
            (false, false) => contact::VACANCY_CHECK_INTERVAL,
        };
        self.contacts.list_at = now + interval + self.choice.span(interval / 4);
        if self.joined && self.contacts.held.is_none() {
            self.contacts.list_at = time::NodeTime(u64::MAX);
        }
        if strangers.is_empty() && !self.joined {
            self.roster.expect_empty_list(now);
            self.read_log_soon(now);
        } else {
            self.roster.expect_others(now);
        }
    }

    fn renew_contact(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let Some(held) = &mut self.contacts.held else {
            return;
        };
        held.renew_at = now + contact::RENEW_INTERVAL;
        let lease = held.lease;
        let ask = store::StoreRequest::Renew { lease };
        self.ask(now, store_requests::RequestPurpose::RenewLease, ask, out);
    }

    /// Becomes a candidate where a slot of the own zone has stood vacant long enough.
    fn look_for_vacancy(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let jitter = self.choice.span(contact::VACANCY_CHECK_INTERVAL / 4);
        self.contacts.vacancy_check_at = now + contact::VACANCY_CHECK_INTERVAL + jitter;
        if self.contacts.held.is_some() || self.is_leaving() {
            return;
        }
        let Some(listed) = self.contacts.listed_at else {
            return;
        };
        // Of many nodes that start on an empty store, the first ones take the slots and the others
        // see them when they read the list once more; otherwise each would cost a grant.
        if !self.joined && now.since(listed) > self.config.max_list_age {
            self.find_contacts(now, out);
            self.contacts.vacancy_check_at = now + self.config.max_list_age / 2;
            return;
        }
        // Where contacts stand in the list, the fleet exists and is joined first.
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
                self.ask_for_slot(now, slot, out);
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

    /// Members of the zone that come before this node for `slot`.
    ///
    /// Every node computes the same order, so a vacant slot costs the store one grant and not one
    /// from each node of the zone.
    fn candidates_before(&self, slot: u8) -> u32 {
        let turn = |node: ident::NodeId| node.0.rotate_left(u32::from(slot) * 21);
        let own = turn(self.local);
        let members = self.table.all().iter().filter(|m| {
            m.state == member::MemberState::Alive
                && m.facts.zone == self.zone
                && m.facts.contact.is_none()
        });
        let before = members.filter(|m| !m.facts.leaving && turn(m.node) < own);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Begins to take a slot: its entry stands under a lease of its own.
    fn ask_for_slot(&mut self, now: time::NodeTime, slot: u8, out: &mut Vec<effect::FleetEffect>) {
        let lease = contact::CONTACT_LEASE;
        let ask = store::StoreRequest::Grant { lease };
        self.ask(
            now,
            store_requests::RequestPurpose::GrantLease { slot },
            ask,
            out,
        );
    }

    fn take_contact(
        &mut self,
        now: time::NodeTime,
        slot: u8,
        lease: store::LeaseId,
        base: store::SwapCondition,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let entry = gossip::ContactEntry {
            node: self.local,
            udp: self.udp,
        };
        let Some(value) = entry.to_value() else {
            return;
        };
        let ask = store::StoreRequest::Swap {
            key: keys::contact(&self.zone, slot),
            condition: base,
            value,
            lease: Some(lease),
        };
        self.ask(
            now,
            store_requests::RequestPurpose::ClaimSlot { slot, lease },
            ask,
            out,
        );
    }

    fn contact_taken(
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
        self.set_contact(now, Some(slot));
        out.push(effect::FleetEffect::Report(effect::FleetReport::Contact {
            slot,
        }));
    }

    /// Meets the holder that this node didn't know of; it may stand for a part of the fleet.
    ///
    /// Failure: something else wrote at the keys of contacts, under no lease. Symptom: every slot
    /// looks taken for good, so no newcomer finds the fleet. What can't be read names no node, and is
    /// replaced under the condition that it still stands there as it was seen.
    fn contact_denied(
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
                let base = store::SwapCondition::At(current.version);
                self.take_contact(now, slot, lease, base, out);
            }
        }
    }

    /// Stops acting as a contact and asks for the slot again: a paused holder learns here that its lease
    /// ran out and another node has the slot; where the store lost the lease, the slot is vacant.
    fn contact_lapsed(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let lost = self.contacts.held.take();
        self.set_contact(now, None);
        out.push(effect::FleetEffect::Report(
            effect::FleetReport::ContactLapsed,
        ));
        if let Some(slot) = lost.map(|held| held.slot).filter(|_| !self.is_leaving()) {
            self.ask_for_slot(now, slot, out);
        }
    }

    /// Looks at once whether the lease of a contact slot still runs; the store may have lost it.
    pub(super) fn check_contact(&mut self, now: time::NodeTime) {
        if let Some(held) = &mut self.contacts.held {
            held.renew_at = now;
        }
    }

    /// Lets all contacts look whether their leases still run, after the store's history was cut.
    ///
    /// Failure: the store comes back from an older copy, without leases. Symptom: until the contacts renew
    /// theirs, seconds later, whoever starts finds nobody. Those that watch see it at once.
    pub(super) fn check_all_contacts(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.check_contact(now);
        let members = self.table.all().iter();
        let holders = members
            .filter(|m| m.state.is_live() && m.node != self.local && m.facts.contact.is_some());
        let holders: Vec<_> = holders.map(|m| m.facts.udp).collect();
        for to in holders {
            self.send(to, gossip::GossipKind::CheckContactLease, Vec::new(), out);
        }
    }

    fn set_contact(&mut self, now: time::NodeTime, slot: Option<u8>) {
        let Some(record) = self.table.get(self.local) else {
            return;
        };
        let mut facts = record.facts.clone();
        facts.contact = slot;
        self.incarnation = self.incarnation.saturating_add(1);
        self.announce(facts, now);
    }
}
