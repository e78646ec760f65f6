//! Which datagrams are accepted.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;

use anvil_node::datagram;
use anvil_testkit::test_cases;
use anvil_types::ident;
use anvil_wire::gossip;
use anvil_wire::seal::{datagram as sealing, ring};

const SENDER: ident::NodeId = ident::NodeId(11);

fn keys() -> Arc<ring::KeyRing> {
    let key = ring::SealKey::new(ring::KeyId(1), &[7; 32]).unwrap();
    Arc::new(ring::KeyRing::new(vec![key]).unwrap())
}

fn receiver() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000))
}

fn message(from: ident::NodeId) -> gossip::GossipMessage {
    gossip::GossipMessage {
        head: gossip::GossipHead {
            from,
            incarnation: 0,
            revision: ident::RuleRevision(7),
            ready: true,
            confirmed: gossip::ConfirmationAge::UNKNOWN,
        },
        kind: gossip::GossipKind::Join,
        updates: Vec::new(),
    }
}

// A key holder sends a datagram whose head names another node. If it were accepted, that node would
// be assumed to hold revision 7 although it never announced that.
fn check(head_sender: ident::NodeId, extra: &[u8], accepted: bool) {
    let mut payload = postcard::to_stdvec(&message(head_sender)).unwrap();
    payload.extend_from_slice(extra);
    let mut sealer = sealing::DatagramSealer::new(keys(), SENDER);
    let bytes = sealer.seal(receiver(), &payload).unwrap();
    let mut opener = sealing::DatagramOpener::new(keys(), receiver());
    let read = datagram::read(&mut opener, &bytes);
    assert_eq!(read.is_some(), accepted);
}

test_cases! {
    check:
    matching_sender_is_accepted => (SENDER, b"", true),
    mismatched_sender_is_refused => (ident::NodeId(12), b"", false),
    trailing_bytes_are_refused => (SENDER, b"x", false),
}
