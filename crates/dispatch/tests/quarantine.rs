//! Tests of the quarantine of requests and parts of prompts, of single decisions and in a simulated fleet.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_dispatch::{
    Admission, CrashId, Quarantine, RecordWrite, RequestContent, SuspectId, SuspectRecord,
    Suspicion,
};
use jacinthpoint_types::{PromptPartId, PromptParts, RequestDigest, TimeMs};
use quickcheck::{Arbitrary, Gen};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

/// Time after which a part that fulfils the conditions is in quarantine in any case.
const CONFIRMED_MS: u64 = 1_000;

fn part(id: u128) -> PromptPartId {
    PromptPartId(id)
}

fn part_suspect(id: u128) -> SuspectId {
    SuspectId::Part(part(id))
}

/// Returns a request whose prompt has these parts, of which the last one tells its content apart.
fn prompt(shared: &[u128], last: u128) -> RequestContent {
    RequestContent {
        parts: Some(PromptParts {
            shared: shared.iter().copied().map(PromptPartId).collect(),
            last: part(last),
        }),
        digest: Some(RequestDigest(last)),
    }
}

/// Returns a request that names no parts.
fn plain(digest: u128) -> RequestContent {
    RequestContent {
        parts: None,
        digest: Some(RequestDigest(digest)),
    }
}

fn crash(upstream: usize, started_unix_ms: u64) -> CrashId {
    CrashId {
        upstream: format!("i-{upstream}").parse().expect("valid VM name"),
        started_unix_ms,
    }
}

/// Parts of the cases: one that crashes upstreams, and others.
const CRASHING: u128 = 0xdead;
const FIRST: u128 = 1;
const OTHER: u128 = 2;

/// Records the crashes of these requests, each at another upstream, and returns the parts in
/// quarantine after the time of confirmation.
fn quarantined_after(quarantine: &mut Quarantine, crashes: &[(usize, &[u128], u128)]) -> Vec<u128> {
    for (upstream, shared, last) in crashes {
        quarantine.on_crash(&prompt(shared, *last), &crash(*upstream, 1), TimeMs(10_000));
    }
    quarantine.update(TimeMs(10_000));
    quarantine.update(TimeMs(10_000 + CONFIRMED_MS));
    [FIRST, OTHER, CRASHING]
        .into_iter()
        .filter(|id| quarantine.quarantined(&prompt(&[*id], 99)).is_some())
        .collect()
}

/// Defines tests of which parts are in quarantine after crashes: name, crashes as upstream, shared
/// parts and last part, parts in quarantine.
macro_rules! crashes {
    ($($name:ident: [$(($upstream:expr, $shared:expr, $last:expr)),*] => $expected:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let mut quarantine = Quarantine::default();
                let crashes: &[(usize, &[u128], u128)] = &[$(($upstream, &$shared, $last)),*];
                assert_eq!(quarantined_after(&mut quarantine, crashes), $expected);
            }
        )+
    };
}

crashes! {
    part_at_three_crashes_is_quarantined:
        [(0, [CRASHING], 10), (1, [CRASHING], 10), (2, [CRASHING], 11)] => [CRASHING],
    // Guards against a caller whose one request meets several crashes by chance.
    part_of_one_prompt_is_not_quarantined:
        [(0, [CRASHING], 10), (1, [CRASHING], 10), (2, [CRASHING], 10)] => [0; 0],
    part_at_two_crashes_is_not_quarantined:
        [(0, [CRASHING], 10), (0, [CRASHING], 11), (1, [CRASHING], 12)] => [0; 0],
    // Guards against harmless requests that are refused because of the part before the crashing one.
    part_before_the_crashing_one_is_not_quarantined:
        [(0, [FIRST, CRASHING], 10), (1, [FIRST, CRASHING], 10), (2, [FIRST, CRASHING], 11)] => [CRASHING],
    // Guards against harmless requests that are refused because they were at the same upstreams.
    part_at_the_same_crashes_is_not_quarantined:
        [(0, [FIRST, CRASHING], 10), (1, [FIRST, CRASHING], 10), (2, [FIRST, CRASHING], 11),
         (0, [FIRST], 20), (1, [FIRST], 21), (2, [FIRST], 22), (0, [OTHER], 30), (1, [OTHER], 31),
         (2, [OTHER], 32)] => [CRASHING],
    first_part_with_changing_later_parts_is_quarantined:
        [(0, [FIRST, OTHER], 10), (1, [FIRST], 11), (2, [FIRST, CRASHING], 12)] => [FIRST],
    // The later part is taken first, until there are crashes without it.
    first_part_replaces_a_later_one_that_does_not_explain_all:
        [(0, [FIRST, OTHER], 10), (1, [FIRST, OTHER], 11), (2, [FIRST, OTHER], 12),
         (3, [FIRST], 13), (4, [FIRST], 14), (5, [FIRST], 15)] => [FIRST],
    two_crashing_parts_are_both_quarantined:
        [(0, [OTHER], 10), (1, [OTHER], 11), (2, [OTHER], 12),
         (3, [CRASHING], 13), (4, [CRASHING], 14), (5, [CRASHING], 15)] => [OTHER, CRASHING],
}

