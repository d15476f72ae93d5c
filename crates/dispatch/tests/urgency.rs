//! Tests of the order of requests of different urgency while room is short: gateways that decide by
//! what each has seen, before groups that read prompts in passes.

use std::sync::Arc;

use jacinthpoint_dispatch::{
    LoadAggregator, LoadTracker, PromptDemand, Refusal, RoomClaim, RoomLine, RoomLines, Selection,
    Target, Urgency,
};
use jacinthpoint_fleet::Engine;
use jacinthpoint_types::{Deadline, TimeMs};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    passes::{DELAY_MS, EXCHANGE_MS, Group, advance, send},
    support::{engine, groups, now},
};

const TIMEOUT_MS: u64 = 6_000;
const SECONDS: u64 = 24;
/// Second after which all bursts are over and what waited has been served.
const AFTER_S: u64 = 18;

/// Requests of one urgency.
#[derive(Clone, Copy)]
struct Class {
    urgency: u8,
    /// Requests per second of the fleet, and during a burst.
    rate_per_s: f64,
    burst_rate_per_s: f64,
    /// Seconds of the burst.
    burst: (u64, u64),
    prompts: (u32, u32),
    objective_ms: u64,
}

/// A steady class whose requests want their first event soon.
const URGENT: Class = Class {
    urgency: 0,
    rate_per_s: 30.0,
    burst_rate_per_s: 30.0,
    burst: (0, 0),
    prompts: (300, 2_000),
    objective_ms: 400,
};
/// A class that can wait twice as long, and bursts.
const PATIENT: Class = Class {
    urgency: 2,
    rate_per_s: 10.0,
    burst_rate_per_s: 60.0,
    burst: (4, 16),
    prompts: (300, 4_000),
    objective_ms: 800,
};

struct Load {
    classes: Vec<Class>,
    groups: usize,
    gateways: usize,
    uses_urgency: bool,
}

/// What became of the requests of one class, or of a part of them.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    asked: f64,
    sent: f64,
    on_time: f64,
    /// Refused after their return, or with no time left for one.
    refused_again: f64,
    /// Of the largest tenth of the prompts.
    large_asked: f64,
    large_sent: f64,
    /// Asked and sent after the burst.
    after_asked: f64,
    after_sent: f64,
}

impl Outcome {
    fn sent_share(&self) -> f64 {
        self.sent / self.asked.max(1.0)
    }

    fn on_time_share(&self) -> f64 {
        self.on_time / self.asked.max(1.0)
    }
}

struct Call {
    class: usize,
    gateway: usize,
    prompt_tokens: u32,
    /// Time of the first attempt, from which lateness counts.
    asked: TimeMs,
    deadline: Deadline,
    due: TimeMs,
    attempts: u32,
    claim: Option<RoomClaim>,
}

fn demand<'a>(engine: &'a Engine, class: &Class, prompt_tokens: u32) -> PromptDemand<'a> {
    PromptDemand {
        engine,
        model: &engine.models[0],
        prompt_tokens,
        first_event_objective_ms: class.objective_ms,
        gap_objective_ms: 300,
    }
}

/// Chooses a target as a gateway does; returns `None` if the call waits or is refused.
fn choose(
    load: &Load,
    call: &mut Call,
    (tracker, line): (&LoadTracker, &mut RoomLine),
    targets: &[Arc<Target>],
    mut prompt: PromptDemand<'_>,
    at: TimeMs,
    rng: &mut SmallRng,
) -> Result<Arc<Target>, bool> {
    let priority = load.classes[call.class].urgency;
    let urgency = Urgency {
        priority,
        route_priority: priority,
    };
    let mut selection = Selection {
        is_wait_limited: true,
        prompt: Some(prompt),
        ..crate::support::selection(targets)
    };
    if !load.uses_urgency {
        return tracker.choose(&selection, at, rng).map_err(|_| false);
    }
    let deadline = call.deadline;
    let claim = call
        .claim
        .get_or_insert_with(|| RoomClaim::new(line, urgency, &prompt, deadline, at, rng));
    let chosen = match claim.terms(line, &prompt, at) {
        Some(terms) => {
            prompt.first_event_objective_ms = terms.objective_ms;
            selection.prompt = Some(prompt);
            selection.reserve = terms.reserve;
            tracker.choose(&selection, at, rng)
        }
        None => Err(Refusal::Reserved),
    };
    match chosen {
        Ok(target) => {
            claim.on_sent(line, at);
            Ok(target)
        }
        Err(refusal) => {
            let waits = claim.waits(line, refusal, at);
            if !waits {
                claim.on_left(line);
            }
            Err(waits)
        }
    }
}

