//! Crowds at the listeners of a node for callers and for operators.

use std::net::SocketAddr;

use jacinthpoint_platform::{Platform, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, RecordsObject, key_digest};
use serde_json::json;

use crate::{
    crowd::{Crowd, Kind},
    run_alone, until_patience_ends,
    util::{KEYS, LoneNode, Process},
};

/// Memory of the node's VM.
const MEMORY_MB: u64 = 160;
/// Descriptors of the node's VM.
const DESCRIPTORS: usize = 700;
/// Places for callers, fewer than a crowd that opens connections takes.
const LIMITS: &str = "max_connections = 200\nread_deadline_ms = 2000";

/// A node, and the platform with one organisation.
struct Target {
    node: LoneNode,
    _platform: Process,
}

impl Target {
    fn start() -> Target {
        let (process, platform) = Process::standin(&["platform"]);
        let (name, key) = KEYS[0];
        let digest = key_digest(key).to_string();
        let records = vec![
            json!({ "schema": 2, "kind": "organisation", "name": name, "key_sha256": [digest] }),
        ];
        let written = Platform::new(platform).update(
            CONFIG_KIND,
            CONFIG_NAME,
            Version(0),
            &RecordsObject { records },
        );
        written.expect("the platform accepts");
        Target {
            node: LoneNode::start(platform, LIMITS),
            _platform: process,
        }
    }

    /// Returns whether a caller that sends a refused request again gets its answer.
    fn is_served(&self) -> bool {
        let url = format!("http://{}/v1/models", self.node.callers);
        until_patience_ends(|_| {
            let request =
                attohttpc::get(&url).header("authorization", format!("Bearer {}", KEYS[0].1));
            request.send().is_ok_and(|answer| answer.is_success())
        })
    }

    fn check_beside(&self, label: &str) {
        let served = self.is_served();
        let ready = until_patience_ends(|_| self.node.readiness() == 200);
        let descriptors = self.node.process.open_descriptors();
        let memory_kb = self.node.process.peak_memory_kb();
        println!(
            "{label}: peak {memory_kb} kB, {descriptors} descriptors, served {served}, ready {ready}"
        );
        assert!(memory_kb <= MEMORY_MB * 1_024, "{memory_kb} kB");
        assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
        assert!(served, "an ordinary request is not answered");
        assert!(ready, "a readiness check is not answered");
    }
}

/// Checks a node beside a crowd at one of its listeners, and after it.
fn check(label: &str, listener: fn(&LoneNode) -> SocketAddr, path: &'static str, kind: Kind) {
    let _alone = run_alone();
    let target = Target::start();
    let crowd = Crowd::start(kind, listener(&target.node), path);
    target.check_beside(label);
    crowd.end();
    target.check_beside(label);
}

crowds! {
    callers(|node| node.callers, "/v1/completions"):
        bodies_short_of_their_end = LongestBody,
        bodies_in_small_pieces = BodyInPieces,
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
    operators(|node| node.operators, "/ready"):
        bodies_short_of_their_end = LongestBody,
        bodies_far_over_the_limit = LongBody,
        many_short_fields = ShortFields,
        endless_heads = EndlessHead,
        requests_sent_ahead = SentAhead,
        half_heads = HalfHead,
        silent_connections = Silent;
}
