//! Parses the command line.
//!
//! `gumdrop` prints the doc comment of each options struct in the help text of its command.

use std::net::SocketAddr;

use gumdrop::Options;

use crate::exit::{EXIT_CODES, Exit};

/// Options before the command.
#[derive(Debug, Options)]
pub struct Args {
    /// Print the help text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the version and exit.
    #[options(help = "print the version", short = "V")]
    pub version: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// A command with its options.
#[derive(Debug, Options)]
pub enum Command {
    /// Runs a node, which stores its state through the Object API.
    #[options(help = "run a node until it is told to stop")]
    Node(NodeArgs),
    /// Runs a gateway, which uses the store of the users' platform.
    #[options(help = "run a gateway on a platform with a store until it is told to stop")]
    Gateway(GatewayArgs),
    /// Checks settings and records files.
    #[options(help = "check settings and records and name every fault")]
    Check(CheckArgs),
    /// Puts records in force.
    #[options(help = "put a folder of records in force")]
    Apply(ApplyArgs),
    /// Prints the records in force.
    #[options(help = "print the records in force as TOML")]
    Get(GetArgs),
    /// Compares records with those in force.
    #[options(help = "show what applying a folder of records would change")]
    Diff(DiffArgs),
    /// Prints the status of nodes.
    #[options(help = "show each node's revision and load")]
    Status(StatusArgs),
    /// Explains where a request would go.
    #[options(help = "show where a gateway would send a request now, and why, without sending it")]
    Explain(ExplainArgs),
    /// Begins the planned stop of nodes.
    #[options(help = "begin the planned stop of nodes")]
    Drain(DrainArgs),
    /// Runs the demo.
    #[cfg(feature = "demo")]
    #[options(help = "serve sample requests on stand-ins within this process")]
    Demo(DemoArgs),
}

/// Options of `node`.
#[derive(Debug, Options)]
pub struct NodeArgs {
    /// Print the help text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Path of the settings file.
    #[options(free, required, help = "settings file")]
    pub settings: String,
    /// Write log lines as JSON rather than text.
    #[options(help = "write logs as JSON", no_short)]
    pub json_logs: bool,
}

/// Options of `gateway`.
#[derive(Debug, Options)]
pub struct GatewayArgs {
    /// Print the help text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Path of the settings file; by default, the value of `JACINTHPOINT_CONFIG`.
    #[options(
        free,
        help = "settings file; without one, the file named by JACINTHPOINT_CONFIG"
    )]
    pub settings: Option<String>,
}

/// Options of `check`.
#[derive(Debug, Options)]
pub struct CheckArgs {
    /// Print the help text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Files and folders to check.
    #[options(
        free,
        required,
        help = "settings (.ini), records (.toml) and folders of them"
    )]
    pub paths: Vec<String>,
}

/// Options of `apply`.
#[derive(Debug, Options)]
pub struct ApplyArgs {
    /// Print the help text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Folder of records files, or one file.
    #[options(free, required, help = "folder of records, or one file")]
    pub folder: String,
    /// Address of the platform's API, required on the command line. An `Option` since gumdrop needs
    /// a default value for each field.
    #[options(help = "address of the platform, such as 10.0.0.1:7000", required)]
    pub platform: Option<SocketAddr>,
    /// Version that must be in force for the records to be written. Nodes show the same number as
    /// their revision.
    #[options(
        help = "write only if this is the version in force, as `get` and `diff` show it",
        no_short,
        meta = "VERSION"
    )]
    pub if_version: Option<u64>,
}

/// Options of `get`.
#[derive(Debug, Options)]
pub struct GetArgs {
    /// Print the help text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address of the platform's API, required on the command line. An `Option` since gumdrop needs
    /// a default value for each field.
    #[options(help = "address of the platform, such as 10.0.0.1:7000", required)]
    pub platform: Option<SocketAddr>,
}

/// Options of `diff`.
#[derive(Debug, Options)]
pub struct DiffArgs {
    /// Print the help text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Folder of records files, or one file.
    #[options(free, required, help = "folder of records, or one file")]
    pub folder: String,
    /// Address of the platform's API, required on the command line. An `Option` since gumdrop needs
    /// a default value for each field.
    #[options(help = "address of the platform, such as 10.0.0.1:7000", required)]
    pub platform: Option<SocketAddr>,
}

/// Options of `status`.
#[derive(Debug, Options)]
pub struct StatusArgs {
    /// Print the help text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Operators' addresses of the nodes.
    #[options(free, required, help = "operators' addresses of nodes")]
    pub nodes: Vec<SocketAddr>,
    /// Minimum revision that every node must have in force: the version that `apply` printed.
    #[options(help = "fail unless every node has at least this revision", no_short)]
    pub revision: Option<u64>,
}

/// Options of `explain`.
#[derive(Debug, Options)]
pub struct ExplainArgs {
    /// Print the help text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address at which the gateway serves its metrics.
    #[options(free, required, help = "address of a gateway's metrics")]
    pub gateway: Option<SocketAddr>,
    /// Host of the request.
    #[options(help = "host of the request", required, no_short)]
    pub host: String,
    /// Path of the request.
    #[options(help = "path of the request", required, no_short)]
    pub path: String,
    /// API key of the request.
    #[options(help = "API key of the request", no_short)]
    pub key: Option<String>,
    /// Model that the request asks for.
    #[options(help = "model that the request asks for", no_short)]
    pub model: Option<String>,
    /// Length of the prompt in tokens.
    #[options(help = "length of the prompt in tokens", no_short)]
    pub prompt_tokens: Option<u32>,
}

/// Options of `drain`.
#[derive(Debug, Options)]
pub struct DrainArgs {
    /// Print the help text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Operators' addresses of the nodes.
    #[options(free, required, help = "operators' addresses of nodes")]
    pub nodes: Vec<SocketAddr>,
}

/// Options of `demo`.
#[cfg(feature = "demo")]
#[derive(Debug, Options)]
pub struct DemoArgs {
    /// Print the help text and exit.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Parses the command line. Where there is no command to run, prints the help text, the version or
/// an error message, and returns the exit code as the error.
pub fn parse() -> Result<Command, Exit> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let args = Args::parse_args_default(&arguments).map_err(|error| {
        eprintln!("jacinthpoint: {error}; see `jacinthpoint --help`");
        Exit::Usage
    })?;
    if args.version {
        println!("jacinthpoint {}", env!("CARGO_PKG_VERSION"));
        return Err(Exit::Success);
    }
    if args.help_requested() {
        print_help(&args);
        return Err(Exit::Success);
    }
    args.command.ok_or_else(|| {
        eprintln!("jacinthpoint: no command; see `jacinthpoint --help`");
        Exit::Usage
    })
}

fn print_help(args: &Args) {
    match &args.command {
        Some(command) => {
            let name = command.command_name().unwrap_or_default();
            println!(
                "usage: jacinthpoint {name} [OPTIONS]\n\n{}",
                command.self_usage()
            );
        }
        None => {
            println!("usage: jacinthpoint [OPTIONS] COMMAND\n\n{}", Args::usage());
            println!("\ncommands:\n{}", Args::command_list().unwrap_or_default());
        }
    }
    println!("\nexit codes:");
    for (exit, meaning) in EXIT_CODES {
        println!("  {}  {meaning}", exit as u8);
    }
}
