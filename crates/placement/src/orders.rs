//! Orders that are due, paced for the weight store's sake.

use std::collections::BTreeMap;

use jacinthpoint_types::{Assignment, Deadline, Epoch, MemberAddress, TimeMs, VmId};

use crate::{
    event::{Action, Order, OrderResult},
    health::{VmRecord, VmTable},
    settings::RepairSettings,
};

/// An order without an answer may still arrive for this long, after one that is sent later.
pub(crate) const ORDER_TRANSIT_MS: u64 = 500;
/// An order without any word of its end for this long may be given again.
const ORDER_TIMEOUT_MS: u64 = 3_000;
/// A load counts for this many times its expected duration at most, so that engines that never
/// finish do not hold up the others.
const MAX_LOAD_FACTOR: u64 = 4;

/// Orders given lately, and loads that they started.
#[derive(Debug, Default)]
pub(crate) struct OrderBook {
    /// Until when no further order goes to a VM unless a later probe is answered.
    on_the_way: BTreeMap<VmId, Deadline>,
    /// When the last order to a VM had ended for certain.
    ended_at: BTreeMap<VmId, TimeMs>,
    loads: BTreeMap<VmId, Deadline>,
}

/// What the VMs of a domain shall believe.
#[derive(Debug)]
pub(crate) struct Wanted {
    /// Assignments of the groups, most important first.
    pub(crate) assignments: Vec<Assignment>,
    /// Fencing number of orders to leave.
    pub(crate) leave_epoch: Epoch,
}

#[derive(Debug)]
pub(crate) struct DueOrder {
    pub(crate) member: MemberAddress,
    pub(crate) order: Order,
    needs_load: bool,
}

impl OrderBook {
    pub(crate) fn on_ended(&mut self, now: TimeMs, vm: &VmId, result: OrderResult) {
        self.on_the_way.remove(vm);
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

    /// VMs that load weights.
    pub(crate) fn loading(&self) -> usize {
        self.loads.len()
    }

    /// Orders for every VM that answers and believes in something else than it should.
    pub(crate) fn due(&self, now: TimeMs, wanted: &Wanted, vms: &VmTable) -> Vec<DueOrder> {
        let mut due = Vec::new();
        let mut members = BTreeMap::new();
        for assignment in &wanted.assignments {
            // The first member is ready only after all others are, so it loads last.
            for member in assignment.members.iter().rev() {
                members.insert(&member.vm, member);
                let record = vms.get(&member.vm).filter(|record| {
                    &record.member(&member.vm) == member && self.may_order(now, &member.vm, record)
                });
                let believed = record.map(|record| record.believed.as_ref());
                due.extend(believed.and_then(|believed| serve(member, assignment, believed)));
            }
        }
        for (vm, record) in vms.records() {
            if !members.contains_key(vm) && self.may_order(now, vm, record) {
                due.extend(leave(record.member(vm), record, wanted.leave_epoch));
            }
        }
        due
    }

    fn may_order(&self, now: TimeMs, vm: &VmId, record: &VmRecord) -> bool {
        let on_the_way = self.on_the_way.get(vm);
        let ended_at = self.ended_at.get(vm);
        record.is_answering(now)
            && on_the_way.is_none_or(|until| until.has_passed(now))
            && ended_at.is_none_or(|at| record.answered_at > *at)
    }

    /// Turns due orders into actions, as far as the limit of loads allows.
    pub(crate) fn give(
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
                let until = Deadline::after_ms(now, settings.load_ms * MAX_LOAD_FACTOR);
                self.loads.insert(member.vm.clone(), until);
            }
            let until = Deadline::after_ms(now, ORDER_TIMEOUT_MS);
            self.on_the_way.insert(member.vm.clone(), until);
            actions.push(Action::Order {
                member,
                order,
                deadline,
            });
        }
        actions
    }

    /// Ends the loads that are done, have taken too long or whose VM does not answer.
    pub(crate) fn end_loads(&mut self, now: TimeMs, wanted: &Wanted, vms: &VmTable) {
        let mut assigned = BTreeMap::new();
        for assignment in &wanted.assignments {
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

fn serve(
    member: &MemberAddress,
    assignment: &Assignment,
    believed: Option<&Assignment>,
) -> Option<DueOrder> {
    // An order below what the engine believes comes from an outdated plan.
    let is_due = believed.is_none_or(|own| own != assignment && own.epoch <= assignment.epoch);
    is_due.then(|| DueOrder {
        member: member.clone(),
        order: Order::Serve {
            assignment: assignment.clone(),
        },
        needs_load: believed.is_none_or(|own| own.model != assignment.model),
    })
}

fn leave(member: MemberAddress, record: &VmRecord, epoch: Epoch) -> Option<DueOrder> {
    let believed = record.believed.as_ref()?;
    (believed.epoch <= epoch).then(|| DueOrder {
        member,
        order: Order::Leave {
            group: believed.group.clone(),
            epoch,
        },
        needs_load: false,
    })
}
