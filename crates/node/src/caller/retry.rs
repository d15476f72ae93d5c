//! Retries: budgets of the node, shared by its requests, and the pause before the next attempt.

use std::sync::{Mutex, MutexGuard, PoisonError};

use jacinthpoint_routing::{Ending, Failure, RetryBudgets, Unstarted, backoff_ms};
use jacinthpoint_types::{OrganisationId, ResultCode};
use jacinthpoint_upstream::StartError;

use crate::{caller::context::Context, shared::Shared};

/// Budgets for retries, each kind under its own lock.
#[derive(Default)]
pub(crate) struct Retries {
    by_organisation: Mutex<RetryBudgets<OrganisationId>>,
    by_target: Mutex<RetryBudgets<String>>,
}

impl Retries {
    /// Takes in a request to a deployment or service.
    pub(crate) fn on_request(&self, organisation: &OrganisationId, target: &str) {
        lock(&self.by_organisation).on_request(organisation);
        lock(&self.by_target).on_request(&target.to_owned());
    }

    /// Pays for a retry if both budgets can.
    fn pay(&self, organisation: &OrganisationId, target: &str, failure: Failure) -> bool {
        let target = target.to_owned();
        let mut by_organisation = lock(&self.by_organisation);
        let mut by_target = lock(&self.by_target);
        let can_pay = by_organisation.can_withdraw(organisation, failure)
            && by_target.can_withdraw(&target, failure);
        if can_pay {
            by_organisation.withdraw(organisation, failure);
            by_target.withdraw(&target, failure);
        }
        can_pay
    }
}

/// What a failed start says of the upstream.
pub(crate) fn failure_of(error: &StartError) -> Failure {
    match error {
        StartError::Refused { .. } => Failure::Refused,
        StartError::NotSent { .. } | StartError::NoAnswer { .. } => Failure::Lost,
    }
}

/// Ends a request that gets no further attempt.
pub(crate) fn give_up(state: Unstarted, failure: Failure) -> Ending {
    match (state, failure) {
        (Unstarted::Lost(lost), _) => lost.give_up(ResultCode::UpstreamFailed),
        (Unstarted::Accepted(accepted), Failure::Refused) => {
            accepted.refuse(ResultCode::UpstreamRefused)
        }
        (Unstarted::Accepted(accepted), Failure::Lost) => accepted.refuse(ResultCode::NoCapacity),
    }
}

/// Whether another attempt may follow; if so, pauses first, but not up to the deadline.
pub(crate) fn may_follow(
    shared: &Shared,
    context: &Context,
    target: &str,
    failure: Failure,
    failures: u32,
) -> bool {
    let pause_ms = backoff_ms(failures, &mut rand::rng());
    if pause_ms >= context.deadline.remaining_ms(shared.now()) {
        return false;
    }
    if !shared.retries.pay(&context.organisation, target, failure) {
        shared.metrics.count("retries_refused");
        return false;
    }
    shared.metrics.count("retries");
    shared.sleep_ms(pause_ms);
    true
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
