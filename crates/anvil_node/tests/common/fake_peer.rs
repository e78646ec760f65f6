//! A fake node under the control of a test: it has the shared key and sends what the test wants.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;

use anvil_types::{context, ident, name, treatment, verdict};
use anvil_wire::seal::{datagram, handshake, ring, stream};
use anvil_wire::{call, codec, compression, frame, gossip, outcome};
use bytes::Bytes;

/// The identity of the fake node.
pub const NODE: ident::NodeId = ident::NodeId(0xfeed);

/// One connection of the fake node.
pub struct FakePeer {
    pub socket: TcpStream,
    sealed: stream::SealedStream,
    decompressor: compression::FrameDecompressor,
}

/// The key of the tests, or another one if `mask` is not zero.
pub fn key_ring(mask: u8) -> ring::KeyRing {
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let digits = &super::SECRET[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).unwrap() ^ mask;
    }
    ring::KeyRing::new(vec![ring::SealKey::new(ring::KeyId(1), &bytes).unwrap()]).unwrap()
}

pub fn hello(version: u16, address: SocketAddr) -> frame::PeerHello {
    frame::PeerHello {
        version,
        node: NODE,
        address,
    }
}

/// One message of the handshake, without its length.
pub fn read_message(socket: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut prefix = [0; codec::LENGTH_BYTES];
    socket.read_exact(&mut prefix)?;
    let mut message = vec![0; u32::from_be_bytes(prefix) as usize];
    socket.read_exact(&mut message)?;
    Ok(message)
}

/// Announces to the node at `gossip` that the fake node offers the tests' service at `address`.
pub fn announce_peer(gossip: SocketAddr, address: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let facts = gossip::MemberFacts {
        tcp: address,
        udp: socket.local_addr().unwrap(),
        zone: name::ZoneName::new("ar-centro-a").unwrap(),
        region: name::RegionName::new("ar-centro").unwrap(),
        service: Some(name::ServiceName::new(super::SERVICE).unwrap()),
        slots: 40,
        leaving: false,
        contact: None,
    };
    let message = gossip::GossipMessage {
        head: head(),
        kind: gossip::GossipKind::Rumour,
        updates: vec![gossip::MemberUpdate {
            node: NODE,
            incarnation: 1,
            status: gossip::MemberStatus::Alive(Box::new(facts)),
        }],
    };
    let payload = postcard::to_stdvec(&message).unwrap();
    let mut sealer = datagram::DatagramSealer::new(Arc::new(key_ring(0)), NODE);
    let sealed = sealer.seal(gossip, &payload).unwrap();
    socket.send_to(&sealed, gossip).unwrap();
}

/// The datagram head of a ready node.
fn head() -> gossip::GossipHead {
    gossip::GossipHead {
        from: NODE,
        incarnation: 1,
        revision: ident::RuleRevision(0),
        ready: true,
        confirmed: gossip::ConfirmationAge::UNKNOWN,
    }
}

/// A call of the fake node to the tests' service.
pub fn call_of(sequence: u64, path: &str) -> frame::PeerFrame {
    let call = call::PeerCall {
        account: None,
        call: ident::CallId {
            node: NODE,
            sequence,
        },
        attempt: 1,
        reply_to: "127.0.0.1:9".parse().unwrap(),
        context: context::CallContext {
            request: ident::RequestId(u128::from(sequence)),
            class: context::PriorityClass::Normal,
            rule_class: None,
            lane: context::LaneHash(0),
            remaining_micros: 60_000_000,
            retries_left: 0,
            depth: 0,
            idempotent: true,
            repeat: false,
            key: None,
            fingerprint: ident::RequestFingerprint(sequence),
        },
        treatment: treatment::RuleTreatment::default(),
        rule: treatment::RuleReference::default(),
        label: None,
        request: call::CallRequest {
            service: name::ServiceName::new(super::SERVICE).unwrap(),
            method: "GET".to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        },
        notice: None,
    };
    frame::PeerFrame::Call(Box::new(call))
}

impl FakePeer {
    /// Opens a connection to the node at `address`.
    pub fn connect(address: SocketAddr) -> Self {
        Self::open(super::raw(address, b""))
    }

    /// Runs the handshake on a connection to a node.
    pub fn open(mut socket: TcpStream) -> Self {
        let nonce = handshake::HandshakeNonce([7; handshake::NONCE_BYTES]);
        let own = hello(frame::PROTOCOL_VERSION, "127.0.0.1:9".parse().unwrap());
        let begun = handshake::InitiatorHandshake::begin(&key_ring(0), own, nonce);
        let (initiator, first) = begun.unwrap();
        socket.write_all(&first).unwrap();
        let challenge = read_message(&mut socket).unwrap();
        let (sealed, proof) = initiator.finish(&challenge, None).unwrap();
        socket.write_all(&proof).unwrap();
        Self {
            socket,
            sealed,
            decompressor: compression::FrameDecompressor::default(),
        }
    }

