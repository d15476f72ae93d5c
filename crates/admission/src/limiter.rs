//! Limits of organisations, as one node applies its share of them.

use std::collections::BTreeMap;

use jacinthpoint_types::{Deadline, OrganisationId, TimeMs};

use crate::{
    bucket::TokenBucket,
    fleet::{Demand, Shares},
    mode::LayerMode,
    rate::PerSecond,
};

/// An organisation without requests for this long is forgotten.
const FORGET_MS: u64 = 60_000;
/// Wait named to a caller whose organisation has too many requests in flight.
const CONCURRENCY_WAIT_MS: u64 = 1_000;
/// Weight of the newest interval in the measured demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// What is limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumCount, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum LimitKind {
    /// Requests a second.
    Requests,
    /// Generated tokens a second.
    Tokens,
    /// Requests in flight at once.
    Concurrency,
}

/// Declared limits of one organisation over the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limits {
    /// Requests a second.
    pub requests_per_s: Option<PerSecond>,
    /// Generated tokens a second.
    pub tokens_per_s: Option<PerSecond>,
    /// Requests in flight at once.
    pub concurrency: Option<u32>,
}

impl Limits {
    /// Whether nothing is limited.
    pub fn is_empty(&self) -> bool {
        *self == Limits::default()
    }

    /// A limit as a number, `None` if there is none.
    pub fn of(&self, kind: LimitKind) -> Option<f64> {
        match kind {
            LimitKind::Requests => self.requests_per_s.map(|rate| rate.0),
            LimitKind::Tokens => self.tokens_per_s.map(|rate| rate.0),
            LimitKind::Concurrency => self.concurrency.map(f64::from),
        }
    }
}

/// Settings of the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimiterSettings {
    /// Mode of the limits on requests and tokens a second.
    pub rate: LayerMode,
    /// Mode of the limit on requests in flight.
    pub concurrency: LayerMode,
    /// Time over which an unused rate may be saved up for a burst.
    pub burst_ms: u64,
}

/// A refusal by a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRefusal {
    /// The limit that is reached.
    pub kind: LimitKind,
    /// When there is room again.
    pub wait_ms: u64,
}

/// What the limits say of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may go on. A layer in watch mode would have refused it if `watched` is set.
    Admit {
        /// What a watching layer would have said.
        watched: Option<LimitRefusal>,
    },
    /// It may not.
    Refuse(LimitRefusal),
}

#[derive(Debug, Clone)]
struct OrganisationState {
    requests: TokenBucket,
    tokens: TokenBucket,
    in_flight: u32,
    seen_at: TimeMs,
    grant: Option<(Shares, Deadline)>,
    measured: Measured,
}

/// Demand since the last report, admitted or not.
#[derive(Debug, Clone, Copy, Default)]
struct Measured {
    since: TimeMs,
    requests: f64,
    tokens: f64,
    refused: u32,
    max_in_flight: u32,
    smoothed: Option<Demand>,
}

/// Limits of all organisations on one node.
///
/// Fails open: an organisation without a declared limit, and a request in any mode but `Enforce`,
/// is admitted. A node that has lost its peers goes on with an even share.
#[derive(Debug)]
pub struct Limiter {
    settings: LimiterSettings,
    listed_nodes: usize,
    organisations: BTreeMap<OrganisationId, OrganisationState>,
}

impl Limiter {
    /// A limiter of a node that knows of no other.
    pub fn new(settings: LimiterSettings) -> Limiter {
        Limiter {
            settings,
            listed_nodes: 1,
            organisations: BTreeMap::new(),
        }
    }

    /// Sets the number of nodes among which a limit is split where nothing better is known.
    pub fn set_listed_nodes(&mut self, count: usize) {
        self.listed_nodes = count.max(1);
    }

