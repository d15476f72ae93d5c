//! Measures time and memory, and holds the sizes of network headers.

use std::{fs, hint::black_box, time::Instant};

/// Bytes of the IPv4 and UDP headers before a datagram's payload.
pub const UDP_HEADER_BYTES: usize = 28;
/// Bytes of the IPv4 and TCP headers, with the timestamp option, of one segment.
pub const TCP_HEADER_BYTES: usize = 52;
/// Segments without data in a short TCP exchange: three to open, four to close and one
/// acknowledgement of each of the two messages.
pub const TCP_CONTROL_SEGMENTS: usize = 9;
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Returns the time of one call of `work` in nanoseconds: the median over nine runs of `calls`
/// calls each.
pub fn time_ns<T>(calls: usize, mut work: impl FnMut() -> T) -> f64 {
    const RUNS: usize = 9;
    let mut runs: Vec<f64> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..calls {
                black_box(work());
            }
            start.elapsed().as_nanos() as f64 / calls as f64
        })
        .collect();
    runs.sort_by(f64::total_cmp);
    runs[RUNS / 2]
}

/// Returns the processor time that a process has used so far, in seconds; 0 if it cannot be read.
/// `process` is a process id or `self`.
pub fn cpu_s(process: &str) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The process name in parentheses may contain spaces. User and system time are the 12th and
    // 13th fields after it.
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = after_name.split(' ').skip(11).take(2);
    ticks
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum::<f64>()
        / TICKS_PER_S
}

/// Returns the resident memory of a process in bytes; 0 if it cannot be read. `process` is a
/// process id or `self`.
pub fn resident_bytes(process: &str) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the resident memory in bytes that `build` adds for each of the `count` entries that it
/// builds.
pub fn bytes_per_entry<T>(count: usize, build: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes("self");
    let built = build();
    let after = resident_bytes("self");
    // Never freed: the next measurement would reuse freed memory and show too little growth.
    std::mem::forget(black_box(built));
    after.saturating_sub(before) as f64 / count as f64
}
