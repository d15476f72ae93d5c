//! Replica groups are gated and repaired.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use jacinthpoint_placement::Plan;
use jacinthpoint_platform::Object;
use jacinthpoint_types::{Epoch, rendezvous_order};
use serde_json::{Value, json};

use crate::util::{Call, Site, SiteOptions, permitted_groups, wait_until};

/// Bound on the time from the loss of a member to the last node's loss of its permits: the life of
/// a permit, one probe on its way and one round of permits.
const GATE_BOUND_MS: u64 = 2_500;

site_test!(
    paused_member_closes_its_group,
    SiteOptions::small(),
    |site| {
        site.engine_fault("rack-1-vm-2", &json!({ "mode": "pause" }));
        wait_until("every node gives up the permit", GATE_BOUND_MS, || {
            site.nodes.iter().all(|node| {
                let groups = permitted_groups(node.operators);
                groups
                    .iter()
                    .all(|members| !members.contains("rack-1-vm-2"))
            })
        });
    }
);

site_test!(
    serving_goes_on_without_the_platform,
    SiteOptions::small(),
    |mut site| {
        site.platform.signal("KILL");
        assert!(site.platform.wait(5_000).is_some());
        std::thread::sleep(std::time::Duration::from_millis(3_000));
        let call = Call::new("while the platform is away");
        let answer = call.send(site.nodes[0].callers).expect("the node answers");
        assert_eq!(
            (answer.outcome.as_str(), answer.text),
            ("answered", call.expected())
        );
    }
);

/// Time for a lost member to be noticed, waited for and replaced, with room for a noisy machine.
const REPAIR_MS: u64 = 30_000;
/// Longer than any authority or order on its way lasts.
const PAST_AUTHORITY_MS: u64 = 5_000;
/// The only fabric domain of `one_group`.
const DOMAIN: &str = "rack-1";

/// One group of three VMs with two standbys.
fn one_group(engine_args: &[&str]) -> SiteOptions {
    SiteOptions {
        domains: 1,
        vms_per_domain: 5,
        groups: 1,
        standbys: 2,
        engine_args: engine_args.iter().map(|arg| (*arg).to_owned()).collect(),
        ..SiteOptions::small()
    }
}

/// Every plan ever written.
fn plans(site: &Site) -> Vec<Plan> {
    let url = format!(
        "http://{}/control/history/plans/{DOMAIN}",
        site.platform_address
    );
    let answer = attohttpc::get(url).send();
    let history: Vec<Object> = answer
        .and_then(|answer| answer.json())
        .expect("the stand-in gives the history");
    let plans = history.into_iter().map(|object| object.value);
    plans
        .map(|value| serde_json::from_value(value).expect("a plan"))
        .collect()
}

fn assert_plans_are_sound(site: &Site) {
    let plans = plans(site);
    assert!(plans.iter().all(Plan::is_disjoint), "{plans:?}");
    assert!(plans.windows(2).all(|pair| pair[0].fence < pair[1].fence));
}

fn planned_members(site: &Site) -> BTreeSet<String> {
    let plan = plans(site).pop().unwrap_or_default();
    let members = plan.groups.iter().flat_map(|group| &group.members);
    members.map(|member| member.vm.to_string()).collect()
}

/// Ends a member that is not the first, and returns its name.
fn kill_member(site: &mut Site) -> String {
    let plan = plans(site).pop().expect("a plan");
    let vm = plan.groups[0].members[1].vm.to_string();
    site.engines.remove(&vm).expect("a member is an engine");
    vm
}

/// Waits until the nodes may use one group without this VM, and until it answers.
fn wait_for_repair(site: &Site, nodes: &[usize], lost: &str) {
    wait_until(
        "the group serves without the lost member",
        REPAIR_MS,
        || {
            nodes.iter().all(|&node| {
                let groups = permitted_groups(site.nodes[node].operators);
                groups.len() == 1 && !groups[0].contains(lost)
            })
        },
    );
    for &node in nodes {
        let call = Call::new("after the repair");
        let answer = call.send(site.nodes[node].callers);
        let answer = answer.expect("the node answers");
        assert_eq!(answer.text, call.expected(), "{}", answer.body);
    }
}

