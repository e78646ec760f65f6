//! Keyed claims through whole reducers, real membership and the fake store.

#![allow(clippy::unwrap_used)]

mod keyed_fleet;

use std::time::Duration;

use anvil_types::verdict;
use keyed_fleet::KeyedFleet;

// A citizen's browser sends a claim twice, the second time to another node, while the first copy
// is running, and a third time later. One case is filed. The second copy is told that the first
// is running; the third gets the answer of the first, kept by the key's owner.
#[test]
fn claim_sent_to_two_nodes_runs_once() {
    let mut fleet = KeyedFleet::start(4);
    let nodes = fleet.nodes();
    let first = fleet.submit(nodes[0], "claim-1");
    fleet.run(Duration::from_millis(8));
    let second = fleet.submit(nodes[1], "claim-1");
    fleet.run(Duration::from_secs(1));
    let third = fleet.submit(nodes[2], "claim-1");
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.runs.len(), 1);
    assert_eq!(fleet.told(first).verdict, verdict::CallVerdict::Answered);
    let running = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::InProgress);
    assert_eq!(fleet.told(second).verdict, running);
    assert_eq!(fleet.told(third).verdict, verdict::CallVerdict::Answered);
    assert_eq!(fleet.told(third).body, fleet.told(first).body);
}

// The same without owners of keys, as a naive version would have it: the claim is filed twice, and
// the citizen gets two case numbers.
#[test]
fn without_owners_the_same_claim_runs_twice() {
    let mut fleet = KeyedFleet::without_store(4);
    let nodes = fleet.nodes();
    fleet.submit(nodes[0], "claim-1");
    fleet.submit(nodes[1], "claim-1");
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.most_runs(), 2);
}

// The store is out for ten minutes while claims go on and are resent. All are answered, because
// owners grant without the store; nothing is refused.
#[test]
fn store_outage_of_ten_minutes_refuses_no_claim() {
    let mut fleet = KeyedFleet::start(4);
    fleet.store.faults.down = true;
    let nodes = fleet.nodes();
    let mut handles = Vec::new();
    for minute in 0..10 {
        for claim in 0..60 {
            let key = format!("claim-{minute}-{claim}");
            handles.push(fleet.submit(nodes[claim % 4], &key));
            fleet.run(Duration::from_secs(1));
            handles.push(fleet.submit(nodes[(claim + 1) % 4], &key));
        }
    }
    fleet.run(Duration::from_secs(5));
    let answered = verdict::CallVerdict::Answered;
    let refused = handles
        .iter()
        .filter(|handle| fleet.told(**handle).verdict != answered);
    assert_eq!(refused.count(), 0);
    assert_eq!(fleet.most_runs(), 1);
    assert_eq!(fleet.runs.len(), 600);
}

// One of four nodes crashes under a steady stream of claims. Claims whose owner it was wait for
// the takeover; a few that were running at its target end in doubt. No claim runs twice, though
// every caller that was not answered sends its claim again to another node.
#[test]
fn crash_of_one_owner_of_four() {
    let mut fleet = KeyedFleet::start(4);
    let nodes = fleet.nodes();
    let mut sent = Vec::new();
    for step in 0..2_000_usize {
        if step == 500 {
            fleet.crash(nodes[3]);
        }
        let key = format!("claim-{step}");
        sent.push((step, fleet.now, fleet.submit(nodes[step % 3], &key)));
        fleet.run(Duration::from_millis(10));
    }
    fleet.run(Duration::from_secs(10));
    let mut resent = Vec::new();
    let mut waited = Duration::ZERO;
    let mut refused = 0;
    let mut doubtful = 0;
    for (step, at, handle) in sent {
        let told = fleet.told(handle).clone();
        waited = waited.max(told.at.since(at));
        match told.verdict {
            verdict::CallVerdict::Answered => continue,
            verdict::CallVerdict::NotRun(_) => refused += 1,
            verdict::CallVerdict::MayHaveRun(_) => doubtful += 1,
        }
        resent.push(fleet.submit(nodes[(step + 1) % 3], &format!("claim-{step}")));
    }
    println!(
        "of 2000 claims in 20 s: refused {refused}, in doubt {doubtful}, longest wait {waited:?}"
    );
    assert_eq!(refused, 0, "claims given up though an owner took over");
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.most_runs(), 1);
    for handle in resent {
        let verdict = fleet.told(handle).verdict;
        assert!(
            !matches!(verdict, verdict::CallVerdict::NotRun(_)),
            "{verdict:?}"
        );
    }
}

