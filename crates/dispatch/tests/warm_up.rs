//! Tests of the limit on requests to cold upstreams.
//!
//! The load: upstreams start again by turns while callers ask for much more than a cold one takes,
//! in a simulated fleet of gateways that exchange messages which are late or lost.

use std::collections::BTreeMap;

use jacinthpoint_dispatch::{
    LIMIT_SYNC_MS, PermitIssuer, WarmUpAnswer, WarmUpBasis, WarmUpIssuer, WarmUpLimits,
    WarmUpReport, WarmUps,
};
use jacinthpoint_fleet::{Upstream, UpstreamState, WarmUp};
use jacinthpoint_types::{Deadline, PerSecond, TimeMs, VmId};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Requests a second that the cold upstreams take.
const RATES: [f64; 4] = [2.0, 17.0, 17.0, 100.0];
/// Time for which an upstream is cold.
const COLD_MS: u64 = 3_000;
/// Time from one start of an upstream to its next one.
const CYCLE_MS: u64 = 5_000;
/// Factor and number of requests by which the rate may be exceeded in one second.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
const STEP_MS: u64 = 5;
const END_MS: u64 = 25_000;
/// Time between two reports of a gateway.
const REPORT_MS: u64 = 25;
/// Time after which an added gateway is known to the others.
const COUNTED_AFTER_MS: u64 = 9_000;
/// Longest time from the start of an upstream until a gateway reads its entry.
const MAX_READ_MS: u64 = 400;

/// Disturbance of the fleet.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Some gateways use another hub for 4 s. The gateways are given by the remainder of their
    /// number modulo 3.
    Hub { of: usize, hub: usize },
    /// A gateway does nothing for 2 s.
    Freeze { gateway: usize },
    /// A gateway loses its state.
    Restart { gateway: usize },
    /// All messages are lost for 1 s.
    Loss,
    /// Callers leave all gateways but a third of them for 3 s.
    Move { to: usize },
    /// As many gateways are added as there were at the start; the others do not know of them yet.
    Add,
    /// A gateway reads no entries for 6 s, and takes the upstreams to be as they were.
    CutOff { gateway: usize },
}

impl Arbitrary for Event {
    fn arbitrary(gen_: &mut Gen) -> Event {
        let gateway = usize::arbitrary(gen_) % 64;
        match u8::arbitrary(gen_) % 12 {
            0..=2 => Event::Hub {
                of: usize::arbitrary(gen_) % 3,
                hub: gateway,
            },
            3 | 4 => Event::Freeze { gateway },
            5 | 6 => Event::Restart { gateway },
            7 => Event::Loss,
            8 => Event::Move { to: gateway % 3 },
            9 => Event::CutOff { gateway },
            _ => Event::Add,
        }
    }
}

/// One gateway.
struct Node {
    limits: WarmUpLimits,
    permits: WarmUpIssuer,
    /// Counts the gateways that use this one as their hub.
    contacts: PermitIssuer<usize>,
    counted_by: TimeMs,
    frozen_until: TimeMs,
    cut_off_until: TimeMs,
    other_hub: Option<(usize, TimeMs)>,
    reported_at: TimeMs,
    synced_at: TimeMs,
    /// Start of each upstream that it read last.
    read: [Option<u64>; RATES.len()],
}

impl Node {
    fn new(now: TimeMs, counted_by: TimeMs) -> Node {
        Node {
            limits: WarmUpLimits::default(),
            permits: WarmUpIssuer::default(),
            contacts: PermitIssuer::default(),
            counted_by,
            frozen_until: now,
            cut_off_until: now,
            other_hub: None,
            reported_at: now,
            synced_at: TimeMs::default(),
            read: [None; RATES.len()],
        }
    }
}

/// A message on its way.
enum Message {
    Report {
        from: usize,
        reports: Vec<WarmUpReport>,
        is_sync: bool,
    },
    Answer(usize, Vec<WarmUpAnswer>),
}

