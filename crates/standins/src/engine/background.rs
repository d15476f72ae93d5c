//! What an engine does by itself: it watches the other members and registers its VM.

use std::{net::SocketAddr, thread, time::Duration};

use jacinthpoint_types::{Assignment, MemberAddress};

use crate::engine::{EngineFault, state::Shared};

/// How often the first member asks the others.
const MEMBER_CHECK_MS: u64 = 100;
/// How long it waits for each answer.
const MEMBER_TIMEOUT_MS: u64 = 150;
/// How often a VM registers.
const REGISTER_MS: u64 = 300;

/// Keeps `members_present` and the group's slowness true for the first member of a group.
pub(super) fn watch_members(shared: &Shared) {
    while !shared.is_stopped() {
        thread::sleep(Duration::from_millis(MEMBER_CHECK_MS));
        let assignment = {
            let mut state = shared.lock();
            if !shared.is_leader(&state) {
                state.members_present = false;
                continue;
            }
            state.assignment.clone()
        };
        if let Some(assignment) = assignment {
            check_members(shared, &assignment);
        }
    }
}

fn check_members(shared: &Shared, assignment: &Assignment) {
    let others = assignment
        .members
        .iter()
        .filter(|member| member.vm != shared.options.vm);
    let mut slowness = shared.report().slowness;
    let mut all_present = shared.lock().is_loaded();
    for member in others {
        match member_slowness(member, assignment) {
            Some(of_member) => slowness = slowness.max(of_member),
            None => all_present = false,
        }
    }
    let mut state = shared.lock();
    state.members_present = all_present && state.assignment.as_ref() == Some(assignment);
    state.group_slowness = slowness;
}

fn member_slowness(member: &MemberAddress, assignment: &Assignment) -> Option<f64> {
    let state = jacinthpoint_upstream::state(member.address, MEMBER_TIMEOUT_MS).ok()?;
    let agrees = state.ready && state.assignment.as_ref() == Some(assignment);
    agrees.then_some(state.slowness)
}

/// Keeps the VM on the platform's membership list while it runs.
pub(super) fn keep_registered(shared: &Shared, address: SocketAddr) {
    let Some((platform, mut registration)) = shared.options.registration.clone() else {
        return;
    };
    registration.member.address = shared.options.advertise.unwrap_or(address);
    registration.member.incarnation = shared.incarnation;
    while !shared.is_stopped() {
        if shared.lock().fault != EngineFault::Pause {
            // A failed call is made good by the next one.
            let _ = attohttpc::post(format!("http://{platform}/control/register"))
                .timeout(Duration::from_millis(REGISTER_MS))
                .json(&registration)
                .and_then(|request| request.send());
        }
        thread::sleep(Duration::from_millis(REGISTER_MS));
    }
}
