//! Random faults of all kinds, one after another, while callers go on; reconciled at the end.
//!
//! The short soak runs with the other tests. The long one is at today's size and runs by command:
//!
//! ```text
//! JACINTHPOINT_SOAK_MINUTES=5 JACINTHPOINT_SOAK_SEED=7 \
//!     cargo test --release --test integration -- soak::long --ignored --nocapture
//! ```

use std::time::{Duration, Instant};

use crate::util::{
    Faults, SiteOptions, Traffic, check_plans, every_node_answers, let_pass, reconcile,
    wait_for_answers,
};

/// Seed of the short soak.
const SHORT_SEED: u64 = 1;
/// Faults of the short soak: each kind once.
const SHORT_FAULTS: usize = 17;
/// Callers of the long soak.
const LONG_CALLERS: usize = 48;
/// Fabric domains of the long soak, with ten VMs each.
const LONG_DOMAINS: usize = 5;
/// Groups of the long soak, of four VMs each; two in a domain, which leaves two standbys there.
const LONG_GROUPS: u16 = 10;
/// Time for engines to finish what they run.
const SETTLE_MS: u64 = 1_000;

fn soak(options: SiteOptions, seed: u64, callers: usize, goes_on: impl Fn(usize) -> bool) {
    let mut site = crate::util::Site::start(options);
    let traffic = Traffic::start(&site.callers(), callers, Some("enquiries"));
    wait_for_answers(&traffic, 10);
    let mut faults = Faults::new(seed);
    let mut count = 0;
    while goes_on(count) {
        faults.provoke(&mut site);
        count += 1;
    }
    every_node_answers(&site);
    wait_for_answers(&traffic, 10);
    let sent = traffic.finish();
    let_pass(SETTLE_MS);
    let tally = reconcile(&site, &sent);
    check_plans(&site);
    println!("soak: seed {seed}, {count} faults, {tally:?}");
    assert_eq!(tally.untold, 0, "a caller was told nothing: {tally:?}");
    site.wait_for_groups(usize::from(site.options.groups));
}

#[test]
fn short() {
    let options = SiteOptions {
        proxy_seed: Some(SHORT_SEED),
        ..SiteOptions::proxied()
    };
    soak(options, SHORT_SEED, 8, |count| count < SHORT_FAULTS);
}

#[test]
#[ignore = "runs for minutes at today's size; see the module's text"]
fn long() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let minutes = number("JACINTHPOINT_SOAK_MINUTES").unwrap_or(5);
    let seed = number("JACINTHPOINT_SOAK_SEED").unwrap_or(SHORT_SEED);
    let options = SiteOptions {
        nodes: 6,
        domains: LONG_DOMAINS,
        vms_per_domain: 10,
        groups: LONG_GROUPS,
        group_size: 4,
        proxy_seed: Some(seed),
        ..SiteOptions::proxied()
    };
    let end = Instant::now() + Duration::from_secs(60 * minutes);
    soak(options, seed, LONG_CALLERS, |_| Instant::now() < end);
}
