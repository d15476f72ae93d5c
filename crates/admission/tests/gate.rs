//! Tests of the gate: queue order, concurrency limits, deadlines, reservation and shedding.

use jacinthpoint_admission::{
    ArrivalOutcome, FinishedAttempt, Gate, GateSettings, LayerMode, QueuedRequest, Refusal,
    ShedSettings, Shedder, Ticket, WaitQueue, retry_after_ms,
};
use jacinthpoint_types::{Deadline, Priority, TimeMs};
use quickcheck::quickcheck;
use rand::{SeedableRng, rngs::SmallRng};

const NOW: TimeMs = TimeMs(10_000);
const GROUPS: [u32; 1] = [1];

fn request(organisation: &str, priority: Priority, deadline_in_ms: u64) -> QueuedRequest {
    QueuedRequest {
        organisation: organisation.parse().expect("a valid name"),
        priority,
        deadline: Deadline::after_ms(NOW, deadline_in_ms),
        cost: 10,
    }
}

/// Dispatches all requests and returns their tickets in order.
fn dispatch_all(queue: &mut WaitQueue) -> Vec<Ticket> {
    let mut order = Vec::new();
    while let Some((ticket, _)) = queue.peek() {
        queue.remove(ticket, true);
        order.push(ticket);
    }
    order
}

/// Pushes the requests and checks the order in which they are dispatched, given as their indices.
macro_rules! order_test {
    ($name:ident, [$(($organisation:literal, $class:ident, $deadline_in_ms:literal)),*], $order:expr) => {
        #[test]
        fn $name() {
            let mut queue = WaitQueue::new();
            let tickets =
                [$(queue.push(request($organisation, Priority::$class, $deadline_in_ms))),*];
            let expected: Vec<Ticket> = $order.iter().map(|index: &usize| tickets[*index]).collect();
            assert_eq!(dispatch_all(&mut queue), expected);
        }
    };
}

order_test!(
    more_important_class_is_dispatched_first,
    [("a", Batch, 100), ("a", Normal, 200), ("a", Critical, 900)],
    [2, 1, 0]
);
order_test!(
    earlier_deadline_is_dispatched_first_within_an_organisation,
    [("a", Normal, 300), ("a", Normal, 100), ("a", Normal, 200)],
    [1, 2, 0]
);
order_test!(
    requests_of_two_organisations_in_one_class_are_dispatched_alternately,
    [
        ("a", High, 10),
        ("a", High, 11),
        ("a", High, 12),
        ("b", High, 90)
    ],
    [0, 3, 1, 2]
);

/// Creates a gate whose groups start with room for one request.
fn gate(change: impl Fn(&mut GateSettings)) -> Gate<u32> {
    let mut settings = GateSettings::default();
    settings.concurrency.initial = 1.0;
    change(&mut settings);
    Gate::new(settings, NOW)
}

fn arrive(gate: &mut Gate<u32>, request: QueuedRequest, now: TimeMs) -> ArrivalOutcome {
    gate.arrive(request, &GROUPS, now, &mut SmallRng::seed_from_u64(1))
}

/// Dispatches requests while a group has room and returns their number.
fn dispatch_while_room(gate: &mut Gate<u32>) -> usize {
    let mut count = 0;
    while let Some(dispatch) = gate.poll(&GROUPS, NOW) {
        assert!(gate.mark_dispatched(&dispatch, NOW));
        gate.start(&dispatch.groups_with_room[0], dispatch.priority, NOW);
        count += 1;
    }
    count
}

#[test]
fn group_without_room_gets_no_request() {
    let mut gate = gate(|_| {});
    for _ in 0..3 {
        arrive(&mut gate, request("a", Priority::Normal, 60_000), NOW);
    }
    assert_eq!(dispatch_while_room(&mut gate), 1);
    gate.finish(&1, finished(1_000), NOW);
    assert_eq!(dispatch_while_room(&mut gate), 1);
    assert_eq!(gate.queued(), 1);
}

fn finished(hold_ms: u64) -> FinishedAttempt {
    FinishedAttempt {
        priority: Priority::Normal,
        started_at: TimeMs(NOW.0 - hold_ms),
        has_token: true,
        is_failure: false,
    }
}

