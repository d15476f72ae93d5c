//! Answers without an id that come once more on a kept connection: of the store, and of engines to orders.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
};

use serde_json::json;

use crate::gateway::{pause_ms, site::Site};

/// Kind and name of the lease in the store.
const LEASE: (&str, &str) = ("leases", "groups");
/// Begin of the request line of a write of the lease.
const LEASE_WRITE: &[u8] = b"PUT /objects/leases/groups ";
/// Time in which a gateway tries more than once to take over a lease that is not renewed.
const TAKEOVER_ATTEMPTS_MS: u64 = 8_000;

/// What a proxy of the store does with writes of the lease, and what it saw.
#[derive(Default)]
struct LeaseWrites {
    /// Whether the store refuses each one, and writes its last answer on the connection once more before.
    are_refused: AtomicBool,
    refused: AtomicUsize,
    /// Refused ones on a connection without an earlier call: renewals, since a gateway that does not hold
    /// the lease reads it first.
    refused_renewals: AtomicUsize,
}

/// Reads one message, whose body has a length, from a stream; `None` at its end.
fn read_message(stream: &mut TcpStream, received: &mut Vec<u8>) -> io::Result<Option<Vec<u8>>> {
    let mut buffer = [0; 65_536];
    loop {
        if let Some(end) = received.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length:"));
            let length = length.map_or(0, |text| text.trim().parse().expect("a number"));
            if received.len() >= end + 4 + length {
                return Ok(Some(received.drain(..end + 4 + length).collect()));
            }
        }
        match stream.read(&mut buffer)? {
            0 => return Ok(None),
            count => received.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Passes the calls of one connection on, except for writes of the lease that are refused.
fn pass_on(mut gateway: TcpStream, store: SocketAddr, writes: &LeaseWrites) -> io::Result<()> {
    let mut store = TcpStream::connect(store)?;
    let (mut from_gateway, mut from_store) = (Vec::new(), Vec::new());
    let mut last_answer: Option<Vec<u8>> = None;
    while let Some(call) = read_message(&mut gateway, &mut from_gateway)? {
        if call.starts_with(LEASE_WRITE) && writes.are_refused.load(Ordering::SeqCst) {
            writes.refused.fetch_add(1, Ordering::SeqCst);
            match &last_answer {
                Some(answer) => gateway.write_all(answer)?,
                None => {
                    writes.refused_renewals.fetch_add(1, Ordering::SeqCst);
                }
            }
            gateway.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")?;
            continue;
        }
        store.write_all(&call)?;
        let Some(answer) = read_message(&mut store, &mut from_store)? else {
            return Ok(());
        };
        gateway.write_all(&answer)?;
        last_answer = Some(answer);
    }
    Ok(())
}

/// Starts a proxy of the store at this address and returns its own.
fn start_proxy(store: SocketAddr, writes: &Arc<LeaseWrites>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("it is bound");
    let writes = writes.clone();
    thread::spawn(move || {
        while let Ok((gateway, _)) = listener.accept() {
            let writes = writes.clone();
            // The end of a connection is an error on the other one.
            thread::spawn(move || pass_on(gateway, store, &writes));
        }
    });
    address
}

/// Guards against two owners of the groups: the store's answer to the read of the lease comes once more and
/// is taken for the answer to the write, which the store refuses.
#[test]
fn repeated_answer_of_the_store_gains_no_lease() {
    let writes = Arc::new(LeaseWrites::default());
    let site = Site::start_behind_store_proxy(1, &|store| start_proxy(store, &writes));
    let other = json!({ "holder": "other", "life": 1, "renewals": 1 });
    site.platform.store.put(LEASE.0, LEASE.1, other);
    // The gateway learns that it has lost the lease.
    pause_ms(1_500);
    writes.are_refused.store(true, Ordering::SeqCst);
    pause_ms(TAKEOVER_ATTEMPTS_MS);
    let refused = writes.refused.load(Ordering::SeqCst);
    assert!(refused > 1, "{refused} attempts to take the lease over");
    assert_eq!(writes.refused_renewals.load(Ordering::SeqCst), 0);
}

/// Guards against an order that counts as carried out because an earlier answer of the engine comes once
/// more: answers to orders have no id, so only the first one on a connection is known to belong to its order.
#[test]
fn each_order_is_the_first_request_on_its_connection() {
    let site = Site::start(1);
    let (orders, on_used) = site.platform.engines.orders();
    assert!(orders > 0, "groups were formed");
    assert_eq!(on_used, 0, "of {orders} orders");
}
