//! Measures the bytes of share reports and grants for fleet-wide limits, and the time to build
//! and encode a report.

use jacinthpoint_admission::{Demand, GRANT_VALID_MS, ShareGrant, ShareReport, Shares};
use jacinthpoint_types::{OrganisationId, TimeMs};
use jacinthpoint_wire::{Datagram, encode};

use crate::{
    cost::{UDP_HEADER_BYTES, time_ns},
    probes::assignment,
};

fn organisation(number: usize) -> OrganisationId {
    format!("broker-{number:04}").parse().expect("a valid name")
}

fn report(number: usize) -> ShareReport {
    ShareReport {
        node: "entry-0042".parse().expect("a valid name"),
        organisation: organisation(number),
        demand: Demand::new(12.0, 6_000.0, 150.0),
        // Shares among the nodes of the target size.
        held: Shares::even(420),
    }
}

fn reports(count: usize) -> Datagram {
    Datagram::ShareReports {
        sent_at: TimeMs(86_400_000),
        // Any IPv4 address: only its encoded size matters.
        reply_to: assignment(1).members[0].address,
        reports: (0..count).map(report).collect(),
    }
}

fn grants(count: usize) -> Datagram {
    let grant = |number| ShareGrant {
        organisation: organisation(number),
        shares: Shares::even(420),
        valid_ms: GRANT_VALID_MS as u32,
    };
    Datagram::ShareGrants {
        echo: TimeMs(86_400_000),
        grants: (0..count).map(grant).collect(),
    }
}

/// Prints the sizes and the time.
pub fn measure() {
    let datagram_bytes = |datagram: Datagram| encode(&datagram).len() + UDP_HEADER_BYTES;
    let exchange_bytes = datagram_bytes(reports(1)) + datagram_bytes(grants(1));
    println!("shares of limits:\n");
    println!("- bytes of one report and its grant, headers included: {exchange_bytes}");
    println!(
        "- bytes of each further report and grant in the same datagrams: {}",
        datagram_bytes(reports(2)) + datagram_bytes(grants(2)) - exchange_bytes
    );
    let encode_ns = time_ns(5_000, || encode(&reports(1)));
    println!("- {encode_ns:.0} ns to build and encode a report's datagram\n");
}
