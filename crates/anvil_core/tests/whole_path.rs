//! Requests through the reducer of one node with a local target.

#![allow(clippy::unwrap_used)]

mod variant;

use std::time::Duration;

use anvil_core::{config, effect, event, reducer};
use anvil_types::{ident, name, time, verdict};
use anvil_wire::call;
use bytes::Bytes;

fn node() -> reducer::NodeReducer {
    let address = "127.0.0.1:7000".parse().unwrap();
    let config = config::NodeConfig {
        node: ident::NodeId(1),
        zone: name::ZoneName::new("ar-centro-a").unwrap(),
        region: name::RegionName::new("ar-centro").unwrap(),
        peer_address: address,
        gossip_address: address,
        seeds: Vec::new(),
    };
    let mut node = reducer::NodeReducer::with_policy(config, 1, variant::POLICY);
    let announcement = event::TargetAnnouncement {
        service: name::ServiceName::new("audiencias").unwrap(),
        address: "127.0.0.1:8000".parse().unwrap(),
        slots: 1,
        connections: 350,
        lease: Duration::from_secs(60),
        warm: false,
        incarnation: None,
    };
    node.step(at(0), event::NodeEvent::TargetAnnounced(announcement));
    node
}

fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

fn arrive(service: &str, handle: u64) -> event::NodeEvent {
    let request = call::CallRequest {
        service: name::ServiceName::new(service).unwrap(),
        method: "GET".to_owned(),
        path: "/hearings/7".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    event::NodeEvent::CallArrived {
        handle: event::CallerHandle(handle),
        request: Box::new(request),
        hints: event::CallerHints::default(),
    }
}

fn started(effects: &[effect::NodeEffect]) -> Vec<event::RunId> {
    let runs = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::RunTarget(order) => Some(order.run),
        _ => None,
    });
    runs.collect()
}

fn replies(effects: &[effect::NodeEffect]) -> Vec<(u64, verdict::CallVerdict)> {
    let replies = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::ReplyCaller { handle, reply } => Some((handle.0, reply.verdict)),
        _ => None,
    });
    replies.collect()
}

fn answered() -> event::RunOutcome {
    event::RunOutcome::Answered(call::CallAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"whole"),
    })
}

#[test]
fn request_runs_and_its_answer_returns() {
    let mut node = node();
    let runs = started(&node.step(at(1), arrive("audiencias", 1)));
    assert_eq!(runs.len(), 1);
    let ended = event::NodeEvent::RunEnded {
        run: runs[0],
        outcome: answered(),
        statement: None,
        exchange: None,
    };
    let effects = node.step(at(2), ended);
    assert_eq!(replies(&effects), [(1, verdict::CallVerdict::Answered)]);
}

#[test]
fn unknown_service_is_refused_at_once() {
    let mut node = node();
    let effects = node.step(at(1), arrive("nowhere", 1));
    let reason = verdict::RefusalReason::UnknownService;
    assert_eq!(
        replies(&effects),
        [(1, verdict::CallVerdict::NotRun(reason))]
    );
}

// Two stop requests arrive while one request runs in the only slot and another is queued. The first
// lets both continue, the second ends them: the running one as "may have run", the queued one as
// "not run". Ending the first must not start the queued one, since "not run" would then be false.
#[test]
fn forced_stop_tells_queued_from_running() {
    let mut node = node();
    node.step(at(1), arrive("audiencias", 1));
    node.step(at(2), arrive("audiencias", 2));
    assert!(replies(&node.step(at(3), event::NodeEvent::StopRequested)).is_empty());
    let effects = node.step(at(4), event::NodeEvent::StopRequested);
    assert!(started(&effects).is_empty());
    let verdicts = replies(&effects);
    let may_have_run = verdict::CallVerdict::MayHaveRun(verdict::UncertaintyReason::Stopped);
    assert_eq!(verdicts[0], (1, may_have_run));
    assert_eq!(
        verdicts[1],
        (
            2,
            verdict::CallVerdict::NotRun(verdict::RefusalReason::Leaving)
        )
    );
    assert!(matches!(effects.last(), Some(effect::NodeEffect::Exit)));
}
