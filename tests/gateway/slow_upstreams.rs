//! Upstreams that read requests slowly.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    thread,
};

use jacinthpoint_adapter::{headers, paths};
use jacinthpoint_platform_standins::PlainService;
use serde_json::json;
use socket2::{Domain, Socket, Type};

use crate::gateway::{
    caller::{End, Request},
    pause_ms,
    site::Site,
};

/// Receive buffer of the upstream, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1_024;
/// Length of the request's body; within the limit of the site's configuration.
const BODY_BYTES: usize = 60_000;
/// Time for which the upstream does not read, after it has read the head of a request.
const READ_PAUSE_MS: u64 = 5_500;

/// Starts an upstream with a small receive buffer that pauses before it reads a body, and returns its
/// address.
fn start_slow_reader() -> SocketAddr {
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
            thread::spawn(move || serve(&stream));
        }
    });
    address
}

/// Answers requests without a body at once, others after a pause.
fn serve(mut stream: &TcpStream) -> std::io::Result<()> {
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
        if length > 0 {
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
    }
}

/// Guards against a limit on unacknowledged bytes that resets the connection to an upstream that is
/// alive, but reads nothing for longer than the limit.
#[test]
fn request_to_an_upstream_that_pauses_reading_is_answered() {
    let site = Site::start(1);
    let address = start_slow_reader();
    let store = &site.platform.store;
    let entry = store.get_content(paths::UPSTREAM_KIND, PlainService::ID);
    let mut entry = entry.expect("it is registered");
    entry["addr"] = json!(address.to_string());
    store.put(paths::UPSTREAM_KIND, PlainService::ID, entry);
    pause_ms(1_000);
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
