//! A write of an upstream's entry got no answer and is executed seconds later, over a newer one. The upstream
//! writes its entry again at its next heartbeat.

use jacinthpoint_platform_standins::{EngineFault, PlainService};
use serde_json::{Value, json};

use crate::gateway::{
    DRAIN_MS,
    caller::Request,
    pause_ms,
    site::{Site, gateway_name},
};

/// One gateway reads the store, the others read from it.
const GATEWAYS: usize = 3;
/// Time until the next heartbeat of the upstream.
const HEARTBEAT_MS: u64 = 1_200;

/// Returns what the plain service writes in this state, as its entry with this number.
fn plain_entry(site: &Site, state: &str, number: u64) -> Value {
    json!({ "service": "plain", "addr": site.platform.plain.address.to_string(), "zone": "dc-1",
        "version": "v1", "slots": 6, "state": state, "cold_left_ms": 0, "seq": number, "born": 1 })
}

/// Sends requests to all gateways until the next heartbeat, and checks that none of them runs.
fn check_no_request_runs(site: &Site) {
    for round in 0..HEARTBEAT_MS / 100 {
        for index in 0..GATEWAYS {
            let id = format!("late-{round}-{index}");
            let answer = Request::once(&id).send(site.gateway(index));
            assert_eq!(answer.status, 503, "gateway {index}, round {round}");
            let runs = site.platform.runs.of(&id);
            assert!(runs.is_empty(), "gateway {index}, round {round}");
        }
        pause_ms(100);
    }
}

/// Defines tests that each start [`GATEWAYS`] gateways: name, body.
macro_rules! late_entries {
    ($($name:ident: |$site:ident| $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let $site = Site::start(GATEWAYS);
                $body
            }
        )+
    };
}

late_entries! {
    // Guards against requests that are cut by the exit of an upstream: a late write makes it ready again.
    draining_upstream_gets_no_request_after_a_late_write: |site| {
        let write = |state, number| {
            site.platform.store.put("servers", PlainService::ID, plain_entry(&site, state, number));
        };
        write("ready", 8);
        write("draining", 10);
        pause_ms(DRAIN_MS);
        write("ready", 9);
        check_no_request_runs(&site);
        write("draining", 11);
        check_no_request_runs(&site);
    }

    // Guards against an upstream that has left and is used again.
    upstream_that_left_gets_no_request_after_a_late_write: |site| {
        let store = &site.platform.store;
        store.put("servers", PlainService::ID, plain_entry(&site, "draining", 10));
        pause_ms(DRAIN_MS);
        store.remove("servers", PlainService::ID);
        pause_ms(DRAIN_MS);
        store.put("servers", PlainService::ID, plain_entry(&site, "ready", 9));
        check_no_request_runs(&site);
    }

    // Guards against the leader of an open group that counts as free, also for an owner that did not form the group.
    open_group_stays_after_a_late_write_of_its_leader: |site| {
        let store = &site.platform.store;
        let owner = || {
            let lease = store.get_content("leases", "groups")?;
            lease["holder"].as_str().map(str::to_owned)
        };
        let first = owner();
        let index = (0..GATEWAYS).find(|index| Some(gateway_name(*index)) == first);
        site.signal(index.expect("a gateway has the lease"), "TERM");
        site.wait_until("another gateway has the lease", 5_000, |_| {
            owner().is_some_and(|now| Some(now) != first)
        });
        let engines = &site.platform.engines;
        let groups = engines.open_groups();
        // The other member of its group is free then.
        let lost = groups[0][0].as_str();
        engines.set_fault(lost, EngineFault::Dead);
        store.remove("servers", lost);
        // The new owner asks all upstreams for their reports.
        pause_ms(3_000);
        let groups = engines.open_groups();
        let leader = groups[0][0].as_str();
        let newest = store.get_content("servers", leader).expect("it is registered");
        let mut late = newest.clone();
        late["group"] = Value::Null;
        late["models"] = json!([]);
        late["seq"] = json!(1);
        let (orders, _) = engines.orders();
        store.put("servers", leader, late);
        pause_ms(HEARTBEAT_MS);
        store.put("servers", leader, newest);
        pause_ms(HEARTBEAT_MS);
        assert_eq!(engines.orders().0, orders, "no order is sent");
        assert_eq!(engines.open_groups(), groups);
    }
}
