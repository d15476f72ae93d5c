//! Faults while entries and reports are older than the orders that the engines carried out. Each case
//! is one combination of times; in none may an order be a violation.

use jacinthpoint_fleet::OrderAction;
use jacinthpoint_regroup::Decision;

use crate::world::{LARGE, World};

/// Defines tests that each run all cases of one kind: labels and worlds in which they have ended.
macro_rules! sweeps {
    ($($name:ident: $cases:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut violations = Vec::new();
                for (label, world) in $cases {
                    let first = world.engines.violations.into_iter().next();
                    violations.extend(first.map(|violation| format!("{label}: {violation}")));
                }
                let none: Vec<String> = Vec::new();
                assert_eq!(violations, none);
            }
        )+
    };
}

sweeps! {
    // Guards against a member whose entry went from one old state to another one, which counted as
    // newer than the order to join.
    members_that_publish_late_are_in_one_group: cases(
        (500..3_000).step_by(300),
        || (0..3_000).step_by(500),
        members_publish_late,
    );

    // Guards against the release of the members of a group whose leader left it and was brought back
    // by late orders.
    group_of_a_leader_brought_back_by_late_orders_keeps_its_members: cases(
        (500..4_000).step_by(500),
        || [300, 1_200].into_iter(),
        late_orders_to_a_former_leader,
    );

    // Guards against a member that counted as confirmed after its report became unusable.
    member_is_confirmed_only_by_a_usable_report: cases(
        (50..1_000).step_by(50),
        || [0].into_iter(),
        shared_address_after_confirmation,
    );

    // Guards against a next owner that uses the members of a group which is just opening.
    members_are_in_one_group_after_a_planned_takeover: cases(
        [200, 600, 900].into_iter(),
        || (0..3_500).step_by(250),
        planned_takeover,
    );

    // Guards against a member whose entry went from one old state to another one, after a takeover.
    leader_is_in_one_group_after_a_takeover_with_an_old_list: cases(
        [1_800, 2_200].into_iter(),
        || [500, 4_500].into_iter(),
        |take_over_ms, restart_ms| {
            let report_ms = if restart_ms == 500 { 0 } else { 200 };
            lost_leader(1_500, report_ms, restart_ms, take_over_ms)
        },
    );
}

/// Runs `case` for each combination of two times in milliseconds.
fn cases<I: Iterator<Item = u64>>(
    first: impl Iterator<Item = u64>,
    second: impl Fn() -> I,
    case: impl Fn(u64, u64) -> World,
) -> Vec<(String, World)> {
    let mut worlds = Vec::new();
    for a in first {
        for b in second() {
            worlds.push((format!("{a} ms, {b} ms"), case(a, b)));
        }
    }
    worlds
}

/// A repair by one owner. The entries of the members of the lost group are `lag_ms` old, so they
/// show that a member left its old group while its new one serves already.
fn members_publish_late(lag_ms: u64, restart_ms: u64) -> World {
    let (mut world, members) = World::with_spares(2);
    let (_, dead) = world.others_in_domain(&members);
    for id in &members {
        world.publish_lag_ms.insert(id.clone(), lag_ms);
    }
    world.report_lag_ms = 200;
    world.engines.close_ms = 300;
    world.run_ms(lag_ms);
    world.engines.kill(&members[0]);
    world.planner.on_group_stalled(&members);
    world.run_ms(restart_ms);
    // With this one, the two spares and a member could form one more group.
    world.engines.restart(&dead[0]);
    world.run_ms(6_000);
    world
}

/// Orders of an owner to a leader are carried out after the leader left the group and the other
/// members were released: first an order to join, then one to open.
fn late_orders_to_a_former_leader(join_ms: u64, open_after_ms: u64) -> World {
    let open_ms = join_ms + open_after_ms;
    let (mut world, members) = World::with_spares(2);
    let (spares, dead) = world.others_in_domain(&members);
    let membership = world.engines.by_id[&members[0]].entry.membership.clone();
    let membership = membership.expect("the leader is in a group");
    // No group can be formed until the restart.
    for id in &spares {
        world.engines.kill(id);
    }
    world.run_ms(2_000);
    world.engines.kill(&members[2]);
    world.planner.on_group_stalled(&members);
    let (group, epoch) = (membership.group, membership.epoch);
    let model = LARGE.parse().expect("a valid name");
    let join = OrderAction::Join {
        group: group.clone(),
        epoch,
        model,
        members: members.clone(),
    };
    let open = OrderAction::Open { group, epoch };
    let (join_at, open_at) = (world.now.plus_ms(join_ms), world.now.plus_ms(open_ms));
    world.engines.defer(join_at, &members[0], &join, 1);
    world.engines.defer(open_at, &members[0], &open, 1);
    world.run_ms(open_ms + 1_000);
    world.engines.restart(&dead[0]);
    world.engines.restart(&spares[0]);
    world.run_ms(4_000);
    world
}

