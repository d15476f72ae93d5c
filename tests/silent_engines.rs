//! Engines that are silent for a time and go on, while callers wait for their answers.

use std::{
    collections::BTreeSet,
    thread::{self, JoinHandle},
    time::Duration,
};

use jacinthpoint_standins::wall_ms;
use serde_json::json;

use crate::util::{Answer, Call, Site, SiteOptions, wait_until};

/// Time in which a request begins to run.
const BEGIN_MS: u64 = 10_000;
/// Time after which a request that has begun to run has had tokens.
const TOKENS_MS: u64 = 400;
/// Length of a pause of a VM. Longer than a permit is valid, shorter than the time after which the VM is
/// replaced.
const PAUSE_MS: u64 = 2_500;
/// Time from its start until a request has to be answered: twice what it takes with the pause.
const DEADLINE_MS: u64 = 12_000;

/// Returns a streamed call whose answer takes about three seconds.
fn long_call(is_repeatable: bool) -> Call {
    let deadline_ms = wall_ms() + DEADLINE_MS;
    Call {
        stream: true,
        max_tokens: 300,
        headers: vec![
            ("x-repeatable", is_repeatable.to_string()),
            ("x-deadline-unix-ms", deadline_ms.to_string()),
        ],
        ..Call::new("a long landing declaration")
    }
}

fn options() -> SiteOptions {
    let args = ["--token-ms", "10"];
    SiteOptions {
        engine_args: args.map(str::to_owned).to_vec(),
        ..SiteOptions::small()
    }
}

/// Sends a call, and returns the members of the group that runs it, its leader first.
fn begin(site: &Site, call: &Call) -> (JoinHandle<Result<Answer, String>>, Vec<String>) {
    let (sent, node) = (call.clone(), site.nodes[0].callers);
    let caller = thread::spawn(move || sent.send(node));
    let request = call.request.to_string();
    let run = || {
        site.run_log()
            .into_iter()
            .find(|run| run.request == request)
    };
    wait_until("it runs", BEGIN_MS, || run().is_some());
    let run = run().expect("it runs");
    let mut members = run.members;
    members.retain(|member| *member != run.vm);
    members.insert(0, run.vm);
    thread::sleep(Duration::from_millis(TOKENS_MS));
    (caller, members)
}

/// Pauses a VM for a time.
fn pause(site: &Site, vm: &str) {
    site.pause_engine(vm);
    thread::sleep(Duration::from_millis(PAUSE_MS));
    site.resume_engine(vm);
}

fn check_whole(call: &Call, caller: JoinHandle<Result<Answer, String>>) {
    let answer = caller.join().expect("no panic").expect("the node answers");
    assert_eq!(answer.outcome, "answered", "{}", answer.body);
    assert_eq!(answer.text, call.expected());
}

/// Defines tests of a request whose group pauses: name, whether the request may run again, which member pauses (0
/// is the leader), what happens to the others at the beginning of the pause.
macro_rules! pause_tests {
    ($($name:ident, repeatable $is_repeatable:literal, member $index:literal, $change:expr;)+) => {
        $(
            site_test!($name, options(), |site| {
                let call = long_call($is_repeatable);
                let (caller, members) = begin(&site, &call);
                $change(&site, &members);
                pause(&site, &members[$index]);
                check_whole(&call, caller);
            });
        )+
    };
}

/// Lets each request fail at the engines of other groups.
fn fail_elsewhere(site: &Site, members: &[String]) {
    for vm in site.engines.keys().filter(|vm| !members.contains(vm)) {
        site.engine_fault(vm, &json!({ "mode": "error-fast" }));
    }
}

// Guards against attempts that are cancelled because their engines are silent for a time, before another engine
// has sent a token, or although no other one may run the request.
pause_tests! {
    marked_request_outlasts_a_pause_of_its_engine, repeatable false, member 0, |_: &_, _: &_| {};
    marked_request_outlasts_a_pause_of_a_member, repeatable false, member 1, |_: &_, _: &_| {};
    repeatable_request_outlasts_a_pause, repeatable true, member 0, |_: &_, _: &_| {};
    repeatable_request_outlasts_a_pause_while_other_groups_fail, repeatable true, member 0, fail_elsewhere;
}

// As above, for an engine that is paused when the request is sent, and reads it once its connection is closed.
site_test!(
    marked_request_outlasts_a_pause_at_its_beginning,
    options(),
    |site| {
        for number in 0..8 {
            let call = Call::new(&format!("a short landing declaration {number}"));
            call.send(site.nodes[0].callers).expect("the node answers");
        }
        let leaders: BTreeSet<String> = site.run_log().into_iter().map(|run| run.vm).collect();
        let call = long_call(false);
        leaders.iter().for_each(|vm| site.pause_engine(vm));
        let (sent, node) = (call.clone(), site.nodes[0].callers);
        let caller = thread::spawn(move || sent.send(node));
        thread::sleep(Duration::from_millis(PAUSE_MS));
        leaders.iter().for_each(|vm| site.resume_engine(vm));
        check_whole(&call, caller);
    }
);

// Guards against attempts that are taken as lost because their engine answers a resumption before it reads the
// request that starts them, as after a pause.
site_test!(
    marked_request_outlasts_a_start_that_is_read_late,
    options(),
    |site| {
        let fault = json!({ "mode": "reads-starts-late" });
        let vms = site.engines.keys();
        vms.for_each(|vm| site.engine_fault(vm, &fault));
        let call = long_call(false);
        let (sent, node) = (call.clone(), site.nodes[0].callers);
        check_whole(&call, thread::spawn(move || sent.send(node)));
    }
);
