//! Executes the planner's actions, which form and repair replica groups of upstreams, while this
//! gateway holds the lease.

use std::{
    cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, header};
use jacinthpoint_adapter::{
    EngineReport, decode_report, decode_warm_up_left_ms, encode_order, headers,
    is_fencing_token_refusal, order_answer, paths,
};
use jacinthpoint_dispatch::{Directory, Target, TargetKey, WorkMeter};
use jacinthpoint_fleet::{Engine, ModelSpec, Order, OrderAnswer, Upstream};
use jacinthpoint_regroup::{Action, Decision, Planner, PlannerInput, Report};
use jacinthpoint_types::{ServiceId, TimeMs, VmId};
use tokio::time::timeout;

use crate::{
    alarm, clock::sleep_ms, connection::Connection, datagram::Alarm, events::log_event,
    lease::Lease, state::Gateway,
};

/// Time between two runs of the planners.
const PLAN_INTERVAL_MS: u64 = 50;
/// Time for connecting and for the answer to an order. Upstreams are a few milliseconds away.
const ORDER_TIMEOUT_MS: u64 = 400;
/// Time for connecting and for the answer to a probe or health check. An upstream is considered
/// dead only after two failed probes in a row, so that one lost packet has no effect.
const PROBE_TIMEOUT_MS: u64 = 250;

/// Maximum length of the body of a report or of the answer to an order.
const MAX_REPORT_BYTES: usize = 256 * 1_024;
/// Time after which an event that another gateway received is known to the owner: the interval of
/// the load exchange, and half of it for delays on the way.
const MAX_EXCHANGE_DELAY_MS: u64 = 150;

/// The planners of all services with engines, under one fencing token.
#[derive(Debug, Default)]
struct Planners {
    /// Fencing token of the orders.
    token: u64,
    by_service: BTreeMap<ServiceId, Planner>,
    /// Work of the models of each service.
    work: BTreeMap<ServiceId, WorkMeter>,
    /// Time of the last stream event of each group that was reported to its planner.
    reported_events: BTreeMap<TargetKey, TimeMs>,
    /// Idle connections to upstreams for probes.
    connections: BTreeMap<VmId, Connection>,
}

/// Planners that are shared with the actions in progress.
type SharedPlanners = Rc<RefCell<Planners>>;

/// Runs the planners and starts their actions whenever this gateway holds the lease, for ever. Each
/// new fencing token begins with new planners.
pub(crate) async fn manage_groups(gateway: Rc<Gateway>, lease: Rc<Lease>) {
    let planners = SharedPlanners::default();
    loop {
        sleep_ms(PLAN_INTERVAL_MS).await;
        let Some(token) = lease.valid_token(gateway.now()) else {
            gateway.fault_reports.borrow_mut().suspected_members.clear();
            continue;
        };
        if planners.borrow().token != token {
            *planners.borrow_mut() = Planners {
                token,
                ..Planners::default()
            };
        }
        for (service, action) in plan_actions(&gateway, &planners) {
            let execution = Execution {
                gateway: gateway.clone(),
                lease: lease.clone(),
                planners: planners.clone(),
                token,
                service,
            };
            tokio::task::spawn_local(execution.run(action));
        }
    }
}

