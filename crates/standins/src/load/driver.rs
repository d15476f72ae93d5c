//! The event queue that drives the decision crates: nodes in front of engine groups.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
};

use jacinthpoint_routing::Candidate;
use rand::{SeedableRng, rngs::SmallRng};

use crate::load::{
    arrivals::{Arrival, arrivals, weighted},
    engines::{EngineGroup, GroupState, Job, Started, service_ms},
    report::{Ended, Report},
    routers::{Router, RouterKind},
    shape::Shape,
};

/// How often a group's load is sampled.
const SAMPLE_MS: u64 = 300;
/// Time from a sample until the nodes see it.
const SAMPLE_LAG_MS: u64 = 300;
/// Time until the nodes know that a group is gone: the life of a permit.
const PERMIT_MS: u64 = 1_000;
/// Attempts of one request.
const MAX_ATTEMPTS: usize = 3;

/// A fault on a schedule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Groups from the first to before the second number die.
    Kill(usize, usize),
    /// A group's steps take longer.
    Straggle(usize, f64),
    /// A group fails every request at once and reports no load.
    ErrorFast(usize),
    /// No group's report changes any more.
    FreezeReports,
}

/// One experiment.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed of the arrivals and of the nodes' choices.
    pub seed: u64,
    /// Nodes in front.
    pub nodes: usize,
    /// Share of the arrivals that the first node gets; the rest goes evenly to the others.
    pub first_node_share: Option<f64>,
    /// Engine groups.
    pub groups: usize,
    /// Requests that a group runs at once.
    pub slots: usize,
    /// Arrival rate as a multiple of what the groups can serve.
    pub load_factor: f64,
    /// Who asks.
    pub shape: Shape,
    /// Time during which requests come.
    pub duration_ms: u64,
    /// Requests that come earlier are not counted.
    pub warm_up_ms: u64,
    /// How nodes choose.
    pub router: RouterKind,
    /// Faults by time.
    pub faults: Vec<(u64, Fault)>,
}

impl Scenario {
    /// Eight nodes in front of 50 groups of 16 slots.
    pub fn new(seed: u64, shape: Shape, load_factor: f64) -> Scenario {
        Scenario {
            seed,
            nodes: 8,
            first_node_share: None,
            groups: 50,
            slots: 16,
            load_factor,
            shape,
            duration_ms: 120_000,
            warm_up_ms: 20_000,
            router: RouterKind::TwoByEstimate,
            faults: Vec::new(),
        }
    }

    /// Arrivals a second that keep all slots busy.
    pub fn capacity_per_s(&self) -> f64 {
        let sample = arrivals(&self.shape, 1_000.0, 20_000, self.seed);
        let cost_ms = |a: &Arrival| service_ms(a.prompt_tokens, a.answer_tokens);
        let mean_ms = sample.iter().map(cost_ms).sum::<f64>() / sample.len() as f64;
        (self.groups * self.slots) as f64 * 1_000.0 / mean_ms
    }
}

/// What a run gave.
#[derive(Debug, Clone, Default)]
pub struct Outcomes {
    /// Ends by organisation and class.
    pub report: Report,
    /// Requests that found their prefix cached, of all that started.
    pub cache_hits: u64,
    /// Requests that started.
    pub started: u64,
    /// Attempts that each group was sent.
    pub attempts: Vec<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Fault(usize),
    Sample,
    Publish,
    Arrive(usize),
    Done(usize),
}

struct NodeView {
    router: Router,
    rng: SmallRng,
    in_flight: Vec<u32>,
}

/// Where a request is.
#[derive(Debug, Clone, Default)]
struct Progress {
    node: usize,
    group: usize,
    attempts: usize,
    failed: BTreeSet<usize>,
    started: Option<Started>,
    is_over: bool,
}

struct Run<'a> {
    scenario: &'a Scenario,
    arrivals: Vec<Arrival>,
    progress: Vec<Progress>,
    nodes: Vec<NodeView>,
    groups: Vec<EngineGroup>,
    sampled: Vec<u32>,
    reported: Vec<u32>,
    reported_at_ms: Vec<u64>,
    died_at_ms: Vec<Option<u64>>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    now_ms: u64,
    outcomes: Outcomes,
}

