//! Counters and latency histograms, rendered as text for the metrics address.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write};

use hdrhistogram::Histogram;

/// Largest latency that a histogram resolves; longer ones are recorded as this one.
const MAX_LATENCY_MS: u64 = 60_000;
/// Number of histograms that are kept. Further organisations and routes share one histogram per
/// name, labelled `other`.
const MAX_SERIES: usize = 64;
/// Quantiles that are rendered for each histogram.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Name, organisation and route of a histogram.
type SeriesKey = (&'static str, String, String);

/// Counters by name and label, and histograms by name, organisation and route.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    counters: RefCell<BTreeMap<(&'static str, String), u64>>,
    histograms: RefCell<BTreeMap<SeriesKey, Histogram<u64>>>,
}

/// Returns the value of a label as it stands between quotation marks.
fn escaped(value: &str) -> String {
    let value = value.replace('\\', r"\\").replace('"', "\\\"");
    value.replace('\n', r"\n")
}

impl Metrics {
    /// Increments the counter `name` with this label.
    pub(crate) fn count(&self, name: &'static str, label: &str) {
        let mut counters = self.counters.borrow_mut();
        *counters.entry((name, label.to_owned())).or_default() += 1;
    }

    /// Records a latency in milliseconds in the histogram of an organisation and route.
    pub(crate) fn record(&self, name: &'static str, organisation: &str, route: &str, ms: u64) {
        let mut histograms = self.histograms.borrow_mut();
        let is_full = histograms.len() >= MAX_SERIES;
        let mut key = (name, organisation.to_owned(), route.to_owned());
        if is_full && !histograms.contains_key(&key) {
            key = (name, "other".to_owned(), "other".to_owned());
        }
        let histogram = histograms.entry(key).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY_MS, 2)
                .expect("the histogram bounds are valid")
        });
        histogram.saturating_record(ms);
    }

    /// Returns all counters, histograms and the given gauges as text, one value a line.
    pub(crate) fn render(&self, gauges: &[(&str, f64)]) -> String {
        let mut text = String::new();
        for ((name, label), count) in self.counters.borrow().iter() {
            let label = escaped(label);
            let _ = writeln!(
                text,
                "jacinthpoint_{name}_total{{label=\"{label}\"}} {count}"
            );
        }
        for ((name, organisation, route), histogram) in self.histograms.borrow().iter() {
            // The label `class` holds the route's name.
            let (organisation, route) = (escaped(organisation), escaped(route));
            let labels = format!("organisation=\"{organisation}\",class=\"{route}\"");
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "jacinthpoint_{name}_ms{{{labels},quantile=\"{quantile}\"}} {value}"
                );
            }
            let _ = writeln!(
                text,
                "jacinthpoint_{name}_ms_count{{{labels}}} {}",
                histogram.len()
            );
        }
        for (name, value) in gauges {
            let _ = writeln!(text, "jacinthpoint_{name} {value}");
        }
        text
    }
}
