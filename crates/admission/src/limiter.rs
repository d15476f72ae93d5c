//! Limiter: applies this node's share of the fleet-wide limits of each organisation.
//!
//! Limits are declared for the whole fleet, but each node decides alone on the requests that it
//! receives. A node therefore applies a share of each limit, granted by the organisation's home
//! node according to the demand that the node reports (see [`crate::fleet`]).

use std::collections::BTreeMap;

use jacinthpoint_types::{Deadline, OrganisationId, PerSecond, TimeMs};

use crate::{
    bucket::TokenBucket,
    fleet::{Demand, Shares},
    mode::LayerMode,
};

/// Time without requests after which the state of an organisation is removed.
const IDLE_EXPIRY_MS: u64 = 60_000;
/// Wait returned when an organisation has too many requests in flight.
const CONCURRENCY_WAIT_MS: u64 = 1_000;
/// Weight of the newest interval in the exponentially smoothed demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// Quantity that a limit applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumCount, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Generated tokens per second.
    Tokens,
    /// Requests in flight.
    Concurrency,
}

/// Declared limits of one organisation for the whole fleet; `None` means unlimited.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limits {
    /// Requests per second.
    pub requests_per_s: Option<PerSecond>,
    /// Generated tokens per second.
    pub tokens_per_s: Option<PerSecond>,
    /// Requests in flight.
    pub concurrency: Option<u32>,
}

impl Limits {
    /// Returns whether no limit is declared.
    pub fn is_empty(&self) -> bool {
        *self == Limits::default()
    }

    /// Returns the limit of one kind, `None` if none is declared.
    pub fn of(&self, kind: LimitKind) -> Option<f64> {
        match kind {
            LimitKind::Requests => self.requests_per_s.map(|rate| rate.0),
            LimitKind::Tokens => self.tokens_per_s.map(|rate| rate.0),
            LimitKind::Concurrency => self.concurrency.map(f64::from),
        }
    }
}

/// Settings of a [`Limiter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimiterSettings {
    /// Mode of the limits on requests and tokens per second.
    pub rate_mode: LayerMode,
    /// Mode of the limit on requests in flight.
    pub concurrency_mode: LayerMode,
    /// Time over which unused rate accumulates for a burst.
    pub burst_ms: u64,
}

/// Refusal because a limit is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRefusal {
    /// The limit that is reached.
    pub kind: LimitKind,
    /// Time until the limit has room again, in milliseconds.
    pub wait_ms: u64,
}

/// Decision of the limiter on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request is admitted.
    Admit {
        /// Refusal that a limit in watch mode would have given.
        watched: Option<LimitRefusal>,
    },
    /// The request is refused.
    Refuse(LimitRefusal),
}

/// State of one organisation on this node.
#[derive(Debug, Clone)]
struct OrganisationState {
    request_bucket: TokenBucket,
    generated_token_bucket: TokenBucket,
    in_flight: u32,
    last_request_at: TimeMs,
    /// Granted shares, and the time at which they expire.
    grant: Option<(Shares, Deadline)>,
    measured: DemandMeter,
}

/// Demand of admitted and refused requests since the last [`Limiter::take_demands`], and the
/// smoothed demand up to then.
#[derive(Debug, Clone, Copy, Default)]
struct DemandMeter {
    since: TimeMs,
    requests: f64,
    tokens: f64,
    /// Number of requests refused by any limit.
    refused: u32,
    max_in_flight: u32,
    smoothed: Option<Demand>,
}

/// Applies the limits of all organisations on one node.
///
/// Only a declared limit whose mode is `Enforce` refuses requests. A node without a valid grant,
/// such as one that has lost its peers, applies an even share of each limit.
#[derive(Debug)]
pub struct Limiter {
    settings: LimiterSettings,
    /// Number of nodes on the platform's membership list.
    listed_nodes: usize,
    organisations: BTreeMap<OrganisationId, OrganisationState>,
}

