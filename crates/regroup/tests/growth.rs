//! Work of a planning step, which the owner does between two events of its streams.

use std::time::Duration;

use crate::world::World;

/// Number of engines of a domain, and of domains of a small and of a large fleet.
const DOMAIN: usize = 27;
const SMALL: usize = 11;
const LARGE: usize = 110;
/// Largest growth of the time between both that counts as linear. Trees take a little more; with the square it
/// is `(LARGE / SMALL)²`, 100.
const MAX_GROWTH: u32 = 4 * (LARGE / SMALL) as u32;
/// Number of runs, of which the shortest counts: others may have been interrupted.
const RUNS: usize = 3;

/// Returns the time of the longest step in which a new planner forms the groups of a whole fleet.
fn longest_plan(domains: usize) -> Duration {
    let run = |_| {
        let mut world = World::with_domains_of(&vec![DOMAIN; domains]);
        world.set_models(&[("large", 12, 0.5), ("small", 6, 0.5)]);
        world.run_ms(2_500);
        let formed = world.decisions.len();
        assert!(formed >= 2 * domains, "{formed} groups were begun");
        world.longest_plan
    };
    (0..RUNS).map(run).min().expect("there is a run")
}

/// Guards against an owner that does nothing else for seconds while it forms the groups of a large fleet: the
/// work for each group grew with all domains and all upstreams.
#[test]
fn longest_step_grows_with_the_number_of_upstreams() {
    let (small, large) = (longest_plan(SMALL), longest_plan(LARGE));
    assert!(
        large < small * MAX_GROWTH,
        "{SMALL} domains take {small:?}, {LARGE} take {large:?}"
    );
}
