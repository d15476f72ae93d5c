//! Token streams of an engine: starting, resuming and reading them.

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
    bounded::read_error_text,
    error::{StartError, StreamError, classify_start_error},
    exchange::{self, Answer, AnswerBody, Request, TimeLimit},
    sse::{self, Line},
};

/// Payload that marks the end of a stream.
const END_MARKER: &str = "[DONE]";

/// Holds the request of one attempt to one group.
#[derive(Debug, Clone)]
pub struct StartRequest<'a> {
    /// Id of the caller's request.
    pub request: RequestId,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// The group that the attempt is sent to.
    pub group: &'a GroupId,
    /// Epoch of the group according to the permit.
    pub epoch: Epoch,
    /// Priority class, which engines take into account.
    pub priority: Priority,
    /// Path of the call, such as `/v1/completions`.
    pub path: &'a str,
    /// JSON body, which must request a stream. To continue an answer that another group began, its
    /// field `continue_from` holds the tokens delivered so far.
    pub body: &'a Value,
}

/// Holds one token of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenEvent {
    /// Position of the token in the answer, from 0.
    pub offset: u64,
    /// Text of the token.
    pub text: String,
    /// Reason why the answer ends; set on the last token only.
    pub finish_reason: Option<String>,
}

/// Next item of a token stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// The next token.
    Token(TokenEvent),
    /// A comment without a token. It lets the calling code check its deadline between tokens.
    KeepAlive,
    /// The answer is complete.
    End,
}

/// Payload of an event of an engine.
#[derive(Debug, Serialize, Deserialize)]
struct WireEvent {
    attempt: AttemptId,
    offset: u64,
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// Reader of the token stream of one attempt. It returns each token once and in order, or fails.
#[derive(Debug)]
pub struct TokenStream {
    attempt: AttemptId,
    next_offset: u64,
    /// True once the token with a finish reason was read; only the end marker may follow.
    is_last_token_read: bool,
    reader: BufReader<AnswerBody>,
}

/// Starts an attempt. `stall_timeout_ms` limits the wait for the response and for each read of the
/// stream.
///
/// # Errors
///
/// See [`StartError`] for what the engine may have done in each case.
pub fn start(
    address: SocketAddr,
    request: &StartRequest<'_>,
    connect_timeout_ms: u64,
    stall_timeout_ms: u64,
) -> Result<TokenStream, StartError> {
    let first_offset = request.body["continue_from"].as_array().map_or(0, Vec::len) as u64;
    let body = serde_json::to_vec(request.body).map_err(|error| StartError::NotSent {
        message: error.to_string(),
    })?;
    let sent = Request {
        method: "POST",
        path: request.path,
        fields: &[
            (REQUEST_HEADER, request.request.to_string()),
            (ATTEMPT_HEADER, request.attempt.to_string()),
            (GROUP_HEADER, request.group.to_string()),
            (EPOCH_HEADER, request.epoch.to_string()),
            (PRIORITY_HEADER, request.priority.to_string()),
            ("content-type", "application/json".to_owned()),
        ],
        body: &body,
    };
    let answer = send(address, &sent, connect_timeout_ms, stall_timeout_ms)?;
    TokenStream::open(answer, request.attempt, first_offset)
}

/// Resumes the stream of a running attempt on a new connection, from token `offset` on.
///
/// # Errors
///
/// Fails with [`StartError::Refused`] if the engine no longer holds the attempt. The errors refer
/// to the resumption only; the attempt itself may have run in every case.
pub fn resume(
    address: SocketAddr,
    attempt: AttemptId,
    offset: u64,
    connect_timeout_ms: u64,
    stall_timeout_ms: u64,
) -> Result<TokenStream, StartError> {
    let request = Request {
        method: "GET",
        path: &format!("/streams/{attempt}?offset={offset}"),
        fields: &[],
        body: &[],
    };
    let answer = send(address, &request, connect_timeout_ms, stall_timeout_ms)?;
    TokenStream::open(answer, attempt, offset)
}

/// Sends a request and returns the answer. `stall_timeout_ms` limits the time for each part of both.
fn send(
    address: SocketAddr,
    request: &Request<'_>,
    connect_timeout_ms: u64,
    stall_timeout_ms: u64,
) -> Result<Answer, StartError> {
    let connect_timeout = Duration::from_millis(connect_timeout_ms);
    let limit = TimeLimit::EachPartMs(stall_timeout_ms);
    exchange::send(address, request, connect_timeout, limit)
        .map_err(|error| classify_start_error(&error))
}

impl TokenStream {
    fn open(
        answer: Answer,
        attempt: AttemptId,
        next_offset: u64,
    ) -> Result<TokenStream, StartError> {
        let status = answer.status;
        if !answer.is_success() {
            let message = read_error_text(answer.body);
            // Of the 5xx statuses, only 503 means that the engine did not run the request.
            return Err(match status {
                400..=499 | 503 => StartError::Refused { status, message },
                _ => StartError::NoAnswer {
                    message: format!("engine answered with status {status}: {message}"),
                },
            });
        }
        Ok(TokenStream {
            attempt,
            next_offset,
            is_last_token_read: false,
            reader: BufReader::new(answer.body),
        })
    }

    /// Returns the next token, keep-alive or the end of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the stream stalls, breaks before the end marker, or contains an event of another
    /// attempt or out of order. No token is returned twice.
    pub fn next_event(&mut self) -> Result<StreamEvent, StreamError> {
        let data = sse::next_line(&mut self.reader).map_err(read_error)?;
        let data = match data {
            Some(Line::Data(data)) => data,
            Some(Line::Comment) => return Ok(StreamEvent::KeepAlive),
            None => {
                return Err(StreamError::Broken {
                    message: "stream ended before its end marker".to_owned(),
                });
            }
        };
        if data == END_MARKER {
            return self.end();
        }
        let event: WireEvent = serde_json::from_str(&data).map_err(malformed)?;
        self.check(&event)?;
        self.next_offset += 1;
        self.is_last_token_read = event.finish_reason.is_some();
        Ok(StreamEvent::Token(TokenEvent {
            offset: event.offset,
            text: event.text,
            finish_reason: event.finish_reason,
        }))
    }

    fn end(&self) -> Result<StreamEvent, StreamError> {
        if self.is_last_token_read {
            return Ok(StreamEvent::End);
        }
        Err(malformed("end marker before the last token"))
    }

    fn check(&self, event: &WireEvent) -> Result<(), StreamError> {
        if event.attempt != self.attempt {
            return Err(malformed(format!(
                "event of another attempt: {}",
                event.attempt
            )));
        }
        if event.offset != self.next_offset {
            return Err(malformed(format!(
                "token at offset {} where {} was expected",
                event.offset, self.next_offset
            )));
        }
        if self.is_last_token_read {
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
