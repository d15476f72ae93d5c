//! Serves connections at the listeners that are not for callers, with bounds on their number and memory.

use std::{
    convert::Infallible,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use hyper::{
    Request, Response,
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{
    body::AnswerBody,
    clock::Clock,
    edge::caller_io::MAX_READ_BYTES,
    memory::{Account, Activity, Listener},
    state::Gateway,
};

/// Byte stream of a connection, whose unfinished heads are counted.
struct GuardedIo {
    stream: TcpStream,
    account: Rc<Account>,
    clock: Clock,
}

impl AsyncRead for GuardedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let max_bytes = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::uninit(&mut bytes[..max_bytes]);
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut part);
        buffer.put_slice(part.filled());
        let read = part.filled().len();
        if read > 0 {
            let now = self.clock.now();
            if self.account.activity() == Activity::Idle {
                self.account.set_activity(Activity::Receiving, now);
            }
            self.account.on_received(read, now);
            if self.account.activity() == Activity::Receiving {
                // The HTTP library's buffer grows by doubling. If the connection is revoked, its task ends it.
                let _ = self.account.set_bytes(self.account.bytes() + 2 * read, now);
            }
        }
        polled
    }
}

impl AsyncWrite for GuardedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.on_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.on_write(&written);
        written
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

impl GuardedIo {
    fn on_write(&self, written: &Poll<io::Result<usize>>) {
        let now = self.clock.now();
        match (written, self.account.activity()) {
            (Poll::Ready(_), Activity::Sending) => self.account.set_activity(Activity::Idle, now),
            (Poll::Ready(_), _) => self.account.on_sent(now),
            (Poll::Pending, Activity::Idle) => self.account.set_activity(Activity::Sending, now),
            (Poll::Pending, _) => {}
        }
    }
}

/// Returns the account of a new connection; `None` if the listener has `max_connections` that make progress. Others
/// end for the new one.
///
/// With `is_new_preferred`, a connection that makes progress ends for it, too, unless its request runs.
pub(crate) fn open_account(
    gateway: &Gateway,
    listener: Listener,
    max_connections: usize,
    is_new_preferred: bool,
) -> Option<Account> {
    let (memory, now) = (&gateway.memory, gateway.now());
    let is_full = memory.open_connections(listener) >= max_connections;
    if is_full
        && !memory.revoke_slow(listener, now)
        && !(is_new_preferred && memory.revoke_any(listener))
    {
        gateway
            .metrics
            .count("connections_refused", &listener.to_string());
        return None;
    }
    Some(memory.open(listener, Activity::Idle, now))
}

/// Serves a connection until it ends or its account is revoked. Heads may have `max_head_bytes`.
pub(crate) async fn serve_guarded<F>(
    gateway: &Gateway,
    stream: TcpStream,
    account: Account,
    max_head_bytes: usize,
    respond: impl Fn(Request<Incoming>) -> F,
) -> hyper::Result<()>
where
    F: Future<Output = Response<AnswerBody>>,
{
    let clock = gateway.clock;
    let account = Rc::new(account);
    let service = service_fn(|request| {
        account.set_activity(Activity::Working, clock.now());
        let response = respond(request);
        let account = account.clone();
        async move {
            let response = response.await;
            // Fewer bytes are always held.
            let _ = account.set_bytes(0, clock.now());
            // A stream runs on, on a connection that ends with it.
            if response.body().size_hint().exact().is_some() {
                account.set_activity(Activity::Idle, clock.now());
            }
            Ok::<_, Infallible>(response)
        }
    });
    let io = GuardedIo {
        stream,
        account: account.clone(),
        clock,
    };
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(max_head_bytes)
        .serve_connection(TokioIo::new(io), service);
    tokio::select! {
        result = served => result,
        () = account.revoked() => Ok(()),
    }
}