/// Records the crashes of these requests, each at another upstream, and returns the digests in quarantine
/// after the time of confirmation.
fn quarantined_requests(crashes: &[(usize, RequestContent)]) -> Vec<u128> {
    let mut quarantine = Quarantine::default();
    for (upstream, content) in crashes {
        quarantine.on_crash(content, &crash(*upstream, 1), TimeMs(10_000));
    }
    quarantine.update(TimeMs(10_000));
    quarantine.update(TimeMs(10_000 + CONFIRMED_MS));
    [10, 11, 12, CRASHING]
        .into_iter()
        .filter(|digest| quarantine.quarantined(&plain(*digest)).is_some())
        .collect()
}

/// Defines tests of which requests are in quarantine after crashes: name, crashes as upstream and
/// content, digests in quarantine.
macro_rules! request_crashes {
    ($($name:ident: [$(($upstream:expr, $content:expr)),*] => $expected:expr,)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(quarantined_requests(&[$(($upstream, $content)),*]), $expected);
            }
        )+
    };
}

request_crashes! {
    request_at_three_crashes_is_quarantined:
        [(0, plain(CRASHING)), (1, plain(CRASHING)), (2, plain(CRASHING))] => [CRASHING],
    request_at_two_crashes_is_not_quarantined:
        [(0, plain(CRASHING)), (0, plain(CRASHING)), (1, plain(CRASHING))] => [0; 0],
    // Guards against harmless requests that are refused because they were at the same upstreams.
    request_at_some_of_the_crashes_is_not_quarantined:
        [(0, plain(10)), (1, plain(10)), (2, plain(10)), (0, plain(CRASHING)), (1, plain(CRASHING)),
         (2, plain(CRASHING)), (3, plain(CRASHING))] => [CRASHING],
    // Guards against many requests that are refused because upstreams crash for another reason.
    requests_at_the_same_crashes_are_quarantined_only_as_needed:
        [(0, plain(10)), (1, plain(10)), (2, plain(10)), (0, plain(11)), (1, plain(11)), (2, plain(11)),
         (0, plain(12)), (1, plain(12)), (2, plain(12))] => [10],
    // A caller that retries a request with the crashing part meets several crashes with it.
    request_with_a_crashing_part_is_left_out:
        [(0, prompt(&[CRASHING], 10)), (1, prompt(&[CRASHING], 10)), (2, prompt(&[CRASHING], 10)),
         (3, prompt(&[CRASHING], 11)), (4, prompt(&[CRASHING], 11))] => [0; 0],
}

/// Guards against sound requests that are refused for a part that they share with a crashing request.
#[test]
fn part_of_a_crashing_request_is_not_quarantined() {
    let mut quarantine = Quarantine::default();
    let crashes: &[(usize, &[u128], u128)] = &[
        (0, &[FIRST], 10),
        (1, &[FIRST], 10),
        (2, &[FIRST], 10),
        (1, &[FIRST], 20),
        (3, &[FIRST], 21),
    ];
    assert_eq!(quarantined_after(&mut quarantine, crashes), [0; 0]);
    assert!(quarantine.quarantined(&plain(10)).is_some());
}

/// Guards against harmless requests that take the blame from a part, each for some of its crashes.
#[test]
fn requests_at_some_crashes_of_a_part_are_not_quarantined() {
    let mut quarantine = Quarantine::default();
    for upstream in 0..6 {
        let crash = crash(upstream, 1);
        let crashing = prompt(&[CRASHING], 30 + upstream as u128);
        quarantine.on_crash(&crashing, &crash, TimeMs(10_000));
        let harmless = plain(10 + upstream as u128 / 3);
        quarantine.on_crash(&harmless, &crash, TimeMs(10_000));
    }
    assert_eq!(quarantined_after(&mut quarantine, &[]), [CRASHING]);
    assert_eq!(quarantine.len(), 1);
}

/// Guards against a request that is refused although it is answered in between.
#[test]
fn answered_request_needs_three_crashes_again() {
    let mut quarantine = Quarantine::default();
    let request = plain(10);
    for upstream in 0..4 {
        if upstream == 2 {
            quarantine.on_answer(&request, TimeMs(10_000));
        }
        quarantine.on_crash(&request, &crash(upstream, 1), TimeMs(10_000));
    }
    assert_eq!(quarantined_after(&mut quarantine, &[]), [0; 0]);
    assert!(quarantine.is_empty());
}

/// A request that is answered soon after its crash costs no call to the store.
#[test]
fn request_is_recorded_only_after_a_pause() {
    let mut quarantine = Quarantine::default();
    quarantine.on_crash(&plain(10), &crash(0, 1), TimeMs(10_000));
    assert!(quarantine.due_writes(false, TimeMs(10_300)).is_empty());
    assert_eq!(quarantine.due_writes(false, TimeMs(10_500)).len(), 1);
    quarantine.on_answer(&plain(10), TimeMs(10_600));
    assert!(quarantine.due_writes(false, TimeMs(10_600)).is_empty());
}

