//! The load tool gives the same figures for the same seed.

use jacinthpoint_admission::GateSettings;
use jacinthpoint_standins::load::{Fault, Retrying, RouterKind, Scenario, Shape, arrivals, run};

macro_rules! scenario_test {
    ($name:ident, $scenario:expr) => {
        #[test]
        fn $name() {
            let scenario = $scenario;
            let first = run(&scenario);
            let second = run(&scenario);
            assert_eq!(first.report.csv(), second.report.csv());
            let counted = arrivals_counted(&scenario);
            assert_eq!(
                first.report.total().offered,
                counted,
                "each request ends once"
            );
        }
    };
}

fn small(load_factor: f64) -> Scenario {
    Scenario {
        groups: 8,
        slots: 4,
        duration_ms: 20_000,
        warm_up_ms: 2_000,
        cool_down_ms: 2_000,
        ..Scenario::new(7, Shape::tongyeong(), load_factor)
    }
}

fn arrivals_counted(scenario: &Scenario) -> u64 {
    let all = scenario.arrivals();
    all.iter().filter(|a| scenario.counts(a.at_ms)).count() as u64
}

scenario_test!(calm, small(0.5));
scenario_test!(overloaded, small(2.0));
scenario_test!(
    gated_with_retries,
    Scenario {
        gate: Some(GateSettings::default()),
        retrying: Retrying::WhenTold,
        ..small(2.0)
    }
);
scenario_test!(
    with_faults,
    Scenario {
        faults: vec![
            (5_000, Fault::Kill(0, 4)),
            (8_000, Fault::Straggle(5, 5.0)),
            (9_000, Fault::ErrorFast(6)),
            (10_000, Fault::FreezeReports),
            (12_000, Fault::Revive(0, 4)),
        ],
        router: RouterKind::TwoByEstimate,
        gate: Some(GateSettings::default()),
        ..small(0.7)
    }
);

#[test]
fn burst_raises_the_rate_only_while_it_lasts() {
    let shape = Shape::coralbank().with_burst(10_000, 20_000, 3.0);
    let all = arrivals(&shape, 200.0, 30_000, 3);
    let in_burst = all.iter().filter(|a| (10_000..20_000).contains(&a.at_ms));
    let in_burst = in_burst.count() as f64;
    let outside = all.len() as f64 - in_burst;
    // 6,000 and 4,000 are expected; four standard deviations are under 400.
    assert!((in_burst - 6_000.0).abs() < 400.0, "{in_burst}");
    assert!((outside - 4_000.0).abs() < 400.0, "{outside}");
}