/// Simulates the load and returns what became of each class.
fn simulate(load: &Load, seed: u64) -> Vec<Outcome> {
    let engine = engine();
    let targets = groups(load.groups);
    let mut rng = SmallRng::seed_from_u64(seed);
    let new_gateway = |_| (LoadTracker::default(), RoomLine::default());
    let (mut trackers, mut lines): (Vec<_>, Vec<_>) = (0..load.gateways).map(new_gateway).unzip();
    let mut hub = LoadAggregator::default();
    let mut simulated: Vec<Group> = (0..load.groups).map(|_| Group::default()).collect();
    let mut outcomes = vec![Outcome::default(); load.classes.len()];
    let mut calls: Vec<Call> = Vec::new();
    // Class, objective and time asked of each request at a group, by its time and gateway.
    let mut sent: Vec<(f64, usize, usize, TimeMs)> = Vec::new();
    for ms in 0..SECONDS * 1_000 {
        let at = now().plus_ms(ms);
        for (gateway, tracker) in trackers.iter_mut().enumerate() {
            if ms % EXCHANGE_MS == gateway as u64 * 7 % EXCHANGE_MS {
                hub.on_report(gateway, tracker.target_reports(at), at);
                tracker.on_peer_loads(&hub.load_of_others(&gateway, at), at);
            }
        }
        for (index, class) in load.classes.iter().enumerate() {
            let is_burst = (class.burst.0..class.burst.1).contains(&(ms / 1_000));
            let rate_per_s = match is_burst {
                true => class.burst_rate_per_s,
                false => class.rate_per_s,
            };
            if rng.random_bool(rate_per_s / 1_000.0) {
                calls.push(Call {
                    class: index,
                    gateway: rng.random_range(0..load.gateways),
                    prompt_tokens: rng.random_range(class.prompts.0..class.prompts.1),
                    asked: at,
                    deadline: Deadline::after_ms(at, TIMEOUT_MS),
                    due: at,
                    attempts: 1,
                    claim: None,
                });
            }
        }
        let (due, later): (Vec<Call>, Vec<Call>) = calls.into_iter().partition(|c| c.due <= at);
        calls = later;
        for mut call in due {
            let class = load.classes[call.class];
            let (low, high) = class.prompts;
            let is_large = call.prompt_tokens > high - (high - low) / 10;
            let is_after = call.asked.0 > now().0 + AFTER_S * 1_000;
            let outcome = &mut outcomes[call.class];
            let gateway = call.gateway;
            let prompt = demand(&engine, &class, call.prompt_tokens);
            let of_gateway = (&trackers[gateway], &mut lines[gateway]);
            let chosen = choose(load, &mut call, of_gateway, &targets, prompt, at, &mut rng);
            let is_first = call.attempts == 1;
            if let Ok(target) = &chosen {
                let is_chosen = |other: &Arc<Target>| other.key == target.key;
                let index = targets.iter().position(is_chosen).expect("a given target");
                let events = rng.random_range(4..30);
                let tracker = &mut trackers[gateway];
                let request = send(tracker, target, prompt, (gateway, events), at);
                sent.push((request.sent_ms, gateway, call.class, call.asked));
                simulated[index].requests.push(request);
            }
            let is_ended = match chosen {
                Ok(_) => true,
                Err(true) => {
                    let claim = call.claim.as_ref().expect("only a claim waits");
                    call.due = claim.check_at(&lines[gateway], at, &mut rng);
                    false
                }
                Err(false) if is_first => {
                    let return_ms = match &mut call.claim {
                        Some(claim) => claim.return_ms(&mut lines[gateway], at, &mut rng),
                        None => rng.random_range(400..=800),
                    };
                    call = Call {
                        gateway: rng.random_range(0..load.gateways),
                        due: at.plus_ms(return_ms),
                        attempts: 2,
                        claim: None,
                        ..call
                    };
                    false
                }
                Err(false) => {
                    outcome.refused_again += 1.0;
                    true
                }
            };
            if is_ended {
                let is_sent = f64::from(u8::from(chosen.is_ok()));
                outcome.asked += 1.0;
                outcome.sent += is_sent;
                outcome.large_asked += f64::from(u8::from(is_large));
                outcome.large_sent += is_sent * f64::from(u8::from(is_large));
                outcome.after_asked += f64::from(u8::from(is_after));
                outcome.after_sent += is_sent * f64::from(u8::from(is_after));
            } else {
                calls.push(call);
            }
        }
        for (group, target) in simulated.iter_mut().zip(&targets) {
            for request in advance(group, target, &engine, ms as f64, &mut trackers) {
                let is_it = |(sent_ms, gateway, ..): &(f64, usize, usize, TimeMs)| {
                    *sent_ms == request.sent_ms && *gateway == request.gateway
                };
                let index = sent.iter().position(is_it).expect("it was sent");
                let (.., class, asked) = sent.swap_remove(index);
                let first_ms = request.first_event_ms.unwrap_or(f64::MAX);
                let first_ms = first_ms - (asked.0 - now().0) as f64 + DELAY_MS;
                let is_on_time = first_ms <= load.classes[class].objective_ms as f64;
                outcomes[class].on_time += f64::from(u8::from(is_on_time));
            }
        }
    }
    outcomes
}

