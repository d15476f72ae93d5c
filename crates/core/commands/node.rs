//! `jacinthpoint node`: runs a node until SIGTERM, SIGINT or `jacinthpoint drain`, then drains and
//! stops it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_node::{Node, NodeSettings, parse_settings};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::{args::NodeArgs, exit::Exit, logs};

/// Interval at which signals and drain requests are checked.
const POLL_MS: u64 = 20;

/// Runs the command.
pub fn run(args: &NodeArgs) -> Exit {
    logs::init_stderr(args.json_logs, "info");
    let Some(settings) = read_settings(&args.settings) else {
        return Exit::Faulty;
    };
    let signal_flag = match register_signal_flag() {
        Ok(signal_flag) => signal_flag,
        Err(error) => {
            eprintln!("jacinthpoint: signals cannot be caught: {error}");
            return Exit::Faulty;
        }
    };
    match Node::start(settings) {
        Ok(node) => run_until_stopped(&node, &signal_flag),
        Err(error) => {
            eprintln!("jacinthpoint: {}: {error}", args.settings);
            Exit::Faulty
        }
    }
}

/// Reads and validates the settings file; prints every error and returns `None` on failure.
fn read_settings(path: &str) -> Option<NodeSettings> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("jacinthpoint: {path}: {error}");
            return None;
        }
    };
    match parse_settings(&text) {
        Ok(settings) => Some(settings),
        Err(errors) => {
            for error in errors {
                eprintln!("jacinthpoint: {path}: {error}");
            }
            None
        }
    }
}

/// Registers handlers for SIGTERM and SIGINT that set the returned flag to 1.
fn register_signal_flag() -> std::io::Result<Arc<AtomicUsize>> {
    let flag = Arc::new(AtomicUsize::new(0));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register_usize(signal, flag.clone(), 1)?;
    }
    Ok(flag)
}

/// Serves until a signal or a drain request, then drains the node. A signal during the drain or the
/// drain deadline ends the drain early.
fn run_until_stopped(node: &Node, signal_flag: &AtomicUsize) -> Exit {
    println!(
        "callers on {}, operators on {}",
        node.callers_address(),
        node.operators_address()
    );
    while signal_flag.load(Ordering::SeqCst) == 0 && !node.is_draining() {
        thread::sleep(Duration::from_millis(POLL_MS));
    }
    // From here on, the flag shows a signal during the drain.
    signal_flag.store(0, Ordering::SeqCst);
    node.begin_drain();
    let deadline = Instant::now() + Duration::from_millis(node.drain_deadline_ms());
    while !node.wait_drained(POLL_MS) {
        let by_signal = signal_flag.load(Ordering::SeqCst) > 0;
        if by_signal || Instant::now() >= deadline {
            return report_cut_requests(node, by_signal);
        }
    }
    Exit::Success
}

/// Prints the requests that the end of the process cuts, and returns the exit code. Idle
/// connections do not count, as closing them loses nothing.
fn report_cut_requests(node: &Node, by_signal: bool) -> Exit {
    let cut = node.open_requests();
    let cause = if by_signal {
        "a second signal"
    } else {
        "the deadline of the planned stop"
    };
    eprintln!(
        "jacinthpoint: stopped by {cause} with {} requests cut",
        cut.len()
    );
    for request in &cut {
        eprintln!("jacinthpoint: cut {request}");
    }
    if cut.is_empty() {
        Exit::Success
    } else {
        Exit::RequestsCut
    }
}
