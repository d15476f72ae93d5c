//! Many gateways that each have few requests at each group.

use std::collections::BinaryHeap;

use jacinthpoint_dispatch::{LoadAggregator, LoadTracker, StallPolicy, Target};
use jacinthpoint_types::TimeMs;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::support::{engine, groups, now, selection};

const GATEWAYS: usize = 60;
const GROUPS: usize = 14;
/// Time between two exchanges.
const EXCHANGE_MS: u64 = 100;

/// Gateways that tell each other their loads, or do not.
struct Fleet {
    books: Vec<LoadTracker>,
    tally: Option<LoadAggregator<usize>>,
}

impl Fleet {
    fn new(exchanges: bool) -> Fleet {
        Fleet {
            books: (0..GATEWAYS).map(|_| LoadTracker::default()).collect(),
            tally: exchanges.then(LoadAggregator::default),
        }
    }

    /// One exchange of all gateways.
    fn exchange(&mut self, now: TimeMs) {
        self.exchange_of(|_| true, now);
    }

    /// An exchange of some gateways.
    fn exchange_of(&mut self, is_due: impl Fn(usize) -> bool, now: TimeMs) {
        let Some(tally) = &mut self.tally else { return };
        let books = self.books.iter_mut().enumerate();
        for (gateway, book) in books.filter(|(gateway, _)| is_due(*gateway)) {
            tally.on_report(gateway, book.target_reports(now), now);
            let others = tally.others(&gateway, now);
            book.on_peer_loads(&others, now);
        }
    }
}

/// Share of requests that find their group full, at nine tenths of the fleet's slots.
fn share_that_waits(exchanges: bool) -> f64 {
    let targets = groups(GROUPS);
    let slots = targets[0].slots as usize;
    let mut fleet = Fleet::new(exchanges);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut at_group = [0_usize; GROUPS];
    // Ends of running requests: time, gateway, group; the earliest first.
    let mut ends: BinaryHeap<std::cmp::Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let mean_ms = 1_300.0;
    let per_ms = 0.9 * (GROUPS * slots) as f64 / mean_ms;
    let (mut waits, mut all) = (0_u32, 0_u32);
    for ms in 0..20_000_u64 {
        let at = now().plus_ms(ms);
        while let Some(std::cmp::Reverse((end, gateway, group))) = ends.peek().copied() {
            if end > ms {
                break;
            }
            ends.pop();
            at_group[group] -= 1;
            fleet.books[gateway].on_ended(&targets[group].key);
        }
        let phase = ms % EXCHANGE_MS;
        fleet.exchange_of(|gateway| gateway as u64 * 7 % EXCHANGE_MS == phase, at);
        if !rng.random_bool(per_ms.min(1.0)) {
            continue;
        }
        let gateway = rng.random_range(0..GATEWAYS);
        let book = &mut fleet.books[gateway];
        let Ok(chosen) = book.choose(&selection(&targets), at, &mut rng) else {
            continue;
        };
        let group = position(&targets, &chosen);
        book.on_sent(&chosen.key, at);
        if ms > 3_000 {
            all += 1;
            waits += u32::from(at_group[group] >= slots);
        }
        at_group[group] += 1;
        // The head of the answer states the load.
        let stated = u32::try_from(at_group[group]).expect("a small number");
        book.on_load_reported(&chosen.key, stated, at);
        let lasts_ms = rng.random_range(0.5..1.5) * mean_ms;
        ends.push(std::cmp::Reverse((ms + lasts_ms as u64, gateway, group)));
    }
    f64::from(waits) / f64::from(all)
}

fn position(targets: &[std::sync::Arc<Target>], chosen: &Target) -> usize {
    let is_chosen = |target: &std::sync::Arc<Target>| target.key == chosen.key;
    targets
        .iter()
        .position(is_chosen)
        .expect("it is one of them")
}

