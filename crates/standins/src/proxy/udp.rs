//! UDP routes: a socket for each sender, so that replies find their way back.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crossbeam::channel::{self, Receiver, Sender};

use crate::proxy::{
    RouteSpec,
    rules::Direction,
    shared::{Route, Shared},
};

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// How often a receiving thread looks whether the proxy stops.
const RECEIVE_POLL_MS: u64 = 100;

/// A datagram on its way.
struct Datagram {
    due: Instant,
    bytes: Vec<u8>,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
}

/// Listens for datagrams to one party.
pub(super) fn listen(shared: &Arc<Shared>, spec: RouteSpec) -> io::Result<SocketAddr> {
    let socket = Arc::new(bind()?);
    let address = socket.local_addr()?;
    let route = shared.add_route(Route::new(spec, address));
    let (outbox, due) = channel::unbounded();
    thread::Builder::new()
        .name("proxy-udp-send".to_owned())
        .spawn(move || send_when_due(&due))?;
    let shared = shared.clone();
    thread::Builder::new()
        .name("proxy-udp".to_owned())
        .spawn(move || receive(&shared, &route, &socket, &outbox))?;
    Ok(address)
}

fn bind() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    socket.set_read_timeout(Some(Duration::from_millis(RECEIVE_POLL_MS)))?;
    Ok(socket)
}

fn send_when_due(due: &Receiver<Datagram>) {
    for datagram in due {
        thread::sleep(datagram.due.saturating_duration_since(Instant::now()));
        // A datagram that cannot be sent is a lost one.
        let _ = datagram.socket.send_to(&datagram.bytes, datagram.to);
    }
}

fn receive(
    shared: &Arc<Shared>,
    route: &Arc<Route>,
    socket: &Arc<UdpSocket>,
    outbox: &Sender<Datagram>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    while !shared.is_stopped() {
        let Ok((length, sender)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let from = route.from.clone().unwrap_or_else(|| shared.sender(sender));
        shared.count(&from, &route.to, |traffic| traffic.datagrams += 1);
        let Some(target) = route.target() else {
            continue;
        };
        let onward = match sockets.get(&sender) {
            Some(onward) => onward.clone(),
            None => {
                let Ok(onward) = open_return_path(shared, route, &from, socket, sender) else {
                    continue;
                };
                sockets.insert(sender, onward.clone());
                onward
            }
        };
        let Some(due) = passage(shared, &from, &route.to, Direction::TowardsTarget) else {
            shared.count(&from, &route.to, |traffic| traffic.dropped += 1);
            continue;
        };
        let _ = outbox.send(Datagram {
            due,
            bytes: buffer[..length].to_vec(),
            socket: onward,
            to: target,
        });
    }
}

/// A socket towards the target whose replies go back to one sender.
fn open_return_path(
    shared: &Arc<Shared>,
    route: &Arc<Route>,
    from: &str,
    socket: &Arc<UdpSocket>,
    sender: SocketAddr,
) -> io::Result<Arc<UdpSocket>> {
    let onward = Arc::new(bind()?);
    let (shared, route, from) = (shared.clone(), route.clone(), from.to_owned());
    let (replies, socket) = (onward.clone(), socket.clone());
    thread::Builder::new()
        .name("proxy-udp-back".to_owned())
        .spawn(move || {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            while !shared.is_stopped() {
                let Ok((length, _)) = replies.recv_from(&mut buffer) else {
                    continue;
                };
                if let Some(due) = passage(&shared, &from, &route.to, Direction::TowardsSource) {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let _ = socket.send_to(&buffer[..length], sender);
                }
            }
        })?;
    Ok(onward)
}

/// When a datagram leaves the proxy; `None` if it is lost.
fn passage(shared: &Shared, from: &str, to: &str, direction: Direction) -> Option<Instant> {
    let link = shared.link(from, to);
    let lost = link.cut || link.blocks(direction) || shared.draws_loss(from, to, link.loss_share);
    (!lost).then(|| Instant::now() + Duration::from_millis(link.delay_ms))
}
