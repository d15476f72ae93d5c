//! Named experiments: each compares variants with a baseline on the same arrivals.

use std::fmt::Write;

use jacinthpoint_types::Priority;

use crate::load::{
    driver::run,
    scenario::{Outcomes, Scenario},
};

mod admission;
mod routing;

/// One variant's figures.
#[derive(Debug, Clone)]
pub struct Row {
    /// What was run.
    pub variant: String,
    /// What came of it.
    pub outcomes: Outcomes,
    /// Seconds until goodput was back, where the experiment asks for it.
    pub recovery_s: Option<usize>,
}

/// Names of the experiments.
pub fn experiment_names() -> &'static [&'static str] {
    &[
        "routing",
        "overload",
        "reservation",
        "flapping",
        "burst",
        "half-dead",
    ]
}

/// Runs an experiment; `None` if there is none of this name. The first row is the baseline.
pub fn experiment(name: &str, seed: u64) -> Option<Vec<Row>> {
    match name {
        "routing" => Some(routing::routing(seed)),
        "overload" => Some(admission::overload(seed, false)),
        "overload-fifo" => Some(admission::overload(seed, true)),
        "reservation" => Some(admission::reservation(seed)),
        "fairness" => Some(admission::fairness(seed)),
        "flapping" => Some(admission::flapping(seed)),
        "burst" => Some(admission::burst(seed)),
        "faults" => Some(routing::faults(seed)),
        "skew" => Some(routing::skew(seed)),
        "half-dead" => Some(admission::half_dead(seed)),
        _ => None,
    }
}

fn row(variant: String, scenario: &Scenario) -> Row {
    Row {
        variant,
        outcomes: run(scenario),
        recovery_s: None,
    }
}

/// The rows as a table.
pub fn table(rows: &[Row]) -> String {
    let mut page = String::from(
        "variant                              goodput   crit   high normal  batch  crit95  crit99  high95     p95     p99 \
         refused  after95 cached   near flaps recovery\n",
    );
    for row in rows {
        write_row(&mut page, row);
    }
    page
}

fn write_row(page: &mut String, row: &Row) {
    let report = &row.outcomes.report;
    let total = report.total();
    let of_class = |wanted| report.sum(|_, priority| priority == wanted);
    let goodput = |wanted| of_class(wanted).goodput();
    let quantile = |q| total.first_token_ms.value_at_quantile(q);
    let of_critical = of_class(Priority::Critical).first_token_ms;
    let of_high = of_class(Priority::High).first_token_ms;
    let recovery = row.recovery_s.map_or("-".to_owned(), |s| format!("{s} s"));
    let _ = writeln!(
        page,
        "{:36} {:6.3} {:6.3} {:6.3} {:6.3} {:6.3} {:7} {:7} {:7} {:7} {:7} {:7.3} {:8} {:6.3} {:6.3} {:5} {:>8}",
        row.variant,
        total.goodput(),
        goodput(Priority::Critical),
        goodput(Priority::High),
        goodput(Priority::Normal),
        goodput(Priority::Batch),
        of_critical.value_at_quantile(0.95),
        of_critical.value_at_quantile(0.99),
        of_high.value_at_quantile(0.95),
        quantile(0.95),
        quantile(0.99),
        total.shed as f64 / total.offered.max(1) as f64,
        total.shed_after_ms.value_at_quantile(0.95),
        row.outcomes.cache_hits as f64 / row.outcomes.started.max(1) as f64,
        row.outcomes.near_attempts as f64 / row.outcomes.started.max(1) as f64,
        row.outcomes.flaps,
        recovery,
    );
}
