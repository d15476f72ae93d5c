//! Routes that a party uses as its HTTP proxy: the party is known by the route, the target by the
//! request.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
};

use crate::proxy::{
    RouteSpec,
    shared::{Route, Shared},
    tcp,
};

/// Longest request line.
const MAX_REQUEST_LINE_BYTES: usize = 8 * 1024;

/// Listens for requests of one party to any address.
pub(super) fn listen(shared: &Arc<Shared>, spec: RouteSpec) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    let route = shared.add_route(Route::new(spec, address));
    tcp::accept_connections(shared, listener, move |shared, source| {
        let from = route.from.clone().unwrap_or_default();
        if let Some(request) = read_request(&source) {
            // Another route's address stands for the party that the route leads to.
            let (to, target) = match shared.route(request.target) {
                Some(to) => (to.to.clone(), to.target()),
                None => (String::new(), Some(request.target)),
            };
            if let Some(target) = target {
                tcp::connect(shared, from, to, source, target, request.head);
            }
        }
    })?;
    Ok(address)
}

struct Request {
    target: SocketAddr,
    /// What has been read, with the request line in origin form.
    head: Vec<u8>,
}

/// Reads the request line and whatever came with it.
fn read_request(mut source: &TcpStream) -> Option<Request> {
    let mut read = Vec::new();
    let mut piece = [0; 4096];
    loop {
        let length = source.read(&mut piece).ok().filter(|length| *length > 0)?;
        read.extend_from_slice(&piece[..length]);
        if let Some(end) = read.windows(2).position(|pair| pair == b"\r\n") {
            return in_origin_form(&read[..end], &read[end..]);
        }
        if read.len() > MAX_REQUEST_LINE_BYTES {
            return None;
        }
    }
}

fn in_origin_form(line: &[u8], rest: &[u8]) -> Option<Request> {
    let line = std::str::from_utf8(line).ok()?;
    let (method, line) = line.split_once(" http://")?;
    let (url, version) = line.rsplit_once(' ')?;
    let (authority, path) = url.split_at(url.find(['/', '?']).unwrap_or(url.len()));
    let slash = if path.starts_with('/') { "" } else { "/" };
    let mut head = format!("{method} {slash}{path} {version}").into_bytes();
    head.extend_from_slice(rest);
    Some(Request {
        target: authority.parse().ok()?,
        head,
    })
}
