//! The store as one gateway sees it: a proxy that can replace the addresses of all upstreams by one
//! where nobody listens.
//!
//! All parties of a test are on one machine, so a connection does not tell which gateway opened it. What
//! an upstream's entry says is the one thing that differs from gateway to gateway.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use socket2::{Domain, Socket, Type};

/// Begin of an upstream's address in a store entry. The port follows.
const ADDRESS: &[u8] = b"\"addr\":\"127.0.0.1:";

/// A proxy in front of the store. Its threads end with the connections.
pub struct StoreView {
    pub address: SocketAddr,
    is_partitioned: Arc<AtomicBool>,
    is_silent: Arc<AtomicBool>,
    _closed: Socket,
}

impl StoreView {
    /// Starts a proxy of the store at this address.
    pub fn start(store: SocketAddr) -> StoreView {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("it is bound");
        let is_partitioned = Arc::new(AtomicBool::new(false));
        let is_silent: Arc<AtomicBool> = Arc::default();
        let (flag, silence) = (is_partitioned.clone(), is_silent.clone());
        let (closed, closed_port) = closed_port();
        thread::spawn(move || {
            while let Ok((gateway, _)) = listener.accept() {
                let Ok(store) = TcpStream::connect(store) else {
                    continue;
                };
                let (Ok(to_gateway), Ok(to_store)) = (gateway.try_clone(), store.try_clone())
                else {
                    continue;
                };
                thread::spawn(move || copy(gateway, to_store, |_| {}));
                let (flag, silence, closed_port) =
                    (flag.clone(), silence.clone(), closed_port.clone());
                thread::spawn(move || {
                    copy(store, to_gateway, |bytes| {
                        while silence.load(Ordering::Relaxed) {
                            thread::sleep(Duration::from_millis(5));
                        }
                        if flag.load(Ordering::Relaxed) {
                            replace_ports(bytes, &closed_port);
                        }
                    });
                });
            }
        });
        StoreView {
            address,
            is_partitioned,
            is_silent,
            _closed: closed,
        }
    }

    /// Sets whether the gateway gets the address where nobody listens from now on.
    pub fn partition(&self, is_partitioned: bool) {
        self.is_partitioned.store(is_partitioned, Ordering::Relaxed);
    }

    /// Sets whether answers of the store are held back from now on.
    pub fn silence(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }
}

/// Returns a socket that is bound and does not listen, and its port of five digits as text. While the
/// socket exists, no other test gets the port.
pub fn closed_port() -> (Socket, String) {
    loop {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is available");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket
            .bind(&any_port.into())
            .expect("a loopback port is free");
        let address = socket.local_addr().expect("it is bound");
        let port = address.as_socket().expect("it is an IP address").port();
        if port >= 10_000 {
            return (socket, port.to_string());
        }
    }
}

/// Copies bytes until either side ends, changed by `change`.
fn copy(mut from: TcpStream, mut to: TcpStream, change: impl Fn(&mut [u8])) {
    let mut buffer = vec![0; 256 * 1_024];
    while let Ok(count) = from.read(&mut buffer) {
        change(&mut buffer[..count]);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Replaces the port in each address by another one of the same length.
fn replace_ports(bytes: &mut [u8], port: &str) {
    for begin in 0..bytes.len().saturating_sub(ADDRESS.len() + port.len()) {
        if bytes[begin..].starts_with(ADDRESS) {
            let begin = begin + ADDRESS.len();
            let old = &mut bytes[begin..begin + port.len()];
            if old.iter().all(u8::is_ascii_digit) {
                old.copy_from_slice(port.as_bytes());
            }
        }
    }
}
