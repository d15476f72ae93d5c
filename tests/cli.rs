//! The commands, over the real program.

use std::{
    net::{SocketAddr, UdpSocket},
    thread,
};

use jacinthpoint_platform::Platform;
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME};
use serde_json::{Value, json};

use crate::util::{Folder, Process, SiteOptions, jacinthpoint, wait_until};

const ORGANISATION: &str = "[[record]]\nschema = 2\nkind = 'organisation'\nname = 'coralbank'\n\
    key_sha256 = []\n";
const OLD_DEPLOYMENT: &str = "[[record]]\nschema = 1\nkind = 'deployment'\nname = 'old'\n\
    serves = 'jp-model@v1'\ncopies = 1\norganisations = ['coralbank']\n";
const NEW_DEPLOYMENT: &str = "[[record]]\nschema = 2\nkind = 'deployment'\nname = 'new'\n\
    model = 'jp-model'\nversion = 'v2'\nreplicas = 1\n";

/// A platform alone, and a folder with one valid record.
struct Store {
    _process: Process,
    address: SocketAddr,
    folder: Folder,
}

impl Store {
    fn start() -> Store {
        let (process, address) = Process::standin(&["platform"]);
        let folder = Folder::with(&[("organisations.toml", ORGANISATION)]);
        Store {
            _process: process,
            address,
            folder,
        }
    }

    fn apply(&self, more: &[&str]) -> (i32, String, String) {
        let platform = self.address.to_string();
        let mut args = vec!["apply", self.folder.path(), "--platform", &platform];
        args.extend(more);
        let ended = jacinthpoint(&args);
        (ended.exit, ended.out, ended.err)
    }

    /// Version and value in force; version 0 if there is none.
    fn in_force(&self) -> (u64, Value) {
        let object = Platform::new(self.address).get(CONFIG_KIND, CONFIG_NAME);
        object
            .expect("the platform answers")
            .map_or((0, Value::Null), |object| (object.version.0, object.value))
    }

    fn fault(&self, fault: &Value) {
        let url = format!("http://{}/control/fault", self.address);
        let sent = attohttpc::post(url).json(fault).and_then(|r| r.send());
        assert!(sent.expect("the stand-in answers").is_success());
    }
}

/// A command line that must end with this exit code and these words on one of the outputs.
macro_rules! exits {
    ($($name:ident: $args:expr => $exit:expr, $words:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let ended = jacinthpoint(&$args);
                assert_eq!(ended.exit, $exit, "{ended:?}");
                let output = format!("{}{}", ended.out, ended.err);
                assert!(output.contains($words), "{output}");
            }
        )+
    };
}

exits! {
    version_is_shown: ["--version"] => 0, env!("CARGO_PKG_VERSION");
    help_lists_commands: ["--help"] => 0, "apply";
    help_lists_exit_codes: ["--help"] => 0, "another operator wrote first";
    help_of_apply: ["apply", "--help"] => 0, "--if-version";
    help_of_check: ["check", "--help"] => 0, "folders";
    help_of_diff: ["diff", "--help"] => 0, "--platform";
    help_of_drain: ["drain", "--help"] => 0, "operators' addresses";
    help_of_explain: ["explain", "--help"] => 0, "--prompt-tokens";
    help_of_get: ["get", "--help"] => 0, "--platform";
    help_of_node: ["node", "--help"] => 0, "--json-logs";
    help_of_status: ["status", "--help"] => 0, "--revision";
    no_command: [] => 2, "no command";
    unknown_command: ["aply"] => 2, "aply";
    platform_is_required: ["get"] => 2, "platform";
    missing_file: ["check", "/nowhere/x.toml"] => 3, "/nowhere/x.toml";
    missing_settings: ["node", "/nowhere/x.ini"] => 3, "/nowhere/x.ini";
    silent_platform: ["get", "--platform", "127.0.0.1:1"] => 7, "platform";
    silent_node: ["status", "127.0.0.1:1"] => 7, "no answer";
}

#[test]
fn check_names_every_fault_of_every_file() {
    let folder = Folder::with(&[
        (
            "a.toml",
            "[[record]]\nschema = 9\nkind = 'service'\nname = 's'\n",
        ),
        (
            "b.toml",
            "[[record]]\nschema = 2\nkind = 'service'\nnme = 's'\n",
        ),
        ("c.ini", "[node]\nnam = node-1\n"),
        ("notes.txt", "passed over"),
    ]);
    let ended = jacinthpoint(&["check", folder.path()]);
    assert_eq!(ended.exit, 3);
    for words in [
        "a.toml:2: schema 9 is not known here",
        "b.toml:1: `name` is missing",
        "b.toml:4: unknown field `nme`; did you mean `name`?",
        "c.ini:2: unknown key `nam`; did you mean `name`?",
    ] {
        assert!(ended.err.contains(words), "{words} in {}", ended.err);
    }
}

