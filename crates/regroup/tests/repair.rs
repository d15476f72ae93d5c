//! Repair of groups after losses, and what must not happen on the way.

use jacinthpoint_types::VmId;

use crate::world::{LARGE, SMALL, World};

/// Longest time from the loss of a member to service, with a spare whose weights are staged: a
/// second for the evidence, the join from the host, the opening, and a step for each.
const REPAIR_MS: u64 = 1_000 + 1_600 + 300 + 200;

macro_rules! repair {
    ($($name:ident: |$world:ident, $members:ident| $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let (mut $world, $members) = World::with_spares(6);
                assert_eq!(($world.count(LARGE), $world.count(SMALL)), (7, 8));
                $body
                $world.assert_no_violation();
            }
        )+
    };
}

/// The group fell silent, as gateways tell.
fn tell_silence(world: &mut World, members: &[VmId]) {
    world.planner.on_group_stalled(members);
}

/// Gives the addresses of a group that ends to the members of one that serves on.
fn use_addresses_again(world: &mut World, members: &[VmId], started_unix_ms: u64) {
    let dead = world.members_of_another(LARGE, members);
    assert!(dead[1] > members[1], "the dead come later in the list");
    for (dead, successor) in dead.iter().zip(members) {
        world.engines.machine(successor).entry.started_unix_ms = started_unix_ms;
        world.engines.kill(dead);
        world.engines.machine(dead).is_listed = false;
    }
    world.run_ms(50);
    let pairs = dead.iter().cloned().zip(members.iter().cloned());
    world.successors.extend(pairs);
    world.take_over();
    world.run_ms(10_000);
    assert!(world.is_open(members));
}

repair! {
    lost_member_is_replaced_by_a_spare: |world, members| {
        world.engines.kill(&members[2]);
        assert_eq!(world.count(LARGE), 6);
        tell_silence(&mut world, &members);
        world.run_until(REPAIR_MS, |world| world.count(LARGE) == 7);
    }

    lost_head_is_replaced: |world, members| {
        world.engines.kill(&members[0]);
        tell_silence(&mut world, &members);
        world.run_until(REPAIR_MS, |world| world.count(LARGE) == 7);
    }

    // Nobody sends to the group, so only probes can tell.
    loss_in_a_group_without_requests_is_found: |world, members| {
        world.engines.kill(&members[1]);
        world.run_until(REPAIR_MS + 1_000, |world| world.count(LARGE) == 7);
    }

    // Its entry is removed while it still serves: hunt-9141-27.
    head_leaves_the_list_and_serves_on: |world, members| {
        world.engines.machine(&members[0]).is_listed = false;
        world.run_ms(6_000);
        assert_eq!(world.count(LARGE), 7);
    }

    // Cut off from the store only: the list dropped it, and a fifth of all groups were closed.
    member_that_is_cut_off_from_the_store_keeps_its_group: |world, members| {
        world.engines.machine(&members[2]).is_listed = false;
        world.run_ms(8_000);
        assert!(world.is_open(&members));
        world.engines.machine(&members[2]).is_listed = true;
        world.run_ms(4_000);
        assert!(world.is_open(&members));
        assert_eq!(world.count(LARGE), 7);
    }

    member_that_is_cut_off_keeps_its_group_under_the_next_owner: |world, members| {
        world.engines.machine(&members[2]).is_listed = false;
        world.run_ms(1_000);
        world.take_over();
        world.run_ms(6_000);
        assert!(world.is_open(&members));
    }

    // Some leave the list without having said that they leave; only they themselves can tell.
    member_that_leaves_unannounced_is_replaced: |world, members| {
        let machine = world.engines.machine(&members[2]);
        machine.is_listed = false;
        machine.entry.state = jacinthpoint_fleet::UpstreamState::Draining;
        world.run_until(REPAIR_MS, |world| world.count(LARGE) == 7);
        assert!(!world.is_open(&members));
    }

    member_that_dies_unlisted_is_replaced: |world, members| {
        world.engines.machine(&members[2]).is_listed = false;
        world.run_ms(2_000);
        world.engines.kill(&members[2]);
        tell_silence(&mut world, &members);
        world.run_until(REPAIR_MS, |world| world.count(LARGE) == 7);
    }

    // Another engine with a group of its own listens at the address of a member that ended: the
    // planner took its report for the member's and gave its place to the dead one (quiet-1, TWO).
    // Engines that say when they were born, engines that do not, and engines that are listed.
    addresses_of_dead_members_are_used_again: |world, members| {
        use_addresses_again(&mut world, &members, 2);
    }

    addresses_are_used_again_by_engines_without_birth: |world, members| {
        use_addresses_again(&mut world, &members, 0);
    }

    // The next owner has never seen the head.
    head_leaves_the_list_before_a_takeover: |world, members| {
        world.engines.machine(&members[0]).is_listed = false;
        world.take_over();
        world.run_ms(8_000);
        assert_eq!(world.count(LARGE), 7);
    }

    // Groups that were closed for a dead member were opened again: fresh-ae55.
    closed_group_is_not_opened_again: |world, members| {
        world.engines.kill(&members[3]);
        tell_silence(&mut world, &members);
        world.run_ms(10_000);
        assert_eq!(world.count(LARGE), 7);
    }

    member_lost_while_the_head_opens: |world, members| {
        world.engines.kill(&members[3]);
        tell_silence(&mut world, &members);
        // The new group is about to open.
        world.run_ms(1_900);
        let next = members[0].clone();
        world.engines.kill(&next);
        world.run_ms(12_000);
    }

    draining_member_is_replaced: |world, members| {
        let machine = world.engines.machine(&members[1]);
        machine.entry.state = jacinthpoint_fleet::UpstreamState::Draining;
        world.run_until(REPAIR_MS, |world| world.count(LARGE) == 7);
    }

    dark_domain_that_returns_serves_again: |world, members| {
        let domain = world.engines.machines[&members[0]].entry.domain.clone();
        let is_there = |machine: &&crate::engines::Machine| {
            machine.entry.domain == domain && machine.is_alive
        };
        let machines = world.engines.machines.values().filter(is_there);
        let ids: Vec<VmId> = machines.map(|machine| machine.entry.id.clone()).collect();
        let before = world.groups();
        for id in &ids {
            world.engines.kill(id);
            world.engines.machine(id).is_listed = false;
        }
        world.run_ms(6_000);
        for id in &ids {
            world.engines.restart(id);
        }
        world.run_until(6_000, |world| world.groups() == before);
    }

    takeover_keeps_serving_groups: |world, members| {
        assert_eq!(members.len(), 4);
        let before = world.groups();
        world.take_over();
        world.run_ms(5_000);
        assert_eq!(world.groups(), before);
    }
}
