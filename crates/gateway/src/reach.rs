//! Checks whether this gateway reaches any upstream, after connections to several of them failed.

use std::{rc::Rc, time::Duration};

use jacinthpoint_types::VmId;
use rand::seq::IndexedRandom;
use tokio::{net::TcpStream, task::JoinSet, time::timeout};

use crate::{clock::sleep_ms, events::log_event, state::Gateway};

/// Time between two looks at whether a check is needed.
const INTERVAL_MS: u64 = 50;
/// Time between two checks while no upstream can be reached.
const CUT_INTERVAL_MS: u64 = 300;
/// Number of upstreams, chosen at random, to which a check opens connections.
const CHECKED_UPSTREAMS: usize = 4;
/// Timeout of these connections. Connections within a region take a few milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Checks for ever, when needed, whether any upstream can be reached, and logs the changes.
pub(crate) async fn maintain_reach(gateway: Rc<Gateway>) {
    loop {
        let is_cut = gateway.reach.borrow().is_cut();
        sleep_ms(if is_cut { CUT_INTERVAL_MS } else { INTERVAL_MS }).await;
        let upstreams = gateway.view.borrow().upstreams().len();
        if !gateway.reach.borrow().needs_check(upstreams) {
            continue;
        }
        let is_reached = is_any_reached(&gateway).await;
        let now = gateway.now();
        if gateway.reach.borrow_mut().on_checked(is_reached, now) {
            gateway.metrics.count("reach_changes", "checked");
            log_event!(
                warn,
                ReachChanged,
                is_reached,
                "this gateway reaches no upstream, or reaches one again"
            );
        }
    }
}

/// Returns whether a connection to one of a few upstreams can be established.
async fn is_any_reached(gateway: &Gateway) -> bool {
    let addresses: Vec<_> = {
        let view = gateway.view.borrow();
        let all: Vec<&VmId> = view.upstreams().keys().collect();
        let mut rng = gateway.rng.borrow_mut();
        let chosen = all.choose_multiple(&mut *rng, CHECKED_UPSTREAMS);
        chosen.map(|id| view.upstreams()[*id].address).collect()
    };
    if addresses.is_empty() {
        return true;
    }
    let mut attempts = JoinSet::new();
    for address in addresses {
        attempts.spawn_local(async move {
            let connecting = TcpStream::connect(address);
            let connected = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await;
            matches!(connected, Ok(Ok(_)))
        });
    }
    while let Some(is_connected) = attempts.join_next().await {
        if matches!(is_connected, Ok(true)) {
            return true;
        }
    }
    false
}
