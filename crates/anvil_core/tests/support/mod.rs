//! Helpers that drive one node, its target and one peer event by event.

#![allow(clippy::unwrap_used, dead_code, missing_docs, unreachable_pub)]

#[path = "../variant/mod.rs"]
pub mod variant;

use std::net::SocketAddr;
use std::time::Duration;

use anvil_core::{config, directory, effect, event, reducer};
use anvil_overload::policy;
use anvil_types::{context, ident, name, time, treatment, verdict};
use anvil_wire::{call, frame};
use bytes::Bytes;

pub const NODE: ident::NodeId = ident::NodeId(1);
pub const PEER: ident::NodeId = ident::NodeId(2);
pub const SERVICE: &str = "expediente";

pub fn at(millis: u64) -> time::NodeTime {
    time::NodeTime::from_millis(millis)
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn service() -> name::ServiceName {
    name::ServiceName::new(SERVICE).unwrap()
}

/// A node without a target of its own.
pub fn entry_node() -> reducer::NodeReducer {
    reducer::NodeReducer::with_policy(config(), 1, variant::POLICY)
}

/// An entry node with other switches.
pub fn node_with_policy(policy: policy::OverloadPolicy) -> reducer::NodeReducer {
    reducer::NodeReducer::with_policy(config(), 1, policy)
}

/// An entry node with another id.
pub fn node_with_id(node: ident::NodeId) -> reducer::NodeReducer {
    reducer::NodeReducer::with_policy(config::NodeConfig { node, ..config() }, 1, variant::POLICY)
}

/// A node that has a seed and has received nothing from it yet.
pub fn fresh_node() -> reducer::NodeReducer {
    let mut config = config();
    config.seeds = vec![address(7009)];
    reducer::NodeReducer::with_policy(config, 1, variant::POLICY)
}

fn config() -> config::NodeConfig {
    let address = address(7000);
    config::NodeConfig {
        node: NODE,
        zone: name::ZoneName::new("ar-centro-a").unwrap(),
        region: name::RegionName::new("ar-centro").unwrap(),
        peer_address: address,
        gossip_address: address,
        seeds: Vec::new(),
    }
}

/// A node with a target of `slots` slots.
pub fn target_node(slots: u32) -> reducer::NodeReducer {
    with_target(entry_node(), slots)
}

/// Gives `node` a target of `slots` slots.
pub fn with_target(mut node: reducer::NodeReducer, slots: u32) -> reducer::NodeReducer {
    node.step(at(0), announcement(slots));
    node
}

/// The announcement of a target that has just started.
pub fn announcement(slots: u32) -> event::NodeEvent {
    event::NodeEvent::TargetAnnounced(event::TargetAnnouncement {
        service: service(),
        address: address(8000),
        slots,
        connections: 350,
        lease: Duration::from_secs(600),
        warm: false,
        incarnation: None,
    })
}

/// Adds a peer with a target of the service to those known to `node`.
pub fn add_peer(node: &mut reducer::NodeReducer, peer: ident::NodeId) {
    let record = directory::PeerRecord {
        address: address(7100 + u16::try_from(peer.0).unwrap()),
        service: service(),
        zone: name::ZoneName::new("ar-centro-a").unwrap(),
        slots: 8,
        leaving: false,
        announced: 0,
    };
    node.add_peer(at(0), peer, record);
}

pub fn request(method: &str) -> call::CallRequest {
    call::CallRequest {
        service: service(),
        method: method.to_owned(),
        path: "/claims/7".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

pub fn arrival(handle: u64, method: &str) -> event::NodeEvent {
    event::NodeEvent::CallArrived {
        handle: event::CallerHandle(handle),
        request: Box::new(request(method)),
        hints: event::CallerHints::default(),
    }
}

/// The arrival of a call frame from the peer.
pub fn peer_call(sequence: u64, idempotent: bool) -> event::NodeEvent {
    let treatment = treatment::RuleTreatment {
        idempotent,
        ..treatment::RuleTreatment::default()
    };
    let context = context::CallContext {
        request: ident::RequestId(u128::from(sequence)),
        class: treatment.class,
        rule_class: None,
        lane: context::LaneHash(0),
        remaining_micros: 5_000_000,
        retries_left: 0,
        depth: 0,
        idempotent,
        repeat: false,
        key: None,
        fingerprint: ident::RequestFingerprint(sequence),
    };
    let call = call::PeerCall {
        account: None,
        call: ident::CallId {
            node: PEER,
            sequence,
        },
        attempt: 1,
        reply_to: address(7102),
        context,
        treatment,
        rule: treatment::RuleReference::default(),
        label: None,
        request: request(if idempotent { "GET" } else { "POST" }),
        notice: None,
    };
    event::NodeEvent::FrameArrived {
        peer: PEER,
        frame: frame::PeerFrame::Call(Box::new(call)),
    }
}

/// The arrival of a call that the local target makes on behalf of `run`.
pub fn child_call(run: event::RunId) -> event::NodeEvent {
    event::NodeEvent::CallArrived {
        handle: event::CallerHandle(1),
        request: Box::new(request("GET")),
        hints: event::CallerHints {
            parent: Some(event::ParentToken(run)),
            ..event::CallerHints::default()
        },
    }
}

/// The calls among the frames sent, each with its receiver.
pub fn sent_calls(effects: &[effect::NodeEffect]) -> Vec<(ident::NodeId, call::PeerCall)> {
    let calls = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::SendFrame {
            peer,
            frame: frame::PeerFrame::Call(call),
            ..
        } => Some((*peer, (**call).clone())),
        _ => None,
    });
    calls.collect()
}

/// The outcome of a run with a complete answer.
pub fn answered() -> event::RunOutcome {
    event::RunOutcome::Answered(call::CallAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"whole"),
    })
}

/// The arrival of a frame with `peer`'s answer to a call.
pub fn answer(
    peer: ident::NodeId,
    call: &call::PeerCall,
    verdict: verdict::CallVerdict,
) -> event::NodeEvent {
    let content = call::CallAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"whole"),
    };
    let answered = verdict == verdict::CallVerdict::Answered;
    let answer = call::PeerAnswer {
        call: call.call,
        attempt: call.attempt,
        verdict,
        answer: answered.then_some(content),
        retries_spent: 0,
        failed_below: false,
        load: call::LoadReport::default(),
    };
    event::NodeEvent::FrameArrived {
        peer,
        frame: frame::PeerFrame::Answer(Box::new(answer)),
    }
}

/// The runs that were started at the local target.
pub fn started(effects: &[effect::NodeEffect]) -> Vec<event::RunId> {
    let runs = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::RunTarget(order) => Some(order.run),
        _ => None,
    });
    runs.collect()
}

/// The replies to callers, each with the caller's handle.
pub fn replies(effects: &[effect::NodeEffect]) -> Vec<(u64, verdict::CallVerdict)> {
    let replies = effects.iter().filter_map(|effect| match effect {
        effect::NodeEffect::ReplyCaller { handle, reply } => Some((handle.0, reply.verdict)),
        _ => None,
    });
    replies.collect()
}

/// Fires all timers of `node` that are due up to `until`, and collects the effects.
pub fn run_until(
    node: &mut reducer::NodeReducer,
    until: time::NodeTime,
) -> Vec<effect::NodeEffect> {
    let mut effects = Vec::new();
    while let Some(wake) = node.next_wake().filter(|wake| *wake <= until) {
        effects.extend(node.step(wake, event::NodeEvent::TimerFired));
    }
    effects
}
