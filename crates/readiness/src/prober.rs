//! Probe results of the members of the groups that one node probes.
//!
//! A group may be sent work only while every member confirms the same assignment. [`Prober`]
//! records the newest answer of each member and returns the groups that all members have confirmed.

use std::collections::BTreeMap;

use jacinthpoint_types::{Assignment, Deadline, GroupId, TimeMs, VmId};

/// Time for which the confirmation of a member is valid, counted from the time at which the probe
/// was sent. No permit remains valid for longer than this after the loss of a member.
pub const PERMIT_MS: u64 = 1_500;

/// Time for which a group may still be sent work after one of its members was first reported to be
/// leaving. A planned replacement can be ready within this time, so that the leave causes no
/// downtime.
pub const LEAVING_GRACE_MS: u64 = 3_000;

/// Slowness from which a member's answer does not confirm the assignment, because the whole group
/// is as slow as its slowest member.
pub const STRAGGLER_SLOWNESS: f64 = 3.0;

/// Holds the answer of a member to one probe.
#[derive(Debug, Clone, PartialEq)]
pub struct ProbeReport {
    /// The VM that answered, by its own account; an address may have passed to another VM.
    pub vm: VmId,
    /// The assignment that the member reports, if it has one.
    pub assignment: Option<Assignment>,
    /// True if the member's VM is about to leave. [`Prober::on_report`] ignores it; the calling
    /// code passes leaving VMs to [`Prober::set_leaving`].
    pub leaving: bool,
    /// True if the member has loaded its weights and completes its steps.
    pub ready: bool,
    /// Time of its last step as a multiple of the usual step time.
    pub slowness: f64,
    /// Number of requests running and queued, as of `load_age_ms` ago.
    pub load: u32,
    /// Age of the reported load when the member answered.
    pub load_age_ms: u64,
}

/// Holds a group that every member has confirmed, and its load.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfirmedGroup {
    /// The assignment that the members confirmed.
    pub assignment: Assignment,
    /// Time at which the oldest confirmation expires.
    pub deadline: Deadline,
    /// Number of requests running and queued on the group's leader.
    pub load: u32,
    /// Time at which `load` was measured, on this node's clock.
    pub load_at: TimeMs,
}

/// Newest answer of a member, by the time at which the probe was sent. Answers may arrive in
/// another order than their probes were sent.
#[derive(Debug, Clone, Copy)]
struct Answer {
    sent_at: TimeMs,
    /// True if the member is ready, is no straggler and reported the assignment being probed.
    confirms: bool,
}

#[derive(Debug)]
struct ProbedGroup {
    assignment: Assignment,
    answers: BTreeMap<VmId, Answer>,
    load: u32,
    load_at: TimeMs,
}

/// Collects the probe reports of the groups that one node probes.
#[derive(Debug, Default)]
pub struct Prober {
    groups: BTreeMap<GroupId, ProbedGroup>,
    leaving_since: BTreeMap<VmId, TimeMs>,
}

impl Prober {
    /// Returns a prober without groups.
    pub fn new() -> Prober {
        Prober::default()
    }

    /// Replaces the groups to probe. Answers are kept only for groups whose assignment stays the
    /// same.
    pub fn set_groups(&mut self, assignments: impl IntoIterator<Item = Assignment>) {
        let mut old = std::mem::take(&mut self.groups);
        for assignment in assignments {
            let id = assignment.group.clone();
            let kept = old
                .remove(&id)
                .filter(|group| group.assignment == assignment);
            let group = kept.unwrap_or_else(|| ProbedGroup {
                assignment,
                answers: BTreeMap::new(),
                load: 0,
                load_at: TimeMs(0),
            });
            self.groups.insert(id, group);
        }
    }

    /// Returns the assignments of the groups to probe.
    pub fn assignments(&self) -> impl Iterator<Item = &Assignment> {
        self.groups.values().map(|group| &group.assignment)
    }

    /// Replaces the set of leaving VMs by the one known at `now`. A VM that was in the set before
    /// keeps the time at which it was added.
    pub fn set_leaving(&mut self, vms: impl IntoIterator<Item = VmId>, now: TimeMs) {
        let mut old = std::mem::take(&mut self.leaving_since);
        for vm in vms {
            let since = old.remove(&vm).unwrap_or(now);
            self.leaving_since.insert(vm, since);
        }
    }

    /// Records the result of a probe of `vm`, a member of `group`, that was sent at `sent_at`.
    /// `report` is `None` if the VM did not answer.
    ///
    /// After an answer that does not confirm the assignment, [`Prober::confirmed_groups`] no longer
    /// returns the group. A missing answer changes nothing; the member's last confirmation stays
    /// valid until it expires.
    pub fn on_report(
        &mut self,
        group: &GroupId,
        vm: &VmId,
        sent_at: TimeMs,
        report: Option<&ProbeReport>,
    ) {
        let Some(group) = self.groups.get_mut(group) else {
            return;
        };
        let Some(report) = report else { return };
        let confirms = &report.vm == vm
            && report.ready
            && report.slowness < STRAGGLER_SLOWNESS
            && report.assignment.as_ref() == Some(&group.assignment);
        let answer = Answer { sent_at, confirms };
        let newest = group.answers.entry(vm.clone()).or_insert(answer);
        if sent_at < newest.sent_at {
            return;
        }
        *newest = answer;
        if group
            .assignment
            .leader()
            .is_some_and(|leader| &leader.vm == vm)
        {
            group.load = report.load;
            group.load_at = TimeMs(sent_at.0.saturating_sub(report.load_age_ms));
        }
    }

    /// Returns the groups that have a valid confirmation of every member at `now` and no member
    /// that has been leaving for [`LEAVING_GRACE_MS`] or longer.
    pub fn confirmed_groups(&self, now: TimeMs) -> Vec<ConfirmedGroup> {
        let staying = self
            .groups
            .values()
            .filter(|group| !self.has_member_past_grace(group, now));
        staying.filter_map(|group| group.confirmed(now)).collect()
    }

    /// Returns whether a member of the group has been leaving for [`LEAVING_GRACE_MS`] or longer.
    fn has_member_past_grace(&self, group: &ProbedGroup, now: TimeMs) -> bool {
        group.assignment.members.iter().any(|member| {
            let since = self.leaving_since.get(&member.vm);
            since.is_some_and(|since| now.since_ms(*since) >= LEAVING_GRACE_MS)
        })
    }
}

impl ProbedGroup {
    /// Returns the time at which the newest answered probe of `vm` was sent, if the answer
    /// confirmed the assignment.
    fn confirmed_at(&self, vm: &VmId) -> Option<TimeMs> {
        let answer = self.answers.get(vm).filter(|answer| answer.confirms);
        answer.map(|answer| answer.sent_at)
    }

    /// Returns the group if the confirmations of all members are valid at `now`.
    fn confirmed(&self, now: TimeMs) -> Option<ConfirmedGroup> {
        let members = self.assignment.members.iter();
        let confirmations: Option<Vec<TimeMs>> = members
            .map(|member| self.confirmed_at(&member.vm))
            .collect();
        let oldest = confirmations?.into_iter().min()?;
        let deadline = Deadline::after_ms(oldest, PERMIT_MS);
        (!deadline.has_passed(now)).then(|| ConfirmedGroup {
            assignment: self.assignment.clone(),
            deadline,
            load: self.load,
            load_at: self.load_at,
        })
    }
}