#[test]
fn harmless_part_needs_one_crash_more_and_is_cleared_by_an_answer() {
    let mut quarantine = Quarantine::default();
    quarantine.on_answer(&prompt(&[OTHER], 5), TimeMs(9_000));
    let crashes: &[(usize, &[u128], u128)] =
        &[(0, &[OTHER], 10), (1, &[OTHER], 11), (2, &[OTHER], 12)];
    assert_eq!(quarantined_after(&mut quarantine, crashes), [0; 0]);
    quarantine.on_answer(&prompt(&[OTHER], 6), TimeMs(12_000));
    assert_eq!(quarantined_after(&mut quarantine, &crashes[1..]), [0; 0]);
}

/// Guards against a quarantine that ends for a moment when many upstreams crash at once, since the
/// part before the crashing one then seems to explain all crashes.
#[test]
fn quarantine_stays_while_many_upstreams_crash_for_another_reason() {
    let mut quarantine = Quarantine::default();
    let crashes: &[(usize, &[u128], u128)] = &[
        (0, &[FIRST, CRASHING], 10),
        (1, &[FIRST, CRASHING], 11),
        (2, &[FIRST, CRASHING], 12),
    ];
    assert_eq!(quarantined_after(&mut quarantine, crashes), [CRASHING]);
    for upstream in 3..8 {
        let crash = crash(upstream, 1);
        quarantine.on_crash(
            &prompt(&[FIRST], 20 + upstream as u128),
            &crash,
            TimeMs(12_000),
        );
    }
    assert!(quarantine.update(TimeMs(12_000)).is_empty());
    quarantine.on_answer(&prompt(&[FIRST], 30), TimeMs(12_200));
    assert!(quarantine.update(TimeMs(12_200)).is_empty());
    assert!(quarantine.update(TimeMs(14_000)).is_empty());
    assert_eq!(quarantine.len(), 1);
}

#[test]
fn restarted_upstream_counts_as_another_crash() {
    let mut quarantine = Quarantine::default();
    for (started_unix_ms, last) in [(1, 10), (2, 11), (3, 12)] {
        let crash = crash(0, started_unix_ms);
        quarantine.on_crash(&prompt(&[CRASHING], last), &crash, TimeMs(10_000));
    }
    assert_eq!(quarantined_after(&mut quarantine, &[]), [CRASHING]);
}

/// Returns the record of a crashing part.
fn record() -> SuspectRecord {
    let suspicion = |index: usize| Suspicion {
        crash: crash(index, 1),
        prompt: Some(part(index as u128)),
        digest: None,
        position: 0,
        beside: Vec::new(),
        was_answered: false,
    };
    SuspectRecord {
        suspicions: (0..3).map(suspicion).collect(),
        trials: 0,
    }
}

#[test]
fn records_of_other_gateways_count() {
    let mut quarantine = Quarantine::default();
    quarantine.on_list(
        vec![(part_suspect(CRASHING), record(), 7)],
        false,
        TimeMs(9_000),
    );
    assert_eq!(quarantined_after(&mut quarantine, &[]), [CRASHING]);
    assert!(quarantine.due_writes(true, TimeMs(11_000)).is_empty());
}

#[test]
fn removed_record_ends_the_quarantine() {
    let mut quarantine = Quarantine::default();
    quarantine.on_record(part_suspect(CRASHING), record(), 7, TimeMs(9_000));
    assert_eq!(quarantined_after(&mut quarantine, &[]), [CRASHING]);
    quarantine.on_list(Vec::new(), false, TimeMs(11_000));
    quarantine.update(TimeMs(11_000));
    assert!(quarantine.is_empty());
}

/// Guards against a store that was restored from a copy without the record.
#[test]
fn record_that_a_restored_store_lacks_is_written_again() {
    let mut quarantine = Quarantine::default();
    quarantine.on_record(part_suspect(CRASHING), record(), 7, TimeMs(9_000));
    assert_eq!(quarantined_after(&mut quarantine, &[]), [CRASHING]);
    quarantine.on_list(Vec::new(), true, TimeMs(11_000));
    quarantine.update(TimeMs(11_000));
    assert_eq!(quarantine.len(), 1);
    let due = quarantine.due_writes(false, TimeMs(11_000));
    assert_eq!(
        due,
        [(part_suspect(CRASHING), RecordWrite::Create(record()))]
    );
}

#[test]
fn record_is_removed_by_one_gateway_when_its_time_is_over() {
    let mut quarantine = Quarantine::default();
    quarantine.on_record(part_suspect(CRASHING), record(), 7, TimeMs(9_000));
    assert_eq!(quarantined_after(&mut quarantine, &[]), [CRASHING]);
    let later = TimeMs(10_000 + 3_700_000);
    assert!(quarantine.due_writes(false, later).is_empty());
    let due = quarantine.due_writes(true, later);
    assert_eq!(due, [(part_suspect(CRASHING), RecordWrite::Remove(7))]);
}

