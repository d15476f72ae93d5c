//! Tests of learnt capacities, with upstreams that differ in speed and gateways that see only their own
//! part of the requests.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use jacinthpoint_dispatch::{
    AnswerSample, LoadAggregator, LoadTracker, PromptDemand, Selection, SharedCapacities, Target,
    TargetDigest, TargetReport,
};
use jacinthpoint_types::TimeMs;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::support::{engine, groups, now, selection};

const GATEWAYS: usize = 20;
/// Time between two exchanges of loads, and of capacities, of one gateway.
const EXCHANGE_MS: u64 = 25;
const CAPACITY_EXCHANGE_MS: u64 = 1_000;
const SLOTS: u32 = 6;
/// Time of an answer of an upstream that is not slow, and the time within which callers need it.
const ANSWER_MS: u64 = 30;
const OBJECTIVE_MS: u64 = 150;
/// Factor by which an upstream is slower with more requests than it takes well.
const SLOW_FACTOR: u64 = 8;

/// Returns `count` targets with [`SLOTS`] slots.
fn targets(count: usize) -> Vec<Arc<Target>> {
    let with_slots = |target: &Arc<Target>| {
        Arc::new(Target {
            slots: SLOTS,
            ..(**target).clone()
        })
    };
    groups(count).iter().map(with_slots).collect()
}

/// A load on three upstreams.
#[derive(Clone, Copy)]
struct Load {
    rate_per_s: f64,
    /// Number of requests that each upstream takes well at a time in ms.
    takes_well: fn(usize, u64) -> u32,
}

/// How capacities are learnt.
#[derive(Clone, Copy, PartialEq)]
enum Learning {
    Off,
    /// By each gateway from its own answers.
    Alone,
    /// By the root from those of all gateways, too.
    Shared,
}

/// What came of a load in one period.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    all: u32,
    late: u32,
    at_first: u32,
}

impl Outcome {
    fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from(self.all.max(1))
    }

    fn share_of_first(&self) -> f64 {
        f64::from(self.at_first) / f64::from(self.all.max(1))
    }
}

/// Simulates a load for the given number of periods of 5 s, and returns what came of each.
fn simulate(load: Load, learning: Learning, periods: usize, seed: u64) -> Vec<Outcome> {
    const PERIOD_MS: u64 = 5_000;
    let targets = targets(3);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut trackers: Vec<LoadTracker> = (0..GATEWAYS).map(|_| LoadTracker::default()).collect();
    for tracker in &mut trackers {
        tracker.capacities.set_enabled(learning != Learning::Off);
    }
    let mut hub = LoadAggregator::default();
    let mut root = SharedCapacities::default();
    let mut running = [0_u32; 3];
    // End, start, gateway and upstream of each request, the earliest end first.
    let mut ends: BinaryHeap<Reverse<(u64, u64, usize, usize)>> = BinaryHeap::new();
    let mut outcomes = vec![Outcome::default(); periods];
    for ms in 0..periods as u64 * PERIOD_MS {
        let at = now().plus_ms(ms);
        let outcome = &mut outcomes[(ms / PERIOD_MS) as usize];
        while let Some(Reverse((end_ms, began_ms, gateway, upstream))) = ends.peek().copied()
            && end_ms <= ms
        {
            ends.pop();
            let tracker = &mut trackers[gateway];
            let key = &targets[upstream].key;
            let is_late = end_ms - began_ms > OBJECTIVE_MS;
            let sample = AnswerSample {
                requests: tracker.load(key, at),
                slots: SLOTS,
                is_late,
                began_at: now().plus_ms(began_ms),
            };
            tracker.capacities.on_answer(key, sample, at);
            tracker.on_ended(key);
            running[upstream] -= 1;
            outcome.late += u32::from(is_late);
        }
        for (gateway, tracker) in trackers.iter_mut().enumerate() {
            if ms % EXCHANGE_MS == gateway as u64 * 7 % EXCHANGE_MS {
                hub.on_report(gateway, tracker.target_reports(at), at);
                tracker.on_peer_loads(&hub.load_of_others(&gateway, at), at);
            }
            let is_due = ms % CAPACITY_EXCHANGE_MS == gateway as u64 * 50;
            if learning == Learning::Shared && is_due {
                root.on_report(&tracker.capacities.take_counts(), at);
                tracker.capacities.on_shared(&root.limited(at), at);
            }
        }
        if !rng.random_bool(load.rate_per_s / 1_000.0) {
            continue;
        }
        let gateway = rng.random_range(0..GATEWAYS);
        let tracker = &mut trackers[gateway];
        let choice = Selection {
            queue_share: 3.0,
            ..selection(&targets)
        };
        let Ok(chosen) = tracker.choose(&choice, at, &mut rng) else {
            continue;
        };
        let upstream = position(&targets, &chosen);
        tracker.on_sent(&chosen.key, 0, at);
        running[upstream] += 1;
        outcome.all += 1;
        outcome.at_first += u32::from(upstream == 0);
        let is_slow = running[upstream] > (load.takes_well)(upstream, ms);
        let answer_ms = ANSWER_MS * if is_slow { SLOW_FACTOR } else { 1 };
        ends.push(Reverse((ms + answer_ms, ms, gateway, upstream)));
    }
    outcomes
}

