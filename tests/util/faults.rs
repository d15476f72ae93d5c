//! Random faults of a site, drawn from a seed.

use std::{thread, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::json;

use crate::util::Site;

/// Shortest and longest time that a fault lasts.
const FAULT_MS: std::ops::RangeInclusive<u64> = 500..=2_000;
/// Shortest and longest pause between two faults.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 200..=800;

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    KillEngine,
    PauseEngine,
    StraggleEngine,
    ReplaceEngine,
    DarkDomain,
    PauseNode,
    CutNodeFromPlatform,
    CutNodeFromPeers,
    CutNodeFromEngines,
    LoseOneWay,
    LosePart,
    Freeze,
    PlatformRefuses,
    PlatformSilent,
    PlatformSlow,
    PlatformThrottles,
    PlatformLosesAnswers,
}

const KINDS: [Kind; 17] = [
    Kind::KillEngine,
    Kind::PauseEngine,
    Kind::StraggleEngine,
    Kind::ReplaceEngine,
    Kind::DarkDomain,
    Kind::PauseNode,
    Kind::CutNodeFromPlatform,
    Kind::CutNodeFromPeers,
    Kind::CutNodeFromEngines,
    Kind::LoseOneWay,
    Kind::LosePart,
    Kind::Freeze,
    Kind::PlatformRefuses,
    Kind::PlatformSilent,
    Kind::PlatformSlow,
    Kind::PlatformThrottles,
    Kind::PlatformLosesAnswers,
];

/// Provokes faults one after another, each healed before the next.
pub struct Faults {
    rng: SmallRng,
    /// Number for the names of VMs that replace others.
    replacements: usize,
    /// Faults not drawn yet, so that each kind comes once before any comes again.
    left: Vec<Kind>,
}

impl Faults {
    /// Faults that follow from the seed alone.
    pub fn new(seed: u64) -> Faults {
        Faults {
            rng: SmallRng::seed_from_u64(seed),
            replacements: 0,
            left: Vec::new(),
        }
    }

    /// Provokes one fault and heals it.
    pub fn provoke(&mut self, site: &mut Site) {
        if self.left.is_empty() {
            self.left = KINDS.to_vec();
        }
        let kind = self
            .left
            .swap_remove(self.rng.random_range(0..self.left.len()));
        println!("fault: {kind:?}");
        match kind {
            Kind::KillEngine | Kind::ReplaceEngine => self.replace_engine(site, kind),
            Kind::PauseEngine | Kind::StraggleEngine => self.slow_engine(site, kind),
            Kind::DarkDomain | Kind::LoseOneWay => self.disturb_domain(site, kind),
            Kind::PauseNode => self.pause_node(site),
            Kind::CutNodeFromPlatform | Kind::CutNodeFromPeers | Kind::CutNodeFromEngines => {
                self.cut_node(site, kind);
            }
            Kind::LosePart | Kind::Freeze => self.disturb_nodes(site, kind),
            _ => self.disturb_platform(site, kind),
        }
        let pause_ms = self.rng.random_range(PAUSE_MS);
        thread::sleep(Duration::from_millis(pause_ms));
    }

    fn last(&mut self) {
        let fault_ms = self.rng.random_range(FAULT_MS);
        thread::sleep(Duration::from_millis(fault_ms));
    }

    fn any_engine(&mut self, site: &Site) -> String {
        let names: Vec<&String> = site.engines.keys().collect();
        let name = names.choose(&mut self.rng).expect("an engine runs");
        (*name).clone()
    }

    fn replace_engine(&mut self, site: &mut Site, kind: Kind) {
        let vm = self.any_engine(site);
        self.replacements += 1;
        let by = format!("replacement-{}", self.replacements);
        if kind == Kind::ReplaceEngine {
            site.replace_engine(&vm, &by);
            return;
        }
        let domain = site.engines[&vm].domain.clone();
        site.kill_engine(&vm);
        self.last();
        site.start_engine(&by, &domain);
    }

    fn slow_engine(&mut self, site: &Site, kind: Kind) {
        let vm = self.any_engine(site);
        if kind == Kind::PauseEngine {
            site.pause_engine(&vm);
            self.last();
            site.resume_engine(&vm);
            return;
        }
        site.engine_fault(&vm, &json!({ "mode": "straggle", "factor": 10.0 }));
        self.last();
        site.engine_fault(&vm, &json!({ "mode": "none" }));
    }

    fn disturb_domain(&mut self, site: &Site, kind: Kind) {
        let vm = self.any_engine(site);
        let domain = &site.engines[&vm].domain;
        let in_domain = site.engines.iter().filter(|(_, e)| &e.domain == domain);
        let vms: Vec<&str> = in_domain.map(|(vm, _)| vm.as_str()).collect();
        if kind == Kind::DarkDomain {
            let others = others_of(site, &vms);
            let others: Vec<&str> = others.iter().map(String::as_str).collect();
            site.links().partition("fault", &vms, &others);
        } else {
            let fault = json!({ "mode": "lose-towards-source" });
            site.links().disturb("fault", &[], &vms, &fault);
        }
        self.last();
        site.links().heal("fault");
    }

    fn pause_node(&mut self, site: &Site) {
        let node = site.nodes.choose(&mut self.rng).expect("a node runs");
        node.process.signal("STOP");
        self.last();
        node.process.signal("CONT");
    }

    fn cut_node(&mut self, site: &Site, kind: Kind) {
        let number = self.rng.random_range(1..=site.nodes.len());
        let node = format!("node-{number}");
        let others: Vec<String> = match kind {
            Kind::CutNodeFromPlatform => vec!["platform".to_owned()],
            Kind::CutNodeFromEngines => site.engines.keys().cloned().collect(),
            _ => node_names(site).filter(|other| *other != node).collect(),
        };
        let others: Vec<&str> = others.iter().map(String::as_str).collect();
        site.links().partition("fault", &[&node], &others);
        self.last();
        site.links().heal("fault");
    }

    fn disturb_nodes(&mut self, site: &Site, kind: Kind) {
        let nodes: Vec<String> = node_names(site).collect();
        let nodes: Vec<&str> = nodes.iter().map(String::as_str).collect();
        if kind == Kind::Freeze {
            site.links().freeze(&nodes, &[]);
            return;
        }
        let fault = json!({ "mode": "lose-share", "share": 0.2 });
        site.links().disturb("fault", &nodes, &[], &fault);
        self.last();
        site.links().heal("fault");
    }

    fn disturb_platform(&mut self, site: &Site, kind: Kind) {
        let fault = match kind {
            Kind::PlatformRefuses => json!({ "mode": "refuse" }),
            Kind::PlatformSilent => json!({ "mode": "silent" }),
            Kind::PlatformSlow => json!({ "mode": "slow", "delay_ms": 1_000 }),
            Kind::PlatformThrottles => json!({ "mode": "throttle" }),
            _ => json!({ "mode": "lose-answers", "count": 2 }),
        };
        site.platform_fault(&fault);
        self.last();
        site.platform_fault(&json!({ "mode": "none" }));
    }
}

fn node_names(site: &Site) -> impl Iterator<Item = String> {
    (1..=site.nodes.len()).map(|number| format!("node-{number}"))
}

/// All parties but these, callers excepted.
fn others_of(site: &Site, vms: &[&str]) -> Vec<String> {
    let engines = site.engines.keys().cloned();
    let mut others: Vec<String> = engines.chain(node_names(site)).collect();
    others.retain(|other| !vms.contains(&other.as_str()));
    others.push("platform".to_owned());
    others
}
