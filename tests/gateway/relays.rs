//! Gateways that start while others, which read the store for them, have an older configuration.

use std::time::{Duration, Instant};

use jacinthpoint_platform_standins::RequestLimits;

use crate::gateway::{
    CONFIG_APPLY_MS,
    caller::Request,
    pause_ms,
    site::{KEY, OTHER_KEY, ROUTE_TIMEOUT_MS, Site},
};

const GATEWAYS: usize = 4;
/// Time within which a gateway is ready again.
const READY_MS: u64 = 10_000;

/// Writes a configuration with another key for each gateway in turn, and starts the gateway again while the others
/// are stopped for `pause`. Checks that the configuration is in force there in time, and stays.
fn check_started_gateways(pause: u64) {
    let mut site = Site::start(GATEWAYS);
    let bound = Duration::from_millis(CONFIG_APPLY_MS);
    let keys = [KEY, OTHER_KEY];
    for index in 0..GATEWAYS {
        let (old, new) = (keys[index % 2], keys[(index + 1) % 2]);
        let others = || (0..GATEWAYS).filter(|other| *other != index);
        others().for_each(|other| site.signal(other, "STOP"));
        site.put_config_with(&[new], ROUTE_TIMEOUT_MS, RequestLimits::default());
        let written = Instant::now();
        site.restart(index);
        pause_ms(pause);
        others().for_each(|other| site.signal(other, "CONT"));
        site.wait_until("the gateway is ready", READY_MS, |site| {
            site.is_ready(index)
        });
        let ready_at = written.elapsed();
        let send = |key| {
            let request = Request {
                key,
                path: "/again/",
                ..Request::stream("key")
            };
            request.send(site.gateway(index)).status
        };
        while send(new) != 200 {
            let elapsed = written.elapsed();
            assert!(
                elapsed < bound,
                "gateway {index}, ready after {ready_at:?}, is late: {elapsed:?}"
            );
            pause_ms(20);
        }
        assert_eq!(send(old), 401, "gateway {index} has an older configuration");
    }
}

/// Defines tests: name, time for which the other gateways are stopped, in milliseconds.
macro_rules! started_gateways {
    ($($name:ident: $pause_ms:expr,)+) => {
        $(
            #[test]
            fn $name() {
                check_started_gateways($pause_ms);
            }
        )+
    };
}

// Guards against callers that are refused for a right key or route, because a gateway that has just started reads
// an older configuration from a relay than the store has.
started_gateways! {
    started_gateway_has_the_newest_config: 0,
    started_gateway_has_the_newest_config_after_a_pause_of_its_relay: 900,
    started_gateway_has_the_newest_config_after_a_long_pause_of_its_relay: 1_600,
}
