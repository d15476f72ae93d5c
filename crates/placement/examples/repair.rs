//! Measures repair policies on seeded failure traces, and the cost of a controller for domains of
//! 64, 128 and 512 VMs.
//!
//! Run with `cargo run --release -p jacinthpoint-placement --example repair`. The first table is
//! the same on every run; in the second, processor time and memory depend on the machine.

use std::{fs, ops::RangeInclusive, thread, time::Duration};

use jacinthpoint_placement::{Demand, RepairSettings, Repairs, VM_SUSPECT_MS};
use jacinthpoint_types::{Priority, TimeMs};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::driver::{STEP_MS, World, demand};

#[path = "../tests/driver.rs"]
mod driver;

const ACCELERATORS_PER_VM: u64 = 4;
const LOAD_MS: u64 = 30_000;
const REPLACE_MS: u64 = 300_000;
const TRACE_MS: u64 = 3_600_000;
const VMS: usize = 50;
const SEEDS: RangeInclusive<u64> = 1..=3;

/// A fault of one VM.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Pause,
    Death,
    Leave,
}

#[derive(Debug, Clone, Copy)]
struct TraceEvent {
    at_ms: u64,
    vm: usize,
    fault: Fault,
    /// Time for which the VM is absent; for a leave, time for which it still runs.
    duration_ms: u64,
}

/// Number of events of each kind in one kind of trace.
struct TraceKind {
    name: &'static str,
    pauses: usize,
    mean_pause_ms: u64,
    deaths: usize,
    leaves: usize,
    /// Number of VMs of a rack that die at the same time in the middle of the trace.
    burst: usize,
    has_outage: bool,
}

const TRACES: [TraceKind; 3] = [
    TraceKind {
        name: "ordinary",
        pauses: 30,
        mean_pause_ms: 4_000,
        deaths: 8,
        leaves: 4,
        burst: 0,
        has_outage: false,
    },
    TraceKind {
        name: "pauses",
        pauses: 120,
        mean_pause_ms: 12_000,
        deaths: 4,
        leaves: 2,
        burst: 0,
        has_outage: false,
    },
    TraceKind {
        name: "rack+outage",
        pauses: 30,
        mean_pause_ms: 4_000,
        deaths: 10,
        leaves: 4,
        burst: 10,
        has_outage: true,
    },
];

impl TraceKind {
    fn events(&self, vms: usize, seed: u64) -> Vec<TraceEvent> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut events = Vec::new();
        let mut add = |count: usize, fault: Fault, mean_ms: u64, rng: &mut SmallRng| {
            for _ in 0..count {
                let uniform: f64 = rng.random_range(0.001..1.0);
                events.push(TraceEvent {
                    at_ms: rng.random_range(0..TRACE_MS),
                    vm: rng.random_range(0..vms),
                    fault,
                    duration_ms: (-uniform.ln() * mean_ms as f64) as u64,
                });
            }
        };
        add(self.pauses, Fault::Pause, self.mean_pause_ms, &mut rng);
        add(self.deaths, Fault::Death, REPLACE_MS, &mut rng);
        add(self.leaves, Fault::Leave, 60_000, &mut rng);
        events.extend((0..self.burst).map(|vm| TraceEvent {
            at_ms: TRACE_MS / 2,
            vm,
            fault: Fault::Death,
            duration_ms: 2 * REPLACE_MS,
        }));
        events.sort_by_key(|event| (event.at_ms, event.vm));
        events
    }
}

/// A repair policy to compare.
struct Policy {
    name: &'static str,
    standbys: u16,
    settings: RepairSettings,
}

fn policy(name: &'static str, standbys: u16, wait_ms: u64, repairs: [bool; 3]) -> Policy {
    let [replace, preempt, dissolve] = repairs;
    let settings = RepairSettings {
        load_ms: LOAD_MS,
        replace_ms: REPLACE_MS,
        wait_ms,
        repairs: Repairs {
            replace,
            preempt,
            dissolve,
        },
        ..RepairSettings::new()
    };
    Policy {
        name,
        standbys,
        settings,
    }
}

