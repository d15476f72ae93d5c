//! Tests of groups during and after an outage of the platform.

use jacinthpoint_placement::{Action, Event, Plan, PlanVersion, RepairSettings};
use jacinthpoint_types::Epoch;

use crate::driver::{STEP_MS, World, demand, new_controller};

/// Bound on the time to detect a loss, wait, retry failed calls and load weights, with a margin.
const LIMIT_MS: u64 = 20_000;
/// Largest time until a plan that may have changed is read again.
const READ_GAP_MS: u64 = 250;
/// Time between two reads if nothing suggests that the plan changed.
const READ_INTERVAL_MS: u64 = 10_000;

/// Returns a domain with one serving group.
fn started(refuses_old_orders: bool) -> World {
    let mut wanted = demand("desk", 1, 4, 2);
    wanted.refuses_old_orders = refuses_old_orders;
    let settings = RepairSettings {
        load_ms: 2_000,
        ..RepairSettings::new()
    };
    let mut world = World::new(8, vec![wanted], &settings, 2);
    assert!(world.run_until(LIMIT_MS, serves).is_some());
    world
}

fn serves(world: &World) -> bool {
    world.serving().len() == 1
}

fn kill_member(world: &mut World, rank: usize) {
    let vm = world.latest().groups[0].members[rank].vm.clone();
    world.vms.get_mut(&vm).expect("a VM").is_dead = true;
}

/// Defines a test with one serving group, whose engines refuse outdated orders or ignore fencing
/// tokens.
macro_rules! one_group_case {
    ($name:ident, $refuses:expr, |$world:ident| $body:block) => {
        #[test]
        fn $name() {
            let mut $world = started($refuses);
            $body
        }
    };
}

/// Kills a member in an outage. Checks that a standby replaces it, and that the swap is written to
/// the plan after the outage without downtime.
fn swap_in_outage(world: &mut World) {
    world.is_platform_up = false;
    let written = world.plans.len();
    kill_member(world, 1);
    assert!(world.run_until(LIMIT_MS, serves).is_some());
    assert_eq!(world.plans.len(), written);
    let (_, epoch, members) = world.serving().pop_first().expect("a group");
    assert!(epoch.has_swaps());
    world.is_platform_up = true;
    let is_written = |world: &World| {
        let planned = &world.latest().groups[0].members;
        planned.iter().map(|member| &member.vm).eq(&members)
    };
    let start = world.now;
    while !is_written(world) || world.now.since_ms(start) < LIMIT_MS {
        world.step();
        assert!(
            serves(world),
            "writing the swap to the plan must not interrupt service"
        );
        assert!(
            world.now.since_ms(start) < 2 * LIMIT_MS,
            "the plan does not contain the swap"
        );
    }
}

one_group_case!(
    member_lost_in_an_outage_is_replaced_by_a_standby,
    true,
    |world| {
        swap_in_outage(&mut world);
    }
);

one_group_case!(
    member_lost_in_an_outage_is_replaced_by_a_standby_where_fencing_is_ignored,
    false,
    |world| {
        swap_in_outage(&mut world);
    }
);

one_group_case!(
    two_controllers_that_both_swap_converge_on_one_group,
    true,
    |world| {
        world.is_platform_up = false;
        world.controllers[1].controls = true;
        kill_member(&mut world, 0);
        for _ in 0..200 {
            world.step();
            assert!(world.serving().len() <= 1, "{:?}", world.serving());
        }
        assert!(serves(&world));
    }
);

one_group_case!(
    group_that_lost_half_of_its_members_is_not_swapped,
    true,
    |world| {
        world.is_platform_up = false;
        kill_member(&mut world, 0);
        kill_member(&mut world, 1);
        world.run_ms(LIMIT_MS);
        assert!(world.serving().is_empty());
    }
);

one_group_case!(paused_controller_sends_no_outdated_order, false, |world| {
    kill_member(&mut world, 1);
    world.controllers[0].pause_before_acting_ms = 30_000;
    world.controllers[1].controls = true;
    let is_repaired = |world: &World| world.plans.len() > 1 && serves(world);
    assert!(world.run_until(LIMIT_MS, is_repaired).is_some());
    world.run_ms(LIMIT_MS);
    let serving = world.serving();
    for _ in 0..200 {
        world.step();
        assert_eq!(world.serving(), serving);
    }
    assert!(world.vms.values().all(|vm| vm.outdated_orders == 0));
});

one_group_case!(
    plan_is_written_once_when_the_answer_is_lost,
    true,
    |world| {
        world.lose_answers = 3;
        kill_member(&mut world, 1);
        let written = world.plans.len();
        assert!(world.run_until(LIMIT_MS, serves).is_some());
        assert_eq!(world.plans.len(), written + 1);
    }
);

