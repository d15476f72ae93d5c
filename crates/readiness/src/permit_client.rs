//! Selects the probers from which a node requests permits.
//!
//! If every node requested permits from the probers of every fabric domain, each prober would have
//! to answer the whole fleet. With few domains that is acceptable. With many, a node uses only a
//! few domains for each model, the nearest first, and queries the other domains rarely, to learn
//! which models they serve.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{
    DataCentreId, FabricDomainId, ModelRef, NodeId, TimeMs, rendezvous_weight,
};

/// Up to this number of fabric domains, all probers are queried in every round.
const MAX_DOMAINS_ALL_QUERIED: usize = 8;
/// Number of domains used per model in a fleet of more than [`MAX_DOMAINS_ALL_QUERIED`] domains.
/// Requests go to the better of two randomly chosen groups; the groups of four domains leave enough
/// choice when any one domain fails.
const DOMAINS_PER_MODEL: usize = 4;
/// Time after which a domain that is not in use is queried again.
const RECHECK_MS: u64 = 60_000;
/// Largest number of domains not in use that are queried in one round.
const MAX_RECHECKS_PER_ROUND: usize = 2;
/// Time for which a domain stays in use for a model after it last granted a permit for a group of
/// that model. Most groups are repaired within seconds.
const MODEL_RETENTION_MS: u64 = 30_000;
/// Time without an answer after which a queried prober is skipped in favour of the next one of its
/// domain.
const ANSWER_TIMEOUT_MS: u64 = 900;

/// Names a fabric domain and its probers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainProbers {
    /// The domain.
    pub domain: FabricDomainId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its probers in rank order, the preferred one first.
    pub probers: Vec<NodeId>,
}

#[derive(Debug, Default)]
struct ProberState {
    /// Time of the first query since its last answer.
    unanswered_since: Option<TimeMs>,
}

#[derive(Debug, Default)]
struct DomainState {
    queried_at: Option<TimeMs>,
    /// The prober that was queried last.
    queried: Option<NodeId>,
    answered_at: TimeMs,
    /// Time at which a permit for a group of each model was last granted.
    models: BTreeMap<ModelRef, TimeMs>,
}

impl DomainState {
    /// Returns whether the domain's latest answer granted a permit for `model`.
    fn serves_now(&self, model: &ModelRef) -> bool {
        self.models.get(model) == Some(&self.answered_at)
    }
}

/// Decides which probers one node queries for permits in each round.
#[derive(Debug)]
pub struct PermitClient {
    node: NodeId,
    data_centre: DataCentreId,
    probers: BTreeMap<NodeId, ProberState>,
    domains: BTreeMap<FabricDomainId, DomainState>,
}

impl PermitClient {
    /// Returns the client of a node in a data centre.
    pub fn new(node: NodeId, data_centre: DataCentreId) -> PermitClient {
        PermitClient {
            node,
            data_centre,
            probers: BTreeMap::new(),
            domains: BTreeMap::new(),
        }
    }

    /// Returns the probers to query in this round.
    pub fn probers_to_query(&mut self, now: TimeMs, domains: &[DomainProbers]) -> BTreeSet<NodeId> {
        self.forget_unlisted(domains);
        if domains.len() <= MAX_DOMAINS_ALL_QUERIED {
            let all = domains
                .iter()
                .flat_map(|domain| domain.probers.iter().cloned());
            return all.collect();
        }
        let mut chosen = self.domains_in_use(domains);
        chosen.extend(self.domains_to_recheck(now, domains, &chosen));
        let chosen: Vec<&DomainProbers> = domains
            .iter()
            .filter(|domain| chosen.contains(&domain.domain))
            .collect();
        chosen
            .into_iter()
            .filter_map(|domain| self.select_prober(now, domain))
            .collect()
    }

    /// Records that a prober answered. `groups` holds the domain and model of each group for which
    /// it granted a permit.
    pub fn on_answer(
        &mut self,
        now: TimeMs,
        prober: &NodeId,
        groups: impl IntoIterator<Item = (FabricDomainId, ModelRef)>,
    ) {
        if let Some(state) = self.probers.get_mut(prober) {
            state.unanswered_since = None;
        }
        // A domain whose prober answered without granting a permit in it has answered, too, so that
        // `serves_now` returns false for it.
        let queried = self
            .domains
            .values_mut()
            .filter(|state| state.queried.as_ref() == Some(prober));
        for state in queried {
            state.answered_at = now;
            state
                .models
                .retain(|_, granted_at| now.since_ms(*granted_at) < MODEL_RETENTION_MS);
        }
        for (domain, model) in groups {
            if let Some(state) = self.domains.get_mut(&domain) {
                state.answered_at = now;
                state.models.insert(model, now);
            }
        }
    }

