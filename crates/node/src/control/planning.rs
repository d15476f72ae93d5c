//! Every fabric domain needs a controller that plans its groups. This module runs the controllers
//! of the domains that this node probes: it passes them the current members and demand, and
//! performs their actions. The first node in a domain's ranking controls it; the others only
//! observe.

use std::collections::BTreeMap;

use jacinthpoint_placement::{Demand, DeploymentDemand, Event, ListedVm, allocate_groups};
use jacinthpoint_platform::{MemberState, PlatformMember};
use jacinthpoint_records::{Config, Deployment, Fencing};
use jacinthpoint_types::{FabricDomainId, MemberAddress, TimeMs};

use crate::{
    control::{
        domains::Domain,
        members::{count_live, engines_by_domain},
        planning::actions::handle_event,
        probing::PROBERS_PER_DOMAIN,
    },
    panics::log_panic,
    shared::Shared,
};

mod actions;

/// Pause between two planning rounds.
const PLAN_INTERVAL_MS: u64 = 250;

/// Runs planning rounds until the node stops.
pub(crate) fn run(shared: &Shared) {
    while !shared.is_stopped() {
        log_panic("planning", || run_round(shared));
        shared.sleep_ms(PLAN_INTERVAL_MS);
    }
}

/// Updates and ticks the controller of each domain that this node probes.
fn run_round(shared: &Shared) {
    let members = shared.members();
    let engines = engines_by_domain(&members);
    let sizes: BTreeMap<FabricDomainId, usize> = engines
        .iter()
        .map(|(name, (_, engines))| (name.clone(), count_live(engines)))
        .collect();
    for (name, (_, engines)) in &engines {
        let rank = shared.own_rank(name.as_str());
        let Some(rank) = rank.filter(|rank| *rank < PROBERS_PER_DOMAIN) else {
            continue;
        };
        let controls = rank == 0;
        update_controller(shared, name, controls, engines, &sizes);
        handle_event(shared, name, Event::Tick);
    }
}

/// Passes this node's role, the listed members and the demand to a domain's controller.
fn update_controller(
    shared: &Shared,
    name: &FabricDomainId,
    controls: bool,
    engines: &[&PlatformMember],
    sizes: &BTreeMap<FabricDomainId, usize>,
) {
    let now = shared.now();
    let config = shared.config();
    let mut domains = shared.domains.lock();
    let Some(domain) = domains.get_mut(name) else {
        return;
    };
    // The controller returns no actions for these events, only for `Event::Tick` and for the results
    // of actions.
    domain.handle(now, Event::Role { controls });
    let listed = engines.iter().map(|engine| listed_vm(engine)).collect();
    domain.handle(now, Event::Members(listed));
    domain.shares.observe(now, sizes);
    // Without a known plan, the number of planned groups is not known.
    if let Some(in_force) = config
        && domain.controller.plan().is_some()
    {
        let demands = domain_demands(&in_force.config, name, domain, now);
        domain.handle(now, Event::Demands(demands));
    }
}

fn listed_vm(engine: &PlatformMember) -> ListedVm {
    ListedVm {
        member: MemberAddress {
            vm: engine.vm.clone(),
            address: engine.address,
        },
        is_leaving: engine.state == MemberState::Leaving,
    }
}

/// Returns how many groups of each deployment the domain is to run. VMs are allocated to
/// deployments in the order of their priority, the most important first.
fn domain_demands(
    config: &Config,
    name: &FabricDomainId,
    domain: &mut Domain,
    now: TimeMs,
) -> Vec<Demand> {
    let mut deployments: Vec<&Deployment> = config.deployments.values().collect();
    deployments.sort_by(|a, b| (a.priority, &a.name).cmp(&(b.priority, &b.name)));
    let mut free = domain.shares.sizes();
    let demands = deployments.into_iter().map(|deployment| {
        let fleet_demand = DeploymentDemand {
            deployment: deployment.name.clone(),
            replicas: deployment.replicas,
            group_size: deployment.group_size,
            standbys: deployment.standbys,
        };
        let allocated = allocate_groups(&mut free, &fleet_demand).get(name).copied();
        let planned = domain.controller.group_count(&deployment.name);
        let groups =
            domain
                .shares
                .update_share(now, &fleet_demand, allocated.unwrap_or(0), planned);
        domain_demand(deployment, groups)
    });
    demands.collect()
}

fn domain_demand(deployment: &Deployment, groups: u16) -> Demand {
    Demand {
        deployment: deployment.name.clone(),
        model: deployment.model_ref(),
        groups,
        group_size: deployment.group_size,
        standbys: deployment.standbys,
        priority: deployment.priority,
        refuses_old_orders: deployment.fencing == Fencing::Refuses,
    }
}
