//! `jacinthpoint drain`: begins the planned stop of nodes, without waiting for its end.

use std::{net::SocketAddr, time::Duration};

use crate::{args::DrainArgs, exit::Exit};

/// Time after which a node counts as not answering.
const TIMEOUT_MS: u64 = 2_000;

/// Runs the command. Asks every node, also after one did not answer.
pub fn run(args: &DrainArgs) -> Exit {
    let mut exit = Exit::Success;
    for node in &args.nodes {
        match drain(*node) {
            Ok(()) => println!("{node} draining"),
            Err(error) => {
                println!("{node} no answer: {error}");
                exit = Exit::Unreachable;
            }
        }
    }
    exit
}

fn drain(node: SocketAddr) -> attohttpc::Result<()> {
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let answer = attohttpc::post(format!("http://{node}/drain"))
        .timeout(timeout)
        .send()?;
    answer.error_for_status()?;
    Ok(())
}
