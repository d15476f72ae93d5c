//! Experiments on the choice of a group.

use strum::IntoEnumIterator;

use crate::load::{
    experiments::{Row, row},
    routers::RouterKind,
    scenario::{Fault, Scenario},
    shape::Shape,
};

/// All routers at several loads, without admission.
pub(super) fn routing(seed: u64) -> Vec<Row> {
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

/// Reports that freeze or lie, and a straggler, at 0.7 of the capacity.
pub(super) fn faults(seed: u64) -> Vec<Row> {
    let faults = [
        ("no fault", None),
        ("frozen reports", Some(Fault::FreezeReports)),
        ("lying group", Some(Fault::ErrorFast(0))),
        ("straggler", Some(Fault::Straggle(0, 8.0))),
    ];
    let routers = [
        (RouterKind::RoundRobin, false),
        (RouterKind::LeastReported, false),
        (RouterKind::TwoByEstimate, false),
        (RouterKind::TwoByEstimate, true),
        (RouterKind::Affinity, true),
    ];
    let mut rows = Vec::new();
    for (fault_name, fault) in faults {
        for (router, ejects) in routers {
            let mut scenario = Scenario::new(seed, Shape::coralbank(), 0.7);
            scenario.router = router;
            scenario.ejects = ejects;
            scenario.faults = fault.map(|fault| (10_000, fault)).into_iter().collect();
            let ejecting = if ejects { ", ejects" } else { "" };
            rows.push(row(format!("{fault_name}: {router}{ejecting}"), &scenario));
        }
    }
    rows
}

/// Half of all arrivals on one node, so that its data centre gets more than its part.
pub(super) fn skew(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for load_factor in [0.5, 0.9] {
        for router in [RouterKind::TwoByEstimate, RouterKind::NearFirst] {
            for (name, share) in [("even", None), ("half on one node", Some(0.5))] {
                let mut scenario = Scenario::new(seed, Shape::coralbank(), load_factor);
                scenario.router = router;
                scenario.first_node_share = share;
                rows.push(row(format!("{router}, {name} at {load_factor}"), &scenario));
            }
        }
    }
    rows
}
