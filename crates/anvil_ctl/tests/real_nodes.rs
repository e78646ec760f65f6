//! The command against real nodes, which use a stand-in of the platform's store.

#[allow(dead_code, reason = "other test files use the scripted node")]
mod common;

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use anvil_ctl::outcome;
use anvil_node::{node, settings};
use anvil_standins::store::{fake, server};

/// Longest wait for any condition; a passing test stays far below it.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Peer key of the test nodes.
const SECRET: &str = "5ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e70000";

struct RealFleet {
    store: server::StoreServer,
    nodes: Vec<node::RunningNode>,
}

impl RealFleet {
    /// Starts nodes that find each other through the store.
    fn start(count: usize) -> Self {
        let store = server::StoreServer::start(1).expect("a free port");
        let platform = store.address();
        let text = format!(
            "zone: ar-centro-a\nregion: ar-centro\nadvertise: 127.0.0.1\nlisten:\n  \
             caller: 127.0.0.1:0\n  admin: 127.0.0.1:0\n  peer: 127.0.0.1:0\n  \
             gossip: 127.0.0.1:0\npeer_keys:\n  - {{id: 1, secret: {SECRET}}}\n\
             platform: ['{platform}']\n"
        );
        let settings = settings::parse(&text, Path::new("test.yaml")).expect("valid settings");
        let nodes = (0..count).map(|_| node::start(&settings).expect("free ports"));
        let fleet = Self {
            nodes: nodes.collect(),
            store,
        };
        for index in 0..count {
            let members = format!("  members: {count}\n");
            fleet.await_status(index, &members);
            fleet.await_status(index, "rules_compared: true\n");
        }
        fleet
    }

    fn run(&self, index: usize, line: &str) -> outcome::CtlReport {
        let admin = self.nodes[index].bound().admin;
        common::run(&format!("{line} --node http://{admin}"))
    }

    fn await_status(&self, index: usize, wanted: &str) {
        let until = Instant::now() + TIMEOUT;
        loop {
            let status = self.run(index, "status").out;
            if status.contains(wanted) {
                return;
            }
            assert!(
                Instant::now() < until,
                "the status never contained {wanted:?}: {status}"
            );
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for RealFleet {
    fn drop(&mut self) {
        for node in self.nodes.drain(..) {
            node.stop();
            let _ = node.wait();
        }
    }
}

#[test]
fn rules_reach_all_nodes_and_a_conflicting_change_is_refused() {
    let fleet = RealFleet::start(2);
    let reclamo = common::repository_file("examples/reclamo-simple/rules.yaml");
    let applied = fleet.run(0, &format!("apply {reclamo} --wait"));
    assert_eq!(applied.err, "");
    assert_eq!(
        applied.out,
        "accepted as revision 1\nin force on all 2 nodes\n"
    );

    let shown = fleet.run(1, "rules show");
    assert!(
        shown.out.starts_with("# revision: 1\nrules:\n"),
        "{}",
        shown.out
    );
    let explained = fleet.run(1, "explain POST http://portal-ciudadano/claims");
    assert!(
        explained.out.contains("  rule: submit-claim\n"),
        "{}",
        explained.out
    );
    assert!(explained.out.contains("revision: 1\n"), "{}", explained.out);

    // Another operator's rules are based on the revision before this change.
    let marche = common::repository_file("examples/marche-armor/rules.yaml");
    let refused = fleet.run(1, &format!("apply {marche} --base 0 --author luis"));
    assert_eq!(refused.status.code(), 1);
    assert!(
        refused.err.contains("revision 1 by ana:\n    put "),
        "{}",
        refused.err
    );
    let history = fleet.run(1, "rules history").out;
    assert!(!history.contains("luis"), "{history}");
}

#[test]
fn a_change_is_refused_and_the_rules_stay_while_the_store_is_down() {
    // The store is down for longer than the operator waits. The change must be refused as not
    // applied, the rules must stay, and the same command must work once the store is back.
    let fleet = RealFleet::start(1);
    let down = fake::StoreFaults {
        down: true,
        ..fake::StoreFaults::default()
    };
    fleet.store.set_faults(down);
    let marche = common::repository_file("examples/marche-armor/rules.yaml");
    let refused = fleet.run(0, &format!("apply {marche}"));
    assert_eq!(refused.status.code(), 1, "{}", refused.err);
    assert!(
        refused.err.contains("nothing was changed"),
        "{}",
        refused.err
    );
    assert_eq!(fleet.run(0, "rules show").out, "# revision: 0\nrules: []\n");

    fleet.store.set_faults(fake::StoreFaults::default());
    let until = Instant::now() + TIMEOUT;
    loop {
        let applied = fleet.run(0, &format!("apply {marche}"));
        if applied.out == "accepted as revision 1\n" {
            return;
        }
        assert!(Instant::now() < until, "{}", applied.err);
    }
}
