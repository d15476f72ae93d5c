//! Reads the whole body of an upstream's answer.
//!
//! An upstream may send a body without end, so the length of a body is limited, as is that of all answers
//! together that are being read.

use std::{
    future::poll_fn,
    pin::Pin,
    task::{Poll, ready},
};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};

use crate::{buffered::NoSpace, state::Gateway};

/// Maximum length of a body.
const MAX_BODY_BYTES: usize = 8 * 1_024 * 1_024;

/// Error of reading a body.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub(super) enum BodyError {
    /// The connection failed or was closed within the body.
    #[display("{_0}")]
    Broken(hyper::Error),
    /// The body has more than [`MAX_BODY_BYTES`].
    #[display("the body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// The body was given up, since all answers that are being read are too long together.
    #[display("{_0}")]
    NoSpace(NoSpace),
}

/// Reads a body to its end. It counts as waiting for its caller until it is dropped.
///
/// # Errors
///
/// Fails if the body breaks off or is too long, or if it is given up for the sake of others.
pub(super) async fn read(gateway: &Gateway, mut body: Incoming) -> Result<Bytes, BodyError> {
    let unfinished = gateway.memory.answers().begin_answer();
    let mut whole = BytesMut::new();
    loop {
        let frame = poll_fn(|task| {
            ready!(unfinished.poll_may_read(task))?;
            let frame = ready!(Pin::new(&mut body).poll_frame(task));
            Poll::Ready(frame.transpose().map_err(BodyError::from))
        });
        let Some(frame) = frame.await? else {
            break;
        };
        // Trailers are dropped.
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if whole.len() + part.len() > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        whole.extend_from_slice(&part);
        unfinished.set_bytes(whole.capacity());
    }
    drop(unfinished);
    // Copied, since the buffer may be twice as long.
    let whole = Bytes::copy_from_slice(&whole);
    Ok(gateway.memory.answers().begin_queue().count(whole))
}
