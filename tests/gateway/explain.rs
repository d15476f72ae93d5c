//! The command that explains where a request would go.

use std::process::Command;

use crate::gateway::{caller::Request, pause_ms, site::Site};

/// Runs `jacinthpoint explain` for a request to the plain service, and returns what it prints.
fn explain(site: &Site, path: &str, key: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_jacinthpoint"))
        .arg("explain")
        .arg(site.metrics_address(0).to_string())
        .args(["--host", "model.example", "--path", path, "--key", key])
        .output()
        .expect("the program runs");
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(output.status.success(), "{text}");
    text
}

/// Guards against an explanation that names another upstream than the request reaches, and against one that
/// sends it.
#[test]
fn explanation_names_the_upstream_and_sends_nothing() {
    let site = Site::start(1);
    let answer = Request::once("explained").send(site.gateway(0));
    assert_eq!(answer.status, 200);
    pause_ms(200);
    let runs = || site.platform.plain.arrivals().len();
    let before = runs();
    let text = explain(&site, "/once/", "key-1");
    assert!(text.contains("100.0%") && text.contains("usable"), "{text}");
    assert_eq!(runs(), before, "a request was sent: {text}");
    assert!(explain(&site, "/none/", "key-1").starts_with("refused: no route"));
    let refused = explain(&site, "/once/", "no-key");
    assert!(refused.contains("needs a valid API key"), "{refused}");
}
