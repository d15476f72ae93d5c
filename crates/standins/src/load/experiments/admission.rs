//! Experiments on admission.

use jacinthpoint_admission::{GateSettings, LayerMode, ShedSettings};
use jacinthpoint_types::OrganisationId;

use crate::load::{
    experiments::{Row, row},
    scenario::{Fault, Retrying, Scenario},
    shape::Shape,
};

/// Start of a disturbance.
const BURST_FROM_MS: u64 = 40_000;
/// End of it.
const BURST_UNTIL_MS: u64 = 60_000;

/// A gate with every layer off.
fn open_gate() -> GateSettings {
    GateSettings {
        concurrency_mode: LayerMode::Off,
        reservation_mode: LayerMode::Off,
        shedding_mode: LayerMode::Off,
        deadline_mode: LayerMode::Off,
        max_queued: usize::MAX,
        ..GateSettings::default()
    }
}

/// A gate with every layer enforced.
fn all_layers() -> GateSettings {
    GateSettings {
        reservation_mode: LayerMode::Enforce,
        shedding_mode: LayerMode::Enforce,
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
        deadline_mode: LayerMode::Enforce,
        ..adaptive
    };
    let shedding = GateSettings {
        shedding_mode: LayerMode::Enforce,
        ..deadlines
    };
    let reservation = GateSettings {
        reservation_mode: LayerMode::Enforce,
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
pub(super) fn overload(seed: u64, fifo_engines: bool) -> Vec<Row> {
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
pub(super) fn reservation(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (shape_name, shape) in [
        ("coralbank", Shape::coralbank()),
        ("tongyeong", Shape::tongyeong()),
    ] {
        for reserved_share in [0.0, 0.05, 0.1, 0.2] {
            let mut scenario = Scenario::new(seed, shape.clone(), 2.0);
            scenario.gate = Some(GateSettings {
                reservation_mode: LayerMode::Enforce,
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
pub(super) fn fairness(seed: u64) -> Vec<Row> {
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
pub(super) fn flapping(seed: u64) -> Vec<Row> {
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
            shedding_mode: LayerMode::Enforce,
            ..GateSettings::default()
        });
        row(format!("restored {name}"), &scenario)
    });
    rows.to_vec()
}

/// A flash of desk traffic; refused callers come back.
pub(super) fn burst(seed: u64) -> Vec<Row> {
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
pub(super) fn half_dead(seed: u64) -> Vec<Row> {
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
