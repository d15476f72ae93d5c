//! `jacinthpoint demo`: platform, engines and nodes within this process serve sample requests
//! while a group member dies and comes back.

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
    commands::demo::{callers::call, site::Site},
    exit::Exit,
    logs,
};

mod callers;
mod site;

/// Requests sent.
const REQUESTS: usize = 300;
/// Callers at once.
const CALLERS: usize = 8;
/// Nodes.
const NODES: usize = 3;
/// Callers' keys, by organisation.
const KEYS: [(&str, &str); 3] = [
    ("coralbank", "demo-key-1"),
    ("tongyeong", "demo-key-2"),
    ("harbour", "demo-key-3"),
];

/// Runs the command.
pub fn run() -> Exit {
    logs::init(false, "error");
    match demo() {
        Ok(true) => Exit::Success,
        Ok(false) => Exit::Negative,
        Err(error) => {
            eprintln!("demo: {error}");
            Exit::Negative
        }
    }
}

fn demo() -> Result<bool, Box<dyn Error>> {
    let mut site = Site::start()?;
    println!("demo: {NODES} nodes, {} engines", site.engines.len());
    site.wait_until_ready()?;
    println!("demo: groups serve");
    let tally = serve(&mut site)?;
    let log = site.run_logs();
    let lost = tally.accepted - tally.answered;
    let runs = |ids: &Vec<String>| -> usize { ids.iter().filter_map(|id| log.get(id)).sum() };
    let twice = tally.once_only.iter().filter(|ids| runs(ids) > 1).count();
    println!(
        "demo: {} accepted, {} answered, {lost} lost, {twice} run twice",
        tally.accepted, tally.answered
    );
    Ok(tally.accepted == REQUESTS && lost == 0 && twice == 0)
}

#[derive(Debug, Default)]
struct Tally {
    accepted: usize,
    answered: usize,
    /// Ids of each request that may not run twice, over all its sendings.
    once_only: Vec<Vec<String>>,
}

/// Sends all requests; one group member dies after a third and comes back after two thirds.
fn serve(site: &mut Site) -> Result<Tally, Box<dyn Error>> {
    let addresses: Vec<SocketAddr> = site.nodes.iter().map(Node::callers_address).collect();
    let next = AtomicUsize::new(0);
    let tally = Mutex::new(Tally::default());
    let victim = site.engines.keys().next().cloned().unwrap_or_default();
    thread::scope(|scope| -> Result<(), Box<dyn Error>> {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= REQUESTS {
                        return;
                    }
                    let end = call(&addresses, number);
                    let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                    tally.accepted += usize::from(end.accepted);
                    tally.answered += usize::from(end.answered);
                    tally.once_only.push(end.once_only);
                }
            });
        }
        wait_for(&next, REQUESTS / 3);
        println!("demo: {victim} dies");
        if let Some(engine) = site.engines.remove(&victim) {
            site.old_logs.push(engine.run_log().clone());
        }
        wait_for(&next, 2 * REQUESTS / 3);
        println!("demo: {victim} comes back");
        site.start_engine(&victim, "rack-1")
    })?;
    Ok(tally.into_inner().unwrap_or_else(PoisonError::into_inner))
}

fn wait_for(next: &AtomicUsize, count: usize) {
    while next.load(Ordering::Relaxed) < count {
        thread::sleep(Duration::from_millis(10));
    }
}
