//! A plain service: runs each call at once, keeps a run log, echoes what it was asked.
//!
//! Protocol: any method and path is a call and gets `{"service", "vm", "echo"}`;
//! `GET /control/runlog` gives the log.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, atomic::AtomicBool},
    thread,
    time::Duration,
};

use jacinthpoint_types::{ServiceId, VmId};
use jacinthpoint_upstream::{ATTEMPT_HEADER, REQUEST_HEADER};
use serde_json::json;

use crate::{
    http::{HttpServer, header, read_body, respond_json},
    run_log::{RunLog, RunRecord, wall_ms},
};

/// Settings of the stand-in.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Where to listen.
    pub address: SocketAddr,
    /// The VM it stands for.
    pub vm: VmId,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Time a call takes.
    pub call_ms: u64,
    /// File to append the run log to.
    pub run_log: Option<PathBuf>,
}

/// A running plain service.
#[derive(Debug)]
pub struct ServiceServer {
    http: HttpServer,
    log: RunLog,
}

impl ServiceServer {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the run log cannot be opened.
    pub fn start(options: ServiceOptions) -> io::Result<ServiceServer> {
        let log = RunLog::open(options.run_log.as_deref())?;
        let shared_log = log.clone();
        let stopped = Arc::new(AtomicBool::new(false));
        let http = HttpServer::start(options.address, stopped, move |request| {
            handle(&options, &shared_log, request);
        })?;
        Ok(ServiceServer { http, log })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.http.address
    }

    /// What it ran.
    pub fn run_log(&self) -> &RunLog {
        &self.log
    }
}

fn handle(options: &ServiceOptions, log: &RunLog, mut request: tiny_http::Request) {
    if request.url() == "/control/runlog" {
        return respond_json(request, 200, &log.records());
    }
    let Ok(body) = read_body(&mut request) else {
        return;
    };
    let echo = String::from_utf8_lossy(&body).into_owned();
    log.push(RunRecord {
        request: header(&request, REQUEST_HEADER),
        attempt: header(&request, ATTEMPT_HEADER),
        vm: options.vm.to_string(),
        group: String::new(),
        epoch: 0,
        members: Vec::new(),
        body: echo.clone(),
        started_wall_ms: wall_ms(),
    });
    thread::sleep(Duration::from_millis(options.call_ms));
    let answer = json!({ "service": options.service, "vm": options.vm, "echo": echo });
    respond_json(request, 200, &answer);
}
