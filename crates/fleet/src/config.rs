//! The configuration of the fleet: routes, services, organisations, and limits on what callers
//! send.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{DeploymentId, PerSecond, ServiceId};

use crate::home::Homes;

/// Version of a configuration, assigned by the users' platform. Newer configurations have higher
/// versions.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    derive_more::Display,
    derive_more::FromStr,
)]
pub struct ConfigVersion(pub u64);

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetConfig {
    /// Version of this configuration.
    pub version: ConfigVersion,
    /// Routes by host, longest path prefix first.
    routes_by_host: BTreeMap<String, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Organisations by API key.
    organisations_by_key: BTreeMap<String, Organisation>,
    /// Whether any organisations are configured. If so, requests of non-public routes need a key.
    pub has_organisations: bool,
    /// Services whose requests have different priorities, by their routes or organisations.
    prioritised_services: BTreeSet<ServiceId>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// An organisation. The API key of a request identifies the organisation that sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation, any text.
    pub name: String,
    /// Priority of its requests, 0 to 9; 0 is the highest. `None` if the route's priority applies.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served.
    pub homes: Homes,
}

/// Whether a request of a route may run more than once, and whether its answer is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events with increasing ids. The request may run more than once if
    /// the route is resumable.
    Stream,
}

/// A service that a route sends requests to, and its share of them.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight of the service. Its share of the requests is its weight divided by the sum of the
    /// weights of the route's targets.
    pub weight: f64,
}

/// A route: the requests that it matches, how they are handled, and where they are sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host header that the route matches.
    pub host: String,
    /// Prefix of the paths that the route matches.
    pub path_prefix: String,
    /// Kind of the requests. Determines whether a request that an upstream may have run can be
    /// retried.
    pub kind: RequestKind,
    /// Whether a stream that broke may be resumed at another upstream.
    pub is_resumable: bool,
    /// Maximum time that a caller waits for the answer.
    pub timeout_ms: u64,
    /// Service level objective: maximum time to the answer, or to the first event of a stream.
    pub answer_objective_ms: u64,
    /// Service level objective: maximum time between two events of a stream.
    pub gap_objective_ms: u64,
    /// Priority of the requests, 0 to 9, unless their organisation has its own; 0 is the highest.
    /// It is sent to model engines.
    pub priority: u8,
    /// Services that the requests are sent to.
    pub targets: Vec<WeightedService>,
    /// Maximum number of attempts to run one request. Attempts that no upstream ran do not count.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// Regions in which the requests may be served.
    pub homes: Homes,
}

impl Route {
    /// Returns whether a request that an upstream may have run can be retried. Requests that no
    /// upstream has run can be retried on every route.
    pub fn may_retry_executed(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Stream => self.is_resumable,
        }
    }
}

/// Parameters of one model that the engines of a service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: DeploymentId,
    /// Number of upstreams in a replica group of this model.
    pub size: usize,
    /// Share of the service's requests, 0 to 1, that are initially expected to ask for this model.
    pub demand_share: f64,
    /// Factor by which the time of a pass (see [`Engine::stride`]) is multiplied; a larger value
    /// means a slower model.
    pub time_factor: f64,
    /// Time to load the weights from the weight store into the host's memory.
    pub load_ms: u64,
    /// Time to load the weights from the host's memory into the engine.
    pub warm_ms: u64,
}

