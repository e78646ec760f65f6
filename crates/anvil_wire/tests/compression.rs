//! Compression of frames against the earlier frames of their connection.

use anvil_testkit::test_cases;
use anvil_types::{context, ident, name, treatment};
use anvil_wire::{call, codec, compression, frame};
use proptest::{collection, prelude::*};

fn line(name: &str, value: &str) -> call::HeaderLine {
    call::HeaderLine {
        name: name.to_owned(),
        value: value.to_owned().into(),
    }
}

/// A call of one route; `number` makes its ids unique.
fn call(number: u64, body: usize) -> frame::PeerFrame {
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1 << 60;
    let request = call::CallRequest {
        service: name::ServiceName::new("expediente").expect("a name"),
        method: "GET".to_owned(),
        path: format!("/pruebas/actas/{:06x}", mixed >> 40),
        headers: vec![
            line("host", "portal.reclamo.example"),
            line("user-agent", "sdk-client/1.9.3"),
            line("accept", "*/*"),
            line("accept-encoding", "identity"),
            line("caller-service", "audiencias"),
        ],
        body: vec![mixed.to_le_bytes()[7]; body].into(),
    };
    frame::PeerFrame::Call(Box::new(call::PeerCall {
        account: None,
        call: ident::CallId {
            node: ident::NodeId(0x1dba_3399_be06_54aa),
            sequence: number,
        },
        attempt: 1,
        reply_to: "10.1.0.8:7620".parse().expect("an address"),
        context: context::CallContext {
            request: ident::RequestId(u128::from(mixed) << 60),
            class: context::PriorityClass::High,
            rule_class: None,
            lane: context::LaneHash(mixed.to_le_bytes()[3]),
            remaining_micros: 700_000 - number % 1_000,
            retries_left: 3,
            depth: 2,
            idempotent: true,
            repeat: false,
            key: None,
            fingerprint: ident::RequestFingerprint(mixed),
        },
        treatment: treatment::RuleTreatment::default(),
        rule: treatment::RuleReference::default(),
        label: Some(ident::RequestLabel::new(&format!(
            "{mixed:016x}.{mixed:016x}"
        ))),
        request,
        notice: None,
    }))
}

fn encoded(frame: &frame::PeerFrame) -> Vec<u8> {
    codec::encode_frame(frame).expect("a frame")
}

fn decompress(decompressor: &mut compression::FrameDecompressor, bytes: &[u8]) -> frame::PeerFrame {
    let (length, rest) = bytes.split_first_chunk().expect("a length");
    assert_eq!(codec::check_length(*length), Ok(rest.len()));
    let plain = decompressor.decompress(rest).expect("a frame");
    codec::decode_frame(&plain).expect("a frame")
}

// Many calls of one route follow each other. From the second on, they compress to less than half of
// their size; what remains is mostly their ids, which are unique.
#[test]
fn calls_of_one_route_compress_to_less_than_half() {
    let (mut compressor, mut decompressor) = Default::default();
    let mut bytes = (0, 0);
    for number in 0..200 {
        let plain = encoded(&call(number, 0));
        let compressed = compression::FrameCompressor::compress(&mut compressor, plain.clone());
        if number > 0 {
            bytes.0 += plain.len();
            bytes.1 += compressed.len();
        }
        assert_eq!(decompress(&mut decompressor, &compressed), call(number, 0));
    }
    let (plain, compressed) = bytes;
    assert!(compressed * 100 < plain * 45, "{compressed} of {plain}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    // Short and long frames in any order, some too long to be compressed.
    #[test]
    fn every_frame_survives_a_round_trip(bodies in collection::vec(0_usize..4_000, 1..60)) {
        let mut compressor = compression::FrameCompressor::default();
        let mut decompressor = compression::FrameDecompressor::default();
        for (number, body) in bodies.into_iter().enumerate() {
            let sent = call(number as u64, body);
            let compressed = compressor.compress(encoded(&sent));
            prop_assert!(compressed.len() <= encoded(&sent).len());
            prop_assert_eq!(decompress(&mut decompressor, &compressed), sent);
        }
    }

    // Arbitrary bytes in a compressed frame give an error or a frame of legal length; nothing
    // panics.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in collection::vec(any::<u8>(), 0..300)) {
        let mut decompressor = compression::FrameDecompressor::default();
        let mut compressed = vec![0x80];
        compressed.extend_from_slice(&bytes);
        if let Ok(plain) = decompressor.decompress(&compressed) {
            prop_assert!(plain.len() <= 2_048);
        }
    }
}

fn malformed_frames_are_refused(bytes: &[u8], reason: &str) {
    let refused = compression::FrameDecompressor::default().decompress(bytes);
    let error = refused.expect_err("a malformed frame").to_string();
    assert!(error.contains(reason), "{error}");
}

test_cases! {
    malformed_frames_are_refused:
    no_length => (&[0x80, 0], "without its length"),
    too_long => (&[0x80, 0xff, 0xff, 0], "above the limit"),
    empty_block => (&[0x80, 0, 9], "not a valid frame"),
    fewer_than_announced => (&[0x80, 0, 9, 0x10, 1], "1 bytes after decompression, 9 announced"),
}
