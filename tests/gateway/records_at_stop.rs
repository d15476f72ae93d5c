//! Records that a gateway has to write when it stops.

use jacinthpoint_platform_standins::StoreFault;

use crate::gateway::{caller::Request, pause_ms, site::Site};

/// Part of a prompt that crashes engines.
const CRASHING_PART: &str = "dead";
/// Time after SIGTERM at which the store works again: after the announcement, within the grace time.
const STORE_OUTAGE_MS: u64 = 4_500;
/// Time for the gateway to end: its grace time and some more.
const END_LIMIT_MS: u64 = 10_000;

/// Guards against crashes that nobody knows of after a stop: the store was unavailable when the gateway
/// suspected a part of a prompt, and worked again within the grace time.
#[test]
fn suspicion_is_recorded_before_a_stopped_gateway_ends() {
    let mut site = Site::start(1);
    site.platform.engines.set_crashing_part(Some(CRASHING_PART));
    site.platform.store.set_fault(StoreFault::Busy);
    let crashing = Request {
        prompt: format!("c0:40,{CRASHING_PART}:165,100001:300"),
        ..Request::stream("crashing")
    };
    site.signal(0, "TERM");
    crashing.send(site.gateway(0));
    pause_ms(STORE_OUTAGE_MS);
    site.platform.store.set_fault(StoreFault::None);
    assert!(site.wait_for_end(0, END_LIMIT_MS));
    let record = site
        .platform
        .store
        .get_content("prompt-suspicions", CRASHING_PART);
    assert!(record.is_some(), "the crash is recorded");
}