/// Parameters of a service's model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Models that the engines may serve.
    pub models: Vec<ModelSpec>,
    /// Maximum number of requests that a group runs at once.
    pub slots: u32,
    /// Fixed part of the time of a decoding step.
    pub step_ms: f64,
    /// Time that each running request adds to a decoding step.
    pub per_sequence_ms: f64,
    /// Number of decoding steps in a pass. The engine sends an event after each pass.
    pub stride: u32,
    /// Prompt tokens that a group processes per second.
    pub prefill_tokens_per_s: f64,
    /// Maximum number of prompt tokens that a group processes in one decoding step.
    pub max_prefill_tokens_per_step: u32,
    /// Mean length of a prompt, in tokens.
    pub mean_prompt_tokens: f64,
    /// Mean length of an answer, in tokens.
    pub mean_answer_tokens: f64,
    /// Number of concurrent loads that the weight store serves at full speed.
    pub loads_at_once: u32,
    /// Maximum number of loads from the weight store that may begin per second.
    pub loads_per_s: f64,
    /// Time from the order to open a group until the group can take its first request.
    pub form_ms: u64,
    /// Factor by which a group is slower if its members are in several fabric domains. Unused: the
    /// members of a group are selected within one fabric domain.
    pub cross_domain_factor: f64,
}

impl Engine {
    /// Returns the parameters of the model with this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// Returns the expected time of one pass, in milliseconds, of a healthy group that runs
    /// `running` requests. It includes prompt processing: each request that ends is followed by
    /// another, so the time of one prompt per request is spread over the passes of one answer.
    pub fn pass_ms(&self, model: &ModelSpec, running: f64) -> f64 {
        let stride = f64::from(self.stride.max(1));
        let decode_ms = stride * (self.step_ms + self.per_sequence_ms * running);
        let passes = (self.mean_answer_tokens / stride).max(1.0);
        let prompt_ms = self.mean_prompt_tokens * 1_000.0 / self.prefill_tokens_per_s.max(1.0);
        model.time_factor * (decode_ms + prompt_ms * running / passes)
    }

    /// Returns the time of the longest pass of a healthy group, in milliseconds: all slots are in
    /// use, and each step processes as many prompt tokens as it may.
    pub fn longest_pass_ms(&self, model: &ModelSpec) -> f64 {
        let prefill_ms = f64::from(self.max_prefill_tokens_per_step) * 1_000.0
            / self.prefill_tokens_per_s.max(1.0);
        let step_ms = self.step_ms + self.per_sequence_ms * f64::from(self.slots) + prefill_ms;
        model.time_factor * f64::from(self.stride.max(1)) * step_ms
    }

    /// Returns the share of a group's greatest throughput at which it works with `running` requests.
    pub fn utilisation(&self, model: &ModelSpec, running: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let running = running.min(slots);
        let rate = |running: f64| running / self.pass_ms(model, running).max(f64::EPSILON);
        rate(running) / rate(slots)
    }

    /// Returns the number of requests per second that a healthy group of this model completes while
    /// all its slots are in use.
    pub fn group_rate_per_s(&self, model: &ModelSpec) -> f64 {
        let running = f64::from(self.slots.max(1));
        let passes = (self.mean_answer_tokens / f64::from(self.stride.max(1))).max(1.0);
        running * 1_000.0 / (passes * self.pass_ms(model, running)).max(1.0)
    }
}

/// A service: a set of upstreams that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Path of the upstreams' health check.
    pub health_path: String,
    /// Maximum number of connections that one upstream accepts, over all clients.
    pub max_connections: u32,
    /// Parameters of the model engines; `None` if the service has no engines.
    pub engine: Option<Engine>,
    /// Limit on requests to upstreams that started a short time ago; `None` if there is none.
    pub warm_up: Option<WarmUp>,
}

