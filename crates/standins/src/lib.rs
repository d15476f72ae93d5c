//! Stand-ins for what surrounds the system: the platform, model engines, plain
//! services, and a fault proxy for the links between all of them.
//!
//! Each speaks a small stated protocol over HTTP and has faults that can be switched on while it
//! runs, through paths below `/control/`. They exist for tests, measurements and the demo, and are
//! not part of a release.

pub use crate::{
    engine::{Engine, EngineFault, EngineOptions},
    platform::{PlatformFault, PlatformOptions, PlatformServer, Registration},
    proxy::{
        LinkFault, LinkState, LinkTraffic, ProxyOptions, ProxyServer, RouteSpec, Rule, Rules,
        Transport,
    },
    run_log::{RunLog, RunRecord, wall_ms},
    service::{ServiceOptions, ServiceServer},
};

pub mod load;
pub mod text;

mod engine;
mod http;
mod platform;
mod proxy;
mod run_log;
mod service;
