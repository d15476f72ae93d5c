//! A node asks few probers, whatever the size of the fleet, and finds every model.

use std::collections::BTreeSet;

use jacinthpoint_readiness::{DomainProbers, PermitClient};
use jacinthpoint_types::{FabricDomainId, ModelRef, NodeId, TimeMs};

/// How often a node asks.
const ROUND_MS: u64 = 400;
/// Models of the fleet.
const MODELS: usize = 3;
/// Most probers asked in a round: four domains for each model and two more to look at.
const MAX_ASKED: usize = 4 * MODELS + 2;

fn node(number: usize) -> NodeId {
    format!("node-{number}").parse().expect("a valid name")
}

fn model(number: usize) -> ModelRef {
    format!("model-{number}@v1").parse().expect("a valid model")
}

/// Domains in eight data centres, each with two probers of its own.
fn fleet(domains: usize) -> Vec<DomainProbers> {
    let domain = |number: usize| DomainProbers {
        domain: format!("rack-{number}").parse().expect("a valid name"),
        data_centre: format!("dc-{}", number % 8).parse().expect("a valid name"),
        probers: vec![node(2 * number), node(2 * number + 1)],
    };
    (0..domains).map(domain).collect()
}

struct Driver {
    now: TimeMs,
    permit_client: PermitClient,
    domains: Vec<DomainProbers>,
    dead: BTreeSet<NodeId>,
    closed: BTreeSet<FabricDomainId>,
}

impl Driver {
    fn new(domains: usize) -> Driver {
        let permit_client = PermitClient::new(node(9_999), "dc-3".parse().expect("a valid name"));
        let (dead, closed) = (BTreeSet::new(), BTreeSet::new());
        Driver {
            now: TimeMs(1_000),
            permit_client,
            domains: fleet(domains),
            dead,
            closed,
        }
    }

    /// One round; live probers answer at once. Domain N serves model N modulo the models.
    fn round(&mut self) -> BTreeSet<NodeId> {
        self.now = self.now.plus_ms(ROUND_MS);
        let asked = self.permit_client.probers_to_ask(self.now, &self.domains);
        for (number, domain) in self.domains.iter().enumerate() {
            let prober = domain.probers.iter().find(|prober| asked.contains(prober));
            let Some(prober) = prober.filter(|prober| !self.dead.contains(prober)) else {
                continue;
            };
            let is_open = !self.closed.contains(&domain.domain);
            let group = (domain.domain.clone(), model(number % MODELS));
            self.permit_client
                .on_answer(self.now, prober, is_open.then_some(group));
        }
        asked
    }

    fn rounds(&mut self, count: usize) -> BTreeSet<NodeId> {
        (0..count).map(|_| self.round()).last().unwrap_or_default()
    }

    /// Domains of a model that the last round asked.
    fn asked_of_model(&self, asked: &BTreeSet<NodeId>, wanted: usize) -> Vec<&DomainProbers> {
        let of_model = self
            .domains
            .iter()
            .enumerate()
            .filter(|(n, _)| n % MODELS == wanted);
        let domains = of_model.map(|(_, domain)| domain);
        domains
            .filter(|domain| domain.probers.iter().any(|p| asked.contains(p)))
            .collect()
    }
}

#[test]
fn small_fleet_asks_all_probers() {
    let mut driver = Driver::new(6);
    assert_eq!(driver.round().len(), 12);
}

#[test]
fn large_fleet_asks_few_and_finds_every_model() {
    let mut driver = Driver::new(62);
    for _ in 0..200 {
        let asked = driver.round();
        assert!(asked.len() <= MAX_ASKED, "{} asked", asked.len());
    }
    let asked = driver.round();
    for wanted in 0..MODELS {
        assert!(driver.asked_of_model(&asked, wanted).len() >= 4);
    }
}

#[test]
fn nearest_domains_come_first() {
    let mut driver = Driver::new(62);
    let asked = driver.rounds(200);
    for wanted in 0..MODELS {
        let in_use = driver.asked_of_model(&asked, wanted);
        let near = in_use
            .iter()
            .filter(|domain| domain.data_centre.as_str() == "dc-3")
            .count();
        let all_near = driver
            .domains
            .iter()
            .enumerate()
            .filter(|(number, domain)| {
                number % MODELS == wanted && domain.data_centre.as_str() == "dc-3"
            });
        assert!(near >= all_near.count().min(4));
    }
}

#[test]
fn second_prober_is_asked_when_the_first_is_silent() {
    let mut driver = Driver::new(62);
    driver.rounds(200);
    driver.dead = driver
        .domains
        .iter()
        .map(|domain| domain.probers[0].clone())
        .collect();
    let asked = driver.rounds(4);
    assert!(
        asked
            .iter()
            .filter(|prober| !driver.dead.contains(prober))
            .count()
            >= 4 * MODELS
    );
}

#[test]
fn closed_domains_are_made_up_for_by_others() {
    let mut driver = Driver::new(62);
    let asked = driver.rounds(200);
    let in_use = driver.asked_of_model(&asked, 0);
    driver.closed = in_use.iter().map(|domain| domain.domain.clone()).collect();
    let asked = driver.rounds(200);
    let serving = driver.asked_of_model(&asked, 0);
    let open = serving
        .iter()
        .filter(|domain| !driver.closed.contains(&domain.domain));
    assert!(open.count() >= 4);
}
