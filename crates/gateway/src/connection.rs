//! HTTP/1.1 client connections to upstreams, the store and other gateways.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::AbortHandle,
    time::timeout,
};

/// Idle time after which TCP sends the first keepalive probe.
const KEEPALIVE_IDLE_MS: u64 = 1_000;
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL_MS: u64 = 1_000;
/// Number of unanswered keepalive probes after which the connection fails.
const MAX_KEEPALIVE_PROBES: u32 = 3;
/// Time for which the bytes of a short request may stay unacknowledged before the connection fails.
const MAX_UNACKNOWLEDGED_MS: u64 = 4_000;
/// Number of unsent bytes from which writes to a caller's connection wait.
const MAX_UNSENT_BYTES: u32 = 16 * 1_024;
/// Maximum length of a short request: it fits the receive window of any peer that has read what was
/// sent before.
const MAX_SHORT_REQUEST_BYTES: usize = 1_024;

/// Maximum length of one head of an answer, and of the part of a body that is read ahead.
const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// Number of bytes that a peer may send until the head of its answer has arrived. Interim answers
/// (status 1xx) before it count; a peer may send them without end.
const MAX_BYTES_BEFORE_HEAD: usize = 4 * MAX_HEAD_BYTES;

/// Maximum length of one read. The HTTP library's buffer grows after each read that fills it, up to
/// [`MAX_HEAD_BYTES`] on each connection; this is less than its second size of 16 KiB.
const MAX_READ_BYTES: usize = 16 * 1_024 - 1;

/// Body of a request.
pub(crate) type RequestBody = Full<Bytes>;

/// Error of opening a connection.
#[derive(Debug, derive_more::Display)]
pub(crate) enum ConnectError {
    /// The operating system reported an error, such as a refused connection.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The peer did not answer within the timeout.
    #[display("no answer to the connection attempt in time")]
    TimedOut,
    /// The connection failed during the HTTP handshake.
    #[display("{_0}")]
    Http(hyper::Error),
}

/// Error of a request without an answer.
#[derive(Debug, derive_more::Display)]
pub(crate) enum SendError {
    /// The connection was closed before a byte of the request was sent.
    #[display("the connection was closed")]
    NotSent,
    /// The connection failed, or the head of the answer is malformed. The peer may have run the request.
    #[display("{_0}")]
    NoHead(hyper::Error),
    /// The answer has a status that HTTP does not know: 600 or above. The peer may have run the request.
    #[display("the status {_0} of the answer is invalid")]
    InvalidStatus(u16),
}

/// Stream that fails once more bytes were read than allowed, and while the bytes of short requests are
/// not acknowledged in time.
///
/// A failed write is not reported, because the HTTP library would not read on: a peer may answer before it
/// has read the whole request, and close. What follows in the stream decides: an answer, its end, or the error
/// of the write. A socket reports an error only once, so that after the write a read finds an end that the peer
/// has not sent.
struct MeteredStream {
    stream: TcpStream,
    /// Number of bytes that may still be read.
    allowance_bytes: Rc<Cell<usize>>,
    /// Number of bytes written since the last read.
    unanswered_bytes: usize,
    /// Whether unacknowledged bytes fail the connection after [`MAX_UNACKNOWLEDGED_MS`].
    has_send_limit: bool,
    /// Whether a write has failed. Further bytes are dropped.
    has_write_failed: Rc<Cell<bool>>,
    /// Error that a failed write took from the socket, and that the end of the stream stands for; `None` if the
    /// peer had ended its side before.
    end_error: Option<io::ErrorKind>,
}

impl MeteredStream {
    /// Counts written bytes. After a long request, ends the limit on unacknowledged bytes for good:
    /// Linux applies it to a closed receive window, too, and the peer may read the rest of the request
    /// after its answer.
    fn on_written(&mut self, count: usize) {
        self.unanswered_bytes = self.unanswered_bytes.saturating_add(count);
        if self.has_send_limit && self.unanswered_bytes > MAX_SHORT_REQUEST_BYTES {
            self.has_send_limit = false;
            set_send_limit(&self.stream, None);
        }
    }

