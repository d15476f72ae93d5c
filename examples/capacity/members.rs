//! Measures the bytes and time of reading the platform's membership list.

use std::net::SocketAddr;

use jacinthpoint_platform::{MemberRole, MemberState, PlatformMember};
use jacinthpoint_types::TimeMs;
use jacinthpoint_wire::{Datagram, encode};

use crate::cost::{TCP_CONTROL_SEGMENTS, TCP_HEADER_BYTES, UDP_HEADER_BYTES, time_ns};

/// Numbers of entries in the list; the last is that of the target size, upstreams and nodes
/// together.
const SIZES: [usize; 3] = [60, 600, 4_420];
/// Payload of one TCP segment: an Ethernet frame of 1500 bytes less the IPv4 and TCP headers, with
/// the timestamp option.
const SEGMENT_BYTES: usize = 1_448;

fn member(number: usize) -> PlatformMember {
    let (rack, position) = (number / 64, number % 64);
    PlatformMember {
        vm: format!("bne-north-r{rack:02}-vm-{position:03}")
            .parse()
            .expect("a valid name"),
        incarnation: 1_764_000_000_000,
        address: SocketAddr::from(([10, 1, rack as u8, position as u8], 8_000)),
        data_centre: "bne-north".parse().expect("a valid name"),
        fabric_domain: format!("bne-north-r{rack:02}")
            .parse()
            .expect("a valid name"),
        role: MemberRole::Engine,
        state: MemberState::Live,
    }
}

/// Prints the table.
pub fn measure() {
    println!("membership list:\n");
    let query = Datagram::MembersQuery {
        sent_at: TimeMs(86_400_000),
        reply_to: member(1).address,
    };
    let answer = Datagram::MembersDigest {
        echo: TimeMs(86_400_000),
        digest: u64::MAX,
        age_ms: 1_200,
        address: member(1).address,
    };
    let bytes = encode(&query).len() + encode(&answer).len() + 2 * UDP_HEADER_BYTES;
    println!("- bytes of a query and its reply, headers included: {bytes}\n");
    println!("| entries | bytes/read, headers included | ms to parse |");
    println!("| --- | --- | --- |");
    for size in SIZES {
        let members: Vec<PlatformMember> = (0..size).map(member).collect();
        let json = serde_json::to_string(&members).expect("entries are plain values");
        // One further segment carries the request.
        let segments = TCP_CONTROL_SEGMENTS + 1 + json.len().div_ceil(SEGMENT_BYTES);
        let bytes = json.len() + segments * TCP_HEADER_BYTES;
        let parse_ns = time_ns(5, || {
            serde_json::from_str::<Vec<PlatformMember>>(&json).expect("the list is valid")
        });
        println!("| {size} | {bytes} | {:.2} |", parse_ns / 1e6);
    }
    println!();
}
