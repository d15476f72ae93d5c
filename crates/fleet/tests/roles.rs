//! Assignment of the work that few gateways do for all, in fleets of many sizes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use jacinthpoint_fleet::{
    RegisteredGateway, VmCapacity, assign_load_hubs, assign_store_reading, is_lease_candidate,
    role_order, takeover_ms,
};
use jacinthpoint_types::rendezvous_order;

/// A VM that can serve 20 clients.
const SMALL: VmCapacity = VmCapacity {
    core_permille: 100,
    link_kbps: 20_000,
};
/// A VM that can serve 40 clients.
const LARGE: VmCapacity = VmCapacity {
    core_permille: 400,
    link_kbps: 200_000,
};
/// Target for the clients of one reader on a small VM: twice what it can serve, since hashes do not
/// divide them evenly.
const MAX_CLIENTS: usize = 40;

type Fleet = BTreeMap<String, RegisteredGateway>;

fn address(index: usize) -> SocketAddr {
    let [.., high, low] = index.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

/// Returns `count` gateways that are spread over `data_centres`. The first `large` of them are on large
/// VMs.
fn fleet(count: usize, data_centres: usize, large: usize) -> Fleet {
    let gateway = |index: usize| RegisteredGateway {
        data_centre: Some(format!("dc-{}", index % data_centres)),
        address: Some(address(index)),
        capacity: Some(if index < large { LARGE } else { SMALL }),
        takes_forwarded: true,
    };
    (0..count)
        .map(|index| (format!("gateway-{index}"), gateway(index)))
        .collect()
}

/// Returns the number of clients that each reader has first, by the reader's address.
fn clients(fleet: &Fleet) -> BTreeMap<SocketAddr, usize> {
    let mut clients = BTreeMap::new();
    for name in fleet.keys() {
        let reading = assign_store_reading(fleet, name);
        match reading.sources.first() {
            Some(reader) => *clients.entry(*reader).or_default() += 1,
            None => assert!(reading.is_reader, "{name} has neither reader nor clients"),
        }
    }
    clients
}

/// Defines tests of a fleet on equal VMs: name, number of gateways and of data centres.
macro_rules! bounded {
    ($($name:ident: $count:expr, $data_centres:expr;)+) => {
        $(
            /// Guards against one reader that has to serve its whole data centre.
            #[test]
            fn $name() {
                let clients = clients(&fleet($count, $data_centres, 0));
                let most = clients.values().max().copied().unwrap_or_default();
                assert!(most <= MAX_CLIENTS, "{most} clients of one reader");
            }
        )+
    };
}

bounded! {
    clients_of_a_reader_are_bounded_in_a_fleet_of_6: 6, 3;
    clients_of_a_reader_are_bounded_in_a_fleet_of_81: 81, 3;
    clients_of_a_reader_are_bounded_in_a_fleet_of_295: 295, 5;
    clients_of_a_reader_are_bounded_in_a_fleet_of_420: 420, 8;
    clients_of_a_reader_are_bounded_in_a_data_centre_of_900: 900, 1;
}

/// Guards against a reader whose link is too slow for its clients, while larger VMs are there.
#[test]
fn readers_are_on_the_largest_vms_and_have_clients_by_their_size() {
    let fleet = fleet(300, 5, 15);
    let small: BTreeSet<SocketAddr> = (15..700).map(address).collect();
    let clients = clients(&fleet);
    // Each data centre of 60 needs two of its three large VMs.
    assert_eq!(clients.len(), 10);
    assert!(clients.keys().all(|reader| !small.contains(reader)));
    let fleet = self::fleet(700, 5, 15);
    let clients = self::clients(&fleet);
    let of_small = clients.iter().filter(|(reader, _)| small.contains(reader));
    // The fourth reader of a data centre of 140 is small; its part is 20 of 140.
    assert_eq!(of_small.clone().count(), 5);
    for (reader, clients) in of_small {
        assert!(*clients <= MAX_CLIENTS, "{reader} has {clients} clients");
    }
}

/// Guards against a herd: the clients of a failed reader must not all ask the same one next.
#[test]
fn clients_of_a_failed_reader_are_divided_among_the_others() {
    let fleet = fleet(100, 1, 0);
    let failed = *clients(&fleet).keys().next().expect("there are readers");
    let mut next: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for name in fleet.keys() {
        let sources = assign_store_reading(&fleet, name).sources;
        if sources.first() == Some(&failed) {
            *next.entry(sources[1]).or_default() += 1;
        }
    }
    assert_eq!(next.len(), 4, "five readers, one failed: {next:?}");
}

/// Guards against a fleet in which gateways of the earlier build, which order all by their hashes,
/// choose other ones for a role than those of this build.
#[test]
fn order_is_by_hash_while_a_registration_does_not_say_the_capacity() {
    let mut fleet = fleet(30, 3, 5);
    let by_size = role_order(&fleet, "loads").join(" ");
    fleet.get_mut("gateway-29").expect("it was added").capacity = None;
    let by_hash: Vec<&String> = rendezvous_order("loads", fleet.keys());
    assert_eq!(role_order(&fleet, "loads"), by_hash);
    assert_ne!(role_order(&fleet, "loads").join(" "), by_size);
}

#[test]
fn gateway_that_is_not_registered_yet_reads_the_store_itself() {
    let reading = assign_store_reading(&fleet(30, 3, 0), "gateway-30");
    assert!(!reading.is_reader && reading.sources.is_empty());
}

/// Guards against a data centre in which nobody steps in for its readers at once, or all do.
#[test]
fn two_gateways_of_a_data_centre_are_substitutes() {
    let fleet = fleet(300, 5, 15);
    let readings = fleet.keys().map(|name| assign_store_reading(&fleet, name));
    let substitutes = readings.filter(|reading| reading.is_substitute);
    assert_eq!(substitutes.count(), 2 * 5);
}

/// Guards against a gateway that asks itself.
#[test]
fn substitute_asks_only_those_before_it() {
    let fleet = fleet(30, 1, 0);
    for (name, gateway) in &fleet {
        let reading = assign_store_reading(&fleet, name);
        assert!(
            !reading
                .sources
                .contains(&gateway.address.expect("it has one"))
        );
    }
}

/// Guards against a fleet in which all write to the store when the owner of the lease is lost.
#[test]
fn few_gateways_of_a_large_fleet_take_the_lease_over_at_the_same_time() {
    let first = (0..295).filter(|position| takeover_ms(*position) == takeover_ms(0));
    assert_eq!(first.clone().count(), 4);
    assert!(first.into_iter().all(is_lease_candidate));
    // Some gateway takes over within six seconds, whichever are lost.
    assert!((0..295).all(|position| takeover_ms(position) <= 6_000));
}

/// Guards against a hub or a member that reports to a gateway that does not know cells, or to nobody.
#[test]
fn hubs_are_of_builds_that_know_cells() {
    let mut fleet = fleet(60, 3, 0);
    for (index, gateway) in fleet.values_mut().enumerate() {
        if index % 2 == 0 {
            gateway.capacity = None;
        }
    }
    for own in fleet.keys() {
        let hubs = assign_load_hubs(&fleet, own, 3);
        let of_build = |hub: &SocketAddr| {
            let mut gateways = fleet.values();
            gateways.any(|gateway| gateway.address == Some(*hub) && gateway.capacity.is_some())
        };
        assert!(
            !hubs.is_empty() && hubs.iter().all(of_build),
            "{own}: {hubs:?}"
        );
    }
}

/// Guards against a hub that reports to another one instead of to the root.
#[test]
fn hub_is_its_own_and_members_are_divided() {
    let fleet = fleet(100, 5, 5);
    let mut members: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for (name, gateway) in &fleet {
        let hubs = assign_load_hubs(&fleet, name, 5);
        let is_hub = gateway.capacity == Some(LARGE);
        assert_eq!(hubs.len(), if is_hub { 1 } else { 5 }, "{name}");
        assert_eq!(is_hub, hubs[0] == gateway.address.expect("it has one"));
        *members.entry(hubs[0]).or_default() += 1;
    }
    assert!(
        members.values().all(|count| *count <= MAX_CLIENTS),
        "{members:?}"
    );
}