// An owner crashes while the store is out. Keys of its slots can't be granted: no third node may
// learn of a change that is not in the store. Their callers are told so at once, as not run, and
// the rest goes on. Once the store is back, the same keys are answered, each with one run.
#[test]
fn crash_in_a_store_outage_refuses_at_once() {
    let mut fleet = KeyedFleet::start(4);
    let nodes = fleet.nodes();
    fleet.store.faults.down = true;
    fleet.crash(nodes[3]);
    fleet.run(Duration::from_secs(10));
    let claims = |fleet: &mut KeyedFleet| -> Vec<(anvil_types::time::NodeTime, u64)> {
        let mut sent = Vec::new();
        for claim in 0..400 {
            sent.push((
                fleet.now,
                fleet.submit(nodes[claim % 3], &format!("claim-{claim}")),
            ));
            fleet.run(Duration::from_millis(50));
        }
        fleet.run(Duration::from_secs(10));
        sent
    };
    let mut refused = 0;
    let mut waited = Duration::ZERO;
    for (at, handle) in claims(&mut fleet) {
        let told = fleet.told(handle);
        waited = waited.max(told.at.since(at));
        match told.verdict {
            verdict::CallVerdict::Answered => {}
            verdict::CallVerdict::NotRun(verdict::RefusalReason::KeyUnavailable) => refused += 1,
            other => panic!("{other:?}"),
        }
    }
    println!("of 400 claims refused {refused}, longest wait {waited:?}");
    assert!((1..300).contains(&refused), "{refused}");
    assert!(waited < Duration::from_secs(1), "{waited:?}");
    fleet.store.faults.down = false;
    fleet.run(Duration::from_secs(10));
    for (_, handle) in claims(&mut fleet) {
        assert_eq!(fleet.told(handle).verdict, verdict::CallVerdict::Answered);
    }
    assert_eq!(fleet.runs.len(), 400);
    assert_eq!(fleet.most_runs(), 1);
}

// A node has just started, and no owner of keys has heard of it yet: rumours take a second or two to
// reach everybody. Citizens file claims through it. Its questions reach the owners, which answer
// where the questions came from; an owner that waited to hear of the node would let claims wait until
// their callers give up.
#[test]
fn claims_through_a_node_that_no_owner_has_heard_of_are_filed() {
    let mut fleet = KeyedFleet::start(4);
    fleet.add(4);
    let newborn = *fleet.nodes().last().unwrap();
    fleet.unheard = Some(newborn);
    fleet.run(Duration::from_secs(5));
    let sent: Vec<_> = (0..40)
        .map(|claim| fleet.submit(newborn, &format!("claim-{claim}")))
        .collect();
    fleet.run(Duration::from_secs(2));
    let answered = |handle: &&u64| {
        let mut told = fleet.told.iter().filter(|told| told.handle == **handle);
        told.any(|told| told.verdict == verdict::CallVerdict::Answered)
    };
    assert_eq!(sent.iter().filter(answered).count(), sent.len());
    assert_eq!(fleet.most_runs(), 1);
}

// Nodes are restarted one after the other, 200 times, while claims go on. No claim is cut, none is
// refused and none runs twice, because a stopping node hands its slots to their backups first. A
// second copy sent a moment later gets the answer, or hears that the first copy is in progress.
#[test]
fn planned_restarts_cut_no_claim() {
    let mut fleet = KeyedFleet::start(4);
    let (mut firsts, mut seconds) = (Vec::new(), Vec::new());
    for round in 0..200 {
        let nodes = fleet.nodes();
        let (leaving, others) = nodes.split_first().unwrap();
        let place = fleet.place(*leaving);
        fleet.stop(*leaving);
        for claim in 0..20 {
            let key = format!("claim-{round}-{claim}");
            firsts.push(fleet.submit(others[claim % 2], &key));
            fleet.run(Duration::from_millis(100));
            seconds.push(fleet.submit(others[(claim + 1) % 2], &key));
        }
        fleet.run(Duration::from_secs(4));
        assert!(
            !fleet.nodes().contains(leaving),
            "round {round}: still there"
        );
        fleet.add(place);
        fleet.run(Duration::from_secs(4));
    }
    let verdicts = |handles: &[u64]| -> Vec<verdict::CallVerdict> {
        handles
            .iter()
            .map(|handle| fleet.told(*handle).verdict)
            .collect()
    };
    let answered = |verdict: &verdict::CallVerdict| *verdict == verdict::CallVerdict::Answered;
    let cut = verdicts(&firsts)
        .into_iter()
        .find(|verdict| !answered(verdict));
    assert_eq!(cut, None);
    let running = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::InProgress);
    let told: Vec<_> = verdicts(&seconds)
        .into_iter()
        .filter(|told| !answered(told))
        .collect();
    println!(
        "of {} second copies, {} heard of the first in progress",
        seconds.len(),
        told.len()
    );
    assert!(told.iter().all(|told| *told == running), "{told:?}");
    assert_eq!(fleet.most_runs(), 1);
    assert_eq!(fleet.runs.len(), 4_000);
}
