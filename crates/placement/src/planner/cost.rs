//! Costs of waiting for lost members, of preempting a group and of dissolving one, in weighted
//! seconds.

use jacinthpoint_types::{MemberAddress, Priority};

use crate::planner::draft::{Draft, DraftGroup};

const MS_PER_S: f64 = 1_000.0;

/// Returns the factor on the downtime of groups of this priority; each class counts twice as much
/// as the next lower one.
fn priority_factor(priority: Priority) -> f64 {
    match priority {
        Priority::Critical => 8.0,
        Priority::High => 4.0,
        Priority::Normal => 2.0,
        Priority::Batch => 1.0,
    }
}

impl Draft<'_> {
    /// Returns the cost of one second in which a group of this demand does not serve while
    /// `healthy_vms` of its VMs sit idle.
    pub(super) fn outage_cost(&self, demand: usize, healthy_vms: usize) -> f64 {
        let settings = self.input.settings;
        let priority = self.demands[demand].priority;
        let base = f64::from(settings.group_downtime_weight) * priority_factor(priority);
        base + f64::from(settings.stranded_weight) * healthy_vms as f64
    }

    /// Returns the expected time to load weights, in seconds.
    pub(super) fn load_s(&self) -> f64 {
        self.input.settings.load_ms as f64 / MS_PER_S
    }

    /// Returns the expected time, in seconds, until all lost members of a broken group are back
    /// without a repair.
    pub(super) fn expected_wait_s(&self, group: &DraftGroup) -> f64 {
        let members = group.plan.members.iter();
        let lost = members.filter(|member| self.is_lost(member));
        let waits = lost.map(|member| self.expected_return_ms(member));
        waits.max().unwrap_or(0) as f64 / MS_PER_S
    }

    /// Returns the expected time until a lost member is back.
    ///
    /// A VM that the platform still lists is expected to be absent for as long again as it has been
    /// so far, since short pauses are frequent and long ones rare. The platform must first replace
    /// an unlisted VM.
    fn expected_return_ms(&self, member: &MemberAddress) -> u64 {
        let replace_ms = self.input.settings.replace_ms;
        match self.view(member) {
            Some(view) if view.is_listed => view.missing_ms.min(replace_ms),
            _ => replace_ms,
        }
    }

    /// Returns whether repairing `broken` with members of `victim`, a group of lower priority,
    /// costs less than waiting for the lost members.
    pub(super) fn is_preemption_worthwhile(
        &self,
        broken: &DraftGroup,
        victim: &DraftGroup,
    ) -> bool {
        let wait_s = self.expected_wait_s(broken);
        let broken_cost = self.outage_cost(broken.demand, self.healthy_members(&broken.plan));
        // One VM of the victim joins the broken group; the others count as idle.
        let idle_vms = self.healthy_members(&victim.plan).saturating_sub(1);
        let victim_cost = self.outage_cost(victim.demand, idle_vms);
        // Preemption shortens the downtime of the broken group to one load, but stops the victim
        // for the whole wait.
        broken_cost * (wait_s - self.load_s()) > victim_cost * wait_s
    }

    /// Returns whether dissolving `broken` costs less than keeping it.
    ///
    /// Its VMs let another group serve. Without them, that group is down for `wait_s`, at a cost of
    /// `cost_of_other` a second. The dissolved group has to load its weights again once its members
    /// are back.
    pub(super) fn is_dissolution_worthwhile(
        &self,
        broken: &DraftGroup,
        cost_of_other: f64,
        wait_s: f64,
    ) -> bool {
        let own_cost = self.outage_cost(broken.demand, self.healthy_members(&broken.plan));
        // Time by which the broken group would serve before the other one if both waited.
        let lead_s = (wait_s - self.expected_wait_s(broken)).max(0.0);
        cost_of_other * (wait_s - self.load_s()) > own_cost * (self.load_s() + lead_s)
    }
}