#[test]
fn check_passes_old_and_new_records_together() {
    let folder = Folder::with(&[
        ("organisations.toml", ORGANISATION),
        ("old.toml", OLD_DEPLOYMENT),
        ("new.toml", NEW_DEPLOYMENT),
    ]);
    let ended = jacinthpoint(&["check", folder.path()]);
    assert_eq!(ended.exit, 0, "{ended:?}");
}

#[test]
fn apply_then_get_and_diff_agree() {
    let store = Store::start();
    let platform = store.address.to_string();
    let diff = ["diff", store.folder.path(), "--platform", &platform];
    let before = jacinthpoint(&diff);
    assert_eq!(before.exit, 1, "{before:?}");
    assert!(
        before.out.contains("+ organisation coralbank (new)"),
        "{before:?}"
    );
    let (exit, out, _) = store.apply(&[]);
    assert_eq!(exit, 0);
    assert!(out.contains("+ organisation coralbank (new)"), "{out}");
    assert!(out.contains("applied as version 1"), "{out}");
    let after = jacinthpoint(&diff);
    assert_eq!(
        (after.exit, after.out.as_str()),
        (0, "against version 1\nno change\n")
    );
    let got = jacinthpoint(&["get", "--platform", &platform]);
    assert!(got.out.starts_with("# version 1\n"), "{got:?}");
    store.folder.write("organisations.toml", &got.out);
    let (exit, out, _) = store.apply(&[]);
    assert_eq!((exit, out.as_str()), (0, "against version 1\nno change\n"));
}

#[test]
fn faulty_records_change_nothing() {
    let store = Store::start();
    store.folder.write(
        "deployment.toml",
        &NEW_DEPLOYMENT.replace("schema = 2", "schema = 3"),
    );
    let (exit, _, err) = store.apply(&[]);
    assert_eq!(exit, 3);
    assert!(err.contains("schema 3 is not known here"), "{err}");
    assert_eq!(store.in_force().0, 0);
}

#[test]
fn empty_folder_does_not_remove_everything() {
    let store = Store::start();
    assert_eq!(store.apply(&[]).0, 0);
    let empty = Folder::with(&[]);
    let platform = store.address.to_string();
    let ended = jacinthpoint(&["apply", empty.path(), "--platform", &platform]);
    assert_eq!(ended.exit, 3, "{ended:?}");
    assert_eq!(store.in_force().0, 1);
}

#[test]
fn one_of_two_racing_operators_wins() {
    let store = Store::start();
    assert_eq!(store.apply(&[]).0, 0);
    store.fault(&json!({ "mode": "slow", "delay_ms": 200 }));
    let platform = store.address.to_string();
    let operators: Vec<_> = ["v7", "v8"]
        .map(|version| {
            let platform = platform.clone();
            thread::spawn(move || {
                let deployment = NEW_DEPLOYMENT.replace("v2", version);
                let folder =
                    Folder::with(&[("o.toml", ORGANISATION), ("d.toml", deployment.as_str())]);
                let args = ["apply", folder.path(), "--platform", &platform];
                jacinthpoint(&[&args[..], &["--if-version", "1"]].concat())
            })
        })
        .into_iter()
        .map(|operator| operator.join().expect("no panic"))
        .collect();
    store.fault(&json!({ "mode": "none" }));
    let exits: Vec<i32> = operators.iter().map(|ended| ended.exit).collect();
    assert!(exits == [0, 5] || exits == [5, 0], "{operators:?}");
    let loser = &operators[usize::from(exits[1] == 5)].err;
    for words in [
        "made against version 1",
        "version 2: {",
        "not applied: {",
        "v7",
        "v8",
    ] {
        assert!(loser.contains(words), "{words} in {loser}");
    }
    assert_eq!(store.in_force().0, 2);
}

#[test]
fn lost_answer_is_read_back() {
    let store = Store::start();
    store.fault(&json!({ "mode": "lose-answers", "count": 1 }));
    let (exit, out, err) = store.apply(&[]);
    assert_eq!(exit, 0, "{err}");
    assert!(out.contains("applied as version 1"), "{out}");
    assert_eq!(store.in_force().0, 1);
}

#[test]
fn refused_update_changes_nothing() {
    let store = Store::start();
    store.fault(&json!({ "mode": "refuse" }));
    assert_eq!(store.apply(&[]).0, 7);
    store.fault(&json!({ "mode": "none" }));
    assert_eq!(store.in_force().0, 0);
}

#[test]
fn records_of_a_newer_release_are_not_overwritten() {
    let store = Store::start();
    let newer = json!({ "records": [{ "schema": 3, "kind": "service", "name": "s" }] });
    let client = Platform::new(store.address);
    let written = client.update(CONFIG_KIND, CONFIG_NAME, Default::default(), &newer);
    written.expect("the platform accepts");
    let (exit, _, err) = store.apply(&[]);
    assert_eq!(exit, 3);
    assert!(err.contains("schema 3 is not known here"), "{err}");
    assert_eq!(store.in_force(), (1, newer));
}

