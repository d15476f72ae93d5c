//! Carries out the planner's decisions while this gateway holds the lease.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, header};
use jacinthpoint_adapter::{
    EngineReport, decode_report, encode_order, headers, is_fencing_token_refusal, order_answer,
    paths,
};
use jacinthpoint_dispatch::{Directory, TargetKey};
use jacinthpoint_fleet::{Order, OrderAnswer, Upstream};
use jacinthpoint_regroup::{Action, Planner, PlannerInput, Report};
use jacinthpoint_types::{ServiceId, TimeMs, VmId};
use tokio::time::timeout;

use crate::{
    alarm, clock::sleep_ms, connection::Connection, datagram::Alarm, events::log_event,
    lease::Lease, state::Gateway,
};

/// Time between two looks at the fleet.
const TICK_MS: u64 = 50;
/// Time for an order to be answered. Upstreams are a few milliseconds away.
const ANSWER_MS: u64 = 400;
/// Time for a probe to be answered. Two that fail in a row count, so a lost packet does no harm.
const PROBE_MS: u64 = 250;

/// The planners of all services with engines, under one fencing token.
#[derive(Debug, Default)]
struct Planners {
    fence: u64,
    by_service: BTreeMap<ServiceId, Planner>,
    events_seen: BTreeMap<TargetKey, TimeMs>,
    connections: BTreeMap<VmId, Connection>,
}

type SharedPlanners = Rc<RefCell<Planners>>;

/// Forms and repairs groups whenever this gateway holds the lease.
pub(crate) async fn own_groups(gateway: Rc<Gateway>, lease: Rc<Lease>) {
    let planners = SharedPlanners::default();
    loop {
        sleep_ms(TICK_MS).await;
        let Some(fence) = lease.fence(gateway.now()) else {
            gateway.fault_reports.borrow_mut().stalled_members.clear();
            continue;
        };
        if planners.borrow().fence != fence {
            *planners.borrow_mut() = Planners {
                fence,
                ..Planners::default()
            };
        }
        for (service, action) in plan(&gateway, &planners) {
            let work = Work {
                gateway: gateway.clone(),
                lease: lease.clone(),
                planners: planners.clone(),
                fence,
                service,
            };
            tokio::task::spawn_local(work.carry_out(action));
        }
    }
}

fn plan(gateway: &Gateway, planners: &SharedPlanners) -> Vec<(ServiceId, Action)> {
    let now = gateway.now();
    let Some(snapshot) = gateway.snapshot() else {
        return Vec::new();
    };
    let mut planners = planners.borrow_mut();
    let planners = &mut *planners;
    let silent = std::mem::take(&mut gateway.fault_reports.borrow_mut().stalled_members);
    let view = gateway.view.borrow();
    let groups_heard = groups_heard(gateway, &snapshot.directory, &mut planners.events_seen, now);
    let demand = gateway
        .demand
        .borrow_mut()
        .rates(gateway.gateway_count.get(), now);
    let mut actions = Vec::new();
    for (service, engine) in snapshot.config.engines() {
        let planner = planners
            .by_service
            .entry(service.clone())
            .or_insert_with(|| Planner::new(planners.fence));
        let upstreams = of_service(view.upstreams(), service);
        let unlisted = of_service(view.unlisted(), service);
        let is_own = |id: &&VmId| upstreams.contains_key(*id);
        for (members, at) in &groups_heard {
            planner.on_group_event(members.iter().filter(is_own), *at);
        }
        planner.on_group_stalled(silent.iter().filter(is_own));
        let input = PlannerInput {
            upstreams: &upstreams,
            unlisted: &unlisted,
            engine,
            has_traffic: gateway.has_traffic.get(),
            demand: &demand,
        };
        let due = planner.plan(input, now);
        actions.extend(due.into_iter().map(|action| (service.clone(), action)));
    }
    planners.connections.retain(|id, connection| {
        view.upstreams().contains_key(id) && !connection.sender.is_closed()
    });
    actions
}

fn of_service(
    upstreams: &BTreeMap<VmId, Upstream>,
    service: &ServiceId,
) -> BTreeMap<VmId, Upstream> {
    let upstreams = upstreams.iter();
    let own = upstreams.filter(|(_, upstream)| &upstream.service == service);
    own.map(|(id, upstream)| (id.clone(), upstream.clone()))
        .collect()
}

/// Members of the groups whose streams had an event since the last look, and when.
fn groups_heard<'a>(
    gateway: &Gateway,
    directory: &'a Directory,
    events_seen: &mut BTreeMap<TargetKey, TimeMs>,
    now: TimeMs,
) -> Vec<(&'a [VmId], TimeMs)> {
    let loads = gateway.loads.borrow();
    let mut heard = Vec::new();
    for target in directory.targets() {
        let last_event_at = loads.last_event_at(&target.key, now);
        if let (Some(group), Some(at)) = (&target.group, last_event_at)
            && events_seen.insert(target.key.clone(), at) != Some(at)
        {
            heard.push((group.members.as_slice(), at));
        }
    }
    heard
}

