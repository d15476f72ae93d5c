//! Gateways as processes, with the settings that the deploy file's template makes.

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// A folder for settings files that is removed when dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a folder for this process.
    pub fn new() -> Result<Folder, String> {
        let path = std::env::temp_dir().join(format!("review-cases-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// What a machine may use, as the site files give it.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub descriptors: u32,
    pub memory_mb: u64,
    pub core_share: f64,
    pub link_mbps: f64,
}

/// The machines of the small sites.
pub const USUAL: Limits = Limits {
    descriptors: 4_200,
    memory_mb: 260,
    core_share: 0.25,
    link_mbps: 1_000.0,
};

/// A machine of class `front`: its name and address, and its gateway, if that runs.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    store: SocketAddr,
    limits: Limits,
    process: Option<Child>,
}

/// Returns a loopback address that only this run uses.
pub fn loopback(third: usize, fourth: usize) -> Ipv4Addr {
    let octet = |number: usize| u8::try_from(number).expect("it is below 256");
    Ipv4Addr::new(
        127,
        octet(64 + std::process::id() as usize % 128),
        octet(third),
        octet(fourth),
    )
}

/// Ports of all machines, as the platform gives them.
const CALLERS_PORT: u16 = 8227;
const READINESS_PORT: u16 = 8220;
/// Port for other gateways.
pub const PEERS_PORT: u16 = 7340;
const METRICS_PORT: u16 = 9464;

impl Machine {
    /// Returns a machine in the zone `z1` with the settings of the sites' small machines.
    pub fn new(
        folder: &Folder,
        name: &str,
        ip: Ipv4Addr,
        store: SocketAddr,
        is_first_start: bool,
    ) -> Result<Machine, String> {
        let machine = Machine {
            name: name.to_owned(),
            ip,
            settings: folder.0.join(format!("{name}.ini")),
            store,
            limits: USUAL,
            process: None,
        };
        machine.write_settings(is_first_start)?;
        Ok(machine)
    }

    /// Writes the settings file, as the platform does at each start.
    pub fn write_settings(&self, is_first_start: bool) -> Result<(), String> {
        let Machine {
            name, ip, store, ..
        } = self;
        let Limits {
            descriptors,
            memory_mb,
            core_share,
            link_mbps,
        } = self.limits;
        let text = format!(
            "[node]\nname = {name}\ndata_centre = z1\nregions = z1:r1\nfirst_start = {is_first_start}\n\
             [listen]\ncallers = {ip}:{CALLERS_PORT}\nreadiness = {ip}:{READINESS_PORT}\n\
             peers = {ip}:{PEERS_PORT}\nmetrics = {ip}:{METRICS_PORT}\n[store]\naddress = {store}\n\
             [limits]\ndescriptors = {descriptors}\nmemory_mb = {memory_mb}\ncore_share = {core_share}\nlink_mbps = {link_mbps}\n\
             [stop]\ngrace_ms = 8000\n[platform]\nfeatures = base,drain,config,cost,retry,recover,\
             engine,stream,tenants,platform,gangs\n[repeats]\nratio = 0.2\nslack = 130\n\
             window_ms = 10000\n"
        );
        fs::write(&self.settings, text).map_err(|error| error.to_string())
    }

    /// Starts the gateway with the command of the deploy file.
    pub fn start(&mut self, program: &Path) -> Result<(), String> {
        let child = Command::new(program)
            .arg("gateway")
            .env("JACINTHPOINT_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        self.process = Some(child.map_err(|error| format!("the gateway does not start: {error}"))?);
        Ok(())
    }

    /// Gives the machine other limits, with which its gateway starts.
    pub fn set_limits(&mut self, limits: Limits, is_first_start: bool) -> Result<(), String> {
        self.limits = limits;
        self.write_settings(is_first_start)
    }

    /// Returns the memory that the gateway uses, in kilobytes; 0 if it does not run.
    pub fn memory_kb(&self) -> u64 {
        let id = self.process.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.unwrap_or(0)
    }

    /// Kills the gateway.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLERS_PORT))
    }

    /// Returns the answer to the load balancer's question; 0 if there is none.
    pub fn readiness(&self) -> u16 {
        let ask = || -> std::io::Result<u16> {
            let address = SocketAddr::from((self.ip, READINESS_PORT));
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(1_000)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            let mut bytes = [0; 64];
            let count = stream.read(&mut bytes)?;
            let text = String::from_utf8_lossy(&bytes[..count]).into_owned();
            let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
            Ok(status.unwrap_or(0))
        };
        ask().unwrap_or(0)
    }

    /// Waits until the gateway is ready; returns whether it is within `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.readiness() == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
