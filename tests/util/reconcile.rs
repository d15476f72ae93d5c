//! Compares what callers were told with what the upstreams ran.

use std::{collections::BTreeMap, fs, path::Path};

use jacinthpoint_standins::{RunRecord, wall_ms};
use serde_json::Value;

use crate::util::{Sent, Site};

/// Bound on the start of a run on a group after one of its members is gone: the life of a permit,
/// which counts from a confirmation that the member still gave, and a request on its way.
pub const SHORT_GROUP_BOUND_MS: u64 = 2_500;

/// Time in which a VM was missing, by the wall clock that all processes of a test share.
#[derive(Debug, Clone)]
pub struct Missing {
    pub vm: String,
    pub from_ms: u64,
    /// `None` while it is missing.
    pub to_ms: Option<u64>,
}

/// Counts of one test.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Tally {
    pub accepted: usize,
    pub answered: usize,
    pub not_run: usize,
    pub unknown: usize,
    /// Callers whose connection failed before they were told an outcome.
    pub untold: usize,
}

/// Checks every promise on requests against the run logs, those of dead upstreams included.
///
/// Fails the test on the first one broken. Callers that were told nothing are counted: only a test
/// that kills a node may have any.
pub fn reconcile(site: &Site, sent: &[Sent]) -> Tally {
    let runs = site.run_log();
    let by_request = group_by(&runs, |run| run.request.clone());
    let by_prompt = group_by(&runs, run_prompt);
    let none = Vec::new();
    let mut tally = Tally::default();
    for one in sent {
        tally.count(one);
        if matches!(one.outcome(), "" | "cut") {
            println!("told no outcome: {one:?}");
        }
        // The sendings of one key have different request ids, and prompts that no other call has.
        let runs = if one.call.is_keyed() {
            by_prompt.get(&one.call.prompt)
        } else {
            by_request.get(&one.call.request.to_string())
        };
        check_request(one, runs.unwrap_or(&none));
    }
    for missing in site.missing() {
        check_missing(&missing, &runs);
    }
    let told = tally.answered + tally.not_run + tally.unknown;
    assert_eq!(tally.accepted, told + tally.untold, "{tally:?}");
    println!("reconciled: {tally:?}, {} runs", runs.len());
    tally
}

fn group_by(
    runs: &[RunRecord],
    key: impl Fn(&RunRecord) -> String,
) -> BTreeMap<String, Vec<&RunRecord>> {
    let mut grouped: BTreeMap<String, Vec<&RunRecord>> = BTreeMap::new();
    for run in runs {
        grouped.entry(key(run)).or_default().push(run);
    }
    grouped
}

impl Tally {
    fn count(&mut self, sent: &Sent) {
        self.accepted += 1;
        match sent.outcome() {
            "answered" => self.answered += 1,
            "not-run" => self.not_run += 1,
            "unknown" => self.unknown += 1,
            "" | "cut" => self.untold += 1,
            other => panic!("{other:?} is no outcome: {sent:?}"),
        }
    }
}

fn check_request(sent: &Sent, runs: &[&RunRecord]) {
    for run in runs {
        assert_eq!(run_prompt(run), sent.call.prompt, "run of another request");
    }
    if sent.call.is_marked() {
        assert!(runs.len() <= 1, "run twice: {sent:?} {runs:?}");
    }
    match sent.outcome() {
        "answered" => {
            let answer = sent.answer.as_ref().expect("an outcome comes in an answer");
            assert_eq!(answer.text, sent.call.expected(), "{sent:?}");
            assert!(!runs.is_empty(), "answered without a run: {sent:?}");
        }
        "not-run" => {
            // A keyed call may run at a later sending.
            let mut ran = runs.iter();
            let lie = ran.find(|run| !sent.call.is_keyed() || run.started_wall_ms < sent.ended_ms);
            assert!(lie.is_none(), "told not-run, but ran: {sent:?} {lie:?}");
            let answer = sent.answer.as_ref().expect("an outcome comes in an answer");
            let retryable = matches!(answer.status, 429 | 503 | 504);
            let told_when = answer.retry_after.is_some();
            assert!(told_when || !retryable, "no Retry-After: {sent:?}");
        }
        _ => {}
    }
}

/// Prompt or text that a run was asked for.
fn run_prompt(run: &RunRecord) -> String {
    let body: Value = serde_json::from_str(&run.body).expect("a run's body is JSON");
    let prompt = body["prompt"].as_str().or(body["text"].as_str());
    prompt.expect("a run has a prompt").to_owned()
}

fn check_missing(missing: &Missing, runs: &[RunRecord]) {
    let bound_ms = missing.from_ms + SHORT_GROUP_BOUND_MS;
    let end_ms = missing.to_ms.unwrap_or_else(wall_ms);
    for run in runs.iter().filter(|run| run.members.contains(&missing.vm)) {
        let started_ms = run.started_wall_ms;
        let is_short = started_ms > bound_ms && started_ms < end_ms;
        assert!(
            !is_short,
            "run on a group without a member: {missing:?} {run:?}"
        );
    }
}

/// All runs in the log files of a folder.
pub fn read_run_logs(folder: &Path) -> Vec<RunRecord> {
    let entries = fs::read_dir(folder).expect("the folder can be read");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let logs = paths.filter(|path| path.extension().is_some_and(|ending| ending == "jsonl"));
    let mut runs = Vec::new();
    for log in logs {
        let text = fs::read_to_string(&log).expect("a run log can be read");
        // A process killed while writing leaves half a line, of a run that never began.
        let lines = text
            .split_inclusive('\n')
            .filter(|line| line.ends_with('\n'));
        runs.extend(lines.map(|line| {
            serde_json::from_str::<RunRecord>(line).expect("a line of a run log is a run")
        }));
    }
    runs
}
