//! Large configurations that change often.

use jacinthpoint_platform_standins::RequestLimits;

use crate::gateway::{
    pause_ms,
    site::{KEY, ROUTE_TIMEOUT_MS, Site},
};

/// Number of routes that a large configuration has beside those of the tests.
const IDLE_ROUTES: usize = 1_640;
/// Number of configurations, of about 4 MB each in memory.
const CONFIGURATIONS: u64 = 60;
/// Time between two configurations.
const CONFIGURATION_MS: u64 = 160;
/// Memory of a small VM, in kilobytes.
const MAX_MEMORY_KB: u64 = 160 * 1_024;

/// Guards against a gateway that is killed for its memory, with all its streams: it kept each configuration that
/// it had read, for gateways that read from it and lag behind.
#[test]
fn replaced_configurations_are_not_kept() {
    let site = Site::start(1);
    for number in 1..=CONFIGURATIONS {
        let limits = RequestLimits::default();
        let timeout_ms = ROUTE_TIMEOUT_MS + number;
        site.put_config_with_routes(&[KEY], timeout_ms, limits, IDLE_ROUTES);
        pause_ms(CONFIGURATION_MS);
    }
    let peak_kb = site.peak_memory_kb(0);
    assert!(peak_kb < MAX_MEMORY_KB, "{peak_kb} kB were used");
}