impl Limiter {
    /// Creates a limiter that applies whole limits, as on the only node of a fleet.
    pub fn new(settings: LimiterSettings) -> Limiter {
        Limiter {
            settings,
            listed_nodes: 1,
            organisations: BTreeMap::new(),
        }
    }

    /// Sets the number of nodes on the platform's membership list. A limit is split evenly among
    /// these while no grant is valid.
    pub fn set_listed_nodes(&mut self, count: usize) {
        self.listed_nodes = count.max(1);
    }

    /// Decides on a request that may generate up to `tokens` tokens. The calling code must
    /// call [`Limiter::finish`] once for each admitted request.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        limits: &Limits,
        tokens: u32,
        now: TimeMs,
    ) -> Verdict {
        let shares = self.shares(organisation, now);
        let settings = self.settings;
        let state = self
            .organisations
            .entry(organisation.clone())
            .or_insert_with(|| OrganisationState::new(now));
        state.last_request_at = now;
        state.resize(limits, shares, settings.burst_ms, now);
        let refusals = [
            (settings.rate_mode, state.check_rate(limits, tokens, now)),
            (
                settings.concurrency_mode,
                state.check_concurrency(limits, shares),
            ),
        ];
        let enforced = refusals
            .iter()
            .filter(|(mode, _)| *mode == LayerMode::Enforce)
            .find_map(|(_, refusal)| *refusal);
        state.measure(tokens, enforced.is_some());
        if let Some(refusal) = enforced {
            return Verdict::Refuse(refusal);
        }
        state.charge(tokens, now);
        let watched = refusals
            .iter()
            .filter(|(mode, _)| *mode == LayerMode::Watch)
            .find_map(|(_, refusal)| *refusal);
        Verdict::Admit { watched }
    }

    /// Records the end of an admitted request and puts the tokens that it did not generate back
    /// into the bucket.
    pub fn finish(&mut self, organisation: &OrganisationId, unused_tokens: u32) {
        if let Some(state) = self.organisations.get_mut(organisation) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state
                .generated_token_bucket
                .give_back(f64::from(unused_tokens));
        }
    }

    /// Applies the shares that the organisation's home node has granted, until `until`.
    pub fn apply_grant(&mut self, organisation: &OrganisationId, shares: Shares, until: Deadline) {
        if let Some(state) = self.organisations.get_mut(organisation) {
            state.grant = Some((shares, until));
        }
    }

    /// Returns the shares of the limits that this node applies at `now`.
    pub fn shares(&self, organisation: &OrganisationId, now: TimeMs) -> Shares {
        let state = self.organisations.get(organisation);
        let grant = state.and_then(|state| state.grant);
        match grant {
            Some((shares, until)) if !until.has_passed(now) => shares,
            _ => Shares::even(self.listed_nodes),
        }
    }

    /// Returns the smoothed demand of each organisation that is not idle, and starts a new
    /// measurement interval. Removes organisations that had no requests for 60 s and have none in
    /// flight.
    pub fn take_demands(&mut self, now: TimeMs) -> Vec<(OrganisationId, Demand)> {
        self.organisations.retain(|_, state| {
            state.in_flight > 0 || now.since_ms(state.last_request_at) < IDLE_EXPIRY_MS
        });
        let demands = self.organisations.iter_mut().filter_map(|(name, state)| {
            let demand = state.take_demand(now);
            (!demand.is_idle()).then(|| (name.clone(), demand))
        });
        demands.collect()
    }

    /// Returns the number of requests of an organisation in flight on this node.
    pub fn in_flight(&self, organisation: &OrganisationId) -> u32 {
        let state = self.organisations.get(organisation);
        state.map_or(0, |state| state.in_flight)
    }
}

impl OrganisationState {
    fn new(now: TimeMs) -> OrganisationState {
        // The bucket starts full; the first resize cuts its level to the capacity.
        let bucket = TokenBucket::new(PerSecond(0.0), f64::MAX, now);
        OrganisationState {
            request_bucket: bucket.clone(),
            generated_token_bucket: bucket,
            in_flight: 0,
            last_request_at: now,
            grant: None,
            measured: DemandMeter {
                since: now,
                ..DemandMeter::default()
            },
        }
    }

