//! When a refused caller is told to come back.

use rand::Rng;

/// Shortest time, since the header counts whole seconds.
const MIN_MS: u64 = 1_000;
/// Longest time: a caller that is told more looks for another desk.
const MAX_MS: u64 = 60_000;

/// Time until a refused caller shall come back: between once and twice the expected wait.
///
/// Callers refused in the same moment would otherwise all return in the same second.
pub fn retry_after_ms(expected_wait_ms: u64, rng: &mut impl Rng) -> u64 {
    let base_ms = expected_wait_ms.clamp(MIN_MS, MAX_MS);
    rng.random_range(base_ms..=2 * base_ms)
}
