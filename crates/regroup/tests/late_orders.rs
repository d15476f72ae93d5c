//! Orders that get no answer and are carried out seconds later, after newer ones and under the next owner, and reports
//! that arrive once more. In no case may a member of a group that takes requests join another one.

use std::{cell::RefCell, rc::Rc};

use jacinthpoint_fleet::{Order, OrderAction};
use jacinthpoint_regroup::{Decision, Report};
use jacinthpoint_types::VmId;

use crate::world::{SMALL, World, vm};

/// Time for which a formation waits for its members: three times the expected duration, and two seconds.
const FORMATION_MS: u64 = 6_800;
/// Delay of orders that are carried out after the end of a case's faults.
const LONG_MS: u64 = 12_000;

/// Number of orders to leave the first group that are held back.
const HELD_LEAVES: usize = 4;

/// Orders to join that a case holds back, and what it has seen of them.
#[derive(Debug, Default)]
struct Held {
    /// The last member of the first group that is formed.
    target: Option<VmId>,
    /// Epochs of the groups that the target was ordered into.
    epochs: Vec<u64>,
    /// Number of orders to join the second one.
    second_orders: usize,
    /// Number of orders to leave the first one.
    leaves: usize,
}

impl Held {
    /// Returns the delay of an order. The target gets the first order to join its first group after `first_ms`, and
    /// the later ones, and `second` orders to join its second group, after [`LONG_MS`]. So does the leader of the
    /// first group the first [`HELD_LEAVES`] orders to leave it.
    fn delay(&mut self, order: &Order, first_ms: u64, second: usize) -> Option<u64> {
        match &order.action {
            OrderAction::Join { epoch, members, .. } => {
                let target = self.target.get_or_insert_with(|| members[1].clone());
                if order.target != *target {
                    return None;
                }
                let is_first = self.epochs.is_empty();
                if !self.epochs.contains(epoch) {
                    self.epochs.push(*epoch);
                }
                let is_held = match self.epochs.iter().position(|known| known == epoch) {
                    Some(0) => true,
                    Some(1) => {
                        self.second_orders += 1;
                        self.second_orders <= second
                    }
                    _ => false,
                };
                is_held.then_some(if is_first { first_ms } else { LONG_MS })
            }
            OrderAction::Leave { epoch, .. } if self.epochs.first() == Some(epoch) => {
                self.leaves += 1;
                (self.leaves <= HELD_LEAVES).then_some(LONG_MS)
            }
            _ => None,
        }
    }
}

/// Returns a world in which one group serves and three engines are free in its domain, two of which were just
/// added; and what is known of the orders that are held back from now on.
fn world_with_held_orders(first_ms: u64, second: usize) -> (World, Rc<RefCell<Held>>) {
    let mut world = World::new();
    world.set_models(&[(SMALL, 2, 1.0)]);
    let ids: Vec<VmId> = (0..5).map(|index| vm(&format!("e{index}"))).collect();
    for id in &ids {
        world.engines.add(id.as_str(), "domain-0", Some(SMALL));
        world.engines.engine(id).is_listed = id.as_str() < "e3";
    }
    world.run_ms(10_000);
    world.has_traffic = true;
    assert_eq!(world.serving_group_count(SMALL), 1);
    for id in &ids {
        world.engines.engine(id).is_listed = true;
    }
    let held = Rc::<RefCell<Held>>::default();
    let shared = held.clone();
    world.order_delay = Box::new(move |order| shared.borrow_mut().delay(order, first_ms, second));
    (world, held)
}

/// Defines tests: name, body.
macro_rules! late_orders {
    ($($name:ident: $body:block)+) => {
        $(
            #[test]
            fn $name() $body
        )+
    };
}

