//! How far the rules in force have come, as this node sees it.

use anvil_types::ident;
use anvil_wire::gossip;
use serde_json::json;

use crate::reducer;

/// Lagging nodes named one by one; beyond it only their number is told.
const MAX_LAGGING_NODES: usize = 20;

/// On how many nodes the rules are in force.
#[derive(Debug, Default)]
struct RolloutStatus {
    members: u32,
    in_force: u32,
    /// Nodes that a count asked in vain.
    silent: u32,
    /// Some of the nodes that lag or are silent.
    lagging: Vec<serde_json::Value>,
}

impl reducer::NodeReducer {
    /// Begins a count of the nodes on which the revision held is in force; its result shows in a
    /// later answer, as an operator who waits asks again and again.
    pub(crate) fn count_rollout(&mut self) {
        let effects = self.fleet.count_revision(self.now);
        self.apply_fleet_effects(effects);
    }

    /// The revision in force here, and on how many live nodes it is in force.
    ///
    /// `anvilctl apply --wait` reads this. A finished count of this revision is the answer; until
    /// there is one, a node counts where it told its revision itself, so an operator is told
    /// "everywhere" only when everyone has said so.
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

    /// What a finished count says.
    fn counted_status(&self, count: &gossip::CensusCount) -> RolloutStatus {
        let heard = |node: &ident::NodeId| self.fleet.table().get(*node).map(|m| m.revision);
        let lagging = count.lagging.iter();
        RolloutStatus {
            members: count.holding + count.behind + count.silent,
            in_force: count.holding,
            silent: count.silent,
            lagging: lagging
                .map(|node| lagging_node(*node, heard(node)))
                .collect(),
        }
    }

    /// What the live members themselves told this node.
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

fn lagging_node(node: ident::NodeId, held: Option<ident::RuleRevision>) -> serde_json::Value {
    json!({ "node": node.to_string(), "revision": held })
}
