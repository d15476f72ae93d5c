//! What is known of each VM of the domain, and since when.

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

/// A VM that has not answered a probe for this long is suspect: several probes were lost.
pub const VM_SUSPECT_MS: u64 = 1_500;
/// A VM that is off the list and silent for this long is forgotten.
const FORGET_MS: u64 = 600_000;
/// Losses within `FLAP_WINDOW_MS` from which a VM counts as flapping.
const FLAP_LOSSES: usize = 3;
/// Losses older than this no longer count against a VM.
const FLAP_WINDOW_MS: u64 = 300_000;

/// What is known of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmHealth {
    /// It answers.
    Live,
    /// It answers, but has come and gone too often to be planned with anew.
    Damped,
    /// It does not answer or is slow, and is still waited for.
    Suspect,
    /// It is about to go, and works until then.
    Leaving,
    /// It was waited for in vain.
    Lost,
}

/// A VM as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmView {
    /// The VM and where its engine listens.
    pub member: MemberAddress,
    /// What is known of it.
    pub health: VmHealth,
    /// Incarnation of its engine, if it ever answered.
    pub incarnation: Option<u64>,
    /// How long it has been suspect or lost.
    pub missing_ms: u64,
    /// Whether the platform still lists it, so that it may come back.
    pub is_listed: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct VmRecord {
    address: SocketAddr,
    is_listed: bool,
    is_leaving: bool,
    /// Whether the engine says so itself, which also comes while the list lags.
    says_leaving: bool,
    /// Last sign of a working engine; the time of first mention before any.
    working_at: TimeMs,
    has_answered: bool,
    incarnation: Option<u64>,
    losses: VecDeque<TimeMs>,
    up_since: TimeMs,
    /// Time of the last answer, of whatever content.
    pub(crate) answered_at: TimeMs,
    pub(crate) believed: Option<Assignment>,
    pub(crate) is_ready: bool,
}

/// All VMs of the domain.
#[derive(Debug, Default)]
pub(crate) struct VmTable {
    vms: BTreeMap<VmId, VmRecord>,
}

impl VmTable {
    /// Takes in the platform's list.
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
        self.vms
            .retain(|_, record| record.is_listed || now.since_ms(record.working_at) < FORGET_MS);
    }

    /// Takes in the VMs of a plan, so that one that is not listed now is still waited for.
    pub(crate) fn mention<'a>(
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

    /// Takes in the answer to a probe. One from another address than the listed one is dropped.
    pub(crate) fn on_probe(&mut self, vm: &VmId, sent_at: TimeMs, report: EngineReport) {
        let Some(record) = self.vms.get_mut(vm) else {
            return;
        };
        if record.address != report.address || sent_at < record.answered_at {
            return;
        }
        let restarted = record
            .incarnation
            .is_some_and(|old| old != report.incarnation);
        let was_silent = sent_at.since_ms(record.working_at) >= VM_SUSPECT_MS;
        if record.has_answered && (restarted || was_silent) {
            record.note_loss(sent_at);
        }
        record.incarnation = Some(report.incarnation);
        record.answered_at = sent_at;
        record.says_leaving = report.is_leaving;
        record.believed = report.assignment;
        record.is_ready = report.is_ready && !report.is_straggler;
        if !report.is_straggler {
            record.has_answered = true;
            record.working_at = sent_at;
        }
    }

    /// Starts every VM's silence anew, after this process itself did not run for a while.
    pub(crate) fn forgive(&mut self, now: TimeMs) {
        for record in self.vms.values_mut() {
            record.working_at = record.working_at.max(now);
        }
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = (&VmId, &VmRecord)> {
        self.vms.iter()
    }

    pub(crate) fn get(&self, vm: &VmId) -> Option<&VmRecord> {
        self.vms.get(vm)
    }

    /// Whether a VM answered lately that it is a working member of exactly this assignment.
    pub(crate) fn confirms(&self, vm: &VmId, assignment: &Assignment, now: TimeMs) -> bool {
        self.vms.get(vm).is_some_and(|record| {
            record.is_ready
                && record.is_answering(now)
                && record.believed.as_ref() == Some(assignment)
        })
    }

    /// Whether an engine believes in a later epoch of a group than the plan has: orders of the
    /// planned epoch would be below it.
    pub(crate) fn believe_above(&self, group: &GroupPlan) -> bool {
        let mut believed = self.vms.values().filter_map(|vm| vm.believed.as_ref());
        believed.any(|own| own.group == group.id && own.epoch > group.epoch)
    }

    /// The VMs as the planner sees them.
    pub(crate) fn views(&self, now: TimeMs, settings: &RepairSettings) -> Vec<VmView> {
        self.vms
            .iter()
            .map(|(vm, record)| VmView {
                member: record.member(vm),
                health: record.health(now, settings),
                incarnation: record.incarnation,
                missing_ms: now.since_ms(record.working_at),
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
            says_leaving: false,
            working_at: now,
            has_answered: false,
            incarnation: None,
            losses: VecDeque::new(),
            up_since: now,
            answered_at: TimeMs(0),
            believed: None,
            is_ready: false,
        }
    }

    pub(crate) fn member(&self, vm: &VmId) -> MemberAddress {
        MemberAddress {
            vm: vm.clone(),
            address: self.address,
        }
    }

    pub(crate) fn is_answering(&self, now: TimeMs) -> bool {
        now.since_ms(self.answered_at) < VM_SUSPECT_MS && self.has_answered
    }

    fn note_loss(&mut self, now: TimeMs) {
        self.up_since = now;
        self.losses.push_back(now);
        if self.losses.len() > FLAP_LOSSES {
            self.losses.pop_front();
        }
    }

    fn is_damped(&self, now: TimeMs, settings: &RepairSettings) -> bool {
        let recent = self.losses.iter();
        let recent = recent.filter(|at| now.since_ms(**at) < FLAP_WINDOW_MS);
        recent.count() >= FLAP_LOSSES && now.since_ms(self.up_since) < settings.damping_ms
    }

    fn health(&self, now: TimeMs, settings: &RepairSettings) -> VmHealth {
        let silent_ms = now.since_ms(self.working_at);
        if silent_ms >= VM_SUSPECT_MS + settings.wait_ms {
            return VmHealth::Lost;
        }
        if silent_ms >= VM_SUSPECT_MS || !self.has_answered {
            return VmHealth::Suspect;
        }
        if self.is_leaving || self.says_leaving {
            return VmHealth::Leaving;
        }
        if self.is_damped(now, settings) {
            return VmHealth::Damped;
        }
        VmHealth::Live
    }
}