late_orders! {
    // Guards against a group that is opened while its owner orders one of its members into another one, and which that
    // member then leaves.
    member_that_is_ordered_into_another_group_is_in_no_group_that_opens: {
        let mut violations = Vec::new();
        let mut judged = 0;
        for first_ms in (FORMATION_MS..FORMATION_MS + 3_000).step_by(200) {
            for second in 0..6 {
                let (mut world, held) = world_with_held_orders(first_ms, second);
                world.run_ms(30_000);
                judged += usize::from(held.borrow().epochs.len() > 1);
                violations.extend(world.engines.violations.iter().cloned());
                assert_eq!(world.serving_group_count(SMALL), 2, "{first_ms} ms, {second} orders");
            }
        }
        assert!(judged > 40, "the target was ordered into two groups in {judged} cases only");
        assert_eq!(violations, Vec::<String>::new());
    }

    // Guards against a new owner that opens a group of the former one, whose last order still takes a member away.
    member_with_an_order_of_the_former_owner_is_in_no_group_that_opens: {
        for first_ms in (FORMATION_MS..FORMATION_MS + 3_000).step_by(200) {
            for take_over_ms in [7_000, 7_500, 8_000, 9_000, 10_000] {
                let (mut world, _) = world_with_held_orders(first_ms, usize::MAX);
                world.run_ms(take_over_ms);
                world.take_over();
                world.order_delay = Box::new(|_| None);
                world.run_ms(30_000);
                world.assert_no_violation();
                assert_eq!(world.serving_group_count(SMALL), 2, "{first_ms} ms, {take_over_ms} ms");
            }
        }
    }

    // Guards against the leader of an open group that counts as free, since a report from before it joined is written
    // once more where the present one is expected.
    copy_of_an_old_report_takes_no_leader_out_of_its_group: {
        let (mut world, _) = world_with_held_orders(0, 0);
        world.order_delay = Box::new(|_| None);
        let first = world.members_of_group(SMALL);
        world.run_until(10_000, |world| world.serving_group_count(SMALL) == 2);
        let members = world.members_of_other_group(SMALL, &first);
        world.run_ms(5_000);
        let entry = world.engines.listed()[&members[0]].clone();
        let old = Report {
            started_unix_ms: entry.started_unix_ms,
            membership: None,
            staged: entry.staged.clone(),
            orders: Some(0),
        };
        let now = world.now;
        world.planner.on_probe_end(&members[0], Some(old), Some(&entry), now);
        world.run_ms(5_000);
        world.assert_no_violation();
        assert!(world.is_open(&members));
        let outdated = Decision::ReportOutdated { id: members[0].clone() };
        assert!(world.decisions.contains(&outdated));
    }

    // Guards against reports that are never believed again, since the number of orders in them is not understood.
    reports_are_believed_after_some_seconds_whatever_their_numbers: {
        let (mut world, _) = world_with_held_orders(0, 0);
        world.order_delay = Box::new(|_| None);
        world.run_until(10_000, |world| world.serving_group_count(SMALL) == 2);
        for engine in world.engines.by_id.values_mut() {
            engine.orders = 0;
        }
        let members = world.members_of_group(SMALL);
        world.engines.kill(&members[0]);
        world.planner.on_group_stalled(&members);
        world.run_ms(15_000);
        assert_eq!(world.serving_group_count(SMALL), 2);
        world.assert_no_violation();
    }

    // Guards against a group that waits for a member that has ended, since another engine answers at its address
    // and neither gives its start time.
    report_of_a_successor_at_the_address_does_not_keep_a_member_alive: {
        let (mut world, _) = world_with_held_orders(0, 0);
        world.order_delay = Box::new(|_| None);
        for engine in world.engines.by_id.values_mut() {
            engine.entry.started_unix_ms = 0;
        }
        let first = world.members_of_group(SMALL);
        world.run_until(10_000, |world| world.serving_group_count(SMALL) == 2);
        world.run_ms(3_000);
        let members = world.members_of_other_group(SMALL, &first);
        // Its entry stays listed.
        let successor = world.engines.replace_at_address(&members[1]);
        world.engines.engine(&successor).is_listed = false;
        world.successors.insert(members[1].clone(), successor);
        world.planner.on_group_stalled(&members);
        let is_closed = |world: &World| !world.is_open(&members);
        let closed_ms = world.run_until(20_000, is_closed);
        assert!(closed_ms <= 2_000, "closed after {closed_ms} ms");
        world.assert_no_violation();
    }

    // Guards against an order to join that is forgotten while the entry of its upstream has expired.
    order_to_an_upstream_that_was_unlisted_for_a_time_is_not_forgotten: {
        let mut violations = Vec::new();
        for first_ms in (FORMATION_MS..FORMATION_MS + 3_000).step_by(200) {
            let (mut world, held) = world_with_held_orders(first_ms, usize::MAX);
            // The target has been ordered into its second group.
            world.run_ms(FORMATION_MS + 300);
            let target = held.borrow().target.clone().expect("orders were sent");
            world.engines.engine(&target).is_listed = false;
            world.run_ms(300);
            world.engines.engine(&target).is_listed = true;
            world.run_ms(30_000);
            violations.extend(world.engines.violations.iter().cloned());
        }
        assert_eq!(violations, Vec::<String>::new());
    }
}
