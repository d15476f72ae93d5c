//! One node whose settings the test chooses, on a platform of the test's choice.

use std::net::SocketAddr;

use crate::util::{Folder, Process, wait_until};

/// Time for a node to learn the configuration.
const READY_DEADLINE_MS: u64 = 30_000;

/// A node with its process.
pub struct LoneNode {
    pub process: Process,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    _folder: Folder,
}

impl LoneNode {
    /// Starts a node with these lines in its `[limits]` and waits until it is ready.
    pub fn start(platform: SocketAddr, limits: &str) -> LoneNode {
        LoneNode::start_by(platform, limits, |path| {
            Process::jacinthpoint(None, &["node", path])
        })
    }

    /// Starts a node that may have this many open files, and waits until it is ready.
    pub fn with_open_files(platform: SocketAddr, max_open_files: u32) -> LoneNode {
        let program = env!("CARGO_BIN_EXE_jacinthpoint");
        let command = format!("ulimit -n {max_open_files} && exec {program} node \"$0\"");
        LoneNode::start_by(platform, "", |path| {
            Process::other_build("/bin/sh", &["-c", &command, path])
        })
    }

    fn start_by(
        platform: SocketAddr,
        limits: &str,
        start: impl FnOnce(&str) -> Process,
    ) -> LoneNode {
        let settings = format!(
            "[node]\nname = lone\ndata_centre = dc-1\n\n[listen]\ncallers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\n[platform]\naddress = {platform}\n\n\
             [limits]\n{limits}\n"
        );
        let folder = Folder::with(&[("node.ini", &settings)]);
        let path = format!("{}/node.ini", folder.path());
        let process = start(&path);
        let [callers, operators] = addresses(process.first_line());
        let node = LoneNode {
            process,
            callers,
            operators,
            _folder: folder,
        };
        wait_until("the node is ready", READY_DEADLINE_MS, || {
            node.readiness() == 200
        });
        node
    }

    /// Status of its readiness check; 0 if there is no answer.
    pub fn readiness(&self) -> u16 {
        let answer = attohttpc::get(format!("http://{}/ready", self.operators)).send();
        answer.map_or(0, |answer| answer.status().as_u16())
    }
}

/// The addresses in `callers on A, operators on B`.
fn addresses(line: &str) -> [SocketAddr; 2] {
    let mut found = line.split([' ', ',']).filter_map(|word| word.parse().ok());
    [(); 2].map(|()| found.next().expect("a node prints its addresses"))
}
