//! Named experiments: each compares variants with a baseline on the same arrivals.

use std::fmt::Write;

use strum::IntoEnumIterator;

use crate::load::{
    driver::{Outcomes, Scenario, run},
    routers::RouterKind,
    shape::Shape,
};

/// One variant's figures.
#[derive(Debug, Clone)]
pub struct Row {
    /// What was run.
    pub variant: String,
    /// What came of it.
    pub outcomes: Outcomes,
}

/// Names of the experiments.
pub fn experiment_names() -> &'static [&'static str] {
    &["routing"]
}

/// Runs an experiment; `None` if there is none of this name. The first row is the baseline.
pub fn experiment(name: &str, seed: u64) -> Option<Vec<Row>> {
    match name {
        "routing" => Some(routing(seed)),
        _ => None,
    }
}

/// All routers at several loads, without admission.
fn routing(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for load_factor in [0.5, 0.9, 1.2, 2.0] {
        for router in RouterKind::iter() {
            let mut scenario = Scenario::new(seed, Shape::coralbank(), load_factor);
            scenario.router = router;
            rows.push(row(format!("{router} at {load_factor}"), &scenario));
        }
    }
    rows
}

fn row(variant: String, scenario: &Scenario) -> Row {
    Row {
        variant,
        outcomes: run(scenario),
    }
}

/// The rows as a table.
pub fn table(rows: &[Row]) -> String {
    let mut page = String::from(
        "variant                              goodput critical    p50    p95     p99  cached\n",
    );
    for row in rows {
        let total = row.outcomes.report.total();
        let critical = row
            .outcomes
            .report
            .sum(|_, priority| priority == jacinthpoint_types::Priority::Critical);
        let cached = row.outcomes.cache_hits as f64 / row.outcomes.started.max(1) as f64;
        let quantile = |q| total.first_token_ms.value_at_quantile(q);
        let _ = writeln!(
            page,
            "{:36} {:7.3} {:8.3} {:6} {:6} {:7} {:7.3}",
            row.variant,
            total.goodput(),
            critical.goodput(),
            quantile(0.5),
            quantile(0.95),
            quantile(0.99),
            cached,
        );
    }
    page
}
