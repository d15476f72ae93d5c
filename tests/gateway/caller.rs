//! HTTP client of the gateway tests.
//!
//! Sends each request on its own connection and records how the response ended: complete, broken,
//! or cut short because the caller left, that is, closed the connection at its own timeout.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread::JoinHandle,
    time::{Duration, Instant},
};

use crate::gateway::site::KEY;

/// Default time after which a caller leaves; also the default of the deadline that a request states.
const DEADLINE_MS: u64 = 8_000;

/// End of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The response is complete: its full `Content-Length` or its last chunk was received.
    Whole,
    /// The connection failed or closed before the response was complete.
    Broken,
    /// The caller left before the response was complete.
    Left,
}

/// Request of a caller.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// Attempt id, under which the stand-ins record the runs of the request.
    pub id: String,
    pub path: &'a str,
    /// API key.
    pub key: &'a str,
    pub body: &'a str,
    /// Parts of the prompt; not sent if empty.
    pub prompt: String,
    /// Time after which the caller leaves, in milliseconds.
    pub timeout_ms: u64,
    /// Deadline that the request states, in milliseconds from its arrival.
    pub deadline_ms: u64,
}

/// Response as received by a caller.
#[derive(Debug)]
pub struct Answer {
    /// Status code, or 0 if no response head was received.
    pub status: u16,
    head: String,
    body: Vec<u8>,
    pub end: End,
    /// Number of bytes of the whole response with its head, once it is known.
    pub total_bytes: Option<usize>,
}

/// Whether a request that harms nothing was served.
#[derive(Debug)]
pub struct HarmlessAnswer {
    pub sent_at: Instant,
    pub is_served: bool,
}

/// Waits for the threads that send requests, and returns what they return.
pub fn join_all<T>(senders: impl IntoIterator<Item = JoinHandle<T>>) -> Vec<T> {
    let senders = senders.into_iter();
    senders
        .map(|sender| sender.join().expect("the sender does not panic"))
        .collect()
}

/// Checks that at least half of the requests that were sent from `begin` on were served, of 20 or more.
pub fn assert_half_served(answers: &[HarmlessAnswer], begin: Instant) {
    let later = answers.iter().filter(|answer| answer.sent_at >= begin);
    let (served, all) = later.fold((0, 0), |(served, all), answer| {
        (served + usize::from(answer.is_served), all + 1)
    });
    assert!(all >= 20, "{all} harmless requests are too few");
    assert!(
        2 * served >= all,
        "{served} of {all} harmless requests served"
    );
}

impl<'a> Request<'a> {
    /// Returns a request for a resumable stream from an engine.
    pub fn stream(id: &str) -> Request<'a> {
        Request {
            id: id.to_owned(),
            path: "/stream/",
            key: KEY,
            body: "prompt",
            prompt: String::new(),
            timeout_ms: DEADLINE_MS,
            deadline_ms: DEADLINE_MS,
        }
    }

    /// Returns a non-idempotent request to the plain service, which must not run twice.
    pub fn once(id: &str) -> Request<'a> {
        Request {
            path: "/once/",
            ..Request::stream(id)
        }
    }

    /// Sends the request and reads the response until it is complete, the connection ends or the
    /// caller leaves. The status is 0 if the request could not be sent.
    pub fn send(&self, address: SocketAddr) -> Answer {
        self.try_send(address).unwrap_or(Answer {
            status: 0,
            head: String::new(),
            body: Vec::new(),
            end: End::Broken,
            total_bytes: None,
        })
    }

    /// Sends the request and returns whether it was served.
    pub fn send_harmless(&self, address: SocketAddr) -> HarmlessAnswer {
        let sent_at = Instant::now();
        let answer = self.send(address);
        HarmlessAnswer {
            sent_at,
            is_served: (answer.status, answer.end) == (200, End::Whole),
        }
    }

    /// Returns the request as it is sent.
    pub fn to_text(&self) -> String {
        let prompt = match self.prompt.as_str() {
            "" => String::new(),
            parts => format!("Jacinthpoint-Prompt-Prefix: {parts}\r\n"),
        };
        format!(
            "POST {} HTTP/1.1\r\nHost: model.example\r\nJacinthpoint-Attempt-Id: {}\r\n\
             Jacinthpoint-Model: model-a\r\n{prompt}Jacinthpoint-Token-Usage: 500,100\r\n\
             Jacinthpoint-Deadline-Ms: {}\r\nApi-Key: {}\r\nContent-Length: {}\r\n\r\n{}",
            self.path,
            self.id,
            self.deadline_ms,
            self.key,
            self.body.len(),
            self.body
        )
    }

    fn try_send(&self, address: SocketAddr) -> std::io::Result<Answer> {
        let leave_at = Instant::now() + Duration::from_millis(self.timeout_ms);
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(self.to_text().as_bytes())?;
        stream.set_read_timeout(Some(Duration::from_millis(20)))?;
        let mut received = Vec::new();
        let mut buffer = [0; 4_096];
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => return Ok(parse(&received, End::Broken)),
                Ok(count) => received.extend_from_slice(&buffer[..count]),
                // The read timeout passed without data.
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return Ok(parse(&received, End::Broken)),
            }
            // An incomplete answer is returned only if the caller leaves now.
            let answer = parse(&received, End::Left);
            if answer.end == End::Whole || Instant::now() >= leave_at {
                return Ok(answer);
            }
        }
    }
}

/// Parses the bytes received so far; the end is `end_if_incomplete` unless the response is
/// complete.
pub fn parse(received: &[u8], end_if_incomplete: End) -> Answer {
    let incomplete_so_far = |head: &str, body| Answer {
        status: 0,
        head: head.to_owned(),
        body,
        end: end_if_incomplete,
        total_bytes: None,
    };
    let Some(head_end) = received.windows(4).position(|window| window == b"\r\n\r\n") else {
        return incomplete_so_far("", Vec::new());
    };
    let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
    let mut answer = incomplete_so_far(&head, Vec::new());
    answer.status = head
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let rest = &received[head_end + 4..];
    if let Some(length) = answer
        .header("content-length")
        .and_then(|text| text.parse().ok())
    {
        answer.body = rest[..rest.len().min(length)].to_vec();
        answer.total_bytes = Some(head_end + 4 + length);
        if rest.len() >= length {
            answer.end = End::Whole;
        }
        return answer;
    }
    let mut rest = rest;
    while let Some(line_end) = rest.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&rest[..line_end]).ok();
        let size = size.and_then(|text| usize::from_str_radix(text.trim(), 16).ok());
        let Some(size) = size else { break };
        let begin = line_end + 2;
        if size == 0 {
            // No trailers are sent, so an empty line ends the body.
            if rest.get(begin..begin + 2) == Some(b"\r\n") {
                answer.end = End::Whole;
                answer.total_bytes = Some(received.len() - rest.len() + begin + 2);
            }
            break;
        }
        if rest.len() < begin + size + 2 {
            break;
        }
        answer.body.extend_from_slice(&rest[begin..begin + size]);
        rest = &rest[begin + size + 2..];
    }
    answer
}

impl Answer {
    /// Returns the value of a header; names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut named = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.trim())
    }

    /// Returns whether the gateway announces that it closes the connection after this answer.
    pub fn announces_close(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the ids of the events in a stream, in the order received.
    pub fn events(&self) -> Vec<u64> {
        let text = self.text();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
        ids.filter_map(|id| id.trim().parse().ok()).collect()
    }
}
