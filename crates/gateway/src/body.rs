//! Bodies of responses to callers.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

use crate::buffered::{AnswerBuffers, CallerQueue};

/// Error of a body that cannot be completed. The connection to the caller is closed without the end
/// marker of the body, so the caller sees that it is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the response body was aborted")]
pub struct AbortedBody;

/// Body of a response to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, AbortedBody>;

/// Returns a body with the given bytes as its whole content.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Sends the parts of a streamed body. The body is aborted if this is dropped before [`PartSender::finish`],
/// as by a panic.
#[derive(Debug)]
pub struct PartSender {
    parts: mpsc::Sender<Bytes>,
    queue: CallerQueue,
    is_whole: Arc<AtomicBool>,
}

impl PartSender {
    /// Sends a part, once there is room for it, and waits until there is room for more; returns `false` if the
    /// body was dropped.
    pub async fn send(&self, part: Bytes) -> bool {
        let is_sent = self.parts.send(self.queue.count(part)).await.is_ok();
        self.queue.wait_for_room().await;
        is_sent
    }

    /// Waits until the body is dropped, as when the caller leaves.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }

    /// Ends the body as whole.
    pub fn finish(self) {
        self.is_whole.store(true, Ordering::Release);
    }
}

/// Streamed body whose parts are received from a channel.
struct ChannelBody {
    parts: mpsc::Receiver<Bytes>,
    is_whole: Arc<AtomicBool>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        Poll::Ready(match ready!(self.parts.poll_recv(context)) {
            Some(part) => Some(Ok(Frame::data(part))),
            None if self.is_whole.load(Ordering::Acquire) => None,
            None => Some(Err(AbortedBody)),
        })
    }
}

/// Number of parts that are queued for a slow caller before reading from the upstream pauses.
const MAX_QUEUED_PARTS: usize = 16;

/// Returns a streamed body and the sender of its parts.
pub fn channel(buffers: &AnswerBuffers) -> (PartSender, AnswerBody) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
    let is_whole = Arc::new(AtomicBool::new(false));
    let sender = PartSender {
        parts: sender,
        queue: buffers.begin_queue(),
        is_whole: is_whole.clone(),
    };
    let body = ChannelBody {
        parts: receiver,
        is_whole,
    };
    (sender, body.boxed_unsync())
}
