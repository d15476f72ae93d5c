//! Callers whose link is cut: for a while, and for good.

use jacinthpoint_platform_standins::{PlainFault, RequestLimits};

use crate::gateway::{
    CONFIG_APPLY_MS,
    caller::Request,
    kept_caller::KeptCaller,
    pause_ms,
    site::{KEY, Site},
};

/// Length of a cut of a link, from the start of a request.
const CUT_MS: u64 = 5_500;
/// Time for which a service works on a request across the cut, within its deadline.
const WORK_MS: u64 = 6_500;

/// Guards against lost answers: a cut of the caller's link that ends long before the deadline ends the
/// connection of a request that runs.
#[test]
fn answer_arrives_after_a_cut_of_the_callers_link() {
    let site = Site::start(1);
    site.platform.plain.set_fault(PlainFault::Slow(WORK_MS));
    let request = Request::once("cut");
    let mut caller = KeptCaller::new(site.gateway(0));
    let text = request.to_text();
    let written = caller.write([text.as_bytes()]).expect("it is connected");
    written.expect("the request can be written");
    site.wait_for_run("cut");
    caller.cut_link();
    pause_ms(CUT_MS);
    caller.restore_link();
    let answer = caller.read_answer(request.timeout_ms - CUT_MS).whole();
    assert_eq!(answer.status, 200);
    assert_eq!(site.platform.runs.of("cut").len(), 1);
}

/// Guards against connections of callers that vanished without a word and are never closed: an idle one,
/// one with a part of a head, one with a request that runs, and one with a stream that fits the socket.
#[test]
fn connections_of_vanished_callers_end() {
    const TIMEOUT_MS: u64 = 3_000;
    const IDLE_MS: u64 = 1_500;
    /// Time for the end of a connection that is due, and for a busy machine.
    const MORE_MS: u64 = 1_000 + 1_500;
    let site = Site::start(1);
    site.platform.engines.set_stream(100, 100);
    let limits = RequestLimits {
        idle_timeout_ms: IDLE_MS,
        ..RequestLimits::default()
    };
    site.put_config_with(&[KEY], TIMEOUT_MS, limits);
    pause_ms(CONFIG_APPLY_MS);
    let mut callers: Vec<_> = (0..4).map(|_| KeptCaller::new(site.gateway(0))).collect();
    let answer = callers[0].send(&Request::once("idle")).whole();
    assert_eq!(answer.status, 200);
    site.platform.plain.set_fault(PlainFault::Slow(20_000));
    let running = [Request::once("runs"), Request::stream("streams")];
    let texts = running.each_ref().map(Request::to_text);
    let sent = [&texts[0][..20], &texts[0], &texts[1]];
    for (caller, text) in callers[1..].iter_mut().zip(sent) {
        let written = caller.write([text.as_bytes()]).expect("it is connected");
        written.expect("it can be written");
    }
    running
        .iter()
        .for_each(|request| site.wait_for_run(&request.id));
    callers.iter_mut().for_each(KeptCaller::cut_link);
    let is_none_open = |site: &Site| {
        let metrics = site.metrics(0);
        metrics
            .lines()
            .any(|line| line == "jacinthpoint_connections_open 0")
    };
    assert!(!is_none_open(&site), "they are open at first");
    let limit_ms = TIMEOUT_MS + IDLE_MS + MORE_MS;
    site.wait_until("no caller's connection is open", limit_ms, is_none_open);
}
