//! Tests of how groups are formed, repaired and replaced.

use jacinthpoint_placement::{Action, Demand, Event, GroupPlan, RepairSettings, Repairs};
use jacinthpoint_types::Priority;

use crate::driver::{World, address, demand, new_controller, vm_id};

/// Bound on any one change: the time to detect a loss, wait and load weights twice, with a margin.
const LIMIT_MS: u64 = 20_000;

fn settings() -> RepairSettings {
    RepairSettings {
        load_ms: 2_000,
        replace_ms: 30_000,
        ..RepairSettings::new()
    }
}

fn batch_demand(name: &str, group_size: u16, standbys: u16) -> Demand {
    Demand {
        priority: Priority::Batch,
        ..demand(name, 1, group_size, standbys)
    }
}

/// Defines a test with `$vms` VMs in which all demanded groups serve at first.
macro_rules! repair_case {
    ($name:ident, $vms:expr, $demands:expr, |$world:ident| $body:block) => {
        #[test]
        fn $name() {
            let mut $world = World::new($vms, $demands, &settings(), 2);
            let wanted: u16 = $world.demands.iter().map(|demand| demand.groups).sum();
            run_until_serving(&mut $world, usize::from(wanted));
            $body
        }
    };
}

/// Runs until exactly `wanted` groups serve.
fn run_until_serving(world: &mut World, wanted: usize) {
    let formed = world.run_until(LIMIT_MS, |world| world.serving().len() == wanted);
    assert!(formed.is_some(), "{:?}", world.latest());
}

fn writes(actions: &[Action]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, Action::WritePlan { .. }))
}

fn total_loads(world: &World) -> u32 {
    world.vms.values().map(|vm| vm.loads).sum()
}

fn first_group(world: &World) -> GroupPlan {
    world.latest().groups[0].clone()
}

fn member_number(world: &World, rank: usize) -> usize {
    let vm = first_group(world).members[rank].vm.clone();
    let found = (0..world.vms.len()).find(|&number| vm_id(number) == vm);
    found.expect("a member is a VM")
}

/// Runs until the condition holds and checks that at least `min_serving` groups serve after every
/// step.
fn run_with_min_serving(world: &mut World, min_serving: usize, is_done: impl Fn(&World) -> bool) {
    let start = world.now;
    while !is_done(world) {
        world.step();
        assert!(world.serving().len() >= min_serving, "{:?}", world.latest());
        assert!(
            world.now.since_ms(start) < 4 * LIMIT_MS,
            "the change takes too long"
        );
    }
}

fn serves_new_version(world: &World, groups: usize) -> bool {
    let plan = world.latest();
    let is_new = |group: &GroupPlan| group.model == world.demands[0].model;
    plan.groups.len() == groups && plan.groups.iter().all(is_new) && world.serving().len() == groups
}

repair_case!(
    member_that_returns_within_the_wait_causes_no_load_and_no_write,
    5,
    vec![demand("desk", 1, 4, 1)],
    |world| {
        let (loads, writes) = (total_loads(&world), world.writes);
        let member = member_number(&world, 1);
        world.vm(member).paused_until = world.now.plus_ms(3_000);
        world.run_ms(10_000);
        assert_eq!((total_loads(&world), world.writes), (loads, writes));
        assert_eq!(world.serving().len(), 1);
    }
);

repair_case!(
    dead_member_is_replaced_by_a_standby_with_one_load,
    5,
    vec![demand("desk", 1, 4, 1)],
    |world| {
        let loads = total_loads(&world);
        let member = member_number(&world, 2);
        world.vm(member).is_dead = true;
        run_until_serving(&mut world, 1);
        assert_eq!(total_loads(&world), loads + 1);
        let group = first_group(&world);
        assert!(group.all_vms().all(|other| other.vm != vm_id(member)));
    }
);

repair_case!(
    restarted_engine_rejoins_its_group_under_a_new_epoch,
    4,
    vec![demand("desk", 1, 4, 0)],
    |world| {
        let before = first_group(&world);
        let member = member_number(&world, 0);
        world.vm(member).restart();
        run_until_serving(&mut world, 1);
        let after = first_group(&world);
        assert_eq!(after.id, before.id);
        assert!(after.epoch > before.epoch);
    }
);

repair_case!(
    vm_with_a_new_address_rejoins_its_group_under_a_new_epoch,
    4,
    vec![demand("desk", 1, 4, 0)],
    |world| {
        let before = first_group(&world);
        let member = member_number(&world, 3);
        world.vm(member).restart();
        world.vm(member).address = address(member, 2);
        let is_moved = |world: &World| first_group(world).members[3].address == address(member, 2);
        assert!(world.run_until(LIMIT_MS, is_moved).is_some());
        run_until_serving(&mut world, 1);
        assert!(first_group(&world).epoch > before.epoch);
    }
);

repair_case!(
    standby_of_a_less_important_group_replaces_a_lost_member,
    8,
    vec![demand("desk", 1, 3, 0), batch_demand("reports", 3, 2)],
    |world| {
        let member = member_number(&world, 0);
        world.vm(member).is_dead = true;
        run_until_serving(&mut world, 2);
    }
);

repair_case!(
    less_important_group_is_dissolved_for_a_broken_group,
    6,
    vec![demand("desk", 1, 3, 0), batch_demand("reports", 3, 0)],
    |world| {
        let desk = first_group(&world).id.to_string();
        let member = member_number(&world, 0);
        world.vm(member).is_dead = true;
        world.step();
        let desk_serves = |world: &World| world.serving().iter().any(|(id, _, _)| id == &desk);
        assert!(world.run_until(LIMIT_MS, desk_serves).is_some());
    }
);

