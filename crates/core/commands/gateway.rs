//! `jacinthpoint gateway`: runs a gateway until SIGTERM, then drains and stops it.

use std::path::PathBuf;

use jacinthpoint_gateway::{GatewaySettings, parse_settings};

use crate::{args::GatewayArgs, exit::Exit, logs};

/// Environment variable that holds the path of the settings file, used if the command line gives
/// none.
const SETTINGS_VARIABLE: &str = "JACINTHPOINT_CONFIG";

/// Runs the command.
pub fn run(args: &GatewayArgs) -> Exit {
    let path = args.settings.clone().map(PathBuf::from);
    let Some(path) = path.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)) else {
        eprintln!("jacinthpoint: no settings file; name one, or set {SETTINGS_VARIABLE}");
        return Exit::Usage;
    };
    let Some(settings) = read_settings(&path) else {
        return Exit::Faulty;
    };
    let (log_guard, dropped) = logs::init_stdout(&settings.log_level);
    let dropped_lines = move || dropped.dropped_lines();
    let result = jacinthpoint_gateway::run(settings, path.clone(), dropped_lines);
    // Writes the waiting log lines before any message on standard error.
    drop(log_guard);
    match result {
        Ok(0) => Exit::Success,
        Ok(cut) => {
            eprintln!("jacinthpoint: stopped with {cut} requests cut");
            Exit::RequestsCut
        }
        Err(error) => {
            eprintln!("jacinthpoint: {}: {error}", path.display());
            Exit::Faulty
        }
    }
}

/// Reads and validates the settings file; prints every error and returns `None` on failure.
fn read_settings(path: &std::path::Path) -> Option<GatewaySettings> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("jacinthpoint: {}: {error}", path.display());
            return None;
        }
    };
    match parse_settings(&text) {
        Ok(settings) => Some(settings),
        Err(errors) => {
            for error in errors {
                eprintln!("jacinthpoint: {}: {error}", path.display());
            }
            None
        }
    }
}
