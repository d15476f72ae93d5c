//! A fault proxy: every link between two parties of a test goes through it and can be disturbed.
//!
//! A *party* is a process of the test, by name. A *link* leads from the party that connects or
//! sends to the party that is reached. Rules name sets of parties on either side and a
//! [`LinkFault`]; they are switched on and off while the proxy runs, and all rules that match a
//! link act together.
//!
//! Who connects is known in one of three ways: the route was made for one party, the datagram
//! comes from an address registered for one, or the party was given a route of its own as its HTTP
//! proxy (the environment variable `http_proxy`), on which it names the address it wants to reach.
//!
//! Protocol, HTTP with JSON:
//!
//! - `POST /control/routes` with a [`RouteSpec`] gives `{"address"}`, where the route listens;
//! - `POST /control/target` with `{"address", "target"}` sets where a route leads;
//! - `POST /control/senders` with `{"party", "address"}` names the sender of datagrams;
//! - `POST /control/rules` with a [`Rule`] adds it, or replaces the one of that name;
//! - `POST /control/heal` with `{"rule"}` removes one rule, with `{}` all of them;
//! - `POST /control/freeze` with `{"from", "to"}` makes the connections that are open go silent for
//!   good and gives their number;
//! - `GET /control/links` gives the traffic of each link.

use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tiny_http::{Method, Request};

pub use crate::proxy::{
    rules::{LinkFault, LinkState, Rule, Rules},
    shared::LinkTraffic,
};
use crate::{
    http::{HttpServer, read_body, respond_error, respond_json},
    proxy::shared::Shared,
};

mod forward;
mod rules;
mod shared;
mod tcp;
mod udp;

/// What a route carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Transport {
    /// TCP connections.
    Tcp,
    /// UDP datagrams.
    Udp,
    /// Both, on one port.
    TcpAndUdp,
    /// HTTP requests in absolute form, to any address.
    HttpProxy,
}

/// A route to add.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RouteSpec {
    /// The party that uses it; `None` if several do.
    pub from: Option<String>,
    /// The party that it leads to; empty for [`Transport::HttpProxy`].
    pub to: String,
    /// What it carries.
    pub transport: Transport,
    /// Where it leads; may be set later.
    pub target: Option<SocketAddr>,
}

/// Settings of the proxy.
#[derive(Debug, Clone)]
pub struct ProxyOptions {
    /// Where the control paths are served.
    pub address: SocketAddr,
    /// Seed of the loss on each link.
    pub seed: u64,
}

/// A running proxy. Dropping it ends its routes; connections end with their ends.
#[derive(Debug)]
pub struct ProxyServer {
    http: HttpServer,
    shared: Arc<Shared>,
}

impl ProxyServer {
    /// Starts it without routes.
    ///
    /// # Errors
    ///
    /// Fails if the control address cannot be bound.
    pub fn start(options: &ProxyOptions) -> io::Result<ProxyServer> {
        let stopped = Arc::new(AtomicBool::new(false));
        let shared = Arc::new(Shared::new(options.seed, stopped.clone()));
        let handler = shared.clone();
        let http = HttpServer::start(options.address, stopped, move |request| {
            handle(&handler, request);
        })?;
        Ok(ProxyServer { http, shared })
    }

    /// Where the control paths are served.
    pub fn address(&self) -> SocketAddr {
        self.http.address
    }
}

impl Drop for ProxyServer {
    fn drop(&mut self) {
        self.shared.stop();
    }
}

#[derive(Debug, Deserialize)]
struct TargetChange {
    address: SocketAddr,
    target: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Sender {
    party: String,
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Heal {
    rule: Option<String>,
}

/// Links by the parties on both sides; an empty set means any.
#[derive(Debug, Default, Deserialize)]
struct Links {
    #[serde(default)]
    from: BTreeSet<String>,
    #[serde(default)]
    to: BTreeSet<String>,
}

fn handle(shared: &Arc<Shared>, mut request: Request) {
    let body = read_body(&mut request).unwrap_or_default();
    let path = request.url().to_owned();
    let done = match (request.method(), path.as_str()) {
        (Method::Post, "/control/routes") => add_route(shared, &body),
        (Method::Post, "/control/target") => change(&body, |change: TargetChange| {
            shared.set_target(change.address, change.target)
        }),
        (Method::Post, "/control/senders") => change(&body, |sender: Sender| {
            shared.name_sender(sender.address, sender.party);
            Ok(json!({}))
        }),
        (Method::Post, "/control/rules") => change(&body, |rule: Rule| {
            shared.set_rule(rule);
            Ok(json!({}))
        }),
        (Method::Post, "/control/heal") => change(&body, |heal: Heal| {
            shared.heal(heal.rule.as_deref());
            Ok(json!({}))
        }),
        (Method::Post, "/control/freeze") => change(&body, |links: Links| {
            Ok(json!({ "frozen": shared.freeze(&links.from, &links.to) }))
        }),
        (Method::Get, "/control/links") => Ok(json!(shared.traffic())),
        _ => return respond_error(request, 404, "no such control path"),
    };
    match done {
        Ok(answer) => respond_json(request, 200, &answer),
        Err(message) => respond_error(request, 400, &message),
    }
}

fn change<T: DeserializeOwned>(
    body: &[u8],
    apply: impl FnOnce(T) -> Result<Value, String>,
) -> Result<Value, String> {
    let change = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    apply(change)
}

fn add_route(shared: &Arc<Shared>, body: &[u8]) -> Result<Value, String> {
    change(body, |spec: RouteSpec| {
        let address = match spec.transport {
            Transport::Tcp => tcp::listen(shared, spec, None),
            Transport::Udp => udp::listen(shared, spec),
            Transport::TcpAndUdp => listen_on_both(shared, spec),
            Transport::HttpProxy => forward::listen(shared, spec),
        };
        let address = address.map_err(|error| error.to_string())?;
        Ok(json!({ "address": address }))
    })
}

/// Finds a port that is free for both transports.
fn listen_on_both(shared: &Arc<Shared>, spec: RouteSpec) -> io::Result<SocketAddr> {
    const TRIES: usize = 20;
    let mut last = io::Error::other("no port is free for both transports");
    for _ in 0..TRIES {
        let address = udp::listen(shared, spec.clone())?;
        match tcp::listen(shared, spec.clone(), Some(address)) {
            Ok(address) => return Ok(address),
            Err(error) => last = error,
        }
    }
    Err(last)
}
