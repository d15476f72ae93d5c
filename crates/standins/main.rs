//! Runs one stand-in as a process of its own until it is killed, after printing its address.

use std::{error::Error, net::SocketAddr, path::PathBuf, process::ExitCode, thread};

use gumdrop::Options;
use jacinthpoint_platform::{MemberRole, MemberState, PlatformMember};
use jacinthpoint_standins::{
    Engine, EngineOptions, PlatformOptions, PlatformServer, ProxyOptions, ProxyServer,
    Registration, ServiceOptions, ServiceServer,
};

/// How long an engine stays on the membership list without registering again.
const REGISTRATION_LEASE_MS: u64 = 2_000;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "the platform")]
    Platform(PlatformArgs),
    #[options(help = "a model engine")]
    Engine(EngineArgs),
    #[options(help = "a plain service")]
    Service(ServiceArgs),
    #[options(help = "a fault proxy")]
    Proxy(ProxyArgs),
}

#[derive(Debug, Options)]
struct PlatformArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0", no_short)]
    listen: String,
    #[options(help = "age of the membership list in ms", default = "500", no_short)]
    lag_ms: u64,
}

#[derive(Debug, Options)]
struct EngineArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0", no_short)]
    listen: String,
    #[options(help = "name of the VM", required, no_short)]
    vm: String,
    #[options(help = "data centre", default = "dc-1", no_short)]
    data_centre: String,
    #[options(help = "fabric domain", default = "rack-1", no_short)]
    fabric_domain: String,
    #[options(help = "platform to register with", no_short)]
    platform: Option<SocketAddr>,
    #[options(
        help = "address to register in place of its own, such as a proxy's",
        no_short
    )]
    advertise: Option<SocketAddr>,
    #[options(help = "time between tokens in ms", default = "5", no_short)]
    token_ms: u64,
    #[options(help = "time before the first token in ms", default = "20", no_short)]
    prefill_ms: u64,
    #[options(help = "time to load weights in ms", default = "300", no_short)]
    load_ms: u64,
    #[options(help = "requests run at once", default = "32", no_short)]
    slots: usize,
    #[options(help = "obey orders with old fencing numbers", no_short)]
    ignore_fencing: bool,
    #[options(help = "file to append the run log to", no_short)]
    run_log: Option<String>,
}

#[derive(Debug, Options)]
struct ServiceArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0", no_short)]
    listen: String,
    #[options(help = "name of the VM", required, no_short)]
    vm: String,
    #[options(help = "name of the service", required, no_short)]
    service: String,
    #[options(help = "time of a call in ms", default = "5", no_short)]
    call_ms: u64,
    #[options(help = "file to append the run log to", no_short)]
    run_log: Option<String>,
}

#[derive(Debug, Options)]
struct ProxyArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "address of the control paths",
        default = "127.0.0.1:0",
        no_short
    )]
    listen: String,
    #[options(help = "seed of the loss on each link", default = "1", no_short)]
    seed: u64,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let run = match args.command {
        Some(Command::Platform(args)) => platform(&args),
        Some(Command::Engine(args)) => engine(&args),
        Some(Command::Service(args)) => service(&args),
        Some(Command::Proxy(args)) => proxy(&args),
        None => Err("no command; see --help".into()),
    };
    match run {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn serve_forever(address: SocketAddr) -> ! {
    println!("{address}");
    loop {
        thread::park();
    }
}

fn platform(args: &PlatformArgs) -> Result<(), Box<dyn Error>> {
    let mut options = PlatformOptions::new();
    options.address = args.listen.parse()?;
    options.membership_lag_ms = args.lag_ms;
    let server = PlatformServer::start(options)?;
    serve_forever(server.address())
}

fn engine(args: &EngineArgs) -> Result<(), Box<dyn Error>> {
    let mut options = EngineOptions::new(args.vm.parse()?);
    options.address = args.listen.parse()?;
    options.advertise = args.advertise;
    options.token_ms = args.token_ms;
    options.prefill_ms = args.prefill_ms;
    options.load_ms = args.load_ms;
    options.slots = args.slots;
    options.refuses_old_orders = !args.ignore_fencing;
    options.run_log = args.run_log.as_ref().map(PathBuf::from);
    if let Some(platform) = args.platform {
        let member = PlatformMember {
            vm: args.vm.parse()?,
            incarnation: 0,
            address: options.address,
            data_centre: args.data_centre.parse()?,
            fabric_domain: args.fabric_domain.parse()?,
            role: MemberRole::Engine,
            state: MemberState::Live,
        };
        let registration = Registration {
            member,
            lease_ms: Some(REGISTRATION_LEASE_MS),
        };
        options.registration = Some((platform, registration));
    }
    let server = Engine::start(options)?;
    serve_forever(server.address())
}

fn service(args: &ServiceArgs) -> Result<(), Box<dyn Error>> {
    let server = ServiceServer::start(ServiceOptions {
        address: args.listen.parse()?,
        vm: args.vm.parse()?,
        service: args.service.parse()?,
        call_ms: args.call_ms,
        run_log: args.run_log.as_ref().map(PathBuf::from),
    })?;
    serve_forever(server.address())
}

fn proxy(args: &ProxyArgs) -> Result<(), Box<dyn Error>> {
    let server = ProxyServer::start(&ProxyOptions {
        address: args.listen.parse()?,
        seed: args.seed,
    })?;
    serve_forever(server.address())
}