/// Runs a scenario to its end.
pub fn run(scenario: &Scenario) -> Outcomes {
    let mut run = Run::new(scenario);
    while let Some(Reverse((at_ms, event))) = run.events.pop() {
        run.now_ms = at_ms;
        run.handle(event);
    }
    run.outcomes
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Run<'a> {
        let rate_per_s = scenario.capacity_per_s() * scenario.load_factor;
        let arrivals = arrivals(
            &scenario.shape,
            rate_per_s,
            scenario.duration_ms,
            scenario.seed,
        );
        let mut events: BinaryHeap<_> = arrivals
            .iter()
            .enumerate()
            .map(|(index, arrival)| Reverse((arrival.at_ms, Event::Arrive(index))))
            .collect();
        for (index, (at_ms, _)) in scenario.faults.iter().enumerate() {
            events.push(Reverse((*at_ms, Event::Fault(index))));
        }
        events.push(Reverse((0, Event::Sample)));
        let nodes = (0..scenario.nodes).map(|node| NodeView {
            router: scenario.router.router(),
            rng: SmallRng::seed_from_u64(scenario.seed ^ (node as u64 + 1) << 32),
            in_flight: vec![0; scenario.groups],
        });
        Run {
            progress: vec![Progress::default(); arrivals.len()],
            arrivals,
            nodes: nodes.collect(),
            groups: (0..scenario.groups)
                .map(|_| EngineGroup::new(scenario.slots))
                .collect(),
            sampled: vec![0; scenario.groups],
            reported: vec![0; scenario.groups],
            reported_at_ms: vec![0; scenario.groups],
            died_at_ms: vec![None; scenario.groups],
            events,
            now_ms: 0,
            outcomes: Outcomes {
                attempts: vec![0; scenario.groups],
                ..Outcomes::default()
            },
            scenario,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Fault(index) => self.strike(self.scenario.faults[index].1),
            Event::Sample => self.sample(),
            Event::Publish => self.publish(),
            Event::Arrive(request) => self.arrive(request),
            Event::Done(request) => self.done(request),
        }
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.events.push(Reverse((self.now_ms + delay_ms, event)));
    }

    fn sample(&mut self) {
        for (group, sampled) in self.groups.iter().zip(&mut self.sampled) {
            if !group.reports_frozen {
                *sampled = group.load();
            }
        }
        self.after(SAMPLE_LAG_MS, Event::Publish);
        if self.now_ms < self.scenario.duration_ms {
            self.after(SAMPLE_MS, Event::Sample);
        }
    }

    fn publish(&mut self) {
        let sampled_at_ms = self.now_ms - SAMPLE_LAG_MS;
        for (index, group) in self.groups.iter().enumerate() {
            if !group.reports_frozen {
                self.reported[index] = self.sampled[index];
                self.reported_at_ms[index] = sampled_at_ms;
            }
        }
    }

    fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(first, end) => (first..end).for_each(|group| self.kill(group)),
            Fault::Straggle(group, slowness) => {
                self.groups[group].state = GroupState::Up { slowness };
            }
            Fault::ErrorFast(group) => self.groups[group].state = GroupState::ErrorFast,
            Fault::FreezeReports => {
                self.groups.iter_mut().for_each(|g| g.reports_frozen = true);
            }
        }
    }

    fn kill(&mut self, group: usize) {
        self.groups[group].die();
        self.died_at_ms[group] = Some(self.now_ms);
        let lost: Vec<usize> = (0..self.progress.len())
            .filter(|request| {
                let progress = &self.progress[*request];
                progress.attempts > 0 && !progress.is_over && progress.group == group
            })
            .collect();
        for request in lost {
            self.fail_attempt(request);
        }
    }

    fn arrive(&mut self, request: usize) {
        let node = self.pick_node(request);
        self.progress[request].node = node;
        self.dispatch(request);
    }

    /// The node that the balancer gives a request to.
    fn pick_node(&mut self, request: usize) -> usize {
        let nodes = self.scenario.nodes;
        let even = 1.0 / nodes as f64;
        let first = self.scenario.first_node_share.unwrap_or(even);
        let others = (1.0 - first) / (nodes.max(2) - 1) as f64;
        let weights = (0..nodes).map(|node| if node == 0 { first } else { others });
        let seed = self
            .scenario
            .seed
            .wrapping_mul(31)
            .wrapping_add(request as u64);
        weighted(weights, &mut SmallRng::seed_from_u64(seed))
    }

    fn dispatch(&mut self, request: usize) {
        let candidates = self.candidates(request);
        let prefix = self.arrivals[request].prefix;
        let node = &mut self.nodes[self.progress[request].node];
        match (node.router)(&candidates, prefix, &mut node.rng) {
            Some(group) => self.send(request, group),
            None => self.end(request, Ended::Failed),
        }
    }

    /// Groups that the request's node believes it may use.
    fn candidates(&self, request: usize) -> Vec<Candidate<usize>> {
        let progress = &self.progress[request];
        let node = &self.nodes[progress.node];
        let is_known_dead = |group: usize| {
            self.died_at_ms[group].is_some_and(|at_ms| self.now_ms >= at_ms + PERMIT_MS)
        };
        (0..self.groups.len())
            .filter(|group| !progress.failed.contains(group) && !is_known_dead(*group))
            .map(|group| Candidate {
                key: group,
                in_flight: node.in_flight[group],
                reported: self.reported[group],
                report_age_ms: self.now_ms - self.reported_at_ms[group],
            })
            .collect()
    }

    fn send(&mut self, request: usize, group: usize) {
        let progress = &mut self.progress[request];
        progress.group = group;
        progress.attempts += 1;
        self.outcomes.attempts[group] += 1;
        self.nodes[progress.node].in_flight[group] += 1;
        if !matches!(self.groups[group].state, GroupState::Up { .. }) {
            return self.fail_attempt(request);
        }
        let arrival = &self.arrivals[request];
        let job = Job {
            request,
            prompt_tokens: arrival.prompt_tokens,
            answer_tokens: arrival.answer_tokens,
            prefix: arrival.prefix,
            priority: arrival.priority,
        };
        let started = self.groups[group].take(job, self.now_ms);
        self.start(started);
    }

    fn start(&mut self, started: Option<Started>) {
        let Some(started) = started else { return };
        self.outcomes.started += 1;
        self.outcomes.cache_hits += u64::from(started.was_cached);
        self.progress[started.request].started = Some(started);
        let event = Event::Done(started.request);
        self.events.push(Reverse((started.done_at_ms, event)));
    }

    fn fail_attempt(&mut self, request: usize) {
        let progress = &mut self.progress[request];
        self.nodes[progress.node].in_flight[progress.group] -= 1;
        progress.failed.insert(progress.group);
        progress.started = None;
        if progress.attempts < MAX_ATTEMPTS {
            self.dispatch(request);
        } else {
            self.end(request, Ended::Failed);
        }
    }

    fn done(&mut self, request: usize) {
        let progress = &self.progress[request];
        // An end that belongs to an attempt which was lost meanwhile.
        let is_current = progress
            .started
            .is_some_and(|s| s.done_at_ms == self.now_ms);
        let Some(started) = progress.started.filter(|_| is_current && !progress.is_over) else {
            return;
        };
        let group = progress.group;
        self.nodes[progress.node].in_flight[group] -= 1;
        let arrival = &self.arrivals[request];
        let first_token_ms = started.first_token_at_ms - arrival.at_ms;
        let is_in_time = self.now_ms <= arrival.at_ms + arrival.patience_ms;
        self.end(
            request,
            if is_in_time {
                Ended::InTime { first_token_ms }
            } else {
                Ended::Late { first_token_ms }
            },
        );
        let next = self.groups[group].finish(self.now_ms);
        self.start(next);
    }

    fn end(&mut self, request: usize, ended: Ended) {
        self.progress[request].is_over = true;
        let arrival = &self.arrivals[request];
        if arrival.at_ms >= self.scenario.warm_up_ms {
            let report = &mut self.outcomes.report;
            report.take(&arrival.organisation, arrival.priority, ended);
        }
    }
}
