//! Violations planted in a history, each of which one check must find.

use std::time::{Duration, Instant};

use jacinthpoint_platform_standins::{PlainService, Platform, Run};

use crate::gateway::{
    caller::{End, Request, parse},
    kept_caller::Outcome,
    site::{KEY, Site},
    soak::{
        checks::{SentRequest, check_received},
        faults::{Affected, Disturbed, FaultLog, FaultMix, Faults, Stop},
        history::{
            Exchange, Findings, History, KEY_IN_FORCE, NO_LATE_WORK, NO_OLDER_KEY,
            NO_RUN_AT_ABSENT, RUNS_AT_END, UNKNOWN_KEY, UNKNOWN_KEY_REFUSED, WORK_ENDS,
        },
        size::SMALL,
    },
};

/// Time for which a request is on its way, and time that a whole stream takes.
const REQUEST_MS: u64 = 100;
const STREAM: Duration = Duration::from_secs(1);

/// A history whose changes are all made at its begin, and whose requests come later.
struct Plan {
    begin: Instant,
    history: History,
    faults: FaultLog,
    runs: Vec<Run>,
}

impl Plan {
    fn new() -> Plan {
        Plan {
            begin: Instant::now(),
            history: History::default(),
            faults: FaultLog::default(),
            runs: Vec::new(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.begin + Duration::from_millis(ms)
    }

    /// Adds a request to gateway 0.
    fn request(&self, id: &str, key: &str, sent_ms: u64, status: u16) {
        self.history.push(Exchange {
            id: id.to_owned(),
            gateway: 0,
            key: key.to_owned(),
            is_stream: false,
            sent_at: self.at(sent_ms),
            ended_at: self.at(sent_ms + REQUEST_MS),
            status,
            has_left: false,
        });
    }

    /// Adds streams whose callers left, and their runs, which begin and end this long after that.
    fn left_streams(&mut self, count: usize, begun_ms: u64, ended_ms: Option<u64>) {
        for _ in 0..count {
            let id = format!("left-{}", self.runs.len());
            self.history.push(Exchange {
                id: id.clone(),
                gateway: 0,
                key: KEY.to_owned(),
                is_stream: true,
                sent_at: self.at(0),
                ended_at: self.at(REQUEST_MS),
                status: 200,
                has_left: true,
            });
            let ended_ms = ended_ms.map(|ms| REQUEST_MS + ms);
            self.run(&id, "i-0", REQUEST_MS + begun_ms, ended_ms);
        }
    }

    fn run(&mut self, id: &str, upstream: &str, at_ms: u64, ended_ms: Option<u64>) {
        self.runs.push(Run {
            attempt_id: id.to_owned(),
            upstream: upstream.to_owned(),
            organisation: None,
            prompt: String::new(),
            at: self.at(at_ms),
            ended_at: ended_ms.map(|ms| self.at(ms)),
        });
    }

    /// Writes configurations with the keys of these places.
    fn change_keys(&self, changes: usize) -> Vec<String> {
        let changes = (0..changes).map(|_| {
            self.history.change_key(|_| {});
            self.history.key_before(0).expect("a key was written")
        });
        changes.collect()
    }

    fn check(&self) -> Findings {
        self.history.check(&self.faults, &self.runs, STREAM)
    }

    /// Checks that only the check of this name finds a violation.
    fn assert_found_by(&self, check: &str) {
        let violations = self.check().violations;
        let are_of_check = violations
            .iter()
            .all(|violation| violation.starts_with(check));
        assert!(!violations.is_empty() && are_of_check, "{violations:?}");
    }
}

/// Defines tests of a planted violation: name, the check that must find it, what happened.
macro_rules! planted {
    ($($name:ident: $check:ident, |$plan:ident| $body:block)+) => {
        $(
            #[test]
            fn $name() {
                #[allow(unused_mut)]
                let mut $plan = Plan::new();
                $body
                $plan.assert_found_by($check);
            }
        )+
    };
}

/// Defines tests of a history in which nothing may be found: name, what happened.
macro_rules! sound {
    ($($name:ident: |$plan:ident| $body:block)+) => {
        $(
            #[test]
            fn $name() {
                #[allow(unused_mut)]
                let mut $plan = Plan::new();
                $body
                let violations = $plan.check().violations;
                assert!(violations.is_empty(), "{violations:?}");
            }
        )+
    };
}

planted! {
    // Guards against checks that miss a removed key that still works.
    removed_key_is_accepted: KEY_IN_FORCE, |plan| {
        let keys = plan.change_keys(2);
        plan.request("late", &keys[0], 2_100, 200);
    }

    // Guards against checks that miss a request with a removed key that runs and gets another status.
    request_with_a_removed_key_runs: KEY_IN_FORCE, |plan| {
        let keys = plan.change_keys(2);
        plan.request("late", &keys[0], 2_100, 504);
        plan.run("late", "i-0", 2_150, None);
    }

    // Guards against checks that miss a new key that does not work.
    added_key_is_denied: KEY_IN_FORCE, |plan| {
        let keys = plan.change_keys(2);
        plan.request("early", &keys[1], 2_100, 401);
    }

    // Guards against checks that miss a key that no configuration has.
    unknown_key_is_accepted: UNKNOWN_KEY_REFUSED, |plan| {
        plan.request("unknown", UNKNOWN_KEY, 0, 200);
    }

    // Guards against checks that miss a request with such a key that runs, in spite of a disturbance.
    request_with_an_unknown_key_runs: UNKNOWN_KEY_REFUSED, |plan| {
        plan.faults.begin("planted", Affected::Nothing, Disturbed::Store);
        plan.request("unknown", UNKNOWN_KEY, 0, 401);
        plan.run("unknown", "plain-1", 50, None);
    }

    // Guards against checks that miss a process that goes back to an older configuration.
    older_key_is_accepted_after_a_newer_one: NO_OLDER_KEY, |plan| {
        let keys = plan.change_keys(2);
        plan.request("newer", &keys[1], 0, 200);
        plan.request("older", &keys[0], 600, 200);
    }

    // Guards against checks that miss a process that forgets the newest configuration, also in a disturbance.
    newest_key_is_denied_after_it_was_accepted: NO_OLDER_KEY, |plan| {
        plan.faults.begin("planted", Affected::Nothing, Disturbed::Gateways(vec![0]));
        let keys = plan.change_keys(2);
        plan.request("accepted", &keys[1], 0, 200);
        plan.request("denied", &keys[1], 600, 401);
    }

    // Guards against checks that miss a request that runs after it was refused.
    refused_request_runs_later: RUNS_AT_END, |plan| {
        plan.request("refused", KEY, 0, 503);
        plan.run("refused", "plain-1", 5_000, None);
    }

    // Guards against checks that miss a second run after the answer.
    request_runs_twice: RUNS_AT_END, |plan| {
        plan.request("twice", KEY, 0, 200);
        plan.run("twice", "plain-1", 50, None);
        plan.run("twice", "plain-2", 5_000, None);
    }

    // Guards against checks that miss a request to an upstream that drains.
    draining_upstream_gets_a_request: NO_RUN_AT_ABSENT, |plan| {
        plan.history.take_instance_out(&Platform::start(Vec::new()), 1, false);
        plan.request("late", KEY, 2_100, 200);
        plan.run("late", PlainService::IDS[1], 2_150, None);
    }

    // Guards against checks that miss a request to an upstream whose entry was removed.
    removed_upstream_gets_a_request: NO_RUN_AT_ABSENT, |plan| {
        plan.history.take_instance_out(&Platform::start(Vec::new()), 2, true);
        plan.request("late", KEY, 2_100, 200);
        plan.run("late", PlainService::IDS[2], 2_150, None);
    }

    // Guards against checks that miss work that ends late.
    work_for_callers_that_left_ends_late: WORK_ENDS, |plan| {
        plan.left_streams(11, 0, Some(400));
        plan.left_streams(4, 0, Some(600));
    }

    // Guards against checks that miss work that never ends.
    work_for_callers_that_left_never_ends: WORK_ENDS, |plan| {
        plan.left_streams(4, 0, None);
    }

    // Guards against checks that miss work that begins after the caller has left.
    work_for_callers_that_left_begins_late: NO_LATE_WORK, |plan| {
        plan.left_streams(4, 600, Some(700));
    }
}

sound! {
    // Guards against a bound that begins before a change is acknowledged.
    keys_change_in_time: |plan| {
        let keys = plan.change_keys(2);
        plan.request("old", &keys[0], 1_500, 200);
        plan.request("new", &keys[1], 1_500, 401);
        plan.request("unknown", UNKNOWN_KEY, 1_500, 401);
    }

    // Guards against bounds of time for a gateway that is disturbed.
    disturbed_gateway_is_late: |plan| {
        plan.faults.begin("planted", Affected::Nothing, Disturbed::Gateways(vec![0]));
        let keys = plan.change_keys(2);
        plan.request("old", &keys[0], 2_100, 200);
    }

    // Guards against a comparison of two processes of one gateway.
    restarted_gateway_shows_an_older_key: |plan| {
        let keys = plan.change_keys(2);
        plan.begin = Instant::now();
        plan.request("newer", &keys[1], 0, 200);
        std::thread::sleep(Duration::from_millis(200));
        plan.faults.record_start(0);
        plan.request("older", &keys[0], 600, 200);
    }

    // Guards against a bound for the few that a close crosses.
    few_streams_go_on: |plan| {
        plan.left_streams(9, 0, Some(400));
        plan.left_streams(3, 0, Some(600));
    }
}

/// Defines tests of an answer that a check must reject: name, head and body of the answer, part of the message.
macro_rules! rejected_answer {
    ($($name:ident: $text:expr => $message:literal,)+) => {
        $(
            #[test]
            #[should_panic(expected = $message)]
            fn $name() {
                let text: &str = $text;
                let request = Request::once("own");
                let sent = SentRequest {
                    request: &request,
                    gateway: 0,
                    sent_at: Instant::now(),
                    events: 0,
                };
                let answer = parse(text.as_bytes(), End::Broken);
                check_received(&sent, &Outcome::Whole(answer), 1);
            }
        )+
    };
}

rejected_answer! {
    // Guards against checks that miss a success that no upstream gave.
    success_without_seal:
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n" => "success of no upstream",
    // Guards against checks that miss the answer to another request.
    answer_to_another_request:
        "HTTP/1.1 502 Bad\r\nJacinthpoint-Attempt-Id: other\r\ncontent-length: 0\r\n\r\n"
        => "answer to another request",
    // Guards against checks that miss a denial with a key that all configurations have.
    denial_with_a_permanent_key:
        "HTTP/1.1 401 No\r\ncontent-length: 0\r\n\r\n" => "got status 401",
}

/// Guards against checks that miss gateways that are ready long after SIGTERM.
#[test]
#[should_panic(expected = "still ready")]
fn stopped_gateways_are_ready() {
    let site = Site::start(2);
    let faults = Faults {
        size: SMALL,
        mix: FaultMix::Planned,
        log: FaultLog::default(),
        history: History::default(),
    };
    let stops = [0, 1].map(|gateway| Stop {
        gateway,
        incarnation: site.incarnation(gateway),
        sent_at: Instant::now() - Duration::from_secs(5),
    });
    faults.assert_not_ready(&site, &stops);
}
