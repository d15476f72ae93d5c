//! Rate and concurrency limits of organisations, checked when a request is accepted.

use std::sync::{Mutex, MutexGuard, PoisonError};

use jacinthpoint_admission::{
    LimitRefusal, Limiter, LimiterSettings, Limits, PerSecond, ShareAllocator, Verdict,
    retry_after_ms,
};
use jacinthpoint_records::{Config, Organisation};
use jacinthpoint_types::{OrganisationId, ResultCode, TimeMs};
use serde_json::Value;

use crate::{
    caller::{answer::ErrorAnswer, context::Context},
    events::log_event,
    shared::Shared,
};

/// Number of limiter shards. Sharding keeps requests of different organisations from contending for
/// one lock.
const SHARDS: usize = 8;

/// Limiters of this node's requests, and the shares it allocates as a home node.
pub(crate) struct LimitState {
    shards: Vec<Mutex<Limiter>>,
    share_allocator: Mutex<ShareAllocator>,
}

impl LimitState {
    pub(crate) fn new(settings: LimiterSettings, now: TimeMs) -> LimitState {
        let shards = (0..SHARDS).map(|_| Mutex::new(Limiter::new(settings)));
        LimitState {
            shards: shards.collect(),
            share_allocator: Mutex::new(ShareAllocator::new(now)),
        }
    }

    /// Locks the allocator for the organisations whose home node is this one.
    pub(crate) fn share_allocator(&self) -> MutexGuard<'_, ShareAllocator> {
        self.share_allocator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the limiter shard that counts an organisation's requests.
    pub(crate) fn lock_limiter_of(&self, organisation: &OrganisationId) -> MutexGuard<'_, Limiter> {
        let hash = jacinthpoint_types::rendezvous_weight("limits", organisation.as_str());
        let shard = &self.shards[hash as usize % SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the limiter shards one after the other.
    pub(crate) fn shards(&self) -> impl Iterator<Item = MutexGuard<'_, Limiter>> {
        self.shards
            .iter()
            .map(|shard| shard.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Returns the limits that the configuration declares for an organisation.
pub(crate) fn declared(organisation: &Organisation) -> Limits {
    Limits {
        requests_per_s: organisation.requests_per_s.map(PerSecond),
        tokens_per_s: organisation.tokens_per_s.map(PerSecond),
        concurrency: organisation.concurrency,
    }
}

/// An admitted request, counted in its organisation's limits until dropped.
pub(crate) struct Admitted<'a> {
    shared: &'a Shared,
    organisation: OrganisationId,
    /// Reserved tokens that were not generated; returned to the limiter on drop.
    unused_tokens: u32,
}

impl Admitted<'_> {
    /// Records the number of generated tokens.
    pub(crate) fn record_generated(&mut self, tokens: usize) {
        self.unused_tokens = self.unused_tokens.saturating_sub(tokens as u32);
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        let mut limiter = self.shared.limits.lock_limiter_of(&self.organisation);
        limiter.finish(&self.organisation, self.unused_tokens);
    }
}

/// Admits a request that may generate up to `tokens` tokens.
///
/// # Errors
///
/// Refuses the request with `Paced` and the time until a retry if a limit is reached.
pub(crate) fn admit_request<'a>(
    shared: &'a Shared,
    config: &Config,
    context: &Context,
    tokens: u32,
) -> Result<Admitted<'a>, ErrorAnswer> {
    let organisation = config.organisations.get(&context.organisation);
    // The organisation was found by its key in the same configuration.
    let organisation = organisation.ok_or_else(|| {
        ErrorAnswer::not_run(ResultCode::Internal, "the organisation is not declared")
    })?;
    admit(shared, organisation, tokens)
}

fn admit<'a>(
    shared: &'a Shared,
    organisation: &Organisation,
    tokens: u32,
) -> Result<Admitted<'a>, ErrorAnswer> {
    let name = &organisation.name;
    let limits = declared(organisation);
    let now = shared.now();
    let verdict = shared
        .limits
        .lock_limiter_of(name)
        .admit(name, &limits, tokens, now);
    match verdict {
        Verdict::Admit { watched } => {
            // `watched` is the refusal that a limit in watch mode would have given.
            if let Some(LimitRefusal { kind, .. }) = watched {
                shared.metrics.count("limit_watched");
                log_event!(
                    debug, LimitWatched, organisation = %name, limit = %kind,
                    "admitted, since the limit is not enforced"
                );
            }
            Ok(Admitted {
                shared,
                organisation: name.clone(),
                unused_tokens: tokens,
            })
        }
        Verdict::Refuse(LimitRefusal { kind, wait_ms }) => {
            shared.metrics.count("limit_reached");
            log_event!(
                debug, LimitReached, organisation = %name, limit = %kind,
                "refused at the limit"
            );
            let message = format!("the organisation's limit on {kind} is reached");
            let mut error = ErrorAnswer::not_run(ResultCode::Paced, message);
            error.retry_after_s = Some(retry_after_s(wait_ms));
            Err(error)
        }
    }
}

/// Returns the value of `Retry-After` in seconds for an expected wait.
pub(crate) fn retry_after_s(wait_ms: u64) -> u32 {
    let delay_ms = retry_after_ms(wait_ms, &mut rand::rng());
    u32::try_from(delay_ms.div_ceil(1_000)).unwrap_or(u32::MAX)
}

/// Returns the largest number of tokens that a request may generate: `max_tokens` of its body, or
/// the usual default of engines.
pub(crate) fn max_tokens(body: &Value) -> u32 {
    const DEFAULT_MAX_TOKENS: u64 = 16;
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
