//! Estimate of a candidate's load from the node's own requests and the last report.

/// Age at which a report has half its weight. A group ends and starts a large part of its requests
/// in this time.
const REPORT_HALF_LIFE_MS: f64 = 1_000.0;

/// Returns the estimated number of requests on a candidate.
///
/// The node's own requests, `in_flight`, are known and count in full. Those of other nodes are
/// known only from the report, `reported`, which is discounted by its age. Otherwise, if reports
/// stop coming, the last one would attract requests to a candidate, or keep them away, for ever.
pub fn estimated_load(in_flight: u32, reported: u32, report_age_ms: u64) -> f64 {
    let of_others = f64::from(reported.saturating_sub(in_flight));
    let weight = 0.5_f64.powf(report_age_ms as f64 / REPORT_HALF_LIFE_MS);
    f64::from(in_flight) + of_others * weight
}
