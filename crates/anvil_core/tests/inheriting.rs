//! What a call of the local target takes over from the request that it serves.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use anvil_core::event;
use anvil_wire::frame;

// A claim whose rule lets it wait two seconds in queues calls a lookup that no rule lets wait
// for more than the default. The lookup must wait as long as the claim may, or the claim is
// refused behind a slow service while it could still wait.
#[test]
fn call_waits_as_long_as_the_request_it_serves() {
    let mut node = support::target_node(8);
    support::learn(&mut node, support::PEER);
    let event::NodeEvent::FrameArrived {
        peer,
        frame: frame::PeerFrame::Call(mut claim),
    } = support::peer_call(1, false)
    else {
        unreachable!("the helper makes a call");
    };
    claim.treatment.queue_wait = Duration::from_secs(2);
    let claim = frame::PeerFrame::Call(claim);
    let effects = node.step(
        support::at(1),
        event::NodeEvent::FrameArrived { peer, frame: claim },
    );
    let run = support::started(&effects)[0];
    let lookup = support::call_of(run);
    // The node may choose its own target, too; only a call that leaves can be looked at here.
    node.step(support::at(2), event::NodeEvent::TargetLeaving);
    let effects = node.step(support::at(3), lookup);
    let (_, sent) = support::sent_calls(&effects).remove(0);
    assert_eq!(sent.treatment.queue_wait, Duration::from_secs(2));
}
