//! All members that a node knows, sorted by id.

use anvil_types::{ident, time};
use anvil_wire::gossip;

use crate::{member, names, random};

/// Number of random draws before the table is searched from a random position.
const DRAWS: usize = 16;

/// The members, live and departed, in one sorted vector.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: Vec<member::MemberRecord>,
    names: names::FactNames,
    live: usize,
}

impl MemberTable {
    /// The member with this id, if known.
    pub fn get(&self, node: ident::NodeId) -> Option<&member::MemberRecord> {
        self.search(node).ok().map(|index| &self.members[index])
    }

    /// The member with this id, for changes other than of its state.
    pub fn get_mut(&mut self, node: ident::NodeId) -> Option<&mut member::MemberRecord> {
        let index = self.search(node).ok()?;
        Some(&mut self.members[index])
    }

    /// All members, sorted by id.
    pub fn all(&self) -> &[member::MemberRecord] {
        &self.members
    }

    /// The members from `first` to `last`, inclusive.
    pub fn range(&self, first: ident::NodeId, last: ident::NodeId) -> &[member::MemberRecord] {
        let start = self.members.partition_point(|m| m.node < first);
        let end = self.members.partition_point(|m| m.node <= last);
        &self.members[start..end.max(start)]
    }

    /// Number of live members: alive or suspect.
    pub fn live(&self) -> usize {
        self.live
    }

    /// Number of departed members.
    pub fn tombstones(&self) -> usize {
        self.members.len() - self.live
    }

    /// Inserts `record`, or replaces the record with the same id.
    ///
    /// Returns false and changes nothing if a name cannot be interned; see [`names::NAMES_LIMIT`].
    pub fn put(&mut self, mut record: member::MemberRecord) -> bool {
        let Some(facts) = self.intern_facts(&record.facts) else {
            return false;
        };
        record.facts = facts;
        self.live += usize::from(record.state.is_live());
        match self.search(record.node) {
            Ok(index) => {
                self.live -= usize::from(self.members[index].state.is_live());
                self.members[index] = record;
            }
            Err(index) => self.members.insert(index, record),
        }
        true
    }

    /// Changes the incarnation and the state of a known member.
    pub fn set_state(
        &mut self,
        node: ident::NodeId,
        rank: (u32, member::MemberState),
        now: time::NodeTime,
    ) {
        let Ok(index) = self.search(node) else {
            return;
        };
        let record = &mut self.members[index];
        self.live -= usize::from(record.state.is_live());
        self.live += usize::from(rank.1.is_live());
        if record.state != rank.1 {
            record.since = now;
        }
        (record.incarnation, record.state) = rank;
    }

    /// Removes the members that departed before `before`, and the oldest ones above `limit`.
    ///
    /// Without the limit, a faulty peer that invents members, or a long partition, could exhaust
    /// the memory.
    pub fn trim(&mut self, before: time::NodeTime, limit: usize) {
        self.members
            .retain(|m| m.state.is_live() || m.since >= before);
        let excess = self.tombstones().saturating_sub(limit);
        if excess == 0 {
            return;
        }
        let departed = self.members.iter().filter(|m| !m.state.is_live());
        let mut oldest: Vec<_> = departed.map(|m| (m.since, m.node)).collect();
        oldest.sort_unstable();
        oldest.truncate(excess);
        let mut nodes: Vec<_> = oldest.into_iter().map(|(_, node)| node).collect();
        nodes.sort_unstable();
        self.members
            .retain(|m| nodes.binary_search(&m.node).is_err());
    }

    /// The first live member from the id `from` on, in circular order, other than `except`.
    pub fn successor(
        &self,
        from: ident::NodeId,
        except: ident::NodeId,
    ) -> Option<&member::MemberRecord> {
        let start = self.members.partition_point(|m| m.node < from);
        let (head, tail) = self.members.split_at(start);
        let mut around = tail.iter().chain(head);
        around.find(|m| m.state.is_live() && m.node != except)
    }

    /// A random live member that is not among `except`.
    pub fn draw_live(
        &self,
        choice: &mut random::ChoiceSource,
        except: &[ident::NodeId],
    ) -> Option<&member::MemberRecord> {
        self.draw(choice, |m| m.state.is_live() && !except.contains(&m.node))
    }

    /// A random member that `accept` accepts, if there is one.
    ///
    /// If few members qualify, the choice is not uniform.
    pub fn draw<Accept>(
        &self,
        choice: &mut random::ChoiceSource,
        accept: Accept,
    ) -> Option<&member::MemberRecord>
    where
        Accept: Fn(&member::MemberRecord) -> bool,
    {
        for _ in 0..DRAWS {
            let record = self.members.get(choice.below(self.members.len()))?;
            if accept(record) {
                return Some(record);
            }
        }
        let start = choice.below(self.members.len());
        let (head, tail) = self.members.split_at(start);
        tail.iter().chain(head).find(|record| accept(record))
    }

    fn search(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.members.binary_search_by_key(&node, |m| m.node)
    }

    fn intern_facts(&mut self, facts: &gossip::MemberFacts) -> Option<gossip::MemberFacts> {
        let mut interned = facts.clone();
        interned.zone = self.names.zones.intern(&facts.zone)?;
        interned.region = self.names.regions.intern(&facts.region)?;
        if let Some(service) = &facts.service {
            interned.service = Some(self.names.services.intern(service)?);
        }
        Some(interned)
    }
}
