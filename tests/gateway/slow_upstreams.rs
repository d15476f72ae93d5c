//! Upstreams that read requests slowly.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    thread,
};

use jacinthpoint_adapter::{headers, paths};
use jacinthpoint_platform_standins::{PlainService, RequestLimits};
use serde_json::json;
use socket2::{Domain, Socket, Type};

use crate::gateway::{
    caller::{End, Request},
    pause_ms,
    site::{KEY, ROUTE_TIMEOUT_MS, Site},
};

/// Receive buffer of the upstream, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1_024;
/// Length of the request's body; more than the buffers of a connection take.
const BODY_BYTES: usize = 3_000_000;
/// Time for which the upstream does not read, after it has read the head of a request.
const READ_PAUSE_MS: u64 = 5_500;
/// Time for which the upstream keeps a connection whose request it does not read.
const UNREAD_MS: u64 = 20_000;

/// What an upstream does with a request that has a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyReading {
    /// It reads the body after a pause, and answers.
    AfterPause,
    /// It answers, and never reads the body.
    Never,
    /// It answers, and closes the connection at once, which resets it.
    NeverAndCloses,
}

/// Starts an upstream with a small receive buffer, and returns its address.
fn start_upstream(reading: BodyReading) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is available");
    // Connections inherit it.
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("it can be set");
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any_port.into()).expect("a port is free");
    socket.listen(64).expect("the socket can listen");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // A reset connection is an error for the gateway to handle.
            thread::spawn(move || serve(&stream, reading));
        }
    });
    address
}

/// Answers requests without a body at once, others as `reading` says.
fn serve(mut stream: &TcpStream, reading: BodyReading) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let (mut length, mut attempt_id) = (0, String::new());
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let Some((name, value)) = line.split_once(':') else {
                if line.trim().is_empty() {
                    break;
                }
                continue;
            };
            let value = value.trim();
            if name.eq_ignore_ascii_case("content-length") {
                length = value.parse().unwrap_or(0);
            } else if name.eq_ignore_ascii_case(headers::ATTEMPT_ID) {
                attempt_id = value.to_owned();
            }
        }
        if length > 0 && reading == BodyReading::AfterPause {
            pause_ms(READ_PAUSE_MS);
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{}: {attempt_id}\r\n{}: seal.slow\r\ncontent-length: 4\r\n\r\nread",
            headers::ATTEMPT_ID,
            headers::SEAL
        );
        stream.write_all(answer.as_bytes())?;
        if length > 0 && reading != BodyReading::AfterPause {
            if reading == BodyReading::Never {
                pause_ms(UNREAD_MS);
            }
            return Ok(());
        }
    }
}

/// Starts a site with one gateway, whose plain service is at `address`.
fn start_site(address: SocketAddr) -> Site {
    let site = Site::start(1);
    let store = &site.platform.store;
    let entry = store.get_content(paths::UPSTREAM_KIND, PlainService::ID);
    let mut entry = entry.expect("it is registered");
    entry["addr"] = json!(address.to_string());
    store.put(paths::UPSTREAM_KIND, PlainService::ID, entry);
    let limits = RequestLimits {
        max_body_bytes: BODY_BYTES,
        ..RequestLimits::default()
    };
    site.put_config_with(&[KEY], ROUTE_TIMEOUT_MS, limits);
    // The gateway reads the changes.
    pause_ms(1_000);
    site
}

/// Returns the number of open connections to this port on the machine.
fn open_connections_to(port: u16) -> usize {
    open_connections(&format!(":{port:04X}"))
}

/// Returns the number of open connections to an address.
pub(super) fn open_connections_to_address(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is not an IPv4 address");
    };
    // The kernel writes the bytes of the address as a number of the machine's byte order.
    let ip = u32::from_ne_bytes(address.ip().octets());
    open_connections(&format!("{ip:08X}:{:04X}", address.port()))
}

/// Returns the number of open connections whose remote address ends like this in the kernel's table.
fn open_connections(suffix: &str) -> usize {
    const ESTABLISHED: &str = "01";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table can be read");
    let lines = table.lines().skip(1);
    let open = lines.filter(|line| {
        let mut fields = line.split_whitespace().skip(2);
        let remote = fields.next().unwrap_or_default();
        remote.ends_with(suffix) && fields.next() == Some(ESTABLISHED)
    });
    open.count()
}

/// Guards against a limit on unacknowledged bytes that resets the connection to an upstream that is
/// alive, but reads nothing for longer than the limit.
#[test]
fn request_to_an_upstream_that_pauses_reading_is_answered() {
    let site = start_site(start_upstream(BodyReading::AfterPause));
    let body = "x".repeat(BODY_BYTES);
    let request = Request {
        body: &body,
        ..Request::once("slowly-read")
    };
    let answer = request.send(site.gateway(0));
    assert_eq!((answer.status, answer.end), (200, End::Whole));
    assert_eq!(answer.text(), "read");
    // The connection is used again, and still has no limit.
    let answer = Request::once("slowly-read-again").send(site.gateway(0));
    assert_eq!((answer.status, answer.end), (200, End::Whole));
}

/// Guards against connections that stay open without a use, because the upstream has answered and does
/// not read the rest of the request.
#[test]
fn connection_with_an_unread_request_is_closed_after_the_answer() {
    let address = start_upstream(BodyReading::Never);
    let site = start_site(address);
    let body = "x".repeat(BODY_BYTES);
    let request = Request {
        body: &body,
        ..Request::once("unread")
    };
    let answer = request.send(site.gateway(0));
    assert_eq!((answer.status, answer.end), (200, End::Whole));
    // Twice the time for which an idle connection is kept.
    site.wait_until("the connection is closed", 4_000, |_| {
        open_connections_to(address.port()) == 0
    });
}

/// Guards against an answer that arrived whole and is lost, because the rest of the request cannot be sent.
#[test]
fn answers_of_an_upstream_that_closes_before_it_has_read_the_request_are_passed_on() {
    const REQUESTS: usize = 10;
    let site = start_site(start_upstream(BodyReading::NeverAndCloses));
    let body = "x".repeat(BODY_BYTES);
    let answers = (0..REQUESTS).map(|index| {
        let request = Request {
            body: &body,
            ..Request::once(&format!("unread-{index}"))
        };
        request.send(site.gateway(0))
    });
    let statuses: Vec<_> = answers.map(|answer| answer.status).collect();
    assert_eq!(statuses, [200; REQUESTS]);
}