fn position(targets: &[Arc<Target>], chosen: &Target) -> usize {
    let is_chosen = |target: &Arc<Target>| target.key == chosen.key;
    let position = targets.iter().position(is_chosen);
    position.expect("the chosen target is one of the given ones")
}

/// Steady load, of which one of three upstreams takes only two requests well, long before its six slots
/// are in use.
const EARLY_KNEE: Load = Load {
    rate_per_s: 180.0,
    takes_well: |upstream, _| if upstream == 0 { 2 } else { u32::MAX },
};

/// The same load. The upstream is as fast as the others from 20 s on.
const KNEE_THAT_ENDS: Load = Load {
    rate_per_s: 180.0,
    takes_well: |upstream, ms| {
        if upstream == 0 && ms < 20_000 {
            1
        } else {
            u32::MAX
        }
    },
};

/// Burst that all three upstreams take only late.
const BEYOND_ALL: Load = Load {
    rate_per_s: 180.0,
    takes_well: |_, _| 1,
};

/// Steady load on an upstream that slows down long before it is full: the others take what is too much
/// for it.
#[test]
fn upstream_that_slows_down_early_is_preferred_for_fewer_requests() {
    for seed in 1..=3 {
        let late_share = |learning| simulate(EARLY_KNEE, learning, 4, seed)[3].late_share();
        let (off, alone) = (late_share(Learning::Off), late_share(Learning::Alone));
        let shared = late_share(Learning::Shared);
        assert!(
            shared <= 0.5 * off && alone < off,
            "seed {seed}: {off:.3} of the answers are late without learning, {alone:.3} if each gateway \
             learns alone, {shared:.3} if they learn together"
        );
    }
}

/// An upstream that was slow gets its share again after it became faster.
#[test]
fn upstream_that_became_faster_gets_its_share_again() {
    for seed in 1..=3 {
        let outcomes = simulate(KNEE_THAT_ENDS, Learning::Shared, 8, seed);
        let (slow, fast) = (outcomes[3].share_of_first(), outcomes[7].share_of_first());
        assert!(
            slow < 0.28 && fast > 0.3,
            "seed {seed}: a share of {slow:.3} while it was slow, {fast:.3} later"
        );
    }
}

/// A burst that all upstreams take only late: estimates refuse nobody, and each upstream still gets
/// requests.
#[test]
fn nobody_is_refused_by_what_was_learnt() {
    let with = simulate(BEYOND_ALL, Learning::Shared, 4, 1);
    let without = simulate(BEYOND_ALL, Learning::Off, 4, 1);
    let all = |outcomes: &[Outcome]| outcomes.iter().map(|one| one.all).sum::<u32>();
    let share = with[3].share_of_first();
    assert!(
        all(&with) >= all(&without) && (0.2..0.5).contains(&share),
        "{with:?}, {without:?}"
    );
}

