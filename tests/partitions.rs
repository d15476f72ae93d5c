//! Faults of links between real processes, behind the fault proxy.

use jacinthpoint_standins::wall_ms;
use serde_json::json;

use crate::util::{
    Call, Sent, SiteOptions, Traffic, every_node_answers, fault_survived, let_pass, none_lost,
    reconcile, wait_for_answers, wait_until,
};

/// Time for a cut node to be given up by its peers and for its permits to lapse.
const FAULT_MS: u64 = 4_000;
/// Deadline of a call whose answer never comes.
const DEADLINE_MS: u64 = 5_000;
/// Time for a final answer to reach its caller on a busy machine.
const ANSWER_SLACK_MS: u64 = 3_000;
/// Time for the site to be as before.
const RECOVERY_MS: u64 = 30_000;

const NODES: [&str; 3] = ["node-1", "node-2", "node-3"];
const RACK_1: [&str; 4] = ["rack-1-vm-1", "rack-1-vm-2", "rack-1-vm-3", "rack-1-vm-4"];
const RACK_2: [&str; 4] = ["rack-2-vm-1", "rack-2-vm-2", "rack-2-vm-3", "rack-2-vm-4"];

fn engines() -> Vec<&'static str> {
    [RACK_1, RACK_2].concat()
}

site_test!(
    every_link_goes_through_the_proxy,
    SiteOptions::proxied(),
    |site| {
        every_node_answers(&site);
        let links = site.links();
        for node in NODES {
            assert!(links.traffic(node, "platform") > 0, "{node}");
            assert!(links.traffic("", node) > 0, "callers of {node}");
            wait_until("it reaches engines and nodes", RECOVERY_MS, || {
                let reached = |to: &&str| links.traffic(node, to) > 0;
                engines().iter().any(reached) && NODES.iter().any(reached)
            });
        }
    }
);

site_test!(
    streams_resume_when_old_connections_go_silent,
    SiteOptions::proxied(),
    |site| {
        let traffic = Traffic::start(&site.callers(), 12, None);
        let mut frozen = 0;
        for _ in 0..6 {
            wait_for_answers(&traffic, 5);
            frozen += site.links().freeze(&NODES, &engines());
        }
        let sent = traffic.finish();
        assert!(frozen > 0, "no connection was open");
        none_lost(&site, &sent);
    }
);

site_test!(
    plain_calls_survive_silent_connections,
    SiteOptions::proxied(),
    |site| {
        let traffic = Traffic::start(&site.callers(), 12, Some("enquiries"));
        for _ in 0..6 {
            wait_for_answers(&traffic, 5);
            site.links().freeze(&NODES, &[]);
        }
        none_lost(&site, &traffic.finish());
        every_node_answers(&site);
    }
);

site_test!(
    marked_call_on_a_frozen_connection_ends_unknown,
    SiteOptions::proxied(),
    |site| {
        let servers = ["enquiries-1", "enquiries-2", "enquiries-3"];
        let fault = json!({ "mode": "lose-towards-source" });
        site.links().disturb("fault", &NODES, &servers, &fault);
        let deadline_ms = wall_ms() + DEADLINE_MS;
        let call = Call {
            service: Some("enquiries"),
            headers: vec![("x-deadline-unix-ms", deadline_ms.to_string())],
            ..Call::new("one reel, once only")
        };
        let (sent, node) = (call.clone(), site.nodes[0].callers);
        let caller = std::thread::spawn(move || sent.send(node));
        let request = call.request.to_string();
        let ran = || site.run_log().iter().any(|run| run.request == request);
        wait_until("the call runs", DEADLINE_MS, ran);
        assert_eq!(site.links().freeze(&NODES, &servers), 1);
        site.links().heal("fault");
        let answer = caller.join().expect("no panic").expect("an answer");
        assert_eq!(answer.outcome, "unknown", "{}", answer.body);
        assert!(wall_ms() < deadline_ms + ANSWER_SLACK_MS, "answered late");
        let sent = Sent {
            call,
            answer: Ok(answer),
            ended_ms: wall_ms(),
        };
        reconcile(&site, &[sent]);
    }
);

/// Disturbs some links while callers go on, then heals them.
macro_rules! link_fault_test {
    ($name:ident, $from:expr, $to:expr, $fault:expr) => {
        site_test!($name, SiteOptions::proxied(), |site| {
            let traffic = Traffic::start(&site.callers(), 8, Some("enquiries"));
            wait_for_answers(&traffic, 5);
            site.links().disturb("fault", &$from, &$to, &$fault);
            let_pass(FAULT_MS);
            site.links().heal("fault");
            fault_survived(&site, traffic);
            site.wait_for_groups(2);
        });
    };
}

link_fault_test!(
    answers_of_engines_lost_one_way,
    NODES,
    RACK_1,
    json!({ "mode": "lose-towards-source" })
);
link_fault_test!(
    requests_to_engines_lost_one_way,
    NODES,
    RACK_1,
    json!({ "mode": "lose-towards-target" })
);
link_fault_test!(
    answers_of_plain_servers_lost_one_way,
    NODES,
    ["enquiries-1", "enquiries-2"],
    json!({ "mode": "lose-towards-source" })
);
link_fault_test!(
    answers_of_the_platform_lost_one_way,
    NODES,
    ["platform"],
    json!({ "mode": "lose-towards-source" })
);
link_fault_test!(
    messages_between_nodes_lost_in_part,
    NODES,
    NODES,
    json!({ "mode": "lose-share", "share": 0.3 })
);
link_fault_test!(
    engines_reached_slowly,
    NODES,
    RACK_1,
    json!({ "mode": "delay", "delay_ms": 60 })
);

/// Cuts the first node from a set of parties while callers go on, restarts it there if asked to,
/// and heals the cut.
macro_rules! cut_node_test {
    ($name:ident, $from:expr, restart: $restart:expr) => {
        site_test!($name, SiteOptions::proxied(), |mut site| {
            let callers = site.callers();
            // The callers of the node that is restarted would be cut off by the restart itself.
            let asked = if $restart {
                &callers[1..]
            } else {
                &callers[..]
            };
            let traffic = Traffic::start(asked, 8, Some("enquiries"));
            wait_for_answers(&traffic, 5);
            site.links().partition("cut", &["node-1"], &$from);
            let_pass(FAULT_MS / 2);
            if $restart {
                site.restart_node(0);
            }
            let_pass(FAULT_MS / 2);
            site.links().heal("cut");
            fault_survived(&site, traffic);
            site.wait_for_groups(2);
        });
    };
}

cut_node_test!(node_cut_from_the_platform, ["platform"], restart: false);
cut_node_test!(node_cut_from_its_peers, ["node-2", "node-3"], restart: false);
cut_node_test!(node_cut_from_engines, engines(), restart: false);
cut_node_test!(node_restarted_while_cut_from_the_platform, ["platform"], restart: true);
cut_node_test!(node_restarted_while_cut_from_its_peers, ["node-2", "node-3"], restart: true);
cut_node_test!(node_restarted_while_cut_from_engines, engines(), restart: true);
