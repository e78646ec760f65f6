//! Frames are read from a byte stream independently of how the network fragments it.

#![allow(clippy::unwrap_used)]

mod common;

use anvil_node::peer::stream::{FrameReader, StreamError};
use anvil_testkit::test_cases;
use anvil_types::ident;
use anvil_wire::seal::{handshake, stream};
use anvil_wire::{codec, frame};
use common::fake_peer;
use tokio::io::AsyncWriteExt;
use tokio::runtime;

/// Both ends of a connection after the handshake, without a socket.
fn ends() -> (stream::SealedStream, stream::SealedStream) {
    let ring = fake_peer::key_ring(0);
    let address = "127.0.0.1:9".parse().unwrap();
    let own = fake_peer::hello(frame::PROTOCOL_VERSION, address);
    let mut other = own.clone();
    other.node = ident::NodeId(1);
    let nonce = handshake::HandshakeNonce([1; handshake::NONCE_BYTES]);
    let begun = handshake::InitiatorHandshake::begin(&ring, own, nonce);
    let (initiator, hello) = begun.unwrap();
    let hello = &hello[codec::LENGTH_BYTES..];
    let begun = handshake::ResponderHandshake::begin(&ring, &other, nonce, hello);
    let (responder, challenge) = begun.unwrap();
    let challenge = &challenge[codec::LENGTH_BYTES..];
    let (near, proof) = initiator.finish(challenge, None).unwrap();
    let far = responder.finish(&proof[codec::LENGTH_BYTES..]).unwrap();
    (near, far)
}

fn frames() -> Vec<frame::PeerFrame> {
    let cancel = |sequence| frame::PeerFrame::Cancel {
        call: ident::CallId {
            node: ident::NodeId(3),
            sequence,
        },
        attempt: 1,
    };
    [0, 1, 127, 128, u64::MAX].map(cancel).to_vec()
}

fn sealed_bytes(sealer: &mut stream::FrameSealer) -> Vec<u8> {
    let mut bytes = Vec::new();
    for frame in frames() {
        let mut encoded = codec::encode_frame(&frame).unwrap();
        sealer.seal(&mut encoded);
        bytes.extend_from_slice(&encoded);
    }
    bytes
}

/// Reads frames from `bytes`, which arrive in pieces of `size` bytes, to the end.
fn read_pieces(bytes: Vec<u8>, size: usize) -> (Vec<frame::PeerFrame>, StreamError) {
    let (_, far) = ends();
    let runtime = runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async move {
        let (mut sender, receiver) = tokio::io::duplex(size);
        let sending = tokio::spawn(async move {
            for piece in bytes.chunks(size) {
                sender.write_all(piece).await.unwrap();
            }
        });
        let mut reader = FrameReader::new(receiver, far.opener);
        let mut read = Vec::new();
        let error = loop {
            match reader.next().await {
                Ok(frame) => read.push(frame),
                Err(error) => break error,
            }
        };
        sending.await.unwrap();
        (read, error)
    })
}

fn fragmented_frames_are_reassembled(size: usize) {
    let (mut near, _) = ends();
    let (read, error) = read_pieces(sealed_bytes(&mut near.sealer), size);
    assert_eq!(read, frames());
    assert!(matches!(error, StreamError::Ended), "{error}");
}

test_cases! {
    fragmented_frames_are_reassembled:
    single_bytes => (1),
    three_bytes => (3),
    a_length_at_a_time => (4),
    odd_pieces => (29),
    all_at_once => (65_536),
}

// The connection ends at every possible position. Complete frames before it are delivered, and the
// end is reported as truncation unless it is between two frames.
#[test]
fn truncation_is_distinguished_from_a_clean_end() {
    let (mut near, _) = ends();
    let bytes = sealed_bytes(&mut near.sealer);
    let mut boundaries = vec![0];
    let (mut again, _) = ends();
    let mut length = 0;
    for frame in frames() {
        let mut encoded = codec::encode_frame(&frame).unwrap();
        again.sealer.seal(&mut encoded);
        length += encoded.len();
        boundaries.push(length);
    }
    for cut in 0..=bytes.len() {
        let (read, error) = read_pieces(bytes[..cut].to_vec(), 65_536);
        let complete = boundaries.iter().filter(|end| **end <= cut).count() - 1;
        assert_eq!(read.len(), complete, "cut at {cut}");
        let ended = matches!(error, StreamError::Ended);
        assert_eq!(ended, boundaries.contains(&cut), "cut at {cut}: {error}");
    }
}
