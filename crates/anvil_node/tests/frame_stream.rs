//! Frames come out of a byte stream the same, however the network cuts it.

#![allow(clippy::unwrap_used)]

mod common;

use anvil_node::peer::stream::{FrameReader, StreamError};
use anvil_testkit::test_cases;
use anvil_types::ident;
use anvil_wire::seal::{handshake, stream};
use anvil_wire::{codec, frame};
use common::impostor;
use tokio::io::AsyncWriteExt;
use tokio::runtime;

/// Both ends of a connection after their handshake, without a socket.
fn ends() -> (stream::SealedStream, stream::SealedStream) {
    let ring = impostor::key_ring(0);
    let address = "127.0.0.1:9".parse().unwrap();
    let own = impostor::hello(frame::PROTOCOL_VERSION, address);
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

/// Reads what arrives in pieces of `size` bytes, to the end.
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

fn pieces_make_no_difference(size: usize) {
    let (mut near, _) = ends();
    let (read, error) = read_pieces(sealed_bytes(&mut near.sealer), size);
    assert_eq!(read, frames());
    assert!(matches!(error, StreamError::Ended), "{error}");
}

test_cases! {
    pieces_make_no_difference:
    single_bytes => (1),
    three_bytes => (3),
    a_length_at_a_time => (4),
    odd_pieces => (29),
    all_at_once => (65_536),
}

// The network ends at every possible place: whole frames in front of it are delivered, and the end
// counts as truncated unless it falls between two frames.
#[test]
fn every_cut_is_told_from_an_end() {
    let (mut near, _) = ends();
    let bytes = sealed_bytes(&mut near.sealer);
    let mut borders = vec![0];
    let (mut again, _) = ends();
    let mut length = 0;
    for frame in frames() {
        let mut encoded = codec::encode_frame(&frame).unwrap();
        again.sealer.seal(&mut encoded);
        length += encoded.len();
        borders.push(length);
    }
    for cut in 0..=bytes.len() {
        let (read, error) = read_pieces(bytes[..cut].to_vec(), 65_536);
        let whole = borders.iter().filter(|end| **end <= cut).count() - 1;
        assert_eq!(read.len(), whole, "cut at {cut}");
        let ended = matches!(error, StreamError::Ended);
        assert_eq!(ended, borders.contains(&cut), "cut at {cut}: {error}");
    }
}
