//! Upstreams that die, pause, straggle, are replaced or leave, while callers go on.

use jacinthpoint_standins::wall_ms;
use serde_json::json;

use crate::util::{
    SHORT_GROUP_BOUND_MS, Site, SiteOptions, Traffic, fault_survived, let_pass, none_lost,
    permitted_groups, wait_for_answers, wait_until,
};

/// Bound on new work for an upstream after the platform's list says that it is leaving: the list
/// is read each second, a plan is written and ordered within another, permits live a second and a
/// half.
const LEAVING_BOUND_MS: u64 = 5_000;
/// Time for a group to be repaired with a standby that must load the weights.
const REPAIR_MS: u64 = 20_000;

const RACK_2: [&str; 4] = ["rack-2-vm-1", "rack-2-vm-2", "rack-2-vm-3", "rack-2-vm-4"];

/// Waits until every node may use `count` groups, none of them with this VM.
fn wait_for_groups_without(site: &Site, vm: &str, count: usize, bound_ms: u64) {
    wait_until("groups without a VM", bound_ms, || {
        site.nodes.iter().all(|node| {
            let groups = permitted_groups(node.operators);
            groups.len() >= count && groups.iter().all(|members| !members.contains(vm))
        })
    });
}

/// Starts callers, provokes something, and checks that no request is lost by it.
macro_rules! loses_nothing_test {
    ($name:ident, |$site:ident| $body:block) => {
        site_test!($name, SiteOptions::proxied(), |mut site| {
            let traffic = Traffic::start(&site.callers(), 8, Some("enquiries"));
            wait_for_answers(&traffic, 5);
            {
                let $site = &mut site;
                $body
            }
            wait_for_answers(&traffic, 10);
            none_lost(&site, &traffic.finish());
        });
    };
}

loses_nothing_test!(vm_replaced_on_the_same_address, |site| {
    site.replace_engine("rack-1-vm-1", "rack-1-vm-9");
    wait_for_groups_without(site, "rack-1-vm-1", 0, SHORT_GROUP_BOUND_MS);
    wait_for_groups_without(site, "rack-1-vm-1", 2, REPAIR_MS);
});

loses_nothing_test!(dead_member_is_replaced_by_the_standby, |site| {
    site.kill_engine("rack-1-vm-2");
    wait_for_groups_without(site, "rack-1-vm-2", 0, SHORT_GROUP_BOUND_MS);
    wait_for_groups_without(site, "rack-1-vm-2", 2, REPAIR_MS);
});

loses_nothing_test!(paused_member_comes_back, |site| {
    site.pause_engine("rack-1-vm-1");
    wait_for_groups_without(site, "rack-1-vm-1", 0, SHORT_GROUP_BOUND_MS);
    let_pass(SHORT_GROUP_BOUND_MS);
    site.resume_engine("rack-1-vm-1");
    site.wait_for_groups(2);
});

loses_nothing_test!(straggler_is_replaced, |site| {
    site.engine_fault(
        "rack-1-vm-2",
        &json!({ "mode": "straggle", "factor": 10.0 }),
    );
    wait_for_groups_without(site, "rack-1-vm-2", 0, SHORT_GROUP_BOUND_MS);
    wait_for_groups_without(site, "rack-1-vm-2", 2, REPAIR_MS);
});

site_test!(
    fabric_domain_goes_dark_and_comes_back,
    SiteOptions::proxied(),
    |mut site| {
        let traffic = Traffic::start(&site.callers(), 8, Some("enquiries"));
        wait_for_answers(&traffic, 5);
        for vm in RACK_2 {
            site.kill_engine(vm);
        }
        for vm in RACK_2 {
            wait_for_groups_without(&site, vm, 1, SHORT_GROUP_BOUND_MS);
        }
        wait_for_answers(&traffic, 10);
        for number in 5..=8 {
            site.start_engine(&format!("rack-2-vm-{number}"), "rack-2");
        }
        site.wait_for_groups(2);
        none_lost(&site, &traffic.finish());
    }
);

