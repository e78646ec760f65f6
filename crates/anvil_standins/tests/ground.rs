//! Experiments beside each other do not meet, and a request that strays is known for a stranger's.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_standins::{client, ground, ledger, load, mesh, mesh_target};
use bytes::Bytes;

const SEED: u64 = 1;
const TARGET_PORT: u16 = 8_084;

#[test]
fn grounds_held_at_once_share_no_address() {
    let first = ground::LoopbackGround::claim().unwrap();
    let second = ground::LoopbackGround::claim().unwrap();
    assert_ne!(first.block(), second.block());
    for place in [0, 253] {
        assert_ne!(first.address(place), second.address(place));
    }
}

#[test]
fn experiments_of_one_seed_give_out_different_ids() {
    let first = ground::LoopbackGround::claim().unwrap();
    let second = ground::LoopbackGround::claim().unwrap();
    let tag = |ground: &ground::LoopbackGround| load::root_tag(SEED, ground.block());
    assert_ne!(tag(&first), tag(&second));
    assert_eq!(tag(&first).len(), 16);
}

async fn start_target(
    ground: &ground::LoopbackGround,
    ledger: &Arc<ledger::RunLedger>,
) -> Arc<mesh_target::MeshTarget> {
    let text = "name: one\nregion: ar-centro\nzones: [ar-centro-a]\nservices:\n  \
                - {name: expediente, instances: 1, slots: 8, connections: 64, work_ms: 1}\n\
                requests:\n  - {kind: claim, service: expediente, method: POST, step: claims, \
                weight: 1, class: high}\n";
    let plan = mesh_target::TargetPlan {
        name: "expediente-0".to_owned(),
        service: mesh::MeshPlan::parse(text).unwrap().services.remove(0),
        seed: SEED,
        cold: mesh_target::ColdStart::NONE,
    };
    let address = ground.port(0, TARGET_PORT);
    let target = mesh_target::MeshTarget::start(plan, address, Arc::clone(ledger)).await;
    target.unwrap()
}

async fn file_claim(target: SocketAddr, root: &str) {
    let headers = [(client::KEY_HEADER, root.to_owned())];
    let request = client::ClientRequest {
        address: target,
        method: "POST",
        path: &format!("/claims/{root}"),
        headers: &headers,
        body: Bytes::new(),
        timeout: Duration::from_secs(5),
    };
    let answer = client::KeptClient::default().send(request).await.unwrap();
    assert_eq!(answer.status, 200);
}

// Two experiments of one seed run side by side. A node of the first restarts, a node of the second
// takes its port, and a claim of the second reaches a target of the first, after which the first
// runs its own claim. Counted together they look like one key that ran twice.
#[tokio::test]
async fn a_run_of_another_experiment_is_no_second_run() {
    let ground = ground::LoopbackGround::claim().unwrap();
    let other = ground::LoopbackGround::claim().unwrap();
    let (tag, foreign) = (
        load::root_tag(SEED, ground.block()),
        load::root_tag(SEED, other.block()),
    );
    let ledger = Arc::new(ledger::RunLedger::tagged(tag.clone()));
    let target = start_target(&ground, &ledger).await;
    for tag in [&tag, &foreign] {
        file_claim(target.address(), &format!("{tag}0000000000000001")).await;
    }
    assert_eq!(ledger.most_runs_per_key(), 1);
    assert!(!*ledger.doubled().borrow());
    assert_eq!(ledger.strangers().len(), 1);
}

// A key runs a second time in an experiment of minutes. It shows while both runs last, so that the
// experiment can stop with the logs and the memory of the processes that know why.
#[tokio::test]
async fn a_second_run_of_a_key_shows_at_once() {
    let ground = ground::LoopbackGround::claim().unwrap();
    let tag = load::root_tag(SEED, ground.block());
    let ledger = Arc::new(ledger::RunLedger::tagged(tag.clone()));
    let target = start_target(&ground, &ledger).await;
    let root = format!("{tag}0000000000000001");
    file_claim(target.address(), &root).await;
    assert!(!*ledger.doubled().borrow());
    file_claim(target.address(), &root).await;
    assert!(*ledger.doubled().borrow());
    assert_eq!(ledger.doubled_runs().len(), 2);
}