/// Passes new stream events and stalled members of groups to the planners, and returns the actions
/// that are due.
fn plan_actions(gateway: &Gateway, planners: &SharedPlanners) -> Vec<(ServiceId, Action)> {
    let now = gateway.now();
    let Some(snapshot) = gateway.snapshot() else {
        return Vec::new();
    };
    let mut planners = planners.borrow_mut();
    let planners = &mut *planners;
    let suspected = std::mem::take(&mut gateway.fault_reports.borrow_mut().suspected_members);
    let view = gateway.view.borrow();
    let active_groups = groups_with_events(
        gateway,
        &snapshot.directory,
        &mut planners.reported_events,
        now,
    );
    let mut actions = Vec::new();
    for (service, engine) in snapshot.config.engines() {
        let planner = planners
            .by_service
            .entry(service.clone())
            .or_insert_with(|| Planner::new(planners.token));
        let upstreams = upstreams_of(view.upstreams(), service);
        let unlisted = upstreams_of(view.unlisted(), service);
        let is_of_service = |id: &&VmId| upstreams.contains_key(*id);
        for (members, at) in &active_groups {
            planner.on_group_event(members.iter().filter(is_of_service), *at);
        }
        planner.on_group_stalled(suspected.iter().filter(is_of_service));
        for members in silent_groups(gateway, &snapshot.directory, service, engine, now) {
            planner.on_group_stalled(members);
        }
        let meter = planners.work.entry(service.clone()).or_default();
        let groups = |model: &ModelSpec| snapshot.directory.groups(service, &model.name);
        meter.measure(service, engine, groups, &gateway.loads.borrow(), now);
        let demand = meter.work(now);
        let cold = gateway.warm_ups.cold(upstreams.keys(), now);
        let running = running_requests(gateway, &snapshot.directory, service, engine, now);
        let input = PlannerInput {
            upstreams: &upstreams,
            unlisted: &unlisted,
            cold: &cold,
            engine,
            has_traffic: gateway.has_traffic.get(),
            evacuations: &view.evacuations,
            follows_demand: gateway.settings().follows_demand,
            demand: &demand,
            running: &running,
        };
        let due = planner.plan(input, now);
        for decision in planner.take_decisions() {
            log_decision(gateway, planners.token, &decision);
        }
        actions.extend(due.into_iter().map(|action| (service.clone(), action)));
    }
    planners.connections.retain(|id, connection| {
        view.upstreams().contains_key(id) && !connection.sender.is_closed()
    });
    actions
}

/// Logs and counts a decision of a planner.
fn log_decision(gateway: &Gateway, token: u64, decision: &Decision) {
    match decision {
        Decision::FormationStarted {
            group,
            model,
            members,
        } => {
            let members: Vec<String> = members.iter().map(ToString::to_string).collect();
            log_event!(info, FormationStarted, fence = token, %group, %model, ?members,
                "the formation of a group began");
        }
        Decision::FormationEnded { group, outcome } => {
            gateway.metrics.count("formations", outcome.into());
            log_event!(info, FormationEnded, fence = token, %group, %outcome,
                "the formation of a group ended");
        }
        Decision::ReportOutdated { id } => {
            gateway.metrics.count("reports_outdated", "probe");
            log_event!(warn, ReportOutdated, fence = token, upstream = %id,
                "a report is older than an order that its upstream has begun, and is not used");
        }
        Decision::ConversionStarted {
            domain,
            model,
            groups,
            running,
            needs,
        } => {
            let groups: Vec<String> = groups.iter().map(ToString::to_string).collect();
            let needs: Vec<String> = needs.iter().map(ToString::to_string).collect();
            log_event!(info, ConversionStarted, fence = token, %domain, %model, ?groups, running, ?needs,
                "groups are closed so that their upstreams serve another model");
        }
        Decision::ConversionEnded {
            domain,
            model,
            outcome,
        } => {
            gateway.metrics.count("conversions", outcome.into());
            log_event!(info, ConversionEnded, fence = token, %domain, %model, %outcome,
                "the conversion of groups ended");
        }
    }
}

/// Returns the number of requests that the groups of a service run, by leader.
fn running_requests(
    gateway: &Gateway,
    directory: &Directory,
    service: &ServiceId,
    engine: &Engine,
    now: TimeMs,
) -> BTreeMap<VmId, u32> {
    let loads = gateway.loads.borrow();
    let models = engine.models.iter();
    let targets = models.flat_map(|model| directory.groups(service, &model.name));
    let running = |target: &Arc<Target>| {
        let running = loads.load(&target.key, now).round() as u32;
        (target.upstream.clone(), running)
    };
    targets.map(running).collect()
}

/// Returns the upstreams of one service.
fn upstreams_of(
    upstreams: &BTreeMap<VmId, Upstream>,
    service: &ServiceId,
) -> BTreeMap<VmId, Upstream> {
    let upstreams = upstreams.iter();
    let of_service = upstreams.filter(|(_, upstream)| &upstream.service == service);
    of_service
        .map(|(id, upstream)| (id.clone(), upstream.clone()))
        .collect()
}

/// Returns the members of each group that had a stream event since the last run of the planners,
/// with the time of its last event.
fn groups_with_events<'a>(
    gateway: &Gateway,
    directory: &'a Directory,
    reported_events: &mut BTreeMap<TargetKey, TimeMs>,
    now: TimeMs,
) -> Vec<(&'a [VmId], TimeMs)> {
    let loads = gateway.loads.borrow();
    let mut groups = Vec::new();
    for target in directory.targets() {
        let last_event_at = loads.last_event_at(&target.key, now);
        if let (Some(group), Some(at)) = (&target.group, last_event_at)
            && reported_events.insert(target.key.clone(), at) != Some(at)
        {
            groups.push((group.members.as_slice(), at));
        }
    }
    groups
}

