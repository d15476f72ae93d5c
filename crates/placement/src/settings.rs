//! Settings of repairs, which operators choose.

/// Cost weights, estimates and limits of one fabric domain's repairs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepairSettings {
    /// Cost of one second in which a group does not serve.
    pub group_downtime_weight: u32,
    /// Cost of one second in which a healthy VM is idle because its group cannot serve.
    pub stranded_weight: u32,
    /// Expected time to load model weights, in milliseconds.
    pub load_ms: u64,
    /// Expected time until the platform replaces a VM that it no longer lists, in milliseconds.
    pub replace_ms: u64,
    /// Time that a repair waits for a suspect member before the member is considered dead, in
    /// milliseconds.
    pub wait_ms: u64,
    /// Maximum number of VMs of the domain that load model weights at a time; protects the weight
    /// store from overload.
    pub max_loads: usize,
    /// Time that a flapping VM must stay up before it can be assigned to a group again, in
    /// milliseconds.
    pub damping_ms: u64,
    /// Repairs that are allowed. If none is, a broken group waits until its lost members are back.
    pub repairs: Repairs,
}

/// Kinds of repair that are allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Repairs {
    /// Replace members with standbys and free VMs, and free standbys of other groups.
    pub replace: bool,
    /// Dissolve groups of lower priority to use their VMs.
    pub preempt: bool,
    /// Dissolve groups that cannot serve if other groups can use their VMs.
    pub dissolve: bool,
}

impl RepairSettings {
    /// Returns the defaults. The downtime of a group of the lowest priority costs as much
    /// as ten idle VMs.
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
                preempt: true,
                dissolve: true,
            },
        }
    }

    /// Returns whether groups of this size get their standbys only after the missing groups of all
    /// demands are formed: if the idle VMs of a missing group cost more than its downtime.
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
