//! Sets up logging: text or JSON on standard error, filtered by `JACINTHPOINT_LOG`.

use std::io;

use tracing_subscriber::EnvFilter;

/// Environment variable with the filter, such as `debug` or `jacinthpoint_node=trace`.
const FILTER_VARIABLE: &str = "JACINTHPOINT_LOG";

/// Starts logging at `level` unless the environment says otherwise.
pub fn init(json: bool, level: &str) {
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
