//! Callers that send what they should not, all at once, and keep their connections open.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::gateway::caller::{Answer, End, Request, join_all, parse};

/// Number of callers, more than a gateway has places for.
const CALLERS: usize = 100;
/// Number of callers of a crowd that opens connections and sends next to nothing on them.
const CONNECTIONS: usize = 450;
/// Length of a body that is within the limit.
const BODY_BYTES: usize = 1_000_000;
/// Length of the largest legal body.
const LONGEST_BODY_BYTES: usize = 4 * 1_024 * 1_024;
/// Length of a body that is far over the limit.
const LONG_BODY_BYTES: usize = 8_000_000;
/// Length of a head that does not end.
const HEAD_BYTES: usize = 390_000;
/// Number of requests that are sent ahead on a connection.
const SENT_AHEAD: usize = 2_000;
/// Time after which a caller gives up to send what the gateway does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which the callers of a crowd have sent what they send.
const MAX_START: Duration = Duration::from_secs(20);
/// Pause between two parts of a slow caller.
const SLOW_PAUSE: Duration = Duration::from_millis(50);
/// Number of parts that a slow caller sends before the checks begin.
const SLOW_PARTS: usize = 20;

/// What each caller of a crowd sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A body of legal length without its last byte.
    BodyShortOfEnd,
    /// A body of the largest legal length without its last byte.
    LongestBody,
    /// A body of legal length, in pieces that the gateway reads one by one.
    BodyInPieces,
    /// The same, in chunks.
    Chunks,
    /// Chunks of one byte, each with an extension.
    ByteChunks,
    /// One chunk with an extension that does not end.
    ChunkExtensions,
    /// Trailers that do not end.
    Trailers,
    /// A body far over the limit.
    LongBody,
    /// The same, in chunks, so that its length is not known beforehand.
    LongChunkedBody,
    /// As many short fields as a head may have, and no body.
    ShortFields,
    /// Short fields without end.
    EndlessFields,
    /// One field without end.
    EndlessHead,
    /// Many requests, without reading the answers.
    SentAhead,
    /// A byte of a body now and then.
    SlowBody,
    /// A byte of a head now and then.
    SlowHead,
    /// The beginning of a head.
    HalfHead,
    /// Nothing.
    Silent,
    /// A request for a long stream, which is not read.
    UnreadStreams,
    /// A body of legal length without its last byte, as from another gateway.
    ForwardedBody,
}

/// Callers that keep their connections open until [`Crowd::end`].
pub struct Crowd {
    is_over: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Connects all callers and returns when they have sent what they send, or cannot send it.
    pub fn start(kind: Kind, address: SocketAddr, path: &'static str) -> Crowd {
        let is_over = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(AtomicUsize::new(0));
        let count = match kind {
            Kind::HalfHead | Kind::Silent => CONNECTIONS,
            _ => CALLERS,
        };
        let callers = (0..count).map(|index| {
            let (is_over, sent) = (is_over.clone(), sent.clone());
            thread::spawn(move || {
                let connected = TcpStream::connect_timeout(&address, WRITE_TIMEOUT);
                // A gateway may refuse such callers, and close their connections.
                if let Ok(mut stream) = connected {
                    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
                    let _ = stream.set_nodelay(true);
                    let begun = send(kind, &mut stream, index, path);
                    sent.fetch_add(1, Ordering::Relaxed);
                    hold(kind, &mut stream, begun.is_ok(), &is_over);
                } else {
                    sent.fetch_add(1, Ordering::Relaxed);
                }
            })
        });
        let callers = callers.collect();
        let latest = Instant::now() + MAX_START;
        while sent.load(Ordering::Relaxed) < count && Instant::now() < latest {
            thread::sleep(Duration::from_millis(20));
        }
        // What was sent last is read.
        thread::sleep(Duration::from_millis(500));
        Crowd { is_over, callers }
    }

    /// Closes all connections.
    pub fn end(self) {
        self.is_over.store(true, Ordering::Relaxed);
        join_all(self.callers);
    }
}

/// Returns the beginning of a head, to which fields can be added.
fn head(index: usize, path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: model.example\r\nJacinthpoint-Attempt-Id: crowd-{index}\r\n\
         Jacinthpoint-Deadline-Ms: 60000\r\nApi-Key: key-1\r\n"
    )
}

/// Returns the head of a request with a body of this length.
fn sized(index: usize, path: &str, bytes: usize) -> String {
    format!("{}Content-Length: {bytes}\r\n\r\n", head(index, path))
}

/// Returns the head of a request with a body in chunks.
fn chunked(index: usize, path: &str) -> String {
    format!("{}Transfer-Encoding: chunked\r\n\r\n", head(index, path))
}

/// Returns one chunk of this length.
fn chunk(bytes: usize) -> String {
    format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes))
}

