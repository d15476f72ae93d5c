//! Measures the memory of each kind of state. Runs in a process of its own: memory freed by earlier
//! measurements would be reused and make the growth too small.

use crate::{config, cost::bytes_per_entry, membership, permits};

/// Number of copies built of each state, so that the growth is large compared with the process's
/// own memory.
const COPIES: usize = 50;

/// Prints the table.
pub fn measure() {
    println!("| state | entries | bytes/entry |");
    println!("| --- | --- | --- |");
    for count in [42, 420] {
        print_row("peers of a node", count, || {
            membership::node_with_peers(count)
        });
    }
    for groups in [50, 500] {
        print_row("permits of a node", groups, || {
            permits::permit_table(groups)
        });
    }
    for size in [200, 2_000] {
        print_row("records in force", size, || config::config_with(size));
    }
}

/// Prints the bytes per entry of a state with `count` entries.
fn print_row<T>(state: &str, count: usize, build: impl Fn() -> T) {
    let bytes = bytes_per_entry(COPIES * count, || {
        (0..COPIES).map(|_| build()).collect::<Vec<T>>()
    });
    println!("| {state} | {count} | {bytes:.0} |");
}