struct Fleet {
    nodes: Vec<Node>,
    count_at_start: usize,
    messages: BTreeMap<(TimeMs, u64), (usize, Message)>,
    sent_messages: u64,
    lost_until: TimeMs,
    /// Third of the gateways that get all requests, and until when.
    moved: Option<(usize, TimeMs)>,
    rng: SmallRng,
    /// Whether requests are sent without permits, to show that the check finds it.
    ignores_limits: bool,
    /// Arrivals at each upstream while it was cold.
    arrivals: [Vec<u64>; RATES.len()],
}

fn begin() -> TimeMs {
    TimeMs(1_000_000)
}

fn id(index: usize) -> VmId {
    format!("i-{index}").parse().expect("valid VM name")
}

/// Returns when an upstream last started before a time.
fn started_ms(index: usize, at_ms: u64) -> u64 {
    let phase_ms = 700 * index as u64;
    at_ms.saturating_sub(phase_ms) / CYCLE_MS * CYCLE_MS + phase_ms
}

impl Fleet {
    fn new(gateways: usize) -> Fleet {
        Fleet {
            nodes: (0..gateways).map(|_| Node::new(begin(), begin())).collect(),
            count_at_start: gateways,
            messages: BTreeMap::new(),
            sent_messages: 0,
            lost_until: begin(),
            moved: None,
            rng: SmallRng::seed_from_u64(7),
            ignores_limits: false,
            arrivals: Default::default(),
        }
    }

    /// Sends a message to a gateway, which arrives between 2 and 30 ms later; one in 50 is lost.
    fn send(&mut self, to: usize, message: Message, now: TimeMs) {
        if now < self.lost_until || self.rng.random_ratio(1, 50) {
            return;
        }
        self.sent_messages += 1;
        let at = now.plus_ms(self.rng.random_range(2..30));
        let key = (at, self.sent_messages);
        self.messages.insert(key, (to, message));
    }

    fn apply(&mut self, event: Event, now: TimeMs) {
        let count = self.nodes.len();
        match event {
            Event::Hub { of, hub } => {
                let until = now.plus_ms(4_000);
                for node in self.nodes.iter_mut().skip(of).step_by(3) {
                    node.other_hub = Some((hub % count, until));
                }
            }
            Event::Freeze { gateway } => {
                self.nodes[gateway % count].frozen_until = now.plus_ms(2_000);
            }
            Event::Restart { gateway } => {
                let counted_by = self.nodes[gateway % count].counted_by;
                self.nodes[gateway % count] = Node::new(now, counted_by);
            }
            Event::Loss => self.lost_until = now.plus_ms(1_000),
            Event::Move { to } => self.moved = Some((to, now.plus_ms(3_000))),
            Event::Add if count == self.count_at_start => {
                let counted_by = now.plus_ms(COUNTED_AFTER_MS);
                let added = (0..count).map(|_| Node::new(now, counted_by));
                self.nodes.extend(added);
            }
            Event::Add => {}
            Event::CutOff { gateway } => {
                self.nodes[gateway % count].cut_off_until = now.plus_ms(6_000);
            }
        }
    }

    /// Returns the number of gateways that a gateway knows.
    fn known(&self, gateway: usize, now: TimeMs) -> usize {
        let knows_added = gateway >= self.count_at_start
            || self.nodes.last().is_some_and(|last| now >= last.counted_by);
        match knows_added {
            true => self.nodes.len(),
            false => self.count_at_start,
        }
    }

    /// Returns the first hub of a gateway: the last one that it knows.
    fn hub(&self, gateway: usize, now: TimeMs) -> usize {
        match self.nodes[gateway].other_hub {
            Some((hub, until)) if now < until => hub,
            _ => self.known(gateway, now) - 1,
        }
    }