#[test]
fn controller_only_reads_until_an_uncertain_write_is_read_back() {
    let world = started(true);
    let mut controller = new_controller(9, &RepairSettings::new()).controller;
    let now = world.now;
    controller.handle(now, Event::Role { controls: true });
    controller.handle(now, Event::Members(world.list()));
    controller.handle(now, Event::Demands(world.demands.clone()));
    controller.handle(
        now,
        Event::PlanRead {
            asked_at: now,
            version: PlanVersion(0),
            plan: Plan::default(),
        },
    );
    for event in world.probes() {
        controller.handle(now, event);
    }
    let actions = controller.handle(now, Event::Tick);
    // The controller did not request the read above, so it starts one of its own first.
    assert!(matches!(actions[..], [Action::ReadPlan]), "{actions:?}");
    let confirmed = Event::PlanRead {
        asked_at: now,
        version: PlanVersion(0),
        plan: Plan::default(),
    };
    controller.handle(now, confirmed);
    let actions = controller.handle(now, Event::Tick);
    let [Action::WritePlan { .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    let actions = controller.handle(now, Event::PlanAmbiguous);
    assert!(matches!(actions[..], [Action::ReadPlan]), "{actions:?}");
    for step in 1..8 {
        let actions = controller.handle(now.plus_ms(step * STEP_MS), Event::Tick);
        assert!(actions.is_empty(), "{actions:?}");
    }
}

/// Checks that a controller soon reads the plan of which an engine reports the epoch while a read is
/// in progress whose answer is older, as after a pause of the process. `known_before` says whether an
/// earlier read found the older plan.
fn reported_during_a_read(known_before: bool) {
    let world = started(true);
    let (version, plan) = (PlanVersion(world.plans.len() as u64), world.latest());
    let mut controller = new_controller(9, &RepairSettings::new()).controller;
    let old_plan = |asked_at| Event::PlanRead {
        asked_at,
        version,
        plan: plan.clone(),
    };
    let mut read_at = world.now;
    controller.handle(read_at, Event::Members(world.list()));
    let mut actions = controller.handle(read_at, Event::Tick);
    if known_before {
        controller.handle(read_at, old_plan(read_at));
        read_at = read_at.plus_ms(READ_INTERVAL_MS);
        actions = controller.handle(read_at, Event::Tick);
    }
    assert!(matches!(actions[..], [Action::ReadPlan]), "{actions:?}");
    for mut event in world.probes() {
        if let Event::Probe {
            sent_at, report, ..
        } = &mut event
        {
            *sent_at = read_at;
            if let Some(assignment) = &mut report.assignment {
                assignment.epoch = Epoch::from_fence(plan.fence + 1);
            }
        }
        controller.handle(read_at, event);
    }
    controller.handle(read_at, old_plan(read_at));
    let soon = read_at.plus_ms(READ_GAP_MS);
    let actions = controller.handle(soon, Event::Tick);
    assert!(matches!(actions[..], [Action::ReadPlan]), "{actions:?}");
    // The report does not cause a further read.
    controller.handle(soon, old_plan(soon));
    let later = soon.plus_ms(READ_GAP_MS);
    let actions = controller.handle(later, Event::Tick);
    assert!(actions.is_empty(), "{actions:?}");
}

/// Names the cases of [`reported_during_a_read`], which guard against a newer plan that stays unread
/// for the usual time between two reads.
macro_rules! reported_during_a_read {
    ($($name:ident: $known_before:expr;)+) => {
        $(
            #[test]
            fn $name() {
                reported_during_a_read($known_before);
            }
        )+
    };
}

reported_during_a_read! {
    plan_reported_during_the_first_read_is_read: false;
    plan_reported_during_a_later_read_is_read: true;
}

#[test]
fn new_controller_sends_no_order_while_the_old_one_may_still_send() {
    let mut wanted = demand("desk", 2, 4, 0);
    wanted.refuses_old_orders = false;
    let mut world = World::new(8, vec![wanted], &RepairSettings::new(), 1);
    world.controllers[0].pause_before_order_ms = 3 * STEP_MS;
    let is_written = world.run_until(LIMIT_MS, |world| !world.plans.is_empty());
    assert!(is_written.is_some());
    // Another controller takes over after the plan is written and before its orders are sent, and
    // plans another model version.
    world.demands[0].model = "jp-model@v2".parse().expect("a valid model");
    world
        .controllers
        .push(new_controller(5, &RepairSettings::new()));
    world.controllers[1].controls = true;
    world.run_ms(LIMIT_MS);
    assert!(world.plans.len() > 1);
    assert!(world.vms.values().all(|vm| vm.outdated_orders == 0));
}

#[test]
fn standby_that_has_seen_a_later_fencing_token_is_swapped_in() {
    let mut world = World::new(9, vec![demand("desk", 1, 3, 1)], &RepairSettings::new(), 1);
    assert!(world.run_until(2 * LIMIT_MS, serves).is_some());
    let desk = world.latest().groups[0].clone();
    // A second group is formed and dissolved. One of its VMs, which is ordered to leave with the
    // plan's latest fencing token, later becomes the standby of the first group.
    world.demands.push(demand("reports", 1, 4, 0));
    let is_formed = world.run_until(4 * LIMIT_MS, |world| world.serving().len() == 2);
    assert!(is_formed.is_some());
    world.demands.pop();
    world.run_ms(LIMIT_MS);
    let departed = world.vms.iter().find(|(vm, state)| {
        let was_desk = desk.all_vms().any(|member| &member.vm == *vm);
        !was_desk && state.highest.fence() > desk.epoch.fence()
    });
    let departed = departed.expect("a VM left the other group").0.clone();
    for member in &desk.standbys {
        world.vms.get_mut(&member.vm).expect("a VM").is_dead = true;
    }
    for (vm, state) in &mut world.vms {
        let was_desk = desk.all_vms().any(|member| &member.vm == vm);
        state.is_dead |= !was_desk && vm != &departed;
    }
    let stands_by = |world: &World| {
        let standbys = &world.latest().groups[0].standbys;
        standbys.iter().any(|member| member.vm == departed)
    };
    assert!(world.run_until(LIMIT_MS, stands_by).is_some());
    world.is_platform_up = false;
    kill_member(&mut world, 1);
    world.step();
    assert!(world.run_until(3 * LIMIT_MS, serves).is_some());
}