/// The next owner confirms a member by its report; then an entry of an ended upstream at the
/// member's address is written again and expires. The member's own entry is from before it joined.
fn shared_address_after_confirmation(shared_ms: u64, _: u64) -> World {
    let (mut world, members) = World::with_spares(6);
    let (spares, dead) = world.others_in_domain(&members);
    let ended = spares[0].clone();
    world.engines.close_ms = 4_000;
    world.engines.kill(&spares[1]);
    world.engines.kill(&spares[2]);
    world.run_ms(2_000);
    let successor = world.engines.replace_at_address(&ended);
    world.engines.engine(&ended).is_listed = false;
    world.run_ms(1_000);
    let now = world.now;
    world.engines.cut_off(&successor, now);
    world.engines.kill(&members[2]);
    world.planner.on_group_stalled(&members);
    world.run_until(5_000, |world| world.is_in_open_group(&successor));
    world.take_over();
    world.run_ms(300);
    world.engines.engine(&ended).is_listed = true;
    world.run_ms(shared_ms);
    for id in [&dead[0], &members[2], &spares[1]] {
        world.engines.restart(id);
    }
    world.run_ms(100);
    world.engines.engine(&ended).is_listed = false;
    world.run_ms(3_000);
    world
}

/// An owner stops while a group opens, and the next one takes over at once. The joined spares are
/// cut off from the store, and reports are `report_ms` old.
fn planned_takeover(report_ms: u64, after_ms: u64) -> World {
    let (mut world, members) = World::with_spares(2);
    let (spares, dead) = world.others_in_domain(&members);
    world.engines.close_ms = 300;
    world.report_lag_ms = report_ms;
    world.run_ms(1_000);
    world.engines.kill(&members[2]);
    world.planner.on_group_stalled(&members);
    for id in &spares {
        let now = world.now;
        world.engines.cut_off(id, now);
    }
    world.run_ms(after_ms);
    world.engines.restart(&dead[0]);
    world.engines.restart(&members[2]);
    world.take_over();
    world.run_ms(5_000);
    world
}

/// A group loses its leader while entries are `list_ms` and reports `report_ms` old; then the next
/// owner takes over, and engines of the domain start again.
fn lost_leader(list_ms: u64, report_ms: u64, restart_ms: u64, take_over_ms: u64) -> World {
    let (mut world, members) = World::with_spares(2);
    let (_, dead) = world.others_in_domain(&members);
    world.engines.close_ms = 300;
    world.list_lag_ms = list_ms;
    world.report_lag_ms = report_ms;
    world.run_ms(1_000);
    world.engines.kill(&members[0]);
    world.planner.on_group_stalled(&members);
    for at in (0..6_000).step_by(50) {
        if at == take_over_ms {
            world.take_over();
        }
        if at == restart_ms {
            for id in dead.iter().chain([&members[0]]) {
                world.engines.restart(id);
            }
        }
        world.run_ms(50);
    }
    world.run_ms(4_000);
    world
}

/// Guards against groups that were closed and formed again because a report was older than the entry.
#[test]
fn one_loss_needs_one_formation() {
    for report_ms in (0..1_000).step_by(100) {
        let (mut world, members) = World::with_spares(2);
        world.engines.close_ms = 300;
        world.report_lag_ms = report_ms;
        world.run_ms(1_000);
        world.decisions.clear();
        world.engines.kill(&members[2]);
        world.planner.on_group_stalled(&members);
        world.run_ms(8_000);
        let is_start = |decision: &&Decision| matches!(decision, Decision::FormationStarted { .. });
        let started = world.decisions.iter().filter(is_start).count();
        assert_eq!(started, 1, "reports are {report_ms} ms old");
        world.assert_no_violation();
    }
}

/// Guards against the needless close of an open group by the next owner: the entry of a member is
/// from before it joined.
#[test]
fn next_owner_keeps_an_open_group_with_an_old_entry() {
    let (mut world, members) = World::with_spares(2);
    world.engines.close_ms = 300;
    let (spares, _) = world.others_in_domain(&members);
    world.engines.kill(&members[2]);
    world.planner.on_group_stalled(&members);
    for id in &spares {
        world.publish_lag_ms.insert(id.clone(), 2_500);
    }
    let joined = |world: &World| spares.iter().find(|id| world.is_in_open_group(id)).cloned();
    world.run_until(5_000, |world| joined(world).is_some());
    let joined = joined(&world).expect("a spare joined");
    let group = |world: &World| {
        let membership = world.engines.by_id[&joined].entry.membership.as_ref();
        membership.map(|membership| membership.group.clone())
    };
    let before = group(&world);
    world.take_over();
    world.run_ms(4_000);
    assert_eq!(group(&world), before);
}
