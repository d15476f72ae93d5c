//! Keyed requests run at most once, over nodes, resends and faults.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_ledger::{WINDOW_MS, slot_of};
use jacinthpoint_standins::wall_ms;
use jacinthpoint_types::{IdempotencyKey, NodeId};
use jacinthpoint_wire::ScopedKey;
use serde_json::json;

use crate::util::{Answer, Call, Site, SiteOptions, wait_until};

/// A refusal in an outage must come well before a caller's patience ends.
const AT_ONCE: Duration = Duration::from_millis(1_000);
/// Longest time to find a stopped owner out and serve without it.
const TAKE_OVER_BOUND_MS: u64 = 15_000;

fn keyed(prompt: &str, key: &str) -> Call {
    Call {
        headers: vec![("idempotency-key", key.to_owned())],
        ..Call::new(prompt)
    }
}

fn new_key() -> String {
    IdempotencyKey::new().to_string()
}

fn key_issued_at(unix_ms: u64) -> String {
    let high = unix_ms >> 16;
    let low = unix_ms & 0xffff;
    format!("{high:08x}-{low:04x}-7000-8000-00000000abcd")
}

/// Sends a call under another request id, as a resend does.
fn resend(call: &Call, node: SocketAddr) -> Result<Answer, String> {
    let again = Call {
        request: jacinthpoint_types::RequestId::new(),
        ..call.clone()
    };
    again.send(node)
}

fn runs(site: &Site, prompt: &str) -> usize {
    let records = site.run_log();
    records
        .iter()
        .filter(|run| run.body.contains(prompt))
        .count()
}

fn assert_answered(answer: &Answer, call: &Call) {
    assert_eq!(answer.outcome, "answered", "{}", answer.body);
    assert_eq!(answer.text, call.expected());
}

fn assert_refused(answer: &Answer, status: u16, outcome: &str) {
    let seen = (answer.status, answer.outcome.as_str());
    assert_eq!(seen, (status, outcome), "{}", answer.body);
}

/// Place in `site.nodes` of the node that owns the slot of a key.
fn owner_of(site: &Site, key: &str) -> usize {
    let key = ScopedKey {
        organisation: "coralbank".parse().expect("a valid name"),
        key: key.parse().expect("a key"),
    };
    let nodes: Vec<NodeId> = (1..=site.nodes.len())
        .map(|number| format!("node-{number}").parse().expect("a valid name"))
        .collect();
    let work = format!("ledger-slot-{}", slot_of(&key));
    let ranked = jacinthpoint_types::rendezvous_order(&work, &nodes);
    let owner = nodes.iter().position(|node| Some(&node) == ranked.first());
    owner.expect("there is a node")
}

/// A key whose slot is owned by the node at `place`.
fn key_owned_by(site: &Site, place: usize) -> String {
    let mut keys = std::iter::repeat_with(new_key);
    keys.find(|key| owner_of(site, key) == place)
        .expect("some key has this owner")
}

fn three_nodes() -> SiteOptions {
    SiteOptions {
        nodes: 3,
        ..SiteOptions::small()
    }
}

site_test!(
    resend_gets_the_kept_answer_at_any_node,
    three_nodes(),
    |site| {
        for stream in [false, true] {
            let prompt = format!("landing declaration, streamed: {stream}");
            let call = Call {
                stream,
                ..keyed(&prompt, &new_key())
            };
            assert_answered(&call.send(site.nodes[0].callers).expect("answer"), &call);
            for node in &site.nodes {
                assert_answered(&resend(&call, node.callers).expect("answer"), &call);
            }
            assert_eq!(runs(&site, &prompt), 1);
        }
    }
);

site_test!(
    concurrent_resends_run_once_and_get_one_answer,
    three_nodes(),
    |site| {
        let call = Call {
            max_tokens: 200,
            ..keyed("one supplier enquiry", &new_key())
        };
        thread::scope(|scope| {
            let sent: Vec<_> = (0..12)
                .map(|number| {
                    let node = site.nodes[number % site.nodes.len()].callers;
                    let call = &call;
                    scope.spawn(move || resend(call, node))
                })
                .collect();
            for answer in sent {
                let answer = answer.join().expect("no panic").expect("answer");
                assert_answered(&answer, &call);
            }
        });
        assert_eq!(runs(&site, "one supplier enquiry"), 1);
    }
);

site_test!(bad_keys_are_refused, SiteOptions::small(), |site| {
    let node = site.nodes[0].callers;
    let used = keyed("the first body", &new_key());
    assert_answered(&used.send(node).expect("answer"), &used);
    let reused = keyed("another body", &used.headers[0].1);
    assert_refused(&reused.send(node).expect("answer"), 422, "not-run");
    let no_uuid = keyed("no uuid", "42");
    assert_refused(&no_uuid.send(node).expect("answer"), 400, "not-run");
    let old = keyed("an old key", &key_issued_at(wall_ms() - WINDOW_MS - 1_000));
    assert_refused(&old.send(node).expect("answer"), 422, "unknown");
    let ahead = keyed("a key ahead", &key_issued_at(wall_ms() + 3_600_000));
    assert_refused(&ahead.send(node).expect("answer"), 400, "not-run");
    for prompt in ["another body", "no uuid", "an old key", "a key ahead"] {
        assert_eq!(runs(&site, prompt), 0, "{prompt}");
    }
});

