//! Notifies other gateways of stalled groups and dead upstreams.
//!
//! Each gateway has few requests at each group. Without notifications, each would lose one or two
//! requests at a faulty group before it detects the fault itself. A gateway whose streams stall
//! therefore notifies the owner of the groups (the gateway that holds the lease), or all gateways
//! if no owner is known, and the owner probes the group's members. If one of them is dead, the
//! owner notifies all gateways, which suspend its group. A notification is one datagram to each
//! gateway and may be lost.

use jacinthpoint_types::VmId;

use crate::{
    datagram::{Alarm, Datagram, send_to},
    events::log_event,
    state::Gateway,
};

/// Applies an alarm here, and sends it to the owner of the groups if a group stalled, or to all
/// gateways if an upstream is dead or no owner is known.
pub(crate) fn raise(gateway: &Gateway, alarm: &Alarm) {
    apply(gateway, alarm);
    let own_name = gateway.settings().name.clone();
    let owner = gateway.owner.borrow().clone();
    let receivers = match (alarm, owner) {
        (Alarm::GroupStalled(_), Some(owner)) => {
            // If this gateway is the owner, it sends the alarm to itself and applies it again.
            gateway.roster.address(&owner).into_iter().collect()
        }
        _ => gateway.roster.others(own_name.as_str()),
    };
    let datagram = Datagram::Alarm(alarm.clone());
    for address in receivers {
        send_to(gateway, &datagram, address);
    }
}

/// Applies an alarm of another gateway or of this one: queues the members of a stalled group for
/// probing, or suspends the groups of a dead upstream.
pub(crate) fn apply(gateway: &Gateway, alarm: &Alarm) {
    match alarm {
        Alarm::GroupStalled(members) => {
            let suspected_members = &mut gateway.fault_reports.borrow_mut().suspected_members;
            suspected_members.extend(members.iter().cloned());
        }
        Alarm::UpstreamDead(upstream) => suspend_groups_of(gateway, upstream),
    }
}

/// Suspends every group that has `upstream` as a member.
fn suspend_groups_of(gateway: &Gateway, upstream: &VmId) {
    let Some(snapshot) = gateway.snapshot() else {
        return;
    };
    let now = gateway.now();
    for target in snapshot.directory.targets() {
        let members = target
            .group
            .as_ref()
            .map_or(&[][..], |group| &group.members);
        if members.contains(upstream) {
            gateway.loads.borrow_mut().suspend(&target.key, now);
            gateway.metrics.count("groups_silent", "dead-member");
            log_event!(info, GroupSilent, group = %target.key, dead = %upstream,
                "a group has a dead member and gets no requests");
        }
    }
}
