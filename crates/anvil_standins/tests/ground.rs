//! Isolation of concurrent experiments, and detection of requests from another experiment.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_standins::{client, ledger, load, loopback, mesh, mesh_target};
use bytes::Bytes;

const SEED: u64 = 1;
const TARGET_PORT: u16 = 8_084;

#[test]
fn a_process_returns_to_no_block_that_it_has_held() {
    // Servers of an experiment may still listen in a block whose claim has been dropped.
    let held = loopback::LoopbackBlock::claim().unwrap().number();
    let next = loopback::LoopbackBlock::claim().unwrap();
    assert_ne!(next.number(), held);
}

#[test]
fn blocks_held_at_once_share_no_address() {
    let first = loopback::LoopbackBlock::claim().unwrap();
    let second = loopback::LoopbackBlock::claim().unwrap();
    assert_ne!(first.number(), second.number());
    for index in [0, 253] {
        assert_ne!(first.address(index), second.address(index));
    }
}

#[test]
fn experiments_of_one_seed_use_different_ids() {
    let first = loopback::LoopbackBlock::claim().unwrap();
    let second = loopback::LoopbackBlock::claim().unwrap();
    let tag = |block: &loopback::LoopbackBlock| load::root_tag(SEED, block.number());
    assert_ne!(tag(&first), tag(&second));
    assert_eq!(tag(&first).len(), 16);
}

async fn start_target(
    block: &loopback::LoopbackBlock,
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
    let address = block.port(0, TARGET_PORT);
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
    let answer = client::PooledClient::default().send(request).await.unwrap();
    assert_eq!(answer.status, 200);
}

// Two experiments of one seed run concurrently. While a node of the first restarts, a node of the
// second takes its port, and a claim of the second reaches a target of the first, which then also
// runs its own claim with the same number. These two runs must not count as one key that ran twice.
#[tokio::test]
async fn a_run_of_another_experiment_is_no_second_run() {
    let block = loopback::LoopbackBlock::claim().unwrap();
    let other = loopback::LoopbackBlock::claim().unwrap();
    let (tag, foreign) = (
        load::root_tag(SEED, block.number()),
        load::root_tag(SEED, other.number()),
    );
    let ledger = Arc::new(ledger::RunLedger::with_tag(tag.clone()));
    let target = start_target(&block, &ledger).await;
    for tag in [&tag, &foreign] {
        file_claim(target.address(), &format!("{tag}0000000000000001")).await;
    }
    assert_eq!(ledger.max_runs_per_key(), 1);
    assert!(!*ledger.key_ran_twice().borrow());
    assert_eq!(ledger.foreign_runs().len(), 1);
}

// A second run of a key must be reported at its start, so that a long experiment can stop while the
// logs and the memory of the processes still contain the cause.
#[tokio::test]
async fn a_second_run_of_a_key_shows_at_once() {
    let block = loopback::LoopbackBlock::claim().unwrap();
    let tag = load::root_tag(SEED, block.number());
    let ledger = Arc::new(ledger::RunLedger::with_tag(tag.clone()));
    let target = start_target(&block, &ledger).await;
    let root = format!("{tag}0000000000000001");
    file_claim(target.address(), &root).await;
    assert!(!*ledger.key_ran_twice().borrow());
    file_claim(target.address(), &root).await;
    assert!(*ledger.key_ran_twice().borrow());
    assert_eq!(ledger.repeated_key_runs().len(), 2);
}
