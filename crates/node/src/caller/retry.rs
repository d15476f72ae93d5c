//! Retries of failed attempts: the node's retry budgets, shared by all its requests, and the
//! backoff before the next attempt.

use std::sync::{Mutex, MutexGuard, PoisonError};

use jacinthpoint_routing::{Ending, Failure, RetryBudgets, Unstarted, backoff_ms};
use jacinthpoint_types::{OrganisationId, ResultCode};
use jacinthpoint_upstream::StartError;

use crate::{caller::context::Context, shared::Shared};

/// Retry budgets per organisation and per target, each map under its own lock.
#[derive(Default)]
pub(crate) struct Retries {
    by_organisation: Mutex<RetryBudgets<OrganisationId>>,
    by_target: Mutex<RetryBudgets<String>>,
}

impl Retries {
    /// Records a new request to `target`, the name of a deployment or service.
    pub(crate) fn on_request(&self, organisation: &OrganisationId, target: &str) {
        lock(&self.by_organisation).on_request(organisation);
        lock(&self.by_target).on_request(&target.to_owned());
    }

    /// Withdraws a retry from both budgets; returns `false`, and withdraws nothing, unless both
    /// suffice.
    fn withdraw(&self, organisation: &OrganisationId, target: &str, failure: Failure) -> bool {
        let target = target.to_owned();
        let mut by_organisation = lock(&self.by_organisation);
        let mut by_target = lock(&self.by_target);
        let can_withdraw = by_organisation.can_withdraw(organisation, failure)
            && by_target.can_withdraw(&target, failure);
        if can_withdraw {
            by_organisation.withdraw(organisation, failure);
            by_target.withdraw(&target, failure);
        }
        can_withdraw
    }
}

/// Returns the kind of failure that an error at the start of an attempt stands for.
pub(crate) fn failure_of(error: &StartError) -> Failure {
    match error {
        StartError::Refused { .. } => Failure::Refused,
        // The upstream gave no reply. Whether the request may have run is stated by `Unstarted`.
        StartError::NotSent { .. } | StartError::NoAnswer { .. } => Failure::Lost,
    }
}

/// Ends a request that is not attempted again after `failure`.
///
/// `Unstarted` means that no attempt is in progress; as [`Unstarted::Lost`], the request may have
/// run in an earlier attempt.
pub(crate) fn give_up(state: Unstarted, failure: Failure) -> Ending {
    match (state, failure) {
        (Unstarted::Lost(lost), _) => lost.give_up(ResultCode::UpstreamFailed),
        (Unstarted::Accepted(accepted), Failure::Refused) => {
            accepted.refuse(ResultCode::UpstreamRefused)
        }
        // The upstream could not be reached, so the request did not run.
        (Unstarted::Accepted(accepted), Failure::Lost) => accepted.refuse(ResultCode::NoCapacity),
    }
}

/// Sleeps for the backoff and returns `true` if another attempt is allowed. Returns `false` at once
/// if the backoff would reach the deadline or a retry budget is used up.
pub(crate) fn pause_before_retry(
    shared: &Shared,
    context: &Context,
    target: &str,
    failure: Failure,
    failures: u32,
) -> bool {
    let delay_ms = backoff_ms(failures, &mut rand::rng());
    if delay_ms >= context.deadline.remaining_ms(shared.now()) {
        return false;
    }
    if !shared
        .retries
        .withdraw(&context.organisation, target, failure)
    {
        shared.metrics.count("retries_refused");
        return false;
    }
    shared.metrics.count("retries");
    shared.sleep_ms(delay_ms);
    true
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
