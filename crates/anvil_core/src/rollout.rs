//! How far the rules in force have come, as this node sees it.

use anvil_types::ident;
use serde_json::json;

use crate::reducer;

/// Lagging nodes named one by one; beyond it only their number is told.
const LAGGING_NODES: usize = 20;

impl reducer::NodeReducer {
    /// The revision in force here, and which live nodes were last heard to lag behind it.
    ///
    /// `anvilctl apply --wait` reads this; a node that was never heard counts as lagging, so an
    /// operator is told "everywhere" only when everyone has said so.
    pub(crate) fn rules_status(&self) -> serde_json::Value {
        let revision = self.book.revision();
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
