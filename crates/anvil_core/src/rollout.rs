//! How far the rules in force have come, as this node sees it.

use anvil_types::ident;
use serde_json::json;

use crate::reducer;

/// Lagging nodes named one by one; beyond it only their number is told.
const LAGGING_NODES: usize = 20;

impl reducer::NodeReducer {
    /// Begins a count of the nodes on which the revision held is in force; its result shows in a
    /// later answer, as an operator who waits asks again and again.
    pub(crate) fn count_rollout(&mut self) {
        let effects = self.fleet.count_revision(self.now);
        self.take_fleet(effects);
    }

    /// The revision in force here, and on how many live nodes it is in force.
    ///
    /// `anvilctl apply --wait` reads this. A finished count of this revision is the answer; until
    /// there is one, a node counts where it told its revision itself, so an operator is told
    /// "everywhere" only when everyone has said so.
    pub(crate) fn rules_status(&self) -> serde_json::Value {
        let revision = self.book.revision();
        if let Some(counted) = self.fleet.census().filter(|c| c.revision == revision) {
            let count = &counted.count;
            let heard = |node: &ident::NodeId| self.fleet.table().get(*node).map(|m| m.revision);
            let lagging: Vec<_> = count
                .lagging
                .iter()
                .map(|node| json!({ "node": node.to_string(), "revision": heard(node) }))
                .collect();
            return json!({
                "revision": revision,
                "rules": self.book.document().rules().len(),
                "members": count.holding + count.behind + count.silent,
                "in_force": count.holding,
                "silent": count.silent,
                "lagging": lagging,
            });
        }
        let live = self.fleet.table().all().iter();
        let live = live.filter(|member| member.state.is_live());
        let own = self.config.node;
        let heard = live.map(|member| match member.node {
            node if node == own => (node, revision),
            node => (node, member.revision),
        });
        let heard: Vec<(ident::NodeId, ident::RuleRevision)> = heard.collect();
        let lags = heard.iter().filter(|(_, held)| *held < revision);
        let lagging: Vec<_> = lags
            .clone()
            .take(LAGGING_NODES)
            .map(|(node, held)| json!({ "node": node.to_string(), "revision": held }))
            .collect();
        json!({
            "revision": revision,
            "rules": self.book.document().rules().len(),
            "members": heard.len(),
            "in_force": heard.len() - lags.count(),
            "lagging": lagging,
        })
    }
}
