//! Streams, queues, retries and callers that leave.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::util::{Call, Site, SiteOptions, wait_until};

/// Time for a running request to show in a run log, or for one to be served after another.
const SETTLE_MS: u64 = 15_000;

/// Engines that run one request at a time, slowly.
fn one_slot(groups: u16) -> SiteOptions {
    let args = ["--slots", "1", "--token-ms", "20"];
    SiteOptions {
        domains: usize::from(groups),
        groups,
        engine_args: args.map(str::to_owned).to_vec(),
        ..SiteOptions::small()
    }
}

/// Two groups of such engines that take three seconds to their first token.
fn slow_prefill() -> SiteOptions {
    let mut options = one_slot(2);
    let args = ["--prefill-ms", "3000"];
    options.engine_args.extend(args.map(str::to_owned));
    options
}

fn runs(site: &Site, call: &Call) -> usize {
    let request = call.request.to_string();
    let records = site.run_log();
    records.iter().filter(|run| run.request == request).count()
}

fn send_later(call: &Call, node: SocketAddr) -> thread::JoinHandle<crate::util::Answer> {
    let call = call.clone();
    thread::spawn(move || call.send(node).expect("the node answers"))
}

site_test!(
    request_in_an_engines_queue_waits_and_runs_once,
    one_slot(1),
    |site| {
        let node = site.nodes[0].callers;
        let first = Call {
            max_tokens: 250,
            ..Call::new("the one that runs")
        };
        let running = send_later(&first, node);
        wait_until("the first runs", SETTLE_MS, || runs(&site, &first) == 1);
        let second = Call::new("the one in the queue");
        let answer = second.send(node).expect("the node answers");
        assert_eq!(answer.outcome, "answered", "{}", answer.body);
        assert_eq!(answer.text, second.expected());
        assert_eq!(runs(&site, &second), 1);
        let answer = running.join().expect("no panic");
        assert_eq!(answer.text, first.expected());
    }
);

site_test!(
    caller_that_leaves_before_the_first_token_ends_its_run,
    slow_prefill(),
    |site| {
        let node = site.nodes[0].callers;
        let leaving = Call {
            stream: true,
            max_tokens: 5_000,
            ..Call::new("gone before the first token")
        };
        let sent = leaving.send_and_leave(node, Duration::from_millis(500));
        assert!(sent.is_ok(), "{sent:?}");
        // One slot a group: unless the run was cancelled, one of these waits for all its tokens.
        let next: Vec<Call> = (0..2)
            .map(|number| Call::new(&format!("next {number}")))
            .collect();
        let sent: Vec<_> = next.iter().map(|call| send_later(call, node)).collect();
        for (call, sent) in next.iter().zip(sent) {
            assert_eq!(sent.join().expect("no panic").text, call.expected());
        }
        assert_eq!(runs(&site, &leaving), 1, "run on one group and on no other");
    }
);

site_test!(
    paused_group_hands_its_streams_to_another,
    SiteOptions::small(),
    |site| {
        let node = site.nodes[0].callers;
        let call = Call {
            stream: true,
            max_tokens: 300,
            ..Call::new("a stream over a pause")
        };
        let sent = send_later(&call, node);
        wait_until("it runs", SETTLE_MS, || runs(&site, &call) == 1);
        let request = call.request.to_string();
        let records = site.run_log();
        let run = records.iter().find(|run| run.request == request);
        let vm = run.expect("it runs").vm.clone();
        site.engine_fault(&vm, &json!({ "mode": "pause" }));
        let answer = sent.join().expect("no panic");
        assert_eq!(answer.outcome, "answered", "{}", answer.body);
        assert_eq!(answer.text, call.expected());
    }
);

site_test!(
    group_that_fails_every_request_is_retried_elsewhere,
    SiteOptions::small(),
    |site| {
        let node = site.nodes[0].callers;
        for vm in 1..=4 {
            let vm = format!("rack-1-vm-{vm}");
            site.engine_fault(&vm, &json!({ "mode": "error-fast" }));
        }
        for number in 0..30 {
            let call = Call::new(&format!("request {number}"));
            let answer = call.send(node).expect("the node answers");
            assert_eq!(answer.outcome, "answered", "{}", answer.body);
            assert_eq!(answer.text, call.expected());
        }
    }
);

site_test!(
    unkeyed_request_that_may_not_repeat_is_not_tried_again,
    SiteOptions::small(),
    |site| {
        for vm in site.engines.keys() {
            site.engine_fault(vm, &json!({ "mode": "error-fast" }));
        }
        let call = Call {
            headers: vec![("x-repeatable", "false".to_owned())],
            ..Call::new("only once")
        };
        let start = Instant::now();
        let answer = call.send(site.nodes[0].callers).expect("the node answers");
        assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"));
        // Given up at once: nothing is waited for.
        assert!(start.elapsed() < Duration::from_millis(1_500));
    }
);
