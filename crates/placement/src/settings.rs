//! What operators choose about repair.

/// Weights, estimates and limits of one fabric domain's repairs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepairSettings {
    /// Cost of a second in which a group does not serve.
    pub group_downtime_weight: u32,
    /// Cost of a second in which a healthy VM sits idle because its group cannot serve.
    pub stranded_weight: u32,
    /// Expected time to load weights.
    pub load_ms: u64,
    /// Expected time until the platform replaces a VM that is gone.
    pub replace_ms: u64,
    /// How long a suspect member is waited for.
    pub wait_ms: u64,
    /// VMs of the domain that load weights at once, for the weight store's sake.
    pub max_loads: usize,
    /// How long a VM that flaps must stay up before it is planned with anew.
    pub damping_ms: u64,
    /// Which repairs are allowed besides waiting.
    pub repairs: Repairs,
}

/// Kinds of repair.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Repairs {
    /// Standbys and free VMs replace members.
    pub replace: bool,
    /// Members are taken from groups of lower priority.
    pub take: bool,
    /// Groups that cannot serve are dissolved where others can use their members.
    pub dissolve: bool,
}

impl RepairSettings {
    /// Defaults: a group's downtime counts as much as ten stranded VMs.
    pub fn new() -> RepairSettings {
        RepairSettings {
            group_downtime_weight: 10,
            stranded_weight: 1,
            load_ms: 30_000,
            replace_ms: 300_000,
            wait_ms: 2_000,
            max_loads: 16,
            damping_ms: 60_000,
            repairs: Repairs {
                replace: true,
                take: true,
                dissolve: true,
            },
        }
    }

    /// Whether idle VMs form further groups before they become standbys of groups that serve.
    pub fn groups_before_standbys(&self, group_size: u16) -> bool {
        u64::from(self.stranded_weight) * u64::from(group_size)
            > u64::from(self.group_downtime_weight)
    }
}

impl Default for RepairSettings {
    fn default() -> RepairSettings {
        RepairSettings::new()
    }
}
