//! Where a request goes: collects what the choice in `jacinthpoint-routing` needs.

use std::{collections::BTreeSet, net::SocketAddr};

use jacinthpoint_platform::{MemberRole, MemberState};
use jacinthpoint_readiness::Permit;
use jacinthpoint_routing::{Candidate, choose};
use jacinthpoint_types::{Epoch, GroupId, ModelRef, ServiceId, VmId};

use crate::{caller::context::Context, shared::Shared};

/// How long a request waits for a group that may be used.
const CAPACITY_WAIT_MS: u64 = 2_000;
/// How often it looks.
const CAPACITY_POLL_MS: u64 = 20;

/// Groups that failed a request. One that was repaired has another epoch and may be tried again.
pub(crate) type FailedGroups = BTreeSet<(GroupId, Epoch)>;

/// A group that may be used now, waiting for one a short time.
pub(crate) fn wait_for_group(
    shared: &Shared,
    context: &Context,
    model: &ModelRef,
    failed: &FailedGroups,
) -> Option<Permit> {
    let give_up_at = shared.now().plus_ms(CAPACITY_WAIT_MS);
    loop {
        if let Some(permit) = choose_group(shared, model, failed) {
            return Some(permit);
        }
        let now = shared.now();
        if now >= give_up_at || context.deadline.has_passed(now) {
            return None;
        }
        shared.sleep_ms(CAPACITY_POLL_MS);
    }
}

/// A group that may be used now, other than those that failed this request.
pub(crate) fn choose_group(
    shared: &Shared,
    model: &ModelRef,
    failed: &FailedGroups,
) -> Option<Permit> {
    let now = shared.now();
    let permits = shared.permits();
    let usable = permits.usable(model, now);
    let candidates: Vec<Candidate<Permit>> = usable
        .filter(|permit| {
            !failed.contains(&(permit.assignment.group.clone(), permit.assignment.epoch))
        })
        .map(|permit| Candidate {
            in_flight: shared.in_flight_on(&permit.assignment.group),
            reported: permit.load,
            report_age_ms: now.since_ms(permit.load_at),
            key: permit.clone(),
        })
        .collect();
    drop(permits);
    choose(&candidates, &mut rand::rng()).cloned()
}

/// Servers are counted like groups, under their VM's name.
pub(crate) fn in_flight_key(vm: &VmId) -> Option<GroupId> {
    vm.as_str().parse().ok()
}

/// A server that may be called now, other than those that failed this request.
pub(crate) fn choose_server(
    shared: &Shared,
    service: &ServiceId,
    failed: &BTreeSet<VmId>,
) -> Option<(VmId, SocketAddr)> {
    let role = MemberRole::Service(service.clone());
    let members = shared.members();
    let usable = members.iter().filter(|member| {
        member.role == role && member.state == MemberState::Live && !failed.contains(&member.vm)
    });
    let candidates: Vec<_> = usable
        .map(|member| Candidate {
            key: (member.vm.clone(), member.address),
            in_flight: in_flight_key(&member.vm).map_or(0, |key| shared.in_flight_on(&key)),
            reported: 0,
            report_age_ms: 0,
        })
        .collect();
    choose(&candidates, &mut rand::rng()).cloned()
}
