//! Lists all keys of the settings file. `docs/operators/settings.md` has a row for each key; a test
//! compares the two.

use jacinthpoint_settings::{Absent, SettingsKey, key, number};

/// Maximum of a time setting: one day. A longer time is most likely given in the wrong unit.
const MAX_MS: u64 = 24 * 60 * 60 * 1_000;
/// Minimum of a deadline setting. A shorter deadline is most likely given in seconds.
const MIN_DEADLINE_MS: u64 = 100;

/// Maximum of `batch_ms`. The record of a request with an idempotency key waits up to `batch_ms` to
/// be written with others.
const MAX_BATCH_MS: u64 = 1_000;

/// All keys, grouped by section.
pub const KEYS: &[SettingsKey] = &[
    key("node", "name", Absent::Refused),
    key("node", "data_centre", Absent::Refused),
    key("listen", "callers", Absent::Refused),
    key("listen", "operators", Absent::Refused),
    key("listen", "peers", Absent::Refused),
    key("listen", "advertise_peers", Absent::Nothing),
    key("platform", "address", Absent::Refused),
    key("peers", "seeds", Absent::Nothing),
    number(
        "limits",
        "default_deadline_ms",
        "60000",
        MIN_DEADLINE_MS..=MAX_MS,
    ),
    number("limits", "max_connections", "2000", 1..=1_000_000),
    // One body of the largest length fits.
    number("limits", "request_memory_mb", "32", 8..=1_000_000),
    number(
        "limits",
        "read_deadline_ms",
        "10000",
        MIN_DEADLINE_MS..=MAX_MS,
    ),
    // Long enough for a load balancer that checks every second and removes a node after three
    // failed checks.
    number("limits", "drain_announce_ms", "5000", 0..=MAX_MS),
    number(
        "limits",
        "drain_deadline_ms",
        "120000",
        MIN_DEADLINE_MS..=MAX_MS,
    ),
    number("ledger", "batch_ms", "50", 1..=MAX_BATCH_MS),
    key("metrics", "statsd", Absent::Nothing),
    key("admission", "rate", Absent::Default("enforce")),
    key("admission", "concurrency", Absent::Default("enforce")),
    number("admission", "burst_ms", "2000", 0..=MAX_MS),
    key("admission", "group_concurrency", Absent::Default("enforce")),
    number("admission", "first_token_target_ms", "580", 1..=MAX_MS),
    key("admission", "deadlines", Absent::Default("enforce")),
    key("admission", "shedding", Absent::Default("watch")),
    key("admission", "reservation", Absent::Default("watch")),
    number("admission", "reserved_percent", "10", 0..=100),
    number("admission", "max_queued", "2000", 1..=1_000_000),
    number("repair", "group_downtime_weight", "10", 0..=1_000_000),
    number("repair", "stranded_weight", "1", 0..=1_000_000),
    number("repair", "load_ms", "30000", 0..=MAX_MS),
    number("repair", "replace_ms", "300000", 0..=MAX_MS),
    number("repair", "wait_ms", "2000", 0..=MAX_MS),
    number("repair", "max_loads", "16", 1..=1_000_000),
    number("repair", "damping_ms", "60000", 0..=MAX_MS),
];