    /// Accepts the connection that a node opens.
    pub fn accept(listener: &TcpListener) -> Self {
        let (mut socket, _) = listener.accept().unwrap();
        socket.set_read_timeout(Some(super::TEST_TIMEOUT)).unwrap();
        let nonce = handshake::HandshakeNonce([9; handshake::NONCE_BYTES]);
        let own = hello(frame::PROTOCOL_VERSION, listener.local_addr().unwrap());
        let first = read_message(&mut socket).unwrap();
        let begun = handshake::ResponderHandshake::begin(&key_ring(0), &own, nonce, &first);
        let (responder, challenge) = begun.unwrap();
        socket.write_all(&challenge).unwrap();
        let proof = read_message(&mut socket).unwrap();
        let sealed = responder.finish(&proof).unwrap();
        Self {
            socket,
            sealed,
            decompressor: compression::FrameDecompressor::default(),
        }
    }

    pub fn send(&mut self, frame: &frame::PeerFrame) {
        let bytes = self.sealed(frame);
        self.socket.write_all(&bytes).unwrap();
    }

    fn sealed(&mut self, frame: &frame::PeerFrame) -> Vec<u8> {
        let mut bytes = codec::encode_frame(frame).unwrap();
        self.sealed.sealer.seal(&mut bytes);
        bytes
    }

    /// Sends bytes with a valid seal, so that they reach the decoder.
    pub fn send_sealed(&mut self, body: &[u8]) {
        let length = u32::try_from(body.len()).unwrap();
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.sealed.sealer.seal(&mut bytes);
        self.socket.write_all(&bytes).unwrap();
    }

    pub fn receive(&mut self) -> frame::PeerFrame {
        let mut socket = self.socket.try_clone().unwrap();
        self.receive_from(&mut socket)
    }

    /// Like [`Self::receive`], with `reader` in place of the socket.
    fn receive_from(&mut self, reader: &mut dyn Read) -> frame::PeerFrame {
        let mut prefix = [0; codec::LENGTH_BYTES];
        reader.read_exact(&mut prefix).unwrap();
        let length = codec::check_length(prefix).unwrap();
        let mut bytes = vec![0; stream::FrameOpener::sealed_length(length)];
        reader.read_exact(&mut bytes).unwrap();
        let opened = self.sealed.opener.open(&bytes).unwrap();
        let plain = self.decompressor.decompress(opened).unwrap();
        codec::decode_frame(&plain).unwrap()
    }

    /// Answers the member comparison of a new node, so that it becomes ready.
    pub fn send_members(&mut self) {
        loop {
            if let frame::PeerFrame::Sync(message) = self.receive()
                && let gossip::SyncMessage::Digest { .. } = *message
            {
                break;
            }
        }
        let members = gossip::SyncMessage::Members {
            head: head(),
            updates: Vec::new(),
            wanted: Vec::new(),
            last: true,
        };
        self.send(&frame::PeerFrame::Sync(Box::new(members)));
    }

    /// The next answer; membership frames are skipped.
    pub fn receive_answer(&mut self) -> call::PeerAnswer {
        let mut socket = self.socket.try_clone().unwrap();
        self.receive_answer_from(&mut socket)
    }

    /// Like [`Self::receive_answer`], with `reader` in place of the socket.
    pub fn receive_answer_from(&mut self, reader: &mut dyn Read) -> call::PeerAnswer {
        let mut body = Vec::new();
        loop {
            match self.receive_from(reader) {
                frame::PeerFrame::Body(part) => body.extend_from_slice(&part.bytes),
                frame::PeerFrame::Answer(mut answer) => {
                    if let Some(whole) = answer.answer.as_mut().filter(|_| !body.is_empty()) {
                        whole.body = Bytes::from(body);
                    }
                    return *answer;
                }
                _ => {}
            }
        }
    }

    /// The next call; membership frames are skipped.
    pub fn receive_call(&mut self) -> call::PeerCall {
        loop {
            if let frame::PeerFrame::Call(call) = self.receive() {
                return *call;
            }
        }
    }

    /// Answers an attempt with `body`.
    pub fn answer(&mut self, call: ident::CallId, attempt: u16, body: &str) {
        let bytes = self.sealed_answer(call, attempt, body);
        self.socket.write_all(&bytes).unwrap();
    }

    /// The bytes of an answer; they have to be sent next.
    pub fn sealed_answer(&mut self, call: ident::CallId, attempt: u16, body: &str) -> Vec<u8> {
        let answer = call::PeerAnswer {
            call,
            attempt,
            verdict: verdict::CallVerdict::Answered,
            answer: Some(call::CallAnswer {
                status: 200,
                headers: Vec::new(),
                body: Bytes::from(body.to_owned()),
            }),
            retries_spent: 0,
            failed_below: false,
            load: call::LoadReport::default(),
        };
        self.sealed(&frame::PeerFrame::Answer(Box::new(answer)))
    }

    /// The attempts of the next outcome query; other frames are skipped.
    pub fn receive_query(&mut self) -> Vec<outcome::QueriedAttempt> {
        loop {
            if let frame::PeerFrame::Outcome(message) = self.receive()
                && let outcome::OutcomeMessage::Query { attempts, .. } = *message
            {
                return attempts;
            }
        }
    }

    pub fn assert_closed(mut self) {
        let mut rest = Vec::new();
        // A reset counts as a close.
        let _ = self.socket.read_to_end(&mut rest);
    }
}
