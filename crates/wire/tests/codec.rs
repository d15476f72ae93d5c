//! Tests of the codec: messages decode to what was encoded, and other bytes are rejected.

use std::net::SocketAddr;

use jacinthpoint_types::{Assignment, Epoch, MemberAddress, Revision, TimeMs};
use jacinthpoint_wire::{
    Datagram, DecodeError, GrantTerms, MAX_DATAGRAM_BYTES, PeerMessage, PeerMessageKind, PeerReply,
    PeerRequest, PeerState, PeerStatus, PeerUpdate, PermitGrant, decode, encode, read_frame,
    write_frame,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// Datagram of one of five kinds, with arbitrary content.
#[derive(Debug, Clone)]
struct ArbitraryDatagram(Datagram);

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(g: &mut Gen) -> T {
    format!("name-{}", u16::arbitrary(g))
        .parse()
        .expect("a valid name")
}

fn address(g: &mut Gen) -> SocketAddr {
    SocketAddr::from((u32::arbitrary(g).to_be_bytes(), u16::arbitrary(g)))
}

fn peer_state(g: &mut Gen) -> PeerState {
    PeerState {
        node: name(g),
        incarnation: u64::arbitrary(g),
        address: address(g),
        data_centre: name(g),
        leaving: bool::arbitrary(g),
        revision: Revision(u64::arbitrary(g)),
    }
}

fn update(g: &mut Gen) -> PeerUpdate {
    let statuses = [PeerStatus::Live, PeerStatus::Suspect, PeerStatus::Gone];
    let status = *g.choose(&statuses).expect("not empty");
    PeerUpdate {
        peer: peer_state(g),
        status,
    }
}

fn terms(g: &mut Gen) -> GrantTerms {
    GrantTerms {
        valid_ms: u32::arbitrary(g),
        load: u32::arbitrary(g),
        load_age_ms: u32::arbitrary(g),
    }
}

fn grant(g: &mut Gen) -> PermitGrant {
    let member = |g: &mut Gen| MemberAddress {
        vm: name(g),
        address: address(g),
    };
    PermitGrant {
        assignment: Assignment {
            group: name(g),
            epoch: Epoch(u64::arbitrary(g)),
            model: "model+adapter@v1".parse().expect("a valid model"),
            members: (0..8).map(|_| member(g)).collect(),
        },
        data_centre: name(g),
        fabric_domain: name(g),
        terms: terms(g),
    }
}

impl Arbitrary for ArbitraryDatagram {
    fn arbitrary(g: &mut Gen) -> ArbitraryDatagram {
        let kinds = [
            PeerMessageKind::Ping,
            PeerMessageKind::Ack,
            PeerMessageKind::PingFor { target: address(g) },
        ];
        ArbitraryDatagram(match u8::arbitrary(g) % 5 {
            0 => Datagram::Peer(PeerMessage {
                from: peer_state(g),
                number: u32::arbitrary(g),
                kind: *g.choose(&kinds).expect("not empty"),
                updates: (0..usize::arbitrary(g) % 7).map(|_| update(g)).collect(),
            }),
            1 => Datagram::PermitRequest {
                sent_at: TimeMs(u64::arbitrary(g)),
                reply_to: address(g),
                known_digest: u64::arbitrary(g),
            },
            2 => Datagram::PermitReply {
                echo: TimeMs(u64::arbitrary(g)),
                prober: name(g),
                digest: u64::arbitrary(g),
                part: u8::arbitrary(g),
                parts: u8::arbitrary(g),
                grants: (0..2).map(|_| grant(g)).collect(),
            },
            3 => Datagram::PermitTerms {
                echo: TimeMs(u64::arbitrary(g)),
                prober: name(g),
                digest: u64::arbitrary(g),
                terms: (0..8).map(|_| terms(g)).collect(),
            },
            _ => Datagram::ConfigNews {
                revision: Revision(u64::arbitrary(g)),
                address: address(g),
            },
        })
    }
}

quickcheck! {
    fn datagram_decodes_to_itself_and_fits_the_size_limit(datagram: ArbitraryDatagram) -> bool {
        let bytes = encode(&datagram.0);
        bytes.len() <= MAX_DATAGRAM_BYTES && decode(&bytes) == Ok(datagram.0)
    }

    fn truncated_datagram_is_rejected(datagram: ArbitraryDatagram, at: usize) -> bool {
        let bytes = encode(&datagram.0);
        decode::<Datagram>(&bytes[..at % bytes.len()]).is_err()
    }

    fn datagram_with_trailing_byte_is_rejected(datagram: ArbitraryDatagram, extra: u8) -> bool {
        let mut bytes = encode(&datagram.0);
        bytes.push(extra);
        decode::<Datagram>(&bytes) == Err(DecodeError::Malformed)
    }

    fn any_bytes_decode_without_panic(bytes: Vec<u8>) -> bool {
        let _ = decode::<Datagram>(&bytes);
        let _ = decode::<PeerRequest>(&bytes);
        let _ = decode::<PeerReply>(&bytes);
        let _ = read_frame::<PeerReply>(&mut bytes.as_slice());
        true
    }

    fn frame_decodes_to_the_written_request(above: u64) -> bool {
        let request = PeerRequest::Config { above: Revision(above) };
        let mut bytes = Vec::new();
        write_frame(&mut bytes, &request).expect("writing to a vector succeeds");
        read_frame::<PeerRequest>(&mut bytes.as_slice()).expect("the frame is complete") == request
    }
}

#[test]
fn message_of_another_version_is_rejected_with_its_version() {
    let mut bytes = encode(&PeerRequest::Peers);
    bytes[0] = 9;
    assert_eq!(
        decode::<PeerRequest>(&bytes),
        Err(DecodeError::Version { version: 9 })
    );
}

/// Guards against a frame with a false length: this one states almost 2 MiB, but only three bytes
/// follow.
#[test]
fn frame_shorter_than_its_length_is_rejected_as_incomplete() {
    let bytes = [0x00, 0x1f, 0xff, 0xff, 1, 2, 3];
    let error =
        read_frame::<PeerReply>(&mut bytes.as_slice()).expect_err("the frame is incomplete");
    assert_eq!(error.kind(), std::io::ErrorKind::UnexpectedEof);
}
