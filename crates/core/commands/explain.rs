//! `jacinthpoint explain`: prints where a gateway would send a request now, and why, without sending it.

use std::time::Duration;

use crate::{args::ExplainArgs, exit::Exit};

/// Time after which the gateway counts as not answering.
const TIMEOUT_MS: u64 = 2_000;

/// Runs the command.
pub fn run(args: &ExplainArgs) -> Exit {
    match fetch(args) {
        Ok(text) => {
            print!("{text}");
            Exit::Success
        }
        Err(error) => {
            eprintln!("no answer: {error}");
            Exit::Unreachable
        }
    }
}

fn fetch(args: &ExplainArgs) -> attohttpc::Result<String> {
    let address = args.gateway.map_or_else(String::new, |it| it.to_string());
    let mut request = attohttpc::get(format!("http://{address}/explain"))
        .timeout(Duration::from_millis(TIMEOUT_MS))
        .param("host", &args.host)
        .param("path", &args.path);
    for (name, value) in [("key", &args.key), ("model", &args.model)] {
        if let Some(value) = value {
            request = request.param(name, value);
        }
    }
    if let Some(tokens) = args.prompt_tokens {
        request = request.param("prompt_tokens", tokens);
    }
    request.send()?.error_for_status()?.text()
}
