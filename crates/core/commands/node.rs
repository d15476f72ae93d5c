//! `jacinthpoint node`: runs a node until SIGTERM, then stops as planned.

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

/// How often signals and drains are looked for.
const POLL_MS: u64 = 20;

/// Runs the command.
pub fn run(args: &NodeArgs) -> Exit {
    logs::init(args.json_logs, "info");
    let Some(settings) = read_settings(&args.settings) else {
        return Exit::Faulty;
    };
    let signals = match count_signals() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("jacinthpoint: signals cannot be caught: {error}");
            return Exit::Faulty;
        }
    };
    match Node::start(settings) {
        Ok(node) => run_until_stopped(&node, &signals),
        Err(error) => {
            eprintln!("jacinthpoint: {}: {error}", args.settings);
            Exit::Faulty
        }
    }
}

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

fn count_signals() -> std::io::Result<Arc<AtomicUsize>> {
    let count = Arc::new(AtomicUsize::new(0));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register_usize(signal, count.clone(), 1)?;
    }
    Ok(count)
}

fn run_until_stopped(node: &Node, signals: &AtomicUsize) -> Exit {
    println!(
        "callers on {}, operators on {}",
        node.callers_address(),
        node.operators_address()
    );
    while signals.load(Ordering::SeqCst) == 0 && !node.is_draining() {
        thread::sleep(Duration::from_millis(POLL_MS));
    }
    signals.store(0, Ordering::SeqCst);
    node.begin_drain();
    let deadline = Instant::now() + Duration::from_millis(node.drain_deadline_ms());
    while !node.wait_drained(POLL_MS) {
        let second_signal = signals.load(Ordering::SeqCst) > 0;
        if second_signal || Instant::now() >= deadline {
            return report_cut(node, second_signal);
        }
    }
    Exit::Success
}

/// Says what the end of the process cuts. Connections without a request lose nothing.
fn report_cut(node: &Node, second_signal: bool) -> Exit {
    let cut = node.open_requests();
    let why = if second_signal {
        "a second signal"
    } else {
        "the deadline of the planned stop"
    };
    eprintln!(
        "jacinthpoint: stopped by {why} with {} requests cut",
        cut.len()
    );
    for request in &cut {
        eprintln!("jacinthpoint: cut {request}");
    }
    if cut.is_empty() {
        Exit::Success
    } else {
        Exit::Cut
    }
}
