//! Groups while the platform is away, and afterwards.

use jacinthpoint_placement::RepairSettings;

use crate::driver::{World, demand};

/// Suspicion, wait, failed calls and a load, with room.
const LIMIT_MS: u64 = 20_000;

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

/// A case over a world whose engines refuse old orders or ignore fencing numbers.
macro_rules! outage_case {
    ($name:ident, $refuses:expr, |$world:ident| $body:block) => {
        #[test]
        fn $name() {
            let mut $world = started($refuses);
            $body
        }
    };
}

fn swap_in_outage(world: &mut World) {
    world.is_platform_up = false;
    let written = world.plans.len();
    kill_member(world, 1);
    assert!(world.run_until(LIMIT_MS, serves).is_some());
    assert_eq!(world.plans.len(), written);
    let (_, epoch, members) = world.serving().pop_first().expect("a group");
    assert!(epoch.is_swap());
    world.is_platform_up = true;
    let is_told = |world: &World| {
        let planned = &world.latest().groups[0].members;
        planned.iter().map(|member| &member.vm).eq(&members)
    };
    assert!(world.run_until(LIMIT_MS, is_told).is_some());
    assert!(world.run_until(LIMIT_MS, serves).is_some());
}

outage_case!(standby_is_swapped_in, true, |world| {
    swap_in_outage(&mut world);
});

outage_case!(
    standby_is_swapped_in_where_fencing_is_ignored,
    false,
    |world| {
        swap_in_outage(&mut world);
    }
);

outage_case!(two_controllers_that_swap_come_to_agree, true, |world| {
    world.is_platform_up = false;
    world.controllers[1].controls = true;
    kill_member(&mut world, 0);
    for _ in 0..200 {
        world.step();
        assert!(world.serving().len() <= 1, "{:?}", world.serving());
    }
    assert!(serves(&world));
});

outage_case!(half_of_a_group_is_not_swapped, true, |world| {
    world.is_platform_up = false;
    kill_member(&mut world, 0);
    kill_member(&mut world, 1);
    world.run_ms(LIMIT_MS);
    assert!(world.serving().is_empty());
});

outage_case!(paused_controller_orders_nothing_outdated, false, |world| {
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
    assert!(world.vms.values().all(|vm| vm.steps_back == 0));
});

outage_case!(lost_answer_is_read_back, true, |world| {
    world.lose_answers = 3;
    kill_member(&mut world, 1);
    let written = world.plans.len();
    assert!(world.run_until(LIMIT_MS, serves).is_some());
    assert_eq!(world.plans.len(), written + 1);
});
