//! All members that a node knows, sorted by identity.

use anvil_types::{ident, time};
use anvil_wire::gossip;

use crate::{member, names, random};

/// Attempts to draw a random member that is alive before giving up.
const DRAWS: usize = 16;

/// The members, alive and gone, in one sorted vector.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: Vec<member::MemberRecord>,
    names: names::FactNames,
    live: usize,
}

impl MemberTable {
    /// The member of that identity, where it is known.
    pub fn get(&self, node: ident::NodeId) -> Option<&member::MemberRecord> {
        self.place(node).ok().map(|place| &self.members[place])
    }

    /// The member of that identity, for changes that keep its state.
    pub fn get_mut(&mut self, node: ident::NodeId) -> Option<&mut member::MemberRecord> {
        let place = self.place(node).ok()?;
        Some(&mut self.members[place])
    }

    /// All members, sorted by identity.
    pub fn all(&self) -> &[member::MemberRecord] {
        &self.members
    }

    /// The members from `first` to `last`, both included.
    pub fn range(&self, first: ident::NodeId, last: ident::NodeId) -> &[member::MemberRecord] {
        let start = self.members.partition_point(|m| m.node < first);
        let end = self.members.partition_point(|m| m.node <= last);
        &self.members[start..end.max(start)]
    }

    /// Members that are alive or only suspected.
    pub fn live(&self) -> usize {
        self.live
    }

    /// Members that are kept as gone.
    pub fn tombstones(&self) -> usize {
        self.members.len() - self.live
    }

    /// Keeps `record`, new or in place of the former one of its identity.
    ///
    /// Fails, keeping nothing, where the names don't fit; see [`names::NAMES_LIMIT`].
    pub fn put(&mut self, mut record: member::MemberRecord) -> bool {
        let Some(facts) = self.interned(&record.facts) else {
            return false;
        };
        record.facts = facts;
        self.live += usize::from(record.state.is_live());
        match self.place(record.node) {
            Ok(place) => {
                self.live -= usize::from(self.members[place].state.is_live());
                self.members[place] = record;
            }
            Err(place) => self.members.insert(place, record),
        }
        true
    }

    /// Changes the state of a known member.
    pub fn set_state(
        &mut self,
        node: ident::NodeId,
        rank: (u32, member::MemberState),
        now: time::NodeTime,
    ) {
        let Ok(place) = self.place(node) else {
            return;
        };
        let record = &mut self.members[place];
        self.live -= usize::from(record.state.is_live());
        self.live += usize::from(rank.1.is_live());
        if record.state != rank.1 {
            record.since = now;
        }
        (record.incarnation, record.state) = rank;
    }

    /// Forgets the members that were gone before `before`, and the oldest ones above `limit`.
    ///
    /// Without the limit a peer that invents members, or a long partition, would fill the memory.
    pub fn trim(&mut self, before: time::NodeTime, limit: usize) {
        self.members
            .retain(|m| m.state.is_live() || m.since >= before);
        let excess = self.tombstones().saturating_sub(limit);
        if excess == 0 {
            return;
        }
        let dead = self.members.iter().filter(|m| !m.state.is_live());
        let mut ages: Vec<_> = dead.map(|m| (m.since, m.node)).collect();
        ages.sort_unstable();
        ages.truncate(excess);
        let mut nodes: Vec<_> = ages.into_iter().map(|(_, node)| node).collect();
        nodes.sort_unstable();
        self.members
            .retain(|m| nodes.binary_search(&m.node).is_err());
    }

    /// The live member whose identity follows `from` most closely, around the end, save `except`.
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

    /// A random member that is alive and not among `except`.
    pub fn draw_live(
        &self,
        choice: &mut random::ChoiceSource,
        except: &[ident::NodeId],
    ) -> Option<&member::MemberRecord> {
        self.draw(choice, |m| m.state.is_live() && !except.contains(&m.node))
    }

    /// A random member that `wanted` accepts; may miss rare ones.
    pub fn draw<Accept>(
        &self,
        choice: &mut random::ChoiceSource,
        wanted: Accept,
    ) -> Option<&member::MemberRecord>
    where
        Accept: Fn(&member::MemberRecord) -> bool,
    {
        for _ in 0..DRAWS {
            let record = self.members.get(choice.below(self.members.len()))?;
            if wanted(record) {
                return Some(record);
            }
        }
        let start = choice.below(self.members.len());
        let (head, tail) = self.members.split_at(start);
        tail.iter().chain(head).find(|record| wanted(record))
    }

    fn place(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.members.binary_search_by_key(&node, |m| m.node)
    }

    fn interned(&mut self, facts: &gossip::MemberFacts) -> Option<gossip::MemberFacts> {
        let mut kept = facts.clone();
        kept.zone = self.names.zones.intern(&facts.zone)?;
        kept.region = self.names.regions.intern(&facts.region)?;
        if let Some(service) = &facts.service {
            kept.service = Some(self.names.services.intern(service)?);
        }
        Some(kept)
    }
}