site_test!(
    outage_of_the_platform_refuses_at_once_as_not_run,
    SiteOptions::small(),
    |site| {
        let node = site.nodes[0].callers;
        site.control("fault", &json!({ "mode": "refuse" }));
        let call = keyed("while the platform is away", &new_key());
        for _ in 0..3 {
            let start = Instant::now();
            let answer = resend(&call, node).expect("answer");
            assert!(start.elapsed() < AT_ONCE, "{:?}", start.elapsed());
            assert_refused(&answer, 503, "not-run");
            assert!(answer.retry_after.is_some());
        }
        assert_eq!(runs(&site, &call.prompt), 0);
        let unkeyed = Call::new("without a key");
        assert_answered(&unkeyed.send(node).expect("answer"), &unkeyed);
        site.control("fault", &json!({ "mode": "none" }));
        wait_until("the same key runs", TAKE_OVER_BOUND_MS, || {
            resend(&call, node).is_ok_and(|answer| answer.outcome == "answered")
        });
        assert_eq!(runs(&site, &call.prompt), 1);
    }
);

site_test!(
    lost_answers_of_the_platform_run_nothing_twice,
    three_nodes(),
    |site| {
        site.control("fault", &json!({ "mode": "lose-answers", "count": 6 }));
        let calls: Vec<Call> = (0..8)
            .map(|number| keyed(&format!("lost answer {number}"), &new_key()))
            .collect();
        thread::scope(|scope| {
            for call in &calls {
                for node in &site.nodes {
                    scope.spawn(move || {
                        assert_answered(&resend(call, node.callers).expect("answer"), call);
                    });
                }
            }
        });
        for call in &calls {
            assert_eq!(runs(&site, &call.prompt), 1, "{}", call.prompt);
        }
    }
);

site_test!(
    stopped_owner_is_replaced_and_changes_nothing_later,
    three_nodes(),
    |site| {
        let call = keyed("through a stopped owner", &key_owned_by(&site, 1));
        site.nodes[1].process.signal("STOP");
        let start = Instant::now();
        let answer = call.send(site.nodes[0].callers).expect("answer");
        assert_answered(&answer, &call);
        assert!(start.elapsed() < Duration::from_millis(TAKE_OVER_BOUND_MS));
        site.nodes[1].process.signal("CONT");
        for node in &site.nodes {
            assert_answered(&resend(&call, node.callers).expect("answer"), &call);
        }
        assert_eq!(runs(&site, &call.prompt), 1);
    }
);

site_test!(
    runner_killed_after_dispatch_leaves_the_outcome_unknown,
    three_nodes(),
    |mut site| {
        let call = Call {
            max_tokens: 400,
            stream: true,
            ..keyed("killed in the middle", &key_owned_by(&site, 1))
        };
        let (sent, node) = (call.clone(), site.nodes[0].callers);
        let caller = thread::spawn(move || sent.send(node));
        wait_until("it runs", TAKE_OVER_BOUND_MS, || {
            runs(&site, &call.prompt) == 1
        });
        site.nodes[0].process.signal("KILL");
        assert!(site.nodes[0].process.wait(5_000).is_some());
        // The caller of a node that died sees its connection end.
        let _ = caller.join().expect("no panic");
        for node in &site.nodes[1..] {
            assert_refused(
                &resend(&call, node.callers).expect("answer"),
                502,
                "unknown",
            );
        }
        assert_eq!(runs(&site, &call.prompt), 1);
    }
);

site_test!(
    answered_key_does_not_run_after_all_nodes_are_replaced,
    SiteOptions::small(),
    |mut site| {
        let call = keyed("before the replacement", &new_key());
        assert_answered(&call.send(site.nodes[0].callers).expect("answer"), &call);
        for node in &mut site.nodes {
            node.process.signal("KILL");
            assert!(node.process.wait(5_000).is_some());
        }
        site.nodes = (1..=2).map(|number| site.start_node(number)).collect();
        site.wait_for_groups(usize::from(site.options.groups));
        for node in &site.nodes {
            assert_refused(
                &resend(&call, node.callers).expect("answer"),
                502,
                "unknown",
            );
        }
        assert_eq!(runs(&site, &call.prompt), 1);
    }
);

site_test!(
    run_goes_on_for_the_resend_when_its_caller_leaves,
    SiteOptions::small(),
    |site| {
        let call = Call {
            max_tokens: 300,
            stream: true,
            ..keyed("the caller hangs up", &new_key())
        };
        let node = site.nodes[0].callers;
        let start = call.begin(node).expect("the stream begins");
        wait_until("it runs", TAKE_OVER_BOUND_MS, || {
            runs(&site, &call.prompt) == 1
        });
        drop(start);
        let answer = resend(&call, site.nodes[1].callers).expect("answer");
        assert_answered(&answer, &call);
        assert_eq!(runs(&site, &call.prompt), 1);
    }
);
