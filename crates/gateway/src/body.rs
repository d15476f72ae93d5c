//! Bodies of answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// The body cannot be completed; the connection ends without the mark of a whole body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the answer was broken off")]
pub(crate) struct AbortedBody;

/// Body of an answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, AbortedBody>;

/// A body that is there whole.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Sender of the parts of a stream.
pub(crate) type PartSender = mpsc::Sender<Result<Bytes, AbortedBody>>;

/// Body whose parts come through a channel.
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

/// Parts that may wait for a slow caller before the upstream is slowed down.
const PARTS: usize = 16;

/// A body and the sender of its parts. The body ends when the sender is dropped.
pub(crate) fn channel() -> (PartSender, AnswerBody) {
    let (sender, parts) = mpsc::channel(PARTS);
    (sender, ChannelBody { parts }.boxed_unsync())
}