/// Sends what a caller of this kind sends at the beginning.
fn send(kind: Kind, stream: &mut TcpStream, index: usize, path: &str) -> io::Result<()> {
    let text = match kind {
        Kind::BodyShortOfEnd => sized(index, path, BODY_BYTES) + &"x".repeat(BODY_BYTES - 1),
        Kind::LongestBody => {
            let head = sized(index, path, LONGEST_BODY_BYTES);
            head + &"x".repeat(LONGEST_BODY_BYTES - 1)
        }
        Kind::ForwardedBody => {
            let forwarded = sized(index, path, BODY_BYTES);
            let field = "HTTP/1.1\r\nGateway-Forwarded-By: gateway-9\r\nGateway-View: 1\r\n";
            forwarded.replace("HTTP/1.1\r\n", field) + &"x".repeat(BODY_BYTES - 1)
        }
        Kind::BodyInPieces => {
            stream.write_all(sized(index, path, BODY_BYTES).as_bytes())?;
            let piece = "x".repeat(1_100);
            for _ in 0..BODY_BYTES / 1_100 - 1 {
                stream.write_all(piece.as_bytes())?;
            }
            return Ok(());
        }
        Kind::Chunks => {
            stream.write_all(chunked(index, path).as_bytes())?;
            let chunk = chunk(1_100);
            // Apart, so that each is read by itself.
            for _ in 0..90 {
                stream.write_all(chunk.as_bytes())?;
                thread::sleep(Duration::from_millis(10));
            }
            return Ok(());
        }
        Kind::ByteChunks => chunked(index, path) + &"1;a=b\r\nx\r\n".repeat(100_000),
        Kind::ChunkExtensions => chunked(index, path) + "1;a=" + &"x".repeat(BODY_BYTES),
        Kind::Trailers => chunked(index, path) + "0\r\n" + &"a: b\r\n".repeat(100_000),
        Kind::LongBody => sized(index, path, LONG_BODY_BYTES) + &"x".repeat(LONG_BODY_BYTES),
        Kind::LongChunkedBody => {
            let chunks = LONG_BODY_BYTES / 100_000;
            chunked(index, path) + &chunk(100_000).repeat(chunks)
        }
        Kind::ShortFields => {
            let fields: String = (0..90).map(|number| format!("a{number}:\r\n")).collect();
            head(index, path) + &fields + "Content-Length: 20\r\n\r\n"
        }
        Kind::EndlessFields => head(index, path) + &"a:\r\n".repeat(HEAD_BYTES / 4),
        Kind::EndlessHead => head(index, path) + "a: " + &"x".repeat(HEAD_BYTES),
        Kind::SentAhead => {
            let request = sized(index, path, 1_000) + &"x".repeat(1_000);
            request.repeat(SENT_AHEAD)
        }
        Kind::SlowBody => {
            stream.write_all(sized(index, path, BODY_BYTES).as_bytes())?;
            return (0..SLOW_PARTS).try_for_each(|_| send_slowly(stream));
        }
        Kind::SlowHead => {
            stream.write_all((head(index, path) + "a: ").as_bytes())?;
            return (0..SLOW_PARTS).try_for_each(|_| send_slowly(stream));
        }
        Kind::HalfHead => head(index, path),
        Kind::Silent => String::new(),
        Kind::UnreadStreams => sized(index, path, 0),
    };
    stream.write_all(text.as_bytes())
}

fn send_slowly(stream: &mut TcpStream) -> io::Result<()> {
    thread::sleep(SLOW_PAUSE);
    stream.write_all(b"x")
}

/// Keeps a connection open until the crowd is over; a slow caller goes on to send.
fn hold(kind: Kind, stream: &mut TcpStream, is_sending: bool, is_over: &AtomicBool) {
    let is_slow = matches!(kind, Kind::SlowBody | Kind::SlowHead);
    let mut is_sending = is_sending && is_slow;
    while !is_over.load(Ordering::Relaxed) {
        if is_sending {
            is_sending = send_slowly(stream).is_ok();
        } else {
            thread::sleep(SLOW_PAUSE);
        }
    }
}

/// Sends one whole request with a body of this length, in chunks of this length if one is given, and returns its
/// answer.
pub fn send_whole(address: SocketAddr, bytes: usize, chunk_bytes: Option<usize>) -> Answer {
    let text = match chunk_bytes {
        None => sized(0, "/once/", bytes) + &"x".repeat(bytes),
        Some(chunk_bytes) => {
            let rest = chunk(bytes % chunk_bytes);
            let chunks = chunk(chunk_bytes).repeat(bytes / chunk_bytes);
            chunked(0, "/once/") + &chunks + &rest + "0\r\n\r\n"
        }
    };
    let mut stream = TcpStream::connect(address).expect("the gateway accepts");
    let sent = stream.write_all(text.as_bytes());
    sent.expect("the gateway reads");
    let wait = Some(Duration::from_millis(Request::once("").timeout_ms));
    stream.set_read_timeout(wait).expect("it can be set");
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    while parse(&received, End::Broken).end != End::Whole {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
        }
    }
    parse(&received, End::Broken)
}