    /// Handles the result of a write of `length` bytes; returns the number of bytes that count as written.
    fn on_write(&mut self, written: io::Result<usize>, length: usize) -> usize {
        match written {
            Ok(count) => {
                self.on_written(count);
                count
            }
            Err(error) => {
                tracing::debug!(%error, "a write failed; the connection is read to its end");
                self.has_write_failed.set(true);
                // EPIPE: the peer had ended its side before it reset the connection.
                let kind = error.kind();
                self.end_error = (kind != io::ErrorKind::BrokenPipe).then_some(kind);
                length
            }
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance_bytes.get() == 0 {
            let error = "no head within the first bytes of the answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let length = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let count = part.filled().len();
        if let Some(kind) = self.end_error.filter(|_| count == 0) {
            return Poll::Ready(Err(kind.into()));
        }
        buffer.advance(count);
        self.unanswered_bytes = 0;
        let rest = self.allowance_bytes.get().saturating_sub(count);
        self.allowance_bytes.set(rest);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.has_write_failed.get() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        Poll::Ready(Ok(self.on_write(written, bytes.len())))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = parts.iter().map(|part| part.len()).sum();
        if self.has_write_failed.get() {
            return Poll::Ready(Ok(length));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, parts));
        Poll::Ready(Ok(self.on_write(written, length)))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Aborts the task of a connection when dropped.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection. Dropping it closes it, even in the middle of a response, so that the peer
/// can stop working on a request whose response is no longer needed.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<RequestBody>,
    /// Number of bytes that may still be read; unlimited except while a head is awaited.
    allowance_bytes: Rc<Cell<usize>>,
    /// Whether a write has failed, so that the connection takes no further request.
    has_write_failed: Rc<Cell<bool>>,
    _task: AbortOnDrop,
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// Fails with [`ConnectError::TimedOut`] if TCP does not connect within `timeout_ms`.
    pub(crate) async fn open(
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<Connection, ConnectError> {
        let connecting = TcpStream::connect(address);
        let stream = match timeout(Duration::from_millis(timeout_ms), connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ConnectError::Io(error)),
            Err(_) => return Err(ConnectError::TimedOut),
        };
        set_peer_options(&stream);
        set_send_limit(&stream, Some(Duration::from_millis(MAX_UNACKNOWLEDGED_MS)));
        let allowance_bytes = Rc::new(Cell::new(usize::MAX));
        let has_write_failed = Rc::new(Cell::new(false));
        let stream = MeteredStream {
            stream,
            allowance_bytes: allowance_bytes.clone(),
            unanswered_bytes: 0,
            has_send_limit: true,
            has_write_failed: has_write_failed.clone(),
            end_error: None,
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(ConnectError::Http)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "the connection to {address} failed");
            }
        });
        Ok(Connection {
            sender,
            allowance_bytes,
            has_write_failed,
            _task: AbortOnDrop(task.abort_handle()),
        })
    }

    /// Sends a request and waits for the head of the answer, within [`MAX_BYTES_BEFORE_HEAD`].
    pub(crate) async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.allowance_bytes.set(MAX_BYTES_BEFORE_HEAD);
        let response = self.sender.try_send_request(request).await;
        // The library returns the request only if no byte of it was sent.
        let response = response.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::NoHead(error.into_error()),
        })?;
        self.allowance_bytes.set(usize::MAX);
        match response.status().as_u16() {
            status @ 600.. => Err(SendError::InvalidStatus(status)),
            _ => Ok(response),
        }
    }

    /// Returns whether a request can be sent now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed() && !self.has_write_failed.get()
    }
}

/// Sets the options of a caller's connection: no Nagle's algorithm.
///
/// There are no keepalive probes, which would end the connection of a request that runs when the link is
/// cut for a few seconds: the deadline and the idle time bound it. And there is no limit on unacknowledged
/// bytes, because Linux applies it to a closed receive window too: a peer that pauses reading is not gone.
pub(crate) fn set_caller_options(stream: &TcpStream) {
    log_unavailable("TCP_NODELAY", stream.set_nodelay(true));
}

/// Sets the options of a connection to an upstream, to the store, or to or from another gateway: those of a
/// caller's, and keepalive probes, which detect a peer that no longer answers.
pub(crate) fn set_peer_options(stream: &TcpStream) {
    set_caller_options(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_millis(KEEPALIVE_IDLE_MS))
        .with_interval(Duration::from_millis(KEEPALIVE_INTERVAL_MS))
        .with_retries(MAX_KEEPALIVE_PROBES);
    let result = SockRef::from(stream).set_tcp_keepalive(&keepalive);
    log_unavailable("SO_KEEPALIVE", result);
}

/// Limits the bytes that the system takes before it can send them, so that the time of the last write is
/// about that at which the peer was sent the end of an answer, however slowly it reads.
pub(crate) fn limit_unsent_bytes(stream: &TcpStream) {
    let result = SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    log_unavailable("TCP_NOTSENT_LOWAT", result);
}

/// Sets or ends the limit on the time for which sent bytes may stay unacknowledged.
fn set_send_limit(stream: &TcpStream, limit: Option<Duration>) {
    let result = SockRef::from(stream).set_tcp_user_timeout(limit);
    log_unavailable("TCP_USER_TIMEOUT", result);
}

/// Logs an option that the operating system lacks. It is not needed, because the timeouts of
/// requests apply in any case.
fn log_unavailable(option: &str, result: io::Result<()>) {
    if let Err(error) = result {
        tracing::debug!(option, %error, "a socket option is not available");
    }
}