    /// Removes the state of domains and probers that are not in `domains`.
    fn forget_unlisted(&mut self, domains: &[DomainProbers]) {
        let names: BTreeSet<&FabricDomainId> =
            domains.iter().map(|listed| &listed.domain).collect();
        self.domains.retain(|domain, _| names.contains(domain));
        let probers: BTreeSet<&NodeId> =
            domains.iter().flat_map(|listed| &listed.probers).collect();
        self.probers.retain(|prober, _| probers.contains(prober));
    }

    /// Returns, for all models together, the nearest domains that serve each model. Domains at the
    /// same distance are ordered by a rendezvous hash of node and domain, so that nodes spread over
    /// them.
    fn domains_in_use(&self, domains: &[DomainProbers]) -> BTreeSet<FabricDomainId> {
        let mut by_model: BTreeMap<&ModelRef, Vec<&DomainProbers>> = BTreeMap::new();
        for domain in domains {
            let state = self.domains.get(&domain.domain);
            for model in state.into_iter().flat_map(|state| state.models.keys()) {
                by_model.entry(model).or_default().push(domain);
            }
        }
        let mut chosen = BTreeSet::new();
        for (model, mut serving) in by_model {
            serving.sort_by_key(|domain| self.distance(domain));
            chosen.extend(self.nearest(model, &serving));
        }
        chosen
    }

    /// Returns the first domains of `serving`, which is sorted by distance, until
    /// [`DOMAINS_PER_MODEL`] of them serve the model now.
    fn nearest(&self, model: &ModelRef, serving: &[&DomainProbers]) -> Vec<FabricDomainId> {
        let mut nearest = Vec::new();
        let mut serving_now = 0;
        for domain in serving {
            if serving_now == DOMAINS_PER_MODEL {
                break;
            }
            let state = self.domains.get(&domain.domain);
            serving_now += usize::from(state.is_some_and(|state| state.serves_now(model)));
            nearest.push(domain.domain.clone());
        }
        nearest
    }

    /// Returns the sort key of a domain: domains in the node's own data centre come first.
    fn distance(&self, domain: &DomainProbers) -> (bool, u64) {
        let is_far = domain.data_centre != self.data_centre;
        (
            is_far,
            rendezvous_weight(self.node.as_str(), domain.domain.as_str()),
        )
    }

    /// Returns the domains not in use that are due for a query, those queried longest ago first.
    fn domains_to_recheck(
        &self,
        now: TimeMs,
        domains: &[DomainProbers],
        in_use: &BTreeSet<FabricDomainId>,
    ) -> Vec<FabricDomainId> {
        let queried_at = |domain: &DomainProbers| {
            self.domains
                .get(&domain.domain)
                .and_then(|state| state.queried_at)
        };
        let mut due: Vec<&DomainProbers> = domains
            .iter()
            .filter(|domain| !in_use.contains(&domain.domain))
            .filter(|domain| queried_at(domain).is_none_or(|at| now.since_ms(at) >= RECHECK_MS))
            .collect();
        due.sort_by_key(|domain| (queried_at(domain), self.distance(domain)));
        due.truncate(MAX_RECHECKS_PER_ROUND);
        due.into_iter()
            .map(|domain| domain.domain.clone())
            .collect()
    }

    /// Returns the prober of a domain to query, and records the query. This is the first prober
    /// that has no query unanswered for [`ANSWER_TIMEOUT_MS`], or else the first of all.
    fn select_prober(&mut self, now: TimeMs, domain: &DomainProbers) -> Option<NodeId> {
        let is_unresponsive = |prober: &&NodeId| {
            let since = self
                .probers
                .get(*prober)
                .and_then(|state| state.unanswered_since);
            since.is_some_and(|since| now.since_ms(since) >= ANSWER_TIMEOUT_MS)
        };
        let prober = domain
            .probers
            .iter()
            .find(|prober| !is_unresponsive(prober));
        let prober = prober.or_else(|| domain.probers.first())?.clone();
        let state = self.probers.entry(prober.clone()).or_default();
        state.unanswered_since.get_or_insert(now);
        let state = self.domains.entry(domain.domain.clone()).or_default();
        state.queried_at = Some(now);
        state.queried = Some(prober.clone());
        Some(prober)
    }
}
