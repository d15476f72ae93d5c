//! Token streams of an engine: start, resume and read.

use std::{
    io::{self, BufReader},
    net::SocketAddr,
    time::Duration,
};

use jacinthpoint_types::{AttemptId, Epoch, GroupId, Priority, RequestId};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    ATTEMPT_HEADER, EPOCH_HEADER, GROUP_HEADER, PRIORITY_HEADER, REQUEST_HEADER,
    error::{StartError, StreamError, start_error},
    sse::{self, Line},
};

/// End marker of a stream.
const DONE: &str = "[DONE]";

/// A request for one attempt on one group.
#[derive(Debug, Clone)]
pub struct StartRequest<'a> {
    /// The caller's request.
    pub request: RequestId,
    /// This attempt.
    pub attempt: AttemptId,
    /// The group it is meant for.
    pub group: &'a GroupId,
    /// The group's epoch as the permit says.
    pub epoch: Epoch,
    /// Priority class, which engines honour.
    pub priority: Priority,
    /// Path of the call, such as `/v1/completions`.
    pub path: &'a str,
    /// Body for the engine, which must ask for a stream. To continue an answer begun by another
    /// group, its field `continue_from` holds the tokens delivered so far.
    pub body: &'a Value,
}

/// One step of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenEvent {
    /// Place of the token in the answer, from 0.
    pub offset: u64,
    /// Its text.
    pub text: String,
    /// Set on the last token: why the answer ends.
    pub finish_reason: Option<String>,
}

/// What a stream brings next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// A token.
    Token(TokenEvent),
    /// A sign of life without a token, after which the reader may look at its deadline.
    KeepAlive,
    /// The answer is whole.
    End,
}

/// An event as an engine sends it.
#[derive(Debug, Serialize, Deserialize)]
struct WireEvent {
    attempt: AttemptId,
    offset: u64,
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// The stream of one attempt. Each token comes once and in order, or the stream fails.
#[derive(Debug)]
pub struct TokenStream {
    attempt: AttemptId,
    next_offset: u64,
    finished: bool,
    reader: BufReader<attohttpc::ResponseReader>,
}

/// Starts an attempt.
///
/// # Errors
///
/// See [`StartError`] for what the engine may have done.
pub fn start(
    address: SocketAddr,
    request: &StartRequest<'_>,
    connect_timeout_ms: u64,
    silence_timeout_ms: u64,
) -> Result<TokenStream, StartError> {
    let first_offset = request.body["continue_from"].as_array().map_or(0, Vec::len) as u64;
    let answer = attohttpc::post(format!("http://{address}{}", request.path))
        .connect_timeout(Duration::from_millis(connect_timeout_ms))
        .read_timeout(Duration::from_millis(silence_timeout_ms))
        .header(REQUEST_HEADER, request.request.to_string())
        .header(ATTEMPT_HEADER, request.attempt.to_string())
        .header(GROUP_HEADER, request.group.as_str())
        .header(EPOCH_HEADER, request.epoch.to_string())
        .header(PRIORITY_HEADER, request.priority.to_string())
        .json(request.body)
        .map_err(|error| StartError::NotSent {
            message: error.to_string(),
        })?
        .send()
        .map_err(|error| start_error(&error))?;
    TokenStream::open(answer, request.attempt, first_offset)
}

/// Takes up a running attempt on a new connection, from token `offset` on.
///
/// # Errors
///
/// A refusal means that the engine no longer holds the attempt.
pub fn resume(
    address: SocketAddr,
    attempt: AttemptId,
    offset: u64,
    connect_timeout_ms: u64,
    silence_timeout_ms: u64,
) -> Result<TokenStream, StartError> {
    let answer = attohttpc::get(format!(
        "http://{address}/streams/{attempt}?offset={offset}"
    ))
    .connect_timeout(Duration::from_millis(connect_timeout_ms))
    .read_timeout(Duration::from_millis(silence_timeout_ms))
    .send()
    .map_err(|error| start_error(&error))?;
    TokenStream::open(answer, attempt, offset)
}

impl TokenStream {
    fn open(
        answer: attohttpc::Response,
        attempt: AttemptId,
        next_offset: u64,
    ) -> Result<TokenStream, StartError> {
        let status = answer.status().as_u16();
        if !answer.is_success() {
            let message = answer.text().unwrap_or_default();
            // A 5xx other than 503 does not say that nothing ran.
            return Err(match status {
                400..=499 | 503 => StartError::Refused { status, message },
                _ => StartError::NoAnswer {
                    message: format!("status {status}: {message}"),
                },
            });
        }
        let (_, _, reader) = answer.split();
        Ok(TokenStream {
            attempt,
            next_offset,
            finished: false,
            reader: BufReader::new(reader),
        })
    }

    /// The next token, sign of life or end.
    ///
    /// # Errors
    ///
    /// Fails if the stream goes silent, breaks before the end marker, or carries an event of
    /// another attempt or out of order. No token is returned twice.
    pub fn next_event(&mut self) -> Result<StreamEvent, StreamError> {
        let data = sse::next_data(&mut self.reader).map_err(read_error)?;
        let data = match data {
            Some(Line::Data(data)) => data,
            Some(Line::Other) => return Ok(StreamEvent::KeepAlive),
            None => {
                return Err(StreamError::Broken {
                    message: "ended before its end marker".to_owned(),
                });
            }
        };
        if data == DONE {
            return self.end();
        }
        let event: WireEvent = serde_json::from_str(&data).map_err(malformed)?;
        self.check(&event)?;
        self.next_offset += 1;
        self.finished = event.finish_reason.is_some();
        Ok(StreamEvent::Token(TokenEvent {
            offset: event.offset,
            text: event.text,
            finish_reason: event.finish_reason,
        }))
    }

    fn end(&self) -> Result<StreamEvent, StreamError> {
        if self.finished {
            return Ok(StreamEvent::End);
        }
        Err(malformed("end marker before the last token"))
    }

    fn check(&self, event: &WireEvent) -> Result<(), StreamError> {
        if event.attempt != self.attempt {
            return Err(malformed("event of another attempt"));
        }
        if event.offset != self.next_offset {
            return Err(malformed("token out of order"));
        }
        if self.finished {
            return Err(malformed("token after the last one"));
        }
        Ok(())
    }
}

fn malformed(message: impl ToString) -> StreamError {
    StreamError::Malformed {
        message: message.to_string(),
    }
}

fn read_error(error: io::Error) -> StreamError {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => StreamError::Stalled,
        _ => StreamError::Broken {
            message: error.to_string(),
        },
    }
}