/// Guards against a record that is written on and on because it is full.
#[test]
fn full_record_takes_the_newest_suspicions() {
    let mut quarantine = Quarantine::default();
    quarantine.on_record(part_suspect(CRASHING), record(), 7, TimeMs(9_000));
    for index in 10..60 {
        let crash = crash(index, 1);
        quarantine.on_crash(&prompt(&[CRASHING], index as u128), &crash, TimeMs(10_000));
    }
    let due = quarantine.due_writes(false, TimeMs(10_000));
    let [(id, RecordWrite::Replace(7, record))] = due.as_slice() else {
        panic!("one record is written: {due:?}");
    };
    assert_eq!(record.suspicions.len(), 16);
    assert_eq!(
        record.suspicions.last().map(|last| &last.crash),
        Some(&crash(59, 1))
    );
    quarantine.on_record(*id, record.clone(), 8, TimeMs(10_000));
    assert!(quarantine.due_writes(false, TimeMs(10_000)).is_empty());
}

/// Guards against requests that crash upstreams while a gateway that starts waits.
#[test]
fn listed_part_is_quarantined_at_once() {
    let mut quarantine = Quarantine::default();
    quarantine.on_list(
        vec![(part_suspect(CRASHING), record(), 7)],
        false,
        TimeMs(9_000),
    );
    quarantine.update(TimeMs(9_000));
    assert_eq!(quarantine.len(), 1);
}

/// Returns what a gateway with these parts in quarantine decides on a request at `now`, and what it writes.
fn admit(
    quarantine: &mut Quarantine,
    content: &RequestContent,
    now: u64,
) -> (Admission, Vec<(SuspectId, RecordWrite)>) {
    let admission = quarantine.admit(content, &[], true, TimeMs(now));
    (admission, quarantine.due_writes(false, TimeMs(now)))
}

/// Returns a record like [`record`], of a part that was answered shortly before.
fn answered_record(trials: u32) -> SuspectRecord {
    let mut record = record();
    record
        .suspicions
        .iter_mut()
        .for_each(|suspicion| suspicion.was_answered = true);
    SuspectRecord { trials, ..record }
}

/// Returns a gateway that has had the part with this record in quarantine since 10,000 ms.
fn with_quarantined(record: SuspectRecord) -> Quarantine {
    let mut quarantine = Quarantine::default();
    let list = vec![(part_suspect(CRASHING), record, 7)];
    quarantine.on_list(list, false, TimeMs(10_000));
    quarantine.update(TimeMs(10_000));
    assert_eq!(quarantine.len(), 1);
    quarantine
}

const REFUSED: Admission = Admission::Refused(SuspectId::Part(PromptPartId(CRASHING)));

/// Guards against an application that is refused for an hour after all its upstreams crashed at once.
#[test]
fn answered_trial_ends_the_quarantine() {
    let mut quarantine = with_quarantined(answered_record(0));
    let request = prompt(&[CRASHING], 10);
    assert_eq!(
        admit(&mut quarantine, &request, 12_900),
        (REFUSED, Vec::new())
    );
    let (admission, due) = admit(&mut quarantine, &request, 13_000);
    assert_eq!(admission, REFUSED);
    let counted = RecordWrite::CountTrial(7, answered_record(1));
    assert_eq!(due, [(part_suspect(CRASHING), counted)]);
    quarantine.on_record(
        part_suspect(CRASHING),
        answered_record(1),
        8,
        TimeMs(13_010),
    );
    quarantine.on_trial_counted(part_suspect(CRASHING), TimeMs(13_010));
    let trial = Admission::Trial(vec![part_suspect(CRASHING)]);
    let (admission, due) = admit(&mut quarantine, &request, 13_100);
    assert_eq!((admission, due), (trial, Vec::new()));
    assert_eq!(
        admit(&mut quarantine, &request, 13_110),
        (REFUSED, Vec::new())
    );
    quarantine.on_answer(&request, TimeMs(13_500));
    quarantine.update(TimeMs(13_500));
    assert!(quarantine.is_empty());
    let due = quarantine.due_writes(false, TimeMs(13_500));
    assert_eq!(due, [(part_suspect(CRASHING), RecordWrite::Remove(8))]);
}

/// Guards against each gateway sending a trial of its own: only the one that counted it may.
#[test]
fn trial_of_another_gateway_puts_off_the_next_one() {
    let mut quarantine = with_quarantined(answered_record(0));
    let request = prompt(&[CRASHING], 10);
    quarantine.on_record(
        part_suspect(CRASHING),
        answered_record(1),
        8,
        TimeMs(13_010),
    );
    for now in [13_020, 20_000, 25_000] {
        assert_eq!(admit(&mut quarantine, &request, now), (REFUSED, Vec::new()));
    }
    let (_, due) = admit(&mut quarantine, &request, 25_010);
    let counted = RecordWrite::CountTrial(8, answered_record(2));
    assert_eq!(due, [(part_suspect(CRASHING), counted)]);
}

/// Guards against trials of a part that nobody ever had an answer on, each of which crashes an upstream.
#[test]
fn part_that_was_never_answered_is_tried_only_after_a_minute() {
    let mut quarantine = with_quarantined(record());
    let request = prompt(&[CRASHING], 10);
    for now in [13_000, 40_000, 69_900] {
        assert_eq!(admit(&mut quarantine, &request, now), (REFUSED, Vec::new()));
    }
    let (_, due) = admit(&mut quarantine, &request, 70_000);
    assert_eq!(due.len(), 1);
}