site_test!(
    status_shows_each_nodes_revision,
    SiteOptions::small(),
    |site| {
        let nodes: Vec<String> = site.nodes.iter().map(|n| n.operators.to_string()).collect();
        let args = ["status", &nodes[0], &nodes[1]];
        let ended = jacinthpoint(&args);
        assert_eq!(ended.exit, 0, "{ended:?}");
        for node in ["node-1 dc-1 revision 1", "node-2 dc-1 revision 1"] {
            assert!(ended.out.contains(node), "{ended:?}");
        }
        let wanted = [&args[..], &["--revision", "2"]].concat();
        assert_eq!(jacinthpoint(&wanted).exit, 1);
        let mut records = site.sample_records();
        records
            .records
            .push(json!({ "schema": 1, "kind": "service", "name": "old" }));
        site.write_records(&records);
        wait_until("revision 2 is in force everywhere", 8_000, || {
            jacinthpoint(&wanted).exit == 0
        });
    }
);

site_test!(
    newer_schema_leaves_the_records_in_force,
    SiteOptions::small(),
    |site| {
        let mut records = site.sample_records();
        records
            .records
            .push(json!({ "schema": 3, "kind": "service", "name": "newer" }));
        site.write_records(&records);
        let node = site.nodes[0].operators.to_string();
        thread::sleep(std::time::Duration::from_millis(1_500));
        let ended = jacinthpoint(&["status", &node, "--revision", "1"]);
        assert!(ended.out.contains("revision 1 "), "{ended:?}");
        let answer = crate::util::Call::new("still served").send(site.nodes[0].callers);
        assert_eq!(answer.expect("the node answers").outcome, "answered");
    }
);

fn max_open_files() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").expect("the limits");
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"));
    let limit = line.and_then(|line| line.split_whitespace().next());
    limit
        .and_then(|limit| limit.parse().ok())
        .unwrap_or(usize::MAX)
}

/// Peers need one port for TCP and UDP; one that is free for TCP may be taken for UDP.
#[test]
fn node_finds_a_port_that_is_free_for_tcp_and_udp() {
    // An address of its own, so that nothing else on this machine lacks ports meanwhile. Half of
    // the ports that the kernel offers are taken, even and odd ones, or half as many as this
    // process may open.
    let ports = (32_768..61_000).filter(|port| port % 4 >= 2);
    let taken: Vec<UdpSocket> = ports
        .take(max_open_files() / 2)
        .filter_map(|port| UdpSocket::bind(("127.9.9.9", port)).ok())
        .collect();
    let settings = "[node]\nname = lone\ndata_centre = dc-1\n[listen]\n\
        callers = 127.9.9.9:0\noperators = 127.9.9.9:0\npeers = 127.9.9.9:0\n\
        [platform]\naddress = 127.0.0.1:1\n";
    let folder = Folder::with(&[("node.ini", settings)]);
    let path = format!("{}/node.ini", folder.path());
    for _ in 0..8 {
        let node = Process::jacinthpoint(None, &["node", &path]);
        assert!(node.first_line().starts_with("callers on"), "it started");
    }
    drop(taken);
}

#[test]
fn exit_codes_are_documented() {
    let page = include_str!("../docs/operators/commands.md");
    let documented: Vec<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| ")?.strip_suffix(" |"))
        .filter(|row| row.starts_with(|first: char| first.is_ascii_digit()))
        .map(|row| row.replace(" | ", "  "))
        .collect();
    let help = jacinthpoint(&["--help"]).out;
    let (_, codes) = help
        .split_once("exit codes:\n")
        .expect("the help lists them");
    let shown: Vec<&str> = codes.lines().map(str::trim).collect();
    assert_eq!(shown, documented);
}

/// A file with a section `[store]` is a gateway's.
#[test]
fn check_names_faults_of_gateway_settings() {
    let text = "[node]\nname = g\ndata_centre = dc\n[listen]\ncallers = 127.0.0.1:1\n\
        readiness = 127.0.0.1:2\n[store]\naddress = nowhere\n";
    let folder = Folder::with(&[("gateway.ini", text)]);
    let ended = jacinthpoint(&["check", folder.path()]);
    assert_eq!(ended.exit, 3, "{}", ended.err);
    assert!(
        ended.err.contains("gateway.ini:8: `address = nowhere`"),
        "{}",
        ended.err
    );
}

#[test]
fn gateway_without_settings_says_how() {
    let ended = jacinthpoint(&["gateway"]);
    assert_eq!(ended.exit, 2, "{}", ended.err);
    assert!(ended.err.contains("JACINTHPOINT_CONFIG"), "{}", ended.err);
}
