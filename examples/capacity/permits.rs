//! Measures the bytes of permit requests and grants, and the time to process them.

use jacinthpoint_readiness::{Permit, PermitTable, grants_digest};
use jacinthpoint_types::{Deadline, NodeId, TimeMs};
use jacinthpoint_wire::{Datagram, GrantTerms, PermitGrant, decode, encode};

use crate::{
    cost::{UDP_HEADER_BYTES, time_ns},
    probes::assignment,
};

/// Numbers of groups that one node holds permits for.
const GROUPS: [usize; 3] = [6, 50, 500];

/// Terms whose values encode to a usual number of bytes.
const TERMS: GrantTerms = GrantTerms {
    valid_ms: 1_234,
    load: 30,
    load_age_ms: 700,
};

fn grant(number: usize) -> PermitGrant {
    PermitGrant {
        assignment: assignment(number),
        data_centre: "bne-north".parse().expect("a valid name"),
        fabric_domain: "bne-north-r07".parse().expect("a valid name"),
        terms: TERMS,
    }
}

fn permit(number: usize) -> Permit {
    Permit {
        assignment: assignment(number),
        data_centre: "bne-north".parse().expect("a valid name"),
        deadline: Deadline(TimeMs(10_000)),
        load: 30,
        load_at: TimeMs(9_000),
    }
}

fn prober() -> NodeId {
    "entry-0042".parse().expect("a valid name")
}

/// Prints the sizes, and a table of times.
pub fn measure() {
    let request = Datagram::PermitRequest {
        sent_at: TimeMs(86_400_000),
        // Any IPv4 address: only its encoded size matters.
        reply_to: assignment(1).members[0].address,
        known_digest: u64::MAX,
    };
    let reply = |count: usize| Datagram::PermitReply {
        echo: TimeMs(86_400_000),
        prober: prober(),
        digest: u64::MAX,
        part: 0,
        parts: 1,
        grants: (0..count).map(grant).collect(),
    };
    let (one_grant_bytes, two_grants_bytes) = (encode(&reply(1)).len(), encode(&reply(2)).len());
    let request_bytes = encode(&request).len() + UDP_HEADER_BYTES;
    let terms = |count: usize| Datagram::PermitTerms {
        echo: TimeMs(86_400_000),
        prober: prober(),
        digest: u64::MAX,
        terms: vec![TERMS; count],
    };
    let (empty_bytes, one_term_bytes) = (encode(&terms(0)).len(), encode(&terms(1)).len());
    println!("permits:\n");
    println!(
        "- bytes per request: {request_bytes}, per grant: {}",
        two_grants_bytes - one_grant_bytes
    );
    println!(
        "- bytes per reply without its grants: {}",
        one_grant_bytes + UDP_HEADER_BYTES - (two_grants_bytes - one_grant_bytes)
    );
    println!(
        "- bytes of terms per group: {}, of a message without terms: {}",
        one_term_bytes - empty_bytes,
        empty_bytes + UDP_HEADER_BYTES
    );
    let bytes = encode(&reply(4));
    let decode_ns = time_ns(5_000, || decode::<Datagram>(&bytes));
    println!("- {:.0} ns to decode a grant", decode_ns / 4.0);
    let eight_grants: Vec<PermitGrant> = (0..8).map(grant).collect();
    let digest_ns = time_ns(2_000, || grants_digest(&eight_grants));
    println!("- {digest_ns:.0} ns for the digest of eight groups");
    println!("\n| groups | ns to build and insert a permit | ns to look up a model |");
    println!("| --- | --- | --- |");
    for groups in GROUPS {
        let mut table = PermitTable::new();
        let mut inserted = 0;
        let insert_ns = time_ns(10_000, || {
            inserted += 1;
            let mut permit = permit(inserted % groups);
            permit.deadline = Deadline(TimeMs(10_000 + inserted as u64));
            table.insert(permit);
        });
        let model = assignment(1).model;
        let lookup_ns = time_ns(1_000, || table.usable(&model, TimeMs(0)).count());
        println!("| {groups} | {insert_ns:.0} | {lookup_ns:.0} |");
    }
    println!();
}

/// Returns a table with a permit for each of `groups` groups.
pub fn permit_table(groups: usize) -> PermitTable {
    let mut table = PermitTable::new();
    (0..groups).for_each(|number| table.insert(permit(number)));
    table
}
