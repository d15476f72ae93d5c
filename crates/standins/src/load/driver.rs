//! The event queue that drives the decision crates: nodes in front of engine groups.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
};

use jacinthpoint_admission::{FinishedAttempt, Refusal, retry_after_ms};
use jacinthpoint_routing::Candidate;
use jacinthpoint_types::{Deadline, TimeMs};
use rand::{SeedableRng, rngs::SmallRng};

use crate::load::{
    arrivals::{Arrival, weighted},
    engines::{EngineGroup, GroupState, Job, Started},
    node::Node,
    report::Ended,
    scenario::{Outcomes, Retrying, Scenario, Second},
};

mod groups;

/// Time until the nodes know that a group is gone: the life of a permit.
const PERMIT_MS: u64 = 1_000;
/// How often a node looks whether its queue can move on, as the threads that wait in a node do.
const POLL_MS: u64 = 50;
/// Attempts of one request.
const MAX_ATTEMPTS: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Fault(usize),
    Sample,
    Publish,
    Poll,
    Arrive(usize),
    FirstToken(usize, usize),
    Done(usize, usize),
    Deadline(usize),
}

/// Where a request is.
#[derive(Debug, Clone, Default)]
struct Progress {
    node: usize,
    /// The group it was sent to, while it is there.
    group: Option<usize>,
    attempts: usize,
    sent_at_ms: u64,
    failed: BTreeSet<usize>,
    started: Option<Started>,
    is_over: bool,
}

