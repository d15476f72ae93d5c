//! Tests invariants of plans and groups over random sequences of faults, after each step.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_placement::{GroupPlan, Plan, RepairSettings};
use jacinthpoint_types::{Epoch, GroupId, TimeMs};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::driver::{World, address, demand};

const VMS: usize = 12;
const GROUPS: u16 = 2;
const GROUP_SIZE: u16 = 3;
/// Exclusive bound on the length of a pause or wait, in the unit stated at each [`Fault`].
const MAX_LENGTH: u8 = 40;
/// Bound on the time after the last fault until every group serves that has enough VMs.
const SETTLE_MS: u64 = 120_000;
/// Time without faults in which no plan is written.
const QUIET_MS: u64 = 30_000;

/// A fault or another change, or a wait. A number that stands first is that of a VM or controller.
#[derive(Debug, Clone)]
enum Fault {
    Kill(u8),
    Restart(u8),
    /// Restarts the VM at another address.
    Move(u8),
    /// Pauses the VM for this many half seconds.
    Pause(u8, u8),
    Leave(u8),
    /// Pauses the controller for this many half seconds.
    PauseController(u8, u8),
    /// Pauses the controller for this many quarter seconds, after it has decided its next actions
    /// (even number) or right before its next order (odd number).
    PauseBeforeActing(u8, u8),
    /// Sets whether the controller controls the domain.
    Controls(u8, bool),
    /// Sets whether the platform is available.
    Platform(bool),
    /// Sets whether the controller can reach the platform.
    SeesPlatform(u8, bool),
    /// Loses the answers to this many next writes.
    LoseAnswers(u8),
    /// Sets whether orders are delayed.
    DelayOrders(bool),
    /// Demands this version of the model.
    NewVersion(u8),
    /// Waits for this many steps.
    Wait(u8),
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Fault {
        let vm = u8::arbitrary(g) % VMS as u8;
        let node = u8::arbitrary(g) % 2;
        let length = u8::arbitrary(g) % MAX_LENGTH;
        let on = bool::arbitrary(g);
        match u8::arbitrary(g) % 22 {
            0..3 => Fault::Kill(vm),
            3..5 => Fault::Restart(vm),
            5 => Fault::Move(vm),
            6..8 => Fault::Pause(vm, length),
            8 => Fault::Leave(vm),
            9 => Fault::PauseController(node, length),
            10 => Fault::PauseBeforeActing(node, length),
            11 => Fault::Controls(node, on),
            12 => Fault::Platform(on),
            13 => Fault::SeesPlatform(node, on),
            14 => Fault::LoseAnswers(length % 4),
            15 => Fault::DelayOrders(on),
            16 => Fault::NewVersion(length % 3),
            _ => Fault::Wait(length),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Fault>> {
        quickcheck::empty_shrinker()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Setup {
    /// Whether engines refuse orders with outdated fencing tokens.
    refuses_old_orders: bool,
    /// Whether faults that make the platform unavailable are applied.
    with_outages: bool,
}

impl Fault {
    fn is_outage(&self) -> bool {
        matches!(self, Fault::Platform(_) | Fault::SeesPlatform(..))
    }

    /// Applies the fault. Returns the number of steps to run afterwards.
    fn apply(&self, world: &mut World) -> u32 {
        let now = world.now;
        let until = |length: u8| TimeMs(now.0 + 500 * u64::from(length));
        match *self {
            Fault::Kill(vm) => world.vm(vm.into()).is_dead = true,
            Fault::Restart(vm) => world.vm(vm.into()).restart(),
            Fault::Move(vm) => {
                let port = world.vm(vm.into()).address.port() + 1;
                world.vm(vm.into()).restart();
                world.vm(vm.into()).address = address(vm.into(), port);
            }
            Fault::Pause(vm, length) => world.vm(vm.into()).paused_until = until(length),
            Fault::Leave(vm) => world.vm(vm.into()).is_leaving = true,
            Fault::PauseController(node, length) => {
                world.controllers[usize::from(node)].paused_until = until(length);
            }
            Fault::PauseBeforeActing(node, length) => {
                let pause_ms = 250 * u64::from(length);
                let simulated = &mut world.controllers[usize::from(node)];
                // The length also selects the kind of pause.
                match length % 2 {
                    0 => simulated.pause_before_acting_ms = pause_ms,
                    _ => simulated.pause_before_order_ms = pause_ms,
                }
            }
            Fault::Controls(node, on) => world.controllers[usize::from(node)].controls = on,
            Fault::Platform(on) => world.is_platform_up = on,
            Fault::SeesPlatform(node, on) => {
                world.controllers[usize::from(node)].sees_platform = on;
            }
            Fault::LoseAnswers(count) => world.lose_answers = count.into(),
            Fault::DelayOrders(on) => world.order_delay_ms = if on { 400 } else { 0 },
            Fault::NewVersion(version) => {
                let model = format!("jp-model@v{version}");
                world.demands[0].model = model.parse().expect("a valid model");
            }
            Fault::Wait(steps) => return u32::from(steps),
        }
        1
    }
}

/// Number of plans checked, fencing token and groups of the last one, and ids of the groups that
/// only earlier plans had.
#[derive(Default)]
struct History {
    checked: usize,
    fence: u64,
    groups: BTreeMap<GroupId, GroupPlan>,
    removed: BTreeSet<GroupId>,
}

impl History {
    fn check(&mut self, world: &World, setup: Setup) -> Result<(), String> {
        for plan in &world.plans[self.checked..] {
            self.check_plan(plan)?;
        }
        self.checked = world.plans.len();
        let mut served: BTreeMap<String, Epoch> = BTreeMap::new();
        for (group, epoch, _) in world.serving() {
            if let Some(other) = served.insert(group.clone(), epoch) {
                return Err(format!("{group} serves under {epoch} and {other}"));
            }
        }
        // Engines that ignore fencing tokens may get the orders of two controllers in any sequence
        // while the platform is unavailable.
        let must_refuse_outdated = setup.refuses_old_orders || !setup.with_outages;
        match world.vms.iter().find(|(_, vm)| vm.outdated_orders > 0) {
            Some((vm, _)) if must_refuse_outdated => {
                Err(format!("{vm} accepted an outdated order"))
            }
            _ => Ok(()),
        }
    }

    fn check_plan(&mut self, plan: &Plan) -> Result<(), String> {
        if !plan.is_disjoint() {
            return Err(format!("a VM is planned twice: {plan:?}"));
        }
        if plan.fence <= self.fence {
            return Err(format!(
                "the plan's fencing token {} is not above {}, that of the previous plan",
                plan.fence, self.fence
            ));
        }
        self.fence = plan.fence;
        for group in &plan.groups {
            if self.removed.contains(&group.id) {
                return Err(format!("group id {} was reused", group.id));
            }
            if let Some(old) = self.groups.remove(&group.id) {
                let is_same = old.assignment() == group.assignment();
                if !is_same && group.epoch <= old.epoch {
                    return Err(format!(
                        "the assignment changed without a higher epoch: {old:?} became {group:?}"
                    ));
                }
            }
        }
        self.removed
            .extend(std::mem::take(&mut self.groups).into_keys());
        let groups = plan.groups.iter();
        self.groups = groups
            .map(|group| (group.id.clone(), group.clone()))
            .collect();
        Ok(())
    }
}

/// Applies the faults one after another and checks the invariants after each step.
fn run(faults: &[Fault], setup: Setup) -> Result<(), String> {
    let settings = RepairSettings {
        load_ms: 2_000,
        replace_ms: 20_000,
        damping_ms: 10_000,
        ..RepairSettings::new()
    };
    let mut wanted = demand("desk", GROUPS, GROUP_SIZE, 2);
    wanted.refuses_old_orders = setup.refuses_old_orders;
    let mut world = World::new(VMS, vec![wanted], &settings, 2);
    let mut history = History::default();
    world.run_ms(5_000);
    for fault in faults {
        if fault.is_outage() && !setup.with_outages {
            continue;
        }
        for _ in 0..fault.apply(&mut world).max(1) {
            world.step();
            history.check(&world, setup)?;
        }
    }
    settle(&mut world, &mut history, setup)
}

/// Ends outages, order delays and wrong roles, and checks that every group serves that has enough
/// VMs, and that no plan is written afterwards.
fn settle(world: &mut World, history: &mut History, setup: Setup) -> Result<(), String> {
    world.is_platform_up = true;
    world.order_delay_ms = 0;
    for (index, simulated) in world.controllers.iter_mut().enumerate() {
        simulated.controls = index == 0;
        simulated.sees_platform = true;
    }
    let usable = world
        .vms
        .values()
        .filter(|vm| !vm.is_dead && !vm.is_leaving);
    let possible = (usable.count() / usize::from(GROUP_SIZE)).min(GROUPS.into());
    let start = world.now;
    let is_done = |world: &World| {
        let serving = world.serving();
        let new = &world.demands[0].model;
        let plan = world.latest();
        let is_new = |id: &str| {
            let mut groups = plan.groups.iter();
            groups.any(|group| group.id.as_str() == id && &group.model == new)
        };
        serving.iter().filter(|(id, _, _)| is_new(id)).count() >= possible
    };
    while !is_done(world) {
        world.step();
        history.check(world, setup)?;
        if world.now.since_ms(start) > SETTLE_MS {
            return Err(format!(
                "fewer than {possible} groups serve {SETTLE_MS} ms after the last fault: {:?}",
                world.latest()
            ));
        }
    }
    // Standbys are filled up and outgoing groups dissolved after that; then nothing is left to
    // change.
    world.run_ms(SETTLE_MS);
    history.check(world, setup)?;
    let written = world.plans.len();
    world.run_ms(QUIET_MS);
    if world.plans.len() > written {
        return Err(format!(
            "plan written without a change: {:?}",
            world.latest()
        ));
    }
    Ok(())
}

/// Defines a property test over sequences of faults. The fixed seed makes every run give the same
/// result.
macro_rules! sequence_case {
    ($name:ident, $setup:expr, $seed:expr) => {
        #[test]
        fn $name() {
            fn holds(faults: Vec<Fault>) -> TestResult {
                match run(&faults, $setup) {
                    Ok(()) => TestResult::passed(),
                    Err(message) => TestResult::error(message),
                }
            }
            QuickCheck::new()
                .rng(Gen::from_size_and_seed(60, $seed))
                .tests(200)
                .quickcheck(holds as fn(Vec<Fault>) -> TestResult);
        }
    };
}

sequence_case!(
    invariants_hold_in_outages_where_fencing_is_enforced,
    Setup {
        refuses_old_orders: true,
        with_outages: true,
    },
    1
);

sequence_case!(
    invariants_hold_where_fencing_is_ignored,
    Setup {
        refuses_old_orders: false,
        with_outages: false,
    },
    2
);

sequence_case!(
    invariants_hold_in_outages_where_fencing_is_ignored,
    Setup {
        refuses_old_orders: false,
        with_outages: true,
    },
    3
);
