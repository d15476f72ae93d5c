//! Memory of each kind of state, in a process that has freed nothing before.

use crate::{config, cost::bytes_each, membership, permits};

/// Copies built of each state, so that its memory stands out from the process's.
const COPIES: usize = 50;

/// Prints the table.
pub fn measure() {
    println!("| state | things | bytes each |");
    println!("| --- | --- | --- |");
    for count in [42, 420] {
        row("peers of a node", count, || membership::node_knowing(count));
    }
    for groups in [50, 500] {
        row("permits of a node", groups, || permits::table_of(groups));
    }
    for size in [200, 2_000] {
        row("records in force", size, || config::config_of(size));
    }
}

fn row<T>(state: &str, count: usize, build: impl Fn() -> T) {
    let bytes = bytes_each(COPIES * count, || {
        (0..COPIES).map(|_| build()).collect::<Vec<T>>()
    });
    println!("| {state} | {count} | {bytes:.0} |");
}
