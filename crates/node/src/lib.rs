//! A node accepts callers' requests, routes them to upstreams, and performs part of the fleet's
//! control work. All nodes run the same program.
//!
//! This crate holds the threads, sockets and HTTP handling of a node. Decisions on groups, permits,
//! routes and limits are made in crates without I/O; this crate passes events to them and performs
//! the actions that they return.

pub use crate::{
    drain::OpenRequest,
    events::EventCode,
    node::Node,
    settings::{
        Absent, AdmissionSettings, KEYS as SETTINGS_KEYS, NodeSettings, SettingsError, SettingsKey,
        parse_settings,
    },
};
pub use jacinthpoint_placement::RepairSettings;

mod caller;
mod clock;
mod control;
mod drain;
mod events;
mod http;
mod ledger;
mod metrics;
mod node;
mod operator;
mod panics;
mod settings;
mod shared;
