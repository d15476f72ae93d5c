//! Crowds of callers that do not keep to the protocol or to the limits, against real gateway processes.
//!
//! Checked is what does not depend on the speed of the machine: the process lives, its memory and descriptors
//! stay within the limits of its VM, and an ordinary request and a readiness check are answered while the crowd
//! holds its connections. The limits are those of a very small VM, so that a small crowd would exceed them.

#[allow(
    dead_code,
    unused_imports,
    reason = "shared with the integration tests"
)]
mod util;

#[allow(dead_code, reason = "shared with the integration tests")]
#[path = "gateway"]
mod gateway {
    pub mod caller;
    pub mod site;
    pub mod store_view;
}

/// Defines a test for each kind of crowd at a listener and path: module, listener, path, kinds.
macro_rules! crowds {
    ($($place:ident($listener:expr, $path:literal): $($name:ident = $kind:ident),+;)+) => {
        $(mod $place {
            use super::*;
            $(
                #[test]
                fn $name() {
                    let label = concat!(stringify!($place), "::", stringify!($name));
                    check(label, $listener, $path, Kind::$kind);
                }
            )+
        })+
    };
}

#[path = "callers_beyond_control/crowd.rs"]
mod crowd;
#[path = "callers_beyond_control/node.rs"]
mod node;

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::{PlainRequest, PlainService, Reply, RequestLimits};
use serde_json::json;

use crate::{
    crowd::{Crowd, Kind},
    gateway::{
        caller::{End, Request},
        site::{KEY, Site},
    },
    util::get_status,
};

/// Memory of the gateway's VM.
const MEMORY_MB: u64 = 32;
/// Descriptors of the gateway's VM: 75 for callers' connections, and 32 for those that are refused.
const DESCRIPTORS: usize = 400;
/// Maximum length of a body, in the configuration.
const MAX_BODY_BYTES: usize = 1_024 * 1_024;
/// Timeout of the routes: longer than a test, so that no request of a crowd ends by itself.
const TIMEOUT_MS: u64 = 60_000;
/// Time in which gateways learn of a configuration.
const CONFIG_APPLY_MS: u64 = 1_000;
/// Time for which an ordinary caller sends a refused request again.
const CALLER_PATIENCE: Duration = Duration::from_secs(8);
/// Number of short events of an answer that nobody reads, 1 MB in all.
const UNREAD_EVENTS: usize = 250;

/// Returns the lock that lets one test run at a time, however many threads the tests have.
fn run_alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers streams with 1 MB of events and no end.
fn long_stream(request: &PlainRequest) -> Reply {
    let event = format!("data: {}\n\n", "x".repeat(4_000));
    Reply::sends(format!(
        "HTTP/1.1 200 OK\r\njacinthpoint-attempt-id: {}\r\njacinthpoint-server-seal: s\r\n\
         content-type: text/event-stream\r\n\r\n{}",
        request.attempt_id,
        event.repeat(UNREAD_EVENTS)
    ))
}

/// Starts a gateway on a VM of this memory, with this limit on bodies.
fn small_site(memory_mb: u64, descriptors: usize, max_body_bytes: usize) -> Site {
    let settings = format!("[limits]\ndescriptors = {descriptors}\nmemory_mb = {memory_mb}\n");
    let site = Site::start_with_settings(1, &settings);
    let limits = RequestLimits {
        max_body_bytes,
        ..RequestLimits::default()
    };
    site.put_config_with(&[KEY], TIMEOUT_MS, limits);
    thread::sleep(Duration::from_millis(CONFIG_APPLY_MS));
    site
}

/// Lets the plain service take a request on each connection.
fn widen_plain_service(site: &Site) {
    site.platform.plain.register_all();
    let store = &site.platform.store;
    for id in PlainService::IDS {
        let entry = store.get_content(paths::UPSTREAM_KIND, id);
        let mut entry = entry.expect("it is registered");
        entry["slots"] = json!(DESCRIPTORS);
        store.put(paths::UPSTREAM_KIND, id, entry);
    }
    let config = store.get_content(paths::CONFIG_KIND, paths::CONFIG_NAME);
    let mut config = config.expect("there is one");
    config["version"] = json!(config["version"].as_u64().expect("it is a number") + 1);
    for service in config["services"].as_array_mut().expect("it is a list") {
        service["max_conns"] = json!(DESCRIPTORS);
    }
    store.put(paths::CONFIG_KIND, paths::CONFIG_NAME, config);
    thread::sleep(Duration::from_millis(CONFIG_APPLY_MS));
}

/// Attempts until one succeeds; returns whether one does while an ordinary caller is patient.
fn until_patience_ends(attempt: impl Fn(usize) -> bool) -> bool {
    const RETRY_PAUSE: Duration = Duration::from_millis(200);
    let until = Instant::now() + CALLER_PATIENCE;
    for number in 0.. {
        if attempt(number) {
            return true;
        }
        if Instant::now() >= until {
            break;
        }
        thread::sleep(RETRY_PAUSE);
    }
    false
}

/// Returns whether a caller that sends a refused request again gets its answer.
fn is_served(address: SocketAddr) -> bool {
    until_patience_ends(|attempt| {
        let answer = Request::stream(&format!("ordinary-{attempt}")).send(address);
        (answer.status, answer.end) == (200, End::Whole)
    })
}

/// Returns whether the readiness check of a load balancer, which repeats it, is answered with success.
fn is_ready(address: SocketAddr) -> bool {
    until_patience_ends(|_| get_status(address, "/ready") == Some(200))
}

