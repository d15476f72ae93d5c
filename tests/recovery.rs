//! Time from the loss of a member to the service of its group, through real processes.
//!
//! ```text
//! cargo test --release --test integration -- recovery:: --ignored --nocapture --test-threads=1
//! ```

use std::time::Instant;

use crate::util::{Call, Site, SiteOptions, permitted_groups, wait_until};

/// Members that are killed, one after another.
const LOSSES: usize = 10;
/// Bound on one recovery: detection, the wait for a paused member, the load and some room.
const RECOVERY_BOUND_MS: u64 = 20_000;

/// One group of three VMs with two standbys, and three more VMs.
fn one_group() -> SiteOptions {
    SiteOptions {
        nodes: 3,
        domains: 1,
        vms_per_domain: 8,
        groups: 1,
        standbys: 2,
        ..SiteOptions::small()
    }
}

/// Kills a member and returns the time until every node may use the group without it.
fn lose_member(site: &mut Site) -> u64 {
    let members = permitted_groups(site.nodes[0].operators).remove(0);
    let victim = members.first().expect("a group has members").clone();
    let upstream = site.engines.remove(&victim).expect("an engine");
    let killed_at = Instant::now();
    drop(upstream.process);
    wait_until("the group serves again", RECOVERY_BOUND_MS, || {
        site.nodes.iter().all(|node| {
            let groups = permitted_groups(node.operators);
            groups.len() == 1 && !groups[0].contains(&victim)
        })
    });
    let took_ms = killed_at.elapsed().as_millis() as u64;
    let call = Call::new("after the loss");
    let answer = call.send(site.nodes[0].callers).expect("the node answers");
    assert_eq!(answer.text, call.expected());
    site.start_engine(&victim, "rack-1");
    took_ms
}

#[test]
#[ignore = "a measurement; see the module's text"]
fn time_to_serve_again() {
    let mut site = Site::start(one_group());
    let mut times_ms: Vec<u64> = (0..LOSSES).map(|_| lose_member(&mut site)).collect();
    times_ms.sort_unstable();
    let median_ms = times_ms[LOSSES / 2];
    println!(
        "{LOSSES} losses: median {median_ms} ms, worst {} ms",
        times_ms[LOSSES - 1]
    );
    println!("all, sorted: {times_ms:?}");
}
