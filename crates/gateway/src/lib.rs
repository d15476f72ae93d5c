//! The gateway: serves callers on the users' platform.
//!
//! One thread runs everything: a VM has a part of one core, so a second thread would only add
//! switches between threads. Decisions are in the crates below; here are sockets and timers.
//!
//! ```text
//! edge -> call -> (pool -> upstream)          serves callers
//! watch -> state, relay                       keeps the view of the fleet and passes it on
//! lease -> owner -> (pool -> upstream)        one gateway at a time forms groups
//! peers -> alarm, load_reports                what gateways tell each other
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
