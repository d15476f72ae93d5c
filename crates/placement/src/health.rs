//! Tracks the health of each VM of the domain from the platform's list and the answers to probes.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use jacinthpoint_types::{Assignment, MemberAddress, TimeMs, VmId};

use crate::{
    event::{EngineReport, ListedVm},
    plan::GroupPlan,
    settings::RepairSettings,
};

/// Time since an engine last answered a probe without being a straggler, after which its VM is
/// suspect. It spans several probes, so a single lost probe does not make a VM suspect.
pub const VM_SUSPECT_MS: u64 = 1_500;
/// Time since an engine last answered a probe without being a straggler, after which the record of
/// its VM is removed if the VM is unlisted.
const UNLISTED_TTL_MS: u64 = 600_000;
/// Number of interruptions within [`FLAP_WINDOW_MS`] from which a VM is flapping until it has
/// stayed up for `damping_ms`. An interruption is a restart of the engine, or the return of a VM
/// after it was suspect or lost.
const FLAP_INTERRUPTIONS: usize = 3;
/// Age from which an interruption no longer counts.
const FLAP_WINDOW_MS: u64 = 300_000;

/// Health of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmHealth {
    /// The VM answers probes and is not leaving.
    Live,
    /// The VM answers probes, but failed or restarted several times recently. It keeps its place in
    /// a group, but is not assigned to another one.
    Flapping,
    /// The VM does not answer probes or is a straggler, for less time than a repair waits.
    Suspect,
    /// The VM will be removed and serves until then.
    Leaving,
    /// The VM is considered dead: a repair no longer waits for it.
    Lost,
}

/// State of a VM, as input of the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmView {
    /// The VM and where its engine listens.
    pub member: MemberAddress,
    /// Health of the VM.
    pub health: VmHealth,
    /// Incarnation of its engine; `None` if the engine never answered a probe.
    pub incarnation: Option<u64>,
    /// Time since its engine last answered a probe without being a straggler, in milliseconds.
    pub missing_ms: u64,
    /// Whether the platform lists the VM. A lost VM that is listed is expected to return; one that
    /// is not must first be replaced by the platform.
    pub is_listed: bool,
}

/// Listed state and probe history of one VM.
#[derive(Debug, Clone)]
pub(crate) struct VmRecord {
    address: SocketAddr,
    is_listed: bool,
    /// Whether the platform lists the VM as leaving.
    is_leaving: bool,
    /// Whether the engine reports that its VM is leaving. It can report this before the platform's
    /// lagging list shows it.
    reports_leaving: bool,
    /// When the last probe was sent that the engine answered without being a straggler; at least
    /// the time when this record was created and when the last pause of this process ended.
    last_working_at: TimeMs,
    /// Whether the engine ever answered a probe without being a straggler.
    has_worked: bool,
    incarnation: Option<u64>,
    /// When the VM answered again after each of the last [`FLAP_INTERRUPTIONS`] interruptions.
    interruptions: VecDeque<TimeMs>,
    /// Time of the last interruption, or of the creation of this record.
    up_since: TimeMs,
    /// When the last answered probe was sent, also if the engine is a straggler.
    pub(crate) last_answered_at: TimeMs,
    /// Assignment that the engine last reported.
    pub(crate) assignment: Option<Assignment>,
    /// Whether the engine last reported to be ready and was not a straggler.
    pub(crate) is_ready: bool,
}

/// Records of all VMs of the domain.
#[derive(Debug, Default)]
pub(crate) struct VmTable {
    vms: BTreeMap<VmId, VmRecord>,
}

impl VmTable {
    /// Applies the platform's list. A VM with a new address gets a new record.
    pub(crate) fn on_list(&mut self, now: TimeMs, listed: Vec<ListedVm>) {
        for record in self.vms.values_mut() {
            record.is_listed = false;
        }
        for entry in listed {
            let MemberAddress { vm, address } = entry.member;
            let record = self
                .vms
                .entry(vm)
                .or_insert_with(|| VmRecord::new(address, now));
            if record.address != address {
                *record = VmRecord::new(address, now);
            }
            record.is_listed = true;
            record.is_leaving = entry.is_leaving;
        }
        self.vms.retain(|_, record| {
            record.is_listed || now.since_ms(record.last_working_at) < UNLISTED_TTL_MS
        });
    }

