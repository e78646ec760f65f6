//! Waiting until a revision is in force everywhere.

use std::thread;
use std::time::{Duration, Instant};

use anvil_types::ident;
use serde_json::Value;

use crate::{node, outcome};

/// Interval between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The rollout of a revision, as one node sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct RolloutView {
    /// Nodes that have the revision or a newer one.
    in_force: u64,
    /// Live nodes.
    members: u64,
    /// Some of the lagging nodes, with the last revision known of each.
    lagging: Vec<String>,
}

/// Polls the node until all nodes that it knows have `revision`, or until `limit` has passed.
pub fn wait(
    client: &node::NodeClient,
    revision: ident::RuleRevision,
    limit: Duration,
) -> outcome::CtlReport {
    let deadline = Instant::now() + limit;
    let mut last = None;
    loop {
        let status = client.get("/status").ok().map(|answer| answer.json());
        let view = status.and_then(|status| RolloutView::parse(&status, revision));
        if let Some(view) = view.as_ref().filter(|view| view.in_force == view.members) {
            let out = format!("in force on all {} nodes\n", view.members);
            return outcome::CtlReport::done(out);
        }
        last = view.or(last);
        if Instant::now() >= deadline {
            return lagging(last.as_ref());
        }
        thread::sleep(POLL_INTERVAL);
    }
}

impl RolloutView {
    /// Parses a node's status. Returns nothing if the node itself does not have the revision yet,
    /// since its counts are then about an older one.
    fn parse(status: &Value, revision: ident::RuleRevision) -> Option<Self> {
        let rules = &status["rules"];
        let own_revision = rules["revision"].as_u64()?;
        let lagging = rules["lagging"].as_array().into_iter().flatten();
        let lagging = lagging.map(|node| {
            let name = node["node"].as_str().unwrap_or("?");
            match node["revision"].as_u64() {
                Some(revision) => format!("{name} at revision {revision}"),
                None => format!("{name}, revision unknown"),
            }
        });
        (own_revision >= revision.0).then_some(Self {
            in_force: rules["in_force"].as_u64()?,
            members: rules["members"].as_u64()?,
            lagging: lagging.collect(),
        })
    }
}

fn lagging(view: Option<&RolloutView>) -> outcome::CtlReport {
    let err = match view {
        None => "anvilctl: the node did not report the rollout of the revision\n".to_owned(),
        Some(view) => {
            let (in_force, members) = (view.in_force, view.members);
            let mut text =
                format!("anvilctl: in force on {in_force} of {members} nodes; lagging:\n");
            for node in &view.lagging {
                text.push_str(&format!("  {node}\n"));
            }
            text.push_str("check again with `anvilctl status`; the change stays accepted\n");
            text
        }
    };
    outcome::CtlReport {
        out: String::new(),
        err,
        status: outcome::ExitStatus::Lagging,
    }
}