/// Checks the process beside a crowd that still holds its connections.
fn check_beside(site: &Site, label: &str) {
    let served = is_served(site.gateway(0));
    let ready = is_ready(site.readiness_address(0));
    let descriptors = site.open_descriptors(0);
    let memory_kb = site.peak_memory_kb(0);
    println!(
        "{label}: peak {memory_kb} kB, {descriptors} descriptors, served {served}, ready {ready}"
    );
    assert!(memory_kb <= MEMORY_MB * 1_024, "{memory_kb} kB");
    assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
    assert!(served, "an ordinary request is not answered");
    assert!(ready, "a readiness check is not answered");
}

/// Checks a gateway beside a crowd at one of its listeners, and after it.
fn check(label: &str, listener: fn(&Site) -> SocketAddr, path: &'static str, kind: Kind) {
    let _alone = run_alone();
    let site = small_site(MEMORY_MB, DESCRIPTORS, MAX_BODY_BYTES);
    if kind == Kind::UnreadStreams {
        widen_plain_service(&site);
        site.platform.plain.set_script(long_stream);
    }
    let crowd = Crowd::start(kind, listener(&site), path);
    check_beside(&site, label);
    crowd.end();
    check_beside(&site, label);
}

crowds! {
    route(|site| site.gateway(0), "/once/"):
        bodies_short_of_their_end = BodyShortOfEnd,
        bodies_in_small_pieces = BodyInPieces,
        bodies_in_chunks = Chunks,
        bodies_in_chunks_of_a_byte = ByteChunks,
        bodies_with_long_chunk_extensions = ChunkExtensions,
        bodies_with_endless_trailers = Trailers,
        bodies_far_over_the_limit = LongBody,
        chunked_bodies_far_over_the_limit = LongChunkedBody,
        many_short_fields = ShortFields,
        endless_short_fields = EndlessFields,
        endless_heads = EndlessHead,
        requests_sent_ahead = SentAhead,
        slow_bodies = SlowBody,
        slow_heads = SlowHead,
        half_heads = HalfHead,
        silent_connections = Silent;
    stream(|site| site.gateway(0), "/events/"):
        unread_streams = UnreadStreams,
        bodies_short_of_their_end = BodyShortOfEnd,
        many_short_fields = ShortFields;
    no_route(|site| site.gateway(0), "/none/"):
        bodies_short_of_their_end = BodyShortOfEnd,
        bodies_in_chunks = Chunks,
        bodies_far_over_the_limit = LongBody,
        chunked_bodies_far_over_the_limit = LongChunkedBody,
        many_short_fields = ShortFields,
        requests_sent_ahead = SentAhead,
        slow_bodies = SlowBody;
    readiness(|site| site.readiness_address(0), "/ready"):
        bodies_short_of_their_end = BodyShortOfEnd,
        bodies_in_chunks = Chunks,
        chunked_bodies_far_over_the_limit = LongChunkedBody,
        many_short_fields = ShortFields,
        endless_short_fields = EndlessFields,
        endless_heads = EndlessHead,
        requests_sent_ahead = SentAhead,
        slow_heads = SlowHead,
        half_heads = HalfHead,
        silent_connections = Silent;
    metrics(|site| site.metrics_address(0), "/metrics"):
        bodies_short_of_their_end = BodyShortOfEnd,
        chunked_bodies_far_over_the_limit = LongChunkedBody,
        endless_short_fields = EndlessFields,
        endless_heads = EndlessHead,
        requests_sent_ahead = SentAhead,
        half_heads = HalfHead,
        silent_connections = Silent;
    peers(|site| site.peers_address(0), "/objects/servers"):
        bodies_short_of_their_end = BodyShortOfEnd,
        chunked_bodies_far_over_the_limit = LongChunkedBody,
        endless_short_fields = EndlessFields,
        endless_heads = EndlessHead,
        requests_sent_ahead = SentAhead,
        half_heads = HalfHead,
        silent_connections = Silent;
    forwarded(|site| site.peers_address(0), "/once/"):
        bodies_short_of_their_end = ForwardedBody;
}

/// Datagrams that cannot be read, and empty reports, from many addresses.
#[test]
fn datagrams_of_strangers() {
    let _alone = run_alone();
    let site = small_site(MEMORY_MB, DESCRIPTORS, MAX_BODY_BYTES);
    let noise = [0xff; 1_400];
    for _ in 0..200 {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
        // The second byte is the kind of the message: load reports without entries are among them.
        for kind in 0..=5 {
            for bytes in [
                &[3, kind, 0, 0][..],
                &[3, kind, 0xff, 0xff, 0xff, 0x7f],
                &noise,
            ] {
                let sent = socket.send_to(bytes, site.peers_address(0));
                sent.expect("loopback takes it");
            }
        }
    }
    check_beside(&site, "datagrams");
}

/// Defines tests of a single request of the largest allowed length, on the smallest VM of our users: name, framing.
macro_rules! largest_requests {
    ($($name:ident: $chunk_bytes:expr,)+) => {
        $(
            #[test]
            fn $name() {
                const MAX_BYTES: usize = 4 * 1_024 * 1_024;
                let _alone = run_alone();
                let site = small_site(112, 2_870, MAX_BYTES);
                for _ in 0..3 {
                    let answer = crowd::send_whole(site.gateway(0), MAX_BYTES, $chunk_bytes);
                    assert_eq!((answer.status, answer.end), (200, End::Whole));
                }
                let memory_kb = site.peak_memory_kb(0);
                assert!(memory_kb <= 112 * 1_024, "{memory_kb} kB");
            }
        )+
    };
}

largest_requests! {
    largest_body_is_served: None,
    largest_body_in_chunks_is_served: Some(1_100),
}
