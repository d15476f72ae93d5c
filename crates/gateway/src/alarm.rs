//! Word between gateways on groups that make no progress.
//!
//! Each gateway has few requests at each group, and without word of the others each would lose one
//! or two there before it finds out by itself. A gateway whose streams stop tells the others, of
//! which the owner of the groups probes the members. Once it knows a dead one, it tells all, and
//! they send nothing more to its group. Word is one datagram to each gateway, which may be lost.

use jacinthpoint_types::VmId;

use crate::{
    datagram::{Alarm, Datagram, send_to},
    events::log_event,
    state::Gateway,
};

/// Tells the owner of the groups of silence and all gateways of the dead, and takes it in itself.
pub(crate) fn raise(gateway: &Gateway, alarm: &Alarm) {
    apply(gateway, alarm);
    let own = gateway.settings().name.clone();
    let owner = gateway.owner.borrow().clone();
    let receivers = match (alarm, owner) {
        (Alarm::GroupStalled(_), Some(owner)) => {
            gateway.roster.address(&owner).into_iter().collect()
        }
        _ => gateway.roster.others(own.as_str()),
    };
    let datagram = Datagram::Alarm(alarm.clone());
    for address in receivers {
        send_to(gateway, &datagram, address);
    }
}

/// Takes in an alarm, of another gateway or of this one.
pub(crate) fn apply(gateway: &Gateway, alarm: &Alarm) {
    match alarm {
        Alarm::GroupStalled(members) => {
            let silent = &mut gateway.fault_reports.borrow_mut().stalled_members;
            silent.extend(members.iter().cloned());
        }
        Alarm::UpstreamDead(upstream) => suspend_groups_of(gateway, upstream),
    }
}

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
                "a group has lost a member and gets no requests");
        }
    }
}
