//! The node: threads, sockets and HTTP around the decision crates.
//!
//! A node takes callers' requests, routes them to upstreams, and takes its share of the control
//! work. Every node runs this same program. Nothing here decides on groups, permits, routes or
//! limits; it carries events to the crates that do and carries out what they say.

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
mod settings;
mod shared;
