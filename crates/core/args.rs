//! The command line, as typed.

use std::process::ExitCode;

use gumdrop::Options;

/// The command line was not understood.
pub const EXIT_USAGE: u8 = 2;

/// Options before the command.
#[derive(Debug, Options)]
pub struct Args {
    /// Print a help text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the version.
    #[options(help = "print the version", short = "V")]
    pub version: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// A command.
#[derive(Debug, Options)]
pub enum Command {
    /// Run a node.
    #[options(help = "run a node until it is told to stop")]
    Node(NodeArgs),
    /// Run the demo.
    #[cfg(feature = "demo")]
    #[options(help = "serve sample requests on stand-ins within this process")]
    Demo(DemoArgs),
}

/// Options of `node`.
#[derive(Debug, Options)]
pub struct NodeArgs {
    /// Print a help text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file.
    #[options(free, required, help = "settings file")]
    pub settings: String,
    /// Log as JSON.
    #[options(help = "write logs as JSON", no_short)]
    pub json_logs: bool,
}

/// Options of `demo`.
#[cfg(feature = "demo")]
#[derive(Debug, Options)]
pub struct DemoArgs {
    /// Print a help text.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Parses the command line; the error is the exit code after a help text, version or complaint.
pub fn parse() -> Result<Command, ExitCode> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let args = Args::parse_args_default(&words).map_err(|error| {
        eprintln!("jacinthpoint: {error}; see `jacinthpoint --help`");
        ExitCode::from(EXIT_USAGE)
    })?;
    if args.version {
        println!("jacinthpoint {}", env!("CARGO_PKG_VERSION"));
        return Err(ExitCode::SUCCESS);
    }
    if args.help_requested() {
        print_help(&args);
        return Err(ExitCode::SUCCESS);
    }
    args.command.ok_or_else(|| {
        eprintln!("jacinthpoint: no command; see `jacinthpoint --help`");
        ExitCode::from(EXIT_USAGE)
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
}