    /// Returns the answers of a hub.
    fn answers(
        &mut self,
        hub: usize,
        from: usize,
        reports: &[WarmUpReport],
        is_sync: bool,
        now: TimeMs,
    ) -> Vec<WarmUpAnswer> {
        let node = &mut self.nodes[hub];
        // Each gateway also synchronises the limits that upstreams name.
        if is_sync {
            node.contacts.on_report(from, &[], now);
        }
        let share = node.contacts.settled_share(now);
        let mut answers = node.permits.on_report(reports, share, now);
        if is_sync {
            answers.extend(node.permits.cold(now));
        }
        answers
    }

    fn deliver(&mut self, now: TimeMs) {
        while let Some(entry) = self.messages.first_entry() {
            let ((at, _), to) = (*entry.key(), entry.get().0);
            if at > now {
                return;
            }
            let (_, message) = entry.remove();
            let frozen_until = self.nodes[to].frozen_until;
            if now < frozen_until {
                self.sent_messages += 1;
                let key = (frozen_until, self.sent_messages);
                self.messages.insert(key, (to, message));
                continue;
            }
            match message {
                Message::Report {
                    from,
                    reports,
                    is_sync,
                } => {
                    let answers = self.answers(to, from, &reports, is_sync, now);
                    self.send(from, Message::Answer(to, answers), now);
                }
                Message::Answer(from, answers) => {
                    if self.hub(to, now) == from {
                        self.nodes[to].limits.on_hub_answer(&answers, now);
                    }
                }
            }
        }
    }

    /// Lets a gateway read the entries of upstreams that started.
    fn read_entries(&mut self, gateway: usize, now: TimeMs) {
        let at_ms = now.since_ms(begin());
        let node = &mut self.nodes[gateway];
        if now < node.cut_off_until {
            return;
        }
        for (index, rate) in RATES.iter().enumerate() {
            let started_ms = started_ms(index, at_ms);
            let delay_ms = (gateway as u64 * 37 + started_ms / 7) % MAX_READ_MS;
            if node.read[index] != Some(started_ms) && at_ms >= started_ms + delay_ms {
                let until = Deadline(begin().plus_ms(started_ms + COLD_MS));
                let limit = PerSecond(*rate);
                node.limits.on_cold(&id(index), limit, until, now);
                node.read[index] = Some(started_ms);
            }
        }
    }

    fn report(&mut self, gateway: usize, now: TimeMs) {
        let (known, hub) = (self.known(gateway, now), self.hub(gateway, now));
        let node = &mut self.nodes[gateway];
        if now.since_ms(node.reported_at) < REPORT_MS {
            return;
        }
        node.reported_at = now;
        node.contacts.on_known(0..known, now);
        let is_sync = now.since_ms(node.synced_at) >= LIMIT_SYNC_MS;
        let reports = node.limits.due_reports(now >= node.counted_by, now);
        if reports.is_empty() && !is_sync {
            return;
        }
        if is_sync {
            node.synced_at = now;
        }
        if hub == gateway {
            let answers = self.answers(hub, gateway, &reports, is_sync, now);
            self.nodes[hub].limits.on_hub_answer(&answers, now);
        } else {
            let from = gateway;
            let message = Message::Report {
                from,
                reports,
                is_sync,
            };
            self.send(hub, message, now);
        }
    }

    /// Sends one request of a gateway to a random upstream that it may send to.
    fn request(&mut self, gateway: usize, now: TimeMs) {
        let at_ms = now.since_ms(begin());
        let node = &mut self.nodes[gateway];
        let is_cut_off = now < node.cut_off_until;
        let may_send = |index: &usize| {
            // An upstream that started is unknown until its entry is read.
            let started_ms = started_ms(*index, at_ms);
            let is_known = node.read[*index] == Some(started_ms);
            let is_usable = is_known || (is_cut_off && node.read[*index].is_some());
            is_usable && (self.ignores_limits | node.limits.may_send(&id(*index), now))
        };
        let usable: Vec<usize> = (0..RATES.len()).filter(may_send).collect();
        if usable.is_empty() {
            return;
        }
        let index = usable[self.rng.random_range(0..usable.len())];
        node.limits.on_sent(&id(index), now);
        if at_ms < started_ms(index, at_ms) + COLD_MS {
            self.arrivals[index].push(at_ms);
        }
    }

