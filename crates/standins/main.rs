//! Runs one stand-in as a process of its own until it is killed, after printing its address.

use std::{error::Error, net::SocketAddr, path::PathBuf, process::ExitCode, thread};

use gumdrop::Options;
use jacinthpoint_platform::{MemberRole, MemberState, PlatformMember};
use jacinthpoint_standins::{
    Engine, EngineOptions, PlatformOptions, PlatformServer, ProxyOptions, ProxyServer,
    Registration, ServiceOptions, ServiceServer,
    load::{
        OpenLoop, Shape, arrivals, experiment, experiment_names, limits_table, send_open_loop,
        table,
    },
};

mod ledger_bench;

/// How long an engine stays on the membership list without registering again.
const REGISTRATION_LEASE_MS: u64 = 2_000;

/// The experiment on fleet-wide limits, which has a table of its own.
const LIMITS: &str = "limits";

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
    #[options(help = "open-loop load on running nodes; prints a report")]
    Load(LoadArgs),
    #[options(help = "cost of at-most-once records; prints a table")]
    LedgerBench(ledger_bench::LedgerBenchArgs),
    #[options(help = "an experiment of the decision crates; prints a table")]
    Experiment(ExperimentArgs),
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

#[derive(Debug, Options)]
struct LoadArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "callers' address of a node; may be given several times",
        no_short
    )]
    node: Vec<SocketAddr>,
    #[options(help = "share of the first node among them", no_short)]
    first_share: Option<f64>,
    #[options(help = "key of the organisation that asks", required, no_short)]
    key: String,
    #[options(help = "model to ask for", default = "jp-model", no_short)]
    model: String,
    #[options(help = "coralbank or tongyeong", default = "coralbank", no_short)]
    shape: String,
    #[options(help = "arrivals a second", default = "20", no_short)]
    rate_per_s: f64,
    #[options(help = "time during which requests come", default = "10000", no_short)]
    duration_ms: u64,
    #[options(help = "seed of the arrivals", default = "1", no_short)]
    seed: u64,
    #[options(help = "report as CSV", no_short)]
    csv: bool,
}

#[derive(Debug, Options)]
struct ExperimentArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "its name")]
    name: String,
    #[options(help = "seed of the arrivals and choices", default = "1", no_short)]
    seed: u64,
    #[options(help = "each variant's whole report as CSV", no_short)]
    csv: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let run = match args.command {
        Some(Command::Platform(args)) => platform(&args),
        Some(Command::Engine(args)) => engine(&args),
        Some(Command::LedgerBench(args)) => ledger_bench::run(&args),
        Some(Command::Service(args)) => service(&args),
        Some(Command::Load(args)) => open_loop(&args),
        Some(Command::Experiment(args)) => run_experiment(&args),
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

fn open_loop(args: &LoadArgs) -> Result<(), Box<dyn Error>> {
    let shape = match args.shape.as_str() {
        "coralbank" => Shape::coralbank(),
        "tongyeong" => Shape::tongyeong(),
        other => return Err(format!("no shape {other:?}").into()),
    };
    if args.node.is_empty() {
        return Err("no --node given".into());
    }
    let count = args.node.len() as f64;
    let first = args.first_share.unwrap_or(1.0 / count);
    let others = (1.0 - first) / (count - 1.0).max(1.0);
    let nodes = args.node.iter().enumerate();
    let target = OpenLoop {
        nodes: nodes
            .map(|(index, node)| (*node, if index == 0 { first } else { others }))
            .collect(),
        key: args.key.clone(),
        model: args.model.clone(),
    };
    let all = arrivals(&shape, args.rate_per_s, args.duration_ms, args.seed);
    let report = send_open_loop(&target, &all);
    print!(
        "{}",
        if args.csv {
            report.csv()
        } else {
            report.text()
        }
    );
    Ok(())
}

fn run_experiment(args: &ExperimentArgs) -> Result<(), Box<dyn Error>> {
    if args.name == LIMITS {
        print!("{}", limits_table(args.seed));
        return Ok(());
    }
    let rows = experiment(&args.name, args.seed).ok_or_else(|| {
        let names = experiment_names().join(", ");
        format!("no experiment {:?}; there are {names}, {LIMITS}", args.name)
    })?;
    if args.csv {
        for row in &rows {
            println!("# {}", row.variant);
            print!("{}", row.outcomes.report.csv());
        }
    } else {
        print!("{}", table(&rows));
    }
    Ok(())
}
