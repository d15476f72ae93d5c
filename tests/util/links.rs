//! The fault proxy of a site: who may reach whom.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::util::{Process, get_json, post_json};

/// The proxy as a process, with all its links.
pub struct Links {
    _process: Process,
    control: SocketAddr,
}

impl Links {
    /// Starts a proxy without routes.
    pub fn start(seed: u64) -> Links {
        let (process, control) = Process::standin(&["proxy", "--seed", &seed.to_string()]);
        Links {
            _process: process,
            control,
        }
    }

    /// Adds a route and tells where it listens.
    pub fn route(
        &self,
        from: Option<&str>,
        to: &str,
        transport: &str,
        target: Option<SocketAddr>,
    ) -> SocketAddr {
        let spec = json!({ "from": from, "to": to, "transport": transport, "target": target });
        let answer = self.post("routes", &spec);
        let address = answer["address"].as_str().expect("a route has an address");
        address.parse().expect("an address")
    }

    /// A route that one party uses as its HTTP proxy.
    pub fn http_proxy(&self, party: &str) -> SocketAddr {
        self.route(Some(party), "", "http-proxy", None)
    }

    /// Sets where a route leads.
    pub fn set_target(&self, route: SocketAddr, target: SocketAddr) {
        self.post("target", &json!({ "address": route, "target": target }));
    }

    /// Names the sender of datagrams.
    pub fn name_sender(&self, party: &str, address: SocketAddr) {
        self.post("senders", &json!({ "party": party, "address": address }));
    }

    /// Disturbs the links from one set of parties to another; an empty set means all parties.
    pub fn disturb(&self, rule: &str, from: &[&str], to: &[&str], fault: &Value) {
        let rule = json!({ "name": rule, "from": from, "to": to, "fault": fault });
        self.post("rules", &rule);
    }

    /// Lets nothing pass between two sets of parties, without telling them.
    pub fn partition(&self, rule: &str, one: &[&str], other: &[&str]) {
        let rule = json!({
            "name": rule, "from": one, "to": other, "both_ways": true,
            "fault": { "mode": "silent" },
        });
        self.post("rules", &rule);
    }

    /// Removes one rule.
    pub fn heal(&self, rule: &str) {
        self.post("heal", &json!({ "rule": rule }));
    }

    /// Makes open connections go silent for good; tells how many.
    pub fn freeze(&self, from: &[&str], to: &[&str]) -> u64 {
        let answer = self.post("freeze", &json!({ "from": from, "to": to }));
        answer["frozen"].as_u64().unwrap_or(0)
    }

    /// Connections and datagrams from one party to another so far.
    pub fn traffic(&self, from: &str, to: &str) -> u64 {
        let links = get_json(self.control, "/control/links");
        let links = links.as_array().cloned().unwrap_or_default();
        let link = links
            .into_iter()
            .find(|link| link["from"] == from && link["to"] == to);
        let count = |link: &Value, what: &str| link[what].as_u64().unwrap_or(0);
        link.map_or(0, |link| {
            count(&link, "connections") + count(&link, "datagrams")
        })
    }

    fn post(&self, path: &str, body: &Value) -> Value {
        post_json(self.control, &format!("/control/{path}"), body)
    }
}