    /// Plays the events, one a second from 2 s on, with `per_s` requests a second at each gateway.
    fn play(&mut self, events: &[Event], per_s: f64) {
        for at_ms in (0..END_MS).step_by(STEP_MS as usize) {
            let now = begin().plus_ms(at_ms);
            if at_ms >= 2_000
                && at_ms.is_multiple_of(1_000)
                && let Some(event) = events.get((at_ms / 1_000 - 2) as usize)
            {
                self.apply(*event, now);
            }
            self.deliver(now);
            let moved = self.moved.filter(|(_, until)| now < *until);
            for gateway in 0..self.nodes.len() {
                if now < self.nodes[gateway].frozen_until {
                    continue;
                }
                self.read_entries(gateway, now);
                self.report(gateway, now);
                let per_s = match moved {
                    Some((to, _)) if gateway % 3 == to => 3.0 * per_s,
                    Some(_) => 0.0,
                    None => per_s,
                };
                if self
                    .rng
                    .random_bool((per_s * STEP_MS as f64 / 1_000.0).min(1.0))
                {
                    self.request(gateway, now);
                }
            }
        }
    }

    /// Returns the first second in which a cold upstream got too many requests, if any.
    fn excess(&self) -> Option<String> {
        for (index, (rate, arrivals)) in RATES.iter().zip(&self.arrivals).enumerate() {
            let max = FACTOR * rate + SLACK;
            for begin_ms in arrivals {
                let is_inside = |at_ms: &&u64| (*begin_ms..begin_ms + 1_000).contains(*at_ms);
                let count = arrivals.iter().filter(is_inside).count();
                if count as f64 > max {
                    return Some(format!(
                        "upstream {index}: {count} requests from {begin_ms} ms, {max} allowed"
                    ));
                }
            }
        }
        None
    }
}

fn holds_under(gateways: usize, per_s: f64, events: &[Event]) -> bool {
    let mut fleet = Fleet::new(gateways);
    fleet.play(events, per_s);
    let excess = fleet.excess();
    if let Some(excess) = &excess {
        println!("{excess}");
    }
    excess.is_none()
}

macro_rules! limit_holds_in_any_second {
    ($($name:ident: $gateways:expr, $per_s:expr;)*) => {
        $(#[test]
        fn $name() {
            fn holds(mut events: Vec<Event>) -> bool {
                // What one gateway of a few sends until the others tell it is beyond the limit.
                let is_large = $gateways >= 60;
                events.retain(|event| is_large || !matches!(event, Event::CutOff { .. }));
                events.truncate(23);
                holds_under($gateways, $per_s, &events)
            }
            QuickCheck::new().tests(20).quickcheck(holds as fn(Vec<Event>) -> bool);
        })*
    };
}

limit_holds_in_any_second! {
    limit_of_one_gateway: 1, 600.0;
    limit_of_a_small_fleet: 6, 100.0;
    limit_of_a_large_fleet: 60, 10.0;
}

/// Defines tests of the limit in a large fleet under these events.
macro_rules! limit_holds_under {
    ($($name:ident: [$($event:expr),*];)*) => {
        $(#[test]
        fn $name() {
            assert!(holds_under(60, 10.0, &[$($event),*]));
        })*
    };
}

limit_holds_under! {
    limit_under_other_hubs_moved_callers_a_cut_off_gateway_and_loss: [
        Event::Hub { of: 0, hub: 3 },
        Event::Move { to: 1 },
        Event::CutOff { gateway: 37 },
        Event::Loss
    ];
}

/// Shows that the check of the simulated fleet finds requests beyond the limit.
#[test]
fn requests_without_permits_are_found() {
    let mut fleet = Fleet::new(6);
    fleet.ignores_limits = true;
    fleet.play(&[], 100.0);
    assert!(fleet.excess().is_some());
}

