//! Waiting until a revision is in force everywhere.

use std::thread;
use std::time::{Duration, Instant};

use anvil_types::ident;
use serde_json::Value;

use crate::{node, outcome};

/// Pause between two looks at the fleet.
const PAUSE: Duration = Duration::from_millis(250);

/// How far a revision has come, as one node sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct RolloutView {
    /// Nodes that have the revision or a newer one.
    in_force: u64,
    /// Nodes alive.
    members: u64,
    /// Some of those that lag, with the revision last heard of them.
    lagging: Vec<String>,
}

/// Asks the node until all nodes that it knows have `revision`, or names those that lag.
pub fn wait(
    client: &node::NodeClient,
    revision: ident::RuleRevision,
    limit: Duration,
) -> outcome::CtlReport {
    let end = Instant::now() + limit;
    let mut last = None;
    loop {
        let seen = client.get("/status").ok().map(|answer| answer.json());
        let seen = seen.and_then(|status| RolloutView::read(&status, revision));
        if let Some(view) = seen.as_ref().filter(|view| view.in_force == view.members) {
            let out = format!("in force on all {} nodes\n", view.members);
            return outcome::CtlReport::done(out);
        }
        last = seen.or(last);
        if Instant::now() >= end {
            return lagging(last.as_ref());
        }
        thread::sleep(PAUSE);
    }
}

impl RolloutView {
    /// Reads a node's status; none where the node itself doesn't hold the revision yet, as its
    /// count is then about an older one.
    fn read(status: &Value, revision: ident::RuleRevision) -> Option<Self> {
        let rules = &status["rules"];
        let held = rules["revision"].as_u64()?;
        let lagging = rules["lagging"].as_array().into_iter().flatten();
        let lagging = lagging.map(|node| {
            let name = node["node"].as_str().unwrap_or("?");
            match node["revision"].as_u64() {
                Some(revision) => format!("{name} at revision {revision}"),
                None => format!("{name}, not heard of"),
            }
        });
        (held >= revision.0).then_some(Self {
            in_force: rules["in_force"].as_u64()?,
            members: rules["members"].as_u64()?,
            lagging: lagging.collect(),
        })
    }
}

fn lagging(view: Option<&RolloutView>) -> outcome::CtlReport {
    let err = match view {
        None => "anvilctl: the node did not tell how far the revision has come\n".to_owned(),
        Some(view) => {
            let (in_force, members) = (view.in_force, view.members);
            let mut text =
                format!("anvilctl: in force on {in_force} of {members} nodes; lagging:\n");
            for node in &view.lagging {
                text.push_str(&format!("  {node}\n"));
            }
            text.push_str("look again with `anvilctl status`; the change stays accepted\n");
            text
        }
    };
    outcome::CtlReport {
        out: String::new(),
        err,
        status: outcome::ExitStatus::Lagging,
    }
}