repair_case!(
    one_of_two_broken_groups_is_dissolved_to_repair_the_other,
    6,
    vec![demand("desk", 2, 3, 0)],
    |world| {
        for group in world.latest().groups {
            let lost = &group.members[1].vm;
            world.vms.get_mut(lost).expect("a VM").is_dead = true;
        }
        run_until_serving(&mut world, 1);
    }
);

repair_case!(
    new_version_serves_before_the_old_one_is_dissolved,
    12,
    vec![demand("desk", 2, 4, 0)],
    |world| {
        world.demands[0].model = "jp-model@v2".parse().expect("a valid model");
        run_with_min_serving(&mut world, 2, |world| serves_new_version(world, 2));
    }
);

repair_case!(
    groups_change_version_one_at_a_time_without_spare_vms,
    12,
    vec![demand("desk", 3, 4, 0)],
    |world| {
        world.demands[0].model = "jp-model@v2".parse().expect("a valid model");
        run_with_min_serving(&mut world, 2, |world| serves_new_version(world, 3));
    }
);

repair_case!(
    leaving_vm_is_replaced_without_downtime,
    8,
    vec![demand("desk", 1, 4, 0)],
    |world| {
        let member = member_number(&world, 0);
        world.vm(member).is_leaving = true;
        run_with_min_serving(&mut world, 1, |world| {
            let groups = world.latest().groups;
            let mut planned = groups.iter().flat_map(GroupPlan::all_vms);
            planned.all(|other| other.vm != vm_id(member))
        });
        run_until_serving(&mut world, 1);
    }
);

repair_case!(
    flapping_vm_does_not_replace_a_dead_member,
    6,
    vec![demand("desk", 1, 4, 0)],
    |world| {
        // The fifth and the sixth VM are free; the fifth flaps.
        for _ in 0..3 {
            world.vm(4).paused_until = world.now.plus_ms(2_500);
            world.run_ms(4_000);
        }
        let member = member_number(&world, 0);
        world.vm(member).is_dead = true;
        run_until_serving(&mut world, 1);
        let group = first_group(&world);
        assert!(group.all_vms().all(|other| other.vm != vm_id(4)));
    }
);

repair_case!(
    group_id_is_not_reused_after_the_plan_is_lost,
    4,
    vec![demand("desk", 1, 4, 0)],
    |world| {
        let before = first_group(&world).id;
        let fence = world.latest().fence;
        world.plans.clear();
        world.controllers = vec![new_controller(7, &settings())];
        world.controllers[0].controls = true;
        for number in 0..4 {
            world.vm(number).restart();
        }
        assert!(world.serving().is_empty());
        run_until_serving(&mut world, 1);
        // No controller or engine remembers the old token, so it is used again; the ids must differ
        // nevertheless.
        assert_eq!(world.latest().fence, fence);
        assert_ne!(first_group(&world).id, before);
    }
);

repair_case!(
    plan_written_after_the_plan_is_lost_has_a_higher_token_than_engines_have_seen,
    5,
    vec![demand("desk", 1, 4, 1)],
    |world| {
        let member = member_number(&world, 0);
        world.vm(member).is_dead = true;
        run_until_serving(&mut world, 1);
        let seen = world.latest().fence;
        world.plans.clear();
        world.run_ms(LIMIT_MS);
        assert!(world.latest().fence > seen);
        run_until_serving(&mut world, 1);
    }
);

repair_case!(
    pause_of_the_controller_causes_no_repair,
    5,
    vec![demand("desk", 1, 4, 1)],
    |world| {
        let resumed_at = world.now.plus_ms(60_000);
        let controller = &mut world.controllers[0].controller;
        // The first tick after a pause comes before the answer to any probe.
        let actions = controller.handle(resumed_at, Event::Tick);
        assert!(!writes(&actions), "{actions:?}");
        let actions = controller.handle(resumed_at.plus_ms(500), Event::Tick);
        assert!(!writes(&actions), "{actions:?}");
    }
);

/// Defines a test of the limit on concurrent loads.
macro_rules! load_case {
    ($name:ident, $max_loads:expr) => {
        #[test]
        fn $name() {
            let settings = RepairSettings {
                max_loads: $max_loads,
                ..settings()
            };
            let mut world = World::new(24, vec![demand("desk", 3, 8, 0)], &settings, 1);
            let formed = world.run_until(300_000, |world| world.serving().len() == 3);
            assert!(formed.is_some());
            assert!(world.max_loading <= $max_loads, "{}", world.max_loading);
        }
    };
}

load_case!(concurrent_loads_stay_within_the_limit, 5);
load_case!(all_groups_serve_with_one_load_at_a_time, 1);

#[test]
fn without_repairs_a_broken_group_waits_for_its_member() {
    let settings = RepairSettings {
        repairs: Repairs {
            replace: false,
            preempt: false,
            dissolve: false,
        },
        ..settings()
    };
    let mut world = World::new(6, vec![demand("desk", 1, 4, 0)], &settings, 1);
    run_until_serving(&mut world, 1);
    let member = member_number(&world, 1);
    world.vm(member).is_dead = true;
    world.run_ms(LIMIT_MS);
    assert!(world.serving().is_empty());
    world.vm(member).restart();
    run_until_serving(&mut world, 1);
}
