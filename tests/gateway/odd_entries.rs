//! Entries of other writers that cannot be read, among those of the upstreams.

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::PlainService;
use serde_json::json;

use crate::gateway::{
    caller::Request,
    pause_ms,
    site::{Site, gateway_name},
};

/// Time in which a gateway has read a change, beside other tests.
const READ_MS: u64 = 5_000;
/// Upstreams of a site before a test adds some.
const UPSTREAMS: usize = 9;

/// Returns whether a gateway knows this number of upstreams.
fn knows_upstreams(site: &Site, index: usize, count: usize) -> bool {
    let expected = format!("jacinthpoint_upstreams {count}\n");
    site.metrics(index).contains(&expected)
}

/// Returns the number of entries of upstreams that a gateway has refused.
fn refused_entries(site: &Site, index: usize) -> u64 {
    let metrics = site.metrics(index);
    let mut lines = metrics.lines();
    let kind = paths::UPSTREAM_KIND;
    let prefix = format!("jacinthpoint_entries_refused_total{{label=\"{kind}\"}} ");
    let line = lines.find_map(|line| line.strip_prefix(&prefix));
    line.map_or(0, |count| count.parse().expect("it is a number"))
}

/// Returns how often a list of upstreams could not go on at a gateway.
fn unfinished_lists(site: &Site, index: usize) -> u64 {
    let metrics = site.metrics(index);
    let kind = paths::UPSTREAM_KIND;
    let prefix = format!("jacinthpoint_lists_unfinished_total{{label=\"{kind}\"}} ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&prefix));
    line.map_or(0, |count| count.parse().expect("it is a number"))
}

/// Writes two entries that are no upstreams. Each fills more than half a page, so a page ends at this name.
fn end_page_at(site: &Site, name: &str) {
    let content = json!({ "note": "x".repeat(600_000) });
    let store = &site.platform.store;
    store.put(paths::UPSTREAM_KIND, name, content.clone());
    store.put(paths::UPSTREAM_KIND, &format!("{name}~"), content);
}

/// Ends the watches, so that gateways read the list again, and writes another upstream.
fn add_behind_lost_history(site: &Site) {
    let store = &site.platform.store;
    let entry = store.get_content(paths::UPSTREAM_KIND, PlainService::ID);
    let mut entry = entry.expect("it is registered");
    entry["state"] = "draining".into();
    store.end_all_watches();
    store.put(paths::UPSTREAM_KIND, "later", entry);
}

/// Checks that gateways read the whole list if a page ends at this name, also after a restart.
fn check_page_end(name: &str) {
    let mut site = Site::start(2);
    end_page_at(&site, name);
    add_behind_lost_history(&site);
    for index in 0..2 {
        site.wait_until("the list is read again", 4 * READ_MS, |site| {
            knows_upstreams(site, index, UPSTREAMS + 1)
        });
    }
    site.restart(0);
    site.wait_until("the gateway is ready again", 4 * READ_MS, |site| {
        site.is_ready(0) && knows_upstreams(site, 0, UPSTREAMS + 1)
    });
    for index in 0..2 {
        assert_eq!(unfinished_lists(&site, index), 0, "gateway {index}");
    }
}

/// Checks that gateways use what they have and what they read of a list that cannot go on behind the name `odd`, that
/// those that read it from the store count it, and that they read all of it once it goes on.
fn check_unfinished_list(break_page: impl Fn(&Site)) {
    let mut site = Site::start(2);
    end_page_at(&site, "odd");
    break_page(&site);
    add_behind_lost_history(&site);
    site.wait_until("the list has ended early", 4 * READ_MS, |site| {
        let is_counted = (0..2).any(|index| unfinished_lists(site, index) > 0);
        is_counted && (0..2).all(|index| knows_upstreams(site, index, UPSTREAMS + 1))
    });
    for index in 0..2 {
        let answer = Request::stream(&format!("beside-{index}")).send(site.gateway(index));
        assert_eq!(answer.status, 200, "gateway {index}");
    }
    site.restart(0);
    // It reads what can be read from the store, or all that the other one has.
    site.wait_until("the gateway is ready again", 4 * READ_MS, |site| {
        site.is_ready(0)
            && (unfinished_lists(site, 0) > 0 || knows_upstreams(site, 0, UPSTREAMS + 1))
    });
    site.platform.store.mend_pages();
    site.wait_until("the whole list is read", 4 * READ_MS, |site| {
        knows_upstreams(site, 0, UPSTREAMS + 1)
    });
}

/// Guards against gateways that follow no changes and are not ready after a restart, because the store refuses a page.
#[test]
fn list_whose_next_page_is_refused_is_used_so_far() {
    check_unfinished_list(|site| site.platform.store.refuse_page_after("odd"));
}

/// Guards against gateways that read the same page for ever.
#[test]
fn list_whose_page_repeats_is_used_so_far() {
    check_unfinished_list(|site| site.platform.store.repeat_page_after("odd"));
}

/// Guards against rule DRAIN: an older entry is used after a restore of the store, since its list cannot go on.
#[test]
fn draining_upstream_gets_no_request_after_a_restore_with_an_unfinished_list() {
    const REQUESTS: usize = 15;
    let site = Site::start(1);
    let store = &site.platform.store;
    end_page_at(&site, "zz");
    let copy = store.copy();
    site.platform.plain.register(0, "draining");
    site.wait_until("it drains", 2 * READ_MS, |site| {
        Request::once("before").send(site.gateway(0)).status == 503
    });
    let plain = &site.platform.plain;
    let arrived = plain.arrivals().len();
    store.refuse_page_after("zz");
    let _ = store.restore(&copy);
    for id in 0..REQUESTS {
        pause_ms(100);
        let name = format!("restored-{id}");
        let answer = Request::once(&name).send(site.gateway(0));
        assert_eq!(answer.status, 503, "request {id}");
    }
    assert_eq!(plain.arrivals().len(), arrived);
}

/// Guards against a fleet of which each gateway reads the store, since the list of those that read it cannot go on.
#[test]
fn unfinished_list_is_read_only_by_the_readers() {
    const GATEWAYS: usize = 8;
    const READERS: usize = 3;
    let site = Site::start(GATEWAYS);
    pause_ms(2 * READ_MS);
    end_page_at(&site, "odd");
    site.platform.store.refuse_page_after("odd");
    add_behind_lost_history(&site);
    let readers = |site: &Site| {
        let lists = (0..GATEWAYS).map(|index| unfinished_lists(site, index));
        lists.collect::<Vec<_>>()
    };
    site.wait_until("the list has ended early twice", 8 * READ_MS, |site| {
        readers(site).iter().any(|lists| *lists >= 2)
    });
    let lists = readers(&site);
    let count = lists.iter().filter(|lists| **lists > 0).count();
    assert!(count <= READERS, "{lists:?}");
    for index in 0..GATEWAYS {
        assert!(
            knows_upstreams(&site, index, UPSTREAMS + 1),
            "gateway {index}"
        );
    }
}

/// Defines tests of one name each at which a page of the list ends.
macro_rules! page_end {
    ($($name:ident: $entry:expr,)+) => {
        $(
            #[test]
            fn $name() {
                check_page_end($entry);
            }
        )+
    };
}

// Guards against lists that fail or repeat, since the name of another writer's entry is put into a query as it is.
page_end! {
    list_goes_on_after_a_name_with_a_space: "a spare",
    list_goes_on_after_a_name_with_a_field_separator: "a&stale_ok=1",
    list_goes_on_after_a_name_with_a_percent_sign: "50%20off",
    list_goes_on_after_a_name_with_a_fragment_sign: "a#b",
    list_goes_on_after_a_name_with_a_query_sign: "a?b/c",
    list_goes_on_after_a_name_beyond_ascii: "düne-Ω",
}

/// Checks that gateways read everything but an odd entry with this content: later changes, and the whole list
/// after a restart. The entry is counted once at each gateway, and used as soon as it can be read.
fn check_odd_entry(content: &str) {
    let gateways = 2;
    let mut site = Site::start(gateways);
    let store = site.platform.store.clone();
    let mut entry = store
        .get_content(paths::UPSTREAM_KIND, PlainService::ID)
        .expect("it is registered");
    // The added upstreams take no requests.
    entry["state"] = "draining".into();
    store.put_raw(paths::UPSTREAM_KIND, "odd", content);
    store.put(paths::UPSTREAM_KIND, "later", entry.clone());
    for index in 0..gateways {
        site.wait_until("a later change is read", READ_MS, |site| {
            knows_upstreams(site, index, UPSTREAMS + 1)
        });
        assert_eq!(refused_entries(&site, index), 1, "gateway {index}");
    }
    // The list is read again, and the entry is no news.
    store.forget_history();
    store.put(paths::UPSTREAM_KIND, "latest", entry.clone());
    for index in 0..gateways {
        site.wait_until("the list is read again", READ_MS, |site| {
            knows_upstreams(site, index, UPSTREAMS + 2)
        });
        assert_eq!(refused_entries(&site, index), 1, "gateway {index}");
    }
    site.restart(0);
    site.wait_until("the gateway is ready again", 10_000, |site| {
        site.is_ready(0) && knows_upstreams(site, 0, UPSTREAMS + 2)
    });
    for index in 0..gateways {
        let answer = Request::stream(&format!("beside-{index}")).send(site.gateway(index));
        assert_eq!(answer.status, 200, "gateway {index}");
    }
    store.put(paths::UPSTREAM_KIND, "odd", entry);
    for index in 0..gateways {
        site.wait_until("the mended entry is used", READ_MS, |site| {
            knows_upstreams(site, index, UPSTREAMS + 3)
        });
    }
}

/// Guards against an upstream that stays in use after its entry was changed to one whose name cannot be read.
#[test]
fn upstream_whose_entry_has_no_readable_name_is_not_used() {
    let site = Site::start(1);
    let store = &site.platform.store;
    let entry = store
        .get_content(paths::UPSTREAM_KIND, PlainService::ID)
        .expect("it is registered");
    store.put(paths::UPSTREAM_KIND, "odd", entry);
    site.wait_until("the upstream is known", READ_MS, |site| {
        knows_upstreams(site, 0, UPSTREAMS + 1)
    });
    // The second of two fields of the same name is read.
    store.put_raw(paths::UPSTREAM_KIND, "odd", r#"{},"metadata":7"#);
    site.wait_until("the upstream is gone", READ_MS, |site| {
        knows_upstreams(site, 0, UPSTREAMS)
    });
    assert_eq!(refused_entries(&site, 0), 1);
}

/// Guards against a gateway that the others do not reach, since another writer left something in its registration
/// that cannot be read.
#[test]
fn odd_registration_is_replaced_by_its_gateway() {
    const KIND: &str = "gateways";
    let site = Site::start(2);
    let store = &site.platform.store;
    let registration = store.get_content(KIND, &gateway_name(0));
    assert!(registration.is_some(), "it is registered");
    store.put_raw(KIND, &gateway_name(0), "1e400");
    site.wait_until("it registers again", 2 * READ_MS, |site| {
        site.platform.store.get_content(KIND, &gateway_name(0)) == registration
    });
}

/// Guards against groups without an owner: nobody took over a lease that cannot be read.
#[test]
fn odd_lease_is_taken_over() {
    let site = Site::start(2);
    site.platform.store.put_raw("leases", "groups", "1e400");
    site.wait_until("a gateway holds the lease", 4 * READ_MS, |site| {
        site.lease_holder().is_some()
    });
}

/// Defines tests of one odd entry each: name, content of the entry.
macro_rules! odd_entry {
    ($($name:ident: $content:expr,)+) => {
        $(
            #[test]
            fn $name() {
                check_odd_entry(&$content);
            }
        )+
    };
}

// Guards against gateways that follow no changes, or are not ready after a restart: one entry that cannot be
// read made the whole answer of the store unreadable.
odd_entry! {
    deeply_nested_entry_leaves_others_readable:
        format!("{}0{}", "[".repeat(50_000), "]".repeat(50_000)),
    entry_nested_to_the_limit_of_the_reader_leaves_others_readable:
        format!("{}0{}", "[".repeat(127), "]".repeat(127)),
    entry_with_a_number_too_large_leaves_others_readable: r#"{"slots": 1e400}"#,
    entry_with_half_a_surrogate_pair_leaves_others_readable: r#"{"service": "\ud800"}"#,
    entry_with_a_port_out_of_range_leaves_others_readable: r#"{"service": "any", "slots": 4,
        "addr": "127.0.0.1:99999", "zone": "zone-0", "state": "ready"}"#,
}