fn policies() -> Vec<Policy> {
    let mut stranded = policy("all, stranded VMs weigh more", 1, 2_000, [true; 3]);
    stranded.settings.group_downtime_weight = 1;
    stranded.settings.stranded_weight = 10;
    vec![
        policy("baseline: wait for return", 0, 2_000, [false; 3]),
        policy("replace, no wait", 1, 0, [true, false, false]),
        policy("replace, wait 2 s", 1, 2_000, [true, false, false]),
        policy("replace, wait 10 s", 1, 10_000, [true, false, false]),
        policy("replace, wait 30 s", 1, 30_000, [true, false, false]),
        policy("replace + preempt", 1, 2_000, [true, true, false]),
        policy("replace + dissolve", 1, 2_000, [true, false, true]),
        policy("all, downtime weighs more", 1, 2_000, [true; 3]),
        stranded,
    ]
}

#[derive(Debug, Default)]
struct Totals {
    desk_downtime_s: f64,
    reports_downtime_s: f64,
    min_downtime_s: f64,
    stranded_accelerator_s: f64,
    writes: u64,
    loads: u32,
}

fn demands(standbys: u16) -> Vec<Demand> {
    let reports = Demand {
        priority: Priority::Batch,
        ..demand("reports", 1, 4, 0)
    };
    vec![demand("desk", 5, 8, standbys), reports]
}

fn run(kind: &TraceKind, policy: &Policy, seed: u64) -> Totals {
    let mut world = World::new(VMS, demands(policy.standbys), &policy.settings, 1);
    world.run_ms(180_000);
    assert_eq!(
        world.serving().len(),
        6,
        "not all 6 groups serve before the trace starts"
    );
    let start = world.now;
    let mut totals = Totals {
        writes: world.writes,
        ..Totals::default()
    };
    let loads = total_loads(&world);
    let mut events = kind.events(VMS, seed).into_iter().peekable();
    let mut returns: Vec<(TimeMs, usize)> = Vec::new();
    while world.now.since_ms(start) < TRACE_MS {
        let passed_ms = world.now.since_ms(start);
        while let Some(event) = events.next_if(|event| event.at_ms <= passed_ms) {
            totals.min_downtime_s += min_downtime_s(&world, &event);
            apply(&mut world, &event, &mut returns);
        }
        restart_due_vms(&mut world, &mut returns);
        // The outage begins a minute before the middle of the trace and lasts eleven minutes.
        let outage = TRACE_MS / 2 - 60_000..TRACE_MS / 2 + 600_000;
        world.is_platform_up = !(kind.has_outage && outage.contains(&passed_ms));
        world.step();
        add_step(&mut totals, &world);
    }
    totals.writes = world.writes - totals.writes;
    totals.loads = total_loads(&world) - loads;
    totals
}

fn total_loads(world: &World) -> u32 {
    world.vms.values().map(|vm| vm.loads).sum()
}

fn apply(world: &mut World, event: &TraceEvent, returns: &mut Vec<(TimeMs, usize)>) {
    let now = world.now;
    let vm = world.vm(event.vm);
    match event.fault {
        Fault::Pause => vm.paused_until = now.plus_ms(event.duration_ms),
        Fault::Death => {
            vm.is_dead = true;
            returns.push((now.plus_ms(event.duration_ms), event.vm));
        }
        Fault::Leave => {
            vm.is_leaving = true;
            returns.push((now.plus_ms(event.duration_ms), event.vm));
        }
    }
}

/// Replaces VMs whose absence or notice has ended. A leaving VM is replaced by another machine
/// without a gap.
fn restart_due_vms(world: &mut World, returns: &mut Vec<(TimeMs, usize)>) {
    let now = world.now;
    returns.retain(|(at, vm)| {
        if *at <= now {
            world.vm(*vm).restart();
        }
        *at > now
    });
}

/// Returns the lower limit of a group's downtime, in seconds, after the loss of a member without
/// notice: the member returns, or the loss is detected and another VM loads the weights.
fn min_downtime_s(world: &World, event: &TraceEvent) -> f64 {
    let vm = driver::vm_id(event.vm);
    let is_member = world.serving().iter().any(|(_, _, vms)| vms.contains(&vm));
    let limit_ms = match event.fault {
        _ if !is_member => 0,
        Fault::Leave => 0,
        Fault::Pause => event.duration_ms.min(VM_SUSPECT_MS + LOAD_MS),
        Fault::Death => (event.duration_ms + LOAD_MS).min(VM_SUSPECT_MS + LOAD_MS),
    };
    limit_ms as f64 / 1_000.0
}

