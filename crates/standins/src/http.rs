//! A small HTTP server loop shared by the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

/// How often the loop looks whether it shall stop.
const STOP_CHECK_MS: u64 = 20;
/// Largest body that a stand-in reads.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// A running server. Dropping it stops the server.
#[derive(Debug)]
pub(crate) struct HttpServer {
    pub(crate) address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl HttpServer {
    /// Serves each request in a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) fn start(
        address: SocketAddr,
        stopped: Arc<AtomicBool>,
        handler: impl Fn(Request) + Send + Sync + 'static,
    ) -> io::Result<HttpServer> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let handler = Arc::new(handler);
        let stop = stopped.clone();
        thread::Builder::new()
            .name("standin-http".to_owned())
            .spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Ok(Some(request)) =
                        server.recv_timeout(Duration::from_millis(STOP_CHECK_MS))
                    {
                        let handler = handler.clone();
                        thread::spawn(move || handler(request));
                    }
                }
            })?;
        Ok(HttpServer { address, stopped })
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Reads a request's body.
pub(crate) fn read_body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    request
        .as_reader()
        .take(MAX_BODY_BYTES)
        .read_to_end(&mut body)?;
    Ok(body)
}

/// Value of a header, or an empty text.
pub(crate) fn header(request: &Request, name: &str) -> String {
    let found = request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.to_string()).unwrap_or_default()
}

/// Value of a query parameter.
pub(crate) fn query<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Answers with JSON. A caller that has gone does not matter to a stand-in.
pub(crate) fn respond_json(request: Request, status: u16, body: &impl Serialize) {
    let bytes = serde_json::to_vec(body).expect("stand-ins answer with plain values");
    let content_type = Header::from_bytes("Content-Type", "application/json")
        .expect("the header is constant and valid");
    let response = Response::from_data(bytes)
        .with_status_code(status)
        .with_header(content_type);
    let _ = request.respond(response);
}

/// Answers with an error text.
pub(crate) fn respond_error(request: Request, status: u16, message: &str) {
    respond_json(request, status, &serde_json::json!({ "error": message }));
}

/// Writes one chunk of a chunked body and sends it off.
pub(crate) fn write_chunk(writer: &mut dyn Write, data: &[u8]) -> io::Result<()> {
    write!(writer, "{:x}\r\n", data.len())?;
    writer.write_all(data)?;
    writer.write_all(b"\r\n")?;
    writer.flush()
}
