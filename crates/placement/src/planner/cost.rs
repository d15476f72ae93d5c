//! What waiting, taking and dissolving cost, in weighted seconds.

use jacinthpoint_types::{MemberAddress, Priority};

use crate::planner::draft::{Draft, Slot};

const MS_PER_S: f64 = 1_000.0;

/// Factor on the downtime of a deployment's groups: each class counts twice the next one.
fn priority_factor(priority: Priority) -> f64 {
    match priority {
        Priority::Critical => 8.0,
        Priority::High => 4.0,
        Priority::Normal => 2.0,
        Priority::Batch => 1.0,
    }
}

impl Draft<'_> {
    /// Cost of a second in which a group of this demand does not serve.
    pub(super) fn outage_cost(&self, demand: usize, healthy_vms: usize) -> f64 {
        let settings = self.input.settings;
        let priority = self.demands[demand].priority;
        let base = f64::from(settings.group_downtime_weight) * priority_factor(priority);
        base + f64::from(settings.stranded_weight) * healthy_vms as f64
    }

    pub(super) fn load_s(&self) -> f64 {
        self.input.settings.load_ms as f64 / MS_PER_S
    }

    /// Expected time until a broken group has its members back by itself.
    pub(super) fn expected_wait_s(&self, slot: &Slot) -> f64 {
        let members = slot.group.members.iter();
        let lost = members.filter(|member| self.is_lost(member));
        let waits = lost.map(|member| self.expected_return_ms(member));
        waits.max().unwrap_or(0) as f64 / MS_PER_S
    }

    /// A VM that the platform still lists is expected to stay away for as long again as it already
    /// was, since short pauses are many and long ones few. One that is off the list must first be
    /// replaced.
    fn expected_return_ms(&self, member: &MemberAddress) -> u64 {
        let replace_ms = self.input.settings.replace_ms;
        match self.view(member) {
            Some(view) if view.is_listed => view.missing_ms.min(replace_ms),
            _ => replace_ms,
        }
    }

    /// Whether dissolving a serving group of lower priority for a broken one pays.
    pub(super) fn pays_to_take(&self, broken: &Slot, victim: &Slot) -> bool {
        let wait_s = self.expected_wait_s(broken);
        let broken_cost = self.outage_cost(broken.demand, self.healthy_members(&broken.group));
        let left_over = self.healthy_members(&victim.group).saturating_sub(1);
        let victim_cost = self.outage_cost(victim.demand, left_over);
        broken_cost * (wait_s - self.load_s()) > victim_cost * wait_s
    }

    /// Whether dissolving a broken group pays, when another group with this cost of a second then
    /// serves. The broken group has to load its weights again once its members are back.
    pub(super) fn pays_to_dissolve(&self, broken: &Slot, cost_of_other: f64, wait_s: f64) -> bool {
        let own_cost = self.outage_cost(broken.demand, self.healthy_members(&broken.group));
        let lead_s = (wait_s - self.expected_wait_s(broken)).max(0.0);
        cost_of_other * (wait_s - self.load_s()) > own_cost * (self.load_s() + lead_s)
    }
}
