//! Engine groups of the driver: slots with a service time, a queue by priority, a prefix cache.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet, VecDeque},
};

use jacinthpoint_types::Priority;

/// Time of a prompt's fixed work.
const PREFILL_BASE_MS: f64 = 20.0;
/// Time of one prompt token that is not cached.
const PREFILL_TOKEN_MS: f64 = 0.25;
/// Share of a prompt that a cached prefix spares.
const CACHED_SHARE: f64 = 0.8;
/// Time between tokens.
const TOKEN_MS: f64 = 20.0;
/// Prefixes that the cache of one group holds.
const CACHED_PREFIXES: usize = 16;

/// What a group does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum GroupState {
    /// Serves, steps taking longer by a factor.
    Up {
        /// Factor on all times.
        slowness: f64,
    },
    /// Fails every request at once and reports no load.
    ErrorFast,
    /// Gone.
    Dead,
}

/// A request on a group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Job {
    pub(crate) request: usize,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) prefix: u64,
    pub(crate) priority: Priority,
}

/// A job that started, with its times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Started {
    pub(crate) request: usize,
    pub(crate) first_token_at_ms: u64,
    pub(crate) done_at_ms: u64,
    pub(crate) was_cached: bool,
}

/// One group.
#[derive(Debug)]
pub(crate) struct EngineGroup {
    pub(crate) state: GroupState,
    pub(crate) reports_frozen: bool,
    /// Takes jobs in the order they come, whatever their class.
    pub(crate) is_fifo: bool,
    slots: usize,
    running: usize,
    queue: BinaryHeap<Reverse<(Priority, u64, usize)>>,
    jobs: Vec<Job>,
    cancelled: HashSet<usize>,
    cache: VecDeque<u64>,
}

impl EngineGroup {
    pub(crate) fn new(slots: usize) -> EngineGroup {
        EngineGroup {
            state: GroupState::Up { slowness: 1.0 },
            reports_frozen: false,
            is_fifo: false,
            slots,
            running: 0,
            queue: BinaryHeap::new(),
            jobs: Vec::new(),
            cancelled: HashSet::new(),
            cache: VecDeque::new(),
        }
    }

    /// Running and queued, as the group reports it.
    pub(crate) fn load(&self) -> u32 {
        match self.state {
            GroupState::ErrorFast => 0,
            _ => (self.running + self.queue.len() - self.cancelled.len()) as u32,
        }
    }

    /// Takes a job, and starts it if a slot is free.
    pub(crate) fn take(&mut self, job: Job, now_ms: u64) -> Option<Started> {
        let index = self.jobs.len();
        self.jobs.push(job);
        let class = if self.is_fifo {
            Priority::Normal
        } else {
            job.priority
        };
        self.queue.push(Reverse((class, index as u64, index)));
        self.start_next(now_ms)
    }

    /// Frees the slot of a job that is done, and starts the next.
    pub(crate) fn finish(&mut self, now_ms: u64) -> Option<Started> {
        self.running -= 1;
        self.start_next(now_ms)
    }

    /// Takes a job off the queue.
    pub(crate) fn cancel_queued(&mut self, request: usize) {
        self.cancelled.insert(request);
    }

    /// Loses everything that runs or waits here.
    pub(crate) fn die(&mut self) {
        self.state = GroupState::Dead;
        self.running = 0;
        self.queue.clear();
        self.cancelled.clear();
        self.cache.clear();
    }

    fn start_next(&mut self, now_ms: u64) -> Option<Started> {
        if self.running >= self.slots {
            return None;
        }
        let job = self.pop_job()?;
        self.running += 1;
        let was_cached = self.touch(job.prefix);
        let slowness = match self.state {
            GroupState::Up { slowness } => slowness,
            _ => 1.0,
        };
        let first_ms = prefill_ms(job.prompt_tokens, was_cached) * slowness;
        let rest_ms = f64::from(job.answer_tokens) * TOKEN_MS * slowness;
        Some(Started {
            request: job.request,
            first_token_at_ms: now_ms + first_ms as u64,
            done_at_ms: now_ms + (first_ms + rest_ms) as u64,
            was_cached,
        })
    }

    fn pop_job(&mut self) -> Option<Job> {
        loop {
            let Reverse((_, _, index)) = self.queue.pop()?;
            let job = self.jobs[index];
            if !self.cancelled.remove(&job.request) {
                return Some(job);
            }
        }
    }

    /// Whether the prefix is cached; it is from now on.
    fn touch(&mut self, prefix: u64) -> bool {
        let found = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
        found.is_some()
    }
}

fn prefill_ms(prompt_tokens: u32, is_cached: bool) -> f64 {
    let share = if is_cached { 1.0 - CACHED_SHARE } else { 1.0 };
    PREFILL_BASE_MS + f64::from(prompt_tokens) * PREFILL_TOKEN_MS * share
}

/// Time that a request holds a slot, with nothing cached.
pub(crate) fn service_ms(prompt_tokens: u32, answer_tokens: u32) -> f64 {
    prefill_ms(prompt_tokens, false) + f64::from(answer_tokens) * TOKEN_MS
}
