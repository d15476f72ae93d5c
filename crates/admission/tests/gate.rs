//! The gate: order, room, deadlines, shedding.

use jacinthpoint_admission::{
    ArrivalOutcome, FinishedAttempt, Gate, GateSettings, LayerMode, QueuedRequest, Refusal,
    ShedSettings, Shedder, Ticket, WaitQueue, retry_after_ms,
};
use jacinthpoint_types::{Deadline, Priority, TimeMs};
use quickcheck::quickcheck;
use rand::{SeedableRng, rngs::SmallRng};

const NOW: TimeMs = TimeMs(10_000);
const GROUPS: [u32; 1] = [1];

fn waiting(organisation: &str, priority: Priority, patience_ms: u64) -> QueuedRequest {
    QueuedRequest {
        organisation: organisation.parse().expect("a valid name"),
        priority,
        deadline: Deadline::after_ms(NOW, patience_ms),
        cost: 10,
    }
}

fn drained(queue: &mut WaitQueue) -> Vec<Ticket> {
    let mut order = Vec::new();
    while let Some((ticket, _)) = queue.peek() {
        queue.remove(ticket, true);
        order.push(ticket);
    }
    order
}

/// Requests pushed in one order leave in another, given by their places.
macro_rules! order_test {
    ($name:ident, [$(($organisation:literal, $class:ident, $patience_ms:literal)),*], $order:expr) => {
        #[test]
        fn $name() {
            let mut queue = WaitQueue::new();
            let tickets =
                [$(queue.push(waiting($organisation, Priority::$class, $patience_ms))),*];
            let expected: Vec<Ticket> = $order.iter().map(|place: &usize| tickets[*place]).collect();
            assert_eq!(drained(&mut queue), expected);
        }
    };
}

order_test!(
    more_important_class_goes_first,
    [("a", Batch, 100), ("a", Normal, 200), ("a", Critical, 900)],
    [2, 1, 0]
);
order_test!(
    earlier_deadline_goes_first,
    [("a", Normal, 300), ("a", Normal, 100), ("a", Normal, 200)],
    [1, 2, 0]
);
order_test!(
    organisations_take_turns,
    [
        ("a", High, 10),
        ("a", High, 11),
        ("a", High, 12),
        ("b", High, 90)
    ],
    [0, 3, 1, 2]
);

fn gate(change: impl Fn(&mut GateSettings)) -> Gate<u32> {
    let mut settings = GateSettings::default();
    settings.concurrency.initial = 1.0;
    change(&mut settings);
    Gate::new(settings, NOW)
}

fn arrive(gate: &mut Gate<u32>, waiting: QueuedRequest, now: TimeMs) -> ArrivalOutcome {
    gate.arrive(waiting, &GROUPS, now, &mut SmallRng::seed_from_u64(1))
}

/// Starts what may go, and says how many that were.
fn start_all(gate: &mut Gate<u32>) -> usize {
    let mut count = 0;
    while let Some(dispatch) = gate.poll(&GROUPS) {
        assert!(gate.mark_dispatched(&dispatch, NOW));
        gate.start(&dispatch.open[0], dispatch.priority);
        count += 1;
    }
    count
}

#[test]
fn group_without_room_gets_nothing() {
    let mut gate = gate(|_| {});
    for _ in 0..3 {
        arrive(&mut gate, waiting("a", Priority::Normal, 60_000), NOW);
    }
    assert_eq!(start_all(&mut gate), 1);
    gate.finish(&1, finished(1_000), NOW);
    assert_eq!(start_all(&mut gate), 1);
    assert_eq!(gate.queued(), 1);
}

fn finished(held_ms: u64) -> FinishedAttempt {
    FinishedAttempt {
        priority: Priority::Normal,
        held_ms,
        is_failure: false,
    }
}

/// A gate whose group is busy, with two requests waiting that take 1 s each.
fn busy_gate(deadlines: LayerMode) -> Gate<u32> {
    let mut gate = gate(|settings| settings.deadlines = deadlines);
    arrive(&mut gate, waiting("a", Priority::Normal, 60_000), NOW);
    start_all(&mut gate);
    gate.finish(&1, finished(1_000), NOW);
    for _ in 0..3 {
        arrive(&mut gate, waiting("a", Priority::Normal, 60_000), NOW);
    }
    start_all(&mut gate);
    gate
}

