//! HTTP/1.1 client connections to upstreams, the store and other gateways.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// Idle time after which TCP sends the first keepalive probe.
const KEEPALIVE_IDLE_MS: u64 = 1_000;
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL_MS: u64 = 1_000;
/// Number of unanswered keepalive probes after which the connection fails.
const MAX_KEEPALIVE_PROBES: u32 = 3;
/// Time for which sent bytes may stay unacknowledged before the connection fails.
const MAX_UNACKNOWLEDGED_MS: u64 = 4_000;

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
        set_options(&stream);
        let (sender, connection) = http1::Builder::new()
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
            _task: AbortOnDrop(task.abort_handle()),
        })
    }

    /// Returns whether a request can be sent now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

/// Disables Nagle's algorithm and sets the TCP options that detect a peer that no longer answers.
///
/// An option that the operating system lacks is skipped, because the timeouts of requests apply in
/// any case.
pub(crate) fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_millis(KEEPALIVE_IDLE_MS))
        .with_interval(Duration::from_millis(KEEPALIVE_INTERVAL_MS))
        .with_retries(MAX_KEEPALIVE_PROBES);
    let unacknowledged = Some(Duration::from_millis(MAX_UNACKNOWLEDGED_MS));
    let results = [
        ("TCP_NODELAY", stream.set_nodelay(true)),
        ("SO_KEEPALIVE", socket.set_tcp_keepalive(&keepalive)),
        (
            "TCP_USER_TIMEOUT",
            socket.set_tcp_user_timeout(unacknowledged),
        ),
    ];
    for (option, result) in results {
        if let Err(error) = result {
            tracing::debug!(option, %error, "a socket option is not available");
        }
    }
}