/// Guards against a trial that is counted and never sent, since no upstream takes the request.
#[test]
fn request_that_no_upstream_would_take_makes_no_trial_due() {
    let mut quarantine = with_quarantined(answered_record(0));
    let admission = quarantine.admit(&prompt(&[CRASHING], 10), &[], false, TimeMs(20_000));
    assert_eq!(admission, REFUSED);
    assert!(quarantine.due_writes(false, TimeMs(20_000)).is_empty());
}

/// Guards against trials of requests that a suspected part without a quarantine is in.
#[test]
fn request_without_anything_in_quarantine_is_free() {
    let mut quarantine = with_quarantined(record());
    let admission = quarantine.admit(&prompt(&[FIRST], 10), &[], true, TimeMs(20_000));
    assert_eq!(admission, Admission::Free);
}

/// Time after the counted crashes from which the crashing requests count.
const STABLE_MS: u64 = 3_000;
const MAX_ARRIVALS: usize = 3;
const STEP_MS: u64 = 10;
const END_MS: u64 = 24_000;
/// Time from which requests with the crashing part come.
const CRASHING_FROM_MS: u64 = 3_000;
const UPSTREAMS: usize = 24;
/// Part of all prompts of an application.
const COMMON: u128 = 0xc0;
/// Number of first parts of harmless prompts.
const FIRST_PARTS: u128 = 40;
/// Time for which an upstream reads a prompt at most, then writes until the second event.
const MAX_READ_MS: u64 = 400;
const WRITE_MS: u64 = 150;
const RESTART_MS: u64 = 3_000;
/// Attempts of a request.
const ATTEMPTS: u32 = 2;
/// Probability of a request with the crashing part in each step: two a second.
const CRASHING_RATE: f64 = 0.02;
/// Maximum time until a change of the store reaches a gateway.
const MAX_LAG_MS: u64 = 500;

/// Disturbance of the fleet.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A gateway does nothing for some seconds.
    Freeze { gateway: usize, for_ms: u64 },
    /// A gateway loses its state.
    Restart { gateway: usize },
    /// All gateways lose their state.
    RestartAll,
    /// A gateway is added.
    Add,
    /// The answers of the store to writes are lost for a time.
    LostAnswers { for_ms: u64 },
    /// Several upstreams crash without a request as the cause.
    Crashes { count: usize },
}

impl Arbitrary for Event {
    fn arbitrary(gen_: &mut Gen) -> Event {
        let gateway = usize::arbitrary(gen_) % 64;
        let for_ms = 500 + u64::arbitrary(gen_) % 4_000;
        match u8::arbitrary(gen_) % 10 {
            0..=2 => Event::Freeze { gateway, for_ms },
            3 | 4 => Event::Restart { gateway },
            5 => Event::RestartAll,
            6 => Event::Add,
            7 => Event::LostAnswers { for_ms },
            _ => Event::Crashes {
                count: 1 + gateway % 8,
            },
        }
    }
}

/// What crashes upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// A part of prompts, which differ otherwise.
    Part,
    /// One request that comes again and names parts of its prompt.
    Request,
    /// One request that comes again and names no parts.
    PlainRequest,
    /// A part that was in all prompts before, and in harmless answers.
    CommonPart,
    /// Nothing; all prompts share a part.
    Nothing,
}

impl Cause {
    /// Returns the number of crashes after which arrivals count.
    fn counted_crashes(self) -> usize {
        match self {
            Cause::Part | Cause::CommonPart | Cause::Nothing => 5,
            Cause::Request | Cause::PlainRequest => 3,
        }
    }
}

/// Returns whether a request crashes upstreams.
fn is_crashing(content: &RequestContent, cause: Cause, now: u64) -> bool {
    let parts = content.parts.as_ref();
    let has_part = |id| parts.is_some_and(|parts| parts.shared.contains(&part(id)));
    match cause {
        Cause::CommonPart => now >= CRASHING_FROM_MS && has_part(COMMON),
        Cause::Nothing => false,
        _ => content.digest == Some(RequestDigest(CRASHING)) || has_part(CRASHING),
    }
}

/// One gateway.
struct Node {
    quarantine: Quarantine,
    /// Number of changes of the store that it has read.
    read: usize,
    has_listed: bool,
    frozen_until: u64,
    /// Time since which nothing has disturbed it.
    calm_since: u64,
    lag_ms: u64,
    /// Events that it has not handled, because it was frozen: crashes and answers.
    missed: Vec<(bool, RequestContent, CrashId)>,
}

/// A request at an upstream.
struct Attempt {
    node: usize,
    content: RequestContent,
    upstream: usize,
    /// Time at which the upstream begins to write.
    writes_at: u64,
    attempts: u32,
}

/// Change of the store: its time, the part, and its record and revision, `None` if it was removed.
type StoreChange = (u64, SuspectId, Option<(SuspectRecord, u64)>);