fn add_step(totals: &mut Totals, world: &World) {
    let step_s = STEP_MS as f64 / 1_000.0;
    let serving = world.serving();
    let of_size = |size: usize| serving.iter().filter(|(.., vms)| vms.len() == size).count();
    // `demands` wants 5 groups of 8 VMs for `desk` and one of 4 for `reports`.
    totals.desk_downtime_s += 5_usize.saturating_sub(of_size(8)) as f64 * step_s;
    totals.reports_downtime_s += 1_usize.saturating_sub(of_size(4)) as f64 * step_s;
    totals.stranded_accelerator_s +=
        (world.stranded_vms() as u64 * ACCELERATORS_PER_VM) as f64 * step_s;
}

fn compare_policies() {
    println!(
        "| trace | policy | desk downtime, group-s | lower limit, group-s | \
         reports downtime, group-s | stranded accelerator-s | plan writes | loads |"
    );
    println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    let tables = thread::scope(|scope| {
        let threads: Vec<_> = TRACES
            .iter()
            .map(|kind| scope.spawn(|| table_of(kind)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("no panic"))
            .collect::<String>()
    });
    print!("{tables}");
}

/// Returns the table rows of one kind of trace, one per policy, with means over the seeds.
fn table_of(kind: &TraceKind) -> String {
    let mut table = String::new();
    for policy in &policies() {
        let runs: Vec<Totals> = SEEDS.map(|seed| run(kind, policy, seed)).collect();
        let mean =
            |value: fn(&Totals) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
        table += &format!(
            "| {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |\n",
            kind.name,
            policy.name,
            mean(|run| run.desk_downtime_s),
            mean(|run| run.min_downtime_s),
            mean(|run| run.reports_downtime_s),
            mean(|run| run.stranded_accelerator_s),
            mean(|run| run.writes as f64),
            mean(|run| f64::from(run.loads)),
        );
    }
    table
}

/// Returns the processor time that this process has used.
fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let ns = text.split(' ').next().and_then(|field| field.parse().ok());
    Duration::from_nanos(ns.unwrap_or(0))
}

fn resident_kib() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.and_then(|field| field.parse().ok()).unwrap_or(0)
}

/// Measures one domain of this many VMs over ten minutes, in which VMs fail at about sixty times
/// the rate of the worst ordinary day.
fn measure_domain(vms: usize) {
    // Each group has 8 members and a standby.
    let groups = (vms / 9) as u16;
    let settings = RepairSettings {
        load_ms: LOAD_MS,
        max_loads: vms,
        ..RepairSettings::new()
    };
    let memory = resident_kib();
    let mut world = World::new(vms, vec![demand("desk", groups, 8, 1)], &settings, 1);
    world.run_ms(180_000);
    let memory = resident_kib().saturating_sub(memory);
    assert_eq!(world.serving().len(), usize::from(groups));
    let (writes, reads, steps) = (world.writes, world.reads, 2_400);
    let mut rng = SmallRng::seed_from_u64(1);
    let used = processor_time();
    for step in 0..steps {
        // On the worst ordinary day, a fleet of the target size of 4,000 servers has 453 failures;
        // the trace named `ordinary` has another rate. The steps take ten minutes, a 144th of a
        // day; the rate is sixty times that of the day.
        if step % (steps * 4_000 / (vms * 453 * 60 / 144).max(1)).max(1) == 0 {
            world.vm(rng.random_range(0..vms)).restart();
        }
        world.step();
    }
    let used = processor_time().saturating_sub(used);
    let seconds = steps as f64 * STEP_MS as f64 / 1_000.0;
    println!(
        "| {vms} | {groups} | {:.3} | {memory} | {:.3} | {:.3} |",
        100.0 * used.as_secs_f64() / seconds,
        (world.writes - writes) as f64 / seconds,
        (world.reads - reads) as f64 / seconds,
    );
}

fn main() {
    compare_policies();
    println!();
    println!("| VMs of a domain | groups | % of a core | KiB | plan writes/s | plan reads/s |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for vms in [64, 128, 512] {
        measure_domain(vms);
    }
}
