//! `jacinthpoint node`: runs a node until SIGTERM, then stops as planned.

use std::{
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_node::{Node, NodeSettings, parse_settings};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::{args::NodeArgs, logs};

/// The settings are faulty or an address cannot be bound.
const EXIT_SETTINGS: u8 = 3;
/// The planned stop cut requests.
const EXIT_CUT: u8 = 4;
/// How often signals and drains are looked for.
const POLL_MS: u64 = 20;

/// Runs the command.
pub fn run(args: &NodeArgs) -> ExitCode {
    logs::init(args.json_logs, "info");
    let Some(settings) = read_settings(&args.settings) else {
        return ExitCode::from(EXIT_SETTINGS);
    };
    let signals = match count_signals() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("jacinthpoint: signals cannot be caught: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match Node::start(settings) {
        Ok(node) => run_until_stopped(&node, &signals),
        Err(error) => {
            eprintln!("jacinthpoint: {}: {error}", args.settings);
            ExitCode::from(EXIT_SETTINGS)
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

fn run_until_stopped(node: &Node, signals: &AtomicUsize) -> ExitCode {
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
    while node.wait_idle(POLL_MS) > 0 {
        let second_signal = signals.load(Ordering::SeqCst) > 0;
        if second_signal || Instant::now() >= deadline {
            let cut = node.in_flight();
            eprintln!("jacinthpoint: stopped with {cut} requests cut");
            return ExitCode::from(EXIT_CUT);
        }
    }
    ExitCode::SUCCESS
}
