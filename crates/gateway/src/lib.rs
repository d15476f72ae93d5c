//! The gateway receives callers' requests and sends them to upstreams.
//!
//! It runs on the VMs of the users' platform, which also provides the load balancer and the store.
//! The users are the organisation that runs this platform.
//!
//! The crates that this one uses make the decisions; this one does the network calls, timers, logs
//! and metrics. All tasks run on one thread: a VM has a fraction of one core, so a second thread
//! would only add context switches.
//!
//! - `edge` accepts callers' connections. `call` answers their requests over connections to
//!   upstreams, which `pool` keeps.
//! - `watch` reads the fleet's state into `state`, and `relay` serves it to other gateways.
//! - `quarantine` exchanges records of parts of prompts that crash upstreams, through the store.
//! - `reach` finds out whether this gateway reaches any upstream.
//! - `lease` selects one gateway at a time, whose `owner` sends the orders that form and repair
//!   replica groups: upstreams that serve one model together.
//! - `peers` receives datagrams of other gateways for `alarm` and `load_reports`.

pub use crate::{
    events::EventCode,
    run::{GatewayError, run},
    settings::{GatewaySettings, KEYS as SETTINGS_KEYS, parse_settings},
};

mod alarm;
pub mod body;
pub mod buffered;
mod call;
mod capacity_exchange;
mod clock;
mod connection;
mod datagram;
mod edge;
mod events;
mod excluded_peers;
mod explain;
pub mod framing;
mod lease;
mod limit_exchange;
mod load_exchange;
mod load_reports;
pub mod memory;
mod metrics;
mod owner;
pub mod panics;
mod pauses;
mod peers;
mod pool;
mod quarantine;
mod reach;
mod refused_entries;
mod relay;
mod roster;
mod run;
mod settings;
mod state;
mod store;
mod view_positions;
mod warm_ups;
mod watch;
