//! Which connections and requests are revoked when the memory or the places of a gateway are taken.

use jacinthpoint_gateway::memory::{Account, Activity, Listener, Memory, NoMemory};
use jacinthpoint_types::TimeMs;

const MIB: usize = 1_024 * 1_024;
/// Memory of a VM on which requests and answers may take 28 MiB.
const MEMORY_MB: usize = 112;
const NOW: TimeMs = TimeMs(1_000_000);

/// Returns this many connections whose requests arrive, each holding these bytes.
fn arriving(memory: &Memory, count: usize, bytes: usize) -> Vec<Account> {
    let accounts = (0..count).map(|_| {
        let account = memory.open(Listener::Callers, Activity::Receiving, NOW);
        // Whether there was room is seen in the end.
        let _ = account.set_bytes(bytes, NOW);
        account
    });
    accounts.collect()
}

fn revoked(accounts: &[Account]) -> usize {
    let revoked = accounts.iter().filter(|account| account.is_revoked());
    revoked.count()
}

/// Load: many bodies of legal length at once, most of which stop short of their end.
#[test]
fn stopped_bodies_yield_to_those_that_go_on() {
    let memory = Memory::new(MEMORY_MB);
    let stopped = arriving(&memory, 27, MIB);
    let later = NOW.plus_ms(1_500);
    let going = memory.open(Listener::Callers, Activity::Receiving, later);
    for bytes in 1..=4 {
        assert_eq!(going.set_bytes(bytes * MIB, later), Ok(()));
    }
    assert!(!going.is_revoked());
    assert_eq!(revoked(&stopped), 3);
    assert!(memory.request_bytes() <= 28 * MIB);
}

/// Load: the same, while ordinary callers send short requests.
#[test]
fn short_requests_are_kept_while_memory_is_short() {
    let memory = Memory::new(MEMORY_MB);
    let short = arriving(&memory, 500, 2_000);
    let long = arriving(&memory, 200, MIB);
    assert_eq!(revoked(&short), 0);
    assert!(revoked(&long) > 0);
    let one_more = memory.open(Listener::Callers, Activity::Receiving, NOW);
    assert_eq!(one_more.set_bytes(2_000, NOW), Ok(()));
}

/// Load: large requests that run hold all memory.
#[test]
fn running_requests_are_never_revoked() {
    let memory = Memory::new(MEMORY_MB);
    let running = arriving(&memory, 7, 4 * MIB);
    for account in &running {
        account.set_activity(Activity::Working, NOW);
    }
    let later = NOW.plus_ms(60_000);
    let next = memory.open(Listener::Callers, Activity::Receiving, later);
    assert_eq!(next.set_bytes(MIB, later), Err(NoMemory));
    assert_eq!(revoked(&running), 0);
    while memory.revoke_slow(Listener::Callers, later) {}
    while memory.revoke_any(Listener::Callers) {}
    assert_eq!(revoked(&running), 0);
    drop(running);
    assert_eq!(memory.request_bytes(), 0);
}

/// Load: upstreams fill the memory with answers. Requests of the largest length still have room.
#[test]
fn answers_leave_room_to_a_request() {
    let memory = Memory::new(MEMORY_MB);
    let answers: Vec<_> = (0..28).map(|_| memory.answers().begin_answer()).collect();
    answers.iter().for_each(|answer| answer.set_bytes(MIB));
    let request = memory.open(Listener::Callers, Activity::Receiving, NOW);
    assert_eq!(request.set_bytes(4 * MIB, NOW), Ok(()));
}

/// Returns whether a connection yields its place after this time, if it received this many bytes each second.
fn yields_place(activity: Activity, bytes_per_s: usize, age_ms: u64) -> bool {
    let memory = Memory::new(MEMORY_MB);
    let account = memory.open(Listener::Callers, activity, NOW);
    for second in (1..=age_ms / 1_000).filter(|_| bytes_per_s > 0) {
        account.on_received(bytes_per_s, NOW.plus_ms(1_000 * second - 1));
    }
    let now = NOW.plus_ms(age_ms);
    assert!(!memory.revoke_slow(Listener::Peers, now));
    let yields = memory.revoke_slow(Listener::Callers, now);
    assert_eq!(account.is_revoked(), yields);
    yields
}

/// Defines tests of whether a connection yields its place: name, activity, bytes a second, age, whether it yields.
macro_rules! places {
    ($($name:ident: $activity:ident, $bytes_per_s:literal, $age_ms:literal => $yields:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let yields = yields_place(Activity::$activity, $bytes_per_s, $age_ms);
                assert_eq!(yields, $yields);
            }
        )+
    };
}

// Load: a crowd holds all places of a listener.
places! {
    stopped_request_yields: Receiving, 0, 1_000 => true;
    dripping_request_yields: Receiving, 20, 2_000 => true;
    request_that_goes_on_stays: Receiving, 10_000, 8_000 => false;
    new_request_stays: Receiving, 0, 900 => false;
    idle_connection_yields: Idle, 0, 1_000 => true;
    connection_in_use_stays: Idle, 0, 900 => false;
    unread_answer_yields: Sending, 0, 3_000 => true;
    answer_that_was_read_lately_stays: Sending, 0, 2_900 => false;
    running_request_stays: Working, 0, 60_000 => false;
    connection_that_has_ended_yields: Ended, 0, 200 => true;
    connection_whose_answer_may_be_unread_stays: Ended, 0, 100 => false;
}

/// Load: a crowd holds all places, some of it longer than the rest.
#[test]
fn connection_that_progressed_least_yields_first() {
    let memory = Memory::new(MEMORY_MB);
    let open = |age_ms: u64| {
        let since = NOW.plus_ms(10_000 - age_ms);
        memory.open(Listener::Callers, Activity::Receiving, since)
    };
    let (newer, oldest, new) = (open(2_000), open(5_000), open(500));
    assert!(memory.revoke_slow(Listener::Callers, NOW.plus_ms(10_000)));
    assert!(oldest.is_revoked() && !newer.is_revoked() && !new.is_revoked());
}
