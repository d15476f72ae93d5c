//! Bodies of responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// Error of a body that cannot be completed. The connection to the caller is closed without the end
/// marker of the body, so the caller sees that it is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the response body was aborted")]
pub(crate) struct AbortedBody;

/// Body of a response to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, AbortedBody>;

/// Returns a body with the given bytes as its whole content.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Sends the parts of a streamed body, or an error that aborts it.
pub(crate) type PartSender = mpsc::Sender<Result<Bytes, AbortedBody>>;

/// Streamed body whose parts are received from a channel.
struct ChannelBody {
    parts: mpsc::Receiver<Result<Bytes, AbortedBody>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        self.parts
            .poll_recv(context)
            .map(|part| part.map(|part| part.map(Frame::data)))
    }
}

/// Number of parts that are queued for a slow caller before reading from the upstream pauses.
const MAX_QUEUED_PARTS: usize = 16;

/// Returns a streamed body and the sender of its parts. The body ends when the sender is dropped.
pub(crate) fn channel() -> (PartSender, AnswerBody) {
    let (sender, parts) = mpsc::channel(MAX_QUEUED_PARTS);
    (sender, ChannelBody { parts }.boxed_unsync())
}
