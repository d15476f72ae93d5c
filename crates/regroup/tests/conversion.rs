//! Tests of groups that are given up for groups of another model, each named after the load that it
//! answers.
//!
//! The fleet has nine fabric domains of eighteen upstreams, a large model in groups of eight and a
//! small one in groups of two, which get half of the upstreams each.

use jacinthpoint_fleet::groups_of;
use jacinthpoint_regroup::Decision;
use jacinthpoint_types::VmId;

use crate::{
    engines::LOAD_MS,
    world::{LARGE, SMALL, World},
};

/// Time in which the groups of a conversion are closed and the new one opens, once hosts hold the
/// weights.
const CONVERT_MS: u64 = 15_000;

/// Returns a serving fleet with ten groups of the large model and forty-one of the small one.
fn serving() -> World {
    let mut world = World::with_domains_of(&[18; 9]);
    world.set_models(&[(LARGE, 8, 0.5), (SMALL, 2, 0.5)]);
    (world.spec.loads_at_once, world.spec.loads_per_s) = (20, 14.0);
    world.run_ms(45_000);
    world.has_traffic = true;
    world.engines.close_ms = 1_500;
    assert_eq!(counts(&world), (10, 41));
    world
}

/// Returns the numbers of serving groups of the large and the small model.
fn counts(world: &World) -> (usize, usize) {
    (
        world.serving_group_count(LARGE),
        world.serving_group_count(SMALL),
    )
}

fn set_demand(world: &mut World, large: f64, small: f64) {
    let name = |model: &str| model.parse().expect("a valid name");
    world.demand.insert(name(LARGE), large);
    world.demand.insert(name(SMALL), small);
}

/// Ends `count` members of open groups of the large model for good, each in another group, and starts
/// as many new upstreams without weights in their domains.
fn replace_members(world: &mut World, count: usize, round: usize) {
    let mut lost: Vec<VmId> = Vec::new();
    for index in 0..count {
        if world.serving_group_count(LARGE) <= index {
            return;
        }
        let members = world.members_of_other_group(LARGE, &lost);
        let domain = world.engines.by_id[&members[3]].entry.domain.clone();
        world.engines.kill(&members[3]);
        world.engines.engine(&members[3]).is_listed = false;
        world.planner.on_group_stalled(&members);
        lost.extend(members);
        let domain = domain.expect("each upstream has a domain").to_string();
        world
            .engines
            .add(&format!("new-{round:02}-{index}"), &domain, None);
    }
}

/// Returns the number of conversions that began.
fn conversion_count(world: &World) -> usize {
    let is_start = |decision: &&Decision| matches!(decision, Decision::ConversionStarted { .. });
    world.decisions.iter().filter(is_start).count()
}

/// Callers keep six groups of the large model and fifteen of the small one busy. The large model
/// would die off: what a group leaves is one upstream short of the next one for the time of a load.
#[test]
fn members_lost_every_three_seconds_cost_the_model_with_room() {
    let mut world = serving();
    set_demand(&mut world, 6.0, 15.0);
    world.run_ms(4_000);
    for round in 0..20 {
        replace_members(&mut world, 2, round);
        world.run_ms(3_000);
    }
    world.run_ms(LOAD_MS + CONVERT_MS);
    let (large, small) = counts(&world);
    assert!(large >= 9, "{large} groups of the large model serve");
    assert!(small >= 23, "{small} groups of the small model serve");
    world.assert_no_violation();
}

/// Callers ask for good what eleven groups of the large model answer in time, and little of the small
/// one. No upstream is free: several small groups of a domain are given up together.
#[test]
fn demand_that_moves_to_the_large_model_for_good_gets_small_groups() {
    let mut world = serving();
    set_demand(&mut world, 8.0, 10.0);
    world.run_until(3 * LOAD_MS + 2 * CONVERT_MS, |world| {
        world.serving_group_count(LARGE) >= 12
    });
    world.run_ms(60_000);
    let (large, small) = counts(&world);
    assert!(
        large <= 13 && small >= 23,
        "{large} and {small} groups serve"
    );
    world.assert_no_violation();
}

/// The demand of both models swings by half every six seconds, around what their groups answer in
/// time. Following it would close groups that are needed again before their members have loaded.
#[test]
fn demand_that_swings_every_six_seconds_moves_no_groups() {
    let mut world = serving();
    for half in 0..20 {
        match half % 2 {
            0 => set_demand(&mut world, 7.2, 18.0),
            _ => set_demand(&mut world, 4.8, 26.0),
        }
        world.run_ms(3_000);
    }
    assert_eq!(conversion_count(&world), 0);
    assert_eq!(counts(&world), (10, 41));
}