/// Guards against a limit that leaves a cold upstream without requests.
#[test]
fn cold_upstream_gets_two_fifths_of_its_rate_in_calm() {
    for (gateways, per_s) in [(6, 100.0), (60, 10.0)] {
        let mut fleet = Fleet::new(gateways);
        fleet.play(&[], per_s);
        let cycles = (END_MS / CYCLE_MS - 1) as f64;
        for (index, rate) in RATES.iter().enumerate().take(3) {
            let per_cycle = fleet.arrivals[index].len() as f64 / cycles;
            let taken = rate * COLD_MS as f64 / 1_000.0;
            assert!(
                per_cycle >= 0.4 * taken,
                "{per_cycle} of {taken} at {gateways}"
            );
        }
    }
}

fn warm_up() -> WarmUp {
    WarmUp {
        duration_ms: COLD_MS,
        max_per_s: PerSecond(17.0),
    }
}

fn entry(started_unix_ms: u64, warm_up_left_ms: Option<u64>) -> Upstream {
    Upstream {
        id: id(0),
        started_unix_ms,
        service: "service".parse().expect("valid name"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        data_centre: "dc".parse().expect("valid name"),
        state: UpstreamState::Ready,
        slots: 4,
        domain: None,
        staged: Vec::new(),
        model: None,
        membership: None,
        warm_up_left_ms,
        is_listed: true,
    }
}

/// One step of what a gateway learns: at this time in ms, an entry with a start time and a stated
/// time, or that the entry is missing, an answer, or the end of an evacuation.
enum Learnt {
    Entry(u64, Option<u64>),
    Missing,
    Answer(u64),
    EvacuationEnd,
}

/// Returns the time in ms at which the upstream is warm after these steps; `None` if it is warm.
fn warm_at(steps: &[(u64, Learnt)]) -> Option<u64> {
    let mut warm_ups = WarmUps::default();
    let mut ended_at = None;
    let mut last = entry(1, Some(0));
    let mut now = begin();
    for (at_ms, learnt) in steps {
        now = begin().plus_ms(*at_ms);
        match learnt {
            Learnt::Entry(started, stated) => {
                last = entry(*started, *stated);
                warm_ups.on_entry(&last, &warm_up(), ended_at, now);
            }
            Learnt::Missing => warm_ups.retain(|_| false, now),
            Learnt::Answer(left_ms) => {
                warm_ups.on_answer(&id(0), *left_ms, &warm_up(), now);
            }
            Learnt::EvacuationEnd => {
                ended_at = Some(now);
                let basis = warm_ups.on_entry(&last, &warm_up(), ended_at, now);
                assert_eq!(basis, Some(WarmUpBasis::Evacuation));
            }
        }
    }
    let until = warm_ups.cold_until(&id(0), now)?;
    Some(until.0.since_ms(begin()))
}

macro_rules! upstream_is_warm {
    ($($name:ident: [$($step:expr),*] => $warm_at:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(warm_at(&[$($step),*]), $warm_at);
        })*
    };
}

use Learnt::{Answer, Entry, EvacuationEnd, Missing};

