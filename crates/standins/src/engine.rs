//! A model engine on one VM: member of a replica group, generator of token streams.
//!
//! Protocol, HTTP with JSON:
//!
//! - `POST /v1/completions`, `/v1/chat/completions` with the headers of `jacinthpoint-upstream`
//!   start an attempt and give its tokens as server-sent events. `continue_from` in the body lists
//!   the tokens of an answer begun elsewhere.
//! - `GET /streams/ATTEMPT?offset=N` gives the tokens of a running attempt from N on.
//! - `DELETE /streams/ATTEMPT` cancels.
//! - `GET /state` tells what the engine believes; `POST /orders` gives an order.
//! - `POST /control/fault` switches a fault on; `GET /control/runlog` gives the run log.
//!
//! The first member of a group generates; it asks the others for their state all the time and
//! makes no step while one of them is missing or believes in another assignment.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, atomic::AtomicBool},
    thread,
};

use jacinthpoint_types::VmId;
use serde::{Deserialize, Serialize};

use crate::{engine::state::Shared, http::HttpServer, platform::Registration, run_log::RunLog};

mod attempt;
mod background;
mod handlers;
mod state;

/// Settings of the stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Where to listen.
    pub address: SocketAddr,
    /// Address to register in place of its own, such as a fault proxy's.
    pub advertise: Option<SocketAddr>,
    /// The VM it stands for.
    pub vm: VmId,
    /// Time between tokens.
    pub token_ms: u64,
    /// Time before the first token.
    pub prefill_ms: u64,
    /// Time to load weights.
    pub load_ms: u64,
    /// Requests that run at once; more are queued.
    pub slots: usize,
    /// Requests queued beyond which more are refused.
    pub max_queued: usize,
    /// Age of the load report.
    pub report_lag_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub refuses_old_orders: bool,
    /// Platform to register with, and the entry to register; the address is filled in.
    pub registration: Option<(SocketAddr, Registration)>,
    /// File to append the run log to.
    pub run_log: Option<PathBuf>,
}

impl EngineOptions {
    /// Plain defaults for a VM, on a free loopback port.
    pub fn new(vm: VmId) -> EngineOptions {
        EngineOptions {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: None,
            vm,
            token_ms: 5,
            prefill_ms: 20,
            load_ms: 300,
            slots: 32,
            max_queued: 256,
            report_lag_ms: 300,
            refuses_old_orders: true,
            registration: None,
            run_log: None,
        }
    }
}

/// A fault, switched on by `POST /control/fault`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "kebab-case")]
pub enum EngineFault {
    /// None.
    #[default]
    None,
    /// Nothing is answered and no step is made.
    Pause,
    /// Steps take longer by this factor.
    Straggle {
        /// Factor on the time between tokens.
        factor: f64,
    },
    /// It serves as before and reports that its VM is leaving.
    Leaving,
    /// Every request fails at once with status 500, and the load report says zero.
    ErrorFast,
    /// A request that starts an attempt is read only after one for the stream of that attempt.
    ReadsStartsLate,
}

/// A running engine. Dropping it is the death of its VM: open streams stop without a word.
#[derive(Debug)]
pub struct Engine {
    http: HttpServer,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the run log cannot be opened.
    pub fn start(options: EngineOptions) -> io::Result<Engine> {
        let stopped = Arc::new(AtomicBool::new(false));
        let log = RunLog::open(options.run_log.as_deref())?;
        let shared = Arc::new(Shared::new(options, log, stopped.clone()));
        let handler = shared.clone();
        let http = HttpServer::start(shared.options.address, stopped, move |request| {
            handlers::handle(&handler, request);
        })?;
        let watcher = shared.clone();
        thread::Builder::new()
            .name("standin-peers".to_owned())
            .spawn(move || background::watch_members(&watcher))?;
        let registrar = shared.clone();
        let address = http.address;
        thread::Builder::new()
            .name("standin-register".to_owned())
            .spawn(move || background::keep_registered(&registrar, address))?;
        Ok(Engine { http, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.http.address
    }

    /// What it ran.
    pub fn run_log(&self) -> &RunLog {
        &self.shared.log
    }
}
