//! Histograms of one organisation and priority class, and their text on the `/metrics` page.

use std::{collections::BTreeMap, fmt::Write};

use hdrhistogram::Histogram;
use jacinthpoint_types::{OrganisationId, Priority};

/// Largest recorded time, in microseconds; longer times are recorded as this.
const MAX_US: u64 = 600_000_000;
/// Significant decimal digits of recorded times; with two, a histogram takes about 20 KiB.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles on the page.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 1.0];
/// Upper bounds of the buckets on the page. Buckets of several nodes can be added, quantiles
/// cannot. The bounds include the targets for the time between tokens (26 ms) and to the first
/// token (580 ms).
const BUCKETS_US: [u64; 14] = [
    1_000,
    2_000,
    5_000,
    10_000,
    26_000,
    50_000,
    100_000,
    250_000,
    580_000,
    1_000_000,
    2_500_000,
    10_000_000,
    30_000_000,
    120_000_000,
];

/// Times and outcomes of the requests of one organisation and priority class.
#[derive(Debug)]
pub(super) struct Series {
    pub(super) first_token_us: Histogram<u64>,
    pub(super) token_gap_us: Histogram<u64>,
    pub(super) whole_answer_us: Histogram<u64>,
    /// Number of ended requests by outcome.
    pub(super) ended: BTreeMap<&'static str, u64>,
}

impl Series {
    pub(super) fn new() -> Series {
        let histogram = || {
            Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are constant and valid")
        };
        Series {
            first_token_us: histogram(),
            token_gap_us: histogram(),
            whole_answer_us: histogram(),
            ended: BTreeMap::new(),
        }
    }

    /// Writes the series to the page, one value per line.
    pub(super) fn write(&self, page: &mut String, organisation: &OrganisationId, class: Priority) {
        let labels = format!("organisation=\"{organisation}\",class=\"{class}\"");
        for (outcome, count) in &self.ended {
            let _ = writeln!(
                page,
                "requests_ended{{{labels},outcome=\"{outcome}\"}} {count}"
            );
        }
        write_histogram(page, "first_token_us", &labels, &self.first_token_us);
        write_histogram(page, "token_gap_us", &labels, &self.token_gap_us);
        write_histogram(page, "whole_answer_us", &labels, &self.whole_answer_us);
    }
}

fn write_histogram(page: &mut String, name: &str, labels: &str, histogram: &Histogram<u64>) {
    for quantile in QUANTILES {
        let value = histogram.value_at_quantile(quantile);
        let _ = writeln!(page, "{name}{{{labels},quantile=\"{quantile}\"}} {value}");
    }
    for bound in BUCKETS_US {
        let count = histogram.count_between(0, bound);
        let _ = writeln!(page, "{name}_bucket{{{labels},le=\"{bound}\"}} {count}");
    }
    let count = histogram.len();
    let _ = writeln!(page, "{name}_bucket{{{labels},le=\"+Inf\"}} {count}");
    let _ = writeln!(page, "{name}_count{{{labels}}} {count}");
}