/// The owner is lost between the close of small groups and the formation of the large one: at each
/// half second of it.
#[test]
fn next_owner_strands_no_upstream_and_closes_no_more() {
    for after_ms in (0..4_000).step_by(500) {
        let mut world = serving();
        set_demand(&mut world, 7.0, 15.0);
        world.run_until(LOAD_MS + CONVERT_MS, |world| conversion_count(world) > 0);
        world.run_ms(after_ms);
        world.take_over();
        // The next owner measures the demand for some seconds first.
        let demand = std::mem::take(&mut world.demand);
        world.run_ms(4_000);
        world.demand = demand;
        // All upstreams serve again, and the large model has what callers ask of it.
        world.run_until(CONVERT_MS + LOAD_MS, |world| counts(world) == (11, 37));
        world.run_ms(20_000);
        assert_eq!(counts(&world), (11, 37), "after {after_ms} ms");
        world.assert_no_violation();
    }
}

/// A group of eight loses a member while callers miss it, and a pair of its domain runs no request.
/// The pair is given up, not one that is busy.
#[test]
fn groups_with_the_fewest_requests_are_given_up_first() {
    let mut world = serving();
    let listed = world.engines.listed();
    for group in groups_of(listed.values()).values() {
        let leader = group.leader().expect("the leader is listed");
        let is_idle = leader.as_str().ends_with("17") || leader.as_str().ends_with("16");
        world
            .running
            .insert(leader.clone(), if is_idle { 0 } else { 9 });
    }
    set_demand(&mut world, 7.0, 15.0);
    world.run_until(LOAD_MS + CONVERT_MS, |world| conversion_count(world) > 0);
    let running = world.decisions.iter().find_map(|decision| match decision {
        Decision::ConversionStarted {
            running, groups, ..
        } => Some((*running, groups.len())),
        _ => None,
    });
    let (running, groups) = running.expect("a conversion began");
    assert!(
        running <= 9 * (groups as u32 - 1),
        "{groups} groups run {running} requests"
    );
    world.run_until(CONVERT_MS, |world| world.serving_group_count(LARGE) > 10);
    world.assert_no_violation();
}

/// A member of a group that is being given up is lost. What is left forms groups again.
#[test]
fn loss_of_a_member_that_is_being_converted_strands_nobody() {
    let mut world = serving();
    set_demand(&mut world, 7.0, 15.0);
    world.run_until(LOAD_MS + CONVERT_MS, |world| conversion_count(world) > 0);
    let closed = world.decisions.iter().find_map(|decision| match decision {
        Decision::ConversionStarted { groups, .. } => groups.first().cloned(),
        _ => None,
    });
    let closed = closed.expect("a group is closed");
    let member = world.engines.by_id.values().find(|engine| {
        let membership = engine.entry.membership.as_ref();
        membership.is_some_and(|m| m.group == closed && m.rank == 1)
    });
    let member = member
        .expect("the group has a second member")
        .entry
        .id
        .clone();
    world.engines.kill(&member);
    world.planner.on_group_stalled([&member]);
    set_demand(&mut world, 5.0, 15.0);
    world.run_ms(30_000);
    let (large, small) = counts(&world);
    assert!(
        large * 8 + small * 2 >= 158,
        "{large} and {small} groups serve"
    );
    world.assert_no_violation();
}

/// Steady demand for the large model, while the requests of each group change all the time. The groups that
/// are given up are chosen once: weights are not loaded on one host after another.
#[test]
fn running_requests_that_change_move_no_loads() {
    let mut world = serving();
    let holders = |world: &World| {
        let engines = world.engines.by_id.values();
        let holds = |id: &&str| *id == LARGE;
        let staged = engines.filter(|engine| {
            let mut staged = engine.entry.staged.iter();
            staged.any(|model| holds(&model.as_str()))
        });
        staged.count()
    };
    let before = holders(&world);
    set_demand(&mut world, 8.0, 10.0);
    let ids: Vec<VmId> = world.engines.by_id.keys().cloned().collect();
    for step in 0..(LOAD_MS / 500) {
        for (index, id) in ids.iter().enumerate() {
            let running = (index as u64 * 7 + step * 13) % 19;
            world.running.insert(id.clone(), running as u32);
        }
        world.run_ms(500);
    }
    let loaded = holders(&world) - before;
    // Four domains load at a time, each for one group.
    assert!(loaded <= 4 * 8, "{loaded} hosts loaded the weights");
}

/// The data centre of the groups that are being given up is evacuated. The conversion ends, and another one
/// may begin.
#[test]
fn evacuation_ends_the_conversion_there() {
    let mut world = serving();
    set_demand(&mut world, 8.0, 10.0);
    world.run_until(LOAD_MS + CONVERT_MS, |world| conversion_count(world) > 0);
    let domain = world.decisions.iter().find_map(|decision| match decision {
        Decision::ConversionStarted { domain, .. } => Some(domain.clone()),
        _ => None,
    });
    let domain = domain.expect("a conversion began").to_string();
    let data_centre = domain.replace("domain", "dc");
    let data_centre = data_centre.parse().expect("a valid name");
    world.evacuations.begin(data_centre);
    world.run_ms(200);
    let is_end = |decision: &Decision| matches!(decision, Decision::ConversionEnded { .. });
    assert!(world.decisions.iter().any(is_end));
}
