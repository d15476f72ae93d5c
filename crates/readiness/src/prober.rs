//! Evidence on the members of the groups that one node probes.

use std::collections::BTreeMap;

use jacinthpoint_types::{Assignment, Deadline, GroupId, TimeMs, VmId};

/// How long the confirmation of a member holds, counted from when it was asked for. After the loss
/// of a member no permit outlives this.
pub const PERMIT_MS: u64 = 1_500;

/// How long a group may still be sent work after one of its members was seen to be leaving. Within
/// it a planned replacement can be ready, so that the leave costs no downtime.
pub const LEAVING_GRACE_MS: u64 = 3_000;

/// Slowness from which a member counts as missing: the whole group is as slow as it is.
pub const STRAGGLER_SLOWNESS: f64 = 3.0;

/// What one probe of a member found.
#[derive(Debug, Clone, PartialEq)]
pub struct ProbeReport {
    /// The VM that answered, as it names itself.
    pub vm: VmId,
    /// The assignment it believes in.
    pub assignment: Option<Assignment>,
    /// Whether its VM is leaving.
    pub leaving: bool,
    /// Whether it has loaded its weights and makes steps.
    pub ready: bool,
    /// Its slowness, 1.0 being usual.
    pub slowness: f64,
    /// Requests running and queued, as it reports.
    pub load: u32,
    /// Age of that report.
    pub load_age_ms: u64,
}

/// A group that every member confirmed.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfirmedGroup {
    /// The group.
    pub assignment: Assignment,
    /// Until when the confirmations hold.
    pub deadline: Deadline,
    /// Requests running and queued on its first member.
    pub load: u32,
    /// When that load was true, on this node's clock.
    pub load_at: TimeMs,
}

/// Newest answer of a member. Answers may come in another order than they were asked for in.
#[derive(Debug, Clone, Copy)]
struct Answer {
    asked_at: TimeMs,
    agrees: bool,
}

#[derive(Debug)]
struct GroupEvidence {
    assignment: Assignment,
    answers: BTreeMap<VmId, Answer>,
    load: u32,
    load_at: TimeMs,
}

/// Collects probe reports and tells which groups are whole.
#[derive(Debug, Default)]
pub struct Prober {
    groups: BTreeMap<GroupId, GroupEvidence>,
    leaving_since: BTreeMap<VmId, TimeMs>,
}

impl Prober {
    /// A prober of no groups.
    pub fn new() -> Prober {
        Prober::default()
    }

    /// Sets the groups to probe. Evidence is kept only for assignments that stay the same.
    pub fn set_groups(&mut self, assignments: impl IntoIterator<Item = Assignment>) {
        let mut old = std::mem::take(&mut self.groups);
        for assignment in assignments {
            let id = assignment.group.clone();
            let kept = old
                .remove(&id)
                .filter(|evidence| evidence.assignment == assignment);
            let evidence = kept.unwrap_or_else(|| GroupEvidence {
                assignment,
                answers: BTreeMap::new(),
                load: 0,
                load_at: TimeMs(0),
            });
            self.groups.insert(id, evidence);
        }
    }

    /// Assignments of the groups to probe.
    pub fn assignments(&self) -> impl Iterator<Item = &Assignment> {
        self.groups.values().map(|evidence| &evidence.assignment)
    }

    /// Takes in the VMs that are leaving as far as is known at `now`, in place of those before.
    pub fn set_leaving(&mut self, vms: impl IntoIterator<Item = VmId>, now: TimeMs) {
        let mut old = std::mem::take(&mut self.leaving_since);
        for vm in vms {
            let since = old.remove(&vm).unwrap_or(now);
            self.leaving_since.insert(vm, since);
        }
    }

    /// Takes in the result of probing `vm` as a member of `group`, asked for at `sent_at`; `None`
    /// if it did not answer.
    ///
    /// An answer that disagrees closes the group at once. No answer at all says nothing new: the
    /// last confirmation runs out by itself.
    pub fn on_report(
        &mut self,
        group: &GroupId,
        vm: &VmId,
        sent_at: TimeMs,
        report: Option<&ProbeReport>,
    ) {
        let Some(evidence) = self.groups.get_mut(group) else {
            return;
        };
        let Some(report) = report else { return };
        let agrees = &report.vm == vm
            && report.ready
            && report.slowness < STRAGGLER_SLOWNESS
            && report.assignment.as_ref() == Some(&evidence.assignment);
        let answer = Answer {
            asked_at: sent_at,
            agrees,
        };
        let newest = evidence.answers.entry(vm.clone()).or_insert(answer);
        if sent_at < newest.asked_at {
            return;
        }
        *newest = answer;
        if evidence
            .assignment
            .leader()
            .is_some_and(|leader| &leader.vm == vm)
        {
            evidence.load = report.load;
            evidence.load_at = TimeMs(sent_at.0.saturating_sub(report.load_age_ms));
        }
    }

    /// Groups that are whole at `now`, each until the first of its confirmations runs out.
    pub fn confirmed_groups(&self, now: TimeMs) -> Vec<ConfirmedGroup> {
        let staying = self
            .groups
            .values()
            .filter(|evidence| !self.has_left(evidence, now));
        staying.filter_map(|evidence| evidence.sight(now)).collect()
    }

    fn has_left(&self, evidence: &GroupEvidence, now: TimeMs) -> bool {
        evidence.assignment.members.iter().any(|member| {
            let since = self.leaving_since.get(&member.vm);
            since.is_some_and(|since| now.since_ms(*since) >= LEAVING_GRACE_MS)
        })
    }
}

impl GroupEvidence {
    fn confirmed_at(&self, vm: &VmId) -> Option<TimeMs> {
        let answer = self.answers.get(vm).filter(|answer| answer.agrees);
        answer.map(|answer| answer.asked_at)
    }

    fn sight(&self, now: TimeMs) -> Option<ConfirmedGroup> {
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