struct Run<'a> {
    scenario: &'a Scenario,
    arrivals: Vec<Arrival>,
    progress: Vec<Progress>,
    nodes: Vec<Node>,
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
    run.outcomes.flaps = run.nodes.first().map_or(0, |node| node.flaps);
    run.outcomes
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Run<'a> {
        let arrivals = scenario.arrivals();
        let mut events = BinaryHeap::new();
        for (index, arrival) in arrivals.iter().enumerate() {
            let deadline_ms = arrival.at_ms + arrival.patience_ms;
            events.push(Reverse((arrival.at_ms, Event::Arrive(index))));
            events.push(Reverse((deadline_ms, Event::Deadline(index))));
        }
        for (index, (at_ms, _)) in scenario.faults.iter().enumerate() {
            events.push(Reverse((*at_ms, Event::Fault(index))));
        }
        events.push(Reverse((0, Event::Sample)));
        events.push(Reverse((0, Event::Poll)));
        let groups = scenario.groups;
        let nodes = (0..scenario.nodes).map(|node| {
            let seed = scenario.seed ^ ((node as u64 + 1) << 32);
            Node::new(
                seed,
                scenario.router,
                scenario.gate,
                scenario.ejects,
                groups,
            )
        });
        Run {
            progress: vec![Progress::default(); arrivals.len()],
            arrivals,
            nodes: nodes.collect(),
            groups: (0..groups).map(|_| groups::new_group(scenario)).collect(),
            sampled: vec![0; groups],
            reported: vec![0; groups],
            reported_at_ms: vec![0; groups],
            died_at_ms: vec![None; groups],
            events,
            now_ms: 0,
            outcomes: Outcomes {
                attempts: vec![0; groups],
                seconds: vec![Second::default(); scenario.duration_ms as usize / 1_000 + 1],
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
            Event::Poll => self.poll(),
            Event::Arrive(request) => self.arrive(request),
            Event::FirstToken(request, attempt) => self.first_token(request, attempt),
            Event::Done(request, attempt) => self.done(request, attempt),
            Event::Deadline(request) => self.deadline(request),
        }
    }

    fn poll(&mut self) {
        for node in 0..self.nodes.len() {
            self.pump(node);
        }
        if self.now_ms < self.scenario.duration_ms {
            self.at(self.now_ms + POLL_MS, Event::Poll);
        }
    }

    fn now(&self) -> TimeMs {
        TimeMs(self.now_ms)
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.events.push(Reverse((at_ms, event)));
    }

    fn arrive(&mut self, request: usize) {
        let node = self.pick_node(request);
        self.progress[request].node = node;
        if !self.nodes[node].has_gate() {
            return self.dispatch(request, None);
        }
        let usable = self.usable(node);
        let arrival = &self.arrivals[request];
        let deadline = Deadline(TimeMs(arrival.at_ms + arrival.patience_ms));
        let now = self.now();
        match self.nodes[node].arrive(request, arrival, deadline, &usable, now) {
            Ok(()) => self.pump(node),
            Err(refusal) => self.refuse(request, refusal),
        }
    }

    fn refuse(&mut self, request: usize, refusal: Refusal) {
        let (Refusal::Shed { wait_ms } | Refusal::DeadlineUnreachable { wait_ms }) = refusal;
        let node = self.progress[request].node;
        let told_ms = retry_after_ms(wait_ms, &mut self.nodes[node].rng);
        let back_at_ms = match self.scenario.retrying {
            Retrying::Never => None,
            Retrying::WhenTold => Some(self.now_ms + told_ms),
            Retrying::AfterMs(ms) => Some(self.now_ms + ms),
        };
        let arrival = &self.arrivals[request];
        let patience_ends_ms = arrival.at_ms + arrival.patience_ms;
        match back_at_ms.filter(|at_ms| *at_ms < patience_ends_ms) {
            Some(at_ms) => self.at(at_ms, Event::Arrive(request)),
            None => self.shed(request),
        }
    }

    fn shed(&mut self, request: usize) {
        let after_ms = self.now_ms - self.arrivals[request].at_ms;
        self.end(request, Ended::Shed { after_ms });
    }

    /// Sends what the node's gate lets go.
    fn pump(&mut self, node: usize) {
        let now = self.now();
        for request in self.nodes[node].take_hopeless(now) {
            self.shed(request);
        }
        let usable = self.usable(node);
        while let Some(go) = self.nodes[node].next(&usable, now) {
            self.dispatch(go.request, Some(&go.open));
        }
    }

    /// The node that the balancer gives a request to.
    fn pick_node(&self, request: usize) -> usize {
        let nodes = self.scenario.nodes;
        let even = 1.0 / nodes as f64;
        let first = self.scenario.first_node_share.unwrap_or(even);
        let others = (1.0 - first) / (nodes.max(2) - 1) as f64;
        let weights = (0..nodes).map(|node| if node == 0 { first } else { others });
        let seed = self.scenario.seed.wrapping_mul(31);
        weighted(
            weights,
            &mut SmallRng::seed_from_u64(seed.wrapping_add(request as u64)),
        )
    }

    fn dispatch(&mut self, request: usize, open: Option<&[usize]>) {
        let usable = open.map_or_else(
            || self.usable(self.progress[request].node),
            <[usize]>::to_vec,
        );
        let candidates = self.candidates(request, &usable);
        let prefix = self.arrivals[request].prefix;
        let node = &mut self.nodes[self.progress[request].node];
        match node.choose(&candidates, prefix) {
            Some(group) => self.send(request, group),
            None => self.end(request, Ended::Failed),
        }
    }

    /// Groups that a node believes it may use.
    fn usable(&self, node: usize) -> Vec<usize> {
        let is_known_dead = |group: &usize| {
            self.died_at_ms[*group].is_some_and(|at_ms| self.now_ms >= at_ms + PERMIT_MS)
        };
        let usable = (0..self.groups.len()).filter(|group| !is_known_dead(group));
        self.nodes[node].not_ejected(usable.collect(), self.now())
    }

    fn candidates(&self, request: usize, usable: &[usize]) -> Vec<Candidate<usize>> {
        let progress = &self.progress[request];
        let node = &self.nodes[progress.node];
        let untried = usable.iter().filter(|g| !progress.failed.contains(g));
        untried
            .map(|&group| Candidate {
                key: group,
                in_flight: node.in_flight[group],
                reported: self.reported[group],
                report_age_ms: self.now_ms - self.reported_at_ms[group],
                is_near: self.is_near(progress.node, group),
            })
            .collect()
    }

    fn is_near(&self, node: usize, group: usize) -> bool {
        let data_centres = self.scenario.data_centres;
        node % data_centres == group % data_centres
    }

    fn send(&mut self, request: usize, group: usize) {
        let arrival = &self.arrivals[request];
        let job = Job {
            request,
            prompt_tokens: arrival.prompt_tokens,
            answer_tokens: arrival.answer_tokens,
            prefix: arrival.prefix,
            priority: arrival.priority,
        };
        let is_near = self.is_near(self.progress[request].node, group);
        let progress = &mut self.progress[request];
        progress.group = Some(group);
        progress.attempts += 1;
        progress.sent_at_ms = self.now_ms;
        self.outcomes.attempts[group] += 1;
        self.outcomes.near_attempts += u64::from(is_near);
        self.nodes[progress.node].start(group, job.priority, TimeMs(self.now_ms));
        if !matches!(self.groups[group].state, GroupState::Up { .. }) {
            return self.fail_attempt(request, group);
        }
        let started = self.groups[group].take(job, self.now_ms);
        self.start(started);
    }

    fn start(&mut self, started: Option<Started>) {
        let Some(started) = started else { return };
        let request = started.request;
        self.outcomes.started += 1;
        self.outcomes.cache_hits += u64::from(started.was_cached);
        self.progress[request].started = Some(started);
        let attempt = self.progress[request].attempts;
        self.at(
            started.first_token_at_ms,
            Event::FirstToken(request, attempt),
        );
        self.at(started.done_at_ms, Event::Done(request, attempt));
    }

    fn first_token(&mut self, request: usize, attempt: usize) {
        let progress = &self.progress[request];
        let Some(group) = progress.group.filter(|_| progress.attempts == attempt) else {
            return;
        };
        let (started_at, now) = (TimeMs(progress.sent_at_ms), self.now());
        let priority = self.arrivals[request].priority;
        self.nodes[progress.node].on_first_token(group, priority, started_at, now);
    }

    /// Takes a request off its group.
    fn leave_group(&mut self, request: usize, group: usize, is_failure: bool) {
        let now = self.now();
        let progress = &mut self.progress[request];
        progress.group = None;
        let finished = FinishedAttempt {
            priority: self.arrivals[request].priority,
            started_at: TimeMs(progress.sent_at_ms),
            has_token: progress
                .started
                .is_some_and(|started| started.first_token_at_ms <= self.now_ms),
            is_failure,
        };
        self.nodes[progress.node].finish(group, finished, now);
    }

    fn fail_attempt(&mut self, request: usize, group: usize) {
        self.leave_group(request, group, true);
        let progress = &mut self.progress[request];
        progress.failed.insert(group);
        progress.started = None;
        if progress.attempts < MAX_ATTEMPTS {
            self.dispatch(request, None);
        } else {
            self.end(request, Ended::Failed);
        }
    }

    fn done(&mut self, request: usize, attempt: usize) {
        let progress = &self.progress[request];
        let Some(group) = progress.group.filter(|_| progress.attempts == attempt) else {
            return;
        };
        let Some(started) = progress.started else {
            return;
        };
        let first_token_ms = started.first_token_at_ms - self.arrivals[request].at_ms;
        self.leave_group(request, group, false);
        self.end(request, Ended::InTime { first_token_ms });
        self.free_slot(group);
        self.pump(self.progress[request].node);
    }

    fn free_slot(&mut self, group: usize) {
        let next = self.groups[group].finish(self.now_ms);
        self.start(next);
    }

    /// Gives a request up: the node cancels it, wherever it is.
    fn deadline(&mut self, request: usize) {
        let progress = &self.progress[request];
        if progress.is_over {
            return;
        }
        let (node, started) = (progress.node, progress.started);
        let Some(group) = progress.group else {
            self.nodes[node].withdraw(request);
            return self.shed(request);
        };
        self.leave_group(request, group, false);
        let at_ms = self.arrivals[request].at_ms;
        let first_token_ms =
            started.map_or(self.now_ms, |s| s.first_token_at_ms.min(self.now_ms)) - at_ms;
        self.end(request, Ended::Late { first_token_ms });
        if started.is_some() {
            self.free_slot(group);
        } else {
            self.groups[group].cancel_queued(request);
        }
        self.pump(node);
    }

    fn end(&mut self, request: usize, ended: Ended) {
        self.progress[request].is_over = true;
        let arrival = &self.arrivals[request];
        let second = &mut self.outcomes.seconds[arrival.at_ms as usize / 1_000];
        second.offered += 1;
        second.in_time += u64::from(matches!(ended, Ended::InTime { .. }));
        if self.scenario.counts(arrival.at_ms) {
            let report = &mut self.outcomes.report;
            report.take(&arrival.organisation, arrival.priority, ended);
        }
    }
}
