//! The rollout of the rules in force, as observed by this node.

use anvil_types::ident;
use anvil_wire::gossip;
use serde_json::json;

use crate::reducer;

/// Maximum number of lagging nodes that are listed; beyond that only their number is reported.
const MAX_LAGGING_NODES: usize = 20;

/// On how many nodes the rules are in force.
#[derive(Debug, Default)]
struct RolloutStatus {
    members: u32,
    in_force: u32,
    /// Nodes that did not answer the count.
    silent: u32,
    /// Some of the nodes that are lagging or silent.
    lagging: Vec<serde_json::Value>,
}

impl reducer::NodeReducer {
    /// Starts a count of the nodes on which this node's revision is in force. The result appears in
    /// a later answer, because an operator who waits for it polls.
    pub(crate) fn count_rollout(&mut self) {
        let effects = self.fleet.count_revision(self.now);
        self.apply_fleet_effects(effects);
    }

    /// The revision in force here, and the number of live nodes on which it is in force.
    ///
    /// `anvilctl apply --wait` reads this. It reports the finished count of this revision. Before
    /// there is one, a node only counts if it announced the revision itself, so operators see
    /// "everywhere" only after every node has confirmed it.
    pub(crate) fn rules_status(&self) -> serde_json::Value {
        let revision = self.book.revision();
        let counted = self.fleet.census().filter(|c| c.revision == revision);
        let reach = match counted {
            Some(counted) => self.counted_status(&counted.count),
            None => self.observed_status(revision),
        };
        json!({
            "revision": revision,
            "rules": self.book.document().rules().len(),
            "members": reach.members,
            "in_force": reach.in_force,
            "silent": reach.silent,
            "lagging": reach.lagging,
        })
    }

    /// The status according to a finished count.
    fn counted_status(&self, count: &gossip::CensusCount) -> RolloutStatus {
        let announced = |node: &ident::NodeId| self.fleet.table().get(*node).map(|m| m.revision);
        let lagging = count.lagging.iter();
        RolloutStatus {
            members: count.holding + count.behind + count.silent,
            in_force: count.holding,
            silent: count.silent,
            lagging: lagging
                .map(|node| lagging_node(*node, announced(node)))
                .collect(),
        }
    }

    /// The status according to the revisions that the live members announced.
    fn observed_status(&self, revision: ident::RuleRevision) -> RolloutStatus {
        let own = self.config.node;
        let members = self.fleet.table().all().iter();
        let live = members.filter(|member| member.state.is_live());
        let mut reach = RolloutStatus::default();
        for member in live {
            reach.members += 1;
            if member.node == own || member.revision >= revision {
                reach.in_force += 1;
            } else if reach.lagging.len() < MAX_LAGGING_NODES {
                let lagging = lagging_node(member.node, Some(member.revision));
                reach.lagging.push(lagging);
            }
        }
        reach
    }
}

fn lagging_node(node: ident::NodeId, revision: Option<ident::RuleRevision>) -> serde_json::Value {
    json!({ "node": node.to_string(), "revision": revision })
}
