//! Plans the fabric domains that this node controls, writes the plans and gives the orders.

use std::collections::BTreeMap;

use jacinthpoint_placement::{Demand, Plan, VmHealth, VmView, domain_share, next_plan};
use jacinthpoint_platform::{MemberState, Object, PlatformError, PlatformMember, Version};
use jacinthpoint_readiness::STRAGGLER_SLOWNESS;
use jacinthpoint_records::Config;
use jacinthpoint_types::{Assignment, Epoch, FabricDomainId, MemberAddress, VmId};
use jacinthpoint_upstream::{Order, OrderReply};

use crate::{
    control::{
        domains::{Domain, KnownPlan, VmSight},
        members::{engines_by_domain, staying},
        probing::PROBERS,
    },
    events::log_event,
    shared::Shared,
};

/// Kind of the platform's objects that hold the plans, one a fabric domain.
const PLAN_KIND: &str = "plans";
/// How often the plans are looked at.
const PLAN_MS: u64 = 250;
/// A VM that has not answered a probe for this long is not planned with.
const VM_SUSPECT_MS: u64 = 1_500;
/// Time for an engine to take an order.
const ORDER_TIMEOUT_MS: u64 = 500;

/// Plans until the node stops.
pub(crate) fn run(shared: &Shared) {
    while !shared.is_stopped() {
        let members = shared.members();
        for (domain, _) in engines_by_domain(&members) {
            match shared.own_rank(domain.as_str()) {
                Some(0) => control(shared, &domain, &members),
                Some(rank) if rank < PROBERS => read_plan(shared, &domain),
                _ => {}
            }
        }
        shared.sleep_ms(PLAN_MS);
    }
}

fn control(shared: &Shared, domain: &FabricDomainId, members: &[PlatformMember]) {
    let Some(in_force) = shared.config() else {
        return;
    };
    if known_plan(shared, domain).is_none() {
        read_plan(shared, domain);
    }
    let Some(known) = known_plan(shared, domain) else {
        return;
    };
    let demands = demands(&in_force.config, domain, members);
    let views = vm_views(shared, domain, members);
    if let Some(next) = next_plan(domain, &known.plan, &demands, &views) {
        write_plan(shared, domain, known.version, &next);
    }
    give_orders(shared, domain);
}

fn known_plan(shared: &Shared, domain: &FabricDomainId) -> Option<KnownPlan> {
    shared
        .domains
        .lock()
        .get(domain)
        .and_then(|domain| domain.known.clone())
}

fn learn(shared: &Shared, domain: &FabricDomainId, known: KnownPlan) {
    if let Some(domain) = shared.domains.lock().get_mut(domain) {
        domain.learn(known);
    }
}

fn read_plan(shared: &Shared, domain: &FabricDomainId) {
    match shared.platform.get(PLAN_KIND, domain.as_str()) {
        Ok(Some(object)) => learn_object(shared, domain, object),
        Ok(None) => learn(shared, domain, KnownPlan::default()),
        Err(error) => log_event!(warn, PlatformFailed, %domain, %error, "plan not read"),
    }
}

fn learn_object(shared: &Shared, domain: &FabricDomainId, object: Object) {
    match serde_json::from_value::<Plan>(object.value) {
        Ok(plan) => learn(
            shared,
            domain,
            KnownPlan {
                version: object.version,
                plan,
            },
        ),
        Err(error) => log_event!(error, PlatformFailed, %domain, %error, "plan is malformed"),
    }
}

fn write_plan(shared: &Shared, domain: &FabricDomainId, expected: Version, plan: &Plan) {
    match shared
        .platform
        .update(PLAN_KIND, domain.as_str(), expected, plan)
    {
        Ok(version) => {
            log_event!(info, PlanWritten, %domain, %version, groups = plan.groups.len(), "planned");
            learn(
                shared,
                domain,
                KnownPlan {
                    version,
                    plan: plan.clone(),
                },
            );
        }
        Err(PlatformError::Conflict { current }) => {
            log_event!(info, PlanConflict, %domain, version = %current.version, "lost a race");
            learn_object(shared, domain, *current);
        }
        Err(error) if error.is_ambiguous() => {
            log_event!(warn, PlatformFailed, %domain, %error, "plan may be written, reading back");
            read_plan(shared, domain);
        }
        Err(error) => log_event!(warn, PlatformFailed, %domain, %error, "plan not written"),
    }
}

