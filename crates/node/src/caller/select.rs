//! Selection of the group or server for a request: collects the candidates, their load and their
//! distance, from which `jacinthpoint-routing` chooses.

use std::{collections::BTreeSet, net::SocketAddr};

use jacinthpoint_platform::{MemberRole, MemberState};
use jacinthpoint_readiness::Permit;
use jacinthpoint_routing::{Candidate, choose_near, choose_with_affinity};
use jacinthpoint_types::{GroupId, ModelRef, ServiceId, TimeMs, VmId, rendezvous_weight};
use serde_json::Value;

use crate::{caller::context::Context, shared::Shared};

/// Time that a request waits for a usable group. Longer than an ordinary repair with a standby
/// takes from the loss of a member until its group serves again.
pub(crate) const CAPACITY_WAIT_MS: u64 = 10_000;
/// Requests whose prompts have these first bytes in common count as sharing a prefix.
const PREFIX_BYTES: usize = 512;
/// Interval at which an attempt that waits for a usable group looks for one.
const CAPACITY_POLL_MS: u64 = 20;

/// Returns a group for an attempt that bypasses the queue. Waits at most
/// `CAPACITY_WAIT_MS` for one, and not past the deadline.
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

/// Chooses a group that is usable now and not among `failed`, those that failed this request.
pub(crate) fn choose_group(
    shared: &Shared,
    model: &ModelRef,
    failed: &BTreeSet<GroupId>,
) -> Option<Permit> {
    let permits = usable_permits(shared, model);
    let untried = permits
        .iter()
        .filter(|permit| !failed.contains(&permit.assignment.group));
    choose_permit(shared, untried, None, shared.now())
}

/// Returns the valid permits for groups that serve a model.
pub(crate) fn usable_permits(shared: &Shared, model: &ModelRef) -> Vec<Permit> {
    let now = shared.now();
    shared.permits().usable(model, now).cloned().collect()
}

/// Returns whether any group serves a model now.
pub(crate) fn has_usable(shared: &Shared, model: &ModelRef) -> bool {
    let now = shared.now();
    shared.permits().usable(model, now).next().is_some()
}

/// Chooses a permit by load and distance, and by the hash of the prompt's prefix if there is one.
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
        Some(prefix) => choose_with_affinity(&candidates, prefix, affinity_hash, rng),
        None => choose_near(&candidates, rng),
    };
    chosen.map(|permit| (*permit).clone())
}

/// Hash of a permit's group, the same on every node.
fn affinity_hash(permit: &&Permit) -> u64 {
    rendezvous_weight("affinity", permit.assignment.group.as_str())
}

/// Returns a hash of the prompt's prefix. `None` if the prompt is shorter than `PREFIX_BYTES`: an
/// engine's prefix cache would save little.
pub(crate) fn prompt_prefix_hash(context: &Context, body: &Value) -> Option<u64> {
    let first_message = &body["messages"][0]["content"];
    let text = body["prompt"].as_str().or_else(|| first_message.as_str())?;
    let prefix = text.as_bytes().get(..PREFIX_BYTES)?;
    // The hash differs by organisation: with shared prefixes, an organisation could learn another's
    // prompts from its own response times.
    let prefix = String::from_utf8_lossy(prefix);
    Some(rendezvous_weight(context.organisation.as_str(), &prefix))
}

/// Key for the in-flight count of a service's server. Servers are counted like groups, under the
/// name of their VM.
pub(crate) fn in_flight_key(vm: &VmId) -> Option<GroupId> {
    vm.as_str().parse().ok()
}

/// Chooses a live server of a service that is not among `failed`, those that failed this request.
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
