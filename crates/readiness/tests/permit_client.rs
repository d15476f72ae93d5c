//! In a large fleet a node queries only a few probers per round, so that no prober has to answer
//! the whole fleet, and still finds groups of every model.

use std::collections::BTreeSet;

use jacinthpoint_readiness::{DomainProbers, PermitClient};
use jacinthpoint_types::{FabricDomainId, ModelRef, NodeId, TimeMs};

/// Interval at which a node queries probers.
const ROUND_MS: u64 = 400;
/// Number of models in the fleet.
const MODELS: usize = 3;
/// Largest number of probers queried in a round: those of four domains per model, and of two
/// domains that are not in use.
const MAX_QUERIED: usize = 4 * MODELS + 2;

fn node(number: usize) -> NodeId {
    format!("node-{number}").parse().expect("a valid name")
}

fn model(number: usize) -> ModelRef {
    format!("model-{number}@v1").parse().expect("a valid model")
}

/// Returns domains spread over eight data centres, each with two probers of its own.
fn fleet(domains: usize) -> Vec<DomainProbers> {
    let domain = |number: usize| DomainProbers {
        domain: format!("rack-{number}").parse().expect("a valid name"),
        data_centre: format!("dc-{}", number % 8).parse().expect("a valid name"),
        probers: vec![node(2 * number), node(2 * number + 1)],
    };
    (0..domains).map(domain).collect()
}

/// Runs one client against probers that answer at once unless they are dead.
struct Driver {
    now: TimeMs,
    permit_client: PermitClient,
    domains: Vec<DomainProbers>,
    dead_probers: BTreeSet<NodeId>,
    /// Domains whose probers grant no permits.
    domains_without_groups: BTreeSet<FabricDomainId>,
}

impl Driver {
    fn new(domains: usize) -> Driver {
        let permit_client = PermitClient::new(node(9_999), "dc-3".parse().expect("a valid name"));
        let (dead_probers, domains_without_groups) = (BTreeSet::new(), BTreeSet::new());
        Driver {
            now: TimeMs(1_000),
            permit_client,
            domains: fleet(domains),
            dead_probers,
            domains_without_groups,
        }
    }

    /// Runs one round and returns the probers queried. Domain N serves model N modulo [`MODELS`].
    fn round(&mut self) -> BTreeSet<NodeId> {
        self.now = self.now.plus_ms(ROUND_MS);
        let queried = self.permit_client.probers_to_query(self.now, &self.domains);
        for (number, domain) in self.domains.iter().enumerate() {
            let prober = domain
                .probers
                .iter()
                .find(|prober| queried.contains(prober));
            let Some(prober) = prober.filter(|prober| !self.dead_probers.contains(prober)) else {
                continue;
            };
            let has_group = !self.domains_without_groups.contains(&domain.domain);
            let group = (domain.domain.clone(), model(number % MODELS));
            self.permit_client
                .on_answer(self.now, prober, has_group.then_some(group));
        }
        queried
    }

    /// Runs `count` rounds and returns the probers queried in the last one.
    fn rounds(&mut self, count: usize) -> BTreeSet<NodeId> {
        (0..count).map(|_| self.round()).last().unwrap_or_default()
    }

    /// Returns the domains that serve a model and have a prober in `queried`.
    fn queried_domains_of(
        &self,
        queried: &BTreeSet<NodeId>,
        model_number: usize,
    ) -> Vec<&DomainProbers> {
        let of_model = self
            .domains
            .iter()
            .enumerate()
            .filter(|(number, _)| number % MODELS == model_number);
        let domains = of_model.map(|(_, domain)| domain);
        domains
            .filter(|domain| domain.probers.iter().any(|p| queried.contains(p)))
            .collect()
    }
}

#[test]
fn small_fleet_queries_all_probers() {
    let mut driver = Driver::new(6);
    assert_eq!(driver.round().len(), 12);
}

#[test]
fn large_fleet_queries_few_probers_and_finds_every_model() {
    let mut driver = Driver::new(62);
    for _ in 0..200 {
        let queried = driver.round();
        assert!(queried.len() <= MAX_QUERIED, "{} queried", queried.len());
    }
    let queried = driver.round();
    for model_number in 0..MODELS {
        assert!(driver.queried_domains_of(&queried, model_number).len() >= 4);
    }
}

#[test]
fn nearest_domains_are_used_first() {
    let mut driver = Driver::new(62);
    let queried = driver.rounds(200);
    for model_number in 0..MODELS {
        let in_use = driver.queried_domains_of(&queried, model_number);
        let near = in_use
            .iter()
            .filter(|domain| domain.data_centre.as_str() == "dc-3")
            .count();
        let all_near = driver
            .domains
            .iter()
            .enumerate()
            .filter(|(number, domain)| {
                number % MODELS == model_number && domain.data_centre.as_str() == "dc-3"
            });
        assert!(near >= all_near.count().min(4));
    }
}

#[test]
fn second_prober_is_queried_when_the_first_does_not_answer() {
    let mut driver = Driver::new(62);
    driver.rounds(200);
    driver.dead_probers = driver
        .domains
        .iter()
        .map(|domain| domain.probers[0].clone())
        .collect();
    let queried = driver.rounds(4);
    assert!(
        queried
            .iter()
            .filter(|prober| !driver.dead_probers.contains(prober))
            .count()
            >= 4 * MODELS
    );
}

#[test]
fn domains_without_groups_are_replaced_by_others() {
    let mut driver = Driver::new(62);
    let queried = driver.rounds(200);
    let in_use = driver.queried_domains_of(&queried, 0);
    driver.domains_without_groups = in_use.iter().map(|domain| domain.domain.clone()).collect();
    let queried = driver.rounds(200);
    let serving = driver.queried_domains_of(&queried, 0);
    let with_groups = serving
        .iter()
        .filter(|domain| !driver.domains_without_groups.contains(&domain.domain));
    assert!(with_groups.count() >= 4);
}