fn demands(config: &Config, domain: &FabricDomainId, members: &[PlatformMember]) -> Vec<Demand> {
    let mut left: Vec<(FabricDomainId, usize)> = engines_by_domain(members)
        .into_iter()
        .map(|(name, (_, engines))| (name, staying(&engines)))
        .collect();
    left.sort();
    let mut deployments: Vec<_> = config.deployments.values().collect();
    deployments.sort_by(|a, b| (a.priority, &a.name).cmp(&(b.priority, &b.name)));
    let demand = deployments.into_iter().map(|deployment| {
        let (replicas, size) = (deployment.replicas, deployment.group_size);
        let shares: BTreeMap<FabricDomainId, u16> = left
            .iter()
            .map(|(name, _)| (name.clone(), domain_share(name, &left, replicas, size)))
            .collect();
        for (name, vms) in &mut left {
            *vms = vms.saturating_sub(usize::from(shares[name]) * usize::from(size));
        }
        Demand {
            deployment: deployment.name.clone(),
            model: deployment.model_ref(),
            groups: shares.get(domain).copied().unwrap_or(0),
            group_size: size,
            standbys: deployment.standbys,
            priority: deployment.priority,
        }
    });
    demand.collect()
}

fn vm_views(shared: &Shared, domain: &FabricDomainId, members: &[PlatformMember]) -> Vec<VmView> {
    let now = shared.now();
    let domains = shared.domains.lock();
    let sights = domains.get(domain).map(|domain| &domain.sights);
    let engines = engines_by_domain(members)
        .remove(domain)
        .map(|(_, engines)| engines);
    let views = engines.unwrap_or_default().into_iter().map(|engine| {
        let sight = sights.and_then(|sights| sights.get(&engine.vm));
        let serves = sight.is_some_and(|sight| {
            now.since_ms(sight.answered_at) < VM_SUSPECT_MS
                && sight.report.slowness < STRAGGLER_SLOWNESS
        });
        let health = match engine.state {
            MemberState::Leaving => VmHealth::Leaving,
            MemberState::Live if serves => VmHealth::Live,
            MemberState::Live => VmHealth::Suspect,
        };
        let member = MemberAddress {
            vm: engine.vm.clone(),
            address: engine.address,
        };
        VmView { member, health }
    });
    views.collect()
}

/// Orders every VM that believes in another assignment than the plan gives it.
fn give_orders(shared: &Shared, domain: &FabricDomainId) {
    let orders = match shared.domains.lock().get(domain) {
        Some(domain) => due_orders(domain),
        None => return,
    };
    for (member, order) in orders {
        match jacinthpoint_upstream::order(member.address, &order, ORDER_TIMEOUT_MS) {
            Ok(OrderReply::Accepted) => {}
            Ok(OrderReply::Fenced { highest }) => {
                log_event!(warn, OrderFenced, vm = %member.vm, %highest, "plan is outdated");
                read_plan(shared, domain);
            }
            Err(error) => log_event!(warn, OrderFailed, vm = %member.vm, %error, "order failed"),
        }
    }
}

fn due_orders(domain: &Domain) -> Vec<(MemberAddress, Order)> {
    let Some(known) = &domain.known else {
        return Vec::new();
    };
    let mut wanted: BTreeMap<&VmId, (&MemberAddress, Assignment)> = BTreeMap::new();
    for group in &known.plan.groups {
        for member in &group.members {
            wanted.insert(&member.vm, (member, group.assignment()));
        }
    }
    let fence = Epoch::from_fence(known.plan.fence);
    let due = domain
        .sights
        .iter()
        .filter_map(|(vm, sight)| match wanted.get(vm) {
            Some((member, assignment)) => serve_order(sight, member, assignment),
            None => leave_order(sight, vm, fence),
        });
    due.collect()
}

fn serve_order(
    sight: &VmSight,
    member: &MemberAddress,
    assignment: &Assignment,
) -> Option<(MemberAddress, Order)> {
    let differs = sight.report.assignment.as_ref() != Some(assignment);
    differs.then(|| {
        (
            member.clone(),
            Order::Serve {
                assignment: assignment.clone(),
            },
        )
    })
}

fn leave_order(sight: &VmSight, vm: &VmId, epoch: Epoch) -> Option<(MemberAddress, Order)> {
    let believed = sight.report.assignment.as_ref()?;
    let member = believed.members.iter().find(|member| &member.vm == vm)?;
    Some((
        member.clone(),
        Order::Leave {
            group: believed.group.clone(),
            epoch,
        },
    ))
}
