//! Shares of fleet-wide limits: bytes of reports and grants, time of the home node.

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
        held: Shares::even(420),
    }
}

fn reports(count: usize) -> Datagram {
    Datagram::ShareReports {
        sent_at: TimeMs(86_400_000),
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

/// Prints the figures.
pub fn measure() {
    let bytes = |datagram: Datagram| encode(&datagram).len() + UDP_HEADER_BYTES;
    let exchange = bytes(reports(1)) + bytes(grants(1));
    println!("shares of limits:\n");
    println!("- bytes of a report and its grant, headers included: {exchange}");
    println!(
        "- each further one in the same datagrams: {}",
        bytes(reports(2)) + bytes(grants(2)) - exchange
    );
    let encode_ns = time_ns(5_000, || encode(&reports(1)));
    println!("- {encode_ns:.0} ns to make a report's datagram\n");
}
