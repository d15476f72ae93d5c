//! Times between the tokens of one answer.

use std::time::Instant;

use jacinthpoint_types::{OrganisationId, Priority};

use crate::metrics::Metrics;

/// Gaps kept before they go to the histogram together, so that a stream seldom takes its lock.
const KEPT_GAPS: usize = 64;

/// Takes the time of each token that goes to the caller. What is kept goes to the histogram at the
/// latest when this is dropped.
///
/// The gap before a stream goes on elsewhere counts like any other: the caller waits for it too.
#[derive(Debug)]
pub(crate) struct TokenGaps<'a> {
    metrics: &'a Metrics,
    organisation: &'a OrganisationId,
    priority: Priority,
    last: Option<Instant>,
    gaps_us: Vec<u64>,
}

impl<'a> TokenGaps<'a> {
    pub(crate) fn new(
        metrics: &'a Metrics,
        organisation: &'a OrganisationId,
        priority: Priority,
    ) -> TokenGaps<'a> {
        TokenGaps {
            metrics,
            organisation,
            priority,
            last: None,
            gaps_us: Vec::new(),
        }
    }

    /// Notes that a token goes out now.
    pub(crate) fn token(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last.replace(now) {
            let gap = now.saturating_duration_since(last);
            self.gaps_us.push(gap.as_micros() as u64);
        }
        if self.gaps_us.len() >= KEPT_GAPS {
            self.flush();
        }
    }

    fn flush(&mut self) {
        let gaps_us = std::mem::take(&mut self.gaps_us);
        if !gaps_us.is_empty() {
            self.metrics
                .record_token_gaps(self.organisation, self.priority, &gaps_us);
        }
    }
}

impl Drop for TokenGaps<'_> {
    fn drop(&mut self) {
        self.flush();
    }
}