struct Fleet {
    nodes: Vec<Node>,
    store: BTreeMap<SuspectId, (SuspectRecord, u64)>,
    changes: Vec<StoreChange>,
    lost_until: u64,
    /// Start of each upstream's incarnation; it is away until then.
    started: Vec<u64>,
    attempts: Vec<Attempt>,
    last_part: u128,
    crashes: Vec<u64>,
    /// Times of arrivals with the crashing part, from gateways that nothing disturbed.
    arrivals: Vec<u64>,
    cause: Cause,
    /// Probability of a harmless request in each step.
    harmless_rate: f64,
    rng: SmallRng,
}

impl Fleet {
    fn new(gateways: usize, cause: Cause, harmless_rate: f64, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            nodes: Vec::new(),
            store: BTreeMap::new(),
            changes: Vec::new(),
            lost_until: 0,
            started: vec![0; UPSTREAMS],
            attempts: Vec::new(),
            last_part: 1_000_000,
            crashes: Vec::new(),
            arrivals: Vec::new(),
            cause,
            harmless_rate,
            rng: SmallRng::seed_from_u64(seed),
        };
        for _ in 0..gateways {
            let node = fleet.new_node(0);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn new_node(&mut self, now: u64) -> Node {
        Node {
            quarantine: Quarantine::default(),
            read: 0,
            has_listed: false,
            frozen_until: now,
            calm_since: now,
            lag_ms: self.rng.random_range(20..MAX_LAG_MS),
            missed: Vec::new(),
        }
    }

    fn apply(&mut self, event: Event, now: u64) {
        match event {
            Event::Freeze { gateway, for_ms } => {
                let index = gateway % self.nodes.len();
                self.nodes[index].frozen_until = now + for_ms;
                self.nodes[index].calm_since = now + for_ms;
            }
            Event::Restart { gateway } => {
                let index = gateway % self.nodes.len();
                self.restart(index, now);
            }
            Event::RestartAll => (0..self.nodes.len()).for_each(|index| self.restart(index, now)),
            Event::Add => {
                let node = self.new_node(now);
                self.nodes.push(node);
            }
            Event::LostAnswers { for_ms } => self.lost_until = now + for_ms,
            Event::Crashes { count } => {
                for _ in 0..count {
                    let upstream = self.rng.random_range(0..UPSTREAMS);
                    self.crash(upstream, now);
                }
            }
        }
    }

    fn restart(&mut self, index: usize, now: u64) {
        self.nodes[index] = self.new_node(now);
        self.attempts.retain(|attempt| attempt.node != index);
    }

    /// Sends a request unless its prompt is in quarantine at the gateway.
    fn send(&mut self, node: usize, content: RequestContent, attempts: u32, now: u64) {
        let up: Vec<usize> = (0..UPSTREAMS)
            .filter(|upstream| self.started[*upstream] <= now)
            .collect();
        let gateway = &mut self.nodes[node];
        let quarantine = &mut gateway.quarantine;
        let is_refused = match attempts {
            0 => {
                let admission = quarantine.admit(&content, &[], !up.is_empty(), TimeMs(now));
                matches!(admission, Admission::Refused(_))
            }
            _ => quarantine.quarantined(&content).is_some(),
        };
        if now < gateway.frozen_until || is_refused {
            return;
        }
        let Some(upstream) = up.choose(&mut self.rng).copied() else {
            return;
        };
        if is_crashing(&content, self.cause, now) && now >= gateway.calm_since + STABLE_MS {
            self.arrivals.push(now);
        }
        self.attempts.push(Attempt {
            node,
            content,
            upstream,
            writes_at: now + self.rng.random_range(20..MAX_READ_MS),
            attempts: attempts + 1,
        });
    }

    /// Crashes an upstream with all requests that it has not answered.
    fn crash(&mut self, upstream: usize, now: u64) {
        if self.started[upstream] > now {
            return;
        }
        let crash = crash(upstream, self.started[upstream]);
        self.started[upstream] = now + RESTART_MS;
        let (lost, kept) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition::<Vec<_>, _>(|attempt| attempt.upstream == upstream);
        self.attempts = kept;
        for attempt in lost {
            self.notify(attempt.node, true, &attempt.content, &crash, now);
            if attempt.attempts < ATTEMPTS {
                self.send(attempt.node, attempt.content, attempt.attempts, now);
            }
        }
    }

    /// Tells a gateway of a crash, or else of an answer.
    fn notify(
        &mut self,
        node: usize,
        is_crash: bool,
        content: &RequestContent,
        crash: &CrashId,
        now: u64,
    ) {
        let node = &mut self.nodes[node];
        if now < node.frozen_until {
            node.missed.push((is_crash, content.clone(), crash.clone()));
        } else if is_crash {
            node.quarantine.on_crash(content, crash, TimeMs(now));
        } else {
            node.quarantine.on_answer(content, TimeMs(now));
        }
    }

    fn serve(&mut self, now: u64) {
        while let Some(index) = self.attempts.iter().position(|attempt| {
            now >= attempt.writes_at
                + if is_crashing(&attempt.content, self.cause, now) {
                    0
                } else {
                    WRITE_MS
                }
        }) {
            let upstream = self.attempts[index].upstream;
            if is_crashing(&self.attempts[index].content, self.cause, now) {
                self.crash(upstream, now);
                self.crashes.push(now);
            } else {
                let attempt = self.attempts.swap_remove(index);
                let crash = crash(upstream, 0);
                self.notify(attempt.node, false, &attempt.content, &crash, now);
            }
        }
    }

    /// Writes a change to the store, and returns what the gateway is told.
    fn write(
        &mut self,
        id: SuspectId,
        write: RecordWrite,
        now: u64,
    ) -> Option<(SuspectRecord, u64)> {
        let current = self.store.get(&id).cloned();
        let next = match (&current, write) {
            (None, RecordWrite::Create(record)) => Some(record),
            (
                Some((_, revision)),
                RecordWrite::Replace(expected, record) | RecordWrite::CountTrial(expected, record),
            ) if *revision == expected => Some(record),
            (Some((_, revision)), RecordWrite::Remove(expected)) if *revision == expected => {
                self.store.remove(&id);
                self.changes.push((now, id, None));
                return None;
            }
            _ => return current,
        };
        let next = next.map(|record| (record, self.changes.len() as u64 + 1));
        self.changes.push((now, id, next.clone()));
        self.store.extend(next.clone().map(|next| (id, next)));
        next
    }

    fn step(&mut self, now: u64) {
        self.serve(now);
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if now < node.frozen_until {
                continue;
            }
            for (is_crash, content, crash) in std::mem::take(&mut node.missed) {
                self.notify(index, is_crash, &content, &crash, now);
            }
            let node = &mut self.nodes[index];
            if !node.has_listed && now >= node.calm_since + node.lag_ms {
                let list = self.store.iter();
                let list = list.map(|(id, (record, revision))| (*id, record.clone(), *revision));
                node.quarantine.on_list(list.collect(), false, TimeMs(now));
                node.read = self.changes.len();
                node.has_listed = true;
            }
            while node.has_listed
                && let Some((at, id, record)) = self.changes.get(node.read)
                && now >= at + node.lag_ms
            {
                node.read += 1;
                match record.clone() {
                    Some((record, revision)) => {
                        node.quarantine
                            .on_record(*id, record, revision, TimeMs(now));
                    }
                    None => node.quarantine.on_removed(*id),
                }
            }
            node.quarantine.update(TimeMs(now));
            if now.is_multiple_of(50) {
                for (id, write) in node.quarantine.due_writes(index == 0, TimeMs(now)) {
                    let counts_trial = match &write {
                        RecordWrite::CountTrial(expected, _) => {
                            let current = self.store.get(&id);
                            current.is_some_and(|(_, revision)| revision == expected)
                        }
                        _ => false,
                    };
                    let answer = self.write(id, write, now);
                    let quarantine = &mut self.nodes[index].quarantine;
                    match answer {
                        _ if now < self.lost_until => {}
                        Some((record, revision)) => {
                            quarantine.on_record(id, record, revision, TimeMs(now));
                            if counts_trial {
                                quarantine.on_trial_counted(id, TimeMs(now));
                            }
                        }
                        None => quarantine.on_removed(id),
                    }
                }
            }
        }
        self.add_requests(now);
    }