    /// Adds the VMs of a plan, so that a repair also waits for a planned VM that is not listed.
    pub(crate) fn add_planned<'a>(
        &mut self,
        now: TimeMs,
        planned: impl Iterator<Item = &'a MemberAddress>,
    ) {
        for member in planned {
            self.vms
                .entry(member.vm.clone())
                .or_insert_with(|| VmRecord {
                    is_listed: false,
                    ..VmRecord::new(member.address, now)
                });
        }
    }

    /// Records the answer to a probe. Answers from an address other than the listed one and answers
    /// to probes sent before the last answered one are ignored.
    pub(crate) fn on_probe(&mut self, vm: &VmId, sent_at: TimeMs, report: EngineReport) {
        let Some(record) = self.vms.get_mut(vm) else {
            return;
        };
        if record.address != report.address || sent_at < record.last_answered_at {
            return;
        }
        let restarted = record
            .incarnation
            .is_some_and(|old| old != report.incarnation);
        let was_missing = sent_at.since_ms(record.last_working_at) >= VM_SUSPECT_MS;
        if record.has_worked && (restarted || was_missing) {
            record.record_interruption(sent_at);
        }
        record.incarnation = Some(report.incarnation);
        record.last_answered_at = sent_at;
        record.reports_leaving = report.is_leaving;
        record.assignment = report.assignment;
        record.is_ready = report.is_ready && !report.is_straggler;
        if !report.is_straggler {
            record.has_worked = true;
            record.last_working_at = sent_at;
        }
    }

    /// Sets the missing time of every VM to zero. Called after this process did not run for a while
    /// and therefore could not receive answers.
    pub(crate) fn reset_missing_time(&mut self, now: TimeMs) {
        for record in self.vms.values_mut() {
            record.last_working_at = record.last_working_at.max(now);
        }
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = (&VmId, &VmRecord)> {
        self.vms.iter()
    }

    pub(crate) fn get(&self, vm: &VmId) -> Option<&VmRecord> {
        self.vms.get(vm)
    }

    /// Returns whether the VM recently reported to be ready in exactly this assignment.
    pub(crate) fn confirms(&self, vm: &VmId, assignment: &Assignment, now: TimeMs) -> bool {
        self.vms.get(vm).is_some_and(|record| {
            record.is_ready
                && record.is_answering(now)
                && record.assignment.as_ref() == Some(assignment)
        })
    }

    /// Returns whether an engine reported a higher epoch of the group than the planned one. For
    /// that engine, orders with the planned epoch are outdated.
    pub(crate) fn any_reports_higher_epoch(&self, group: &GroupPlan) -> bool {
        let mut reported = self.vms.values().filter_map(|vm| vm.assignment.as_ref());
        reported.any(|own| own.group == group.id && own.epoch > group.epoch)
    }

    /// Returns the states of all VMs, as input of the planner.
    pub(crate) fn views(&self, now: TimeMs, settings: &RepairSettings) -> Vec<VmView> {
        self.vms
            .iter()
            .map(|(vm, record)| VmView {
                member: record.member(vm),
                health: record.health(now, settings),
                incarnation: record.incarnation,
                missing_ms: now.since_ms(record.last_working_at),
                is_listed: record.is_listed,
            })
            .collect()
    }
}

impl VmRecord {
    fn new(address: SocketAddr, now: TimeMs) -> VmRecord {
        VmRecord {
            address,
            is_listed: true,
            is_leaving: false,
            reports_leaving: false,
            last_working_at: now,
            has_worked: false,
            incarnation: None,
            interruptions: VecDeque::new(),
            up_since: now,
            last_answered_at: TimeMs(0),
            assignment: None,
            is_ready: false,
        }
    }

    pub(crate) fn member(&self, vm: &VmId) -> MemberAddress {
        MemberAddress {
            vm: vm.clone(),
            address: self.address,
        }
    }

    /// Returns whether the VM recently answered a probe, and ever did so without being a straggler.
    pub(crate) fn is_answering(&self, now: TimeMs) -> bool {
        now.since_ms(self.last_answered_at) < VM_SUSPECT_MS && self.has_worked
    }

    fn record_interruption(&mut self, now: TimeMs) {
        self.up_since = now;
        self.interruptions.push_back(now);
        if self.interruptions.len() > FLAP_INTERRUPTIONS {
            self.interruptions.pop_front();
        }
    }

    fn is_flapping(&self, now: TimeMs, settings: &RepairSettings) -> bool {
        let recent = self.interruptions.iter();
        let recent = recent.filter(|at| now.since_ms(**at) < FLAP_WINDOW_MS);
        recent.count() >= FLAP_INTERRUPTIONS && now.since_ms(self.up_since) < settings.damping_ms
    }

    fn health(&self, now: TimeMs, settings: &RepairSettings) -> VmHealth {
        let missing_ms = now.since_ms(self.last_working_at);
        if missing_ms >= VM_SUSPECT_MS + settings.wait_ms {
            return VmHealth::Lost;
        }
        if missing_ms >= VM_SUSPECT_MS || !self.has_worked {
            return VmHealth::Suspect;
        }
        if self.is_leaving || self.reports_leaving {
            return VmHealth::Leaving;
        }
        if self.is_flapping(now, settings) {
            return VmHealth::Flapping;
        }
        VmHealth::Live
    }
}