    /// Sets rate and capacity of the buckets to this node's shares of the limits.
    fn resize(&mut self, limits: &Limits, shares: Shares, burst_ms: u64, now: TimeMs) {
        let resize = |bucket: &mut TokenBucket, limit: Option<PerSecond>, share: f64| {
            let Some(limit) = limit else { return };
            let rate = limit.scaled(share);
            // The capacity is at least one request or one token, however small the share is.
            bucket.resize(rate, rate.accrued_in_ms(burst_ms).max(1.0), now);
        };
        let share = |kind| shares.of(kind);
        resize(
            &mut self.request_bucket,
            limits.requests_per_s,
            share(LimitKind::Requests),
        );
        resize(
            &mut self.generated_token_bucket,
            limits.tokens_per_s,
            share(LimitKind::Tokens),
        );
    }

    /// Returns the refusal if a bucket holds too little for the request; takes nothing.
    fn check_rate(&self, limits: &Limits, tokens: u32, now: TimeMs) -> Option<LimitRefusal> {
        let refusal = |bucket: &TokenBucket, amount: f64, kind| {
            let wait = bucket.clone().take(amount, now).err();
            wait.map(|wait_ms| LimitRefusal { kind, wait_ms })
        };
        let requests = limits
            .requests_per_s
            .and_then(|_| refusal(&self.request_bucket, 1.0, LimitKind::Requests));
        requests.or_else(|| {
            let amount = f64::from(tokens);
            limits
                .tokens_per_s
                .and_then(|_| refusal(&self.generated_token_bucket, amount, LimitKind::Tokens))
        })
    }

    /// Returns the refusal if as many requests are in flight as this node's share of the
    /// concurrency limit allows; at least one is always allowed.
    fn check_concurrency(&self, limits: &Limits, shares: Shares) -> Option<LimitRefusal> {
        let limit = f64::from(limits.concurrency?);
        let slots = (limit * shares.of(LimitKind::Concurrency)).floor().max(1.0);
        let is_full = f64::from(self.in_flight) >= slots;
        is_full.then_some(LimitRefusal {
            kind: LimitKind::Concurrency,
            wait_ms: CONCURRENCY_WAIT_MS,
        })
    }

    /// Counts an admitted request and takes its amounts from the buckets.
    fn charge(&mut self, tokens: u32, now: TimeMs) {
        self.in_flight += 1;
        self.measured.max_in_flight = self.measured.max_in_flight.max(self.in_flight);
        // In watch mode a request is admitted even if the bucket holds too little for it. It is
        // then not charged, so that it does not change which requests would be refused next.
        let _ = self.request_bucket.take(1.0, now);
        let _ = self.generated_token_bucket.take(f64::from(tokens), now);
    }

    /// Adds a request to the demand of the current interval.
    fn measure(&mut self, tokens: u32, is_refused: bool) {
        self.measured.requests += 1.0;
        self.measured.tokens += f64::from(tokens);
        self.measured.refused += u32::from(is_refused);
    }

    /// Returns the smoothed demand including the current interval, and starts a new interval.
    fn take_demand(&mut self, now: TimeMs) -> Demand {
        let measured = &mut self.measured;
        let interval_s = now.since_ms(measured.since).max(1) as f64 / 1_000.0;
        let fresh = Demand::new(
            measured.requests / interval_s,
            measured.tokens / interval_s,
            // Each refused request counts as one that would have been in flight at the peak.
            f64::from(measured.max_in_flight + measured.refused),
        );
        let smoothed = match measured.smoothed {
            Some(old) => old.mixed_with(fresh, DEMAND_WEIGHT),
            None => fresh,
        };
        *measured = DemandMeter {
            since: now,
            max_in_flight: self.in_flight,
            smoothed: Some(smoothed),
            ..DemandMeter::default()
        };
        smoothed
    }
}
