//! The store comes back from an older copy of itself. What it acknowledges from then on must be in
//! force like before, and what it acknowledged earlier must stay in force.

use std::time::{Duration, Instant};

use jacinthpoint_platform_standins::{EngineFault, LostWrites, PlainService, StoreFault};
use serde_json::json;

use crate::gateway::{
    CONFIG_APPLY_MS, DRAIN_MS,
    caller::{End, Request},
    pause_ms,
    site::{KEY, OTHER_KEY, Site, gateway_name},
};

/// Gateways of each test: one reads the store, the others read from it.
const GATEWAYS: usize = 3;
/// Changes between the copy and the restore.
const LOST_REVISIONS: u64 = 400;
/// Time within which all gateways have read the newest revision.
const READ_MS: u64 = 1_200;
/// Time after a restore from which the store counts as stable.
const STABLE_MS: u64 = 3_000;
/// Time after a restore within which upstreams write their entries again.
const REWRITE_MS: u64 = 1_500;

/// Time within which a gateway that lost its registration has another: the time between two reads of
/// the list, and some for the write.
const REGISTER_MS: u64 = 8_000;

/// Defines tests that each start [`GATEWAYS`] gateways: name, body.
macro_rules! restored_store {
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

/// Checks that each gateway accepts only [`OTHER_KEY`].
fn check_other_key_is_in_force(site: &Site) {
    for index in 0..GATEWAYS {
        let answer = Request::stream("old-key").send(site.gateway(index));
        assert_eq!(answer.status, 401, "{KEY} at gateway {index}");
        let request = Request {
            key: OTHER_KEY,
            ..Request::stream("new-key")
        };
        let answer = request.send(site.gateway(index));
        assert_eq!(answer.status, 200, "{OTHER_KEY} at gateway {index}");
    }
}

/// Entry of the plain service in this state.
fn plain_entry(site: &Site, state: &str) -> serde_json::Value {
    json!({ "service": "plain", "addr": site.platform.plain.address.to_string(), "zone": "dc-1",
        "version": "v1", "slots": 6, "state": state, "cold_left_ms": 0, "seq": 2, "born": 1 })
}

/// Restores the store from a copy that does not have what `leave` writes, and checks that no request
/// reaches the plain service, whose entry changes back after [`REWRITE_MS`].
fn check_left_upstream_gets_no_request(site: &Site, leave: impl Fn(&Site)) {
    let copy = site.platform.store.copy();
    leave(site);
    pause_ms(DRAIN_MS);
    let store = &site.platform.store;
    store.set_fault(StoreFault::Busy);
    pause_ms(300);
    let lost = store.restore(&copy);
    store.raise_revision(LOST_REVISIONS);
    store.set_fault(StoreFault::None);
    let restored_at = Instant::now();
    let mut lost: Option<LostWrites> = Some(lost);
    let mut sent = 0;
    while restored_at.elapsed() < Duration::from_millis(REWRITE_MS + DRAIN_MS) {
        if restored_at.elapsed() >= Duration::from_millis(REWRITE_MS)
            && let Some(lost) = lost.take()
        {
            store.write_again(lost);
        }
        for index in 0..GATEWAYS {
            let id = format!("left-{sent}");
            let answer = Request::once(&id).send(site.gateway(index));
            assert_eq!(answer.status, 503, "gateway {index}, request {sent}");
            let runs = site.platform.runs.of(&id);
            assert!(runs.is_empty(), "gateway {index}, request {sent}");
            sent += 1;
        }
        pause_ms(50);
    }
}

restored_store! {
    // Guards against a gateway that refuses all lists until the revisions have passed those of
    // before the restore.
    configuration_is_in_force_while_revisions_are_lower: |site| {
        let store = &site.platform.store;
        let copy = store.copy();
        store.raise_revision(LOST_REVISIONS);
        pause_ms(READ_MS);
        let lost = store.restore(&copy);
        store.write_again(lost);
        pause_ms(STABLE_MS);
        site.put_config(&[OTHER_KEY]);
        pause_ms(CONFIG_APPLY_MS);
        check_other_key_is_in_force(&site);
    }

    // Guards against a watch that goes on at a revision of another history, and misses the changes
    // that were given the revisions before.
    configuration_is_in_force_under_a_revision_that_was_given_out_before: |site| {
        let store = &site.platform.store;
        let copy = store.copy();
        store.raise_revision(LOST_REVISIONS);
        pause_ms(READ_MS);
        store.set_fault(StoreFault::Paused);
        let lost = store.restore(&copy);
        store.write_again(lost);
        site.put_config(&[OTHER_KEY]);
        store.raise_revision(2 * LOST_REVISIONS);
        store.set_fault(StoreFault::None);
        pause_ms(STABLE_MS + CONFIG_APPLY_MS);
        check_other_key_is_in_force(&site);
    }

    // Guards against an entry of the copy that makes a draining upstream ready again.
    draining_upstream_gets_no_request_after_a_restore: |site| {
        check_left_upstream_gets_no_request(&site, |site| {
            let entry = plain_entry(site, "draining");
            site.platform.store.put("servers", PlainService::ID, entry);
        });
    }

    // Guards against an entry of the copy that brings back an upstream that is gone.
    removed_upstream_gets_no_request_after_a_restore: |site| {
        check_left_upstream_gets_no_request(&site, |site| {
            site.platform.store.remove("servers", PlainService::ID);
        });
    }

    // Guards against streams that are cut or refused while the view has older groups.
    streams_are_served_while_the_store_is_restored: |site| {
        let before = site.platform.engines.open_groups();
        let copy = site.platform.store.copy();
        let dead_member = &before[0][1];
        site.platform.engines.set_fault(dead_member, EngineFault::Dead);
        site.wait_until("no open group has the dead member", 10_000, |site| {
            let groups = site.platform.engines.open_groups();
            groups.iter().all(|members| !members.contains(dead_member))
        });
        site.platform.engines.set_fault(dead_member, EngineFault::None);
        site.wait_for_groups(before.len());
        pause_ms(READ_MS);
        let mut lost = Some(site.platform.store.restore(&copy));
        let restored_at = Instant::now();
        let mut sent = 0;
        while restored_at.elapsed() < Duration::from_millis(2 * REWRITE_MS) {
            if restored_at.elapsed() >= Duration::from_millis(REWRITE_MS)
                && let Some(lost) = lost.take()
            {
                site.platform.store.write_again(lost);
            }
            for index in 0..GATEWAYS {
                let id = format!("restored-{sent}");
                let answer = Request::stream(&id).send(site.gateway(index));
                assert_eq!((answer.status, answer.end), (200, End::Whole), "request {sent}");
                sent += 1;
            }
        }
    }

    // Guards against two owners: the others took the renewals under lower revisions for silence.
    lease_stays_with_its_holder: |site| {
        let holder = |site: &Site| {
            let lease = site.platform.store.get_content("leases", "groups").expect("there is a lease");
            lease["holder"].clone()
        };
        let before = holder(&site);
        let copy = site.platform.store.copy();
        site.platform.store.raise_revision(LOST_REVISIONS);
        pause_ms(READ_MS);
        site.platform.store.restore(&copy);
        let restored_at = Instant::now();
        while restored_at.elapsed() < Duration::from_millis(2 * STABLE_MS) {
            assert_eq!(holder(&site), before);
            pause_ms(50);
        }
    }

    // Guards against gateways that start later and count too few, so that each uses too large a share
    // of the retry budget.
    gateways_register_again: |site| {
        let store = &site.platform.store;
        let is_registered = |site: &Site, index| {
            site.platform.store.get_content("gateways", &gateway_name(index)).is_some()
        };
        (0..GATEWAYS).for_each(|index| store.remove("gateways", &gateway_name(index)));
        site.wait_until("all gateways are registered", REGISTER_MS, |site| {
            (0..GATEWAYS).all(|index| is_registered(site, index))
        });
    }
}
