//! A controller decides but does no I/O. This module performs its actions, which are reads and
//! writes of the plan and orders to engines, and passes the results back to it as events.

use std::collections::VecDeque;

use jacinthpoint_placement::{Action, Event, Order, OrderResult, Plan, PlanVersion};
use jacinthpoint_platform::{Object, PlatformError, Version};
use jacinthpoint_types::{Deadline, FabricDomainId, MemberAddress};
use jacinthpoint_upstream::{self as upstream, OrderReply};

use crate::{events::log_event, shared::Shared};

/// Kind of the platform's objects that hold the plans, one object per fabric domain.
const PLAN_KIND: &str = "plans";
/// Time within which an engine must answer an order.
const ORDER_TIMEOUT_MS: u64 = 500;

/// Passes an event to a domain's controller and performs all resulting actions, including those
/// that result from the outcomes of earlier ones.
pub(crate) fn handle_event(shared: &Shared, domain: &FabricDomainId, event: Event) {
    let mut actions = VecDeque::from(deliver(shared, domain, event));
    while let Some(action) = actions.pop_front() {
        if let Some(event) = perform(shared, domain, action) {
            actions.extend(deliver(shared, domain, event));
        }
    }
}

/// Passes an event to a domain's controller. Returns no actions if this node no longer has the
/// domain.
fn deliver(shared: &Shared, domain: &FabricDomainId, event: Event) -> Vec<Action> {
    let now = shared.now();
    let mut domains = shared.domains.lock();
    match domains.get_mut(domain) {
        Some(domain) => domain.handle(now, event),
        None => Vec::new(),
    }
}

/// Performs an action and returns its outcome.
fn perform(shared: &Shared, domain: &FabricDomainId, action: Action) -> Option<Event> {
    match action {
        Action::ReadPlan => Some(read_plan(shared, domain)),
        Action::WritePlan { expected, plan } => Some(write_plan(shared, domain, expected, &plan)),
        Action::Order {
            member,
            order,
            deadline,
        } => Some(Event::OrderEnded {
            result: send_order(shared, &member, order, deadline),
            vm: member.vm,
        }),
    }
}

fn read_plan(shared: &Shared, domain: &FabricDomainId) -> Event {
    let asked_at = shared.now();
    match shared.platform.get(PLAN_KIND, domain.as_str()) {
        Ok(Some(object)) => match parse_plan(domain, object) {
            Some((version, plan)) => Event::PlanRead {
                asked_at,
                version,
                plan,
            },
            None => Event::PlatformFailed,
        },
        Ok(None) => Event::PlanRead {
            asked_at,
            version: PlanVersion::default(),
            plan: Plan::default(),
        },
        Err(error) => {
            log_event!(warn, PlatformFailed, %domain, %error, "cannot read the plan");
            Event::PlatformFailed
        }
    }
}

/// Parses a plan and its version. Logs a malformed plan and returns `None`.
fn parse_plan(domain: &FabricDomainId, object: Object) -> Option<(PlanVersion, Plan)> {
    match serde_json::from_value::<Plan>(object.value) {
        Ok(plan) => Some((PlanVersion(object.version.0), plan)),
        Err(error) => {
            log_event!(
                error, PlatformFailed, %domain, %error,
                "cannot parse the plan read from the platform"
            );
            None
        }
    }
}

fn write_plan(
    shared: &Shared,
    domain: &FabricDomainId,
    expected: PlanVersion,
    plan: &Plan,
) -> Event {
    let asked_at = shared.now();
    let expected = Version(expected.0);
    match shared
        .platform
        .update(PLAN_KIND, domain.as_str(), expected, plan)
    {
        Ok(version) => {
            let (groups, fence) = (plan.groups.len(), plan.fence);
            log_event!(info, PlanWritten, %domain, %version, groups, fence, "plan written");
            Event::PlanWritten {
                asked_at,
                version: PlanVersion(version.0),
            }
        }
        Err(PlatformError::Conflict { current }) => {
            log_event!(
                info, PlanConflict, %domain, version = %current.version,
                "another controller wrote the plan first"
            );
            match parse_plan(domain, *current) {
                Some((version, plan)) => Event::PlanConflict {
                    asked_at,
                    version,
                    plan,
                },
                None => Event::PlatformFailed,
            }
        }
        Err(error) if error.is_ambiguous() => {
            log_event!(
                warn, PlatformFailed, %domain, %error,
                "plan may have been written, reading it back"
            );
            Event::PlanAmbiguous
        }
        Err(error) => {
            log_event!(warn, PlatformFailed, %domain, %error, "cannot write the plan");
            Event::PlatformFailed
        }
    }
}

/// Sends an order to an engine, unless the order's deadline has passed.
fn send_order(
    shared: &Shared,
    member: &MemberAddress,
    order: Order,
    deadline: Deadline,
) -> OrderResult {
    let order = match order {
        Order::Serve { assignment } => upstream::Order::Serve { assignment },
        Order::Leave { group, epoch } => upstream::Order::Leave { group, epoch },
    };
    let vm = &member.vm;
    // Checked last before sending, because this process may have been paused since the controller
    // decided on the order.
    if deadline.has_passed(shared.now()) {
        log_event!(warn, OrderExpired, %vm, "order not sent, its deadline has passed");
        return OrderResult::Expired;
    }
    match upstream::order(member.address, &order, ORDER_TIMEOUT_MS) {
        Ok(OrderReply::Accepted) => OrderResult::Accepted,
        Ok(OrderReply::Fenced { highest }) => {
            log_event!(
                warn, OrderFenced, %vm, %highest,
                "engine refused the order, the plan and its fencing token are outdated"
            );
            OrderResult::Fenced { highest }
        }
        Err(error) => {
            log_event!(warn, OrderFailed, %vm, %error, "order to the engine failed");
            OrderResult::NoAnswer
        }
    }
}
