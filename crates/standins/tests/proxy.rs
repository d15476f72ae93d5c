//! Faults of the proxy, over real sockets.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_standins::{ProxyOptions, ProxyServer};
use serde_json::{Value, json};

/// Time for something that must come to come.
const COMES_MS: u64 = 10_000;
/// Time in which something that must not come would have come.
const SILENCE_MS: u64 = 300;

/// A proxy before an echo server; the route leads from `client` to `server`.
struct Bench {
    proxy: ProxyServer,
    echo: SocketAddr,
    route: SocketAddr,
}

impl Bench {
    fn start() -> Bench {
        let proxy = start_proxy(1);
        let echo = start_echo();
        let route = add_route(&proxy, Some("client"), "server", "tcp", echo);
        Bench { proxy, echo, route }
    }

    fn fault(&self, fault: Value) {
        let rule = json!({ "name": "fault", "from": ["client"], "fault": fault });
        post(&self.proxy, "rules", &rule);
    }

    fn heal(&self) {
        post(&self.proxy, "heal", &json!({}));
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.route).expect("the route listens")
    }
}

fn start_proxy(seed: u64) -> ProxyServer {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    ProxyServer::start(&ProxyOptions { address, seed }).expect("a free port")
}

fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    address
}

fn post(proxy: &ProxyServer, path: &str, body: &Value) -> Value {
    let answer = attohttpc::post(format!("http://{}/control/{path}", proxy.address())).json(body);
    let answer = answer
        .and_then(|request| request.send())
        .expect("an answer");
    assert!(answer.is_success(), "{path}: {}", answer.status());
    answer.json().expect("JSON")
}

fn add_route(
    proxy: &ProxyServer,
    from: Option<&str>,
    to: &str,
    transport: &str,
    target: SocketAddr,
) -> SocketAddr {
    let spec = json!({ "from": from, "to": to, "transport": transport, "target": target });
    let answer = post(proxy, "routes", &spec);
    let address = answer["address"].as_str().expect("an address");
    address.parse().expect("an address")
}

fn links(proxy: &ProxyServer) -> Value {
    let answer = attohttpc::get(format!("http://{}/control/links", proxy.address())).send();
    answer
        .and_then(|answer| answer.json())
        .expect("the traffic")
}