/// Returns the members of each group of a service whose streams have all been without an event for
/// longer than the longest pass of a healthy group, according to the load exchange.
///
/// The owner probes these members without waiting for a gateway to give up a stream.
fn silent_groups<'a>(
    gateway: &Gateway,
    directory: &'a Directory,
    service: &ServiceId,
    engine: &'a Engine,
    now: TimeMs,
) -> Vec<&'a [VmId]> {
    let loads = gateway.loads.borrow();
    let mut silent = Vec::new();
    for model in &engine.models {
        let limit_ms = engine.longest_pass_ms(model) as u64 + MAX_EXCHANGE_DELAY_MS;
        for target in directory.groups(service, &model.name) {
            if let Some(group) = &target.group
                && loads.is_stalled(&target.key, limit_ms, now)
            {
                silent.push(group.members.as_slice());
            }
        }
    }
    silent
}

/// Connection of a call to an upstream. Answers have no id, so one that the upstream writes once more may be
/// taken for that to the next call on the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionUse {
    /// One of earlier calls of this kind, if there is any. An earlier report is told by its number of orders.
    Kept,
    /// A connection for this call alone.
    Own,
}

/// The context in which one action of a planner is executed.
struct Execution {
    gateway: Rc<Gateway>,
    lease: Rc<Lease>,
    planners: SharedPlanners,
    /// Fencing token under which the action was planned.
    token: u64,
    service: ServiceId,
}

impl Execution {
    /// Executes the action.
    async fn run(self, action: Action) {
        match action {
            Action::Probe(id, address) => self.probe(id, address).await,
            Action::CheckHealth(id, address) => self.check_health(&id, address).await,
            Action::Order(order, address) => self.send_order(order, address).await,
        }
    }

    /// Returns the listed upstream with this name.
    fn upstream(&self, id: &VmId) -> Option<Upstream> {
        self.gateway.view.borrow().upstreams().get(id).cloned()
    }

    /// Passes a result to the planner of the service. Results of actions that were planned under an
    /// earlier fencing token are dropped, since a new planner must not learn from old state.
    fn update_planner<T>(&self, update: impl FnOnce(&mut Planner) -> T) -> Option<T> {
        let mut planners = self.planners.borrow_mut();
        if planners.token != self.token {
            return None;
        }
        planners.by_service.get_mut(&self.service).map(update)
    }

    /// Requests the report of an upstream, and passes it or the failure to the planner. If the
    /// upstream is considered dead from now on, notifies all gateways.
    async fn probe(self, id: VmId, address: SocketAddr) {
        let answer = self
            .call(
                &id,
                address,
                (Method::GET, paths::REPORT),
                Bytes::new(),
                PROBE_TIMEOUT_MS,
                ConnectionUse::Kept,
            )
            .await;
        let report: Option<EngineReport> = match answer {
            Some((200, body)) => decode_report(&body)
                .inspect_err(
                    |error| tracing::debug!(upstream = %id, %error, "a report cannot be decoded"),
                )
                .ok(),
            _ => None,
        };
        let entry = self.upstream(&id);
        let report = report.map(|report| Report {
            started_unix_ms: report.started_unix_ms,
            membership: report.membership,
            staged: report.staged,
            orders: report.orders,
        });
        let now = self.gateway.now();
        let is_dead =
            self.update_planner(|planner| planner.on_probe_end(&id, report, entry.as_ref(), now));
        if is_dead == Some(true) {
            self.gateway.metrics.count("upstreams_dead", "probe");
            log_event!(warn, UpstreamDead, upstream = %id,
                "an upstream does not answer probes and is considered dead");
            alarm::raise(&self.gateway, &Alarm::UpstreamDead(id));
        }
    }

