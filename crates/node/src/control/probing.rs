//! Finds out whether the engines of a group are ready. Every fabric domain is probed by the first
//! nodes in its ranking; this module probes the VMs of the domains for which this node is one of
//! them. It uses the last membership list and makes no calls to the platform, so that probing
//! continues during an outage.

use std::net::SocketAddr;

use crossbeam::channel;
use jacinthpoint_placement::{EngineReport, Event};
use jacinthpoint_platform::{MemberState, PlatformMember};
use jacinthpoint_readiness::{ProbeReport, STRAGGLER_SLOWNESS};
use jacinthpoint_types::{FabricDomainId, TimeMs, VmId};
use jacinthpoint_upstream::EngineState;

use crate::{
    control::{domains::Domain, members::engines_by_domain},
    panics::log_panic,
    shared::Shared,
};

/// Number of nodes that probe each fabric domain.
pub(crate) const PROBERS_PER_DOMAIN: usize = 2;
/// Pause between two rounds, each of which probes every VM once.
const PROBE_INTERVAL_MS: u64 = 300;
/// Time within which an engine must answer a probe.
const PROBE_TIMEOUT_MS: u64 = 300;
/// Number of probe threads, which is the maximum number of concurrent probes.
const PROBE_THREADS: usize = 16;

/// Names an engine VM to probe.
#[derive(Debug, Clone)]
struct Target {
    domain: FabricDomainId,
    vm: VmId,
    address: SocketAddr,
}

/// Probes the VMs of this node's domains until the node stops.
pub(crate) fn run(shared: &Shared) {
    let (targets, queue) = channel::bounded::<Target>(PROBE_THREADS);
    crossbeam::scope(|scope| {
        for _ in 0..PROBE_THREADS {
            let queue = queue.clone();
            scope.spawn(move |_| {
                for target in queue {
                    log_panic("probing", || probe(shared, &target));
                }
            });
        }
        while !shared.is_stopped() {
            for target in next_round_targets(shared) {
                if targets.send(target).is_err() {
                    return;
                }
            }
            shared.sleep_ms(PROBE_INTERVAL_MS);
        }
        drop(targets);
    })
    .expect("probe threads do not panic");
}

/// Returns the VMs to probe in the next round. Adds domains newly assigned to this node and drops
/// those that it no longer probes.
fn next_round_targets(shared: &Shared) -> Vec<Target> {
    let members = shared.members();
    let mut own = engines_by_domain(&members);
    own.retain(|domain, _| {
        shared
            .own_rank(domain.as_str())
            .is_some_and(|rank| rank < PROBERS_PER_DOMAIN)
    });
    let mut domains = shared.domains.lock();
    domains.retain(|name, _| own.contains_key(name));
    let now = shared.now();
    let mut targets = Vec::new();
    for (name, (data_centre, engines)) in own {
        let domain = domains.entry(name.clone()).or_insert_with(|| {
            Domain::new(name.clone(), data_centre, shared.settings.repair.clone())
        });
        domain
            .prober
            .set_leaving(leaving_vms(domain, &engines), now);
        targets.extend(engines.into_iter().map(|engine| Target {
            domain: name.clone(),
            vm: engine.vm.clone(),
            address: engine.address,
        }));
    }
    targets
}

/// Returns the VMs that are leaving according to the platform's list or to their own report. The
/// report is available even if the list lags or the platform is unavailable.
fn leaving_vms(domain: &Domain, engines: &[&PlatformMember]) -> Vec<VmId> {
    let listed = engines
        .iter()
        .filter(|engine| engine.state == MemberState::Leaving);
    let listed = listed.map(|engine| engine.vm.clone());
    listed.chain(domain.leaving.iter().cloned()).collect()
}

/// Queries the state of an engine and records the answer.
fn probe(shared: &Shared, target: &Target) {
    let sent_at = shared.now();
    let state = jacinthpoint_upstream::state(target.address, PROBE_TIMEOUT_MS).ok();
    let now = shared.now();
    if let Some(domain) = shared.domains.lock().get_mut(&target.domain) {
        record_state(domain, target, sent_at, now, state);
    }
}

/// Records the answer to a probe, or `None` if there was no answer in time.
fn record_state(
    domain: &mut Domain,
    target: &Target,
    sent_at: TimeMs,
    now: TimeMs,
    state: Option<EngineState>,
) {
    // Another VM may have taken over the address; its answer is not the target's report.
    let engine_report = state
        .as_ref()
        .filter(|state| state.vm == target.vm)
        .map(|state| EngineReport {
            address: target.address,
            incarnation: state.incarnation,
            assignment: state.assignment.clone(),
            is_leaving: state.leaving,
            is_ready: state.ready,
            is_straggler: state.slowness >= STRAGGLER_SLOWNESS,
        });
    // The controller handles the answer before the prober does: the answer may report a standby
    // swap, which changes the assignments that the prober checks the report against.
    if let Some(report) = engine_report {
        let vm = target.vm.clone();
        // The controller returns no actions for this event.
        domain.handle(
            now,
            Event::Probe {
                vm,
                sent_at,
                report,
            },
        );
    }
    // Unlike the report, this is recorded from the answer of any VM at the target's address.
    if state.as_ref().is_some_and(|state| state.leaving) {
        domain.leaving.insert(target.vm.clone());
    } else if state.is_some() {
        domain.leaving.remove(&target.vm);
    }
    let probe_report = state.map(|state| ProbeReport {
        vm: state.vm,
        assignment: state.assignment,
        leaving: state.leaving,
        ready: state.ready,
        slowness: state.slowness,
        load: state.running + state.queued,
        load_age_ms: state.report_age_ms,
    });
    record_report(domain, &target.vm, sent_at, probe_report);
}

/// Passes a probe report to the prober for every group that has the VM as a member.
fn record_report(domain: &mut Domain, vm: &VmId, sent_at: TimeMs, report: Option<ProbeReport>) {
    let groups: Vec<_> = domain
        .prober
        .assignments()
        .filter(|assignment| assignment.has_member(vm))
        .map(|assignment| assignment.group.clone())
        .collect();
    for group in groups {
        domain
            .prober
            .on_report(&group, vm, sent_at, report.as_ref());
    }
}
