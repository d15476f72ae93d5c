//! Measures the processor time of a node per request and per token, and its memory per stream.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform::{MemberRole, MemberState, Platform, PlatformMember, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, RecordsObject, key_digest};
use jacinthpoint_standins::{Engine, EngineOptions, PlatformOptions, PlatformServer, Registration};
use serde_json::{Value, json};

use crate::cost::{cpu_s, resident_bytes};

type Error = Box<dyn std::error::Error>;

/// Numbers of concurrent streams; the difference between the runs gives the cost per stream.
const STREAMS: [usize; 2] = [50, 250];
/// Numbers of tokens in each answer; the difference between the runs gives the cost per token.
const TOKENS: [u64; 2] = [10, 100];
/// Time between two tokens of the engine.
const TOKEN_MS: u64 = 20;
/// Number of requests that each caller sends, one after the other.
const ROUNDS: usize = 4;

/// A node process, killed when dropped.
struct NodeProcess {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Prints the table.
pub fn measure() -> Result<(), Error> {
    let platform = PlatformServer::start(PlatformOptions::new())?;
    let client = Platform::new(platform.address());
    client.update(CONFIG_KIND, CONFIG_NAME, Version(0), &records())?;
    let mut options = EngineOptions::new("vm-1".parse()?);
    options.token_ms = TOKEN_MS;
    options.slots = 1_000;
    options.max_queued = 1_000;
    let registration = Registration {
        member: member()?,
        lease_ms: Some(2_000),
    };
    options.registration = Some((platform.address(), registration));
    let _engine = Engine::start(options)?;
    let node = start_node(platform.address())?;
    wait_for_group(&node)?;
    let idle = idle_share(&node);
    println!(
        "idle node with one engine on one VM: {:.3}% of a core",
        idle * 100.0
    );
    println!(
        "\n| concurrent streams | tokens/answer | requests/s | tokens/s | share of a core | resident memory |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for streams in STREAMS {
        for tokens in TOKENS {
            run(&node, streams, tokens, idle);
        }
    }
    Ok(())
}

/// Sends the requests of one run and prints its row. Subtracts the node's idle share of a core.
fn run(node: &NodeProcess, streams: usize, tokens: u64, idle: f64) {
    let before = cpu_s(&node.child.id().to_string());
    let start = Instant::now();
    let mut resident = 0;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..streams)
            .map(|_| scope.spawn(|| (0..ROUNDS).for_each(|_| send_request(node.callers, tokens))))
            .collect();
        // Even the shortest answer takes about 200 ms, so the streams of the first round are open.
        thread::sleep(Duration::from_millis(150));
        resident = resident_bytes(&node.child.id().to_string());
        // The scope waits for the threads; their handles are not needed.
        drop(callers);
    });
    let elapsed_s = start.elapsed().as_secs_f64();
    let share = (cpu_s(&node.child.id().to_string()) - before) / elapsed_s - idle;
    let requests = (streams * ROUNDS) as f64 / elapsed_s;
    println!(
        "| {streams} | {tokens} | {requests:.0} | {:.0} | {:.1}% | {:.1} MB |",
        requests * tokens as f64,
        share * 100.0,
        resident as f64 / 1e6,
    );
}

/// Sends one streamed completion request and reads its whole answer. Returns if the connection
/// fails; panics if the answer is incomplete.
fn send_request(node: SocketAddr, tokens: u64) {
    let body = json!({ "model": "jp-model", "prompt": "x", "max_tokens": tokens, "stream": true });
    let body = body.to_string();
    let Ok(mut stream) = TcpStream::connect(node) else {
        return;
    };
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nauthorization: Bearer key\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut answer = String::new();
    let result = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.read_to_string(&mut answer));
    assert!(
        result.is_ok() && answer.contains("[DONE]"),
        "node {node}: the answer is incomplete: {answer}"
    );
}

/// Returns the share of a core that the node uses without requests.
fn idle_share(node: &NodeProcess) -> f64 {
    const IDLE_S: f64 = 5.0;
    let before = cpu_s(&node.child.id().to_string());
    thread::sleep(Duration::from_secs_f64(IDLE_S));
    (cpu_s(&node.child.id().to_string()) - before) / IDLE_S
}

/// Starts a node process and waits for its first line of output. Its group concurrency limit is
/// off.
fn start_node(platform: SocketAddr) -> Result<NodeProcess, Error> {
    let [callers, operators, peers] = [free_address()?, free_address()?, free_address()?];
    let settings = format!(
        "[node]\nname = node-1\ndata_centre = dc-1\n[listen]\ncallers = {callers}\n\
         operators = {operators}\npeers = {peers}\n[platform]\naddress = {platform}\n\
         [admission]\ngroup_concurrency = off\n"
    );
    let path = std::env::temp_dir().join(format!("capacity-{}.ini", callers.port()));
    fs::write(&path, settings)?;
    // The build puts examples in a subfolder of the folder that holds the programs.
    let program = std::env::current_exe()?.with_file_name("../jacinthpoint");
    let mut child = Command::new(program)
        .arg("node")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()?;
    let mut line = String::new();
    BufReader::new(child.stdout.take().ok_or("the node has no output")?).read_line(&mut line)?;
    fs::remove_file(&path)?;
    Ok(NodeProcess {
        child,
        callers,
        operators,
    })
}

/// Returns a loopback address with a port that is free now.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Waits until the node holds a permit for the group.
fn wait_for_group(node: &NodeProcess) -> Result<(), Error> {
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        let url = format!("http://{}/status", node.operators);
        let status: Option<Value> = attohttpc::get(url).send().ok().and_then(|a| a.json().ok());
        if status.is_some_and(|status| status["permits"].as_array().is_some_and(|p| !p.is_empty()))
        {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err("the group did not form in time".into())
}

fn records() -> RecordsObject {
    let digest = key_digest("key").to_string();
    let records = vec![
        json!({ "schema": 2, "kind": "organisation", "name": "one", "key_sha256": [digest] }),
        json!({
            "schema": 2, "kind": "deployment", "name": "desk", "model": "jp-model",
            "version": "v1", "replicas": 1, "group_size": 1,
        }),
    ];
    RecordsObject { records }
}

fn member() -> Result<PlatformMember, Error> {
    Ok(PlatformMember {
        vm: "vm-1".parse()?,
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        data_centre: "dc-1".parse()?,
        fabric_domain: "rack-1".parse()?,
        role: MemberRole::Engine,
        state: MemberState::Live,
    })
}
