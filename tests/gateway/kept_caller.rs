//! HTTP client of the gateway tests that keeps its connection for many requests.
//!
//! Uses a connection until an answer says `Connection: close` or the connection ends, and records what
//! became of each request: a whole answer, a cut one, or none.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use socket2::{Domain, SockFilter, SockRef, Socket, Type};

use crate::gateway::caller::{Answer, End, Request, parse};

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// The answer arrived whole.
    Whole(Answer),
    /// The answer began and did not arrive whole, or bytes followed that belong to no request.
    Cut(Answer, String),
    /// The connection was accepted and ended without a byte of an answer.
    Unanswered(String),
    /// The caller left before the answer was whole.
    Left(Answer),
    /// No connection was accepted, so the request was not sent.
    NotConnected,
}

impl Outcome {
    /// Returns the answer; panics if it is not whole.
    pub fn whole(self) -> Answer {
        match self {
            Outcome::Whole(answer) => answer,
            other => panic!("no whole answer, but {}", other.describe()),
        }
    }

    /// Returns a short description for messages.
    pub fn describe(&self) -> String {
        match self {
            Outcome::Whole(answer) => format!("status {}", answer.status),
            Outcome::Cut(answer, why) => format!("status {}, cut: {why}", answer.status),
            Outcome::Unanswered(why) => format!("no byte of an answer: {why}"),
            Outcome::Left(answer) => format!("status {}, not whole in time", answer.status),
            Outcome::NotConnected => "no connection".to_owned(),
        }
    }
}

/// A caller and its connection, if one is open.
#[derive(Debug)]
pub struct KeptCaller {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl KeptCaller {
    pub fn new(address: SocketAddr) -> KeptCaller {
        KeptCaller {
            address,
            stream: None,
        }
    }

    /// Returns the address of the gateway.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a connection whose receive buffer has this size.
    pub fn with_receive_buffer(address: SocketAddr, bytes: usize) -> KeptCaller {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is available");
        socket.set_recv_buffer_size(bytes).expect("it can be set");
        socket.connect(&address.into()).expect("it is accepted");
        KeptCaller {
            address,
            stream: Some(socket.into()),
        }
    }

    /// Returns the connection, opened now if there is none.
    pub fn connect(&mut self) -> Option<&mut TcpStream> {
        if self.stream.is_none() {
            self.stream = TcpStream::connect(self.address).ok();
        }
        let stream = self.stream.as_mut()?;
        stream.set_nodelay(true).expect("it can be set");
        Some(stream)
    }

    /// Ends the sending side of the connection.
    pub fn end_sending(&mut self) {
        let stream = self.stream.as_ref().expect("a connection is open");
        stream.shutdown(Shutdown::Write).expect("it is connected");
    }

    /// Drops every packet that arrives for the connection, unacknowledged, as a cut of the link does.
    pub fn cut_link(&mut self) {
        /// BPF_RET | BPF_K: keeps as many bytes of the packet as the operand says.
        const RETURN_CONSTANT: u16 = 0x06;
        let stream = self.connect().expect("it is accepted");
        let drop_all = [SockFilter::new(RETURN_CONSTANT, 0, 0, 0)];
        SockRef::from(&*stream)
            .attach_filter(&drop_all)
            .expect("it can be attached");
    }

    /// Ends a cut of the link.
    pub fn restore_link(&mut self) {
        let stream = self.stream.as_ref().expect("a connection is open");
        SockRef::from(stream)
            .detach_filter()
            .expect("one is attached");
    }

    /// Waits for the gateway to end an idle connection. Returns whether it ended in order, by an end of
    /// stream, or `None` if it is still open after `timeout_ms`.
    pub fn wait_for_close(&mut self, timeout_ms: u64) -> Option<bool> {
        let timeout = Some(Duration::from_millis(timeout_ms));
        let stream = self.stream.as_mut().expect("a connection is open");
        stream.set_read_timeout(timeout).expect("it can be set");
        match stream.read(&mut [0]) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => None,
            read => Some(matches!(read, Ok(0))),
        }
    }

    /// Sends a request and reads its answer, also if the request cannot be written to its end.
    pub fn send(&mut self, request: &Request<'_>) -> Outcome {
        let text = request.to_text();
        match self.write(std::iter::once(text.as_bytes())) {
            None => Outcome::NotConnected,
            Some(written) => match (self.read_answer(request.timeout_ms), written) {
                (Outcome::Unanswered(why), Err(error)) => {
                    Outcome::Unanswered(format!("{why}, after {error} while writing"))
                }
                (outcome, _) => outcome,
            },
        }
    }

    /// Writes a request in parts; `None` if no connection is accepted.
    pub fn write<'a>(
        &mut self,
        parts: impl IntoIterator<Item = &'a [u8]>,
    ) -> Option<std::io::Result<()>> {
        let stream = self.connect()?;
        let written = parts
            .into_iter()
            .try_for_each(|part| stream.write_all(part));
        Some(written)
    }

    /// Reads the answer to the request that was sent last. The connection is closed unless another
    /// request may follow on it.
    pub fn read_answer(&mut self, timeout_ms: u64) -> Outcome {
        let leave_at = Instant::now() + Duration::from_millis(timeout_ms);
        let mut stream = self.stream.take().expect("a request was sent");
        let outcome = read_answer(&mut stream, leave_at);
        if let Outcome::Whole(answer) = &outcome
            && !answer.announces_close()
        {
            self.stream = Some(stream);
        }
        outcome
    }
}

fn read_answer(stream: &mut TcpStream, leave_at: Instant) -> Outcome {
    let mut received = Vec::new();
    let mut buffer = [0; 65_536];
    let mut expected_bytes = None;
    loop {
        let left = leave_at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Outcome::Left(parse(&received, End::Left));
        }
        stream.set_read_timeout(Some(left)).expect("it can be set");
        let why = match stream.read(&mut buffer) {
            Ok(0) => Some("the connection ended".to_owned()),
            Ok(count) => {
                received.extend_from_slice(&buffer[..count]);
                None
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(error) => Some(error.to_string()),
        };
        match why {
            Some(why) if received.is_empty() => return Outcome::Unanswered(why),
            Some(why) => return Outcome::Cut(parse(&received, End::Broken), why),
            // Spares a large answer from being parsed again and again.
            None if expected_bytes.is_some_and(|bytes| received.len() < bytes) => continue,
            None => {}
        }
        let answer = parse(&received, End::Broken);
        if answer.end == End::Whole {
            return match received.len() - answer.total_bytes.unwrap_or(received.len()) {
                0 => Outcome::Whole(answer),
                bytes => Outcome::Cut(answer, format!("{bytes} bytes follow the answer")),
            };
        }
        expected_bytes = answer.total_bytes;
    }
}