    /// Checks the health of an unlisted upstream, and passes the answer to the planner. An upstream
    /// that is leaving answers that it is not ready. Without an answer nothing is passed on,
    /// because probes show whether the upstream is alive.
    async fn check_health(self, id: &VmId, address: SocketAddr) {
        let snapshot = self.gateway.snapshot();
        let service = snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.config.services.get(&self.service));
        let Some(service) = service else { return };
        let call = (Method::GET, service.health_path.as_str());
        let answer = self
            .call(
                id,
                address,
                call,
                Bytes::new(),
                PROBE_TIMEOUT_MS,
                ConnectionUse::Own,
            )
            .await;
        let Some((status, _)) = answer else { return };
        let is_healthy = status == 200;
        log_event!(info, StayAnswered, upstream = %id, status, stays = is_healthy,
            "an unlisted upstream answered a health check");
        self.update_planner(|planner| planner.on_health_answer(id, is_healthy));
    }

    /// Sends an order to its upstream, unless the lease was lost, and passes the answer to the
    /// planner.
    async fn send_order(self, order: Order, address: SocketAddr) {
        // The lease may have expired since the order was planned.
        if self.lease.valid_token(self.gateway.now()) != Some(self.token) {
            return;
        }
        let body = encode_order(&order.action, self.token).into();
        let answer = match self
            .call(
                &order.target,
                address,
                (Method::POST, paths::ORDER),
                body,
                ORDER_TIMEOUT_MS,
                ConnectionUse::Own,
            )
            .await
        {
            Some((status, body)) => {
                let answer = order_answer(status);
                // An order with an outdated epoch of a group is refused with the same status; only
                // the body tells the two apart.
                if answer == OrderAnswer::Fenced && is_fencing_token_refusal(&body) {
                    self.lease
                        .give_up("an upstream has seen a higher fencing token");
                }
                answer
            }
            None => OrderAnswer::Unknown,
        };
        let action: &'static str = (&order.action).into();
        self.gateway.metrics.count("orders", action);
        log_event!(info, OrderAnswered, upstream = %order.target, fence = self.token, action,
            order = ?order.action, outcome = %answer,
            "an order was answered, or no answer arrived");
        let now = self.gateway.now();
        self.update_planner(|planner| planner.on_answer(&order, answer, now));
    }

    /// Records the time for which an upstream stays cold, if its answer states it.
    fn record_warm_up(&self, id: &VmId, fields: &HeaderMap) {
        let gateway = &self.gateway;
        let value = fields.get(headers::WARM_UP_LEFT);
        let left_ms = value
            .and_then(|value| value.to_str().ok())
            .and_then(decode_warm_up_left_ms);
        let view = gateway.view.borrow();
        let service = view
            .config()
            .and_then(|config| config.services.get(&self.service));
        let warm_up = service.and_then(|service| service.warm_up);
        if let (Some(left_ms), Some(warm_up)) = (left_ms, warm_up) {
            let (metrics, now) = (&gateway.metrics, gateway.now());
            gateway
                .warm_ups
                .on_answer(id, left_ms, &warm_up, metrics, now);
        }
    }

    /// Sends a request to an upstream and returns the status and body of the answer; `None` if there
    /// is none within `timeout_ms`.
    async fn call(
        &self,
        id: &VmId,
        address: SocketAddr,
        (method, path): (Method, &str),
        body: Bytes,
        timeout_ms: u64,
        connection_use: ConnectionUse,
    ) -> Option<(u16, Bytes)> {
        let is_kept = connection_use == ConnectionUse::Kept;
        let idle = is_kept.then(|| self.planners.borrow_mut().connections.remove(id));
        let idle = idle.flatten();
        let exchange = async {
            let mut connection = match idle.filter(Connection::is_ready) {
                Some(connection) => connection,
                None => Connection::open(address, timeout_ms).await.ok()?,
            };
            let mut request = Request::builder()
                .method(method)
                .uri(path)
                .header(header::HOST, address.to_string())
                .header(headers::EXPECTED_UPSTREAM, id.as_str());
            if !body.is_empty() {
                request = request.header(header::CONTENT_TYPE, "application/json");
            }
            let request = request.body(Full::new(body)).ok()?;
            let response = connection.send(request).await.ok()?;
            let status = response.status().as_u16();
            if status != 421 {
                self.record_warm_up(id, response.headers());
            }
            let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
            let body = body.collect().await.ok()?.to_bytes();
            Some((status, body, connection))
        };
        let answer = timeout(Duration::from_millis(timeout_ms), exchange).await;
        let (status, body, connection) = answer.ok().flatten()?;
        if is_kept {
            let connections = &mut self.planners.borrow_mut().connections;
            connections.insert(id.clone(), connection);
        }
        Some((status, body))
    }
}