upstream_is_warm! {
    at_once_if_its_entry_says_so: [(0, Entry(1, Some(0)))] => None;
    after_the_time_that_its_entry_states: [(0, Entry(1, Some(2_000)))] => Some(2_000);
    after_the_longest_time_if_the_stated_one_is_absurd: [(0, Entry(1, Some(u64::MAX)))]
        => Some(COLD_MS);
    after_the_longest_time_if_nothing_is_stated: [(0, Entry(1, None))] => Some(COLD_MS);
    no_later_if_the_same_entry_is_read_again:
        [(0, Entry(1, Some(2_000))), (1_000, Entry(1, Some(2_000)))] => Some(2_000);
    no_sooner_if_an_older_entry_is_read:
        [(0, Entry(1, Some(2_000))), (1_000, Entry(1, Some(0)))] => Some(2_000);
    later_if_it_becomes_cold_again:
        [(0, Entry(1, Some(0))), (9_000, Entry(1, Some(2_500)))] => Some(11_500);
    later_after_a_restart:
        [(0, Entry(1, Some(2_000))), (1_000, Entry(2, None))] => Some(1_000 + COLD_MS);
    later_if_its_entry_is_back:
        [(0, Entry(1, Some(2_000))), (5_000, Missing), (6_000, Entry(1, Some(2_000)))]
        => Some(8_000);
    no_sooner_if_its_entry_is_away:
        [(0, Entry(1, Some(2_000))), (500, Missing), (600, Entry(1, Some(0)))] => Some(2_000);
    later_if_an_answer_states_it: [(0, Entry(1, Some(0))), (10, Answer(900))] => Some(910);
    after_the_longest_time_once_an_evacuation_ended:
        [(0, Entry(1, Some(0))), (5_000, EvacuationEnd), (5_100, Entry(1, Some(0)))]
        => Some(5_000 + COLD_MS);
}

/// Guards against ends that move on as gateways and hubs tell each other.
#[test]
fn end_of_a_warm_up_does_not_move_on() {
    let limit = PerSecond(17.0);
    let (mut gateways, mut hub) = (
        [(); 2].map(|()| WarmUpLimits::default()),
        WarmUpIssuer::default(),
    );
    gateways[0].on_cold(&id(0), limit, Deadline::after_ms(begin(), COLD_MS), begin());
    let mut messages: Vec<(TimeMs, usize, Vec<WarmUpAnswer>)> = Vec::new();
    for at_ms in (0..COLD_MS + 1_000).step_by(25) {
        let now = begin().plus_ms(at_ms);
        for (index, gateway) in gateways.iter_mut().enumerate() {
            let reports = gateway.due_reports(true, now);
            let mut answers = hub.on_report(&reports, 1.0, now);
            answers.extend(hub.cold(now));
            messages.push((now.plus_ms(80), index, answers));
        }
        for (_, index, answers) in messages.extract_if(.., |(at, ..)| *at <= now) {
            gateways[index].on_hub_answer(&answers, now);
        }
    }
    let now = begin().plus_ms(COLD_MS + 200);
    assert!(!gateways[0].is_cold(&id(0), now) && !gateways[1].is_cold(&id(0), now));
}

/// Regression test: a gateway that was frozen used permits that others had replaced meanwhile.
#[test]
fn permit_that_is_read_late_is_not_used() {
    let mut limits = WarmUpLimits::default();
    let until = Deadline::after_ms(begin(), COLD_MS);
    limits.on_cold(&id(0), PerSecond(17.0), until, begin());
    assert!(!limits.may_send(&id(0), begin()));
    let answer = |asked_at| WarmUpAnswer {
        upstream: id(0),
        max_per_s: PerSecond(17.0),
        left_ms: 1,
        permits: 1,
        asked_at,
    };
    let now = begin().plus_ms(1_000);
    limits.on_hub_answer(&[answer(begin())], now);
    assert!(!limits.may_send(&id(0), now));
    limits.on_hub_answer(&[answer(now)], now);
    assert!(limits.may_send(&id(0), now));
    limits.on_sent(&id(0), now);
    assert!(!limits.may_send(&id(0), now));
}

/// A fleet that is split in two for a minute: each half has a hub, and both reach the upstreams. Neither hub
/// may take its half for the whole fleet.
#[test]
fn hub_of_half_a_fleet_counts_the_other_half_for_long() {
    let mut contacts = PermitIssuer::default();
    let begin = TimeMs(1_000_000);
    contacts.on_known(0..4_usize, begin);
    for ms in (0..60_000).step_by(200) {
        let now = begin.plus_ms(ms);
        for gateway in 0..2 {
            contacts.on_report(gateway, &[], now);
        }
        let share = contacts.settled_share(now);
        assert!(share <= 0.5, "a share of {share} after {ms} ms");
    }
}
