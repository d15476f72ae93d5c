//! Whether a failed attempt may be followed by another, and when.
//!
//! Retries are paid from budgets that ordinary requests fill: one for the organisation, so that a
//! customer in trouble does not use up the others' retries, and one for the target, so that
//! retries never multiply an overload. A refusal by a saturated upstream is dear; the loss of a
//! machine, after which the next choice is another machine, is cheap.

use std::collections::BTreeMap;

use rand::Rng;

/// Each request adds this to its budgets.
const DEPOSIT: f64 = 0.1;
/// A budget never holds more, and starts full.
const MAX_TOKENS: f64 = 10.0;
/// Limit of the first pause.
const BASE_PAUSE_MS: u64 = 20;
/// Limit of any pause.
const MAX_PAUSE_MS: u64 = 500;

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The upstream refused the request: a sign of overload.
    Refused,
    /// The upstream could not be reached, or was lost on the way.
    Lost,
}

impl Failure {
    /// What a retry costs each budget. With a cost of one, retries after refusals stay below a
    /// tenth of the requests; with that of a loss, each request may be retried once.
    fn cost(self) -> f64 {
        match self {
            Failure::Refused => 1.0,
            Failure::Lost => DEPOSIT,
        }
    }
}

/// Budgets by organisation or by target. There are as many as the configuration names.
#[derive(Debug)]
pub struct RetryBudgets<K> {
    tokens: BTreeMap<K, f64>,
}

impl<K> Default for RetryBudgets<K> {
    fn default() -> RetryBudgets<K> {
        RetryBudgets {
            tokens: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> RetryBudgets<K> {
    /// Takes in a request.
    pub fn on_request(&mut self, key: &K) {
        if let Some(tokens) = self.tokens.get_mut(key) {
            *tokens = (*tokens + DEPOSIT).min(MAX_TOKENS);
        }
    }

    /// Whether a retry can be paid.
    pub fn can_withdraw(&self, key: &K, failure: Failure) -> bool {
        // Sums of tenths are not exact.
        const ROUNDING: f64 = 1e-9;
        let tokens = self.tokens.get(key).copied().unwrap_or(MAX_TOKENS);
        tokens + ROUNDING >= failure.cost()
    }

    /// Pays for a retry.
    pub fn withdraw(&mut self, key: &K, failure: Failure) {
        let tokens = self.tokens.entry(key.clone()).or_insert(MAX_TOKENS);
        *tokens = (*tokens - failure.cost()).max(0.0);
    }
}

/// Pause before the next attempt after `failures` failed ones, drawn evenly from nothing up to a
/// limit that doubles, so that callers who failed together do not come back together.
pub fn backoff_ms(failures: u32, rng: &mut impl Rng) -> u64 {
    let doublings = failures.saturating_sub(1).min(16);
    let limit_ms = (BASE_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
    rng.random_range(0..=limit_ms)
}
