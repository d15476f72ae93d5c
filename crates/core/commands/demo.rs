//! `jacinthpoint demo`: serves sample requests with platform, engines and nodes in this process
//! while a group member fails and restarts. Succeeds if every request is answered and no
//! non-idempotent request runs twice.

use std::{
    error::Error,
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use jacinthpoint_node::Node;

use crate::{
    commands::demo::{callers::send_until_accepted, site::Site},
    exit::Exit,
    logs,
};

mod callers;
mod site;

/// Number of requests sent.
const REQUESTS: usize = 300;
/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Number of nodes.
const NODES: usize = 3;
/// Each organisation with its API key.
const KEYS: [(&str, &str); 3] = [
    ("coralbank", "demo-key-1"),
    ("tongyeong", "demo-key-2"),
    ("harbour", "demo-key-3"),
];

/// Runs the command.
pub fn run() -> Exit {
    logs::init_stderr(false, "error");
    match demo() {
        Ok(true) => Exit::Success,
        Ok(false) => Exit::Negative,
        Err(error) => {
            eprintln!("demo: {error}");
            Exit::Negative
        }
    }
}

/// Runs the demo, prints the totals and returns whether it succeeded.
fn demo() -> Result<bool, Box<dyn Error>> {
    let mut site = Site::start()?;
    println!("demo: {NODES} nodes, {} engines", site.engines.len());
    site.wait_until_ready()?;
    println!("demo: groups serve");
    let totals = serve(&mut site)?;
    let runs_by_request = site.runs_by_request();
    let lost = totals.accepted - totals.answered;
    let runs =
        |ids: &Vec<String>| -> usize { ids.iter().filter_map(|id| runs_by_request.get(id)).sum() };
    let twice = totals
        .non_idempotent_ids
        .iter()
        .filter(|ids| runs(ids) > 1)
        .count();
    println!(
        "demo: {} accepted, {} answered, {lost} lost, {twice} run twice",
        totals.accepted, totals.answered
    );
    Ok(totals.accepted == REQUESTS && lost == 0 && twice == 0)
}

/// Results summed over all requests.
#[derive(Debug, Default)]
struct Totals {
    /// Requests that a node accepted.
    accepted: usize,
    /// Requests whose complete and correct answer arrived.
    answered: usize,
    /// Ids of each non-idempotent request, one for each attempt; empty for other requests.
    non_idempotent_ids: Vec<Vec<String>>,
}

/// Sends all requests. One group member stops after a third of them and restarts after two thirds.
fn serve(site: &mut Site) -> Result<Totals, Box<dyn Error>> {
    let addresses: Vec<SocketAddr> = site.nodes.iter().map(Node::callers_address).collect();
    let next = AtomicUsize::new(0);
    let totals = Mutex::new(Totals::default());
    // The first VM of rack-1. The planner assigns free VMs in the order of their names, so it is a
    // group member and not the rack's spare VM.
    let stopped_vm = site.engines.keys().next().cloned().unwrap_or_default();
    thread::scope(|scope| -> Result<(), Box<dyn Error>> {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= REQUESTS {
                        return;
                    }
                    let result = send_until_accepted(&addresses, number);
                    let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
                    totals.accepted += usize::from(result.accepted);
                    totals.answered += usize::from(result.answered);
                    totals.non_idempotent_ids.push(result.non_idempotent_ids);
                }
            });
        }
        wait_until_taken(&next, REQUESTS / 3);
        println!("demo: the engine on {stopped_vm} stops");
        if let Some(engine) = site.engines.remove(&stopped_vm) {
            site.stopped_run_logs.push(engine.run_log().clone());
        }
        wait_until_taken(&next, 2 * REQUESTS / 3);
        println!("demo: the engine on {stopped_vm} restarts");
        site.start_engine(&stopped_vm, "rack-1")
    })?;
    Ok(totals.into_inner().unwrap_or_else(PoisonError::into_inner))
}

/// Waits until the callers have taken `count` requests.
fn wait_until_taken(next: &AtomicUsize, count: usize) {
    while next.load(Ordering::Relaxed) < count {
        thread::sleep(Duration::from_millis(10));
    }
}
