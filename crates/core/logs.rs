//! Sets up logging: text or JSON lines on standard error for nodes and the demo, JSON lines on
//! standard output for gateways. `JACINTHPOINT_LOG` overrides the default filter.

use std::io;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Environment variable that holds the log filter, such as `debug` or `jacinthpoint_node=trace`.
const FILTER_VARIABLE: &str = "JACINTHPOINT_LOG";

/// Starts logging to standard error, as JSON lines or text. `level` is the filter if the
/// environment variable is unset or invalid.
pub fn init_stderr(json: bool, level: &str) {
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(level));
    let logs = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_env_filter(filter);
    if json {
        logs.json().init();
    } else {
        logs.init();
    }
}

/// Maximum number of lines that wait to be written to standard output. Further lines are dropped,
/// so that a slow or stopped reader never blocks a request.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Starts logging to standard output as JSON lines, without blocking the callers. `level` is the
/// filter if the environment variable is unset or invalid.
///
/// The returned guard writes the waiting lines when it is dropped. The returned counter is the
/// number of lines dropped because too many waited.
pub fn init_stdout(level: &str) -> (WorkerGuard, ErrorCounter) {
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(level));
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(io::stdout());
    let dropped = writer.error_counter();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_writer(writer)
        .with_env_filter(filter)
        .init();
    (guard, dropped)
}