/// Returns the outcomes without and with regard to urgency.
fn both(classes: &[Class], groups: usize, gateways: usize) -> [Vec<Outcome>; 2] {
    [false, true].map(|uses_urgency| {
        let load = Load {
            classes: classes.to_vec(),
            groups,
            gateways,
            uses_urgency,
        };
        simulate(&load, 1)
    })
}

/// Checks that nothing starves: each class, and the largest tenth of its prompts, is served at least a
/// quarter as often as all, and again as before once room is back.
fn check_floors(outcomes: &[Outcome]) {
    let total = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>();
    let share = total(|outcome| outcome.sent) / total(|outcome| outcome.asked);
    for outcome in outcomes {
        let large = outcome.large_sent / outcome.large_asked.max(1.0);
        assert!(outcome.sent_share() >= 0.25 * share, "{outcomes:?}");
        assert!(large >= 0.5 * outcome.sent_share(), "{outcomes:?}");
        assert!(
            outcome.after_sent >= 0.9 * outcome.after_asked,
            "not served again after the burst: {outcomes:?}"
        );
    }
}

/// Checks that the first class, the more urgent one, is served before the other, and better than without
/// regard to urgency.
fn check_order(before: &[Outcome], with: &[Outcome]) {
    let is_ordered = |value: fn(&Outcome) -> f64| {
        value(&with[0]) >= value(&with[1]) && value(&with[0]) > value(&before[0])
    };
    assert!(
        is_ordered(Outcome::sent_share) && is_ordered(Outcome::on_time_share),
        "without {before:?}, with {with:?}"
    );
}

