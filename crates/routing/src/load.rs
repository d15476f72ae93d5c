//! Estimate of a candidate's load from the node's own requests and the last report.

/// Age at which a report has half its weight. In this time, a large part of the requests at a group
/// end and others start.
const REPORT_HALF_LIFE_MS: f64 = 1_000.0;

/// Returns the estimated number of requests of all nodes at a candidate.
///
/// `in_flight`, the number of the node's own requests, is exact and counts in full. `reported` is
/// the number of requests of all nodes in the last report. Its part above `in_flight` is taken as
/// the requests of other nodes and discounted by the age of the report. Without the discount, if
/// reports stopped, the last one would attract requests to a candidate, or keep them away, for
/// ever.
pub fn estimated_load(in_flight: u32, reported: u32, report_age_ms: u64) -> f64 {
    let of_others = f64::from(reported.saturating_sub(in_flight));
    let weight = 0.5_f64.powf(report_age_ms as f64 / REPORT_HALF_LIFE_MS);
    f64::from(in_flight) + of_others * weight
}
