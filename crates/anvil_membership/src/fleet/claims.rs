//! Claims about members: applying them and relaying them.

use anvil_types::{ident, time};
use anvil_wire::gossip;

use crate::{effect, fleet, member, suspicion};

impl fleet::FleetState {
    /// Applies one claim; older and repeated claims change nothing.
    pub(super) fn apply(
        &mut self,
        now: time::NodeTime,
        update: &gossip::MemberUpdate,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if update.node == self.local {
            self.apply_self_claim(now, update, out);
            return;
        }
        match &update.status {
            gossip::MemberStatus::Alive(facts) => self.apply_alive(now, update, facts, out),
            gossip::MemberStatus::Suspect { by } => self.apply_suspect(now, update, *by, out),
            gossip::MemberStatus::Dead => {
                self.apply_departure(now, update, effect::DepartureReason::Crashed, out);
            }
            gossip::MemberStatus::Left => {
                self.apply_departure(now, update, effect::DepartureReason::Left, out);
            }
        }
    }

    /// The current claim about `node`, if it is known.
    pub(super) fn claim(&self, node: ident::NodeId) -> Option<gossip::MemberUpdate> {
        let record = self.table.get(node)?;
        let status = match record.state {
            member::MemberState::Alive => {
                gossip::MemberStatus::Alive(Box::new(record.facts.clone()))
            }
            member::MemberState::Suspect => gossip::MemberStatus::Suspect {
                by: self.latest_accuser(node),
            },
            member::MemberState::Gone => gossip::MemberStatus::Dead,
            member::MemberState::Left => gossip::MemberStatus::Left,
        };
        Some(gossip::MemberUpdate {
            node,
            incarnation: record.incarnation,
            status,
        })
    }

    /// The claim about `node` for a receiver that may not know it: with the facts, if it is live.
    ///
    /// Such a receiver could not use a suspicion, since it has no address of the member.
    pub(super) fn full_claim(&self, node: ident::NodeId) -> Option<gossip::MemberUpdate> {
        let record = self.table.get(node)?;
        if !record.state.is_live() {
            return self.claim(node);
        }
        Some(gossip::MemberUpdate {
            node,
            incarnation: record.facts_incarnation,
            status: gossip::MemberStatus::Alive(Box::new(record.facts.clone())),
        })
    }

    /// Accuses `node` after a failed probe of this node.
    pub(super) fn accuse(
        &mut self,
        now: time::NodeTime,
        node: ident::NodeId,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let Some(record) = self.table.get(node).filter(|r| r.state.is_live()) else {
            return;
        };
        let update = gossip::MemberUpdate {
            node,
            incarnation: record.incarnation,
            status: gossip::MemberStatus::Suspect { by: self.local },
        };
        self.apply(now, &update, out);
        self.suspicions.ping_as_accuser(node, now);
    }

    /// Pings suspects, so that a refutation reaches this node directly.
    pub(super) fn ping_suspects(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.suspicions
            .ping_unresolved(self.config.suspicion_ceiling, now);
        for node in self
            .suspicions
            .take_due_pings(self.config.suspect_ping_interval, now)
        {
            let number = self.probes.next_number();
            self.ping(node, number, out);
        }
    }

    /// Declares the suspects dead whose deadline has passed.
    pub(super) fn expire_suspects(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let live = self.table.live();
        for node in self.suspicions.due(&self.config, live, now) {
            self.mark_departed(now, node, effect::DepartureReason::Crashed, out);
        }
    }

    /// Marks a live member as departed, and relays and reports its departure.
    pub(super) fn mark_departed(
        &mut self,
        now: time::NodeTime,
        node: ident::NodeId,
        reason: effect::DepartureReason,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.suspicions.clear(node);
        let Some(record) = self.table.get(node).filter(|r| r.state.is_live()) else {
            return;
        };
        let state = match reason {
            effect::DepartureReason::Left => member::MemberState::Left,
            effect::DepartureReason::Crashed | effect::DepartureReason::Replaced => {
                member::MemberState::Gone
            }
        };
        self.table.set_state(node, (record.incarnation, state), now);
        match reason {
            effect::DepartureReason::Left => self.counters.members_left += 1,
            effect::DepartureReason::Crashed => self.counters.members_crashed += 1,
            effect::DepartureReason::Replaced => self.counters.members_replaced += 1,
        }
        self.note_departure(now);
        self.relay(node);
        out.push(effect::FleetEffect::MemberDeparted { node, reason });
        out.push(effect::FleetEffect::Report(effect::FleetReport::Departed {
            node,
            reason,
        }));
    }

    fn latest_accuser(&self, node: ident::NodeId) -> ident::NodeId {
        let entry = self.suspicions.get(node);
        let latest = entry.and_then(|s| s.accusers.last());
        latest.copied().unwrap_or(self.local)
    }

