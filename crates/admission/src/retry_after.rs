//! Retry delay for refused callers.

use rand::Rng;

/// Smallest base delay: the `Retry-After` header counts whole seconds.
const MIN_BASE_MS: u64 = 1_000;
/// Largest base delay: with a longer one the caller takes its request to another provider.
const MAX_BASE_MS: u64 = 60_000;

/// Returns the delay in milliseconds after which a refused caller should retry: a random time
/// between once and twice the expected wait, which is first clamped to 1 s to 60 s.
///
/// Without the jitter, callers that are refused at the same moment would all retry in the same
/// second.
pub fn retry_after_ms(expected_wait_ms: u64, rng: &mut impl Rng) -> u64 {
    let base_ms = expected_wait_ms.clamp(MIN_BASE_MS, MAX_BASE_MS);
    rng.random_range(base_ms..=2 * base_ms)
}
