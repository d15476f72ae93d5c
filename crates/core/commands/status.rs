//! `jacinthpoint status`: prints one line with the state of each node.

use std::{fmt, net::SocketAddr, time::Duration};

use serde::Deserialize;

use crate::{args::StatusArgs, exit::Exit};

/// Time after which a node counts as not answering.
const TIMEOUT_MS: u64 = 2_000;

/// Fields of a node's `/status` that this command prints.
#[derive(Debug, Deserialize)]
struct NodeStatus {
    node: String,
    data_centre: String,
    revision: u64,
    draining: bool,
    in_flight: u32,
    permits: Vec<serde::de::IgnoredAny>,
    peers: Vec<serde::de::IgnoredAny>,
}

impl fmt::Display for NodeStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.draining { "draining" } else { "serving" };
        write!(
            f,
            "{} {} revision {} {state} in-flight {} groups {} peers {}",
            self.node,
            self.data_centre,
            self.revision,
            self.in_flight,
            self.permits.len(),
            self.peers.len()
        )
    }
}

/// Runs the command. A node that does not answer takes precedence over an older revision in the
/// exit code.
pub fn run(args: &StatusArgs) -> Exit {
    let mut exit = Exit::Success;
    for node in &args.nodes {
        match fetch(*node) {
            Ok(status) => {
                println!("{node} {status}");
                let is_older = args
                    .revision
                    .is_some_and(|min_revision| status.revision < min_revision);
                if is_older && exit == Exit::Success {
                    exit = Exit::Negative;
                }
            }
            Err(error) => {
                println!("{node} no answer: {error}");
                exit = Exit::Unreachable;
            }
        }
    }
    exit
}

fn fetch(node: SocketAddr) -> attohttpc::Result<NodeStatus> {
    let timeout = Duration::from_millis(TIMEOUT_MS);
    attohttpc::get(format!("http://{node}/status"))
        .timeout(timeout)
        .send()?
        .error_for_status()?
        .json()
}