    fn add_requests(&mut self, now: u64) {
        let draws = [(self.harmless_rate, false), (CRASHING_RATE, true)];
        for (probability, is_crashing) in draws {
            if !self.rng.random_bool(probability) || (is_crashing && now < CRASHING_FROM_MS) {
                continue;
            }
            self.last_part += 1;
            // A few first parts are in most requests; the crashing part comes after one of these.
            // Likewise, a few plain requests come again and again.
            let first = self.rng.random_range(0.0..1.0_f64).powi(2) * FIRST_PARTS as f64;
            let first = 0x100 + first as u128;
            let content = match (is_crashing, self.cause) {
                (true, Cause::Part) => prompt(&[0x100, CRASHING], self.last_part),
                (true, Cause::Request) => prompt(&[0x100], CRASHING),
                (true, Cause::PlainRequest) => plain(CRASHING),
                (true, Cause::CommonPart | Cause::Nothing) => continue,
                (false, Cause::CommonPart | Cause::Nothing) => prompt(&[COMMON], self.last_part),
                (false, Cause::PlainRequest) => plain(first),
                (false, _) => prompt(&[first], self.last_part),
            };
            let node = self.rng.random_range(0..self.nodes.len());
            self.send(node, content, 0, now);
        }
    }
}

/// Plays a fleet and returns the fault that it found.
fn play(
    gateways: usize,
    cause: Cause,
    harmless_rate: f64,
    seed: u64,
    events: &[(u64, Event)],
) -> Result<(), String> {
    let mut fleet = Fleet::new(gateways, cause, harmless_rate, seed);
    let mut events: Vec<_> = events.to_vec();
    events.sort_by_key(|(at, _)| *at);
    let mut now = 0;
    while now < END_MS {
        while events.first().is_some_and(|(at, _)| *at <= now) {
            let (_, event) = events.remove(0);
            fleet.apply(event, now);
        }
        fleet.step(now);
        now += STEP_MS;
    }
    let Some(counted_from) = fleet.crashes.get(cause.counted_crashes() - 1) else {
        return Ok(());
    };
    let counted = fleet.arrivals.iter();
    let arrivals = counted.filter(|at| **at > counted_from + STABLE_MS).count();
    if arrivals > MAX_ARRIVALS {
        return Err(format!("{arrivals} requests that crash upstreams"));
    }
    let harmless = (0..FIRST_PARTS).map(|index| 0x100 + index);
    let harmless = harmless.chain((cause == Cause::Nothing).then_some(COMMON));
    let refused: BTreeSet<u128> = harmless
        .filter(|id| {
            let contents = [prompt(&[*id], 0), plain(*id)];
            let mut nodes = fleet.nodes.iter();
            nodes.any(|node| {
                let mut contents = contents.iter();
                contents.any(|content| node.quarantine.quarantined(content).is_some())
            })
        })
        .collect();
    if !refused.is_empty() {
        return Err(format!("harmless requests in quarantine: {refused:x?}"));
    }
    Ok(())
}