site_test!(
    fabric_domain_cut_off_and_back,
    SiteOptions::proxied(),
    |site| {
        let traffic = Traffic::start(&site.callers(), 8, Some("enquiries"));
        wait_for_answers(&traffic, 5);
        let others = ["node-1", "node-2", "node-3", "platform"];
        site.links().partition("dark", &RACK_2, &others);
        for vm in RACK_2 {
            wait_for_groups_without(&site, vm, 1, SHORT_GROUP_BOUND_MS);
        }
        let_pass(SHORT_GROUP_BOUND_MS);
        site.links().heal("dark");
        site.wait_for_groups(2);
        fault_survived(&site, traffic);
    }
);

/// Marks an upstream as leaving and checks that no work starts on it beyond the bound.
fn leave(site: &Site, vm: &str, lag_ms: u64, then: impl FnOnce(&Site)) {
    let traffic = Traffic::start(&site.callers(), 8, Some("enquiries"));
    wait_for_answers(&traffic, 20);
    site.control("leaving", &json!(vm));
    let bound_ms = lag_ms + LEAVING_BOUND_MS;
    let last_ms = wall_ms() + bound_ms;
    let_pass(bound_ms / 2);
    then(site);
    let_pass(bound_ms / 2 + LEAVING_BOUND_MS);
    wait_for_answers(&traffic, 10);
    none_lost(site, &traffic.finish());
    let runs = site.run_log();
    let mut on_leaving = runs
        .iter()
        .filter(|run| run.vm == vm || run.members.iter().any(|member| member == vm));
    let late = on_leaving.find(|run| run.started_wall_ms > last_ms);
    assert!(late.is_none(), "new work after {bound_ms} ms: {late:?}");
}

macro_rules! leaving_test {
    ($name:ident, $vm:expr, lag_ms: $lag_ms:expr, $then:expr) => {
        site_test!(
            $name,
            SiteOptions {
                membership_lag_ms: $lag_ms,
                ..SiteOptions::proxied()
            },
            |site| {
                leave(&site, $vm, $lag_ms, $then);
            }
        );
    };
}

leaving_test!(leaving_engine_gets_no_new_work, "rack-1-vm-1", lag_ms: 500, |_| {});
leaving_test!(leaving_engine_gets_no_new_work_on_a_late_list, "rack-1-vm-1", lag_ms: 3_000, |_| {});
leaving_test!(
    leaving_engine_gets_no_new_work_in_an_outage,
    "rack-1-vm-1",
    lag_ms: 500,
    |site| site.platform_fault(&json!({ "mode": "refuse" }))
);
leaving_test!(leaving_server_gets_no_new_work, "enquiries-1", lag_ms: 500, |_| {});
leaving_test!(leaving_server_gets_no_new_work_on_a_late_list, "enquiries-1", lag_ms: 3_000, |_| {});
leaving_test!(
    leaving_server_gets_no_new_work_in_an_outage,
    "enquiries-1",
    lag_ms: 500,
    |site| site.platform_fault(&json!({ "mode": "silent" }))
);

site_test!(
    engine_that_says_it_leaves_gets_no_new_work_in_an_outage,
    SiteOptions::proxied(),
    |site| {
        let vm = "rack-1-vm-1";
        site.platform_fault(&json!({ "mode": "refuse" }));
        let traffic = Traffic::start(&site.callers(), 8, None);
        wait_for_answers(&traffic, 20);
        site.engine_fault(vm, &json!({ "mode": "leaving" }));
        let last_ms = wall_ms() + LEAVING_BOUND_MS;
        let_pass(2 * LEAVING_BOUND_MS);
        wait_for_answers(&traffic, 10);
        none_lost(&site, &traffic.finish());
        let runs = site.run_log();
        let mut on_leaving = runs
            .iter()
            .filter(|run| run.members.iter().any(|member| member == vm));
        let late = on_leaving.find(|run| run.started_wall_ms > last_ms);
        assert!(
            late.is_none(),
            "new work after {LEAVING_BOUND_MS} ms: {late:?}"
        );
    }
);