/// Creates a gate that has finished one request with a hold time of 1 s, whose only group is full
/// and whose queue holds two requests.
fn busy_gate(deadline_mode: LayerMode) -> Gate<u32> {
    let mut gate = gate(|settings| settings.deadline_mode = deadline_mode);
    arrive(&mut gate, request("a", Priority::Normal, 60_000), NOW);
    dispatch_while_room(&mut gate);
    gate.finish(&1, finished(1_000), NOW);
    for _ in 0..3 {
        arrive(&mut gate, request("a", Priority::Normal, 60_000), NOW);
    }
    dispatch_while_room(&mut gate);
    gate
}

macro_rules! deadline_test {
    ($name:ident, $mode:ident, $deadline_in_ms:literal, $expected:pat) => {
        #[test]
        fn $name() {
            let mut gate = busy_gate(LayerMode::$mode);
            let request = request("a", Priority::Normal, $deadline_in_ms);
            let outcome = arrive(&mut gate, request, NOW);
            assert!(
                matches!(outcome, $expected),
                "arrival outcome is {outcome:?}"
            );
        }
    };
}

deadline_test!(
    request_with_unreachable_deadline_is_refused,
    Enforce,
    500,
    ArrivalOutcome::Refused(Refusal::DeadlineUnreachable { wait_ms: 1_000.. })
);
deadline_test!(
    request_with_reachable_deadline_is_queued,
    Enforce,
    60_000,
    ArrivalOutcome::Queued { watched: None, .. }
);
deadline_test!(
    watch_mode_queues_a_request_with_unreachable_deadline,
    Watch,
    500,
    ArrivalOutcome::Queued {
        watched: Some(_),
        ..
    }
);
deadline_test!(
    off_mode_queues_a_request_with_unreachable_deadline,
    Off,
    500,
    ArrivalOutcome::Queued { watched: None, .. }
);

#[test]
fn queued_request_is_removed_once_too_little_time_is_left_for_a_short_request() {
    let mut gate = busy_gate(LayerMode::Enforce);
    // A short request takes 250 ms: a quarter of the mean hold time of 1 s.
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
fn reserved_capacity_serves_only_the_critical_class() {
    let mut gate = gate(|settings| {
        settings.concurrency.initial = 10.0;
        settings.reservation_mode = LayerMode::Enforce;
        settings.reserved_share = 0.2;
    });
    for _ in 0..20 {
        arrive(&mut gate, request("a", Priority::High, 60_000), NOW);
    }
    assert_eq!(dispatch_while_room(&mut gate), 8);
    arrive(&mut gate, request("a", Priority::Critical, 60_000), NOW);
    assert_eq!(dispatch_while_room(&mut gate), 1);
}

#[test]
fn least_important_class_is_shed_first_and_the_critical_one_never() {
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
        "times of the first shed request, by class: {first_shed_at:?}"
    );
}

quickcheck! {
    fn each_request_is_dispatched_once(requests: Vec<(u8, u8, u16)>) -> bool {
        let classes = [Priority::Critical, Priority::High, Priority::Normal, Priority::Batch];
        let mut queue = WaitQueue::new();
        for (organisation, class, deadline_in_ms) in &requests {
            let name = format!("broker-{}", organisation % 5);
            let class = classes[usize::from(class % 4)];
            queue.push(request(&name, class, u64::from(*deadline_in_ms)));
        }
        let mut order = dispatch_all(&mut queue);
        order.sort();
        order.dedup();
        order.len() == requests.len() && queue.is_empty()
    }

    fn retry_delays_are_jittered_between_once_and_twice_the_wait(wait_ms: u16, seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        // Waits are clamped to this range before the jitter.
        let wait_ms = u64::from(wait_ms).clamp(1_000, 60_000);
        let delays_ms = [(); 20].map(|()| retry_after_ms(wait_ms, &mut rng));
        let is_in_range = delays_ms.iter().all(|ms| (wait_ms..=2 * wait_ms).contains(ms));
        is_in_range && delays_ms.iter().any(|ms| ms != &delays_ms[0])
    }
}
