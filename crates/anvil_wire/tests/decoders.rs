//! Feeds malformed and hostile input to every decoder of bytes from other processes.

// A counting allocator requires `unsafe`; it only forwards its calls.
#![allow(unsafe_code)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;

use anvil_types::{ident, verdict};
use anvil_wire::seal::{datagram, handshake, ring};
use anvil_wire::{call, codec, frame};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Counts the bytes allocated by each thread and their peak.
struct CountingAllocator;

thread_local! {
    static ALLOCATED: Cell<isize> = const { Cell::new(0) };
    static PEAK: Cell<isize> = const { Cell::new(0) };
}

fn count(bytes: isize) {
    // The counters of a thread that is ending are already destroyed; its bytes don't matter.
    let _ = ALLOCATED.try_with(|allocated| {
        allocated.set(allocated.get() + bytes);
        let _ = PEAK.try_with(|peak| peak.set(peak.get().max(allocated.get())));
    });
}

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-(layout.size() as isize));
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// The peak number of bytes that `work` allocates beyond those allocated before.
fn peak_allocation<W, T>(work: W) -> usize
where
    W: FnOnce() -> T,
{
    let before = ALLOCATED.get();
    PEAK.set(before);
    let result = work();
    drop(result);
    usize::try_from(PEAK.get() - before).expect("the peak is at least the start value")
}

/// Bytes that a decoder may allocate regardless of its input: the header lines of one message and
/// small values.
const FIXED_BYTES: usize = 256 * 1024;

/// Bytes that a decoder may allocate per byte of its input: the value itself, and a second
/// allocation while a buffer grows.
const BYTES_PER_INPUT_BYTE: usize = 3;

fn check_memory<W, T>(input: &[u8], work: W)
where
    W: FnOnce() -> T,
{
    let peak = peak_allocation(work);
    let limit = FIXED_BYTES + BYTES_PER_INPUT_BYTE * input.len();
    assert!(
        peak <= limit,
        "{peak} bytes for an input of {}",
        input.len()
    );
}

fn keys() -> Arc<ring::KeyRing> {
    let key = ring::SealKey::new(ring::KeyId(1), &[7; 32]).expect("a long secret");
    Arc::new(ring::KeyRing::new(vec![key]).expect("a ring"))
}

fn hello() -> frame::PeerHello {
    frame::PeerHello {
        version: frame::PROTOCOL_VERSION,
        node: ident::NodeId(2),
        address: address(),
    }
}

fn address() -> SocketAddr {
    "10.0.0.2:7000".parse().expect("an address")
}

fn nonce() -> handshake::HandshakeNonce {
    handshake::HandshakeNonce([3; handshake::NONCE_BYTES])
}

/// Passes `bytes` to every decoder; none may panic, allocate too much, or accept an unauthenticated
/// message.
fn check_decoders(bytes: &[u8]) {
    check_memory(bytes, || codec::decode_frame(bytes));
    let mut opener = datagram::DatagramOpener::new(keys(), address());
    check_memory(bytes, || {
        assert!(opener.open(bytes).is_err());
    });
    check_memory(bytes, || {
        let own = hello();
        handshake::ResponderHandshake::begin(&keys(), &own, nonce(), bytes)
    });
    let mut peer = hello();
    peer.node = ident::NodeId(1);
    let begun = handshake::InitiatorHandshake::begin(&keys(), peer, nonce());
    let (initiator, _) = begun.expect("a hello");
    check_memory(bytes, || {
        assert!(initiator.finish(bytes, None).is_err());
    });
}

fn answer_frame(headers: Vec<call::HeaderLine>, body: &[u8]) -> frame::PeerFrame {
    let node = ident::NodeId(1);
    frame::PeerFrame::Answer(Box::new(call::PeerAnswer {
        call: ident::CallId { node, sequence: 4 },
        attempt: 1,
        verdict: verdict::CallVerdict::Answered,
        answer: Some(call::CallAnswer {
            status: 200,
            headers,
            body: body.to_vec().into(),
        }),
        retries_spent: 0,
        failed_below: false,
        load: call::LoadReport::default(),
    }))
}

fn header_lines(count: usize) -> Vec<call::HeaderLine> {
    let line = call::HeaderLine {
        name: "x-a".to_owned(),
        value: "b".into(),
    };
    vec![line; count]
}

fn encoded(frame: &frame::PeerFrame) -> Vec<u8> {
    let bytes = codec::encode_frame(frame).expect("a frame");
    bytes[codec::LENGTH_BYTES..].to_vec()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_are_refused_within_bounds(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        check_decoders(&bytes);
    }

    #[test]
    fn corrupted_frames_are_refused_within_bounds(
        body in prop::collection::vec(any::<u8>(), 0..200),
        lines in 0..20_usize,
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = encoded(&answer_frame(header_lines(lines), &body));
        let position = position.index(bytes.len());
        bytes[position] = byte;
        check_decoders(&bytes);
        bytes.truncate(cut.index(bytes.len()));
        check_decoders(&bytes);
    }

    #[test]
    fn frames_survive_a_round_trip(
        body in prop::collection::vec(any::<u8>(), 0..2_000),
        lines in 0..20_usize,
    ) {
        let frame = answer_frame(header_lines(lines), &body);
        prop_assert_eq!(codec::decode_frame(&encoded(&frame)), Ok(frame));
    }

    #[test]
    fn lengths_above_the_limits_are_refused(prefix in any::<[u8; 4]>()) {
        let length = u32::from_be_bytes(prefix) as usize;
        prop_assert_eq!(codec::check_length(prefix).is_ok(), length <= codec::MAX_FRAME_BYTES);
        let accepted = handshake::check_length(prefix).is_ok();
        prop_assert_eq!(accepted, length <= handshake::MAX_MESSAGE_BYTES);
    }
}

#[test]
fn refuses_more_header_lines_than_allowed() {
    let allowed = encoded(&answer_frame(header_lines(call::MAX_HEADER_LINES), b""));
    assert!(codec::decode_frame(&allowed).is_ok());
    let above = encoded(&answer_frame(header_lines(call::MAX_HEADER_LINES + 1), b""));
    assert!(codec::decode_frame(&above).is_err());
}

#[test]
fn a_frame_of_header_lines_only_stays_small_in_memory() {
    // A faulty peer fills a frame with minimal header lines. Each takes two bytes on the wire and
    // about fifty in memory; without a limit on their number, one frame would take hundreds of
    // megabytes at the receiver.
    let line = call::HeaderLine {
        name: String::new(),
        value: bytes::Bytes::new(),
    };
    let frame = answer_frame(vec![line; codec::MAX_BODY_BYTES / 2], b"");
    let bytes = encoded(&frame);
    drop(frame);
    check_memory(&[], || codec::decode_frame(&bytes));
}
