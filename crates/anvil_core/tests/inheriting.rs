//! Settings that a call by the local target inherits from the request that it serves.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use anvil_core::event;
use anvil_wire::frame;

// A claim may wait two seconds in queues by its rule, and its target calls a lookup for which no
// rule extends the default. The lookup must be allowed the claim's wait, or the claim fails behind
// a slow service although it could still wait.
#[test]
fn call_waits_as_long_as_the_request_it_serves() {
    let mut node = support::target_node(8);
    support::add_peer(&mut node, support::PEER);
    let event::NodeEvent::FrameArrived {
        peer,
        frame: frame::PeerFrame::Call(mut claim),
    } = support::peer_call(1, false)
    else {
        unreachable!("the helper returns a call");
    };
    claim.treatment.queue_wait = Duration::from_secs(2);
    let claim = frame::PeerFrame::Call(claim);
    let effects = node.step(
        support::at(1),
        event::NodeEvent::FrameArrived { peer, frame: claim },
    );
    let run = support::started(&effects)[0];
    let lookup = support::child_call(run);
    // Withdraws the node's own target, so that the call is sent to the peer and can be inspected.
    node.step(support::at(2), event::NodeEvent::TargetLeaving);
    let effects = node.step(support::at(3), lookup);
    let (_, sent) = support::sent_calls(&effects).remove(0);
    assert_eq!(sent.treatment.queue_wait, Duration::from_secs(2));
}