    /// Refutes claims about this node that it did not make itself.
    fn apply_self_claim(
        &mut self,
        now: time::NodeTime,
        update: &gossip::MemberUpdate,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let alive = member::claimed_state(&update.status) == member::MemberState::Alive;
        if update.incarnation < self.incarnation {
            // The claim is already refuted, but the sender missed the refutation. It would declare
            // this node dead although it acks every ping, so the next datagrams carry the
            // refutation again.
            if !alive {
                self.relay_claim(self.local, true);
            }
            return;
        }
        if alive && update.incarnation == self.incarnation {
            return;
        }
        let Some(record) = self.table.get(self.local) else {
            return;
        };
        let facts = record.facts.clone();
        self.incarnation = update.incarnation.saturating_add(1);
        self.announce(facts, now);
        self.relay_claim(self.local, true);
        if !alive {
            self.health.worsen();
        }
        self.counters.refutations += 1;
        let incarnation = self.incarnation;
        out.push(effect::FleetEffect::Report(effect::FleetReport::Refuted {
            incarnation,
        }));
    }

    fn apply_alive(
        &mut self,
        now: time::NodeTime,
        update: &gossip::MemberUpdate,
        facts: &gossip::MemberFacts,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let known = self.table.get(update.node);
        let rank = (update.incarnation, member::MemberState::Alive);
        if known.is_some_and(|r| rank <= r.rank()) {
            self.apply_late_facts(update, facts, out);
            return;
        }
        let was_live = known.is_some_and(|r| r.state.is_live());
        if !was_live && self.table.live() >= self.config.member_limit {
            self.counters.claims_refused += 1;
            return;
        }
        let record = member::MemberRecord {
            node: update.node,
            incarnation: update.incarnation,
            facts_incarnation: update.incarnation,
            state: member::MemberState::Alive,
            relays: 0,
            relay_serial: 0,
            since: now,
            revision: known.map_or_else(ident::RuleRevision::default, |r| r.revision),
            facts: facts.clone(),
        };
        if !self.table.put(record) {
            self.counters.claims_refused += 1;
            return;
        }
        // A refutation has to arrive before the deadline of the suspicion.
        let refutes = self.suspicions.get(update.node).is_some();
        self.suspicions.clear(update.node);
        if refutes {
            self.relay_claim(update.node, true);
        } else {
            self.relay(update.node);
        }
        self.report_live(update.node, was_live, out);
    }

    fn report_live(
        &mut self,
        node: ident::NodeId,
        was_live: bool,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let Some(view) = self.table.get(node).map(member::MemberRecord::view) else {
            return;
        };
        if was_live {
            out.push(effect::FleetEffect::MemberChanged(view));
            return;
        }
        self.counters.members_up += 1;
        self.probes.insert(node, &mut self.choice);
        out.push(effect::FleetEffect::MemberUp(view));
    }

    /// Applies facts that arrive after a suspicion of their incarnation.
    fn apply_late_facts(
        &mut self,
        update: &gossip::MemberUpdate,
        facts: &gossip::MemberFacts,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let Some(record) = self.table.get(update.node) else {
            return;
        };
        if !record.state.is_live() || update.incarnation <= record.facts_incarnation {
            return;
        }
        let mut record = record.clone();
        record.facts_incarnation = update.incarnation;
        record.facts = facts.clone();
        let view = record.view();
        if self.table.put(record) {
            out.push(effect::FleetEffect::MemberChanged(view));
        }
    }

    fn apply_suspect(
        &mut self,
        now: time::NodeTime,
        update: &gossip::MemberUpdate,
        by: ident::NodeId,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let node = update.node;
        let rank = (update.incarnation, member::MemberState::Suspect);
        let Some(record) = self.table.get(node).filter(|r| rank >= r.rank()) else {
            return;
        };
        if rank > record.rank() && record.state == member::MemberState::Suspect {
            // Accusations of the previous incarnation do not apply to this one.
            self.suspicions.clear(node);
        }
        let was_live = record.state.is_live();
        self.table.set_state(node, rank, now);
        match self.suspicions.accuse(node, by, now) {
            suspicion::Accusation::Known => {}
            suspicion::Accusation::Confirmed => self.relay(node),
            suspicion::Accusation::First => {
                self.counters.suspicions += 1;
                self.relay(node);
                self.report_live(node, was_live, out);
                out.push(effect::FleetEffect::Report(
                    effect::FleetReport::Suspected { node, by },
                ));
            }
        }
    }

    fn apply_departure(
        &mut self,
        now: time::NodeTime,
        update: &gossip::MemberUpdate,
        reason: effect::DepartureReason,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let node = update.node;
        let rank = (update.incarnation, member::claimed_state(&update.status));
        let Some(record) = self.table.get(node).filter(|r| rank > r.rank()) else {
            return;
        };
        let was_live = record.state.is_live();
        if was_live {
            // Sets the incarnation first, so that the departure is relayed with the claimed one.
            let live = (update.incarnation, record.state);
            self.table.set_state(node, live, now);
            self.mark_departed(now, node, reason, out);
        } else {
            self.table.set_state(node, rank, now);
        }
    }
}
