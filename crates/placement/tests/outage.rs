//! Groups while the platform is away, and afterwards.

use jacinthpoint_placement::{Action, Event, Plan, PlanVersion, RepairSettings};

use crate::driver::{STEP_MS, World, demand, new_driven};

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
    assert!(epoch.has_swaps());
    world.is_platform_up = true;
    let is_told = |world: &World| {
        let planned = &world.latest().groups[0].members;
        planned.iter().map(|member| &member.vm).eq(&members)
    };
    let start = world.now;
    while !is_told(world) || world.now.since_ms(start) < LIMIT_MS {
        world.step();
        assert!(serves(world), "telling the platform stops no service");
        assert!(world.now.since_ms(start) < 2 * LIMIT_MS, "not told");
    }
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

#[test]
fn nothing_is_done_until_an_unsure_write_is_read_back() {
    let world = started(true);
    let mut controller = new_driven(9, &RepairSettings::new()).controller;
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

#[test]
fn new_controller_waits_out_the_authority_of_the_old_one() {
    let mut wanted = demand("desk", 2, 4, 0);
    wanted.refuses_old_orders = false;
    let mut world = World::new(8, vec![wanted], &RepairSettings::new(), 1);
    world.controllers[0].pause_before_order_ms = 3 * STEP_MS;
    let is_written = world.run_until(LIMIT_MS, |world| !world.plans.is_empty());
    assert!(is_written.is_some());
    // Another one takes over between the plan and its orders, and wants something else.
    world.demands[0].model = "jp-model@v2".parse().expect("a valid model");
    world
        .controllers
        .push(new_driven(5, &RepairSettings::new()));
    world.controllers[1].controls = true;
    world.run_ms(LIMIT_MS);
    assert!(world.plans.len() > 1);
    assert!(world.vms.values().all(|vm| vm.steps_back == 0));
}

#[test]
fn standby_that_left_another_group_later_is_swapped_in() {
    let mut world = World::new(9, vec![demand("desk", 1, 3, 1)], &RepairSettings::new(), 1);
    assert!(world.run_until(2 * LIMIT_MS, serves).is_some());
    let desk = world.latest().groups[0].clone();
    // The standby leaves another group under the plan's latest fence.
    world.demands.push(demand("reports", 1, 4, 0));
    let is_formed = world.run_until(4 * LIMIT_MS, |world| world.serving().len() == 2);
    assert!(is_formed.is_some());
    world.demands.pop();
    world.run_ms(LIMIT_MS);
    let left = world.vms.iter().find(|(vm, state)| {
        let was_desk = desk.all_vms().any(|member| &member.vm == *vm);
        !was_desk && state.highest.fence() > desk.epoch.fence()
    });
    let left = left.expect("a VM left the other group").0.clone();
    for member in &desk.standbys {
        world.vms.get_mut(&member.vm).expect("a VM").is_dead = true;
    }
    for (vm, state) in &mut world.vms {
        let was_desk = desk.all_vms().any(|member| &member.vm == vm);
        state.is_dead |= !was_desk && vm != &left;
    }
    let stands_by = |world: &World| {
        let standbys = &world.latest().groups[0].standbys;
        standbys.iter().any(|member| member.vm == left)
    };
    assert!(world.run_until(LIMIT_MS, stands_by).is_some());
    world.is_platform_up = false;
    kill_member(&mut world, 1);
    world.step();
    assert!(world.run_until(3 * LIMIT_MS, serves).is_some());
}
