//! TCP routes: two threads a connection, one for each direction.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::proxy::{
    RouteSpec,
    rules::Direction,
    shared::{Route, Shared},
};

/// Bytes read at once.
const PIECE_BYTES: usize = 16 * 1024;
/// How often a direction that is blocked looks again.
const BLOCKED_POLL_MS: u64 = 5;
/// Time after which TCP usually sends a lost segment again.
const RETRANSMISSION_MS: u64 = 200;
/// Time to connect to the target.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// One connection through the proxy.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) from: String,
    pub(super) to: String,
    source: TcpStream,
    target: TcpStream,
    frozen: AtomicBool,
}

impl Connection {
    /// Goes silent for good; `false` if it was before.
    pub(super) fn freeze(&self) -> bool {
        !self.frozen.swap(true, Ordering::SeqCst)
    }

    /// Closes both ends.
    pub(super) fn close(&self) {
        if !self.frozen.load(Ordering::SeqCst) {
            // An end that is closed already does not matter.
            let _ = self.source.shutdown(Shutdown::Both);
            let _ = self.target.shutdown(Shutdown::Both);
        }
    }

    fn ends(&self, direction: Direction) -> (&TcpStream, &TcpStream) {
        match direction {
            Direction::TowardsTarget => (&self.source, &self.target),
            Direction::TowardsSource => (&self.target, &self.source),
        }
    }

    /// Waits until a piece may pass; `false` if none ever will.
    fn wait_for_passage(&self, shared: &Shared, direction: Direction) -> bool {
        loop {
            let link = shared.link(&self.from, &self.to);
            if self.frozen.load(Ordering::SeqCst) || shared.is_stopped() {
                return false;
            }
            if link.cut {
                self.close();
                return false;
            }
            if !link.blocks(direction) {
                let lost = shared.draws_loss(&self.from, &self.to, link.loss_share);
                let retransmission_ms = if lost { RETRANSMISSION_MS } else { 0 };
                thread::sleep(Duration::from_millis(link.delay_ms + retransmission_ms));
                return !self.frozen.load(Ordering::SeqCst);
            }
            thread::sleep(Duration::from_millis(BLOCKED_POLL_MS));
        }
    }
}

/// Listens for connections to one party, on a free port if no address is given.
pub(super) fn listen(
    shared: &Arc<Shared>,
    spec: RouteSpec,
    address: Option<SocketAddr>,
) -> io::Result<SocketAddr> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(address.unwrap_or(any))?;
    let address = listener.local_addr()?;
    let route = shared.add_route(Route::new(spec, address));
    accept_connections(shared, listener, move |shared, source| {
        let from = route.from.clone().unwrap_or_default();
        if let Some(target) = route.target() {
            connect(shared, from, route.to.clone(), source, target, Vec::new());
        }
    })?;
    Ok(address)
}

/// Takes connections, each in a thread of its own, until the proxy stops.
pub(super) fn accept_connections(
    shared: &Arc<Shared>,
    listener: TcpListener,
    handle: impl Fn(&Arc<Shared>, TcpStream) + Send + Sync + 'static,
) -> io::Result<()> {
    let shared = shared.clone();
    let handle = Arc::new(handle);
    thread::Builder::new()
        .name("proxy-accept".to_owned())
        .spawn(move || {
            for source in listener.incoming() {
                if shared.is_stopped() {
                    return;
                }
                let (shared, handle) = (shared.clone(), handle.clone());
                if let Ok(source) = source {
                    thread::spawn(move || handle(&shared, source));
                }
            }
        })?;
    Ok(())
}

/// Connects to the target and passes both directions on; `head` goes first.
pub(super) fn connect(
    shared: &Arc<Shared>,
    from: String,
    to: String,
    source: TcpStream,
    target: SocketAddr,
    head: Vec<u8>,
) {
    shared.count(&from, &to, |traffic| traffic.connections += 1);
    if shared.link(&from, &to).cut {
        return;
    }
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    // A target that refuses shows as a connection that is closed at once.
    let Ok(target) = TcpStream::connect_timeout(&target, timeout) else {
        return;
    };
    let _ = source.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let connection = Arc::new(Connection {
        from,
        to,
        source,
        target,
        frozen: AtomicBool::new(false),
    });
    shared.add_connection(&connection);
    let (back_shared, back) = (shared.clone(), connection.clone());
    thread::spawn(move || pass_on(&back_shared, &back, Direction::TowardsSource));
    let head_passed = head.is_empty()
        || (connection.wait_for_passage(shared, Direction::TowardsTarget)
            && (&connection.target).write_all(&head).is_ok());
    if head_passed {
        pass_on(shared, &connection, Direction::TowardsTarget);
    }
}

fn pass_on(shared: &Shared, connection: &Connection, direction: Direction) {
    let (mut source, mut target) = connection.ends(direction);
    let mut piece = [0; PIECE_BYTES];
    loop {
        let length = source.read(&mut piece).unwrap_or(0);
        if !connection.wait_for_passage(shared, direction) {
            return;
        }
        if length == 0 {
            let _ = target.shutdown(Shutdown::Write);
            return;
        }
        if target.write_all(&piece[..length]).is_err() {
            connection.close();
            return;
        }
    }
}
