//! The gateway receives requests of callers on the users' platform and sends them to upstreams.
//!
//! The crates that this one uses make the decisions; this one does the network calls, timers, logs
//! and metrics. All tasks run on one thread: a VM has a fraction of one core, so a second thread
//! would only add context switches.
//!
//! ```text
//! edge -> call -> (pool -> upstream)          serves callers
//! watch -> state, relay                       reads the fleet's state and serves it to others
//! lease -> owner -> (connection -> upstream)  one gateway at a time forms and repairs groups
//! peers -> alarm, load_reports                receives datagrams of other gateways
//! ```

pub use crate::{
    events::EventCode,
    run::{GatewayError, run},
    settings::{GatewaySettings, KEYS as SETTINGS_KEYS, parse_settings},
};

mod alarm;
mod body;
mod call;
mod clock;
mod connection;
mod datagram;
mod edge;
mod events;
mod excluded_peers;
mod lease;
mod load_exchange;
mod load_reports;
mod metrics;
mod owner;
mod peers;
mod pool;
mod relay;
mod roster;
mod run;
mod settings;
mod state;
mod store;
mod watch;