/// Time after its start in which an upstream is cold, and the requests that it takes until then.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// Longest time for which an upstream is cold.
    pub duration_ms: u64,
    /// Requests a second that a cold upstream takes from all gateways together.
    pub max_per_s: PerSecond,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time in which a request head must arrive.
    pub header_timeout_ms: u64,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits that apply until a configuration is known.
    fn default() -> CallerLimits {
        CallerLimits {
            max_header_bytes: 16 * 1_024,
            max_body_bytes: 4 * 1_024 * 1_024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Result of matching a request to a route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouteMatch<'a> {
    /// The route matches, and the request may use it. Holds the route and the organisation that the
    /// request's key belongs to, if any.
    Found(&'a Route, Option<&'a Organisation>),
    /// No route matches the host and path.
    NoRoute,
    /// The route needs an API key, and the key is missing or unknown.
    NoKey(&'a Route),
}

impl FleetConfig {
    /// Builds a configuration and its indexes of routes by host and organisations by key.
    /// `organisations` holds each organisation with its API keys.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        organisations: Vec<(Organisation, Vec<String>)>,
        limits: CallerLimits,
    ) -> FleetConfig {
        let prioritised_services = prioritised_services(&routes, &organisations);
        let mut routes_by_host: BTreeMap<String, Vec<Route>> = BTreeMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            routes_by_host.entry(host).or_default().push(route);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let has_organisations = !organisations.is_empty();
        let organisations_by_key = organisations
            .into_iter()
            .flat_map(|(organisation, keys)| {
                keys.into_iter().map(move |key| (key, organisation.clone()))
            })
            .collect();
        FleetConfig {
            version,
            routes_by_host,
            services: services.into_iter().map(|s| (s.id.clone(), s)).collect(),
            organisations_by_key,
            has_organisations,
            prioritised_services,
            limits,
        }
    }

    /// Returns the route for a request and the organisation that the request's key belongs to. A
    /// key is needed unless the route is public or no organisations are configured.
    ///
    /// If no route is configured for the host with its port, the host without the port is looked
    /// up. Of the routes for the host, the one with the longest matching path prefix is returned.
    pub fn match_route(&self, host: &str, path: &str, key: Option<&str>) -> RouteMatch<'_> {
        let host = host.to_ascii_lowercase();
        let host_without_port = host
            .rsplit_once(':')
            .map_or(host.as_str(), |(name, _)| name);
        let routes = self
            .routes_by_host
            .get(host.as_str())
            .or_else(|| self.routes_by_host.get(host_without_port));
        let route = routes
            .into_iter()
            .flatten()
            .find(|route| path.starts_with(&route.path_prefix));
        let Some(route) = route else {
            return RouteMatch::NoRoute;
        };
        let organisation = key.and_then(|key| self.organisations_by_key.get(key));
        if self.has_organisations && !route.is_public && organisation.is_none() {
            return RouteMatch::NoKey(route);
        }
        RouteMatch::Found(route, organisation)
    }

    /// Returns whether the requests for a service have different priorities.
    pub fn has_priorities(&self, service: &ServiceId) -> bool {
        self.prioritised_services.contains(service)
    }

    /// Returns the services that have model engines, with their parameters.
    pub fn engines(&self) -> impl Iterator<Item = (&ServiceId, &Engine)> {
        self.services
            .iter()
            .filter_map(|(id, service)| Some((id, service.engine.as_ref()?)))
    }
}

/// Returns the services whose requests have different priorities. An organisation's priority goes before
/// the route's, which decides between requests for which the former is equal.
fn prioritised_services(
    routes: &[Route],
    organisations: &[(Organisation, Vec<String>)],
) -> BTreeSet<ServiceId> {
    let of_organisations = organisations.iter();
    let of_organisations: BTreeSet<Option<u8>> = of_organisations
        .map(|(organisation, _)| organisation.priority)
        .collect();
    let mut by_service: BTreeMap<&ServiceId, BTreeSet<(u8, u8)>> = BTreeMap::new();
    for route in routes {
        let without = (route.is_public || of_organisations.is_empty()).then_some(None);
        let callers = of_organisations.iter().copied().chain(without);
        let priorities =
            callers.map(|priority| (priority.unwrap_or(route.priority), route.priority));
        let priorities: BTreeSet<(u8, u8)> = priorities.collect();
        for target in &route.targets {
            let known = by_service.entry(&target.service).or_default();
            known.extend(priorities.iter().copied());
        }
    }
    let differing = by_service
        .into_iter()
        .filter(|(_, priorities)| priorities.len() > 1);
    differing.map(|(service, _)| service.clone()).collect()
}
