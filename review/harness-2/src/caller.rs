//! A caller that sends one request on a connection of its own.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// API key of the callers' tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub sent_at: Instant,
    /// Status; 0 without a head.
    pub status: u16,
    /// Whether the answer came to its end.
    pub is_whole: bool,
    pub text: String,
}

impl Answer {
    /// Returns whether the caller got a whole success.
    pub fn is_served(&self) -> bool {
        self.status / 100 == 2 && self.is_whole
    }
}

/// Returns whether an answer is whole, by its length or its last chunk.
pub fn is_whole(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return body == "0\r\n\r\n" || body.ends_with("\r\n0\r\n\r\n");
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|length| length.trim().parse::<usize>().ok());
    length.is_some_and(|length| body.len() >= length)
}

/// Sends the text of a request and reads until the answer is whole, the connection ends, or `limit`.
pub fn send(address: SocketAddr, request: &str, limit: Duration) -> Answer {
    let sent_at = Instant::now();
    let mut bytes = Vec::new();
    let mut exchange = || -> std::io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.write_all(request.as_bytes())?;
        let mut buffer = [0; 4_096];
        loop {
            let left = (sent_at + limit).saturating_duration_since(Instant::now());
            if left.is_zero() || is_whole(&String::from_utf8_lossy(&bytes)) {
                return Ok(());
            }
            stream.set_read_timeout(Some(left))?;
            match stream.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    };
    let _ = exchange();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.strip_prefix("HTTP/1.1 ");
    let status = status.and_then(|rest| rest.get(..3)?.parse().ok());
    Answer {
        sent_at,
        status: status.unwrap_or(0),
        is_whole: is_whole(&text),
        text,
    }
}
