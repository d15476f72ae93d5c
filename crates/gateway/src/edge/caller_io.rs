//! I/O of a caller's connection.
//!
//! The HTTP library ends a connection when a read returns the end of the stream. A gateway that ends a
//! connection for a reason of its own, such as a planned stop, must not do so while bytes of a request
//! wait in the socket, since that request would get no answer. So the gateway's own ends come in as an
//! end of the stream, too, but only after a read that found nothing. The end of the caller's bytes, in
//! turn, is held back for a time while an answer is awaited: a caller may end its sending side and still
//! read.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use jacinthpoint_types::TimeMs;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{
    clock::Clock,
    edge::caller::{CallerConnection, EndCause},
    framing::{HeadEnd, ReadBound},
};

/// Size of the buffer into which bytes are read that nobody uses.
const DISCARD_BYTES: usize = 8 * 1_024;

/// Maximum number of bytes that the HTTP library gets with one read. Its buffer of a connection grows while reads
/// fill the 8 KiB with which it begins.
pub(super) const MAX_READ_BYTES: usize = 8 * 1_024 - 1;

/// Start of the size of a chunk. A size may have leading zeros, so this is no part of the body, whatever
/// chunk follows.
const CHUNK_SIZE_START: &[u8] = b"0";

/// Byte stream of a caller's connection, as the HTTP library sees it.
#[derive(Debug)]
pub(crate) struct CallerIo {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
    /// Search for the end of the head that is being read.
    head_end: HeadEnd,
    /// Bytes that were read from the socket and that the HTTP library gets with its next reads.
    held: Bytes,
    /// Whether [`CHUNK_SIZE_START`] was the last that was written.
    is_size_begun: bool,
}

impl CallerIo {
    /// Returns the I/O of `connection` on `stream`.
    pub(crate) fn new(stream: TcpStream, connection: Rc<CallerConnection>) -> CallerIo {
        CallerIo {
            stream,
            connection,
            head_end: HeadEnd::default(),
            held: Bytes::new(),
            is_size_begun: false,
        }
    }

    /// Ends the sending side, then reads and discards what the caller still sends, until it ends its side
    /// or pauses, or `until`. A socket that is closed with unread bytes resets the connection, and a reset
    /// may destroy an answer that the caller has not read yet.
    pub(crate) async fn linger(mut self, until: TimeMs, clock: Clock) {
        if self.connection.has_caller_ended() || self.shut_down_sending().is_err() {
            return;
        }
        let mut discarded = [0; DISCARD_BYTES];
        let was_revoked = self.connection.account.is_revoked();
        let mut is_first = self.held.is_empty();
        if !is_first {
            self.connection.on_bytes_after_end(&self.held);
        }
        loop {
            let idle_until = clock.now().plus_ms(self.connection.linger_idle_ms());
            tokio::select! {
                read = self.stream.read(&mut discarded) => {
                    let Ok(count @ 1..) = read else {
                        return;
                    };
                    if std::mem::take(&mut is_first) {
                        self.connection.on_bytes_after_end(&discarded[..count]);
                    }
                }
                () = clock.sleep_until(idle_until.min(until)) => return,
                () = self.connection.account.revoked(), if !was_revoked => return,
            }
        }
    }

    /// Resets the connection, so that an answer whose end is not marked otherwise does not look whole.
    pub(crate) fn reset(self) {
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            tracing::debug!(%error, "a connection ends in order in place of a reset");
        }
    }

    /// Returns how many of these bytes, which are next, the HTTP library gets with this read, and records them.
    fn pass(&mut self, next: &[u8]) -> usize {
        let next = &next[..next.len().min(MAX_READ_BYTES)];
        let end = match self.connection.read_bound() {
            ReadBound::Head => self.head_end.find(next),
            ReadBound::Body(bytes) => usize::try_from(bytes).ok(),
            ReadBound::Open => None,
        };
        let count = end.unwrap_or(next.len()).min(next.len());
        self.connection.on_read(count);
        count
    }

    fn shut_down_sending(&self) -> io::Result<()> {
        SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write)
    }

    /// Returns whether bytes, or the end of the stream, can be read now. Asks the operating system, since
    /// the runtime may not know yet.
    fn is_readable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.stream).peek(&mut byte).is_ok()
    }

    /// Sends a byte that shows whether a caller that has ended its sending side still reads, if one is due.
    /// Returns `false` if it cannot be written because the caller has left.
    fn is_probe_taken(&mut self) -> bool {
        if !self.connection.is_probe_due() {
            return true;
        }
        // Some callers take a size without an end of line for that of the last chunk if the connection ends in
        // order there. A reset is none, and the operating system sends it even if the process crashes.
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            tracing::debug!(%error, "a half-closed caller is not probed");
            return true;
        }
        self.is_size_begun = true;
        match self.stream.try_write(CHUNK_SIZE_START) {
            Ok(bytes) => self.connection.on_written(bytes),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => {
                (self.connection).on_end_cause(EndCause::WriteFailed(error.kind()));
                return false;
            }
        }
        true
    }

    fn on_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(bytes)) => {
                self.connection.on_written(*bytes);
                if std::mem::take(&mut self.is_size_begun)
                    && let Err(error) = SockRef::from(&self.stream).set_linger(None)
                {
                    tracing::debug!(%error, "a connection will end by a reset");
                }
            }
            Poll::Ready(Err(error)) => {
                (self.connection).on_end_cause(EndCause::WriteFailed(error.kind()));
            }
            Poll::Pending => {
                self.connection.on_write_blocked();
                if self.connection.has_stalled() {
                    self.connection.on_end_cause(EndCause::CallerStalled);
                    let error = "the caller reads nothing of its answer";
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, error)));
                }
            }
        }
        written
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        if !self.held.is_empty() {
            let next = self.held.slice(..self.held.len().min(buffer.remaining()));
            let count = self.pass(&next);
            buffer.put_slice(&self.held.split_to(count));
            return Poll::Ready(Ok(()));
        }
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) if buffer.filled().len() > before => {
                let read = &buffer.filled()[before..];
                let count = self.pass(read);
                self.held = Bytes::copy_from_slice(&read[count..]);
                buffer.set_filled(before + count);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Ok(())) => {
                self.connection.on_end_of_bytes();
                // The connection's task checks again when the wait is over.
                if self.is_probe_taken() && self.connection.is_kept_after_end() {
                    Poll::Pending
                } else {
                    self.connection.on_end_cause(EndCause::CallerEnded);
                    Poll::Ready(Ok(()))
                }
            }
            Poll::Ready(Err(error)) => {
                (self.connection).on_end_cause(EndCause::ReadFailed(error.kind()));
                Poll::Ready(Err(error))
            }
            Poll::Pending if !self.connection.is_to_end() => Poll::Pending,
            Poll::Pending if self.is_readable() => {
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Pending => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.on_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.on_write(written)
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
