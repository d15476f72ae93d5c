//! What an experiment runs.

use jacinthpoint_admission::GateSettings;

use crate::load::{
    arrivals::{Arrival, arrivals},
    engines::service_ms,
    report::Report,
    routers::RouterKind,
    shape::Shape,
};

/// A fault on a schedule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Groups from the first to before the second number die.
    Kill(usize, usize),
    /// Groups from the first to before the second number come back, with nothing cached.
    Revive(usize, usize),
    /// A group's steps take longer.
    Straggle(usize, f64),
    /// A group fails every request at once and reports no load.
    ErrorFast(usize),
    /// No group's report changes any more.
    FreezeReports,
}

/// What refused callers do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retrying {
    /// They give up.
    Never,
    /// They come back when they were told to, until their patience ends.
    WhenTold,
    /// They come back after this time, whatever they were told.
    AfterMs(u64),
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
    /// Whether groups take requests in the order they come, whatever their class.
    pub fifo_engines: bool,
    /// Arrival rate as a multiple of what the groups can serve.
    pub load_factor: f64,
    /// Who asks.
    pub shape: Shape,
    /// Time during which requests come.
    pub duration_ms: u64,
    /// Requests that come earlier are not counted.
    pub warm_up_ms: u64,
    /// Nor are those that come so late before the end: the load must last while they wait.
    pub cool_down_ms: u64,
    /// How nodes choose.
    pub router: RouterKind,
    /// Whether nodes leave groups alone that fail.
    pub ejects: bool,
    /// Data centres over which nodes and groups are spread in turn.
    pub data_centres: usize,
    /// Admission, if any.
    pub gate: Option<GateSettings>,
    /// What refused callers do.
    pub retrying: Retrying,
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
            fifo_engines: false,
            load_factor,
            shape,
            duration_ms: 180_000,
            warm_up_ms: 20_000,
            cool_down_ms: 60_000,
            router: RouterKind::TwoByEstimate,
            ejects: false,
            data_centres: 3,
            gate: None,
            retrying: Retrying::Never,
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

    /// Whether a request that comes at this time is counted.
    pub fn counts(&self, at_ms: u64) -> bool {
        (self.warm_up_ms..self.duration_ms - self.cool_down_ms).contains(&at_ms)
    }

    /// The requests that come.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let rate_per_s = self.capacity_per_s() * self.load_factor;
        arrivals(&self.shape, rate_per_s, self.duration_ms, self.seed)
    }
}

/// What came and what was answered in time, of the requests that came in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Second {
    /// Requests that came.
    pub offered: u64,
    /// Those answered within their deadline.
    pub in_time: u64,
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
    /// Attempts that went to a group in the node's own data centre.
    pub near_attempts: u64,
    /// Attempts that each group was sent.
    pub attempts: Vec<u64>,
    /// By the second in which requests came.
    pub seconds: Vec<Second>,
    /// Times that the first node began to shed more than half of a class.
    pub flaps: u64,
}

impl Outcomes {
    /// Share of a time's requests that were answered within their deadline.
    pub fn goodput_between(&self, from_s: usize, until_s: usize) -> f64 {
        let window = &self.seconds[from_s..until_s.min(self.seconds.len())];
        let offered: u64 = window.iter().map(|second| second.offered).sum();
        let in_time: u64 = window.iter().map(|second| second.in_time).sum();
        in_time as f64 / offered.max(1) as f64
    }

    /// Seconds after `from_s` until five seconds in a row have at least `share` of the goodput.
    pub fn recovery_s(&self, from_s: usize, share: f64) -> Option<usize> {
        let last = self.seconds.len().checked_sub(STEADY_S)?;
        let is_steady = |start: &usize| self.goodput_between(*start, start + STEADY_S) >= share;
        (from_s..last).find(is_steady).map(|start| start - from_s)
    }
}

/// Seconds over which a recovery must hold.
const STEADY_S: usize = 5;