    /// Decides on a request that may generate `tokens`. An admitted one must be finished.
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
        state.seen_at = now;
        state.resize(limits, shares, settings.burst_ms, now);
        let refusals = [
            (settings.rate, state.check_rate(limits, tokens, now)),
            (
                settings.concurrency,
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

    /// Ends an admitted request, giving back the tokens that it did not generate.
    pub fn finish(&mut self, organisation: &OrganisationId, unused_tokens: u32) {
        if let Some(state) = self.organisations.get_mut(organisation) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.tokens.give_back(f64::from(unused_tokens));
        }
    }

    /// Takes a share granted by the organisation's home node.
    pub fn apply_grant(&mut self, organisation: &OrganisationId, shares: Shares, until: Deadline) {
        if let Some(state) = self.organisations.get_mut(organisation) {
            state.grant = Some((shares, until));
        }
    }

    /// The share of the limits that this node applies now.
    pub fn shares(&self, organisation: &OrganisationId, now: TimeMs) -> Shares {
        let state = self.organisations.get(organisation);
        let grant = state.and_then(|state| state.grant);
        match grant {
            Some((shares, until)) if !until.has_passed(now) => shares,
            _ => Shares::even(self.listed_nodes),
        }
    }

    /// Demand of each organisation that has any, measured since the last call; forgets the others.
    pub fn take_demands(&mut self, now: TimeMs) -> Vec<(OrganisationId, Demand)> {
        self.organisations
            .retain(|_, state| state.in_flight > 0 || now.since_ms(state.seen_at) < FORGET_MS);
        let demands = self.organisations.iter_mut().filter_map(|(name, state)| {
            let demand = state.take_demand(now);
            (!demand.is_idle()).then(|| (name.clone(), demand))
        });
        demands.collect()
    }

    /// Requests in flight of an organisation.
    pub fn in_flight(&self, organisation: &OrganisationId) -> u32 {
        let state = self.organisations.get(organisation);
        state.map_or(0, |state| state.in_flight)
    }
}

impl OrganisationState {
    fn new(now: TimeMs) -> OrganisationState {
        // Full from the start; the first resize cuts it to size.
        let bucket = TokenBucket::new(PerSecond(0.0), f64::MAX, now);
        OrganisationState {
            requests: bucket.clone(),
            tokens: bucket,
            in_flight: 0,
            seen_at: now,
            grant: None,
            measured: Measured {
                since: now,
                ..Measured::default()
            },
        }
    }

    fn resize(&mut self, limits: &Limits, shares: Shares, burst_ms: u64, now: TimeMs) {
        let resize = |bucket: &mut TokenBucket, limit: Option<PerSecond>, share: f64| {
            let Some(limit) = limit else { return };
            let rate = limit.scaled(share);
            // At least one request must fit, or a node with a small share would refuse all.
            bucket.resize(rate, rate.over_ms(burst_ms).max(1.0), now);
        };
        let share = |kind| shares.of(kind);
        resize(
            &mut self.requests,
            limits.requests_per_s,
            share(LimitKind::Requests),
        );
        resize(
            &mut self.tokens,
            limits.tokens_per_s,
            share(LimitKind::Tokens),
        );
    }

    /// Whether the buckets hold enough; takes nothing.
    fn check_rate(&self, limits: &Limits, tokens: u32, now: TimeMs) -> Option<LimitRefusal> {
        let lacks = |bucket: &TokenBucket, amount: f64, kind| {
            let wait = bucket.clone().take(amount, now).err();
            wait.map(|wait_ms| LimitRefusal { kind, wait_ms })
        };
        let requests = limits
            .requests_per_s
            .and_then(|_| lacks(&self.requests, 1.0, LimitKind::Requests));
        requests.or_else(|| {
            let amount = f64::from(tokens);
            limits
                .tokens_per_s
                .and_then(|_| lacks(&self.tokens, amount, LimitKind::Tokens))
        })
    }

    fn check_concurrency(&self, limits: &Limits, shares: Shares) -> Option<LimitRefusal> {
        let limit = f64::from(limits.concurrency?);
        let slots = (limit * shares.of(LimitKind::Concurrency)).floor().max(1.0);
        let is_full = f64::from(self.in_flight) >= slots;
        is_full.then_some(LimitRefusal {
            kind: LimitKind::Concurrency,
            wait_ms: CONCURRENCY_WAIT_MS,
        })
    }

    fn charge(&mut self, tokens: u32, now: TimeMs) {
        self.in_flight += 1;
        self.measured.max_in_flight = self.measured.max_in_flight.max(self.in_flight);
        // A layer that only watches lets a request through that the bucket has no room for, and
        // does not charge it: what it would refuse next must not depend on that.
        let _ = self.requests.take(1.0, now);
        let _ = self.tokens.take(f64::from(tokens), now);
    }

    fn measure(&mut self, tokens: u32, is_refused: bool) {
        self.measured.requests += 1.0;
        self.measured.tokens += f64::from(tokens);
        self.measured.refused += u32::from(is_refused);
    }

    fn take_demand(&mut self, now: TimeMs) -> Demand {
        let measured = &mut self.measured;
        let interval_s = now.since_ms(measured.since).max(1) as f64 / 1_000.0;
        let fresh = Demand::new(
            measured.requests / interval_s,
            measured.tokens / interval_s,
            f64::from(measured.max_in_flight + measured.refused),
        );
        let smoothed = match measured.smoothed {
            Some(old) => old.mixed_with(fresh, DEMAND_WEIGHT),
            None => fresh,
        };
        *measured = Measured {
            since: now,
            max_in_flight: self.in_flight,
            smoothed: Some(smoothed),
            ..Measured::default()
        };
        smoothed
    }
}