/// One action on its way.
struct Work {
    gateway: Rc<Gateway>,
    lease: Rc<Lease>,
    planners: SharedPlanners,
    fence: u64,
    service: ServiceId,
}

impl Work {
    async fn carry_out(self, action: Action) {
        match action {
            Action::Probe(id, address) => self.probe(id, address).await,
            Action::CheckHealth(id, address) => self.ask_stay(&id, address).await,
            Action::Order(order, address) => self.order(order, address).await,
        }
    }

    fn upstream(&self, id: &VmId) -> Option<Upstream> {
        self.gateway.view.borrow().upstreams().get(id).cloned()
    }

    async fn probe(self, id: VmId, address: SocketAddr) {
        let answer = self
            .call(
                &id,
                address,
                (Method::GET, paths::REPORT),
                Bytes::new(),
                PROBE_MS,
            )
            .await;
        let report: Option<EngineReport> = match answer {
            Some((200, body)) => decode_report(&body)
                .inspect_err(|error| tracing::debug!(upstream = %id, %error, "unreadable report"))
                .ok(),
            _ => None,
        };
        let entry = self.upstream(&id);
        let mut planners = self.planners.borrow_mut();
        let Some(planner) = planners.by_service.get_mut(&self.service) else {
            return;
        };
        let report = report.map(|report| Report {
            started_unix_ms: report.started_unix_ms,
            membership: report.membership,
            staged: report.staged,
        });
        if planner.on_probe_end(&id, report, entry.as_ref(), self.gateway.now()) {
            self.gateway.metrics.count("upstreams_dead", "probe");
            log_event!(warn, UpstreamDead, upstream = %id, "an upstream does not answer probes");
            drop(planners);
            alarm::raise(&self.gateway, &Alarm::UpstreamDead(id));
        }
    }

    /// Asks an upstream that dropped out of the list for its health: one that leaves says that it
    /// is not ready. Without an answer, probes tell whether it lives.
    async fn ask_stay(self, id: &VmId, address: SocketAddr) {
        let snapshot = self.gateway.snapshot();
        let service = snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.config.services.get(&self.service));
        let Some(service) = service else { return };
        let call = (Method::GET, service.health_path.as_str());
        let answer = self.call(id, address, call, Bytes::new(), PROBE_MS).await;
        let Some((status, _)) = answer else { return };
        let stays = status == 200;
        log_event!(info, StayAnswered, upstream = %id, status, stays,
            "an upstream that is not listed told whether it stays");
        if let Some(planner) = self.planners.borrow_mut().by_service.get_mut(&self.service) {
            planner.on_health_answer(id, stays);
        }
    }

    async fn order(self, order: Order, address: SocketAddr) {
        // The right to give orders may have run out since the decision.
        if self.lease.fence(self.gateway.now()) != Some(self.fence) {
            return;
        }
        let body = encode_order(&order.action, self.fence).into();
        let answer = match self
            .call(
                &order.target,
                address,
                (Method::POST, paths::ORDER),
                body,
                ANSWER_MS,
            )
            .await
        {
            Some((status, body)) => {
                let answer = order_answer(status);
                if answer == OrderAnswer::Fenced && is_fencing_token_refusal(&body) {
                    self.lease
                        .lose("an upstream has seen a higher fencing token");
                }
                answer
            }
            None => OrderAnswer::Unknown,
        };
        let action: &'static str = (&order.action).into();
        self.gateway.metrics.count("orders", action);
        log_event!(info, OrderAnswered, upstream = %order.target, fence = self.fence, action,
            order = ?order.action, outcome = %answer, "an order was answered");
        let now = self.gateway.now();
        if let Some(planner) = self.planners.borrow_mut().by_service.get_mut(&self.service) {
            planner.on_answer(&order, answer, now);
        }
    }

    /// Calls an upstream on its kept connection, or a new one; `None` without an answer.
    async fn call(
        &self,
        id: &VmId,
        address: SocketAddr,
        (method, path): (Method, &str),
        body: Bytes,
        answer_ms: u64,
    ) -> Option<(u16, Bytes)> {
        let kept = self.planners.borrow_mut().connections.remove(id);
        let exchange = async {
            let mut connection = match kept.filter(Connection::is_ready) {
                Some(connection) => connection,
                None => Connection::open(address, answer_ms).await.ok()?,
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
            let response = connection.sender.send_request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, body, connection))
        };
        let answer = timeout(Duration::from_millis(answer_ms), exchange).await;
        let (status, body, connection) = answer.ok().flatten()?;
        self.planners
            .borrow_mut()
            .connections
            .insert(id.clone(), connection);
        Some((status, body))
    }
}
