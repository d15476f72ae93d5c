//! Determines which engines need an order, and limits concurrent weight loads.
//!
//! An engine gets an order if the assignment that it reports is not the desired one. The number of
//! engines that load weights at a time is limited to protect the weight store from overload.

use std::collections::BTreeMap;

use jacinthpoint_types::{Assignment, Deadline, Epoch, MemberAddress, TimeMs, VmId};

use crate::{
    event::{Action, Order, OrderResult},
    health::{VmRecord, VmTable},
    settings::RepairSettings,
};

/// Time for which an unanswered order may still arrive, even after an order that was sent later.
pub(crate) const ORDER_TRANSIT_MS: u64 = 500;
/// Time after which an order is retried if its result is unknown.
const ORDER_TIMEOUT_MS: u64 = 3_000;
/// Multiple of the expected load time after which a load no longer counts towards the limit, so
/// that engines that never finish do not block the others.
const MAX_LOAD_TIME_FACTOR: u64 = 4;

/// Recent orders, and the loads that they started.
#[derive(Debug, Default)]
pub(crate) struct OrderTracker {
    /// Orders whose result is unknown, with the time after which each is retried.
    in_flight: BTreeMap<VmId, Deadline>,
    /// Time from which the last order to a VM can no longer take effect. The next order to the VM
    /// needs the answer to a probe that was sent later.
    ended_at: BTreeMap<VmId, TimeMs>,
    /// VMs that load weights, with the time after which the load no longer counts.
    loads: BTreeMap<VmId, Deadline>,
}

/// Assignments that the VMs of a domain should have.
#[derive(Debug)]
pub(crate) struct DesiredState {
    /// Assignments of the groups, most important first.
    pub(crate) assignments: Vec<Assignment>,
    /// Epoch of orders to leave a group, made from the plan's fencing token.
    pub(crate) leave_epoch: Epoch,
}

/// An order that an engine needs.
#[derive(Debug)]
pub(crate) struct DueOrder {
    pub(crate) member: MemberAddress,
    pub(crate) order: Order,
    /// Whether the engine has to load weights for it.
    needs_load: bool,
}

impl OrderTracker {
    /// Records the result of an order.
    pub(crate) fn on_ended(&mut self, now: TimeMs, vm: &VmId, result: OrderResult) {
        self.in_flight.remove(vm);
        let ended_at = match result {
            OrderResult::Expired => {
                self.loads.remove(vm);
                return;
            }
            OrderResult::NoAnswer => now.plus_ms(ORDER_TRANSIT_MS),
            OrderResult::Accepted | OrderResult::Fenced { .. } => now,
        };
        self.ended_at.insert(vm.clone(), ended_at);
    }

    /// Returns the number of VMs that load weights.
    pub(crate) fn loading_count(&self) -> usize {
        self.loads.len()
    }

    /// Returns an order for every VM that answers probes and whose reported assignment is not the
    /// desired one, unless an earlier order may still take effect.
    pub(crate) fn due(&self, now: TimeMs, desired: &DesiredState, vms: &VmTable) -> Vec<DueOrder> {
        let mut due = Vec::new();
        let mut members = BTreeMap::new();
        for assignment in &desired.assignments {
            // The leader (rank 0) becomes ready only after all other members, so its order comes
            // last.
            for member in assignment.members.iter().rev() {
                members.insert(&member.vm, member);
                let record = vms.get(&member.vm).filter(|record| {
                    &record.member(&member.vm) == member && self.may_order(now, &member.vm, record)
                });
                let reported = record.map(|record| record.assignment.as_ref());
                due.extend(reported.and_then(|reported| serve_order(member, assignment, reported)));
            }
        }
        for (vm, record) in vms.records() {
            if !members.contains_key(vm) && self.may_order(now, vm, record) {
                due.extend(leave_order(record.member(vm), record, desired.leave_epoch));
            }
        }
        due
    }

    fn may_order(&self, now: TimeMs, vm: &VmId, record: &VmRecord) -> bool {
        let in_flight = self.in_flight.get(vm);
        let ended_at = self.ended_at.get(vm);
        record.is_answering(now)
            && in_flight.is_none_or(|until| until.has_passed(now))
            && ended_at.is_none_or(|at| record.last_answered_at > *at)
    }

    /// Returns actions that send the due orders, as far as the limit of concurrent loads allows.
    pub(crate) fn issue(
        &mut self,
        now: TimeMs,
        due: Vec<DueOrder>,
        deadline: Deadline,
        settings: &RepairSettings,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for DueOrder {
            member,
            order,
            needs_load,
        } in due
        {
            let is_loading = self.loads.contains_key(&member.vm);
            if needs_load && !is_loading {
                if self.loads.len() >= settings.max_loads {
                    continue;
                }
                let until = Deadline::after_ms(now, settings.load_ms * MAX_LOAD_TIME_FACTOR);
                self.loads.insert(member.vm.clone(), until);
            }
            let until = Deadline::after_ms(now, ORDER_TIMEOUT_MS);
            self.in_flight.insert(member.vm.clone(), until);
            actions.push(Action::Order {
                member,
                order,
                deadline,
            });
        }
        actions
    }

    /// Removes loads that are done or have taken too long, and those whose VM does not answer
    /// probes.
    pub(crate) fn end_loads(&mut self, now: TimeMs, desired: &DesiredState, vms: &VmTable) {
        let mut assigned = BTreeMap::new();
        for assignment in &desired.assignments {
            for member in &assignment.members {
                assigned.insert(&member.vm, assignment);
            }
        }
        self.loads.retain(|vm, until| {
            let is_done = assigned
                .get(vm)
                .is_none_or(|assignment| vms.confirms(vm, assignment, now));
            let answers = vms.get(vm).is_some_and(|record| record.is_answering(now));
            !is_done && answers && !until.has_passed(now)
        });
    }
}

/// Returns the order to serve in `assignment`, unless the engine has this or a newer one.
fn serve_order(
    member: &MemberAddress,
    assignment: &Assignment,
    reported: Option<&Assignment>,
) -> Option<DueOrder> {
    // If the engine has a higher epoch, the desired assignment comes from an outdated plan.
    let is_due = reported.is_none_or(|own| own != assignment && own.epoch <= assignment.epoch);
    is_due.then(|| DueOrder {
        member: member.clone(),
        order: Order::Serve {
            assignment: assignment.clone(),
        },
        needs_load: reported.is_none_or(|own| own.model != assignment.model),
    })
}

/// Returns the order to leave the reported group, unless its epoch is higher than `epoch`.
fn leave_order(member: MemberAddress, record: &VmRecord, epoch: Epoch) -> Option<DueOrder> {
    let reported = record.assignment.as_ref()?;
    (reported.epoch <= epoch).then(|| DueOrder {
        member,
        order: Order::Leave {
            group: reported.group.clone(),
            epoch,
        },
        needs_load: false,
    })
}
