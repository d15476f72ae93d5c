//! Where a request goes: collects what the choice in `jacinthpoint-routing` needs.

use std::{collections::BTreeSet, net::SocketAddr};

use jacinthpoint_platform::{MemberRole, MemberState};
use jacinthpoint_readiness::Permit;
use jacinthpoint_routing::{Candidate, choose_near, choose_with_affinity};
use jacinthpoint_types::{GroupId, ModelRef, ServiceId, TimeMs, VmId, rendezvous_weight};
use serde_json::Value;

use crate::{caller::context::Context, shared::Shared};

/// How long a request waits for a group that may be used. Longer than an ordinary repair takes with
/// a standby, from the loss of a member to the service of its group.
pub(crate) const CAPACITY_WAIT_MS: u64 = 10_000;
/// Bytes at the start of a prompt by which requests are taken to share it.
const PREFIX_BYTES: usize = 512;
/// How often it looks.
const CAPACITY_POLL_MS: u64 = 20;

/// A group for another attempt of a request that has had its turn, waiting for one a short time.
pub(crate) fn wait_for_group(
    shared: &Shared,
    context: &Context,
    model: &ModelRef,
    failed: &BTreeSet<GroupId>,
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
fn choose_group(shared: &Shared, model: &ModelRef, failed: &BTreeSet<GroupId>) -> Option<Permit> {
    let permits = usable_permits(shared, model);
    let untried = permits
        .iter()
        .filter(|permit| !failed.contains(&permit.assignment.group));
    choose_permit(shared, untried, None, shared.now())
}

/// Permits for the groups that serve a model now.
pub(crate) fn usable_permits(shared: &Shared, model: &ModelRef) -> Vec<Permit> {
    let now = shared.now();
    shared.permits().usable(model, now).cloned().collect()
}

/// Whether any group serves a model now.
pub(crate) fn has_usable(shared: &Shared, model: &ModelRef) -> bool {
    let now = shared.now();
    shared.permits().usable(model, now).next().is_some()
}

/// Chooses among permits, by the prompt's prefix where that is long enough to be worth it.
pub(crate) fn choose_permit<'a>(
    shared: &Shared,
    permits: impl Iterator<Item = &'a Permit>,
    prefix: Option<u64>,
    now: TimeMs,
) -> Option<Permit> {
    let candidates: Vec<Candidate<&Permit>> = permits
        .map(|permit| Candidate {
            in_flight: shared.in_flight_on(&permit.assignment.group),
            reported: permit.load,
            report_age_ms: now.since_ms(permit.load_at),
            is_near: permit.data_centre == shared.settings.data_centre,
            key: permit,
        })
        .collect();
    let rng = &mut rand::rng();
    let chosen = match prefix {
        Some(prefix) => choose_with_affinity(&candidates, prefix, hash_of, rng),
        None => choose_near(&candidates, rng),
    };
    chosen.map(|permit| (*permit).clone())
}

/// The same on every node.
fn hash_of(permit: &&Permit) -> u64 {
    rendezvous_weight("affinity", permit.assignment.group.as_str())
}

/// What a prompt begins with, if it is long enough for an engine's cache to spare much.
pub(crate) fn prefix_of(context: &Context, body: &Value) -> Option<u64> {
    let first_message = &body["messages"][0]["content"];
    let text = body["prompt"].as_str().or_else(|| first_message.as_str())?;
    let prefix = text.as_bytes().get(..PREFIX_BYTES)?;
    // Organisations share no prefixes, and one must not learn from its times what another asks.
    let prefix = String::from_utf8_lossy(prefix);
    Some(rendezvous_weight(context.organisation.as_str(), &prefix))
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
            is_near: member.data_centre == shared.settings.data_centre,
        })
        .collect();
    choose_near(&candidates, &mut rand::rng()).cloned()
}
