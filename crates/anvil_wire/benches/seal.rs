//! Benchmarks of the authentication; for results see `docs/design/peer-authentication.md`.

use std::sync::Arc;

use anvil_types::ident;
use anvil_wire::seal::{datagram, handshake, ring, stream};
use anvil_wire::{codec, frame};

const FRAME_BYTES: [usize; 4] = [256, 2_048, 65_536, 1_048_576];

const DATAGRAM_BYTES: usize = 500;

fn main() {
    divan::main();
}

fn keys() -> ring::KeyRing {
    let key = ring::SealKey::new(ring::KeyId(1), &[7; 32]).expect("a long secret");
    ring::KeyRing::new(vec![key]).expect("a ring")
}

fn hello(node: u64) -> frame::PeerHello {
    frame::PeerHello {
        version: frame::PROTOCOL_VERSION,
        node: ident::NodeId(node),
        address: "10.0.0.2:7000".parse().expect("an address"),
    }
}

fn connect() -> (stream::SealedStream, stream::SealedStream) {
    let nonce = handshake::HandshakeNonce([1; handshake::NONCE_BYTES]);
    let begun = handshake::InitiatorHandshake::begin(&keys(), hello(1), nonce);
    let (initiator, first) = begun.expect("a hello");
    let first = &first[codec::LENGTH_BYTES..];
    let answered = handshake::ResponderHandshake::begin(&keys(), &hello(2), nonce, first);
    let (responder, second) = answered.expect("a challenge");
    let finished = initiator.finish(&second[codec::LENGTH_BYTES..], None);
    let (initiator, third) = finished.expect("the responder is authenticated");
    let responder = responder.finish(&third[codec::LENGTH_BYTES..]);
    (
        initiator,
        responder.expect("the initiator is authenticated"),
    )
}

#[divan::bench]
fn handshake_both_ends() -> (stream::SealedStream, stream::SealedStream) {
    connect()
}

#[divan::bench(args = FRAME_BYTES)]
fn seal_frame(bencher: divan::Bencher<'_, '_>, size: usize) {
    let (mut initiator, _) = connect();
    let counter = divan::counter::BytesCount::new(size);
    bencher
        .counter(counter)
        .with_inputs(|| {
            let mut bytes = Vec::with_capacity(codec::LENGTH_BYTES + size + 16);
            bytes.resize(codec::LENGTH_BYTES + size, 7);
            bytes
        })
        .bench_local_refs(|bytes| initiator.sealer.seal(bytes));
}

#[divan::bench]
fn seal_and_open_datagram(bencher: divan::Bencher<'_, '_>) {
    let address = "10.0.0.2:7000".parse().expect("an address");
    let ring = Arc::new(keys());
    let mut sealer = datagram::DatagramSealer::new(Arc::clone(&ring), ident::NodeId(1));
    let mut opener = datagram::DatagramOpener::new(ring, address);
    bencher.bench_local(|| {
        let bytes = sealer.seal(address, &[7; DATAGRAM_BYTES]).expect("fits");
        opener.open(&bytes).expect("a valid datagram").payload.len()
    });
}
