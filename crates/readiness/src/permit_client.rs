//! Which probers a node asks for permits.
//!
//! With few fabric domains a node asks the probers of all. With many, that would make each prober
//! answer the whole fleet; a node then uses a few domains for each model, the nearest first, and
//! looks at the others rarely.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{
    DataCentreId, FabricDomainId, ModelRef, NodeId, TimeMs, rendezvous_weight,
};

/// Number of fabric domains up to which all are asked all the time.
const ASK_ALL_DOMAINS: usize = 8;
/// Domains used for each model beyond that. Two random choices among the groups of four domains
/// leave room for the loss of any one.
const DOMAINS_A_MODEL: usize = 4;
/// How often a domain that is not used is looked at.
const LOOK_MS: u64 = 60_000;
/// Domains looked at in one round beside those in use.
const LOOKS_A_ROUND: usize = 2;
/// How long a domain stays in use after its last group of a model closed; most are repaired within
/// seconds.
const KEEP_MS: u64 = 30_000;
/// A prober that was asked and has not answered for this long is passed over for the next one.
const ANSWER_MS: u64 = 900;

/// A fabric domain and its probers, the first preferred.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainProbers {
    /// The domain.
    pub domain: FabricDomainId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its probers in rank order.
    pub probers: Vec<NodeId>,
}

#[derive(Debug, Default)]
struct ProberSeen {
    /// First question since its last answer.
    unanswered_since: Option<TimeMs>,
}

#[derive(Debug, Default)]
struct DomainSeen {
    asked_at: Option<TimeMs>,
    asked: Option<NodeId>,
    answered_at: TimeMs,
    /// When a group of each model was last granted.
    models: BTreeMap<ModelRef, TimeMs>,
}

impl DomainSeen {
    fn serves_now(&self, model: &ModelRef) -> bool {
        self.models.get(model) == Some(&self.answered_at)
    }
}

/// Decides whom one node asks.
#[derive(Debug)]
pub struct PermitClient {
    node: NodeId,
    data_centre: DataCentreId,
    probers: BTreeMap<NodeId, ProberSeen>,
    domains: BTreeMap<FabricDomainId, DomainSeen>,
}

impl PermitClient {
    /// For a node in a data centre.
    pub fn new(node: NodeId, data_centre: DataCentreId) -> PermitClient {
        PermitClient {
            node,
            data_centre,
            probers: BTreeMap::new(),
            domains: BTreeMap::new(),
        }
    }

    /// Probers to ask now, each once.
    pub fn probers_to_ask(&mut self, now: TimeMs, domains: &[DomainProbers]) -> BTreeSet<NodeId> {
        self.forget(domains);
        if domains.len() <= ASK_ALL_DOMAINS {
            let all = domains
                .iter()
                .flat_map(|domain| domain.probers.iter().cloned());
            return all.collect();
        }
        let mut chosen = self.domains_in_use(domains);
        chosen.extend(self.domains_to_look_at(now, domains, &chosen));
        let chosen: Vec<&DomainProbers> = domains
            .iter()
            .filter(|domain| chosen.contains(&domain.domain))
            .collect();
        chosen
            .into_iter()
            .filter_map(|domain| self.ask(now, domain))
            .collect()
    }

    /// Takes in that a prober answered, and which models it has groups of in which domain.
    pub fn on_answer(
        &mut self,
        now: TimeMs,
        prober: &NodeId,
        groups: impl IntoIterator<Item = (FabricDomainId, ModelRef)>,
    ) {
        if let Some(seen) = self.probers.get_mut(prober) {
            seen.unanswered_since = None;
        }
        let asked = self
            .domains
            .values_mut()
            .filter(|seen| seen.asked.as_ref() == Some(prober));
        for seen in asked {
            seen.answered_at = now;
            seen.models
                .retain(|_, seen_at| now.since_ms(*seen_at) < KEEP_MS);
        }
        for (domain, model) in groups {
            if let Some(seen) = self.domains.get_mut(&domain) {
                seen.answered_at = now;
                seen.models.insert(model, now);
            }
        }
    }

    fn forget(&mut self, domains: &[DomainProbers]) {
        let names: BTreeSet<&FabricDomainId> = domains.iter().map(|known| &known.domain).collect();
        self.domains.retain(|domain, _| names.contains(domain));
        let probers: BTreeSet<&NodeId> = domains.iter().flat_map(|known| &known.probers).collect();
        self.probers.retain(|prober, _| probers.contains(prober));
    }

    /// For each model, the nearest domains that serve it; equally near ones in an order of this
    /// node's own, so that nodes spread over them.
    fn domains_in_use(&self, domains: &[DomainProbers]) -> BTreeSet<FabricDomainId> {
        let mut by_model: BTreeMap<&ModelRef, Vec<&DomainProbers>> = BTreeMap::new();
        for domain in domains {
            let seen = self.domains.get(&domain.domain);
            for model in seen.into_iter().flat_map(|seen| seen.models.keys()) {
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

    /// The first domains of a list, up to enough that serve the model now.
    fn nearest(&self, model: &ModelRef, serving: &[&DomainProbers]) -> Vec<FabricDomainId> {
        let mut nearest = Vec::new();
        let mut serving_now = 0;
        for domain in serving {
            if serving_now == DOMAINS_A_MODEL {
                break;
            }
            let seen = self.domains.get(&domain.domain);
            serving_now += usize::from(seen.is_some_and(|seen| seen.serves_now(model)));
            nearest.push(domain.domain.clone());
        }
        nearest
    }

    fn distance(&self, domain: &DomainProbers) -> (bool, u64) {
        let is_far = domain.data_centre != self.data_centre;
        (
            is_far,
            rendezvous_weight(self.node.as_str(), domain.domain.as_str()),
        )
    }

    fn domains_to_look_at(
        &self,
        now: TimeMs,
        domains: &[DomainProbers],
        in_use: &BTreeSet<FabricDomainId>,
    ) -> Vec<FabricDomainId> {
        let asked_at = |domain: &DomainProbers| {
            self.domains
                .get(&domain.domain)
                .and_then(|seen| seen.asked_at)
        };
        let mut due: Vec<&DomainProbers> = domains
            .iter()
            .filter(|domain| !in_use.contains(&domain.domain))
            .filter(|domain| asked_at(domain).is_none_or(|at| now.since_ms(at) >= LOOK_MS))
            .collect();
        due.sort_by_key(|domain| (asked_at(domain), self.distance(domain)));
        due.truncate(LOOKS_A_ROUND);
        due.into_iter()
            .map(|domain| domain.domain.clone())
            .collect()
    }

    /// The prober of a domain to ask: the first that is not known to be silent, else the first.
    fn ask(&mut self, now: TimeMs, domain: &DomainProbers) -> Option<NodeId> {
        let is_silent = |prober: &&NodeId| {
            let since = self
                .probers
                .get(*prober)
                .and_then(|seen| seen.unanswered_since);
            since.is_some_and(|since| now.since_ms(since) >= ANSWER_MS)
        };
        let prober = domain.probers.iter().find(|prober| !is_silent(prober));
        let prober = prober.or_else(|| domain.probers.first())?.clone();
        let seen = self.probers.entry(prober.clone()).or_default();
        seen.unanswered_since.get_or_insert(now);
        let seen = self.domains.entry(domain.domain.clone()).or_default();
        seen.asked_at = Some(now);
        seen.asked = Some(prober.clone());
        Some(prober)
    }
}