/// Waits until the only link has received this many datagrams.
fn wait_for_datagrams(proxy: &ProxyServer, count: u64) {
    let deadline = Instant::now() + Duration::from_millis(COMES_MS);
    while links(proxy)[0]["datagrams"] != count {
        assert!(Instant::now() < deadline, "not in time: {count} datagrams");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sends a word and waits for its echo; `None` if nothing comes in time.
fn echo(mut stream: &TcpStream, wait_ms: u64) -> Option<String> {
    stream.write_all(b"reel").expect("the proxy takes bytes");
    receive(stream, wait_ms)
}

fn receive(mut stream: &TcpStream, wait_ms: u64) -> Option<String> {
    stream
        .set_read_timeout(Some(Duration::from_millis(wait_ms)))
        .expect("a timeout");
    let mut word = [0; 4];
    match stream.read_exact(&mut word) {
        Ok(()) => Some(String::from_utf8_lossy(&word).into_owned()),
        Err(error) => {
            let kinds = [ErrorKind::WouldBlock, ErrorKind::TimedOut];
            assert!(kinds.contains(&error.kind()), "silent, not closed: {error}");
            None
        }
    }
}

fn is_closed(mut stream: &TcpStream) -> bool {
    stream
        .set_read_timeout(Some(Duration::from_millis(COMES_MS)))
        .expect("a timeout");
    match stream.read(&mut [0; 4]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

macro_rules! bench_test {
    ($name:ident, |$bench:ident| $body:block) => {
        #[test]
        fn $name() {
            let $bench = Bench::start();
            $body
        }
    };
}

bench_test!(passes_both_ways, |bench| {
    assert_eq!(echo(&bench.connect(), COMES_MS).as_deref(), Some("reel"));
});

bench_test!(delays_each_way, |bench| {
    bench.fault(json!({ "mode": "delay", "delay_ms": 100 }));
    let begun = Instant::now();
    assert_eq!(echo(&bench.connect(), COMES_MS).as_deref(), Some("reel"));
    assert!(begun.elapsed() >= Duration::from_millis(200));
});

bench_test!(cut_closes_old_connections_and_new_ones, |bench| {
    let old = bench.connect();
    assert!(echo(&old, COMES_MS).is_some());
    bench.fault(json!({ "mode": "cut" }));
    assert!(is_closed(&old));
    assert!(is_closed(&bench.connect()));
    bench.heal();
    assert!(echo(&bench.connect(), COMES_MS).is_some());
});

bench_test!(frozen_connections_stay_silent_and_new_ones_work, |bench| {
    let old = bench.connect();
    assert!(echo(&old, COMES_MS).is_some());
    let answer = post(&bench.proxy, "freeze", &json!({ "to": ["server"] }));
    assert_eq!(answer["frozen"], 1);
    assert!(echo(&bench.connect(), COMES_MS).is_some());
    assert_eq!(echo(&old, SILENCE_MS), None);
    bench.heal();
    assert_eq!(receive(&old, SILENCE_MS), None);
});

bench_test!(freeze_spares_other_links, |bench| {
    let old = bench.connect();
    assert!(echo(&old, COMES_MS).is_some());
    let answer = post(&bench.proxy, "freeze", &json!({ "to": ["another"] }));
    assert_eq!(answer["frozen"], 0);
    assert!(echo(&old, COMES_MS).is_some());
});

bench_test!(silent_link_holds_bytes_until_healed, |bench| {
    let old = bench.connect();
    bench.fault(json!({ "mode": "silent" }));
    assert_eq!(echo(&old, SILENCE_MS), None);
    assert_eq!(echo(&bench.connect(), SILENCE_MS), None);
    bench.heal();
    assert_eq!(receive(&old, COMES_MS).as_deref(), Some("reel"));
});

bench_test!(one_way_loss_keeps_the_other_way, |bench| {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target = listener.local_addr().expect("a bound port");
    let change = json!({ "address": bench.route, "target": target });
    post(&bench.proxy, "target", &change);
    let source = bench.connect();
    let (server, _) = listener.accept().expect("the proxy connects");
    bench.fault(json!({ "mode": "lose-towards-source" }));
    (&source).write_all(b"reel").expect("the proxy takes bytes");
    assert_eq!(receive(&server, COMES_MS).as_deref(), Some("reel"));
    (&server).write_all(b"tape").expect("the proxy takes bytes");
    assert_eq!(receive(&source, SILENCE_MS), None);
    bench.fault(json!({ "mode": "lose-towards-target" }));
    assert_eq!(receive(&source, COMES_MS).as_deref(), Some("tape"));
    (&source).write_all(b"reel").expect("the proxy takes bytes");
    assert_eq!(receive(&server, SILENCE_MS), None);
});

bench_test!(partition_splits_two_sets_both_ways, |bench| {
    let back = add_route(&bench.proxy, Some("server"), "client", "tcp", bench.echo);
    let aside = add_route(&bench.proxy, Some("other"), "server", "tcp", bench.echo);
    let rule = json!({
        "name": "partition", "from": ["client", "client-2"], "to": ["server"], "both_ways": true,
        "fault": { "mode": "silent" },
    });
    post(&bench.proxy, "rules", &rule);
    for route in [bench.route, back] {
        let stream = TcpStream::connect(route).expect("the route listens");
        assert_eq!(echo(&stream, SILENCE_MS), None);
    }
    let stream = TcpStream::connect(aside).expect("the route listens");
    assert!(echo(&stream, COMES_MS).is_some());
});

bench_test!(http_proxy_knows_the_party_and_the_target, |bench| {
    let platform =
        jacinthpoint_standins::PlatformServer::start(jacinthpoint_standins::PlatformOptions::new())
            .expect("a free port");
    let proxy = &bench.proxy;
    let route = add_route(proxy, None, "platform", "tcp", platform.address());
    let own = add_route(proxy, Some("node-1"), "", "http-proxy", bench.echo);
    let get = || {
        let settings = attohttpc::ProxySettings::builder()
            .http_proxy(format!("http://{own}").parse().ok())
            .build();
        attohttpc::get(format!("http://{route}/objects/plans"))
            .proxy_settings(settings)
            .read_timeout(Duration::from_millis(SILENCE_MS))
            .send()
    };
    assert!(get().expect("an answer").is_success());
    let rule = json!({
        "name": "away", "from": ["node-1"], "to": ["platform"], "fault": { "mode": "silent" },
    });
    post(proxy, "rules", &rule);
    assert!(get().is_err());
    let links = links(proxy);
    let link = json!({
        "from": "node-1", "to": "platform", "connections": 2, "datagrams": 0, "dropped": 0,
    });
    assert!(links.as_array().expect("links").contains(&link), "{links}");
});

/// Numbers of the datagrams that pass, out of 200.
fn datagrams_that_pass(seed: u64, fault: &Value) -> Vec<u8> {
    let proxy = start_proxy(seed);
    let target = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = target.local_addr().expect("a bound port");
    let route = add_route(&proxy, None, "target", "udp", address);
    let source = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let sender = json!({ "party": "source", "address": source.local_addr().expect("a port") });
    post(&proxy, "senders", &sender);
    let rule = json!({ "name": "fault", "from": ["source"], "fault": fault });
    post(&proxy, "rules", &rule);
    for number in 0..200 {
        source.send_to(&[number], route).expect("sent");
    }
    wait_for_datagrams(&proxy, 200);
    // The last datagram passes whatever the fault, and comes after the others.
    post(&proxy, "heal", &json!({}));
    source.send_to(&[255], route).expect("sent");
    target
        .set_read_timeout(Some(Duration::from_millis(COMES_MS)))
        .expect("a timeout");
    let mut passed = Vec::new();
    let mut byte = [0];
    while target.recv(&mut byte).is_ok() && byte[0] != 255 {
        passed.push(byte[0]);
    }
    passed
}

#[test]
fn lost_share_follows_the_seed() {
    let fault = json!({ "mode": "lose-share", "share": 0.3 });
    let first = datagrams_that_pass(7, &fault);
    assert_eq!(first, datagrams_that_pass(7, &fault));
    assert_ne!(first, datagrams_that_pass(8, &fault));
    // Six standard deviations of a binomial distribution around 140.
    assert!((101..=179).contains(&first.len()), "{}", first.len());
}

#[test]
fn silent_link_drops_datagrams() {
    let passed = datagrams_that_pass(1, &json!({ "mode": "silent" }));
    assert!(passed.is_empty(), "{passed:?}");
}
