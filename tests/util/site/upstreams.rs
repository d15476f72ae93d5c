//! Engines and servers of a site: started, killed, replaced and paused.

use std::{
    net::SocketAddr,
    sync::{MutexGuard, PoisonError},
};

use jacinthpoint_platform::MemberRole;
use jacinthpoint_standins::wall_ms;
use serde_json::Value;

use crate::util::{Missing, Process, Site, Upstream, post_json};

impl Site {
    pub fn start_engine(&mut self, vm: &str, domain: &str) {
        let route = self.route_to(vm, "tcp", None);
        self.start_engine_at(vm, domain, route);
    }

    fn start_engine_at(&mut self, vm: &str, domain: &str, route: Option<SocketAddr>) {
        let platform = self.platform_seen_by(vm).to_string();
        let run_log = self.folder.join(format!("{vm}.jsonl"));
        let run_log = run_log.to_str().expect("the path is UTF-8");
        let advertise = route.map(|route| route.to_string());
        let mut args = vec!["engine", "--vm", vm, "--fabric-domain", domain];
        args.extend(["--platform", platform.as_str(), "--run-log", run_log]);
        if let Some(advertise) = &advertise {
            args.extend(["--advertise", advertise.as_str()]);
        }
        args.extend(self.options.engine_args.iter().map(String::as_str));
        let http_proxy = self.links.as_ref().map(|links| links.http_proxy(vm));
        let (process, address) = Process::standin_behind(http_proxy, &args);
        if let (Some(links), Some(route)) = (&self.links, route) {
            links.set_target(route, address);
        }
        let upstream = Upstream {
            process,
            address,
            domain: domain.to_owned(),
            route,
        };
        self.engines.insert(vm.to_owned(), upstream);
    }

    /// Kills an engine's VM.
    pub fn kill_engine(&mut self, vm: &str) {
        let engine = self.engines.remove(vm).expect("the engine runs");
        drop(engine.process);
        self.note_missing(vm);
    }

    /// Replaces an engine's VM by another one on the same address and in the same domain.
    pub fn replace_engine(&mut self, vm: &str, by: &str) {
        let (domain, route) = {
            let engine = &self.engines[vm];
            (engine.domain.clone(), engine.route)
        };
        self.kill_engine(vm);
        self.start_engine_at(by, &domain, route);
    }

    /// Pauses an engine's process.
    pub fn pause_engine(&self, vm: &str) {
        self.engines[vm].process.signal("STOP");
        self.note_missing(vm);
    }

    /// Lets a paused engine's process go on.
    pub fn resume_engine(&self, vm: &str) {
        self.note_present(vm);
        self.engines[vm].process.signal("CONT");
    }

    fn note_missing(&self, vm: &str) {
        self.missing_list().push(Missing {
            vm: vm.to_owned(),
            from_ms: wall_ms(),
            to_ms: None,
        });
    }

    fn note_present(&self, vm: &str) {
        let now_ms = wall_ms();
        let mut missing = self.missing_list();
        for entry in missing.iter_mut().filter(|entry| entry.vm == vm) {
            entry.to_ms.get_or_insert(now_ms);
        }
    }

    /// When VMs were missing.
    pub fn missing(&self) -> Vec<Missing> {
        self.missing_list().clone()
    }

    fn missing_list(&self) -> MutexGuard<'_, Vec<Missing>> {
        self.missing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn start_service(&mut self, vm: &str) {
        let run_log = self.folder.join(format!("{vm}.jsonl"));
        let run_log = run_log.to_str().expect("the path is UTF-8");
        let mut args = vec!["service", "--vm", vm, "--service", "enquiries"];
        args.extend(["--run-log", run_log]);
        let (process, address) = Process::standin(&args);
        let route = self.route_to(vm, "tcp", Some(address));
        let role = MemberRole::Service("enquiries".parse().expect("a valid name"));
        self.register(vm, role, route.unwrap_or(address));
        let upstream = Upstream {
            process,
            address,
            domain: "entry".to_owned(),
            route,
        };
        self.services.insert(vm.to_owned(), upstream);
    }

    /// Switches a fault of an engine on.
    pub fn engine_fault(&self, vm: &str, fault: &Value) {
        post_json(self.engines[vm].address, "/control/fault", fault);
    }
}
