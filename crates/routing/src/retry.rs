//! Limits on retries after failed attempts, and the pause before a retry.
//!
//! A retry takes tokens from two budgets that ordinary requests fill. The budget of the
//! organisation keeps an organisation whose requests fail from using up the retries of the others.
//! The budget of the target keeps retries from multiplying an overload. A retry after a refusal by
//! a saturated upstream costs more tokens than one after the loss of a machine, which is sent to
//! another machine.

use std::collections::BTreeMap;

use rand::Rng;

/// Tokens that each request adds to its budgets.
const DEPOSIT: f64 = 0.1;
/// Largest number of tokens in a budget. Budgets start full.
const MAX_TOKENS: f64 = 10.0;
/// Longest pause after the first failure.
const BASE_PAUSE_MS: u64 = 20;
/// Longest pause, however many failures there were.
const MAX_PAUSE_MS: u64 = 500;

/// Reason for which an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The upstream refused the request, which indicates overload.
    Refused,
    /// The upstream could not be reached, or the connection was lost during the attempt.
    Lost,
}

impl Failure {
    /// Returns the tokens that a retry takes from each budget. A retry after a refusal costs one
    /// token, which limits such retries to a tenth of the requests plus [`MAX_TOKENS`]. A retry
    /// after a loss costs what a request deposits, so that each request can be retried once.
    fn cost(self) -> f64 {
        match self {
            Failure::Refused => 1.0,
            Failure::Lost => DEPOSIT,
        }
    }
}

/// Retry budgets by organisation or by target, in tokens. Budgets are never removed, so keys must
/// be names from the configuration, which bounds their number.
#[derive(Debug)]
pub struct RetryBudgets<K> {
    /// Tokens by key. A budget without an entry is full.
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
    /// Records a request, which adds tokens to its budget.
    pub fn on_request(&mut self, key: &K) {
        if let Some(tokens) = self.tokens.get_mut(key) {
            *tokens = (*tokens + DEPOSIT).min(MAX_TOKENS);
        }
    }

    /// Returns whether the budget has the tokens for a retry after `failure`.
    pub fn can_withdraw(&self, key: &K, failure: Failure) -> bool {
        // Ten deposits of 0.1 do not add up to exactly 1.0.
        const ROUNDING: f64 = 1e-9;
        let tokens = self.tokens.get(key).copied().unwrap_or(MAX_TOKENS);
        tokens + ROUNDING >= failure.cost()
    }

    /// Takes the tokens for a retry after `failure` from the budget.
    pub fn withdraw(&mut self, key: &K, failure: Failure) {
        let tokens = self.tokens.entry(key.clone()).or_insert(MAX_TOKENS);
        *tokens = (*tokens - failure.cost()).max(0.0);
    }
}

/// Returns the pause in ms before the next attempt after `failures` failed ones. It is drawn evenly
/// from zero to a limit that doubles with each failure, so that requests that failed together are
/// not retried together.
pub fn backoff_ms(failures: u32, rng: &mut impl Rng) -> u64 {
    let doublings = failures.saturating_sub(1).min(16);
    let limit_ms = (BASE_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
    rng.random_range(0..=limit_ms)
}