/// Number of cases, from the environment for runs by hand.
fn cases(variable: &str, default: u64) -> u64 {
    let cases = std::env::var(variable).ok();
    cases.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Plays fleets of this size with random disturbances, with many harmless requests and with few.
fn check_fleets(gateways: usize, cause: Cause, count: u64) {
    let seed = cases("JACINTHPOINT_QUARANTINE_SEED", 1);
    let mut gen_ = Gen::from_size_and_seed(12, seed);
    for index in 0..count {
        let events: Vec<(u64, Event)> = Vec::<(u64, Event)>::arbitrary(&mut gen_)
            .into_iter()
            .map(|(at, event)| (at % END_MS, event))
            .collect();
        let harmless_rate = if index.is_multiple_of(2) { 1.0 } else { 0.1 };
        let result = play(
            gateways,
            cause,
            harmless_rate,
            seed * 1_000_000 + index,
            &events,
        );
        assert_eq!(result, Ok(()), "seed {seed}, case {index}: {events:?}");
    }
}

/// Defines tests of fleets whose gateways come, go, freeze and learn late: name, what crashes upstreams.
macro_rules! fleets {
    ($($(#[$meta:meta])* $name:ident: $cause:expr,)+) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                check_fleets(6, $cause, cases("JACINTHPOINT_QUARANTINE_CASES", 40));
                check_fleets(60, $cause, cases("JACINTHPOINT_QUARANTINE_CASES", 40) / 8);
            }
        )+
    };
}

fleets! {
    /// Guards against rule BUDGET in such fleets, and against harmless parts that stay refused.
    crashing_part_is_kept_away_while_gateways_come_go_freeze_and_learn_late: Cause::Part,
    /// Guards against rule BUDGET in such fleets, and against a refused part of a crashing request.
    crashing_request_is_kept_away_while_gateways_come_go_freeze_and_learn_late: Cause::Request,
    /// Guards against a quarantine that answers from before the part became crashing end, read late by a gateway
    /// that was frozen.
    common_part_that_becomes_crashing_is_kept_away_while_gateways_come_go_freeze_and_learn_late:
        Cause::CommonPart,
    /// Guards against rule BUDGET in such fleets, and against harmless requests that stay refused.
    crashing_plain_request_is_kept_away_while_gateways_come_go_freeze_and_learn_late:
        Cause::PlainRequest,
}

/// Load: all prompts of an application begin with the same part, and all its upstreams crash at the same moment. Guards
/// against an application that stays refused although its upstreams are back.
#[test]
fn application_is_served_again_after_all_its_upstreams_crashed() {
    for (gateways, seed) in [(2, 1), (2, 2), (6, 3), (6, 4), (60, 5)] {
        let mut fleet = Fleet::new(gateways, Cause::Nothing, 1.0, seed);
        let mut was_quarantined = false;
        let mut now = 0;
        while now < END_MS {
            if now == CRASHING_FROM_MS {
                (0..UPSTREAMS).for_each(|upstream| fleet.crash(upstream, now));
            }
            fleet.step(now);
            let mut nodes = fleet.nodes.iter();
            was_quarantined |= nodes.any(|node| !node.quarantine.is_empty());
            now += STEP_MS;
        }
        let nodes = fleet.nodes.iter();
        let refusing = nodes.filter(|node| !node.quarantine.is_empty()).count();
        assert!(was_quarantined, "{gateways} gateways, seed {seed}");
        assert_eq!(refusing, 0, "{gateways} gateways, seed {seed}");
    }
}

/// Load: all prompts of an application begin with the same part, which crashes upstreams from a moment on. Guards
/// against trials that crash one upstream after the other.
#[test]
fn trials_of_a_common_part_that_became_crashing_are_few() {
    for (gateways, seed) in [(2, 1), (2, 2), (6, 3), (6, 4), (60, 5), (60, 6)] {
        let result = play(gateways, Cause::CommonPart, 1.0, seed, &[]);
        assert_eq!(result, Ok(()), "{gateways} gateways, seed {seed}");
    }
}
