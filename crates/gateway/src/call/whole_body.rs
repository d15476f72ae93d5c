//! Reads the whole body of an upstream's answer.
//!
//! An upstream may send a body without end, so the length of a body is limited, as is the length of
//! all bodies together that are being read.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::state::Gateway;

/// Maximum length of a body.
const MAX_BODY_BYTES: usize = 8 * 1_024 * 1_024;
/// Maximum length of all bodies together that are being read. Above it, each body that is not
/// short is given up.
const MAX_BUFFERED_BYTES: usize = 48 * 1_024 * 1_024;
/// Length up to which a body is short.
const SHORT_BODY_BYTES: usize = 64 * 1_024;

/// Error of reading a body.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub(super) enum BodyError {
    /// The connection failed or was closed within the body.
    #[display("{_0}")]
    Broken(hyper::Error),
    /// The body has more than [`MAX_BODY_BYTES`].
    #[display("the body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// All bodies that are being read have more than [`MAX_BUFFERED_BYTES`].
    #[display("the bodies that are being read are longer than {MAX_BUFFERED_BYTES} bytes")]
    NoSpace,
}

/// Counts bytes as buffered until dropped.
struct Buffered {
    gateway: Rc<Gateway>,
    bytes: usize,
}

impl Buffered {
    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        let total = &self.gateway.buffered_bytes;
        total.set(total.get() + bytes);
    }
}

impl Drop for Buffered {
    fn drop(&mut self) {
        let total = &self.gateway.buffered_bytes;
        total.set(total.get() - self.bytes);
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// Fails if the body breaks off or is too long, or if it is not short and too much is being read.
pub(super) async fn read(gateway: &Rc<Gateway>, mut body: Incoming) -> Result<Bytes, BodyError> {
    let mut buffered = Buffered {
        gateway: gateway.clone(),
        bytes: 0,
    };
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers are dropped.
        let Ok(part) = frame?.into_data() else {
            continue;
        };
        buffered.add(part.len());
        if buffered.bytes > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        let is_short = buffered.bytes <= SHORT_BODY_BYTES;
        if !is_short && gateway.buffered_bytes.get() > MAX_BUFFERED_BYTES {
            return Err(BodyError::NoSpace);
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}
