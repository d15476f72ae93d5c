//! Records the times between the tokens of one answer.

use std::time::Instant;

use jacinthpoint_types::{OrganisationId, Priority};

use crate::metrics::Metrics;

/// Number of gaps that are buffered before they are recorded together, so that a stream seldom
/// takes the histogram's lock.
const MAX_BUFFERED_GAPS: usize = 64;

/// Buffers the times between the tokens received for one answer. Buffered times are recorded in the
/// histogram on drop at the latest.
///
/// The gap while an answer moves to another group is recorded, too, since the caller waits for it
/// as well.
#[derive(Debug)]
pub(crate) struct TokenGaps<'a> {
    metrics: &'a Metrics,
    organisation: &'a OrganisationId,
    priority: Priority,
    last_token_at: Option<Instant>,
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
            last_token_at: None,
            gaps_us: Vec::new(),
        }
    }

    /// Records that a token was received now.
    pub(crate) fn record_token(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last_token_at.replace(now) {
            let gap = now.saturating_duration_since(last);
            self.gaps_us.push(gap.as_micros() as u64);
        }
        if self.gaps_us.len() >= MAX_BUFFERED_GAPS {
            self.flush();
        }
    }

    /// Records the buffered times in the histogram.
    pub(crate) fn flush(&mut self) {
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
