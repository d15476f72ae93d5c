//! Named experiments: each compares variants with a baseline on the same arrivals.

use std::fmt::Write;

use jacinthpoint_admission::{GateSettings, LayerMode, ShedSettings};
use jacinthpoint_types::{OrganisationId, Priority};
use strum::IntoEnumIterator;

use crate::load::{
    driver::run,
    routers::RouterKind,
    scenario::{Fault, Outcomes, Retrying, Scenario},
    shape::Shape,
};

/// Start of a disturbance.
const BURST_FROM_MS: u64 = 40_000;
/// End of it.
const BURST_UNTIL_MS: u64 = 60_000;

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
        "routing" => Some(routing(seed)),
        "overload" => Some(overload(seed, false)),
        "overload-fifo" => Some(overload(seed, true)),
        "reservation" => Some(reservation(seed)),
        "fairness" => Some(fairness(seed)),
        "flapping" => Some(flapping(seed)),
        "burst" => Some(burst(seed)),
        "half-dead" => Some(half_dead(seed)),
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

/// A gate with every layer off.
fn open_gate() -> GateSettings {
    GateSettings {
        concurrency_mode: LayerMode::Off,
        reservation: LayerMode::Off,
        shedding: LayerMode::Off,
        deadlines: LayerMode::Off,
        max_queued: usize::MAX,
        ..GateSettings::default()
    }
}

/// A gate with every layer enforced.
fn all_layers() -> GateSettings {
    GateSettings {
        reservation: LayerMode::Enforce,
        shedding: LayerMode::Enforce,
        ..GateSettings::default()
    }
}

/// Gates with one more layer each, after no gate at all.
fn gates() -> Vec<(&'static str, Option<GateSettings>)> {
    let adaptive = GateSettings {
        concurrency_mode: LayerMode::Enforce,
        ..open_gate()
    };
    let deadlines = GateSettings {
        deadlines: LayerMode::Enforce,
        ..adaptive
    };
    let shedding = GateSettings {
        shedding: LayerMode::Enforce,
        ..deadlines
    };
    let reservation = GateSettings {
        reservation: LayerMode::Enforce,
        ..deadlines
    };
    vec![
        ("no gate", None),
        ("queue + adaptive", Some(adaptive)),
        (".. + deadlines", Some(deadlines)),
        (".. + deadlines + shedding", Some(shedding)),
        (".. + deadlines + reservation", Some(reservation)),
        ("all", Some(all_layers())),
    ]
}

/// Layers of the gate at several loads, with engines that honour priorities or do not.
fn overload(seed: u64, fifo_engines: bool) -> Vec<Row> {
    let mut rows = Vec::new();
    for load_factor in [0.5, 0.9, 1.2, 2.0] {
        for (name, gate) in gates() {
            let mut scenario = Scenario::new(seed, Shape::coralbank(), load_factor);
            scenario.gate = gate;
            scenario.fifo_engines = fifo_engines;
            rows.push(row(format!("{name} at {load_factor}"), &scenario));
        }
    }
    rows
}

/// Critical work at twice the capacity, with and without capacity kept for it.
fn reservation(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (shape_name, shape) in [
        ("coralbank", Shape::coralbank()),
        ("tongyeong", Shape::tongyeong()),
    ] {
        for reserved_share in [0.0, 0.05, 0.1, 0.2] {
            let mut scenario = Scenario::new(seed, shape.clone(), 2.0);
            scenario.gate = Some(GateSettings {
                reservation: LayerMode::Enforce,
                reserved_share,
                ..GateSettings::default()
            });
            rows.push(row(
                format!("{shape_name} keeps {reserved_share}"),
                &scenario,
            ));
        }
    }
    rows
}

/// One organisation sends 20 times its share. The figures are those of the others.
fn fairness(seed: u64) -> Vec<Row> {
    let mut shape = Shape::coralbank();
    shape.organisations[0].weight *= 20.0;
    let flooding: OrganisationId = shape.organisations[0]
        .name
        .parse()
        .expect("shapes use valid names");
    // What the others send stays at half of the capacity.
    let weights = shape.organisations.iter().map(|o| o.weight);
    let load_factor = 0.5 * weights.sum::<f64>() / 14.0;
    let rows = gates().into_iter().map(|(name, gate)| {
        let mut scenario = Scenario::new(seed, shape.clone(), load_factor);
        scenario.gate = gate;
        let mut row = row(name.to_owned(), &scenario);
        row.outcomes.report.remove(&flooding);
        row
    });
    rows.collect()
}

/// Shedding that is restored fast and slowly, under a load that swings around the capacity.
fn flapping(seed: u64) -> Vec<Row> {
    let mut shape = Shape::coralbank();
    for wave in 0..6 {
        shape = shape.with_burst(30_000 + wave * 45_000, 55_000 + wave * 45_000, 1.6);
    }
    let speeds = [
        ("fast", 0.5),
        ("as fast as it rises", 0.2),
        ("slow", 0.02),
        ("slower", 0.005),
    ];
    let rows = speeds.map(|(name, fall_per_s)| {
        let mut scenario = Scenario::new(seed, shape.clone(), 0.9);
        scenario.duration_ms = 300_000;
        scenario.gate = Some(GateSettings {
            shed: ShedSettings {
                fall_per_s,
                ..ShedSettings::default()
            },
            shedding: LayerMode::Enforce,
            ..GateSettings::default()
        });
        row(format!("restored {name}"), &scenario)
    });
    rows.to_vec()
}

/// A flash of desk traffic; refused callers come back.
fn burst(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (retry_name, retrying) in [
        ("never retry", Retrying::Never),
        ("retry when told", Retrying::WhenTold),
        ("retry every 200 ms", Retrying::AfterMs(200)),
    ] {
        for (name, gate) in [
            ("no gate", None),
            ("default", Some(GateSettings::default())),
        ] {
            let shape = Shape::coralbank().with_burst(BURST_FROM_MS, BURST_UNTIL_MS, 4.0);
            let mut scenario = Scenario::new(seed, shape, 0.7);
            scenario.gate = gate;
            scenario.retrying = retrying;
            let mut row = row(format!("{name}, {retry_name}"), &scenario);
            row.recovery_s = row
                .outcomes
                .recovery_s(BURST_UNTIL_MS as usize / 1_000, 0.95);
            rows.push(row);
        }
    }
    rows
}

/// Half of the groups die at half load and come back later.
fn half_dead(seed: u64) -> Vec<Row> {
    let gates = [
        ("no gate", None),
        ("default", Some(GateSettings::default())),
    ];
    let rows = gates.map(|(name, gate)| {
        let mut scenario = Scenario::new(seed, Shape::coralbank(), 0.8);
        scenario.gate = gate;
        scenario.faults = vec![
            (BURST_FROM_MS, Fault::Kill(0, 25)),
            (BURST_UNTIL_MS, Fault::Revive(0, 25)),
        ];
        let mut row = row(name.to_owned(), &scenario);
        row.recovery_s = row
            .outcomes
            .recovery_s(BURST_UNTIL_MS as usize / 1_000, 0.95);
        row
    });
    rows.to_vec()
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
         refused  after95 cached flaps recovery\n",
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
        "{:36} {:6.3} {:6.3} {:6.3} {:6.3} {:6.3} {:7} {:7} {:7} {:7} {:7} {:7.3} {:8} {:6.3} {:5} {:>8}",
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
        row.outcomes.flaps,
        recovery,
    );
}
