//! Load of a candidate, from what the node knows itself and what was reported.

/// Age at which a report counts half. A group turns over a good part of its work in this time.
const REPORT_HALF_LIFE_MS: f64 = 1_000.0;

/// Requests that are probably on a candidate now.
///
/// The node's own requests are known and count whole. What others have there is known only from
/// the report, which is discounted by its age: a report that has stopped coming must not keep
/// sending work to, or away from, one place for ever.
pub fn estimated_load(in_flight: u32, reported: u32, report_age_ms: u64) -> f64 {
    let of_others = f64::from(reported.saturating_sub(in_flight));
    let weight = 0.5_f64.powf(report_age_ms as f64 / REPORT_HALF_LIFE_MS);
    f64::from(in_flight) + of_others * weight
}