/// Highest epoch that the engines believe in, and how many of them do.
fn believed(site: &Site) -> (Epoch, usize) {
    let epochs: Vec<Epoch> = site
        .engines
        .values()
        .filter_map(|engine| jacinthpoint_upstream::state(engine.address, 1_000).ok())
        .filter_map(|state| state.assignment)
        .map(|assignment| assignment.epoch)
        .collect();
    let highest = epochs.iter().max().copied().unwrap_or_default();
    let count = epochs.iter().filter(|epoch| **epoch == highest).count();
    (highest, count)
}

fn set_platform_fault(site: &Site, fault: &Value) {
    site.control("fault", fault);
}

fn repairs_after_a_kill(mut site: Site) {
    let lost = kill_member(&mut site);
    wait_for_repair(&site, &[0, 1], &lost);
    assert_plans_are_sound(&site);
}

site_test!(standby_replaces_a_killed_member, one_group(&[]), |site| {
    repairs_after_a_kill(site);
});

site_test!(
    standby_replaces_a_killed_member_where_fencing_is_ignored,
    one_group(&["--ignore-fencing"]),
    |site| {
        repairs_after_a_kill(site);
    }
);

/// A controller that was stopped while the group was repaired changes nothing when it wakes.
fn wakes_without_harm(mut site: Site) {
    let names = ["node-1", "node-2"];
    let controller = rendezvous_order(DOMAIN, &names)[0];
    let stopped = names.iter().position(|name| name == controller);
    let stopped = stopped.expect("the controller is a node");
    site.nodes[stopped].process.signal("STOP");
    let lost = kill_member(&mut site);
    wait_for_repair(&site, &[1 - stopped], &lost);
    std::thread::sleep(Duration::from_millis(PAST_AUTHORITY_MS));
    let (before, count) = believed(&site);
    assert_eq!(count, usize::from(site.options.group_size));
    site.nodes[stopped].process.signal("CONT");
    let end = Instant::now() + Duration::from_millis(PAST_AUTHORITY_MS);
    while Instant::now() < end {
        let (epoch, _) = believed(&site);
        assert!(epoch >= before, "{epoch} after {before}");
        std::thread::sleep(Duration::from_millis(50));
    }
    wait_for_repair(&site, &[0, 1], &lost);
    assert_plans_are_sound(&site);
}

site_test!(woken_controller_does_no_harm, one_group(&[]), |site| {
    wakes_without_harm(site);
});

site_test!(
    woken_controller_does_no_harm_where_fencing_is_ignored,
    one_group(&["--ignore-fencing"]),
    |site| {
        wakes_without_harm(site);
    }
);

site_test!(
    write_without_an_answer_is_read_back,
    one_group(&[]),
    |mut site| {
        set_platform_fault(&site, &json!({ "mode": "lose-answers", "count": 3 }));
        let lost = kill_member(&mut site);
        wait_for_repair(&site, &[0, 1], &lost);
        assert!(!planned_members(&site).contains(&lost));
        assert_plans_are_sound(&site);
    }
);

/// A standby takes over without the platform, which is told afterwards.
fn swaps_in_outage(mut site: Site) {
    set_platform_fault(&site, &json!({ "mode": "refuse" }));
    let written = plans(&site).len();
    let lost = kill_member(&mut site);
    wait_for_repair(&site, &[0, 1], &lost);
    assert_eq!(plans(&site).len(), written);
    let (epoch, _) = believed(&site);
    assert!(epoch.has_swaps(), "{epoch}");
    set_platform_fault(&site, &json!({ "mode": "none" }));
    wait_until("the platform is told", REPAIR_MS, || {
        !planned_members(&site).contains(&lost)
    });
    // Telling it changes nothing for the members, so no service stops.
    wait_for_repair(&site, &[0, 1], &lost);
    assert_eq!(believed(&site).0, epoch);
    assert_plans_are_sound(&site);
}

site_test!(
    standby_is_swapped_in_without_the_platform,
    one_group(&[]),
    |site| {
        swaps_in_outage(site);
    }
);

site_test!(
    standby_is_swapped_in_without_the_platform_where_fencing_is_ignored,
    one_group(&["--ignore-fencing"]),
    |site| {
        swaps_in_outage(site);
    }
);
