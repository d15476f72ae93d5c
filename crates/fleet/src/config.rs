//! The configuration: routes, services, customers and what callers may send.

use std::collections::BTreeMap;

use jacinthpoint_types::{DeploymentId, OrganisationId, ServiceId};

/// Version of a configuration. It only grows.
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

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetConfig {
    /// Its version.
    pub version: ConfigVersion,
    /// Routes by host, longest path prefix first.
    routes_by_host: BTreeMap<String, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Customers by key.
    organisations_by_key: BTreeMap<String, Organisation>,
    /// Whether requests carry a customer's key.
    pub has_organisations: bool,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub id: OrganisationId,
    /// Its rank, which goes before the route's; 0 is the highest.
    pub priority: Option<u8>,
}

/// What a request of a route may be subjected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a series of events with increasing ids.
    Stream,
}

/// One of the services that a route leads to.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share, against the sum of all.
    pub weight: f64,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host header that it answers to.
    pub host: String,
    /// Beginning of the paths that it answers to.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Whether a broken stream may go on at another upstream.
    pub is_resumable: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time to an answer, or to the first event of a stream, that counts as good.
    pub objective_ms: u64,
    /// Longest good pause between events.
    pub max_gap_ms: u64,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Services that it leads to.
    pub targets: Vec<WeightedService>,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Whether a request that may have run can be sent once more.
    pub fn may_retry_executed(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Stream => self.is_resumable,
        }
    }
}

/// A model that the engines of a service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Its name.
    pub name: DeploymentId,
    /// Upstreams in a replica.
    pub size: usize,
    /// Part of the service's work that asks for it at the start.
    pub demand_share: f64,
    /// Factor on all times of its groups.
    pub time_factor: f64,
    /// Time to load its weights from the weight store.
    pub load_ms: u64,
    /// Time to take its weights from the host's memory.
    pub warm_ms: u64,
}

/// Parameters of a service's model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Models that may be served.
    pub models: Vec<ModelSpec>,
    /// Requests that a group runs at once.
    pub slots: u32,
    /// Time of a decoding step with no request.
    pub step_ms: f64,
    /// Time that each running request adds to a step.
    pub per_sequence_ms: f64,
    /// Decoding steps in a pass; an event leaves the engine after each pass.
    pub stride: u32,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_s: f64,
    /// Mean prompt, in tokens.
    pub usual_prompt_tokens: f64,
    /// Mean answer, in tokens.
    pub usual_answer_tokens: f64,
    /// Loads from the weight store that run at full speed together.
    pub loads_at_once: u32,
    /// Loads from the weight store that may begin in a second.
    pub loads_per_s: f64,
    /// Time between the order to open a group and its first request.
    pub form_ms: u64,
    /// Factor on the times of a group whose members are in several fabric domains.
    pub cross_domain_factor: f64,
}

impl Engine {
    /// The model of this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// Time of one pass of a healthy group that runs `running` requests, with its part of reading
    /// the prompts of their successors.
    pub fn pass_ms(&self, model: &ModelSpec, running: f64) -> f64 {
        let stride = f64::from(self.stride.max(1));
        let decode_ms = stride * (self.step_ms + self.per_sequence_ms * running);
        let passes = (self.usual_answer_tokens / stride).max(1.0);
        let prompt_ms = self.usual_prompt_tokens * 1_000.0 / self.prefill_tokens_per_s.max(1.0);
        model.time_factor * (decode_ms + prompt_ms * running / passes)
    }

    /// Requests a second that a healthy group of this model completes when all slots are taken.
    pub fn group_rate_per_s(&self, model: &ModelSpec) -> f64 {
        let running = f64::from(self.slots.max(1));
        let passes = (self.usual_answer_tokens / f64::from(self.stride.max(1))).max(1.0);
        running * 1_000.0 / (passes * self.pass_ms(model, running)).max(1.0)
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one upstream accepts from all callers.
    pub max_connections: u32,
    /// Its model engines, if it has any.
    pub engine: Option<Engine>,
}

/// Bounds on what a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub max_header_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a head.
    pub header_timeout_ms: u64,
    /// Time for which a connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Bounds that hold until a configuration is known.
    fn default() -> CallerLimits {
        CallerLimits {
            max_header_bytes: 16 * 1_024,
            max_body_bytes: 4 * 1_024 * 1_024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Outcome of a look-up of a route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouteMatch<'a> {
    /// The request may go on.
    Found(&'a Route, Option<&'a Organisation>),
    /// No route has this host and path.
    NoRoute,
    /// The route needs a key that some customer holds.
    NoKey(&'a Route),
}

impl FleetConfig {
    /// Puts a configuration together.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        organisations: Vec<(Organisation, Vec<String>)>,
        limits: CallerLimits,
    ) -> FleetConfig {
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
            limits,
        }
    }

    /// The route of a request and the customer that its key belongs to.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> RouteMatch<'_> {
        let host = host.to_ascii_lowercase();
        let name = host
            .rsplit_once(':')
            .map_or(host.as_str(), |(name, _)| name);
        let routes = self
            .routes_by_host
            .get(host.as_str())
            .or_else(|| self.routes_by_host.get(name));
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

    /// Services with model engines.
    pub fn engines(&self) -> impl Iterator<Item = (&ServiceId, &Engine)> {
        self.services
            .iter()
            .filter_map(|(id, service)| Some((id, service.engine.as_ref()?)))
    }
}