/// Each gateway saw a group's load once in seconds: at nine tenths of the slots many requests went
/// to full groups while others had room.
#[test]
fn exchange_of_loads_halves_the_requests_that_wait() {
    let (without, with) = (share_that_waits(false), share_that_waits(true));
    assert!(
        with <= 0.5 * without,
        "{with:.3} of requests found a full group with the exchange, {without:.3} without"
    );
}

/// One request at each of three gateways, and no gateway hears from the group.
#[test]
fn group_that_stopped_is_silent_for_all() {
    let targets = groups(1);
    let key = &targets[0].key;
    let engine = engine();
    let limit_ms = StallPolicy::new(&engine, &engine.models[0]).limit_ms();
    let mut fleet = Fleet::new(true);
    for book in &mut fleet.books[..3] {
        book.on_sent(key, now());
    }
    let mut silent_after_ms = None;
    for ms in (0..3_000).step_by(EXCHANGE_MS as usize) {
        let at = now().plus_ms(ms);
        fleet.exchange(at);
        if fleet.books[40].is_stalled(key, limit_ms, at) {
            silent_after_ms = Some(ms);
            break;
        }
    }
    let silent_after_ms = silent_after_ms.expect("the silence is known");
    assert!(
        (limit_ms..=limit_ms + 2 * EXCHANGE_MS).contains(&silent_after_ms),
        "known after {silent_after_ms} ms, the limit is {limit_ms} ms"
    );
}

/// A request that waits in a queue hears nothing; streams at other gateways do.
#[test]
fn group_that_another_gateway_hears_is_not_silent() {
    let targets = groups(1);
    let key = &targets[0].key;
    let engine = engine();
    let limit_ms = StallPolicy::new(&engine, &engine.models[0]).limit_ms();
    let mut fleet = Fleet::new(true);
    fleet.books[0].on_sent(key, now());
    fleet.books[1].on_sent(key, now());
    for ms in (0..3_000).step_by(EXCHANGE_MS as usize) {
        let at = now().plus_ms(ms);
        fleet.books[1].on_event(key, Some(60), at);
        fleet.exchange(at);
        for book in &fleet.books {
            assert!(!book.is_stalled(key, limit_ms, at), "silent after {ms} ms");
        }
    }
}

/// The hub ended: what it said last is not believed for long.
#[test]
fn gateway_without_a_hub_decides_by_itself() {
    let targets = groups(2);
    let mut fleet = Fleet::new(true);
    fleet.books[0].on_sent(&targets[0].key, now());
    fleet.exchange(now());
    assert!(fleet.books[1].has_peer_loads(now()));
    assert_eq!(fleet.books[1].load(&targets[0].key, now()), 1.0);
    let later = now().plus_ms(1_000);
    assert!(!fleet.books[1].has_peer_loads(later));
    assert_eq!(fleet.books[1].load(&targets[0].key, later), 0.0);
}

/// A gateway that ended reports no more; its requests ended with its connections.
#[test]
fn requests_of_a_gateway_that_ended_do_not_count() {
    let targets = groups(1);
    let key = &targets[0].key;
    let mut fleet = Fleet::new(true);
    fleet.books[0].on_sent(key, now());
    fleet.exchange(now());
    assert_eq!(fleet.books[1].load(key, now()), 1.0);
    let later = now().plus_ms(1_000);
    fleet.exchange_of(|gateway| gateway != 0, later);
    fleet.exchange_of(|gateway| gateway == 1, later);
    assert_eq!(fleet.books[1].load(key, later), 0.0);
}

/// Its own requests are not counted twice.
#[test]
fn gateway_counts_its_own_requests_once() {
    let targets = groups(1);
    let key = &targets[0].key;
    let mut fleet = Fleet::new(true);
    fleet.books[0].on_sent(key, now());
    fleet.books[1].on_sent(key, now());
    fleet.exchange(now());
    fleet.exchange(now().plus_ms(EXCHANGE_MS));
    assert_eq!(fleet.books[0].load(key, now().plus_ms(EXCHANGE_MS)), 2.0);
    fleet.books[0].on_ended(key);
    assert_eq!(fleet.books[0].load(key, now().plus_ms(EXCHANGE_MS)), 1.0);
}