macro_rules! deadline_test {
    ($name:ident, $mode:ident, $patience_ms:literal, $expected:pat) => {
        #[test]
        fn $name() {
            let mut gate = busy_gate(LayerMode::$mode);
            let late = waiting("a", Priority::Normal, $patience_ms);
            let arrived = arrive(&mut gate, late, NOW);
            assert!(matches!(arrived, $expected), "{arrived:?}");
        }
    };
}

deadline_test!(
    late_request_is_refused,
    Enforce,
    500,
    ArrivalOutcome::Refused(Refusal::DeadlineUnreachable { wait_ms: 1_000.. })
);
deadline_test!(
    request_with_time_is_queued,
    Enforce,
    60_000,
    ArrivalOutcome::Queued { watched: None, .. }
);
deadline_test!(
    watching_queues_a_late_request,
    Watch,
    500,
    ArrivalOutcome::Queued {
        watched: Some(_),
        ..
    }
);
deadline_test!(
    switched_off_queues_a_late_request,
    Off,
    500,
    ArrivalOutcome::Queued { watched: None, .. }
);

#[test]
fn waiting_request_is_given_up_before_its_deadline_passes() {
    let mut gate = busy_gate(LayerMode::Enforce);
    // A quarter of the second that requests take.
    assert!(
        gate.remove_deadline_unreachable(TimeMs(NOW.0 + 59_700))
            .is_empty()
    );
    assert_eq!(
        gate.remove_deadline_unreachable(TimeMs(NOW.0 + 59_800))
            .len(),
        2
    );
    assert_eq!(gate.queued(), 0);
}

#[test]
fn capacity_is_kept_for_the_critical_class() {
    let mut gate = gate(|settings| {
        settings.concurrency.initial = 10.0;
        settings.reservation = LayerMode::Enforce;
        settings.reserved_share = 0.2;
    });
    for _ in 0..20 {
        arrive(&mut gate, waiting("a", Priority::High, 60_000), NOW);
    }
    assert_eq!(start_all(&mut gate), 8);
    arrive(&mut gate, waiting("a", Priority::Critical, 60_000), NOW);
    assert_eq!(start_all(&mut gate), 1);
}

#[test]
fn shedding_takes_the_lowest_class_first_and_never_the_critical_one() {
    let settings = ShedSettings::default();
    let mut shedder = Shedder::new(settings, NOW);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut now = NOW;
    let mut first_shed_at = [None; 4];
    for _ in 0..200 {
        now = now.plus_ms(500);
        shedder.observe(settings.target_ms * 2, now);
        for priority in [
            Priority::Critical,
            Priority::High,
            Priority::Normal,
            Priority::Batch,
        ] {
            if shedder.should_shed(priority, &mut rng) {
                first_shed_at[priority as usize].get_or_insert(now);
            }
        }
    }
    let [critical, high, normal, batch] = first_shed_at;
    assert_eq!(critical, None);
    assert!(
        batch < normal && normal < high && batch.is_some(),
        "{first_shed_at:?}"
    );
}

quickcheck! {
    fn each_request_leaves_the_queue_once(requests: Vec<(u8, u8, u16)>) -> bool {
        let classes = [Priority::Critical, Priority::High, Priority::Normal, Priority::Batch];
        let mut queue = WaitQueue::new();
        for (organisation, class, patience_ms) in &requests {
            let name = format!("broker-{}", organisation % 5);
            let class = classes[usize::from(class % 4)];
            queue.push(waiting(&name, class, u64::from(*patience_ms)));
        }
        let mut order = drained(&mut queue);
        order.sort();
        order.dedup();
        order.len() == requests.len() && queue.is_empty()
    }

    fn callers_are_told_to_return_at_different_times(wait_ms: u16, seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        // Longer waits are told as a minute.
        let wait_ms = u64::from(wait_ms).clamp(1_000, 60_000);
        let told = [(); 20].map(|()| retry_after_ms(wait_ms, &mut rng));
        let is_in_range = told.iter().all(|ms| (wait_ms..=2 * wait_ms).contains(ms));
        is_in_range && told.iter().any(|ms| ms != &told[0])
    }
}
