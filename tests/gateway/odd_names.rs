//! Names in a configuration with characters that this project's own names don't have.

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::PlainService;
use serde_json::{Value, json};

use crate::gateway::{caller::Request, site::Site};

/// Time in which a gateway has put a configuration in force, beside other tests.
const IN_FORCE_MS: u64 = 10_000;
const ODD_KEY: &str = "key-of-the-odd-organisation";
const ODD_PATH: &str = "/odd/1";

/// Adds entries to the configuration in force, by the field that holds them, and another organisation's key.
fn add_to_config(site: &Site, entries: &[(&str, Value)]) {
    let store = &site.platform.store;
    let config = store.get_content(paths::CONFIG_KIND, paths::CONFIG_NAME);
    let mut config = config.expect("a configuration is in force");
    let version = config["version"].as_u64().expect("it has a version");
    config["version"] = json!(version + 1);
    let later = json!({ "name": "later", "api_keys": ["later-key"] });
    for (field, entry) in entries.iter().chain([&("tenants", later)]) {
        let list = config[*field].as_array_mut().expect("it is a list");
        list.push(entry.clone());
    }
    store.put(paths::CONFIG_KIND, paths::CONFIG_NAME, config);
}

/// Waits until a key is accepted, and checks that the others still are.
fn check_keys(site: &Site, key: &str) {
    let status = |site: &Site, key| {
        let request = Request::once(&format!("of-{key}"));
        Request { key, ..request }.send(site.gateway(0)).status
    };
    site.wait_until("the key is accepted", IN_FORCE_MS, |site| {
        status(site, key) == 200
    });
    assert_eq!(Request::once("known").send(site.gateway(0)).status, 200);
}

/// Guards against gateways that refuse a whole configuration because of the name of one organisation, and against
/// requests of this organisation that are refused or run for another one.
#[test]
fn organisation_with_an_odd_name_is_served() {
    let site = Site::start(1);
    let name = "Bücher & Söhne, \"Mainz\"/50%";
    let odd = json!({ "name": name, "api_keys": [ODD_KEY] });
    add_to_config(&site, &[("tenants", odd)]);
    check_keys(&site, "later-key");
    check_keys(&site, ODD_KEY);
    let runs = site.platform.runs.of(&format!("of-{ODD_KEY}"));
    assert_eq!(runs[0].organisation.as_deref(), Some(name));
    let label = r#"organisation="Bücher & Söhne, \"Mainz\"/50%""#;
    site.wait_until("it is counted", IN_FORCE_MS, |site| {
        site.metrics(0).contains(label)
    });
}

/// Guards against gateways that refuse a whole configuration because of the name of one service, or leave out the
/// servers of this service.
#[test]
fn service_with_an_odd_name_is_served() {
    let site = Site::start(1);
    let store = &site.platform.store;
    let name = "plain service/ü";
    let entry = store.get_content(paths::UPSTREAM_KIND, PlainService::ID);
    let mut entry = entry.expect("it is registered");
    entry["service"] = name.into();
    entry["zone"] = "Hall #3 (north)".into();
    let mut service = PlainService::service("plain");
    service["name"] = name.into();
    let route = json!({ "name": "odd \"route\"", "host": "model.example", "path_prefix": "/odd/",
        "kind": "non_idempotent", "timeout_ms": 2_000, "service": name });
    add_to_config(&site, &[("services", service), ("routes", route)]);
    check_keys(&site, "later-key");
    store.put(paths::UPSTREAM_KIND, PlainService::ID, entry);
    site.wait_until("the service is reached", IN_FORCE_MS, |site| {
        let request = Request::once("odd");
        let path = ODD_PATH;
        Request { path, ..request }.send(site.gateway(0)).status == 200
    });
}

/// Guards against gateways that refuse a whole configuration because of the name of one model.
#[test]
fn model_with_an_odd_name_costs_no_other() {
    let site = Site::start(1);
    let store = &site.platform.store;
    let config = store.get_content(paths::CONFIG_KIND, paths::CONFIG_NAME);
    let mut config = config.expect("a configuration is in force");
    let models = &mut config["services"][0]["engine"]["models"];
    let mut model = models[0].clone();
    model["name"] = "llama 4 (70 B)".into();
    models.as_array_mut().expect("it is a list").push(model);
    store.put(paths::CONFIG_KIND, paths::CONFIG_NAME, config);
    add_to_config(&site, &[]);
    check_keys(&site, "later-key");
    let label = "jacinthpoint_entries_refused_total{label=\"config\"} ";
    site.wait_until("it is counted", IN_FORCE_MS, |site| {
        site.metrics(0).contains(label)
    });
    let answer = Request::stream("beside").send(site.gateway(0));
    assert_eq!(answer.status, 200);
}
