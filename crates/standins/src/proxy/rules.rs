//! Rules: which links are disturbed, and how.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// A disturbance of a link.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "kebab-case")]
pub enum LinkFault {
    /// None.
    Pass,
    /// Everything takes this much longer, each way.
    Delay {
        /// Added time.
        delay_ms: u64,
    },
    /// Open connections are closed, new ones are closed at once, datagrams are dropped.
    Cut,
    /// Nothing passes either way and nobody is told. Once healed, held bytes pass on, as the
    /// retransmissions of TCP would bring them; datagrams are lost.
    Silent,
    /// As `Silent`, but only what goes towards the party that is reached.
    LoseTowardsTarget,
    /// As `Silent`, but only what comes back from the party that is reached.
    LoseTowardsSource,
    /// This share of the datagrams is dropped; this share of the pieces of a TCP stream takes the
    /// time of a retransmission longer.
    LoseShare {
        /// From 0 to 1.
        share: f64,
    },
}

/// A fault on all links between two sets of parties.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Rule {
    /// Name to replace or remove it by.
    pub name: String,
    /// Parties that connect or send; empty for any.
    #[serde(default)]
    pub from: BTreeSet<String>,
    /// Parties that are reached; empty for any.
    #[serde(default)]
    pub to: BTreeSet<String>,
    /// Whether links from `to` to `from` are meant as well, as in a partition.
    #[serde(default)]
    pub both_ways: bool,
    /// What happens to them.
    pub fault: LinkFault,
}

/// Direction of data on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the party that connected or sent first.
    TowardsTarget,
    /// Back to it.
    TowardsSource,
}

/// What all rules together do to one link.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkState {
    /// Connections are closed.
    pub cut: bool,
    /// Nothing reaches the target.
    pub blocked_towards_target: bool,
    /// Nothing comes back.
    pub blocked_towards_source: bool,
    /// Added time each way.
    pub delay_ms: u64,
    /// Share that is lost.
    pub loss_share: f64,
}

/// All rules in force.
#[derive(Debug, Default)]
pub struct Rules(BTreeMap<String, Rule>);

impl Rule {
    fn matches(&self, from: &str, to: &str) -> bool {
        let forth = is_among(&self.from, from) && is_among(&self.to, to);
        let back = is_among(&self.to, from) && is_among(&self.from, to);
        forth || (self.both_ways && back)
    }
}

/// Whether a set names a party; an empty set names all.
pub(super) fn is_among(parties: &BTreeSet<String>, party: &str) -> bool {
    parties.is_empty() || parties.contains(party)
}

impl Rules {
    /// Adds a rule or replaces the one of its name.
    pub fn set(&mut self, rule: Rule) {
        self.0.insert(rule.name.clone(), rule);
    }

    /// Removes one rule, or all.
    pub fn heal(&mut self, name: Option<&str>) {
        match name {
            Some(name) => drop(self.0.remove(name)),
            None => self.0.clear(),
        }
    }

    /// What the rules do to the link between two parties.
    pub fn link(&self, from: &str, to: &str) -> LinkState {
        let mut state = LinkState::default();
        for rule in self.0.values().filter(|rule| rule.matches(from, to)) {
            state.add(rule.fault);
        }
        state
    }
}

impl LinkState {
    fn add(&mut self, fault: LinkFault) {
        match fault {
            LinkFault::Pass => {}
            LinkFault::Delay { delay_ms } => self.delay_ms = self.delay_ms.max(delay_ms),
            LinkFault::Cut => self.cut = true,
            LinkFault::Silent => {
                self.blocked_towards_target = true;
                self.blocked_towards_source = true;
            }
            LinkFault::LoseTowardsTarget => self.blocked_towards_target = true,
            LinkFault::LoseTowardsSource => self.blocked_towards_source = true,
            LinkFault::LoseShare { share } => self.loss_share = self.loss_share.max(share),
        }
    }

    /// Whether nothing passes in a direction.
    pub fn blocks(&self, direction: Direction) -> bool {
        match direction {
            Direction::TowardsTarget => self.blocked_towards_target,
            Direction::TowardsSource => self.blocked_towards_source,
        }
    }
}