/// Checks that the first class gains by its urgency, and that nothing starves.
macro_rules! urgency_test {
    ($(#[$doc:meta])* $name:ident, $classes:expr, $groups:expr, $gateways:expr) => {
        $(#[$doc])*
        #[test]
        fn $name() {
            let [before, with] = both(&$classes, $groups, $gateways);
            check_order(&before, &with);
            check_floors(&with);
        }
    };
}

urgency_test!(
    /// A burst of the least urgent class beside a steady urgent one.
    burst_of_the_least_urgent_beside_a_steady_urgent_one,
    [URGENT, PATIENT],
    4,
    6
);

urgency_test!(
    /// Two classes burst one after the other.
    two_classes_burst_one_after_the_other,
    [
        Class {
            burst_rate_per_s: 60.0,
            burst: (10, 16),
            ..URGENT
        },
        Class {
            burst: (4, 10),
            ..PATIENT
        }
    ],
    4,
    6
);

urgency_test!(
    /// A few large prompts among many small ones while room is short.
    large_prompts_among_small_ones_while_room_is_short,
    [
        Class {
            rate_per_s: 40.0,
            burst_rate_per_s: 40.0,
            prompts: (200, 600),
            ..URGENT
        },
        Class {
            burst_rate_per_s: 40.0,
            prompts: (1_000, 6_000),
            ..PATIENT
        }
    ],
    4,
    6
);

urgency_test!(
    /// One organisation is more urgent than the others, which send the same requests.
    one_organisation_is_more_urgent_than_the_others,
    [
        URGENT,
        Class {
            urgency: 1,
            rate_per_s: 20.0,
            burst_rate_per_s: 60.0,
            burst: (4, 16),
            ..URGENT
        }
    ],
    4,
    6
);

urgency_test!(
    /// Sixty gateways, each of which sees an urgent request every two seconds.
    many_gateways_that_each_see_little,
    [URGENT, PATIENT],
    4,
    60
);

/// With one urgency and room for all, nothing is refused and nobody waits.
#[test]
fn all_are_sent_at_once_while_there_is_room() {
    let [before, with] = both(&[URGENT], 4, 6);
    assert!(
        with[0].on_time_share() >= before[0].on_time_share() - 0.01,
        "without {before:?}, with {with:?}"
    );
}

/// A fleet that is asked for twice what it can do, for twelve seconds: fewer callers come back to be
/// refused again.
#[test]
fn returns_during_an_overload_are_refused_again_less_often() {
    let class = Class {
        rate_per_s: 20.0,
        burst_rate_per_s: 90.0,
        burst: (4, 16),
        ..URGENT
    };
    let [before, with] = both(&[class, PATIENT], 4, 6);
    let again = |outcomes: &[Outcome]| outcomes.iter().map(|o| o.refused_again).sum::<f64>();
    assert!(
        again(&with) < again(&before),
        "without {before:?}, with {with:?}"
    );
}

/// Callers that are refused together: the more urgent return first, all one after the other, and none
/// later than in a third of the time that it has left.
#[test]
fn refused_callers_return_by_urgency_within_a_third_of_their_time() {
    let engine = engine();
    let mut line = RoomLine::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let deadline = Deadline::after_ms(now(), TIMEOUT_MS);
    let mut return_ms = |class: &Class| {
        let urgency = Urgency {
            priority: class.urgency,
            route_priority: class.urgency,
        };
        let prompt = demand(&engine, class, 1_000);
        let mut claim = RoomClaim::new(&mut line, urgency, &prompt, deadline, now(), &mut rng);
        // One of two was sent.
        claim.on_sent(&mut line, now());
        let mut claim = RoomClaim::new(&mut line, urgency, &prompt, deadline, now(), &mut rng);
        claim.return_ms(&mut line, now(), &mut rng)
    };
    let mut sum = |class: &Class| (0..20).map(|_| return_ms(class)).sum::<u64>();
    let (patient_ms, urgent_ms) = (sum(&PATIENT), sum(&URGENT));
    assert!(
        urgent_ms < patient_ms && patient_ms <= 20 * TIMEOUT_MS / 3,
        "urgent {urgent_ms}, patient {patient_ms}"
    );
}

/// A class whose requests wait for up to two seconds.
const WAITING: Class = Class {
    objective_ms: 4_000,
    ..PATIENT
};
/// Time for which the requests of [`line_with_waiters`] wait at most.
const LONGEST_WAIT_MS: u64 = WAITING.objective_ms / 2;

/// Returns a request of a class that arrives now.
fn new_claim(line: &mut RoomLine, class: &Class, at: TimeMs, rng: &mut SmallRng) -> RoomClaim {
    let urgency = Urgency {
        priority: class.urgency,
        route_priority: class.urgency,
    };
    let engine = engine();
    let prompt = demand(&engine, class, 1_000);
    let deadline = Deadline::after_ms(at, 100 * TIMEOUT_MS);
    RoomClaim::new(line, urgency, &prompt, deadline, at, rng)
}

/// Lets so many requests wait in a line, after as many were sent as let them expect room.
fn wait_in(line: &mut RoomLine, count: usize, rng: &mut SmallRng) -> Vec<RoomClaim> {
    for _ in 0..100 {
        new_claim(line, &WAITING, now(), rng).on_sent(line, now());
    }
    let mut claims: Vec<_> = (0..count)
        .map(|_| new_claim(line, &WAITING, now(), rng))
        .collect();
    for claim in &mut claims {
        assert!(claim.waits(line, Refusal::Reserved, now()));
    }
    claims
}

/// Eight requests wait, and room for all is back after more than a second: they are sent one soon after the
/// other, instead of each after a time that grew with its wait.
#[test]
fn line_empties_soon_once_room_is_back() {
    const ROOM_MS: u64 = 1_200;
    let mut line = RoomLine::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let claims = wait_in(&mut line, 8, &mut rng).into_iter();
    let mut waiting: Vec<_> = claims.map(|claim| (now(), claim)).collect();
    let engine = engine();
    let prompt = demand(&engine, &WAITING, 1_000);
    let mut sent_ms = Vec::new();
    for ms in 0..LONGEST_WAIT_MS {
        let at = now().plus_ms(ms);
        waiting.retain_mut(|(due, claim)| {
            if *due > at {
                return true;
            }
            if claim.terms(&line, &prompt, at).is_some() && ms >= ROOM_MS {
                claim.on_sent(&mut line, at);
                sent_ms.push(ms);
                return false;
            }
            *due = claim.check_at(&line, at, &mut rng);
            true
        });
    }
    assert!(waiting.is_empty() && line.is_empty(), "{sent_ms:?}");
    let is_soon = sent_ms.windows(2).all(|pair| pair[1] - pair[0] <= 50);
    assert!(is_soon, "{sent_ms:?}");
}

/// A request that finds no room is refused as soon as it is late, so that its caller can try elsewhere.
#[test]
fn waiting_request_is_refused_once_it_is_late() {
    for seed in 0..50 {
        let mut line = RoomLine::default();
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut claim = wait_in(&mut line, 1, &mut rng).remove(0);
        let mut at = now();
        while claim.waits(&mut line, Refusal::Reserved, at) {
            at = claim.check_at(&line, at, &mut rng);
        }
        assert_eq!(at, now().plus_ms(LONGEST_WAIT_MS), "seed {seed}");
    }
}

/// A request that an upstream did not run waits for room like a new one, and is refused once it is late.
#[test]
fn request_that_was_returned_waits_again() {
    let mut line = RoomLine::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut claim = wait_in(&mut line, 2, &mut rng).remove(0);
    claim.on_sent(&mut line, now());
    assert_eq!(line.len(), 1);
    let engine = engine();
    let prompt = demand(&engine, &WAITING, 1_000);
    assert_eq!(claim.terms(&line, &prompt, now()), None);
    assert!(claim.waits(&mut line, Refusal::Reserved, now()));
    assert_eq!(line.len(), 2);
    let late = now().plus_ms(LONGEST_WAIT_MS);
    assert!(!claim.waits(&mut line, Refusal::Reserved, late));
    claim.on_left(&mut line);
    assert!(!claim.waits(&mut line, Refusal::Reserved, late));
}

/// A refused request does not wait any more when the time of its return is drawn, and many refusals
/// of less urgent ones hide none of the more urgent ones.
#[test]
fn returns_spread_when_many_are_refused() {
    let mut line = RoomLine::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut claim = wait_in(&mut line, 1, &mut rng).remove(0);
    claim.return_ms(&mut line, now(), &mut rng);
    assert!(line.is_empty());
    for _ in 0..1_000 {
        new_claim(&mut line, &WAITING, now(), &mut rng).return_ms(&mut line, now(), &mut rng);
    }
    let mut return_ms =
        || new_claim(&mut line, &URGENT, now(), &mut rng).return_ms(&mut line, now(), &mut rng);
    let first_ms: u64 = (0..20).map(|_| return_ms()).sum();
    let next_ms: u64 = (0..80).map(|_| return_ms()).skip(60).sum();
    assert!(next_ms > 2 * first_ms, "{first_ms}, then {next_ms}");
}

/// Lines of models that nobody asks for any more are dropped, but not while a request waits there.
#[test]
fn unused_lines_are_dropped() {
    let mut lines = RoomLines::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let service = "engines".parse().expect("valid service name");
    let model = |name: &str| name.parse().expect("valid model name");
    let claims = wait_in(
        lines.line(&service, &model("waited-for"), now()),
        1,
        &mut rng,
    );
    for index in 0..100 {
        let at = now().plus_ms(index * 60_000);
        let line = lines.line(&service, &model(&format!("model-{index}")), at);
        new_claim(line, &WAITING, at, &mut rng).on_sent(line, at);
        assert!(lines.len() <= 2, "{} lines", lines.len());
    }
    assert_eq!(lines.waiting(), claims.len());
}