/// One group of ten has a slow member, and the time between its events is four times that of the
/// others. It gets fewer prompts, and a usual share again once its pace is.
#[test]
fn group_with_a_slow_member_gets_fewer_prompts() {
    let targets = groups(10);
    let engine = engine();
    let mut tracker = LoadTracker::default();
    tracker.capacities.set_enabled(true);
    let predicted_ms = engine.pass_ms(&engine.models[0], 10.0);
    let report = |target: &Arc<Target>| TargetReport {
        target: TargetDigest::from(&target.key),
        in_flight: 10,
        unread_tokens: 4_000,
        heard_ms: Some(20),
        waited_ms: Some(20),
    };
    let reports: Vec<TargetReport> = targets.iter().map(report).collect();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut share_of_first = |slowness: f64, at: TimeMs| {
        for target in &targets {
            let is_first = target.key == targets[0].key;
            let gap_ms = predicted_ms * if is_first { slowness } else { 1.0 };
            for _ in 0..40 {
                tracker
                    .capacities
                    .on_gap(&target.key, gap_ms, predicted_ms, at);
            }
        }
        tracker.on_peer_loads(&reports, at);
        let choice = Selection {
            prompt: Some(PromptDemand {
                engine: &engine,
                model: &engine.models[0],
                prompt_tokens: 1_000,
                first_event_objective_ms: 800,
                gap_objective_ms: 250,
            }),
            ..selection(&targets)
        };
        let mut at_first = 0;
        for _ in 0..500 {
            let chosen = tracker.choose(&choice, at, &mut rng).expect("room is left");
            at_first += u32::from(chosen.key == targets[0].key);
        }
        f64::from(at_first) / 500.0
    };
    let (slow, recovered) = (
        share_of_first(4.0, now()),
        share_of_first(1.0, now().plus_ms(10_000)),
    );
    assert!(
        slow < 0.03 && recovered > 0.06,
        "a share of {slow:.3} while it was slow, {recovered:.3} later"
    );
}

/// Without news, what was learnt is forgotten: the upstream is tried again.
#[test]
fn capacity_returns_to_the_slots_without_news() {
    let targets = targets(1);
    let key = &targets[0].key;
    let mut tracker = LoadTracker::default();
    tracker.capacities.set_enabled(true);
    for index in 0..40 {
        let at = now().plus_ms(index * 200);
        let sample = AnswerSample {
            requests: 6.0,
            slots: SLOTS,
            is_late: true,
            began_at: at,
        };
        tracker.capacities.on_answer(key, sample, at);
    }
    let learnt_at = now().plus_ms(40 * 200);
    let learnt = tracker.capacities.requests(key, SLOTS, learnt_at);
    let later = tracker
        .capacities
        .requests(key, SLOTS, learnt_at.plus_ms(30_000));
    assert!(learnt >= 1.0, "an upstream is never given up: {learnt}");
    assert!(learnt < 3.0 && later > 5.5, "{learnt}, later {later}");
}

/// All targets were learnt to take little, and a burst uses more than that: the requests are spread as the
/// places are, and do not all go to one target.
#[test]
fn burst_beyond_all_capacities_is_spread() {
    let targets = targets(4);
    let mut tracker = LoadTracker::default();
    tracker.capacities.set_enabled(true);
    for index in 0..40 {
        let at = now().plus_ms(index * 10);
        for target in &targets {
            let sample = AnswerSample {
                requests: 2.0,
                slots: SLOTS,
                is_late: true,
                began_at: at,
            };
            tracker.capacities.on_answer(&target.key, sample, at);
        }
    }
    let at = now().plus_ms(400);
    let report = |target: &Arc<Target>| TargetReport {
        target: TargetDigest::from(&target.key),
        in_flight: 5,
        unread_tokens: 0,
        heard_ms: Some(20),
        waited_ms: Some(20),
    };
    let reports: Vec<TargetReport> = targets.iter().map(report).collect();
    tracker.on_peer_loads(&reports, at);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut chosen = [0_u32; 4];
    for _ in 0..400 {
        let target = tracker.choose(&selection(&targets), at, &mut rng);
        chosen[position(&targets, &target.expect("the queues have room"))] += 1;
    }
    assert!(chosen.iter().all(|count| *count < 200), "{chosen:?}");
}
